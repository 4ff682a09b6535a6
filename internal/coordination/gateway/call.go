package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/internal/transport/intake"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// maxRejections is the number of rejections up to which a request is sent to
	// another backend server.
	maxRejections = 3
	// writeTimeoutGrace is how long after a call's deadline its answer may still be
	// written.
	writeTimeoutGrace = 2 * time.Second
	// minQuarantineRetryAfter is the least retry delay returned for a prompt with a
	// quarantined part. The end of a quarantine is known within some seconds.
	minQuarantineRetryAfter = 5 * time.Second
)

// call is the state of one caller's request.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	id             string
	index          *catalog.Index
	catalogVersion uint64
	route          *catalog.Route
	parts          []string // of its prompt, those that others may share
	prompt         prefix.Prompt
	service        string
	account        *catalog.ClientAccount
	deadline       time.Time // zero until it is known
	size           size.Hint
	// maxWait is how long the request waits for a backend server.
	maxWait time.Duration
	// usesUrgency says that the backend servers of the service order requests by the
	// urgency header.
	usesUrgency bool
	body        []byte
	hasBody     bool
	held        *intake.Body // nil without a body

	tried      []string
	attemptLog []string // one element for each attempt
	// attemptFailed is set once an attempt has not been answered.
	attemptFailed bool
	sends         int
	possibleRuns  int // attempts that may have run
	counted       bool
	rejections    int
	waited        time.Duration
	timeToFirst   time.Duration
	failure       *bufferedResponse // the latest 5xx response of a backend server
	stream        stream
	// stopWatch ends the watch for a quarantine of the request.
	stopWatch func()
}

// outcome is how a call ended: delivered, refused, truncated or callerGone.
type outcome interface{ isOutcome() }

type (
	// delivered: a backend server's answer was forwarded.
	delivered struct{ status int }
	// refused: the call was answered with an error of the gateway.
	refused struct{ err *fault.Error }
	// truncated: the answer is incomplete and its connection is aborted.
	truncated struct{ err error }
	// callerGone: the caller has disconnected.
	callerGone struct{}
)

func (delivered) isOutcome()  {}
func (refused) isOutcome()    {}
func (truncated) isOutcome()  {}
func (callerGone) isOutcome() {}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler if the answer
// is missing or incomplete.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, writer: w, request: r, arrived: time.Now()}
	out := c.serve()
	if c.held != nil {
		c.held.Release()
	}
	c.report(out)
	switch out.(type) {
	case truncated, callerGone:
		// Abort the connection, so that the caller sees that the answer is missing
		// or incomplete. One that has closed its side for writing may still read.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) serve() outcome {
	if err := c.admit(); err != nil {
		return c.refuse(err)
	}
	// The deadline also bounds writes: a caller that does not read holds memory.
	http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(writeTimeoutGrace))
	serving, stopServing := c.gateway.whileServing(c.request.Context())
	defer stopServing()
	ctx, cancel := context.WithDeadline(serving, c.deadline)
	defer cancel()
	c.pickService()
	for {
		if out := c.tryOnce(ctx); out != nil {
			return out
		}
	}
}

// countRun counts the request for usage reports when it begins to run: at its first
// event, or at its response headers. One that is resumed or repeated counts once.
func (c *call) countRun() {
	if c.counted || c.account == nil || c.gateway.cfg.CountRun == nil {
		return
	}
	c.counted = true
	c.gateway.cfg.CountRun(c.account.Name)
}

// errQuarantined is the cause with which requests are cancelled that have a
// quarantined part.
var errQuarantined = errors.New("a part of the prompt is quarantined")

// tryOnce waits for a backend server and sends the request there. It returns nil if
// the request should be retried.
func (c *call) tryOnce(parent context.Context) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	begin := time.Now()
	c.stopWatch = c.gateway.guard.Watch(begin, c.parts, func() { cancel(errQuarantined) })
	defer c.stopWatch()
	if ctx.Err() != nil {
		return c.contextEnded()
	}
	request := c.poolRequest(begin)
	decision := c.gateway.acquire(ctx, request)
	c.waited += time.Since(begin)
	if back := request.Return(); back != pool.Newcomer {
		c.gateway.metrics.count("requests_returned", back.String())
	}
	switch d := decision.(type) {
	case pool.Assign:
		return c.attempt(ctx, d)
	case pool.Refuse:
		c.gateway.metrics.retryAfter.RecordDuration(d.RetryAfter)
		return c.fail(fault.New(d.Kind, "service %s: %s, %d waiting, %d running, %s",
			c.service, d.Reason, d.Waiting, d.Running, describeWait(d)).WithRetryAfter(d.RetryAfter), d.Reason.String())
	}
	return c.contextEnded()
}

// describeWait tells how long a refused request would have waited.
func describeWait(d pool.Refuse) string {
	if d.NeverStarts {
		return "no room is expected"
	}
	return fmt.Sprintf("expected wait %d ms", d.ExpectedWait.Milliseconds())
}

