package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// raw answers with text, in which "ID" stands for the id of the request, and keeps the
// connection open or closes it.
func raw(text string, keep bool) script {
	return func(conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Request-Id")))
		return keep
	}
}

// checkBrokenAnswer checks an answer of a backend server that keeps its connection open,
// and of one that closes it.
func checkBrokenAnswer(t *testing.T, text string) {
	for name, keep := range map[string]bool{"kept": true, "closed": false} {
		t.Run(name, func(t *testing.T) { checkBrokenBy(t, raw(text, keep)) })
	}
}

// checkBrokenBy sends each request to two backend servers at most, the first of which
// gives a broken answer, and compares what callers get: the answer of the second one if
// the request may be repeated, and a failure without a promise otherwise.
func checkBrokenBy(t *testing.T, broken script) {
	t.Helper()
	const failed = `"ran":"unknown"`
	tests := map[string]struct {
		path    string
		servers int
		want    string // part of the body
		status  int
		calls   int32
	}{
		"may be repeated":                    {"/again/1", 2, "done", 200, 2},
		"may be repeated, no other server":   {"/again/1", 1, failed, 502, 1},
		"must not be repeated":               {"/once/1", 2, failed, 502, 1},
		"resumable stream":                   {"/stream/1", 2, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", 200, 2},
		"stream that must not be repeated":   {"/fixed/1", 2, failed, 502, 1},
		"resumable stream, no other server":  {"/stream/1", 1, failed, 502, 1},
		"resumable stream, after two events": {"/stream/2", 3, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nBROKEN", 200, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lines, log := newLogBuffer()
			var calls atomic.Int32
			answer := func(conn net.Conn, r *http.Request) bool {
				call := calls.Add(1)
				switch {
				case test.path == "/stream/2" && call == 1:
					return events(conn, r, 2, false, "")
				case test.path == "/stream/2" || call == 1:
					return broken(conn, r)
				case strings.HasPrefix(r.URL.Path, "/stream/"):
					return events(conn, r, 2, true, "")
				}
				return ok(conn, r)
			}
			var servers []*fakeServer
			for range test.servers {
				servers = append(servers, newFakeServer(t, answer))
			}
			s := newLoggingGateway(t, log, servers...)
			status, body, header := s.send(t, "POST", test.path, "")
			if diff := cmp.Diff([]any{test.status, test.calls}, []any{status, calls.Load()}); diff != "" {
				t.Error(diff)
			}
			if !strings.Contains(body, test.want) || (status == http.StatusOK && body != test.want) {
				t.Errorf("the caller got the body %q, want %q", body, test.want)
			}
			if status != http.StatusOK && (header.Get("X-Signature") != "" || header.Get("Retry-After") != "") {
				t.Errorf("the failure bears headers of an answer or a promise: %v", header)
			}
			if n := s.count("broken_answers"); n != 1 {
				t.Errorf("%d broken answers are counted, want 1", n)
			}
			if n := s.count("attempts_failed"); n == 0 {
				t.Error("the attempt does not count as failed")
			}
			said := lines.lines(t, "answer breaks the protocol")
			if len(said) != 1 || said[0]["backend_server"] == "" || said[0]["request_id"] != "r1" || said[0]["part"] == "" {
				t.Errorf("the log does not say once which backend server sent which part: %v", said)
			}
		})
	}
}

// count returns the sum of a counter over its labels.
func (s *testGateway) count(name string) (n int64) {
	for _, c := range s.scope.Snapshot().Counters() {
		if c.Name() == name {
			n += c.Value()
		}
	}
	return n
}

// TestInvalidStatus guards against an answer whose status is none being passed on, and
// against a caller whose connection is closed for it without an answer.
func TestInvalidStatus(t *testing.T) {
	const rest = "\r\nX-Request-Id: ID\r\n" + signed + "Content-Length: 4\r\n\r\nspam"
	tests := map[string]string{
		"000":                        "HTTP/1.1 000 X",
		"000, without a reason":      "HTTP/1.1 000 ",
		"099":                        "HTTP/1.1 099 X",
		"600":                        "HTTP/1.1 600 X",
		"999":                        "HTTP/1.1 999 X",
		"letters":                    "HTTP/1.1 2OO X",
		"sign":                       "HTTP/1.1 +20 X",
		"two digits":                 "HTTP/1.1 20 X",
		"four digits":                "HTTP/1.1 2000 X",
		"control byte in the reason": "HTTP/1.1 200 O\x01K",
		"bare CR in the reason":      "HTTP/1.1 200 O\rK",
		"no space after the status":  "HTTP/1.1 200",
		"two spaces":                 "HTTP/1.1  200 X",
		"tab":                        "HTTP/1.1\t200 X",
		"HTTP/2.0":                   "HTTP/2.0 200 X",
		"HTTP/1.10":                  "HTTP/1.10 200 X",
		"lower case":                 "http/1.1 200 X",
		"interim head of status 000": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 X",
		"switched protocols":         "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 X",
	}
	for name, line := range tests {
		t.Run(name, func(t *testing.T) { checkBrokenAnswer(t, line+rest) })
	}
}

