package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// patience is the number of target latencies for which a request may wait
	// for a backend server: one that begins later is late anyway and only
	// delays others.
	patience = 2
	// patienceShare bounds the wait to a part of the route's timeout, so that a
	// refused caller has time to come again.
	patienceShare = 4
	// minOnTime is the part of the target latency, as a divisor, in which a
	// request counts as one that can be served on time, however slow backend
	// servers are now.
	minOnTime = 4
	// noViewRetry is the advice while the entry has no catalog. One comes
	// within a second of a start.
	noViewRetry = 500 * time.Millisecond
)

// admit finds the route and checks everything that needs no backend server.
func (c *call) admit() *fault.Error {
	view := c.gateway.current(c.request.Context())
	if view == nil {
		return fault.New(fault.Unavailable, "this entry knows no catalog yet").WithRetryAfter(noViewRetry)
	}
	if c.gateway.isCutOff(c.arrived) {
		return fault.New(fault.NoLease, "this entry is cut off from the registrars").WithRetryAfter(noViewRetry)
	}
	c.catalogVersion = view.Index.Catalog.Version
	path, _, _ := strings.Cut(c.target(), "?")
	route, ok := view.Index.Route(c.request.Host, path)
	if !ok {
		return fault.New(fault.NotFound, "no route for host %q and path %q", c.request.Host, path)
	}
	c.route = route
	dialect := &c.gateway.cfg.Dialect
	if view.Index.NeedsKey(route) {
		account, ok := view.Index.Account(c.request.Header.Get(dialect.Key))
		if !ok {
			return fault.New(fault.Unauthenticated, "the key belongs to no client account")
		}
		c.account = account
	}
	c.id = c.request.Header.Get(dialect.RequestID)
	if c.id == "" {
		return fault.New(fault.BadRequest, "the request has no %s header", dialect.RequestID)
	}
	if err := c.setDeadline(dialect.Remaining); err != nil {
		return err
	}
	return c.readBody(view.Index.Catalog.Limits.BodyBytes)
}

// target returns the path and query as the caller wrote them.
func (c *call) target() string {
	target := c.request.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	return c.request.URL.RequestURI()
}

// setDeadline takes the earlier of the caller's deadline and the route's.
func (c *call) setDeadline(header string) *fault.Error {
	limit := c.route.Timeout
	if text := c.request.Header.Get(header); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "%s: %q is no number of milliseconds", header, text)
		}
		if ms <= 0 {
			return fault.New(fault.DeadlineExceeded, "the deadline has passed").WithRan(fault.RanNo)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.arrived.Add(limit)
	return nil
}

// readBody reads the whole body: it may have to be sent more than once.
func (c *call) readBody(limit int64) *fault.Error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	c.hasBody = c.request.ContentLength != 0 || len(c.request.TransferEncoding) > 0
	if !c.hasBody {
		return nil
	}
	if c.request.ContentLength > limit {
		return fault.New(fault.TooLarge, "the body has %d bytes, at most %d are accepted", c.request.ContentLength, limit)
	}
	reserved := c.request.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !c.gateway.bodies.take(reserved) {
		return fault.New(fault.BufferLimit, "too many bytes of bodies are held").WithRetryAfter(noViewRetry)
	}
	c.reserved = reserved
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return fault.Wrap(err, fault.Cancelled, "the body did not arrive").WithRan(fault.RanNo)
	}
	c.body = body
	return nil
}

// outgoing returns the request as backend servers get it, but for what differs
// between attempts.
func (c *call) outgoing() *backend.Request {
	dialect := &c.gateway.cfg.Dialect
	header := make(http.Header, len(c.request.Header)+4)
	hop.Copy(header, c.request.Header)
	header.Del(dialect.Key)
	header.Del(dialect.ClientAccount)
	header.Del(dialect.Expected)
	header.Del(dialect.Urgency)
	if c.account != nil {
		header.Set(dialect.ClientAccount, c.account.Name)
	}
	return &backend.Request{
		Method: c.request.Method, Target: c.target(), Host: c.request.Host, ID: c.id,
		Header: header, Body: c.body, HasBody: c.hasBody, Fresh: !c.mayRepeat(),
	}
}

// priority is the client account's, or the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// placement returns what the pool needs to know for the next attempt.
func (c *call) placement(now time.Time) *pool.Request {
	wait := min(patience*c.route.TargetLatency, c.route.Timeout/patienceShare)
	if c.route.TargetLatency == 0 {
		wait = c.route.Timeout / patienceShare
	}
	latest := now.Add(wait)
	if latest.After(c.deadline) {
		latest = c.deadline
	}
	return &pool.Request{
		Service: c.service, Priority: c.priority(), Arrived: c.arrived, LatestStart: latest,
		TargetStart: c.onTime(), TargetGap: c.route.TargetGap, Tried: c.tried, IsRetry: c.sends > 0,
	}
}

// onTime returns when a backend server must begin for the answer to come within
// the target latency, or zero.
func (c *call) onTime() time.Time {
	if c.route.TargetLatency == 0 {
		return time.Time{}
	}
	return c.arrived.Add(max(c.route.TargetLatency/minOnTime, c.route.TargetLatency-c.gateway.firstAnswer(c.service)))
}

// mayRepeat says whether the request may run more than once: it is idempotent,
// or a stream that may be resumed.
func (c *call) mayRepeat() bool {
	return c.route.IsRepeatable() || (c.route.Kind == catalog.Streaming && c.route.Resumable)
}
