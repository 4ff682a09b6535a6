package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

const onceTimeout = 200 * time.Millisecond

// TestOnce guards against a call that is written though its permit was refused, that is
// sent twice, that is reported as not sent though it was, and that is left in the
// buffers of a connection after its time.
func TestOnce(t *testing.T) {
	answer := func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(conn, "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n")
		}
	}
	silent := func(_ net.Conn, r *bufio.Reader) { http.ReadRequest(r) }
	closing := func(conn net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		conn.Close()
	}
	raw := func(text string) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, text)
			}
		}
	}
	resetting := func(text string) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, text)
			}
			time.Sleep(20 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
	type result struct {
		Status      int
		Failed      bool
		Sent        bool
		Connections int
		Reset       bool
	}
	tests := map[string]struct {
		serve  func(net.Conn, *bufio.Reader)
		permit error
		body   string
		want   result
	}{
		"answered":            {answer, nil, "x", result{Status: 429, Connections: 1}},
		"not permitted":       {func(net.Conn, *bufio.Reader) {}, errors.New("no"), "x", result{Failed: true, Connections: 1, Reset: true}},
		"no answer":           {silent, nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"closed":              {closing, nil, "x", result{Failed: true, Sent: true, Connections: 1}},
		"not read, long":      {func(net.Conn, *bufio.Reader) { time.Sleep(2 * onceTimeout) }, nil, strings.Repeat("x", 32<<20), result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"not read, short":     {func(net.Conn, *bufio.Reader) { time.Sleep(2 * onceTimeout) }, nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"nobody is listening": {nil, nil, "x", result{Failed: true}},
		// A status that means nothing must not count as a refusal, after which the
		// call would be sent again.
		"status 000":              {raw("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"), nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"status 600":              {raw("HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"), nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"blank in a name":         {raw("HTTP/1.1 429 X\r\nRetry After: 1\r\nContent-Length: 0\r\n\r\n"), nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"control byte in a value": {raw("HTTP/1.1 204 X\r\nX-Note: \x01\r\n\r\n"), nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		// Neither must an answer that breaks off.
		"body reset":         {resetting("HTTP/1.1 429 X\r\nContent-Length: 4\r\n\r\nno"), nil, "x", result{Failed: true, Sent: true, Connections: 1}},
		"body cut":           {raw("HTTP/1.1 429 X\r\nContent-Length: 4\r\n\r\nno"), nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"broken chunk":       {raw("HTTP/1.1 429 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nx\r\n"), nil, "x", result{Failed: true, Sent: true, Connections: 1, Reset: true}},
		"no length, reset":   {resetting("HTTP/1.1 429 X\r\n\r\nno"), nil, "x", result{Failed: true, Sent: true, Connections: 1}},
		"body without limit": {raw("HTTP/1.1 429 X\r\n\r\n" + strings.Repeat("no", maxOnceBytes)), nil, "x", result{Status: 429, Connections: 1, Reset: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			resets := make(chan bool, 10)
			if test.serve == nil {
				l.Close()
			} else {
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						r := bufio.NewReader(conn)
						test.serve(conn, r)
						conn.SetReadDeadline(time.Now().Add(5 * time.Second))
						_, err = io.Copy(io.Discard, r)
						conn.Close()
						resets <- errors.Is(err, syscall.ECONNRESET)
					}
				}()
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/usage", strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			begin := time.Now()
			status, err := Once(context.Background(), req, onceTimeout, func() error { return test.permit })
			if took := time.Since(begin); took > 5*time.Second {
				t.Errorf("the call took %s", took)
			}
			got := result{Status: status, Failed: err != nil}
			var onceErr *OnceError
			if errors.As(err, &onceErr) {
				got.Sent = onceErr.Sent
			}
			if test.serve != nil {
				got.Reset, got.Connections = <-resets, 1+len(resets)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("%s, error %v", diff, err)
			}
		})
	}
}

// TestOnceEnds guards against a call that outlives the end of its context.
func TestOnceEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/usage", nil)
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if _, err := Once(ctx, req, time.Minute, func() error { cancel(); return nil }); err == nil {
		t.Error("a call without an answer has no error")
	}
	if took := time.Since(begin); took > 10*time.Second {
		t.Errorf("the call took %s", took)
	}
}
