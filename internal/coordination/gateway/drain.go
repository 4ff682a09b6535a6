package gateway

import (
	"context"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// durationWindow is how long the longest requests of a route are remembered, at
	// least.
	durationWindow = time.Minute
	// longestMargin is the multiple of the longest recent request for which there must
	// be time, since the next one may be longer still. meanMargin is that of the mean
	// one, which most requests do not exceed.
	longestMargin = 1.25
	meanMargin    = 2
	// meanWeight is the weight of a new request in the mean.
	meanWeight = 0.1
	// drainRetryAfter sends a caller to another entry at once.
	drainRetryAfter = time.Millisecond
	// lastAnswerTime is left for writing answers when serving ends.
	lastAnswerTime = 100 * time.Millisecond
)

// durations are those of the recent requests of a route. The zero value knows none.
type durations struct {
	begun           time.Time // of the current window
	longest, before time.Duration
	mean            time.Duration
}

// add records the time from a request's arrival to its complete answer.
func (d *durations) add(now time.Time, length time.Duration) {
	if now.Sub(d.begun) > durationWindow {
		d.begun, d.before, d.longest = now, d.longest, 0
	}
	d.longest = max(d.longest, length)
	if d.mean == 0 {
		d.mean = length
	}
	d.mean += time.Duration(meanWeight * float64(length-d.mean))
}

// fits decides whether a draining entry takes a request, which should end within left.
// What may be repeated is taken if it will probably fit: its caller can resume or repeat
// it elsewhere. What must not has to fit as long as the longest ones take, or until its
// deadline if none is known.
func (d *durations) fits(left, untilDeadline time.Duration, mayRepeat bool) bool {
	longest := max(d.longest, d.before)
	need := untilDeadline
	switch {
	case mayRepeat:
		need = min(need, meanMargin*d.mean)
	case longest > 0:
		need = min(need, time.Duration(longestMargin*float64(longest)))
	}
	return left > 0 && need <= left
}

// Drain announces that the process ends at a time. Requests that may not fit are
// refused from now on, and those that are in flight shortly before get an answer then.
func (g *Gateway) Drain(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainEnd = end.Add(-lastAnswerTime)
	time.AfterFunc(time.Until(g.drainEnd), g.stopServing)
}

// checkDrain returns an error if the entry ends too soon for a request.
func (c *call) checkDrain(now time.Time) *fault.Error {
	g := c.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drainEnd.IsZero() {
		return nil
	}
	left, untilDeadline, known := g.drainEnd.Sub(now), c.deadline.Sub(now), g.durations[c.route.Name]
	if known == nil {
		known = &durations{}
	}
	if known.fits(left, untilDeadline, c.mayRepeat()) {
		return nil
	}
	return fault.New(fault.Draining, "this entry ends in %d ms, requests of route %s have taken %d ms, %d ms at most, deadline in %d ms",
		left.Milliseconds(), c.route.Name, known.mean.Milliseconds(), max(known.longest, known.before).Milliseconds(), untilDeadline.Milliseconds()).WithRetryAfter(drainRetryAfter)
}

// recordDuration records how long a complete answer took.
func (c *call) recordDuration(now time.Time) {
	g := c.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.durations[c.route.Name]
	if known == nil {
		known = &durations{begun: now}
		g.durations[c.route.Name] = known
	}
	known.add(now, now.Sub(c.arrived))
}

// forgetDurations forgets routes that are gone. The caller holds g.mu.
func (g *Gateway) forgetDurations() {
	if len(g.durations) <= len(g.view.Index.Catalog.Routes) {
		return
	}
	listed := make(map[string]bool, len(g.view.Index.Catalog.Routes))
	for _, r := range g.view.Index.Catalog.Routes {
		listed[r.Name] = true
	}
	for name := range g.durations {
		if !listed[name] {
			delete(g.durations, name)
		}
	}
}

// whileServing returns a context that also ends when serving ends.
func (g *Gateway) whileServing(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.serving, cancel)
	return ctx, func() { stop(); cancel() }
}