// TestInvalidField guards against an answer being passed on in whose head a line is no
// field: the line reaches the caller, or the bytes of the framing do if the line was to
// set it.
func TestInvalidField(t *testing.T) {
	const begin = "HTTP/1.1 200 X\r\nX-Request-Id: ID\r\n" + signed
	const chunked = "\r\n4\r\nspam\r\n0\r\n\r\n"
	const whole = "Content-Length: 4\r\n\r\nspam"
	tests := map[string]string{
		"blank in a name":                  begin + "X Note: a\r\n" + whole,
		"blank after a name":               begin + "X-Note : a\r\n" + whole,
		"blank before a name":              begin + " X-Note: a\r\n" + whole,
		"tab in a name":                    begin + "X\tNote: a\r\n" + whole,
		"NUL in a name":                    begin + "X\x00Note: a\r\n" + whole,
		"control byte in a name":           begin + "X\x01Note: a\r\n" + whole,
		"CR in a name":                     begin + "X\rNote: a\r\n" + whole,
		"LF before a name":                 begin + "\nX-Note: a\r\n" + whole,
		"LF in a name":                     begin + "X:\nNote: a\r\n" + whole,
		"DEL in a name":                    begin + "X\x7fNote: a\r\n" + whole,
		"byte over 127 in a name":          begin + "X\x80Note: a\r\n" + whole,
		"separator in a name":              begin + "X(Note: a\r\n" + whole,
		"no name":                          begin + ": a\r\n" + whole,
		"no colon":                         begin + "X-Note\r\n" + whole,
		"first line begins with a blank":   "HTTP/1.1 200 X\r\n X-Note: a\r\nX-Request-Id: ID\r\n" + signed + whole,
		"folded value":                     begin + "X-Note: a\r\n b\r\n" + whole,
		"NUL in a value":                   begin + "X-Note: a\x00b\r\n" + whole,
		"control byte in a value":          begin + "X-Note: a\x01b\r\n" + whole,
		"CR in a value":                    begin + "X-Note: a\rb\r\n" + whole,
		"LF in a value":                    begin + "X-Note: a\nX-Other: b\r\n" + whole,
		"DEL in a value":                   begin + "X-Note: a\x7fb\r\n" + whole,
		"in an interim head":               "HTTP/1.1 103 X\r\nX Note: a\r\n\r\n" + begin + whole,
		"blank after Content-Length":       begin + "Content-Length : 4\r\n\r\nspam",
		"blank after Transfer-Encoding":    begin + "Transfer-Encoding : chunked\r\n" + chunked,
		"blank before Transfer-Encoding":   begin + " Transfer-Encoding: chunked\r\n" + chunked,
		"control byte in the framing":      begin + "Transfer-\x01Encoding: chunked\r\n" + chunked,
		"control byte after the framing":   begin + "Transfer-Encoding\x0b: chunked\r\n" + chunked,
		"blank in the name of a length":    begin + "Content Length: 4\r\n\r\nspam and more",
		"blank after the name of a length": begin + "Content-Length : 2\r\n\r\nspam and more",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) { checkBrokenAnswer(t, text) })
	}
}

