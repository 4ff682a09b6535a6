package backend

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// limitedConn fails writes after a number of bytes.
type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), c.left)
	c.left -= n
	if n < len(p) {
		return n, syscall.EPIPE
	}
	return n, nil
}

// TestPartialWrite guards against a request that counts as not sent although some of
// its bytes have left, and against one that counts as sent although none has.
func TestPartialWrite(t *testing.T) {
	tests := map[string]struct {
		body, accepted int
		sent           bool
	}{
		"nothing":            {100, 0, false},
		"nothing of a long":  {100 << 10, 0, false},
		"one byte":           {100, 1, true},
		"one byte of a long": {100 << 10, 1, true},
		"head of a long":     {100 << 10, 4 << 10, true},
		"all but the tail":   {100 << 10, 100 << 10, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			theirs.Close()
			client := New(headers, 0)
			cn := newConn(&limitedConn{Conn: ours, left: test.accepted}, "pipe")
			cn.expires = time.Now().Add(time.Minute)
			client.putIdle(cn)
			req := request("a")
			req.Body = make([]byte, test.body)
			_, err := client.Send(context.Background(), "pipe", req)
			var sendErr *SendError
			if !errors.As(err, &sendErr) || !sendErr.Connected {
				t.Fatalf("error %v, want a SendError of an open connection", err)
			}
			if diff := cmp.Diff(test.sent, sendErr.Sent); diff != "" {
				t.Errorf("%v: %s", err, diff)
			}
		})
	}
}
