package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testServer(t *testing.T, handle Handler) *httptest.Server {
	t.Helper()
	d := NewDirectory(intent.Intent{
		Services: []intent.Service{
			{Name: "pool", Kind: intent.Model, Model: "m-1", MaxBodyBytes: 2000},
			{Name: "desk", Kind: intent.Plain, MaxBodyBytes: 100, Routes: []intent.Route{
				{Path: "/stock/*", Repeatable: true}, {Path: "/stock/ab", Repeatable: false}}},
			{Name: "secret", Kind: intent.Plain},
		},
		ClientAccounts: []intent.ClientAccount{
			{Name: "acme", KeySHA256: hashOf("good"), Services: []string{"pool", "desk"}},
			{Name: "empty", KeySHA256: hashOf("")},
		},
	})
	e := echo.New()
	New(Config{
		Directory: func() (*Directory, error) { return d, nil },
		Handle:    handle, Now: time.Now, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	}).Register(e)
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return s
}

func do(t *testing.T, s *httptest.Server, method, path string, body io.Reader, headers map[string]string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer good")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res, data, err
}

// Guards against invalid requests that reach the handler, or are rejected with
// the wrong kind, without a request id or without ran "no".
func TestBadInput(t *testing.T) {
	const chat, text, desk = "/v1/chat/completions", "/v1/completions", "/s/desk/orders"
	h := func(name, value string) map[string]string { return map[string]string{name: value} }
	tests := map[string]struct {
		method, path, body string
		headers            map[string]string
		kind               fault.Kind
	}{
		"no path":               {"GET", "/nothing", "", nil, fault.NotFound},
		"operator view":         {"POST", "/twirp/oleanderrack.peer.Operator/Plan", "{}", nil, fault.NotFound},
		"wrong method":          {"GET", chat, "", nil, fault.BadRequest},
		"no key":                {"POST", text, "{}", h("Authorization", ""), fault.Unauthenticated},
		"empty key":             {"POST", text, "{}", h("Authorization", "Bearer "), fault.Unauthenticated},
		"unknown key":           {"POST", text, "{}", h("Authorization", "Bearer bad"), fault.Unauthenticated},
		"long key":              {"POST", text, "{}", h("Authorization", "Bearer "+strings.Repeat("x", 600)), fault.Unauthenticated},
		"other scheme":          {"POST", text, "{}", h("Authorization", "Basic good"), fault.Unauthenticated},
		"no JSON":               {"POST", text, "{", nil, fault.BadRequest},
		"two values":            {"POST", text, "{}{}", nil, fault.BadRequest},
		"null":                  {"POST", text, "null", nil, fault.BadRequest},
		"list":                  {"POST", text, "[]", nil, fault.BadRequest},
		"no body":               {"POST", text, "", nil, fault.BadRequest},
		"no model":              {"POST", text, `{"prompt":"x"}`, nil, fault.BadRequest},
		"model is a number":     {"POST", text, `{"model":1,"prompt":"x"}`, nil, fault.BadRequest},
		"unknown model":         {"POST", text, `{"model":"m-9","prompt":"x"}`, nil, fault.UnknownService},
		"plain as model":        {"POST", text, `{"model":"desk","prompt":"x"}`, nil, fault.UnknownService},
		"no prompt":             {"POST", text, `{"model":"pool"}`, nil, fault.BadRequest},
		"two prompts":           {"POST", text, `{"model":"pool","prompt":["a","b"]}`, nil, fault.BadRequest},
		"no messages":           {"POST", chat, `{"model":"pool","messages":[]}`, nil, fault.BadRequest},
		"message without role":  {"POST", chat, `{"model":"pool","messages":[{"content":"x"}]}`, nil, fault.BadRequest},
		"message is a text":     {"POST", chat, `{"model":"pool","messages":["x"]}`, nil, fault.BadRequest},
		"stream is a text":      {"POST", text, `{"model":"pool","prompt":"x","stream":"yes"}`, nil, fault.BadRequest},
		"max_tokens negative":   {"POST", text, `{"model":"pool","prompt":"x","max_tokens":-1}`, nil, fault.BadRequest},
		"max_tokens zero":       {"POST", text, `{"model":"pool","prompt":"x","max_tokens":0}`, nil, fault.BadRequest},
		"several answers":       {"POST", text, `{"model":"pool","prompt":"x","n":2}`, nil, fault.BadRequest},
		"large completion":      {"POST", text, `{"model":"pool","prompt":"` + strings.Repeat("x", 2000) + `"}`, nil, fault.TooLarge},
		"large plain":           {"POST", desk, strings.Repeat("x", 101), nil, fault.TooLarge},
		"large header":          {"POST", desk, "", h("X-A", strings.Repeat("x", 17<<10)), fault.TooLarge},
		"unknown service":       {"GET", "/s/none/x", "", nil, fault.UnknownService},
		"model as plain":        {"GET", "/s/pool/x", "", nil, fault.UnknownService},
		"service not allowed":   {"GET", "/s/secret/x", "", nil, fault.Forbidden},
		"dot segments":          {"GET", "/s/desk/stock/../orders", "", nil, fault.BadRequest},
		"encoded dots":          {"GET", "/s/desk/stock/%2e%2e/orders", "", nil, fault.BadRequest},
		"encoded slash":         {"GET", "/s/desk/stock%2forders", "", nil, fault.BadRequest},
		"empty segment":         {"GET", "/s/desk//orders", "", nil, fault.BadRequest},
		"deadline is a text":    {"POST", desk, "", h("X-Request-Deadline-Ms", "soon"), fault.BadRequest},
		"deadline has passed":   {"POST", desk, "", h("X-Request-Deadline-Ms", "0"), fault.DeadlineExceeded},
		"deadline negative":     {"POST", desk, "", h("X-Request-Deadline-Ms", "-5"), fault.DeadlineExceeded},
		"priority is a text":    {"POST", desk, "", h("X-Priority", "high"), fault.BadRequest},
		"priority out of range": {"POST", desk, "", h("X-Priority", "1000"), fault.BadRequest},
		"empty idempotency key": {"POST", desk, "", h("Idempotency-Key", ""), fault.BadRequest},
		"long idempotency key":  {"POST", desk, "", h("Idempotency-Key", strings.Repeat("k", 256)), fault.BadRequest},
		"space in key":          {"POST", desk, "", h("Idempotency-Key", "a b"), fault.BadRequest},
		"key beyond ASCII":      {"POST", desk, "", h("Idempotency-Key", "schlüssel"), fault.BadRequest},
	}
	s := testServer(t, func(_ context.Context, req *Request, _ *Responder) error {
		t.Errorf("handler was called for %s %s", req.Method, req.Path)
		return nil
	})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			res, data, err := do(t, s, test.method, test.path, strings.NewReader(test.body), test.headers)
			if err != nil {
				t.Fatal(err)
			}
			var got fault.Body
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatalf("error %v in body %q", err, data)
			}
			want := fault.Body{Kind: test.kind.String(), Ran: "no", Message: got.Message, RequestID: res.Header.Get("X-Request-Id")}
			if diff := cmp.Diff(want, got); diff != "" || got.Message == "" || got.RequestID == "" || res.StatusCode != test.kind.Status() {
				t.Errorf("status %d, message %q: %s", res.StatusCode, got.Message, diff)
			}
		})
	}
}

