package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/transport/tcp"
)

// maxOnceBytes bounds what is read of the body of a response to a call that is sent once.
const maxOnceBytes = 64 << 10

// OnceError is the error of a call that is sent once.
type OnceError struct {
	// Sent is set if the request was written in part at least.
	Sent bool
	Err  error
}

func (e *OnceError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *OnceError) Unwrap() error { return e.Err }

// Once sends a request that must not arrive later than the timeout from the moment
// at which permit was called, and never twice. It opens a connection, calls permit and
// writes the request only if that returns nil. The kernel drops what the other side
// has not acknowledged when the connection is reset at the end of the timeout, or has
// waited that long while this process is stopped. The body of the response is read and
// discarded; if it breaks off or breaks the protocol, so does the call.
func Once(ctx context.Context, req *http.Request, timeout time.Duration, permit func() error) (status int, err error) {
	var request bytes.Buffer
	req.Close = true
	if err := req.Write(&request); err != nil {
		return 0, &OnceError{Err: errors.Wrap(err, "request cannot be encoded")}
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, c syscall.RawConn) error { return tcp.SetUserTimeout(c, timeout) }}
	dialed, err := dialer.DialContext(ctx, "tcp", req.URL.Host)
	if err != nil {
		return 0, &OnceError{Err: err}
	}
	conn := http1.NewConn(dialed)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	complete := false
	defer func() {
		if complete {
			conn.Close()
			return
		}
		conn.Reset()
	}()
	// The deadline is set first, so that nothing lies between the check and the write.
	conn.SetDeadline(time.Now().Add(timeout))
	if err := permit(); err != nil {
		return 0, &OnceError{Err: err}
	}
	conn.Expect(req.Method)
	if _, err := conn.Write(request.Bytes()); err != nil {
		return 0, &OnceError{Sent: true, Err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return 0, &OnceError{Sent: true, Err: conn.Explain(err)}
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxOnceBytes)); err != nil {
		return 0, &OnceError{Sent: true, Err: conn.Explain(err)}
	}
	complete = true
	return res.StatusCode, nil
}
