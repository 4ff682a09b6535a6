/*
Package backend sends requests to backend servers over HTTP/1.1.

# Concept

A request is written once. This package never resends it; the caller decides on
a retry. An error of [Client.Send] is a [*SendError], which reports whether any
byte of the request has left: from then on it may run, whatever becomes of the
connection. A backend server may answer before it has read a long body, so the body
is written while the answer is read, and an answer counts although the write fails.

A connection carries one request at a time. Before it is reused, it is checked
for having been closed and for unsolicited bytes. A response with another
request's id is skipped, since a faulty backend server may answer twice. Package http1
judges what is read: an answer that breaks the protocol is an error, and nothing that
its head says is believed.

An answer may have neither a length nor chunks, so that a crash of its backend server
looks like its end. A [Witness] tells whether the backend server has outlived it.

The names of headers are set by [HeaderNames], so that backend servers with other
names are supported.

# Use

	res, err := client.Send(ctx, address, &backend.Request{...})
	...
	defer res.Close()       // keeps the connection for reuse if the body was read
	n, err := res.Body.Read(buffer)
*/
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/transport/tcp"
)

// Limits and times of connections.
const (
	// dialTimeout bounds the opening of a connection. Within a deployment this
	// takes a few milliseconds, and a lost SYN is resent after a second.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnections is the number of idle connections kept for a backend
	// server. Some accept at most 56 connections from all entries together.
	maxIdleConnections = 3
	// endedTimeout bounds the check whether a backend server has ended. A host that
	// is up refuses a connection within a round trip.
	endedTimeout = 100 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server does not report its timeout.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin is subtracted from the timeout that a backend server reports,
	// so that no request is sent while the backend server closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxSkippedResponses bounds the responses to other requests that are
	// skipped before a connection is abandoned.
	maxSkippedResponses = 2
	// maxSkippedBytes bounds the body of a response that is skipped.
	maxSkippedBytes = 1 << 20
	// maxHeads bounds the heads before the body of a response, which a backend server
	// in trouble may send without end.
	maxHeads        = 16
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
)

// HeaderNames holds the names of the headers exchanged with backend servers.
type HeaderNames struct {
	// RequestID is the request's id, which responses repeat.
	RequestID string
	// DeadlineRemaining is the time left until the deadline, in milliseconds.
	DeadlineRemaining string
	// ExpectedIncarnation names the incarnation that may run the request.
	ExpectedIncarnation string
	// Incarnation names the incarnation that answers a health check.
	Incarnation string
	// ClientAccount names the account that the request is for.
	ClientAccount string
	// APIKey is the caller's key, which is never sent to backend servers.
	APIKey string
	// Signature marks a response that was produced by a backend server.
	Signature string
	// NotRun marks a response that guarantees that the request did not run.
	NotRun string
	// Leaving marks an answer of a backend server that is leaving.
	Leaving string
	// Load holds the numbers of running requests, waiting requests and slots.
	Load string
	// ColdRemaining is the remaining cold period of the backend server, in
	// milliseconds.
	ColdRemaining string
	// Urgency is the rank of the request; 0 is the most urgent.
	Urgency string
	// LastEventID is the id of the last event that the caller received.
	LastEventID string
	// PromptParts lists the parts of the request's prompt, each with its number of
	// tokens.
	PromptParts string
	// TokenCounts holds the tokens of the prompt and the most tokens of the answer.
	TokenCounts string
	// LengthHint is the expected number of tokens of the answer.
	LengthHint string
	// CachedTokens is the number of prompt tokens that the backend server had cached;
	// empty if backend servers do not report it.
	CachedTokens string
}

// Request is one request as it is written to the connection.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// ID is the request's id, which the response must repeat.
	ID     string
	Header http.Header
	Body   []byte
	// HasBody reports whether the caller sent a body, possibly an empty one.
	HasBody bool
	// NewConnection requests a new connection. A backend server may have dropped
	// an idle one without notice, and a request that must not be repeated would
	// be lost on it.
	NewConnection bool
}

// SendError reports how far sending a request got.
type SendError struct {
	// Sent reports whether a byte of the request was written, so that it may run.
	Sent bool
	// Connected reports whether a connection was open.
	Connected bool
	cause     error
}

// Error returns how far sending the request got and the cause.
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

// Client sends requests and keeps idle connections for reuse. It is created by
// New.
type Client struct {
	headers HeaderNames
	// deliveryTimeout is how long the kernel may try to deliver a request.
	deliveryTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client that uses the given names of headers. A request that has not
// arrived deliveryTimeout after it was written does not arrive later; 0 sets no limit.
func New(headers HeaderNames, deliveryTimeout time.Duration) *Client {
	return &Client{headers: headers, deliveryTimeout: deliveryTimeout, idle: map[string][]*conn{}}
}

// conn is one connection to a backend server.
type conn struct {
	*http1.Conn
	address string
	reader  *bufio.Reader // of what Conn passes on
	expires time.Time
	// delivery is the bound on the delivery of what is written; 0 if there is none.
	delivery time.Duration
}

// Response is the response of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// ContentLength is -1 if it is not known.
	ContentLength int64
	// EndsWithConnection reports that nothing but the end of the connection marks
	// the end of the body, so that a crash may look like it.
	EndsWithConnection bool

	client *Client
	conn   *conn
	upload *upload
	http   *http.Response
	body   *trackedBody
	stop   func() bool
}

