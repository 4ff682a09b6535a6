package gateway

import (
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
	"oleanderrack.example/oleanderrack/internal/transport/intake"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// maxWaitLatencies is the number of target latencies for which a request may
	// wait for a backend server: one that starts later misses its target anyway
	// and only delays others.
	maxWaitLatencies = 2
	// maxWaitTimeoutDivisor bounds the wait to a fraction of the route's timeout,
	// so that a refused caller has time to retry.
	maxWaitTimeoutDivisor = 4
	// minTargetStartDivisor sets the fraction of the target latency during which a
	// request counts as one that can be served on time, however slow backend
	// servers are.
	minTargetStartDivisor = 4
	// admitRetryAfter is the retry delay returned when the entry has no catalog, no
	// contact with a quorum, or no memory for a body. A catalog arrives within a
	// second of a start.
	admitRetryAfter = 500 * time.Millisecond
)

// admit finds the route, authenticates the caller, sets the deadline and reads the
// body.
func (c *call) admit() *fault.Error {
	headerNames := &c.gateway.cfg.HeaderNames
	c.id = c.request.Header.Get(headerNames.RequestID)
	view := c.gateway.currentView(c.request.Context())
	if view == nil {
		return fault.New(fault.Unavailable, "no catalog received yet").WithRetryAfter(admitRetryAfter)
	}
	if c.gateway.isStale(c.arrived) {
		return fault.New(fault.NoLease, "no contact with a quorum of registrars").WithRetryAfter(admitRetryAfter)
	}
	c.index, c.catalogVersion = view.Index, view.Index.Catalog.Version
	path, _, _ := strings.Cut(c.target(), "?")
	route, ok := view.Index.Route(c.request.Host, path)
	if !ok {
		return fault.New(fault.NotFound, "no route for host %q and path %q", c.request.Host, path)
	}
	c.route = route
	if view.Index.NeedsKey(route) {
		account, ok := view.Index.Account(c.request.Header.Get(headerNames.APIKey))
		if !ok {
			return fault.New(fault.Unauthenticated, "the key matches no client account")
		}
		c.account = account
	}
	if c.id == "" {
		return fault.New(fault.BadRequest, "the request has no %s header", headerNames.RequestID)
	}
	c.parts = quarantine.Parts(strings.Join(c.request.Header.Values(headerNames.PromptParts), ","))
	c.prompt = prefix.ParseParts(strings.Join(c.request.Header.Values(headerNames.PromptParts), ","))
	if err := c.setDeadline(headerNames.DeadlineRemaining); err != nil {
		return err
	}
	c.readSize()
	if err := c.readBody(view.Index.Catalog.Limits.BodyBytes); err != nil {
		return err
	}
	return c.checkDrain(time.Now())
}

// target returns the path and query as the caller sent them.
func (c *call) target() string {
	target := c.request.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	return c.request.URL.RequestURI()
}

// setDeadline sets the earlier of the caller's deadline and the route's.
func (c *call) setDeadline(header string) *fault.Error {
	limit := c.route.Timeout
	if text := c.request.Header.Get(header); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "%s: %q is not a number of milliseconds", header, text)
		}
		if ms <= 0 {
			return fault.New(fault.DeadlineExceeded, "the deadline has passed").WithRan(fault.RanNo)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.arrived.Add(limit)
	return nil
}

// bodyDeadline returns when the body must be complete.
func bodyDeadline(arrived, deadline time.Time) time.Time {
	if latest := arrived.Add(intake.BodyTimeout); latest.Before(deadline) {
		return latest
	}
	return deadline
}

// readBody buffers the body, since it may have to be sent more than once.
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
	c.held = c.gateway.bodies.Attach(c.writer, c.request)
	// The deadline bounds the read: a caller that stops sending holds memory.
	http.NewResponseController(c.writer).SetReadDeadline(bodyDeadline(c.arrived, c.deadline))
	body, err := intake.ReadAll(intake.LimitBody(c.writer, c.request, limit), c.request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, intake.ErrShortage):
		return fault.New(fault.BufferLimit, "the memory for request bodies is exhausted").WithRetryAfter(admitRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.RequestTimeout, "the body was not complete within the time limit")
	case err != nil:
		return fault.Wrap(err, fault.Cancelled, "the body could not be read").WithRan(fault.RanNo)
	}
	c.body = body
	return nil
}

// baseRequest returns the part of the outgoing request that is the same for all
// attempts.
func (c *call) baseRequest() *backend.Request {
	headerNames := &c.gateway.cfg.HeaderNames
	header := make(http.Header, len(c.request.Header)+4)
	hop.Copy(header, c.request.Header)
	header.Del(headerNames.APIKey)
	header.Del(headerNames.ClientAccount)
	header.Del(headerNames.ExpectedIncarnation)
	header.Del(headerNames.Urgency)
	if c.account != nil {
		header.Set(headerNames.ClientAccount, c.account.Name)
	}
	if c.usesUrgency {
		header.Set(headerNames.Urgency, strconv.Itoa(urgency(c.priority())))
	}
	return &backend.Request{
		Method: c.request.Method, Target: c.target(), Host: c.request.Host, ID: c.id,
		Header: header, Body: c.body, HasBody: c.hasBody, NewConnection: !c.mayRepeat(),
	}
}

// priority returns the client account's priority, or the route's if the account
// sets none.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// poolRequest returns the request to the pool for the next attempt.
func (c *call) poolRequest(now time.Time) *pool.Request {
	latestStart := now.Add(c.maxWait)
	if latestStart.After(c.deadline) {
		latestStart = c.deadline
	}
	return &pool.Request{
		Service: c.service, Priority: c.priority(), Arrived: c.arrived, LatestStart: latestStart,
		TargetStart: c.targetStart(), TargetGap: c.route.TargetGap, Tried: c.tried, IsRetry: c.sends > 0,
		ID: c.id, Kind: c.route.Name, ClientAccount: c.accountName(), Size: c.size, Deadline: c.deadline, Prompt: c.prompt,
	}
}

// maxWait returns how long a request of a route waits for a backend server, by the
// route's own target.
func maxWait(r *catalog.Route) time.Duration {
	wait := r.Timeout / maxWaitTimeoutDivisor
	if r.TargetLatency > 0 {
		wait = min(wait, maxWaitLatencies*r.TargetLatency)
	}
	return wait
}

// setMaxWait sets how long the request waits for a backend server: as its own target
// demands, but not less than a less urgent request of the same service. Otherwise the
// least urgent requests, whose targets are the longest, would be the last to be
// refused.
func (c *call) setMaxWait(index *catalog.Index) {
	c.maxWait = maxWait(c.route)
	for i := range index.Catalog.Routes {
		r := &index.Catalog.Routes[i]
		if r.Priority > c.priority() && slices.ContainsFunc(r.Split, func(s catalog.Share) bool { return s.Service == c.service }) {
			c.maxWait = max(c.maxWait, maxWait(r))
		}
	}
}

// targetStart returns when a backend server must start for the answer to meet the
// target latency, or zero if the route has none.
func (c *call) targetStart() time.Time {
	if c.route.TargetLatency == 0 {
		return time.Time{}
	}
	return c.arrived.Add(max(c.route.TargetLatency/minTargetStartDivisor, c.route.TargetLatency-c.gateway.meanTimeToFirstAnswer(c.service)))
}

// mayRepeat reports whether the request may run more than once: it is idempotent
// or a resumable stream.
func (c *call) mayRepeat() bool {
	return c.route.IsRepeatable() || (c.route.Kind == catalog.Streaming && c.route.Resumable)
}
