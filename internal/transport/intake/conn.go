package intake

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

const (
	// refusalTimeout bounds the write of a refusal, which fits into the send buffer.
	refusalTimeout = 50 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read after a refusal of a large header
	// section. Closed with unread bytes, the connection would be reset before the caller
	// has read the answer.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

// ErrShortage is in the errors of reads of a connection that gave way.
var ErrShortage = errors.New("intake: the memory for incomplete requests is exhausted")

// readError ends the reads of a refused connection. It is a timeout, for which net/http
// writes no answer of its own.
type readError struct{}

func (readError) Error() string   { return ErrShortage.Error() }
func (readError) Unwrap() error   { return ErrShortage }
func (readError) Timeout() bool   { return true }
func (readError) Temporary() bool { return false }

var _ net.Error = readError{}

// Conn is an accepted connection. Its fields are guarded by the listener's mutex, except
// for the atomic ones.
type Conn struct {
	*net.TCPConn
	listener *Listener
	account  account
	section  section
	begun    time.Time // of the header section
	// idleSet is set once the deadline of an idle connection was set.
	idleSet bool
	evicted atomic.Bool
	// over is set once the connection was refused: net/http must not answer too.
	over atomic.Bool
	// answered is what is known of the answer to the request.
	answered atomic.Int32
	// unwatched is set while the header section is complete.
	unwatched atomic.Bool
}

// Read reads from the connection, and follows its header section.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.unwatched.Load() {
		if err != nil && c.evicted.Load() {
			return n, readError{}
		}
		return n, err
	}
	if n > 0 && !c.evicted.Load() {
		if why, refused := c.follow(p[:n]); refused {
			return 0, c.refuse(why, p)
		}
		return n, err
	}
	if err == nil && n == 0 {
		return n, err
	}
	switch {
	case c.evicted.Load():
		return 0, c.refuse(gaveWay, p)
	case errors.Is(err, os.ErrDeadlineExceeded) && c.inHeader():
		return 0, c.refuse(headerTooSlow, p)
	}
	return n, err
}

func (c *Conn) inHeader() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.account.phase == header
}

// follow accounts for bytes of a header section, and returns why it is refused.
func (c *Conn) follow(p []byte) (why reason, refused bool) {
	l := c.listener
	limits := *l.limits.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.account.phase == fresh || c.account.phase.isIdle() {
		c.begun = time.Now()
		l.ledger.enter(c.begun, &c.account, header)
	}
	c.section.add(p)
	why, refused = c.section.exceeds(limits)
	if !refused {
		evicted, ok := l.ledger.hold(&c.account, c.section.cost())
		l.evict(evicted)
		if !ok {
			why, refused = headerMemory, true
		}
	}
	complete := c.section.complete && !refused
	if complete {
		l.ledger.enter(c.begun, &c.account, body)
		c.unwatched.Store(true)
	}
	if !complete && !refused {
		c.setDeadline(c.begun.Add(limits.HeaderTimeout))
	}
	return why, refused
}

// setDeadline sets the deadline for reads, unless the connection gives way. The caller
// holds the listener's mutex.
func (c *Conn) setDeadline(t time.Time) error {
	if c.evicted.Load() {
		t = longAgo
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Answers to a request, as far as they are written.
const (
	unanswered int32 = iota
	answeredWell
	answeredRefusal
)

// Write writes to the connection, and notes the status of an answer, whose first write
// begins with the status line.
func (c *Conn) Write(p []byte) (int, error) {
	if c.over.Load() {
		return 0, net.ErrClosed
	}
	if c.answered.Load() == unanswered {
		c.answered.Store(readAnswer(p))
	}
	c.account.writing.Store(time.Now().UnixNano())
	defer c.account.writing.Store(0)
	return c.TCPConn.Write(p)
}

// readAnswer returns what the first bytes of an answer say.
func readAnswer(p []byte) int32 {
	const status = len("HTTP/1.1 ")
	if len(p) < status+3 || p[status] == '1' {
		return unanswered // such as 100 Continue
	}
	switch string(p[status : status+3]) {
	case "400", "401", "403", "404", "405", "408", "413", "431":
		return answeredRefusal
	}
	return answeredWell
}

// SetReadDeadline sets the deadline for reads. net/http sets one when a connection
// becomes idle, one when a next request begins, one when its header section is complete,
// and none when the request is complete. An incomplete header section keeps its own.
func (c *Conn) SetReadDeadline(t time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.account.phase {
	case idle, unproven:
		if c.idleSet {
			// The bytes of the next request were read with the former one.
			c.begun = time.Now()
			l.ledger.enter(c.begun, &c.account, header)
			t = c.begun.Add(l.limits.Load().HeaderTimeout)
		}
		c.idleSet = true
	case header:
		t = c.begun.Add(l.limits.Load().HeaderTimeout)
	case body:
		if t.IsZero() {
			// The body was complete before the connection gave way.
			l.ledger.keep(&c.account)
			c.evicted.Store(false)
			l.ledger.enter(c.begun, &c.account, served)
		}
	}
	return c.setDeadline(t)
}

// endBody ends the reads of a request's body. A request that is complete stays as it is:
// net/http then reads ahead to learn of the caller's disconnection, and would take the
// end of that read for one, in all later requests of the connection too.
func (c *Conn) endBody() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.account.phase == body {
		c.TCPConn.SetReadDeadline(longAgo)
	}
}

// setState follows the requests of the connection.
func (c *Conn) setState(state http.ConnState) {
	l := c.listener
	switch state {
	case http.StateActive:
		l.mu.Lock()
		// The end of the section was not seen if its first bytes were read with the
		// former request.
		if p := c.account.phase; p == header || p == fresh || p.isIdle() {
			now := time.Now()
			l.ledger.enter(now, &c.account, body)
			c.unwatched.Store(true)
			c.setDeadline(now.Add(l.bodyTimeout))
		}
		l.mu.Unlock()
	case http.StateIdle:
		l.mu.Lock()
		c.account.proven = c.account.proven || c.answered.Load() == answeredWell
		c.answered.Store(unanswered)
		l.ledger.finish(time.Now(), &c.account)
		c.section, c.idleSet = section{midway: true}, false
		c.unwatched.Store(false)
		l.mu.Unlock()
	}
}

// refuse answers the caller if its request line is complete, and returns the error that
// makes net/http close the connection.
func (c *Conn) refuse(why reason, buffer []byte) error {
	l := c.listener
	c.over.Store(true)
	l.refused(why)
	l.mu.Lock()
	answer := c.section.lines > 0 && why.status() != 0
	l.mu.Unlock()
	if !answer {
		return readError{}
	}
	status := why.status()
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 0.5\r\n"
	}
	c.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	fmt.Fprintf(c.TCPConn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s\n", text, len(text)+1, retry, text)
	c.TCPConn.CloseWrite()
	if why == headerTooLarge {
		c.linger(buffer)
	}
	return readError{}
}

func (c *Conn) linger(buffer []byte) {
	c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for n := 0; n < lingerBytes; {
		m, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		n += m
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.ledger.remove(&c.account)
	l.mu.Unlock()
	return c.TCPConn.Close()
}
