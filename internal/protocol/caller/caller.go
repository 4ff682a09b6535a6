/*
Package caller serves the HTTP interface for callers: completions in the OpenAI
format and plain services below /s/{service}/.

# Requests

A request is validated completely before any work is done for it: the
account's bearer key, the size of headers and body, the JSON of a completion,
the service, the deadline and the idempotency key. A valid request is passed to
the handler as a [Request]; any other is answered with the error body of package
fault.

# Responses

The handler writes its response through a [Responder]. A response ends in one of
three ways: complete (with a Content-Length, or with "data: [DONE]" for a
stream), with an "event: error" event that carries the error body, or by closing
the connection before the end of the body, which an HTTP client reports as an
error. A truncated response never looks complete.

	api := caller.New(caller.Config{Directory: current, Handle: serve, ...})
	api.Register(server.Echo)
*/
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Handler answers a validated request through w. An error that it returns is
// reported to the caller as an error response, an error event or a closed
// connection, depending on what has been written.
type Handler func(ctx context.Context, req *Request, w *Responder) error

// Config holds the dependencies and limits of an API.
type Config struct {
	// Directory returns the accounts and services of the running revision, or
	// a fault if there is none yet.
	Directory func() (*Directory, error)
	Handle    Handler
	// Limit is called after authentication and before the body is read; nil
	// means no limit. The release function is called when the response ends.
	Limit func(account string) (release func(), err error)
	// MaxBufferedBodyBytes bounds the total size in bytes of the request bodies in
	// memory; 0 means no limit.
	MaxBufferedBodyBytes int64
	Now                  func() time.Time
	Log                  hclog.Logger
	Scope                tally.Scope
}

// API is the HTTP interface for callers.
type API struct {
	cfg Config
	// bufferedBytes is the memory reserved for request bodies.
	bufferedBytes atomic.Int64
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Register adds the routes and the error handler.
func (a *API) Register(e *echo.Echo) {
	e.HTTPErrorHandler = a.handleError
	e.POST("/v1/chat/completions", a.wrap(a.chat))
	e.POST("/v1/completions", a.wrap(a.complete))
	e.GET("/v1/models", a.wrap(a.models))
	e.Any("/s/:service", a.wrap(a.plain))
	e.Any("/s/:service/*", a.wrap(a.plain))
}

// call holds the state of one request.
type call struct {
	id        string
	arrived   time.Time
	directory *Directory
	account   Account
	http      *http.Request
	w         *Responder
	// reservedBytes is this request's part of API.bufferedBytes.
	reservedBytes int64
}

const requestIDHeader = "X-Request-Id"

// wrap adds what all routes have in common: request id, authentication and limits.
func (a *API) wrap(next func(echo.Context, *call) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := newID()
		c.Response().Header().Set(requestIDHeader, id)
		in := &call{id: id, arrived: a.cfg.Now(), http: c.Request()}
		in.w = newResponder(c.Response(), in.http, id)
		if err := a.admit(in); err != nil {
			return err
		}
		release, err := a.limit(in.account.Name)
		if err != nil {
			return err
		}
		defer release()
		defer func() { a.bufferedBytes.Add(-in.reservedBytes) }()
		err = next(c, in)
		if err != nil && in.w.Began() {
			a.count(fault.From(err))
			in.w.abort(fault.From(err))
			return nil
		}
		return err
	}
}

func (a *API) limit(account string) (func(), error) {
	if a.cfg.Limit == nil {
		return func() {}, nil
	}
	return a.cfg.Limit(account)
}

// admit checks the protocol version, the size of the headers and the account.
func (a *API) admit(in *call) error {
	if !in.http.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 body ends with its connection, so a truncated response
		// would look complete.
		return fault.New(fault.BadRequest, "HTTP/1.1 is required")
	}
	if err := checkHeaderSize(in.http.Header); err != nil {
		return err
	}
	directory, err := a.cfg.Directory()
	if err != nil {
		return err
	}
	account, err := directory.authenticate(in.http)
	if err != nil {
		return err
	}
	in.directory, in.account = directory, account
	return nil
}

// run calls the handler for a validated request, with the request's deadline.
func (a *API) run(in *call, req *Request) error {
	ctx, cancel := context.WithDeadline(in.http.Context(), req.Deadline)
	defer cancel()
	in.w.setWriteDeadline(req.Deadline.Add(writeGrace))
	defer in.w.setWriteDeadline(time.Time{})
	return a.cfg.Handle(ctx, req, in.w)
}

// newID returns a random request id. The caller's own X-Request-Id is not used:
// two requests with the same id could get each other's responses.
func newID() string {
	var raw [16]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