// trackedBody records whether the body was read to the end of its framing.
type trackedBody struct {
	io.Reader
	conn     *conn
	complete bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, b.conn.Explain(err)
}

// Send writes a request and reads the head of its response. The context bounds
// everything up to Response.Close.
func (c *Client) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, req.NewConnection)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil {
		// The request ended meanwhile, and an idle connection would accept it.
		stop()
		cn.Close()
		return nil, &SendError{Connected: true, cause: ctx.Err()}
	}
	if err := cn.boundDelivery(c.deliveryTimeout); err != nil {
		stop()
		cn.Close()
		return nil, &SendError{Connected: true, cause: err}
	}
	cn.Expect(req.Method)
	sent := startUpload(cn, req)
	res, err := c.readResponse(cn, req)
	if err != nil {
		stop()
		cn.Reset()
		written, writeErr := sent.wait()
		if writeErr != nil {
			err = errors.Wrapf(err, "the write ended after %d bytes: %v", written, writeErr)
		}
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, &SendError{Sent: written > 0, Connected: true, cause: err}
	}
	if sent.isComplete() {
		// It has arrived. The answer may pause for longer.
		cn.boundDelivery(0)
	}
	body := &trackedBody{Reader: res.Body, conn: cn}
	return &Response{
		Status: res.StatusCode, Header: res.Header, Body: body, ContentLength: res.ContentLength,
		EndsWithConnection: res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody,
		client:             c, conn: cn, upload: sent, http: res, body: body, stop: stop,
	}, nil
}

// readResponse reads the response to req and skips responses to other requests.
func (c *Client) readResponse(cn *conn, req *Request) (*http.Response, error) {
	skipped := 0
	for range maxHeads {
		res, err := http.ReadResponse(cn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Wrap(cn.Explain(err), "response cannot be read")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		id := res.Header.Get(c.headers.RequestID)
		if id == req.ID {
			return res, nil
		}
		if skipped >= maxSkippedResponses || res.ContentLength < 0 || res.ContentLength > maxSkippedBytes || res.Close {
			return nil, errors.Newf("response has request id %q", id)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, errors.Wrap(err, "response to another request ended early")
		}
		skipped++
	}
	return nil, errors.Newf("more than %d responses precede the answer", maxHeads)
}

// Close keeps the connection for reuse if the request was written and the complete
// response was read. Otherwise the connection ends, which makes the backend server stop
// working on the request, and what has not arrived yet never does. The body of the
// request is not used any more after Close.
func (r *Response) Close() {
	cancelled := !r.stop()
	complete := r.body.complete || r.http.Body == http.NoBody || r.ContentLength == 0
	switch {
	case cancelled, !complete, !r.upload.isComplete():
		r.conn.Reset()
		r.upload.wait()
		return
	case r.http.Close, r.EndsWithConnection, r.conn.reader.Buffered() > 0:
		r.conn.Close()
		return
	}
	r.conn.expires = time.Now().Add(idleTimeout(r.Header))
	r.client.putIdle(r.conn)
}

// idleTimeout returns how long a connection may be idle according to the
// response's Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
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
	return defaultIdleTimeout
}

// HasEnded reports whether the backend server at an address has ended: its host
// refuses connections. The answer is false if the host does not reply.
func (c *Client) HasEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	cn, err := dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn.expires = time.Now().Add(defaultIdleTimeout)
	c.putIdle(cn)
	return false
}

// connect returns an idle connection that is still usable, or dials.
func (c *Client) connect(ctx context.Context, address string, newConnection bool) (*conn, error) {
	now := time.Now()
	for !newConnection {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		if now.Before(cn.expires) && cn.isReusable() {
			return cn, nil
		}
		cn.Close()
	}
	return dial(ctx, address)
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, address), nil
}

// boundDelivery bounds how long the kernel tries to deliver what is written from now on;
// 0 sets no bound.
func (c *conn) boundDelivery(timeout time.Duration) error {
	if timeout == c.delivery {
		return nil
	}
	t, ok := c.NetConn().(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	c.delivery = timeout
	return tcp.SetUserTimeout(raw, timeout)
}

func newConn(nc net.Conn, address string) *conn {
	judged := http1.NewConn(nc)
	return &conn{Conn: judged, address: address, reader: bufio.NewReaderSize(judged, readBufferSize)}
}

func (c *Client) takeIdle(address string) *conn {
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

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= maxIdleConnections {
		// Close the oldest connection, which expires first.
		list[0].Close()
		list = list[1:]
	}
	c.idle[cn.address] = append(list, cn)
}

// CloseExpired closes idle connections whose idle timeout has passed.
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
