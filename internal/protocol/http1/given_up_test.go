package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestGivenUpCall guards against a call that arrives after its caller has given it up,
// because the kernel still holds it.
func TestGivenUpCall(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	arrived := make(chan bool, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		time.Sleep(400 * time.Millisecond) // nothing is read meanwhile
		conn.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		arrived <- err == nil
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader(make([]byte, 8<<10)))
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Transport: NewTransport(&http.Transport{})}
	if res, err := client.Do(req); err == nil {
		res.Body.Close()
		t.Error("there was an answer")
	}
	if <-arrived {
		t.Error("the call has arrived after it was given up")
	}
}
