package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// TestAnswerBeforeBody guards against a call that is reported as not run because its
// backend server has answered, or has closed the connection, before the body was in.
func TestAnswerBeforeBody(t *testing.T) {
	tests := map[string]struct {
		answer string
		reset  bool
	}{
		"failure, closed": {"HTTP/1.1 500 Failed\r\nX-Request-Id: id\r\nContent-Length: 6\r\nConnection: close\r\n\r\nfailed", false},
		"failure, reset":  {"HTTP/1.1 500 Failed\r\nX-Request-Id: id\r\nContent-Length: 6\r\nConnection: close\r\n\r\nfailed", true},
		"closed":          {"", false},
		"reset":           {"", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						time.Sleep(20 * time.Millisecond)
						fmt.Fprint(conn, test.answer)
					}
					if test.reset {
						conn.(*net.TCPConn).SetLinger(0)
					}
					conn.Close()
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			res, err := New().Do(ctx, Call{Address: l.Addr().String(), Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20), ID: "id"})
			if err == nil {
				res.Body.Close()
				if res.StatusCode != http.StatusInternalServerError {
					t.Errorf("status %d, want 500", res.StatusCode)
				}
				return
			}
			if f := fault.From(err); f.Ran != fault.RanUnknown || f.Kind != fault.BackendFailed {
				t.Errorf("%v, ran %v, want a failure that may have run", err, f.Ran)
			}
			t.Log(err)
		})
	}
}
