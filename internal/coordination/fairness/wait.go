package fairness

import (
	"math"
	"time"
)

// throughput estimates the cost per second that leaves a queue.
type throughput struct {
	perSecond  float64
	measuredAt time.Time
	pending    float64
	known      bool
}

// add records the cost of an item that was dispatched. Only a backlogged queue
// shows the throughput of the service; otherwise the arrival rate limits it, and
// the sample is a lower bound.
func (t *throughput) add(now time.Time, cost float64, backlogged bool) {
	if t.measuredAt.IsZero() {
		t.measuredAt, t.pending = now, cost
		return
	}
	t.pending += cost
	elapsed := now.Sub(t.measuredAt).Seconds()
	if elapsed < 0.05 {
		return
	}
	current := t.pending / elapsed
	t.measuredAt, t.pending = now, 0
	switch {
	case !t.known:
		t.perSecond, t.known = current, true
	case backlogged || current > t.perSecond:
		keep := math.Exp(-elapsed / rateWindow.Seconds())
		t.perSecond = keep*t.perSecond + (1-keep)*current
	}
}

// EstimateWait returns how long an item would wait if it arrived now: the cost
// ahead of it divided by the throughput of the queue, at most maxRetryAfter. It is
// 0 while the throughput is unknown.
func (q *Queue) EstimateWait(it *Item) time.Duration {
	if !q.throughput.known || q.throughput.perSecond <= 0 || q.length == 0 {
		return 0
	}
	ownFlow := q.flows[it.Account]
	start := q.virtualTime
	ahead := 0.0
	if ownFlow != nil {
		start = max(start, ownFlow.finish)
		for _, other := range ownFlow.items {
			if other.Priority >= it.Priority {
				ahead += other.Cost
			}
		}
		if ownFlow.index >= 0 {
			start = ownFlow.start
		}
		start += ahead / max(it.Weight, 1e-9)
	}
	for _, f := range q.active {
		if f != ownFlow && f.start <= start {
			// The flow's items go first until its virtual start time passes start.
			ahead += min(f.cost, (start-f.start)*f.weight+f.items[0].Cost)
		}
	}
	seconds := ahead / q.throughput.perSecond
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
