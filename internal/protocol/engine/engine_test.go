package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// events reads all events of a stream.
func events(r io.Reader) ([]string, error) {
	d := NewDecoder(r)
	var got []string
	for {
		data, err := d.Next()
		if err != nil {
			return got, err
		}
		got = append(got, string(data))
	}
}

// Guards against events that are split, merged or read only in part.
func TestDecoder(t *testing.T) {
	long := strings.Repeat("x", readBufferSize+10)
	tests := map[string]struct {
		in   string
		want []string
		err  error
	}{
		"two":             {"data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		"crlf":            {"data: a\r\n\r\n", []string{"a"}, io.EOF},
		"lines":           {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"no space":        {"data:a\n\n", []string{"a"}, io.EOF},
		"comment":         {": ping\n\nevent: x\nid: 1\ndata: a\n\n", []string{"a"}, io.EOF},
		"empty data":      {"data\n\n", []string{""}, io.EOF},
		"truncated event": {"data: a\n\ndata: b\n", []string{"a"}, io.EOF},
		"longer line":     {"data: " + long + "\n\n", []string{long}, io.EOF},
		"too long":        {"data: " + strings.Repeat("x", MaxEventBytes+1) + "\n\n", nil, eventTooLarge()},
		"too many":        {strings.Repeat("data: "+long+"\n", 4) + "\n", nil, eventTooLarge()},
		"other name":      {"database: a\n\n", nil, io.EOF},
		"nothing":         {"", nil, io.EOF},
		"only newlines":   {"\n\n\n", nil, io.EOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := events(strings.NewReader(test.in))
			if diff := cmp.Diff(test.want, got); diff != "" || err.Error() != test.err.Error() {
				t.Errorf("error %v, want %v\n%s", err, test.err, diff)
			}
		})
	}
}

// Guards against events that depend on the sizes of reads, against events over
// the size limit and against panics.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\r\n\r\n: c\n"))
	f.Add([]byte("data\ndata:\n\n\ndata: {}"))
	f.Fuzz(func(t *testing.T, in []byte) {
		atOnce, err := events(bytes.NewReader(in))
		byByte, byByteErr := events(iotest.OneByteReader(bytes.NewReader(in)))
		if diff := cmp.Diff(atOnce, byByte); diff != "" || (err == nil) != (byByteErr == nil) {
			t.Error(diff)
		}
		for _, e := range atOnce {
			if len(e) > MaxEventBytes {
				t.Errorf("event of %d bytes exceeds the limit", len(e))
			}
			ParseEvent([]byte(e))
		}
	})
}

func announcement(change func(*Announcement)) []byte {
	a := Announcement{
		Name: "pool-1", Incarnation: 77, Service: "assistant-pool", Kind: KindModel, Address: "127.0.0.1:9001",
		MemoryTokens: 20_000, MaxConcurrent: 32, ColdConcurrent: 2, Temperature: TemperatureCold, MinBytesPerToken: 1,
	}
	change(&a)
	data, _ := json.Marshal(a)
	return data
}

// Guards against an announcement that would make the agent divide by zero,
// connect to an unintended address or admit requests without a limit.
func TestDecodeAnnouncement(t *testing.T) {
	tests := map[string]struct {
		change func(*Announcement)
		want   string
	}{
		"good":                {func(*Announcement) {}, ""},
		"plain":               {func(a *Announcement) { a.Kind, a.MemoryTokens, a.ColdConcurrent = KindPlain, 0, 0 }, ""},
		"no name":             {func(a *Announcement) { a.Name = "" }, "name"},
		"name with a path":    {func(a *Announcement) { a.Name = "../x" }, "name"},
		"no incarnation":      {func(a *Announcement) { a.Incarnation = 0 }, "incarnation"},
		"unknown kind":        {func(a *Announcement) { a.Kind = "disk" }, "kind"},
		"address and path":    {func(a *Announcement) { a.Address = "host/path:80" }, "address"},
		"address and user":    {func(a *Announcement) { a.Address = "u@host:80" }, "address"},
		"port 0":              {func(a *Announcement) { a.Address = "host:0" }, "address"},
		"no concurrency":      {func(a *Announcement) { a.MaxConcurrent = 0 }, "max_concurrent"},
		"no memory":           {func(a *Announcement) { a.MemoryTokens = 0 }, "memory_tokens"},
		"too much memory":     {func(a *Announcement) { a.MemoryTokens = 1 << 60 }, "memory_tokens"},
		"negative bytes":      {func(a *Announcement) { a.MinBytesPerToken = -1 }, "min_bytes_per_token"},
		"unknown temperature": {func(a *Announcement) { a.Temperature = "hot" }, "temperature"},
		"ranks and no group":  {func(a *Announcement) { a.Ranks = []uint32{1} }, "ranks"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeAnnouncement(announcement(test.change))
			if (err == nil) != (test.want == "") || (err != nil && !strings.Contains(err.Error(), test.want)) {
				t.Errorf("got %v, want a problem with %q", err, test.want)
			}
		})
	}
}

