package gateway

import (
	"context"
	"fmt"
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
	// silenceFactor is the number of target latencies, or target gaps within a
	// stream, after which a request that may be repeated is tried elsewhere.
	silenceFactor = 2.5
	gapFactor     = 8
	// meanFactor is the least multiple of the mean time to a first answer that
	// counts as silence: in a burst all backend servers are slow, and trying
	// elsewhere only adds load.
	meanFactor = 4
	// maxBuffered bounds an answer that is held until it is whole. A longer one
	// is passed on as it comes, and breaks visibly.
	maxBuffered = 1 << 20
)

// errSilent is the cause of an attempt that ended for want of an answer.
var errSilent = errors.New("no answer in time")

// attempt is one request at one backend server.
type attempt struct {
	call   *call
	to     pool.Assign
	ctx    context.Context
	cancel context.CancelCauseFunc
	begin  time.Time
	first  time.Duration
	event  time.Time // of the last event
	// silence ends the attempt if nothing comes; nil if nothing else could be
	// done then.
	silence *time.Timer
}

// answer is a whole response that was read.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one backend server. It returns nil if another
// attempt should follow.
func (c *call) attempt(parent context.Context, to pool.Assign) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	a := &attempt{call: c, to: to, ctx: ctx, cancel: cancel, begin: time.Now()}
	if limit := c.silenceLimit(); limit > 0 {
		a.silence = time.AfterFunc(limit, func() { cancel(errSilent) })
		defer a.silence.Stop()
	}
	c.sends++
	res, err := c.gateway.client.Send(ctx, to.Server.Address, a.request())
	if err != nil {
		return a.failed(err)
	}
	defer res.Close()
	return a.answered(res)
}

// silenceLimit is how long a backend server may be silent before the request
// is tried elsewhere, or 0 if it cannot be.
func (c *call) silenceLimit() time.Duration {
	if !c.mayRepeat() || c.runs+1 >= c.route.MaxAttempts {
		return 0
	}
	if c.stream.begun {
		return c.gapLimit()
	}
	mean := c.gateway.firstAnswer(c.service)
	return max(time.Duration(silenceFactor*float64(c.route.TargetLatency)), meanFactor*mean)
}

// gapLimit is how long a backend server may be silent within a stream.
func (c *call) gapLimit() time.Duration { return gapFactor * c.route.TargetGap }

// wentSilent says that the attempt was ended for want of an answer.
func (a *attempt) wentSilent() bool { return errors.Is(context.Cause(a.ctx), errSilent) }

// request returns what this attempt sends.
func (a *attempt) request() *backend.Request {
	dialect := &a.call.gateway.cfg.Dialect
	req := a.call.outgoing()
	req.Header.Set(dialect.Expected, a.to.Server.ID)
	req.Header.Set(dialect.Remaining, strconv.FormatInt(max(1, time.Until(a.call.deadline).Milliseconds()), 10))
	if a.call.stream.begun {
		req.Header.Set(dialect.LastEvent, a.call.stream.lastID)
	}
	return req
}

// end reports the attempt to the pool and notes it for the log.
func (a *attempt) end(result pool.Result, detail string) {
	c := a.call
	held := time.Since(a.begin)
	c.gateway.metrics.held[c.route.Kind].RecordDuration(held)
	c.gateway.done(c.service, a.to.Server.ID, result, a.first, held)
	c.trail = append(c.trail, fmt.Sprintf("%s %s after %d ms: %s (running %d, others %d, cost %d ms, cold %t, age %d ms)",
		a.to.Server.ID, result, held.Milliseconds(), detail, a.to.Running, a.to.PeerLoad, a.to.Cost.Milliseconds(), a.to.Cold,
		a.begin.Sub(a.to.Server.Received).Milliseconds()))
	if result != pool.Answered {
		c.gateway.metrics.count("attempts_failed", result.String())
	}
}

// failed ends an attempt that brought no answer.
func (a *attempt) failed(err error) outcome {
	c := a.call
	var sent *backend.SendError
	reached := !errors.As(err, &sent) || sent.Reached
	if reached {
		c.runs++
	}
	if a.ctx.Err() != nil && !a.wentSilent() {
		result := pool.Abandoned
		if c.request.Context().Err() == nil {
			result = pool.NoAnswer
		}
		a.end(result, err.Error())
		return c.expired()
	}
	result := pool.Failed
	switch {
	case a.wentSilent():
		result = pool.NoAnswer
	case !reached:
		result = pool.Unreachable
	}
	a.end(result, err.Error())
	return a.next(reached, fault.Wrap(err, fault.BackendFailed, "backend server %s gave no answer", a.to.Server.ID))
}

// next decides whether another attempt follows one that has failed: it returns
// nil if so. One that cannot have run is repeated whatever its kind.
func (a *attempt) next(ran bool, err *fault.Error) outcome {
	c := a.call
	c.tried = append(c.tried, a.to.Server.ID)
	if !ran {
		c.rejected++
		if c.rejected > maxRejections {
			return c.giveUp(fault.New(fault.Overloaded, "%s", err.Message), "rejected")
		}
		return nil
	}
	if !c.mayRepeat() || c.runs >= c.route.MaxAttempts {
		return c.giveUp(err, "failed")
	}
	return nil
}

