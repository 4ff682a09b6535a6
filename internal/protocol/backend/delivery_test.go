package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// heldUpServer accepts connections with a small window and reads nothing before read is
// closed, like one behind a partition. It reports the requests that arrive.
func heldUpServer(t *testing.T, read <-chan struct{}) (address string, arrived <-chan bool) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	results := make(chan bool, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		<-read
		conn.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		results <- err == nil
	}()
	return l.Addr().String(), results
}

// TestDelivery guards against a request that arrives at its backend server after it was
// given up, or long after it was sent, because the kernel still holds it.
func TestDelivery(t *testing.T) {
	tests := map[string]struct {
		deliveryTimeout, patience, read time.Duration
		arrives                         bool
		endsBy                          time.Duration // the call
	}{
		"held up for a moment": {2 * time.Second, 3 * time.Second, 200 * time.Millisecond, true, 3 * time.Second},
		"given up":             {0, 100 * time.Millisecond, 400 * time.Millisecond, false, 300 * time.Millisecond},
		"held up for long":     {300 * time.Millisecond, 4 * time.Second, 2500 * time.Millisecond, false, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			read := make(chan struct{})
			address, arrived := heldUpServer(t, read)
			time.AfterFunc(test.read, func() { close(read) })
			ctx, cancel := context.WithTimeout(context.Background(), test.patience)
			defer cancel()
			req := request("a")
			req.Body = make([]byte, 12<<10)
			begin := time.Now()
			_, err := New(headers, test.deliveryTimeout).Send(ctx, address, req)
			took := time.Since(begin)
			var sendErr *SendError
			if !errors.As(err, &sendErr) || !sendErr.Sent {
				t.Errorf("error %v, want one that says that it may have been sent", err)
			}
			if took > test.endsBy {
				t.Errorf("the call ended after %v, want %v", took, test.endsBy)
			}
			if got := <-arrived; got != test.arrives {
				t.Errorf("the request has arrived: %t, want %t", got, test.arrives)
			}
		})
	}
}