// contextEnded returns the outcome of a call whose caller has disconnected, whose
// prompt has a quarantined part, or whose deadline has passed.
func (c *call) contextEnded() outcome {
	if c.request.Context().Err() != nil {
		return callerGone{}
	}
	now := time.Now()
	if until, refused := c.gateway.guard.Check(now, c.parts); refused {
		return c.fail(fault.New(fault.Quarantined, "a part of the prompt has crashed backend servers").WithRetryAfter(max(minQuarantineRetryAfter, until.Sub(now))), "quarantined")
	}
	if c.gateway.serving.Err() != nil {
		return c.fail(fault.New(fault.Draining, "this entry has ended before the answer was complete").WithRetryAfter(drainRetryAfter), "draining")
	}
	return c.fail(fault.New(fault.DeadlineExceeded, "no answer within the deadline"), "deadline")
}

// fail writes the final answer of a call that cannot be served: the 5xx response
// of a backend server, or an error that says whether the request can have run.
func (c *call) fail(err *fault.Error, reason string) outcome {
	c.gateway.metrics.count("refusals", reason)
	switch {
	case c.stream.headerWritten:
		return truncated{err: err}
	case c.failure != nil:
		return c.deliver(c.failure)
	case c.possibleRuns == 0 && err.Kind == fault.DeadlineExceeded:
		return c.refuse(err.WithRan(fault.RanNo))
	case c.possibleRuns == 0:
		if err.Ran != fault.RanNo {
			err = fault.New(fault.Overloaded, "%s", err.Message).WithRetryAfter(err.RetryAfter)
		}
		return c.refuse(err)
	case err.Kind == fault.DeadlineExceeded:
		return c.refuse(err.WithRan(fault.RanUnknown))
	}
	return c.refuse(fault.New(fault.OutcomeUnknown, "no backend server completed the request: %s", err.Message))
}

// refuse answers the call with an error.
func (c *call) refuse(err *fault.Error) outcome {
	header := c.writer.Header()
	header.Set("Content-Type", "application/json")
	if c.id != "" {
		header.Set(c.gateway.cfg.HeaderNames.RequestID, c.id)
	}
	if err.RetryAfter > 0 && err.Ran == fault.RanNo {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, _ := json.Marshal(err.Body(c.id)) // cannot fail: plain fields only
	c.writer.WriteHeader(err.Kind.Status())
	if _, writeErr := c.writer.Write(body); writeErr != nil {
		return callerGone{}
	}
	return refused{err: err}
}

// report records the outcome of a call in metrics and the log.
func (c *call) report(out outcome) {
	ended := time.Now()
	kind := catalog.NonIdempotent
	if c.route != nil {
		kind = c.route.Kind
		c.gateway.metrics.timeToComplete[kind].RecordDuration(ended.Sub(c.arrived))
		c.gateway.metrics.queueWait[kind].RecordDuration(c.waited)
		if c.timeToFirst > 0 {
			c.gateway.metrics.timeToFirst[kind].RecordDuration(c.timeToFirst)
		}
	}
	fields := func(more ...any) []any {
		list := []any{"request_id", c.id, "service", c.service, "kind", kind.String(), "catalog_version", c.catalogVersion,
			"waited_ms", c.waited.Milliseconds(), "first_ms", c.timeToFirst.Milliseconds(), "whole_ms", ended.Sub(c.arrived).Milliseconds(),
			"attempts", c.attemptLog, "runs", c.possibleRuns}
		if c.route != nil {
			list = append(list, "route", c.route.Name)
		}
		if !c.deadline.IsZero() {
			list = append(list, "deadline_ms", c.deadline.Sub(c.arrived).Milliseconds())
		}
		if c.account != nil {
			list = append(list, "client_account", c.account.Name)
		}
		if c.stream.headerWritten {
			list = append(list, "longest_gap_ms", c.stream.longestGap.Milliseconds())
		}
		if o, ok := out.(refused); c.attemptFailed || (ok && o.err.Kind == fault.Quarantined) {
			list = append(list, "prompt_parts", loggedParts(c.parts))
		}
		return append(list, more...)
	}
	log := c.gateway.log
	switch o := out.(type) {
	case delivered:
		c.gateway.metrics.count("answers", strconv.Itoa(o.status))
		c.recordDuration(ended)
		if o.status >= 400 || len(c.attemptLog) > 1 || c.isSampled() {
			log.Info("answered", fields("status", o.status)...)
		}
	case refused:
		c.gateway.metrics.count("answers", o.err.Kind.String())
		log.Info("refused", fields("status", o.err.Kind.Status(), "reason", o.err.Kind.String(), "ran", o.err.Ran.String(),
			"retry_after_ms", o.err.RetryAfter.Milliseconds(), "message", o.err.Message)...)
	case truncated:
		c.gateway.metrics.count("answers", "broken")
		log.Warn("answer broken off", fields("error", o.err, "last_event", c.stream.lastID)...)
	case callerGone:
		c.gateway.metrics.count("answers", "caller_gone")
		log.Info("the caller has disconnected", fields()...)
	}
}

// isSampled counts a successful call and reports whether it is logged.
func (c *call) isSampled() bool {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	c.gateway.successes++
	return c.gateway.successes%uint64(c.gateway.cfg.SuccessSample) == 0
}
