/*
Package caller serves the HTTP interface of callers: completions in the OpenAI
form and plain services below /s/{service}/.

# Requests

A request is checked completely before the system does anything for it: the
account's bearer key, the size of headers and body, the JSON of a completion,
the service, the deadline and the idempotency key. What passes is a [Request];
everything else is answered with the error body of package fault.

# Answers

The handler writes its answer through a [Responder]. An answer ends in one of
three ways: whole (with a Content-Length, or with "data: [DONE]" for a stream),
with an "event: error" event that carries the error body, or by closing the
connection before the end of the body, which an HTTP client reports as an
error. An answer that was cut never looks complete.

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

// Handler answers a checked request through w. An error that it returns is
// told to the caller in the form that the progress of the answer allows.
type Handler func(ctx context.Context, req *Request, w *Responder) error

// Config holds what an API needs.
type Config struct {
	// Directory returns the accounts and services of the running revision, or
	// a fault when there is none yet.
	Directory func() (*Directory, error)
	Handle    Handler
	// Limit is asked after the account is known and before the body is read;
	// nil allows all. The release function is called at the end of the answer.
	Limit func(account string) (release func(), err error)
	// MaxBufferedBodyBytes bounds the request bodies held at a time, in bytes; 0 means no
	// bound.
	MaxBufferedBodyBytes int64
	Now                  func() time.Time
	Log                  hclog.Logger
	Scope                tally.Scope
}

// API is the callers' HTTP interface.
type API struct {
	cfg    Config
	bodies atomic.Int64
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Register adds the routes and the error handler.
func (a *API) Register(e *echo.Echo) {
	e.HTTPErrorHandler = a.fail
	e.POST("/v1/chat/completions", a.with(a.chat))
	e.POST("/v1/completions", a.with(a.complete))
	e.GET("/v1/models", a.with(a.models))
	e.Any("/s/:service", a.with(a.plain))
	e.Any("/s/:service/*", a.with(a.plain))
}

// call is one arrival on its way through the checks.
type call struct {
	id        string
	arrived   time.Time
	directory *Directory
	account   Account
	http      *http.Request
	w         *Responder
	// held is this arrival's part of API.bodies.
	held int64
}

const requestIDHeader = "X-Request-Id"

// with does what all routes have in common: id, account and limits.
func (a *API) with(next func(echo.Context, *call) error) echo.HandlerFunc {
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
		defer func() { a.bodies.Add(-in.held) }()
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

// admit checks protocol, headers and account.
func (a *API) admit(in *call) error {
	if !in.http.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 body ends with its connection, so a cut answer would look
		// complete.
		return fault.New(fault.BadRequest, "HTTP/1.1 is needed")
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

// run hands a checked request to the handler with its deadline.
func (a *API) run(in *call, req *Request) error {
	ctx, cancel := context.WithDeadline(in.http.Context(), req.Deadline)
	defer cancel()
	in.w.setWriteDeadline(req.Deadline.Add(writeGrace))
	defer in.w.setWriteDeadline(time.Time{})
	return a.cfg.Handle(ctx, req, in.w)
}

// newID returns an id that no other request has. The caller's own X-Request-Id
// is not used: two requests with one id could get each other's answers.
func newID() string {
	var raw [16]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
