/*
Package backend sends requests to backend servers over HTTP/1.1.

# Concept

A request is written once. Nothing here sends it again: the caller learns how
far it came and decides. An error of [Client.Send] is a [*SendError], which
says whether the backend server can have received the whole request.

A connection carries one request at a time. Before it is used again it is
checked for having been closed or for bytes that nobody asked for. A response
with another request's id is skipped, since a faulty backend server may answer
twice.

The names of headers are those of a [HeaderNames], so that other peers' names can
be spoken.

# Use

	res, err := client.Send(ctx, address, &backend.Request{...})
	...
	defer res.Close()       // gives the connection back if the body was read
	n, err := res.Body.Read(buffer)
*/
package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits and times of connections.
const (
	// dialTimeout bounds a new connection. Within a deployment one takes a few
	// milliseconds, and a lost opening packet is sent again after a second.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is the number of idle connections kept for a backend server. Some
	// accept no more than 56 from all entries together.
	maxIdle = 3
	// defaultIdle is how long an idle connection is kept if the backend server
	// does not tell its timeout.
	defaultIdle = 500 * time.Millisecond
	// idleMargin is taken off the timeout that a backend server tells, so that
	// a request does not cross its close.
	idleMargin = 700 * time.Millisecond
	// maxSkipped is the number of foreign responses skipped on a connection.
	maxSkipped = 2
	// maxSkippedBytes bounds the body of a response that is skipped.
	maxSkippedBytes = 1 << 20
	readBuffer      = 4 << 10
	writeBuffer     = 4 << 10
)

// HeaderNames names the headers that are spoken with backend servers.
type HeaderNames struct {
	// RequestID is repeated in responses.
	RequestID string
	// DeadlineRemaining is the time left, in milliseconds.
	DeadlineRemaining string
	// ExpectedIncarnation names the incarnation that may run the request.
	ExpectedIncarnation string
	// ClientAccount names the account that the request is for.
	ClientAccount string
	// APIKey is the caller's key, which backend servers never see.
	APIKey string
	// Signature marks a response that a backend server has made.
	Signature string
	// NotRun marks a response that promises that the request did not run.
	NotRun string
	// Load tells requests running, requests waiting and slots.
	Load string
	// ColdRemaining is how much longer the backend server is cold, in milliseconds.
	ColdRemaining string
	// Urgency ranks requests; 0 is first.
	Urgency string
	// LastEventID is the id of the last event that the caller has.
	LastEventID string
}

// Request is one request as it is written.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// ID is the request's id, which the response must repeat.
	ID     string
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, maybe an empty one.
	HasBody bool
	// NewConnection asks for a new connection. A backend server may have dropped an idle
	// one without notice, and a request that must not repeat is lost on it.
	NewConnection bool
}

// SendError says how far a request came.
type SendError struct {
	// Sent says that the whole request may have reached the backend server,
	// so that it may have run.
	Sent bool
	// Connected says that a connection stood.
	Connected bool
	cause     error
}

// Error tells how far the request came and why it ended there.
func (e *SendError) Error() string {
	switch {
	case e.Sent:
		return "backend: no answer: " + e.cause.Error()
	case e.Connected:
		return "backend: not sent: " + e.cause.Error()
	}
	return "backend: no connection: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Client sends requests and keeps idle connections. Use New.
type Client struct {
	dialect HeaderNames

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client for a dialect.
func New(dialect HeaderNames) *Client {
	return &Client{dialect: dialect, idle: map[string][]*conn{}}
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time
}

// Response is what a backend server answered. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// ContentLength is -1 if it is not known.
	ContentLength int64

	client *Client
	conn   *conn
	http   *http.Response
	body   *trackedBody
	stop   func() bool
}

// trackedBody remembers whether the body ended as its framing says.
type trackedBody struct {
	io.Reader
	complete bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Send writes a request and reads the head of its response. The context bounds
// everything up to Response.Close.
func (c *Client) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, req.NewConnection)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	fail := func(reached bool, err error) (*Response, error) {
		stop()
		cn.Close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, &SendError{Sent: reached, Connected: true, cause: err}
	}
	if err := req.write(cn); err != nil {
		// The kernel has not taken all of it, so no whole request can arrive.
		return fail(false, err)
	}
	res, err := c.read(cn, req)
	if err != nil {
		return fail(true, err)
	}
	body := &trackedBody{Reader: res.Body}
	return &Response{
		Status: res.StatusCode, Header: res.Header, Body: body, ContentLength: res.ContentLength,
		client: c, conn: cn, http: res, body: body, stop: stop,
	}, nil
}

// read reads the response to req and skips those to others.
func (c *Client) read(cn *conn, req *Request) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		res, err := http.ReadResponse(cn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Wrap(err, "response cannot be read")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		id := res.Header.Get(c.dialect.RequestID)
		if id == req.ID {
			return res, nil
		}
		if skipped >= maxSkipped || res.ContentLength < 0 || res.ContentLength > maxSkippedBytes || res.Close {
			return nil, errors.Newf("response has request id %q", id)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, errors.Wrap(err, "response to another request ended early")
		}
	}
}

// Close gives the connection back if the whole response was read, and closes
// it otherwise, which ends the backend server's work on the request.
func (r *Response) Close() {
	cancelled := !r.stop()
	whole := r.body.complete || r.http.Body == http.NoBody || r.ContentLength == 0
	if cancelled || !whole || r.http.Close || (r.ContentLength < 0 && len(r.http.TransferEncoding) == 0) || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.conn.expires = time.Now().Add(idleFor(r.Header))
	r.client.keep(r.conn)
}

// idleFor returns how long a connection may be idle by the response's
// Keep-Alive header.
func idleFor(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok || value == "" {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 1 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdle
}

// connect takes an idle connection that is still good, or dials.
func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	now := time.Now()
	for !fresh {
		cn := c.take(address)
		if cn == nil {
			break
		}
		if now.Before(cn.expires) && cn.isQuiet() {
			return cn, nil
		}
		cn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) keep(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= maxIdle {
		// The oldest goes: it is the next to expire.
		list[0].Close()
		list = list[1:]
	}
	c.idle[cn.address] = append(list, cn)
}

// CloseExpired closes idle connections that are past their time.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
			} else {
				cn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// write writes the whole request.
func (r *Request) write(w io.Writer) error {
	b := bufio.NewWriterSize(w, writeBuffer)
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body) // errors of all writes come with Flush
	return b.Flush()
}