// TestInvalidFraming guards against an answer being passed on whose head names two ends
// of the body, or none that can be used.
func TestInvalidFraming(t *testing.T) {
	const begin = "HTTP/1.1 200 X\r\nX-Request-Id: ID\r\n" + signed
	const chunked = "\r\n4\r\nspam\r\n0\r\n\r\n"
	tests := map[string]string{
		"two lengths":                       begin + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nspam",
		"list of lengths":                   begin + "Content-Length: 4, 2\r\n\r\nspam",
		"negative length":                   begin + "Content-Length: -4\r\n\r\nspam",
		"length with a sign":                begin + "Content-Length: +4\r\n\r\nspam",
		"length with letters":               begin + "Content-Length: 4x\r\n\r\nspam",
		"hexadecimal length":                begin + "Content-Length: 0x4\r\n\r\nspam",
		"empty length":                      begin + "Content-Length: \r\n\r\nspam",
		"length beyond 64 bits":             begin + "Content-Length: 18446744073709551620\r\n\r\nspam",
		"length and chunks":                 begin + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunked,
		"chunks and length":                 begin + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" + chunked,
		"unknown coding":                    begin + "Transfer-Encoding: xchunked\r\n" + chunked,
		"coding that is not asked for":      begin + "Transfer-Encoding: gzip, chunked\r\n" + chunked,
		"chunked twice":                     begin + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunked,
		"empty coding":                      begin + "Transfer-Encoding: \r\n" + chunked,
		"chunks in HTTP/1.0":                "HTTP/1.0 200 X\r\nX-Request-Id: ID\r\n" + signed + "Transfer-Encoding: chunked\r\n" + chunked,
		"204 with a length":                 "HTTP/1.1 204 X\r\nX-Request-Id: ID\r\n" + signed + "Content-Length: 4\r\n\r\nspam",
		"204 with chunks":                   "HTTP/1.1 204 X\r\nX-Request-Id: ID\r\n" + signed + "Transfer-Encoding: chunked\r\n" + chunked,
		"interim head with a length":        "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nspam" + begin + "Content-Length: 4\r\n\r\nspam",
		"not run, with two ends":            "HTTP/1.1 503 X\r\nX-Request-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nspam",
		"not run, with a status of 000":     "HTTP/1.1 000 X\r\nX-Request-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nspam",
		"not run, with a blank in a name":   "HTTP/1.1 503 X\r\nX-Request-Id: ID\r\nX-Not-Run: 1\r\nX Note: a\r\nContent-Length: 4\r\n\r\nspam",
		"not run, with a blank in this one": "HTTP/1.1 503 X\r\nX-Request-Id: ID\r\nX-Not-Run : 1\r\nContent-Length: 4\r\n\r\nspam",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) { checkBrokenAnswer(t, text) })
	}
}

// TestInvalidChunks guards against a body being passed on as complete whose chunks or
// trailer break the grammar.
func TestInvalidChunks(t *testing.T) {
	const begin = "HTTP/1.1 200 X\r\nX-Request-Id: ID\r\n" + signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"blank before a size":             begin + " 4\r\nspam\r\n0\r\n\r\n",
		"blank after a size":              begin + "4 \r\nspam\r\n0\r\n\r\n",
		"sign before a size":              begin + "+4\r\nspam\r\n0\r\n\r\n",
		"no size":                         begin + "\r\nspam\r\n0\r\n\r\n",
		"size beyond 64 bits":             begin + "10000000000000004\r\nspam\r\n0\r\n\r\n",
		"LF after a size":                 begin + "4\nspam\r\n0\r\n\r\n",
		"LF after a chunk":                begin + "4\r\nspam\n0\r\n\r\n",
		"longer than its size":            begin + "4\r\nspammed\r\n0\r\n\r\n",
		"control byte in an extension":    begin + "4;a=\x01\r\nspam\r\n0\r\n\r\n",
		"blank in the name of a trailer":  begin + "4\r\nspam\r\n0\r\nX Note: a\r\n\r\n",
		"NUL in the value of a trailer":   begin + "4\r\nspam\r\n0\r\nX-Note: a\x00\r\n\r\n",
		"trailer without a colon":         begin + "4\r\nspam\r\n0\r\nX-Note\r\n\r\n",
		"length in a trailer":             begin + "4\r\nspam\r\n0\r\nContent-Length: 4\r\n\r\n",
		"LF after a trailer":              begin + "4\r\nspam\r\n0\r\nX-Note: a\n\r\n",
		"status line in place of trailer": begin + "4\r\nspam\r\n0\r\nHTTP/1.1 200 X\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) { checkBrokenAnswer(t, text) })
	}
}

