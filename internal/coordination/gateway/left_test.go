package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCallerClosesItsSide guards against an empty success, or a part of a stream that
// ends as a whole one, for a caller that closes its connection for writing after its
// request and reads on. The request's backend server goes on.
func TestCallerClosesItsSide(t *testing.T) {
	const first = "id: 1\ndata: e1\n\n"
	tests := map[string]struct {
		request string
		// answer is what the backend server sends before the caller closes its side.
		answer string
		// reads is the part of the answer that the caller awaits before that.
		reads string
		want  string
	}{
		"order":                    {request: "POST /once/1 HTTP/1.1\r\n%sContent-Length: 2\r\n\r\nab"},
		"order without a body":     {request: "POST /once/1 HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n"},
		"order in chunks":          {request: "POST /once/1 HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		"may be repeated":          {request: "GET /again/1 HTTP/1.1\r\n%s\r\n"},
		"stream before its events": {request: "POST /stream/1 HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n"},
		"stream after an event":    {request: "POST /stream/1 HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n", answer: first, reads: first, want: first + "BROKEN"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived, end := make(chan struct{}, 8), make(chan struct{})
			defer close(end)
			s := newTestGateway(t, newFakeServer(t, func(conn net.Conn, r *http.Request) bool {
				if test.answer != "" {
					events(conn, r, 1, false, "")
				}
				arrived <- struct{}{}
				<-end
				return false
			}))
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(conn, test.request, "Host: shop.example\r\nX-Request-Id: r1\r\nX-Key: key\r\n")
			<-arrived
			r := bufio.NewReader(conn)
			var res *http.Response
			got := ""
			if test.reads != "" {
				if res, err = http.ReadResponse(r, nil); err != nil {
					t.Fatal(err)
				}
				part := make([]byte, len(test.reads))
				n, _ := io.ReadFull(res.Body, part)
				got = string(part[:n])
			}
			conn.(*net.TCPConn).CloseWrite()
			if res == nil {
				rest, _ := io.ReadAll(r)
				got = string(rest)
			} else if rest, err := io.ReadAll(res.Body); err != nil {
				got += string(rest) + "BROKEN"
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
