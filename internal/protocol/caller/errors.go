package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// handleError writes an error response. It is registered as echo's error
// handler, so that errors raised by echo have the same form.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := translate(err)
	a.count(e)
	id := c.Response().Header().Get(requestIDHeader)
	if id == "" {
		id = newID()
		c.Response().Header().Set(requestIDHeader, id)
	}
	h := c.Response().Header()
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if e.Kind == fault.TooLarge {
		// discardRest reads a part of the body at most, so the connection cannot
		// be used for another request.
		h.Set("Connection", "close")
	}
	if err := writeBody(c, e, id); err != nil {
		a.cfg.Log.Debug("error response not written", "request", id, "error", err)
		return
	}
	discardRest(c)
}

// writeBody writes the complete error body and flushes it before the handler
// returns.
func writeBody(c echo.Context, e *fault.Error, id string) error {
	data, err := json.Marshal(e.Body(id))
	if err != nil {
		return err
	}
	data = append(data, '\n')
	c.Response().Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := c.JSONBlob(e.Kind.Status(), data); err != nil {
		return err
	}
	return http.NewResponseController(c.Response()).Flush()
}

// Limits of discardRest. 4 MiB is four times the default body limit.
const (
	maxDiscardBytes = 4 << 20
	discardTimeout  = time.Second
)

// discardRest reads a bounded part of the body of a rejected request. A
// connection closed with unread data is reset, and a caller that is still
// sending would see the reset instead of the response. A caller that waits for
// 100-continue sends no body.
func discardRest(c echo.Context) {
	req := c.Request()
	if req.ContentLength == 0 || req.Header.Get("Expect") != "" {
		return
	}
	control := http.NewResponseController(c.Response())
	if control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	io.CopyN(io.Discard, req.Body, maxDiscardBytes)
	control.SetReadDeadline(time.Time{})
}

// translate converts an error to a fault.
func translate(err error) *fault.Error {
	var faultErr *fault.Error
	if errors.As(err, &faultErr) {
		return faultErr
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		switch httpErr.Code {
		case http.StatusNotFound:
			return fault.Wrap(err, fault.NotFound, "path not found")
		case http.StatusMethodNotAllowed:
			return fault.Wrap(err, fault.BadRequest, "the path does not allow this method")
		case http.StatusRequestEntityTooLarge:
			return fault.Wrap(err, fault.TooLarge, "the request is too large")
		}
		if httpErr.Code < http.StatusInternalServerError {
			return fault.Wrap(err, fault.BadRequest, "%v", httpErr.Message)
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(err, fault.DeadlineExceeded, "the deadline has passed")
	}
	return fault.From(err)
}

// count increments the counter of rejected and failed requests.
func (a *API) count(e *fault.Error) {
	a.cfg.Scope.Tagged(map[string]string{"reason": e.Kind.String(), "ran": e.Ran.String()}).Counter("caller_failures").Inc(1)
	if e.Kind == fault.Internal {
		a.cfg.Log.Error("request failed", "error", e)
	}
}