// TestUnusualAnswer guards against an answer being rejected that the grammar allows.
func TestUnusualAnswer(t *testing.T) {
	const id = "X-Request-Id: ID\r\n"
	const end = "Content-Length: 4\r\n\r\ndone"
	tests := map[string]struct {
		text   string
		header string // of the answer, as "name: value"
		status int
	}{
		"empty reason":               {"HTTP/1.1 200 \r\n" + id + signed + end, "", 200},
		"obs-text in the reason":     {"HTTP/1.1 200 \xe9t\xe9\r\n" + id + signed + end, "", 200},
		"obs-text in a value":        {"HTTP/1.1 200 X\r\n" + id + signed + "X-Note: caf\xe9 \xff\r\n" + end, "X-Note: caf\xe9 \xff", 200},
		"empty value":                {"HTTP/1.1 200 X\r\n" + id + signed + "X-Note:\r\n" + end, "X-Note: ", 200},
		"blanks around a value":      {"HTTP/1.1 200 X\r\n" + id + signed + "X-Note: \t a\tb \r\n" + end, "X-Note: a\tb", 200},
		"all bytes of a token":       {"HTTP/1.1 200 X\r\n" + id + signed + "!#$%&'*+-.^_`|~09aZ: a\r\n" + end, "!#$%&'*+-.^_`|~09aZ: a", 200},
		"same length twice":          {"HTTP/1.1 200 X\r\n" + id + signed + "Content-Length: 4\r\n" + end, "", 200},
		"length with leading zeros":  {"HTTP/1.1 200 X\r\n" + id + signed + "Content-Length: 004\r\n\r\ndone", "", 200},
		"HTTP/1.0":                   {"HTTP/1.0 200 X\r\n" + id + signed + end, "", 200},
		"other status":               {"HTTP/1.1 299 X\r\n" + id + signed + end, "", 299},
		"status that nobody uses":    {"HTTP/1.1 499 X\r\n" + id + signed + end, "", 499},
		"interim heads":              {"HTTP/1.1 103 \r\nLink: </a>\r\n\r\nHTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\n" + id + signed + end, "", 200},
		"Chunked":                    {"HTTP/1.1 200 X\r\n" + id + signed + "Transfer-Encoding: Chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", "", 200},
		"extensions of chunks":       {"HTTP/1.1 200 X\r\n" + id + signed + "Transfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\ndo\r\n02;c\r\nne\r\n0;d\r\n\r\n", "", 200},
		"trailer":                    {"HTTP/1.1 200 X\r\n" + id + signed + "Trailer: X-Note\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Note: \xe9\r\nX-Empty:\r\n\r\n", "", 200},
		"204 with a length of 0":     {"HTTP/1.1 204 X\r\n" + id + signed + "Content-Length: 0\r\n\r\n", "", 204},
		"304 with the file's length": {"HTTP/1.1 304 X\r\n" + id + signed + "Content-Length: 4\r\n\r\n", "", 304},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFakeServer(t, raw(test.text, true))
			s := newTestGateway(t, f)
			want := "done"
			if test.status == 204 || test.status == 304 {
				want = ""
			}
			for range 2 { // the second one on a kept connection
				status, body, header := s.send(t, "POST", "/again/1", "")
				if diff := cmp.Diff([]any{test.status, want}, []any{status, body}); diff != "" {
					t.Error(diff)
				}
				if name, value, ok := strings.Cut(test.header, ": "); ok {
					if diff := cmp.Diff([]string{value}, header.Values(name)); diff != "" {
						t.Error(diff)
					}
				}
			}
			if n := s.count("broken_answers"); n != 0 {
				t.Errorf("%d answers count as broken", n)
			}
		})
	}
}

// TestHeadersOfHead guards against the head of an answer to HEAD being taken for one
// whose body is missing, or the next answer for that body.
func TestHeadersOfHead(t *testing.T) {
	f := newFakeServer(t, raw("HTTP/1.1 200 X\r\nX-Request-Id: ID\r\n"+signed+"Content-Length: 4000\r\nKeep-Alive: timeout=5\r\n\r\n", true))
	s := newTestGateway(t, f)
	for range 3 {
		if status, body, _ := s.send(t, "HEAD", "/again/1", ""); status != 200 || body != "" {
			t.Errorf("status %d, body %q", status, body)
		}
	}
}

// TestBrokenHealthAnswer guards against an answer without a length that counts as complete
// because its backend server has answered a health check with a broken head.
func TestBrokenHealthAnswer(t *testing.T) {
	tests := map[string]string{
		"status 000":      "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"blank in a name": "HTTP/1.1 200 X\r\nX Note: a\r\nContent-Length: 0\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			broken := newFakeServer(t, raw("HTTP/1.1 200 X\r\nX-Request-Id: ID\r\n"+signed+"\r\nspam", false))
			broken.health = raw(text, true)
			s := newTestGateway(t, broken)
			status, body, _ := s.send(t, "POST", "/once/1", "")
			if status != 502 || !strings.Contains(body, `"ran":"unknown"`) {
				t.Errorf("the caller got %d %q, want 502", status, body)
			}
			if n := s.count("broken_answers"); n != 1 {
				t.Errorf("%d broken answers are counted, want 1", n)
			}
		})
	}
}

// TestBrokenHeadsCountAgainstServer guards against a backend server that keeps its
// share of the requests although the heads of its answers are broken.
func TestBrokenHeadsCountAgainstServer(t *testing.T) {
	broken := newFakeServer(t, raw("HTTP/1.1 000 X\r\nX-Request-Id: ID\r\n"+signed+"Content-Length: 0\r\n\r\n", true))
	sound := newFakeServer(t, ok)
	s := newTestGateway(t, broken, sound)
	const requests = 60
	for i := range requests {
		status, body, _ := s.send(t, "POST", "/again/1", "")
		if status != 200 || body != "done" {
			t.Fatalf("request %d was answered %d %q", i, status, body)
		}
		time.Sleep(time.Millisecond)
	}
	if n := len(broken.requests()); n > requests/3 {
		t.Errorf("%d of %d requests reached the backend server whose heads are broken", n, requests)
	}
}
