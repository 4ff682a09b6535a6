package backend

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// settleTime is the time within which the connections of a process that ends are
	// closed, one after the other: milliseconds, and more if its host is busy.
	settleTime = 50 * time.Millisecond
	// maxBacklogTime is how long after a process has ended the last bytes of its answer
	// may still arrive: they wait behind others, or for the caller.
	maxBacklogTime = 500 * time.Millisecond
	// minIdleTimeout is the least time after which a backend server closes an idle
	// connection. It is announced in whole seconds.
	minIdleTimeout = 900 * time.Millisecond
	// maxWitnessConns bounds the connections of one witness, which replace idle ones
	// that timed out.
	maxWitnessConns = 16
)

//go:generate go tool stringer -type=Presence -linecomment -output=presence_string.go

// Presence is what a witness knows of a backend server.
type Presence uint8

const (
	// Unknown: there was no answer in time, or a reset beside the end of the answer.
	Unknown Presence = iota // unknown
	// Lost: the connection was of no use, since it was reset long before the end.
	Lost // lost
	// Serving: the process that sent the answer has answered after its end.
	Serving // serving
	// Ended: that process has closed its other connection too, refuses connections,
	// or has been replaced.
	Ended // ended
)

// Witness is a second connection to a backend server. It tells whether the process
// that sends an answer outlives the answer: whatever that process is called and however
// busy it is, nobody else can answer on a connection that was opened before the end.
type Witness struct {
	client  *Client
	address string
	cancel  context.CancelFunc
	opened  chan struct{} // closed when the first connection is open or has failed

	mu      sync.Mutex
	current *witnessConn // nil if none could be opened
	seen    evidence
}

// evidence is what the connections of a witness have shown while the answer was sent.
type evidence struct {
	// refused says that the host has refused a connection, and unopened that none
	// could be opened for that or another reason.
	refused, unopened bool
	// ended says that a connection has ended that was too young for an idle timeout,
	// and reset that one was reset. lastEnd is when the last one ended either way.
	ended, reset bool
	lastEnd      time.Time
}

// closed records the end of a connection, by a reset or not.
func (e *evidence) closed(opened, now time.Time, reset bool) {
	e.lastEnd = now
	e.reset = e.reset || reset
	e.ended = e.ended || (!reset && now.Sub(opened) < minIdleTimeout)
}

// presence decides what the evidence says of a backend server whose answer ends now.
// Serving means that nothing speaks against it so far.
func (e *evidence) presence(now time.Time) Presence {
	late := now.Sub(e.lastEnd) < maxBacklogTime
	switch {
	case e.refused, e.ended, late && !e.reset:
		return Ended
	case e.reset && !late:
		return Lost
	case e.reset, e.unopened:
		return Unknown
	}
	return Serving
}

// witnessConn is one connection of a witness.
type witnessConn struct {
	*conn
	stop     func() bool // keeps it open although the context has ended
	readable chan struct{}
	readErr  error // set when readable is closed
}

// Watch opens a witness for an answer that has begun. Close must be called.
func (c *Client) Watch(ctx context.Context, address string) *Witness {
	ctx, cancel := context.WithCancel(ctx)
	w := &Witness{client: c, address: address, cancel: cancel, opened: make(chan struct{})}
	go func() {
		for n := range maxWitnessConns {
			cn := w.open(ctx)
			if n == 0 {
				close(w.opened)
			}
			if cn == nil || !w.watch(ctx, cn) {
				return
			}
		}
	}()
	return w
}

// open opens a connection.
func (w *Witness) open(ctx context.Context) *witnessConn {
	cn, err := w.client.connect(ctx, w.address, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.current, w.seen.unopened, w.seen.refused = nil, true, errors.Is(err, syscall.ECONNREFUSED)
		return nil
	}
	w.current = &witnessConn{conn: cn, readable: make(chan struct{}), stop: context.AfterFunc(ctx, func() { cn.Close() })}
	return w.current
}

