package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestServerEndsAfterEachByte guards against an answer that looks whole although its
// backend server has ended in the middle of it.
func TestServerEndsAfterEachByte(t *testing.T) {
	const stream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	tests := map[string]struct {
		path, body string
		rest       script // of the backend server that is asked next
	}{
		"order":        {"/once/1", "done", ok},
		"idempotent":   {"/again/1", "done", ok},
		"resumable":    {"/stream/1", stream, func(c net.Conn, r *http.Request) bool { return events(c, r, 3, true, "") }},
		"fixed stream": {"/fixed/1", stream, func(c net.Conn, r *http.Request) bool { return events(c, r, 3, true, "") }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestGateway(t)
			answer := "HTTP/1.1 200 OK\r\n" + signed + "X-Request-Id: r1\r\n\r\n" + test.body
			second := newFakeServer(t, test.rest)
			for n := range len(answer) {
				var first *fakeServer
				first = newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
					// The other backend server appears now, so that this one is asked first.
					s.asSecond(second)
					fmt.Fprint(conn, answer[:n])
					first.end()
					return false
				})
				s.replaceServers(first)
				// On a busy host, a connection may not be open in time.
				status, body := 0, ""
				for range 5 {
					if status, body, _ = s.send(t, "POST", test.path, ""); len(first.requests()) > 0 {
						break
					}
				}
				if len(first.requests()) == 0 {
					t.Errorf("cut after %d bytes: the request did not reach the backend server", n)
				}
				if status == http.StatusOK && body != test.body && !strings.HasSuffix(body, "BROKEN") {
					t.Errorf("cut after %d bytes: a whole answer %q", n, body)
				}
			}
		})
	}
}
