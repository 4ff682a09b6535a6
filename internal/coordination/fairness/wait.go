package fairness

import (
	"math"
	"time"
)

// speed is the work per second that leaves a queue.
type speed struct {
	perSecond float64
	last      time.Time
	pending   float64
	known     bool
}

// add counts work that left. Only the time in which others were waiting says
// how fast the service is; otherwise arrivals set the pace, and the figure is
// a lower bound.
func (s *speed) add(now time.Time, cost float64, backlogged bool) {
	if s.last.IsZero() {
		s.last, s.pending = now, cost
		return
	}
	s.pending += cost
	elapsed := now.Sub(s.last).Seconds()
	if elapsed < 0.05 {
		return
	}
	current := s.pending / elapsed
	s.last, s.pending = now, 0
	switch {
	case !s.known:
		s.perSecond, s.known = current, true
	case backlogged || current > s.perSecond:
		keep := math.Exp(-elapsed / rateSpan.Seconds())
		s.perSecond = keep*s.perSecond + (1-keep)*current
	}
}

// EstimateWait returns how long an item would wait if it came now: the work that goes
// before it, divided by the speed of the queue. It is 0 while the speed is not
// known.
func (q *Queue) EstimateWait(it *Item) time.Duration {
	if !q.speed.known || q.speed.perSecond <= 0 || q.length == 0 {
		return 0
	}
	own := q.flows[it.Account]
	start := q.virtual
	ahead := 0.0
	if own != nil {
		start = max(start, own.finish)
		for _, other := range own.items {
			if other.Priority >= it.Priority {
				ahead += other.Cost
			}
		}
		if own.index >= 0 {
			start = own.start
		}
		start += ahead / max(it.Weight, 1e-9)
	}
	for _, f := range q.active {
		if f != own && f.start <= start {
			// The flow's items go first until its virtual time has caught up.
			ahead += min(f.cost, (start-f.start)*f.weight+f.items[0].Cost)
		}
	}
	seconds := ahead / q.speed.perSecond
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
