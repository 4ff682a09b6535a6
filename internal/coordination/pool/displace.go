package pool

import "time"

const (
	// lateWorth is the worth to a caller of a late answer relative to one on time. The
	// customers put it at 0.28 to 0.51 for their kinds of request.
	lateWorth = 0.4
	// displaceFactor is how much less per slot time a queued request must be worth
	// than a new one that takes its place. Estimates of the work are often off by a
	// third, and a refusal costs the caller a second request.
	displaceFactor = 1.5
	// protectedShare is the served share of a size class, relative to its kind, below
	// which its requests are not displaced. Callers need half.
	protectedShare = 0.75
)

// worthPerWork is what callers get for the slot time that a request takes.
func (r *Request) worthPerWork() float64 {
	worth := 1.0
	if r.late {
		worth = lateWorth
	}
	return worth / r.work
}

// displaceLarger makes room for a request that would wait for too long by refusing
// the one ahead of it whose loss costs callers the least per slot time. It reports
// whether r can be served then. Among requests of one priority that are on time, it is
// the largest one, unless the large ones of its kind are served much less than the
// others.
func (s *service) displaceLarger(now time.Time, r *Request, ahead, entries int) bool {
	if ahead == 0 || len(s.queue) >= maxQueue {
		return false
	}
	var least *Request
	for _, w := range s.queue {
		if w.Priority != r.Priority || w.displaced || w.IsRetry || w.tag > r.tag || !s.classes.mayDisplace(w) {
			continue
		}
		if least == nil || w.worthPerWork() < least.worthPerWork() {
			least = w
		}
	}
	if least == nil || displaceFactor*least.worthPerWork() > r.worthPerWork() {
		return false
	}
	if !now.Add(s.expectedWait(now, r, ahead-1, entries)).Before(r.latest) {
		return false
	}
	least.displaced = true
	return true
}

// displaceLessUrgent refuses the last queued request that is less urgent than r, and
// reports whether there is one. It would otherwise go on waiting although a more urgent
// one is refused.
func (s *service) displaceLessUrgent(r *Request) bool {
	for i := len(s.queue) - 1; i >= 0 && s.queue[i].Priority > r.Priority; i-- {
		if !s.queue[i].displaced {
			s.queue[i].displaced = true
			return true
		}
	}
	return false
}

// classes counts how many requests of each kind and size class are served.
type classes struct {
	kinds map[string]*kindClasses
}

// The size classes of a kind.
const (
	largest    = iota // the largest tenth
	nextLarge         // the fifth after it
	others            // the rest
	classCount        // number of classes
)

const (
	// quantileStep is the step, as a part of the mean, with which the bounds of the
	// classes follow the sizes.
	quantileStep = 0.02
	// servedWeight is the weight of a new result in the served shares, an average over
	// about 30 requests.
	servedWeight = 0.03
	// maxKinds bounds the kinds of one service, which are its routes.
	maxKinds = 256
)

// kindClasses holds the bounds of the size classes of one kind and the parts of its
// requests that were served.
type kindClasses struct {
	// bounds are the least work of the largest tenth and of the next fifth.
	bounds [2]float64
	// refused is the refused share of each class, and refusedOfAll that of the kind.
	refused      [classCount]float64
	refusedOfAll float64
}

func (c *classes) kind(name string) *kindClasses {
	k := c.kinds[name]
	if k == nil {
		if c.kinds == nil {
			c.kinds = map[string]*kindClasses{}
		}
		if len(c.kinds) >= maxKinds {
			clear(c.kinds)
		}
		k = &kindClasses{bounds: [2]float64{1, 1}}
		c.kinds[name] = k
	}
	return k
}

func (k *kindClasses) class(r *Request) int {
	switch {
	case r.work >= k.bounds[0]:
		return largest
	case r.work >= k.bounds[1]:
		return nextLarge
	}
	return others
}

// count records whether a request was served.
func (c *classes) count(r *Request, served bool) {
	if r.IsRetry {
		return
	}
	k := c.kind(r.Kind)
	refused := 1.0
	if served {
		refused = 0
	}
	class := k.class(r)
	k.refused[class] += servedWeight * (refused - k.refused[class])
	k.refusedOfAll += servedWeight * (refused - k.refusedOfAll)
	for i, above := range [2]float64{0.1, 0.3} {
		if r.work > k.bounds[i] {
			k.bounds[i] += quantileStep * (1 - above)
		} else if r.work < k.bounds[i] {
			k.bounds[i] -= quantileStep * above
		}
	}
}

// mayDisplace reports whether the class of a request is served enough to go without
// it.
func (c *classes) mayDisplace(r *Request) bool {
	k := c.kind(r.Kind)
	return 1-k.refused[k.class(r)] >= protectedShare*(1-k.refusedOfAll)
}