// answered handles a response that belongs to this request.
func (a *attempt) answered(res *backend.Response) outcome {
	c := a.call
	dialect := &c.gateway.cfg.Dialect
	if cold, err := strconv.Atoi(res.Header.Get(dialect.Cold)); err == nil {
		c.gateway.toldCold(a.to.Server.ID, time.Duration(cold)*time.Millisecond)
	}
	if requests, ok := toldLoad(res.Header.Get(dialect.Load)); ok {
		c.gateway.toldLoad(a.to.Server.ID, requests)
	}
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		c.gateway.misdirected(a.to.Server.ID)
		a.end(pool.Rejected, "421, another instance has the address")
		return a.next(false, fault.New(fault.Unavailable, "backend server %s is gone", a.to.Server.ID))
	case res.Header.Get(dialect.NotRun) != "":
		a.end(pool.Rejected, strconv.Itoa(res.Status)+" not run")
		return a.next(false, fault.New(fault.Unavailable, "backend server %s rejected the request", a.to.Server.ID))
	}
	c.runs++
	if res.Header.Get(dialect.Signature) == "" {
		a.end(pool.Failed, strconv.Itoa(res.Status)+" without signature")
		return a.next(true, fault.New(fault.BackendFailed, "backend server %s sent an answer that it has not signed", a.to.Server.ID))
	}
	if res.Status >= 200 && res.Status < 300 && c.route.Kind == catalog.Streaming {
		return a.passStream(res)
	}
	return a.passBody(res)
}

// passBody passes on an answer that is not a stream of events.
func (a *attempt) passBody(res *backend.Response) outcome {
	c := a.call
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBuffered))
	if err != nil {
		return a.cutOff(err)
	}
	if len(body) == maxBuffered {
		return a.passLong(res, body)
	}
	got := &answer{status: res.Status, header: res.Header, body: body}
	if res.Status < 500 {
		a.answeredFirst()
		a.end(pool.Answered, strconv.Itoa(res.Status))
		return c.deliver(got)
	}
	a.end(pool.Failed, strconv.Itoa(res.Status))
	c.held = got
	return a.next(true, fault.New(fault.BackendFailed, "backend server %s answered %d", a.to.Server.ID, res.Status))
}

// answeredFirst reports the begin of an answer that is not a stream of events.
func (a *attempt) answeredFirst() {
	now := time.Now()
	a.first = now.Sub(a.begin)
	a.call.gateway.event(now, a.to.Server.ID, a.first, 0)
}

// cutOff ends an attempt whose answer ended early.
func (a *attempt) cutOff(err error) outcome {
	c := a.call
	if a.ctx.Err() != nil && !a.wentSilent() {
		a.end(pool.Abandoned, err.Error())
		return c.expired()
	}
	result := pool.Failed
	if a.wentSilent() {
		result = pool.NoAnswer
	}
	a.end(result, "answer cut off: "+err.Error())
	return a.next(true, fault.Wrap(err, fault.BackendFailed, "the answer of backend server %s ended early", a.to.Server.ID))
}

// passLong passes on an answer that is too long to be held.
func (a *attempt) passLong(res *backend.Response, begin []byte) outcome {
	c := a.call
	if a.silence != nil {
		a.silence.Stop()
	}
	hop.Copy(c.writer.Header(), res.Header)
	if res.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	c.writer.WriteHeader(res.Status)
	a.answeredFirst()
	_, err := c.writer.Write(begin)
	if err == nil {
		_, err = io.Copy(c.writer, res.Body)
	}
	if err != nil {
		a.end(pool.Failed, "long answer cut off: "+err.Error())
		return broken{err: err}
	}
	a.end(pool.Answered, strconv.Itoa(res.Status))
	return delivered{status: res.Status}
}

// deliver writes a whole answer.
func (c *call) deliver(got *answer) outcome {
	c.first = time.Since(c.arrived)
	hop.Copy(c.writer.Header(), got.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	c.writer.WriteHeader(got.status)
	if _, err := c.writer.Write(got.body); err != nil && c.request.Method != http.MethodHead {
		return gone{}
	}
	return delivered{status: got.status}
}

// deliverHeld passes on a backend server's failure. The statuses that promise
// that a request has not run are not repeated: this one has.
func (c *call) deliverHeld() outcome {
	switch c.held.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return c.refuse(fault.New(fault.BackendFailed, "a backend server answered %d", c.held.status))
	}
	return c.deliver(c.held)
}

func (g *Gateway) misdirected(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.MarkMisdirected(id)
}

// toldLoad reads how many requests a backend server says that it holds: those
// that run and those that wait come before its slots.
func toldLoad(value string) (requests int, ok bool) {
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

func (g *Gateway) toldLoad(id string, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetServerLoad(time.Now(), id, requests)
}

func (g *Gateway) toldCold(id string, rest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetColdRemaining(time.Now(), id, rest)
}