// watch waits for the end of a connection, and reports whether another one should be
// opened.
func (w *Witness) watch(ctx context.Context, cn *witnessConn) bool {
	opened := time.Now()
	_, cn.readErr = cn.reader.Peek(1)
	ended := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(cn.readable)
	if cn.readErr == nil || ctx.Err() != nil {
		return false // the answer to the health check, or Close
	}
	w.seen.closed(opened, ended, !errors.Is(cn.readErr, io.EOF))
	return !w.seen.reset && !w.seen.ended
}

// Close closes the connection, unless Check has put it back for reuse.
func (w *Witness) Close() { w.cancel() }

// HealthAnswer is the answer to a health check. Its status is 0 if there was none that
// can be used.
type HealthAnswer struct {
	Status int
	Header http.Header
	// Err is why the answer cannot be used.
	Err error
}

// Check reports whether the process that sent an answer until now is still there. It
// requests the health check and waits until timeout for its answer, which may be of any
// status. It must be called once.
func (w *Witness) Check(ctx context.Context, timeout time.Duration, healthCheck, incarnation string) (Presence, HealthAnswer) {
	ctx, cancel := context.WithTimeout(ctx, timeout+settleTime)
	defer cancel()
	p, cn := w.settle(ctx)
	if p != Serving {
		return p, HealthAnswer{}
	}
	return w.request(ctx, cn, healthCheck, incarnation)
}

// CheckConnection is Check without a health check: on the host of the backend server
// itself, where nothing is lost, an open connection is enough.
func (w *Witness) CheckConnection(ctx context.Context) Presence {
	p, _ := w.settle(ctx)
	return p
}

// settle waits until the connections of a process that has ended are closed. Serving
// means that a connection of the witness is still open.
func (w *Witness) settle(ctx context.Context) (Presence, *witnessConn) {
	end := time.Now()
	select {
	case <-w.opened:
	case <-ctx.Done():
		return Unknown, nil
	}
	w.mu.Lock()
	cn, p := w.current, w.seen.presence(end)
	w.mu.Unlock()
	if p != Serving {
		return p, nil
	}
	select {
	case <-cn.readable:
		if errors.Is(cn.readErr, io.EOF) {
			return Ended, nil
		}
		return Unknown, nil
	case <-time.After(settleTime):
		return Serving, cn
	case <-ctx.Done():
		return Unknown, nil
	}
}

// request requests the health check.
func (w *Witness) request(ctx context.Context, cn *witnessConn, healthCheck, incarnation string) (Presence, HealthAnswer) {
	headers := &w.client.headers
	req := &Request{
		Method: http.MethodGet, Target: healthCheck, Host: w.address,
		Header: http.Header{http.CanonicalHeaderKey(headers.ExpectedIncarnation): {incarnation}},
	}
	cn.Expect(req.Method)
	if err := req.write(cn); err != nil {
		return Unknown, HealthAnswer{}
	}
	select {
	case <-cn.readable:
	case <-ctx.Done():
		return Unknown, HealthAnswer{}
	}
	deadline, _ := ctx.Deadline() // set by Check
	cn.SetReadDeadline(deadline)
	res, err := w.client.readResponse(cn.conn, req)
	if err != nil {
		return Unknown, HealthAnswer{Err: err}
	}
	w.reuse(cn, res)
	answer := HealthAnswer{Status: res.StatusCode, Header: res.Header}
	answered := res.Header.Get(headers.Incarnation)
	if res.StatusCode == http.StatusMisdirectedRequest || (answered != "" && answered != incarnation) {
		return Ended, answer
	}
	return Serving, answer
}

// reuse puts the connection back after a response with a short body.
func (w *Witness) reuse(cn *witnessConn, res *http.Response) {
	_, err := io.CopyN(io.Discard, res.Body, maxSkippedBytes)
	if err != io.EOF || res.Close || cn.reader.Buffered() > 0 || cn.SetDeadline(time.Time{}) != nil || !cn.stop() {
		return
	}
	cn.expires = time.Now().Add(idleTimeout(res.Header))
	w.client.putIdle(cn.conn)
}
