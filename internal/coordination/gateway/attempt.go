package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// targetTimeoutFactor is the number of target latencies, and gapTimeoutFactor
	// the number of target gaps within a stream, without data after which a
	// repeatable request is retried at another backend server.
	targetTimeoutFactor = 2.5
	gapTimeoutFactor    = 8
	// defaultGapTimeout is the time without events after which a stream whose route
	// names no target gap is resumed. Callers give up a stream after 2 s or more.
	defaultGapTimeout = 2 * time.Second
	// meanTimeoutFactor is the least multiple of the mean time to a first answer
	// after which an attempt times out: in a burst all backend servers are slow,
	// and a retry only adds load.
	meanTimeoutFactor = 4
	// retryCheckInterval is the time between two checks whether a request to a silent
	// backend server could be retried. Free slots of peers are known 0.2 s late.
	retryCheckInterval = 200 * time.Millisecond
)

// errAttemptTimeout is the cause with which a timed out attempt is cancelled.
var errAttemptTimeout = errors.New("attempt timed out")

// attempt is one request at one backend server.
type attempt struct {
	call        *call
	assigned    pool.Assign
	ctx         context.Context
	cancel      context.CancelCauseFunc
	started     time.Time
	timeToFirst time.Duration
	lastEvent   time.Time
	// timer calls expire if no data arrives in time; nil if the request could not
	// be retried.
	timer *time.Timer
	// resets counts how often data has restarted the timer.
	resets atomic.Int64
	// events is the number of events of the stream, and sound says that the
	// request has got so far that it does not crash the backend server.
	events int
	sound  bool
	// witness is set if the answer ends with its connection.
	witness *backend.Witness
}

// attempt sends the request to one backend server. It returns nil if the request
// should be retried.
func (c *call) attempt(parent context.Context, to pool.Assign) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	a := &attempt{call: c, assigned: to, ctx: ctx, cancel: cancel, started: time.Now()}
	if timeout := c.attemptTimeout(); timeout > 0 {
		retry := c.poolRequest(a.started)
		retry.Tried = append(slices.Clone(c.tried), to.Server.ID)
		a.timer = time.AfterFunc(timeout, func() { a.expire(retry) })
		defer a.timer.Stop()
	}
	c.sends++
	a.recordPrefix()
	res, err := c.gateway.client.Send(ctx, to.Server.Address, a.request())
	if err != nil {
		return a.handleSendError(err)
	}
	defer res.Close()
	return a.handleResponse(res)
}

// expire cancels an attempt that has been silent for too long, as soon as another
// backend server would take the request.
func (a *attempt) expire(retry *pool.Request) {
	resets := a.resets.Load()
	for !a.call.gateway.canRetry(retry) {
		select {
		case <-a.ctx.Done():
			return
		case <-time.After(retryCheckInterval):
		}
		if a.resets.Load() != resets {
			return
		}
	}
	a.cancel(errAttemptTimeout)
}

// attemptTimeout returns the time without data after which the request is retried
// at another backend server, or 0 if it must not be retried.
func (c *call) attemptTimeout() time.Duration {
	if !c.mayRepeat() || c.possibleRuns+1 >= c.route.MaxAttempts {
		return 0
	}
	if c.stream.headerWritten {
		return c.gapTimeout()
	}
	mean := c.gateway.meanTimeToFirstAnswer(c.service)
	return max(time.Duration(targetTimeoutFactor*float64(c.route.TargetLatency)), meanTimeoutFactor*mean)
}

// gapTimeout returns the time without events after which a stream is resumed at
// another backend server.
func (c *call) gapTimeout() time.Duration {
	if c.route.TargetGap == 0 {
		return defaultGapTimeout
	}
	return gapTimeoutFactor * c.route.TargetGap
}

// timedOut reports whether the attempt was cancelled by its timer.
func (a *attempt) timedOut() bool { return errors.Is(context.Cause(a.ctx), errAttemptTimeout) }

