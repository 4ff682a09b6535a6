package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// maxRejections bounds the backend servers that may reject one request.
	maxRejections = 3
	// writeGrace is how long after its deadline an answer may be written.
	writeGrace = 2 * time.Second
)

// call is one caller's request on its way.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	id             string
	catalogVersion uint64
	route          *catalog.Route
	service        string
	account        *catalog.ClientAccount
	deadline       time.Time
	body           []byte
	hasBody        bool
	reserved       int64

	tried    []string
	trail    []string // one element for each attempt, for the log
	sends    int
	runs     int // attempts that may have run
	rejected int
	waited   time.Duration
	first    time.Duration
	held     *answer // a failure that a backend server has answered with
	stream   stream
}

// outcome is how a call ended: delivered, refused, broken or gone.
type outcome interface{ isOutcome() }

type (
	// delivered: a backend server's answer was passed on.
	delivered struct{ status int }
	// refused: the call was answered with an error of the system.
	refused struct{ err *fault.Error }
	// broken: the answer ended midway, and its connection with it.
	broken struct{ err error }
	// gone: the caller has left.
	gone struct{}
)

func (delivered) isOutcome() {}
func (refused) isOutcome()   {}
func (broken) isOutcome()    {}
func (gone) isOutcome()      {}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, writer: w, request: r, arrived: time.Now()}
	out := c.serve()
	g.bodies.give(c.reserved)
	c.report(out)
	if _, ok := out.(broken); ok {
		// Ends the connection, so that the caller sees a broken answer.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) serve() outcome {
	if err := c.admit(); err != nil {
		return c.refuse(err)
	}
	// The deadline bounds writes too: a caller that does not read holds memory.
	http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	c.service = c.route.Pick(c.gateway.draw())
	for {
		begin := time.Now()
		decision := c.gateway.acquire(ctx, c.placement(begin))
		c.waited += time.Since(begin)
		switch d := decision.(type) {
		case pool.Assign:
			if out := c.attempt(ctx, d); out != nil {
				return out
			}
		case pool.Refuse:
			return c.giveUp(fault.New(d.Kind, "service %s: %s, %d waiting, %d running, expected wait %d ms",
				c.service, d.Reason, d.Waiting, d.Running, d.ExpectedWait.Milliseconds()).WithRetryAfter(d.RetryAfter), d.Reason.String())
		default:
			return c.expired()
		}
	}
}

// expired ends a call whose context has ended.
func (c *call) expired() outcome {
	if c.request.Context().Err() != nil {
		return gone{}
	}
	return c.giveUp(fault.New(fault.DeadlineExceeded, "no answer within the deadline"), "deadline")
}

// giveUp gives the final answer of a call that cannot be served: the failure
// that a backend server answered with, or an error that says whether the
// request can have run.
func (c *call) giveUp(err *fault.Error, reason string) outcome {
	c.gateway.metrics.count("refusals", reason)
	switch {
	case c.stream.begun:
		return broken{err: err}
	case c.held != nil:
		return c.deliverHeld()
	case c.runs == 0 && err.Kind == fault.DeadlineExceeded:
		return c.refuse(err.WithRan(fault.RanNo))
	case c.runs == 0:
		if err.Ran != fault.RanNo {
			err = fault.New(fault.Overloaded, "%s", err.Message).WithRetryAfter(err.RetryAfter)
		}
		return c.refuse(err)
	case err.Kind == fault.DeadlineExceeded:
		return c.refuse(err.WithRan(fault.RanUnknown))
	}
	return c.refuse(fault.New(fault.OutcomeUnknown, "no backend server completed the request: %s", err.Message))
}

// refuse writes an error of the system.
func (c *call) refuse(err *fault.Error) outcome {
	header := c.writer.Header()
	header.Set("Content-Type", "application/json")
	if c.id != "" {
		header.Set(c.gateway.cfg.Dialect.RequestID, c.id)
	}
	if err.RetryAfter > 0 && err.Ran == fault.RanNo {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, _ := json.Marshal(err.Body(c.id)) // plain fields only
	c.writer.WriteHeader(err.Kind.Status())
	if _, writeErr := c.writer.Write(body); writeErr != nil {
		return gone{}
	}
	return refused{err: err}
}

// report logs and counts the end of a call.
func (c *call) report(out outcome) {
	now := time.Now()
	kind := catalog.NonIdempotent
	if c.route != nil {
		kind = c.route.Kind
		c.gateway.metrics.whole[kind].RecordDuration(now.Sub(c.arrived))
		c.gateway.metrics.queued[kind].RecordDuration(c.waited)
		if c.first > 0 {
			c.gateway.metrics.first[kind].RecordDuration(c.first)
		}
	}
	fields := func(more ...any) []any {
		list := []any{"request_id", c.id, "service", c.service, "kind", kind.String(), "catalog_version", c.catalogVersion,
			"waited_ms", c.waited.Milliseconds(), "first_ms", c.first.Milliseconds(), "whole_ms", now.Sub(c.arrived).Milliseconds(),
			"attempts", c.trail, "runs", c.runs}
		if c.route != nil {
			list = append(list, "route", c.route.Name, "deadline_ms", c.deadline.Sub(c.arrived).Milliseconds())
		}
		if c.account != nil {
			list = append(list, "client_account", c.account.Name)
		}
		if c.stream.begun {
			list = append(list, "longest_gap_ms", c.stream.longestGap.Milliseconds())
		}
		return append(list, more...)
	}
	log := c.gateway.log
	switch o := out.(type) {
	case delivered:
		c.gateway.metrics.count("answers", strconv.Itoa(o.status))
		if o.status >= 400 || len(c.trail) > 1 || c.isSampled() {
			log.Info("answered", fields("status", o.status)...)
		}
	case refused:
		c.gateway.metrics.count("answers", o.err.Kind.String())
		log.Info("refused", fields("status", o.err.Kind.Status(), "reason", o.err.Kind.String(), "ran", o.err.Ran.String(),
			"retry_after_ms", o.err.RetryAfter.Milliseconds(), "message", o.err.Message)...)
	case broken:
		c.gateway.metrics.count("answers", "broken")
		log.Warn("answer broken off", fields("error", o.err, "last_event", c.stream.lastID)...)
	case gone:
		c.gateway.metrics.count("answers", "caller_gone")
		log.Info("caller left", fields()...)
	}
}

func (c *call) isSampled() bool {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	c.gateway.served++
	return c.gateway.served%uint64(c.gateway.cfg.SuccessSample) == 0
}
