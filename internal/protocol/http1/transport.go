package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an [http.RoundTripper] whose connections judge the answers. The error of
// a call or of its body has an [*Error] in its chain if its answer breaks the grammar.
// It is created by NewTransport.
type Transport struct {
	base *http.Transport
}

// conn is a connection of a Transport.
type conn struct {
	*Conn
	// pending is set while a request has no answer.
	pending atomic.Bool
}

// Close resets the connection if its request is given up, so that the kernel does not go
// on delivering it.
func (c *conn) Close() error {
	if c.pending.Load() {
		return c.Reset()
	}
	return c.Conn.Close()
}

// NewTransport returns a transport that sends requests by base, which is changed and
// must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: NewConn(c)}, nil
	}
	return &Transport{base: base}
}

// RoundTrip sends a request. Processes of the system and backend servers speak plain
// HTTP/1.1; other schemes are an error, since their connections cannot be judged.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Scheme != "http" {
		if req.Body != nil {
			req.Body.Close()
		}
		return nil, errors.Newf("http1: the scheme %q is not supported", req.URL.Scheme)
	}
	var last atomic.Pointer[conn] // that the request was sent on
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.Expect(req.Method)
			c.pending.Store(true)
			last.Store(c)
		}
	}}
	res, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	c := last.Load()
	switch {
	case c == nil:
		return res, err
	case err != nil:
		return nil, c.Explain(err)
	}
	c.pending.Store(false)
	if res.Body != http.NoBody {
		res.Body = &body{ReadCloser: res.Body, conn: c.Conn}
	}
	return res, nil
}

// body explains the errors of a body.
type body struct {
	io.ReadCloser
	conn *Conn
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, b.conn.Explain(err)
}

// CloseIdleConnections closes connections that are kept for reuse.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