// Guards against an announcement that passes validation and violates an
// invariant that the agent relies on.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add(announcement(func(*Announcement) {}))
	f.Add([]byte(`{"name":"a","incarnation":1,"service":"s","kind":"plain","address":"h:1","max_concurrent":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeAnnouncement(data)
		if err != nil {
			if !fault.Is(err, fault.BadRequest) && !fault.Is(err, fault.TooLarge) {
				t.Errorf("error %v, want kind bad_request or too_large", err)
			}
			return
		}
		_, _, addressErr := net.SplitHostPort(a.Address)
		if a.Name == "" || a.Incarnation == 0 || addressErr != nil || a.MaxConcurrent == 0 ||
			a.ColdConcurrent == 0 || a.ColdConcurrent > a.MaxConcurrent || !(a.MinBytesPerToken > 0) {
			t.Errorf("accepted invalid announcement %+v", a)
		}
	})
}

// Guards against a body in which the engine reads another token limit than the
// agent has reserved, and against fields of the caller that are lost.
func TestCompletionBody(t *testing.T) {
	tests := map[string]struct {
		body   string
		max    uint64
		resume *Resume
		want   string
	}{
		"lower limit is kept":     {`{"prompt":"p","max_tokens":5,"top_p":0.5}`, 10, nil, `{"max_tokens":5,"prompt":"p","stream":true,"top_p":0.5}`},
		"higher limit is lowered": {`{"prompt":"p","max_tokens":50}`, 10, nil, `{"max_tokens":10,"prompt":"p","stream":true}`},
		"no limit":                {`{"prompt":"p"}`, 10, nil, `{"max_tokens":10,"prompt":"p","stream":true}`},
		"other name":              {`{"max_completion_tokens":7,"max_tokens":9}`, 10, nil, `{"max_tokens":7,"stream":true}`},
		"twice":                   {`{"max_tokens":5,"max_tokens":500}`, 10, nil, `{"max_tokens":10,"stream":true}`},
		"resume of a caller":      {`{"resume":{"text":"x","tokens":1}}`, 0, nil, `{"stream":true}`},
		"resume":                  {`{}`, 0, &Resume{Text: "a", Tokens: 1}, `{"resume":{"text":"a","tokens":1},"stream":true}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := completionBody(Completion{Body: []byte(test.body), MaxTokens: test.max, Resume: test.resume}, true)
			if diff := cmp.Diff(test.want, string(got)); diff != "" || err != nil {
				t.Errorf("%v\n%s", err, diff)
			}
		})
	}
}

// Guards against errors that misreport whether a call may have run, and against
// requests that net/http resends automatically.
func TestOutcomes(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/swap":
			w.Header().Set(HeaderRequestID, "other")
		case "/redirect":
			http.Redirect(w, r, "/abort", http.StatusTemporaryRedirect)
		}
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	tests := map[string]struct {
		address, path string
		status        int
		kind          fault.Kind
		ran           fault.Ran
	}{
		"refused":    {address: "127.0.0.1:1", path: "/", kind: fault.Unavailable, ran: fault.RanNo},
		"aborted":    {address: address, path: "/abort", kind: fault.BackendFailed, ran: fault.RanUnknown},
		"swapped":    {address: address, path: "/swap", kind: fault.ChecksumMismatch, ran: fault.RanUnknown},
		"redirected": {address: address, path: "/redirect", status: http.StatusTemporaryRedirect},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := received.Load()
			header := http.Header{"Idempotency-Key": {"k"}}
			resp, err := New().Do(context.Background(), Call{Address: test.address, Method: "GET", Path: test.path, Header: header, ID: "me", Body: []byte("x")})
			if test.status != 0 {
				if err != nil || resp.StatusCode != test.status {
					t.Errorf("got %v %v", resp, err)
				}
				resp.Body.Close()
				return
			}
			var e *fault.Error
			if !errors.As(err, &e) || e.Kind != test.kind || e.Ran != test.ran {
				t.Errorf("got %v, want %v with ran %v", err, test.kind, test.ran)
			}
			if n := received.Load() - before; n > 1 {
				t.Errorf("server received the request %d times, want at most once", n)
			}
		})
	}
}
