package http1

import (
	"io"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/transport/tcp"
)

// Conn is a connection to a server. It judges the answers that are read, and follows the
// requests that are written. One goroutine may write while another one reads. It is
// created by NewConn.
type Conn struct {
	net.Conn
	answers *answerReader

	mu       sync.Mutex
	changed  sync.Cond // signals a change of the fields below
	requests messageParser
	expected int // requests that were written or are being written
	// err is the error of the first write that failed, or net.ErrClosed.
	err error
}

// NewConn returns a Conn on a connection that was just opened.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, answers: newAnswerReader(conn), requests: messageParser{requests: true}}
	c.changed.L = &c.mu
	c.answers.judgeEnd = c.judgeEnd
	return c
}

// Expect announces a request with the given method. It must be called before the request
// is written, and when the one before has been.
func (c *Conn) Expect(method string) {
	c.answers.expect(method)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected = c.requests.ended + 1
}

// Read reads answers. The error is an *Error once an answer has broken the grammar, and
// if the end of the connection would end an answer although the connection has failed.
func (c *Conn) Read(p []byte) (int, error) { return c.answers.Read(p) }

// Explain returns the *Error if an answer on this connection has broken the protocol, and
// otherwise err. Parsers do not always pass on the error of Read.
func (c *Conn) Explain(err error) error { return c.answers.explain(err) }

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for followed := 0; followed < n && c.err == nil; {
		passed, broken := c.requests.judge(p[followed:n])
		followed += passed
		if broken != nil {
			c.err = broken // where the request ends is not known
		}
	}
	if err != nil && c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.markClosed()
	return c.Conn.Close()
}

// Reset closes the connection and drops what the other side has not acknowledged.
func (c *Conn) Reset() error {
	c.markClosed()
	return tcp.Reset(c.Conn)
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
}

// judgeEnd is given the error that ends the reads within an answer that nothing but the
// end of its connection ends. It returns io.EOF if the answer is whole, an *Error if the
// connection has failed, and otherwise why this side has ended it.
func (c *Conn) judgeEnd(err error) error {
	if err == io.EOF {
		if err = c.awaitRequest(); err == nil {
			return io.EOF
		}
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return broken(End, "the connection failed before the end of the answer: %v", err)
}

// awaitRequest waits until the whole request was written, and returns the error of a
// failed write. A server may have closed its side only, and still read the request; and
// the read may see the end of a reset connection before the write that took the report
// has returned.
func (c *Conn) awaitRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && c.requests.ended < c.expected {
		c.changed.Wait()
	}
	return c.err
}
