/*
Package engine is the client for the HTTP interfaces of backend servers.

# Backend servers

A model engine accepts completions in the OpenAI format and answers with
server-sent events; a plain service accepts any HTTP request. Both announce
themselves to the agent of their host once a second. Model engines also accept
cancellations and orders.

# Connections

Each request to a backend server uses its own connection. On a reused
connection net/http may resend a request automatically, and the late response to
another request could be taken for the response. A new loopback connection takes
about 0.1 ms, which is short compared with a request.

# Outcome

Every error reports whether the request may have run: until a connection is open
nothing is sent, and the fault reports ran "no"; after that it reports
"unknown". An answer that breaks the protocol is such an error, with an [http1.Error]
in its chain; of its head nothing is believed.

	c := engine.New()
	s, err := c.Complete(ctx, engine.Completion{Address: a, Path: "/v1/completions", ID: "r-1", Body: body})
	for {
		ev, err := s.Next()
		if err == io.EOF { break }
	}
*/
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Names of the headers that the agent sets.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
)

// Limits of the client.
const (
	dialTimeout = 2 * time.Second
	// controlTimeout bounds cancellations and orders.
	controlTimeout = 5 * time.Second
	maxReplyBytes  = 1 << 20
	readBufferSize = 8 << 10
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	watcher *backend.Client
}

// New returns a Client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{watcher: backend.New(backend.HeaderNames{}, 0), http: &http.Client{
		Transport: http1.NewTransport(&http.Transport{
			DialContext:            dialer.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: http1.MaxHeadBytes,
			ReadBufferSize:         readBufferSize,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call is one plain HTTP request.
type Call struct {
	Address string
	Method  string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// ID is sent as X-Request-Id. A response with a different id is rejected.
	ID string
}

// onceBody hides the concrete reader from net/http, which could rewind and
// resend a body of a type that it recognizes.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// Do sends a call and returns the response once its headers have arrived. The
// caller must close the body. The error is Unavailable with ran "no" if no
// connection could be opened, and BackendFailed with ran "unknown" if the call
// fails later.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "request for the backend server is malformed")
	}
	if len(call.Body) > 0 {
		req.Body, req.ContentLength = onceBody{bytes.NewReader(call.Body)}, int64(len(call.Body))
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	if call.ID != "" {
		req.Header.Set(HeaderRequestID, call.ID)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendFault(ctx, err, connected.Load())
	}
	if got := resp.Header.Get(HeaderRequestID); call.ID != "" && got != "" && got != call.ID {
		resp.Body.Close()
		return nil, fault.New(fault.ChecksumMismatch, "backend server sent the response to another request")
	}
	return resp, nil
}

// Witness tells whether a backend server has outlived its answer. Without a length or
// chunks, a crash looks like the end of the answer.
type Witness struct {
	witness *backend.Witness // nil if the answer shows its end itself
}

// Watch returns a witness for an answer that has begun. Close must be called.
func (c *Client) Watch(ctx context.Context, address string, resp *http.Response) Witness {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody {
		return Witness{}
	}
	return Witness{witness: c.watcher.Watch(ctx, address)}
}

// Confirm returns an error, which is BackendFailed, if an answer that was read to its
// end may be incomplete.
func (w Witness) Confirm(ctx context.Context) error {
	if w.witness == nil {
		return nil
	}
	if p := w.witness.CheckConnection(ctx); p != backend.Serving {
		return fault.New(fault.BackendFailed, "answer of the backend server may be incomplete: its server is %s", p)
	}
	return nil
}

// Close ends the watch.
func (w Witness) Close() {
	if w.witness != nil {
		w.witness.Close()
	}
}

func sendFault(ctx context.Context, err error, connected bool) error {
	if !connected {
		return fault.Wrap(err, fault.Unavailable, "backend server cannot be reached")
	}
	if ctx.Err() != nil {
		return ContextFault(ctx)
	}
	return fault.Wrap(err, fault.BackendFailed, "backend server failed before it sent a response")
}

// ContextFault returns the fault for a request whose context has ended:
// DeadlineExceeded or Cancelled, with ran "unknown".
func ContextFault(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "deadline passed during the request")
	}
	return fault.New(fault.Cancelled, "request was cancelled")
}

// cancelRequest is the body of a cancellation.
type cancelRequest struct {
	RequestID string `json:"request_id"`
}

// Cancel stops a completion and reports whether the engine found it; if so, the
// engine has dropped it. An engine that does not find it may not have received
// it yet.
func (c *Client) Cancel(ctx context.Context, address, id string) (found bool, err error) {
	status, _, err := c.post(ctx, address, "/v1/cancel", cancelRequest{RequestID: id})
	switch {
	case err != nil:
		return false, err
	case status == http.StatusOK:
		return true, nil
	case status == http.StatusNotFound:
		return false, nil
	}
	return false, fault.New(fault.BackendFailed, "unexpected status %d in response to a cancellation", status)
}

func (c *Client) post(ctx context.Context, address, path string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "engine: encode request body")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.Do(ctx, Call{Address: address, Method: http.MethodPost, Path: path, Header: header, Body: data})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, fault.Wrap(err, fault.BackendFailed, "answer of %s was cut off", path)
	}
	return resp.StatusCode, reply, nil
}

// formatPriority returns the value of the X-Priority header.
func formatPriority(p int32) string { return strconv.FormatInt(int64(p), 10) }