// Guards against a body without a Content-Length that bypasses the limit.
func TestLargeChunkedBody(t *testing.T) {
	s := testServer(t, func(context.Context, *Request, *Responder) error { return fault.New(fault.Internal, "handled") })
	res, data, err := do(t, s, "POST", "/s/desk/orders", io.MultiReader(strings.NewReader(strings.Repeat("x", 101))), nil)
	if err != nil || res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got response %v, body %s, error %v", res, data, err)
	}
}

// Guards against bodies that together take more memory than allowed, and
// against memory that is not released.
func TestBodiesAreBounded(t *testing.T) {
	api := New(Config{MaxBufferedBodyBytes: 100})
	reserve := func(length, limit int64) (*call, error) {
		in := &call{http: &http.Request{ContentLength: length}}
		return in, api.reserve(in, limit)
	}
	if _, err := reserve(60, 100); err != nil {
		t.Fatal(err)
	}
	in, err := reserve(-1, 50)
	if !fault.Is(err, fault.BufferLimit) || fault.From(err).Ran != fault.RanNo {
		t.Errorf("reserving 50 bytes for a body of unknown length: %v, want buffer_limit with ran no", err)
	}
	api.bufferedBytes.Add(-in.reservedBytes)
	if _, err := reserve(40, 100); err != nil {
		t.Errorf("reserving the remaining 40 bytes: %v", err)
	}
}