// request returns the outgoing request of this attempt.
func (a *attempt) request() *backend.Request {
	headerNames := &a.call.gateway.cfg.HeaderNames
	req := a.call.baseRequest()
	req.Header.Set(headerNames.ExpectedIncarnation, a.assigned.Server.ID)
	req.Header.Set(headerNames.DeadlineRemaining, strconv.FormatInt(max(1, time.Until(a.call.deadline).Milliseconds()), 10))
	if a.call.stream.headerWritten {
		req.Header.Set(headerNames.LastEventID, a.call.stream.lastID)
	}
	return req
}

// finish reports the end of the attempt to the pool and adds it to the call's
// attempt log.
func (a *attempt) finish(result pool.Result, detail string) {
	c := a.call
	held := time.Since(a.started)
	c.gateway.metrics.attemptTime[c.route.Kind].RecordDuration(held)
	c.gateway.finishAttempt(c.service, c.size, a.assigned.Server, result, a.timeToFirst, held)
	c.attemptLog = append(c.attemptLog, fmt.Sprintf("%s %s after %d ms: %s (running %d, others %d, cost %d ms, cold %t, age %d ms)",
		a.assigned.Server.ID, result, held.Milliseconds(), detail, a.assigned.Running, a.assigned.PeerLoad, a.assigned.Cost.Milliseconds(), a.assigned.Cold,
		a.started.Sub(a.assigned.Server.Received).Milliseconds()))
	if result != pool.Answered {
		c.attemptFailed = true
		c.gateway.metrics.count("attempts_failed", result.String())
	}
}

// handleSendError ends an attempt that got no response.
func (a *attempt) handleSendError(err error) outcome {
	c := a.call
	var sendErr *backend.SendError
	reached := !errors.As(err, &sendErr) || sendErr.Sent
	if reached {
		c.possibleRuns++
	}
	if a.ctx.Err() != nil && !a.timedOut() {
		result := pool.Abandoned
		if c.request.Context().Err() == nil && !errors.Is(context.Cause(a.ctx), errQuarantined) {
			result = pool.NoAnswer
		}
		a.finish(result, err.Error())
		return c.contextEnded()
	}
	result := pool.Failed
	switch {
	case a.timedOut():
		result = pool.NoAnswer
	case !reached:
		result = pool.Unreachable
	default:
		a.noteBroken(err)
		a.checkEnded()
	}
	a.finish(result, err.Error())
	return a.retryOrFail(reached, fault.Wrap(err, fault.BackendFailed, "backend server %s gave no answer", a.assigned.Server.ID))
}

// noteBroken logs and counts an answer that breaks the protocol.
func (a *attempt) noteBroken(err error) {
	broken, ok := http1.Broken(err)
	if !ok {
		return
	}
	a.call.gateway.metrics.count("broken_answers", broken.Part.String())
	a.call.gateway.log.Info("answer breaks the protocol", "backend_server", a.assigned.Server.ID, "born_ms", a.assigned.Server.StartedMS,
		"address", a.assigned.Server.Address, "request_id", a.call.id, "part", broken.Part.String(), "error", broken.Reason, "events", a.events)
}

// retryOrFail returns nil if the request should be retried after a failed attempt,
// and otherwise the outcome of the call. A request that cannot have run is retried
// whatever its kind.
func (a *attempt) retryOrFail(ran bool, err *fault.Error) outcome {
	c := a.call
	c.tried = append(c.tried, a.assigned.Server.ID)
	if !ran {
		c.rejections++
		if c.rejections > maxRejections {
			return c.fail(fault.New(fault.Overloaded, "%s", err.Message), "rejected")
		}
		return nil
	}
	if !c.mayRepeat() || c.possibleRuns >= c.route.MaxAttempts {
		return c.fail(err, "failed")
	}
	return nil
}

// handleResponse handles a response whose request id matches.
func (a *attempt) handleResponse(res *backend.Response) outcome {
	c := a.call
	headerNames := &c.gateway.cfg.HeaderNames
	if cold, err := strconv.Atoi(res.Header.Get(headerNames.ColdRemaining)); err == nil {
		c.gateway.setColdRemaining(a.assigned.Server.ID, time.Duration(cold)*time.Millisecond)
	}
	if requests, ok := parseLoad(res.Header.Get(headerNames.Load)); ok {
		c.gateway.setServerLoad(a.assigned.Server.ID, requests)
	}
	if res.Status != http.StatusMisdirectedRequest {
		// 421 comes from another incarnation.
		a.noteLeaving(res.Status, res.Header)
		a.noteRetryAfter(res.Status, res.Header)
	}
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		c.gateway.markMisdirected(a.assigned.Server.ID)
		a.finish(pool.Rejected, "421, another incarnation uses the address")
		return a.retryOrFail(false, fault.New(fault.Unavailable, "backend server %s is gone", a.assigned.Server.ID))
	case res.Header.Get(headerNames.NotRun) != "":
		a.finish(pool.Rejected, strconv.Itoa(res.Status)+" not run")
		return a.retryOrFail(false, fault.New(fault.Unavailable, "backend server %s rejected the request", a.assigned.Server.ID))
	}
	c.possibleRuns++
	if res.Header.Get(headerNames.Signature) == "" {
		a.finish(pool.Failed, strconv.Itoa(res.Status)+" without signature")
		return a.retryOrFail(true, fault.New(fault.BackendFailed, "the answer of backend server %s has no signature", a.assigned.Server.ID))
	}
	a.recordCached(res.Header.Get(headerNames.CachedTokens))
	if res.EndsWithConnection {
		a.witness = c.gateway.client.Watch(a.ctx, a.assigned.Server.Address)
		defer a.witness.Close()
	}
	isSuccess := res.Status >= 200 && res.Status < 300
	switch {
	case c.stream.headerWritten && !(isSuccess && c.stream.isContinuedBy(res.Header)):
		// The caller is in the middle of a stream, which only events can continue.
		a.finish(pool.Failed, fmt.Sprintf("%d %q does not continue the stream", res.Status, res.Header.Get("Content-Type")))
		return a.retryOrFail(true, fault.New(fault.BackendFailed, "backend server %s answered %d within a stream", a.assigned.Server.ID, res.Status))
	case isSuccess && c.route.Kind == catalog.Streaming:
		return a.forwardStream(res)
	}
	return a.forwardBody(res)
}

// recordFirstAnswer reports the time to an answer that is not a stream of events.
func (a *attempt) recordFirstAnswer() {
	now := time.Now()
	a.timeToFirst = now.Sub(a.started)
	a.call.gateway.recordEvent(now, a.assigned.Server.ID, a.timeToFirst, 0)
}

// handleReadError ends an attempt whose answer is incomplete.
func (a *attempt) handleReadError(err error) outcome {
	c := a.call
	if a.ctx.Err() != nil && !a.timedOut() {
		a.finish(pool.Abandoned, err.Error())
		return c.contextEnded()
	}
	result := pool.Failed
	if a.timedOut() {
		result = pool.NoAnswer
	} else {
		a.noteBroken(err)
		a.checkEnded()
	}
	a.finish(result, "answer incomplete: "+err.Error())
	return a.retryOrFail(true, fault.Wrap(err, fault.BackendFailed, "the answer of backend server %s ended early", a.assigned.Server.ID))
}

func (g *Gateway) markMisdirected(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.MarkMisdirected(id)
}

// parseLoad returns the number of requests that a backend server reports, from a
// header of the form "running,waiting,slots".
func parseLoad(value string) (requests int, ok bool) {
	parts := strings.Split(value, ",")
	if len(parts) < 2 {
		return 0, false
	}
	for _, part := range parts[:2] {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return 0, false
		}
		requests += n
	}
	return requests, true
}

func (g *Gateway) setServerLoad(id string, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetServerLoad(time.Now(), id, requests)
}

func (g *Gateway) setColdRemaining(id string, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetColdRemaining(time.Now(), id, remaining)
}