// Guards against requests that reach the handler altered or with the caller's
// credentials, and against a wrong value of Repeatable.
func TestRequests(t *testing.T) {
	type received struct {
		Account, Service, Method, Path, Key, Body, Prompt string
		Headers                                           []string
		Priority                                          int32
		Stream, Repeatable                                bool
		MaxTokens                                         uint64
	}
	var got received
	s := testServer(t, func(_ context.Context, r *Request, w *Responder) error {
		got = received{r.ClientAccount, r.Service.Name, r.Method, r.Path, r.Key, string(r.Body), string(r.Prompt), nil,
			r.Priority, r.Stream, r.Repeatable, r.MaxTokens}
		for _, h := range r.Headers {
			if strings.HasPrefix(h.Name, "X-") {
				got.Headers = append(got.Headers, h.Name+"="+h.Value)
			}
		}
		return w.WriteComplete(200, nil, nil)
	})
	tests := map[string]struct {
		method, path, body string
		headers            map[string]string
		want               received
	}{
		"plain": {"PUT", "/s/desk/orders/1?a=b%20c", "body", map[string]string{"Idempotency-Key": "k-1", "X-Priority": "-3", "X-A": "1", "X-Request-Id": "mine", "Connection": "X-B", "X-B": "2"},
			received{Account: "acme", Service: "desk", Method: "PUT", Path: "/orders/1?a=b%20c", Key: "k-1", Body: "body", Headers: []string{"X-A=1"}, Priority: -3}},
		"repeatable":               {"GET", "/s/desk/stock/7", "", nil, received{Account: "acme", Service: "desk", Method: "GET", Path: "/stock/7", Repeatable: true}},
		"encoded exempt path":      {"GET", "/s/desk/stock/a%62", "", nil, received{Account: "acme", Service: "desk", Method: "GET", Path: "/stock/a%62"}},
		"root":                     {"GET", "/s/desk", "", nil, received{Account: "acme", Service: "desk", Method: "GET", Path: "/"}},
		"completion with a limit":  {"POST", "/v1/completions", `{"model":"m-1","prompt":"hi","max_tokens":5}`, nil, received{Account: "acme", Service: "pool", Method: "POST", Path: "/v1/completions", Body: `{"model":"m-1","prompt":"hi","max_tokens":5}`, Prompt: "hi", Repeatable: true, MaxTokens: 5}},
		"completion without limit": {"POST", "/v1/completions", `{"model":"pool","prompt":"hi","stream":true,"MAX_TOKENS":1}`, nil, received{Account: "acme", Service: "pool", Method: "POST", Path: "/v1/completions", Body: `{"MAX_TOKENS":1,"max_tokens":1024,"model":"pool","prompt":"hi","stream":true}`, Prompt: "hi", Stream: true, Repeatable: true, MaxTokens: 1024}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			res, data, err := do(t, s, test.method, test.path, strings.NewReader(test.body), test.headers)
			if err != nil || res.StatusCode != 200 {
				t.Fatalf("got response %v, body %s, error %v", res, data, err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			if id := res.Header.Get("X-Request-Id"); id == "" || id == "mine" {
				t.Errorf("request id is %q", id)
			}
		})
	}
}

// Guards against a failed response that looks complete.
func TestFailedAnswers(t *testing.T) {
	broken := fault.New(fault.StreamBroken, "broken")
	tests := map[string]struct {
		handle    Handler
		status    int
		want      string
		truncated bool
	}{
		"before the response": {func(context.Context, *Request, *Responder) error {
			return broken.WithRetryAfter(1500 * time.Millisecond)
		}, 502, `"retry_after_ms":1500`, false},
		"in a stream": {func(_ context.Context, _ *Request, w *Responder) error {
			w.Begin(200, nil, true)
			w.WritePart([]byte("one\ntwo"))
			return broken
		}, 200, "data: one\ndata: two\n\nevent: error\ndata: {\"kind\":\"stream_broken\"", false},
		"in a body": {func(_ context.Context, _ *Request, w *Responder) error {
			w.Begin(200, []*peer.Header{{Name: "Content-Length", Value: "3"}}, false)
			w.WritePart([]byte("abc"))
			w.Flush()
			return broken
		}, 200, "abc", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := testServer(t, test.handle)
			res, data, err := do(t, s, "POST", "/v1/completions", strings.NewReader(`{"model":"pool","prompt":"x"}`), nil)
			if res == nil || res.StatusCode != test.status || !bytes.Contains(data, []byte(test.want)) || bytes.Contains(data, []byte("[DONE]")) {
				t.Errorf("got %v %q", res, data)
			}
			if (err != nil) != test.truncated {
				t.Errorf("reading the body ended with error %v", err)
			}
		})
	}
}

// Guards against a list of models that includes services that the account may
// not call.
func TestModels(t *testing.T) {
	s := testServer(t, nil)
	_, data, err := do(t, s, "GET", "/v1/models", nil, nil)
	want := `{"object":"list","data":[{"id":"pool","object":"model","created":0,"owned_by":"oleanderrack"}]}`
	if err != nil || strings.TrimSpace(string(data)) != want {
		t.Errorf("got %s %v", data, err)
	}
}
