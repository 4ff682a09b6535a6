package ranks

import (
	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Weights and thresholds of a plan.
const (
	// popularityWeight is that of a new measurement. What is liked can change
	// within seconds, so the latest one counts most.
	popularityWeight = 0.6
	// targetSkew is the load of the busiest rank over the mean at which a plan
	// is even enough: copies cost more than the rest would gain.
	targetSkew = 1.08
	// minGain is the least improvement of the mean skew over all sets that is
	// worth a change of a group whose slots are all taken. Copies slow passes by
	// 15 in 100 for about a second.
	minGain = 0.12
	// minLoad is the least share of slots taken that counts: a group with less
	// to do gains nothing from shorter passes that its callers would notice.
	minLoad = 0.15
)

// load is the share of a group's slots that are taken, at least minLoad.
func load(spec catalog.Experts, reports []Report) float64 {
	requests := 0
	for _, r := range reports {
		requests += r.Requests
	}
	return min(1, max(minLoad, float64(requests)/float64(max(1, spec.Slots*len(reports)))))
}

// popularity is how often the experts of a service are chosen, by set.
type popularity struct {
	sets []rebalance.Popularity
	last map[string]ExpertCounts // by rank id
}

func newPopularity() *popularity { return &popularity{last: map[string]ExpertCounts{}} }

// observe takes the counts of several ranks, as differences to the last ones.
func (p *popularity) observe(spec catalog.Experts, counts map[string]ExpertCounts) {
	if len(p.sets) != spec.Sets {
		p.sets = make([]rebalance.Popularity, spec.Sets)
		for i := range p.sets {
			p.sets[i].SmoothingFactor = popularityWeight
		}
	}
	for set := range p.sets {
		sum := make([]uint64, spec.PerSet)
		for id, c := range counts {
			addDifference(sum, c, p.last[id], set)
		}
		p.sets[set].Observe(sum)
	}
	for id, c := range counts {
		p.last[id] = c
	}
}

// addDifference adds what a rank counted since its last report. A rank that
// has started anew counts from 0.
func addDifference(sum []uint64, now, before ExpertCounts, set int) {
	if set >= len(now.Sets) || len(now.Sets[set]) != len(sum) {
		return
	}
	for e, n := range now.Sets[set] {
		if set < len(before.Sets) && e < len(before.Sets[set]) && before.Sets[set][e] <= n {
			n -= before.Sets[set][e]
		}
		sum[e] += n
	}
}

// plan is a map that should replace the one in use.
type plan struct {
	next Map
	// before and after are the mean skews over all sets, and copies the experts
	// that ranks must load.
	before, after float64
	copies        int
}

// mayGain says whether a map that is perfectly even would be worth a change.
func (p *popularity) mayGain(spec catalog.Experts, current Map, load float64) bool {
	if len(current) != spec.Sets {
		return false
	}
	skew := 0.0
	for set := range p.sets {
		shares := p.sets[set].Shares()
		if shares == nil {
			return false
		}
		skew += rebalance.Placement(current[set]).Skew(shares) / float64(spec.Sets)
	}
	return skew-1 >= minGain/load
}

// improve plans a map for a group, or nil if none is worth a change. The less
// a group has to do, the more a change must bring.
func (p *popularity) improve(spec catalog.Experts, current Map, load float64) *plan {
	if !p.mayGain(spec, current, load) {
		return nil
	}
	out := &plan{next: make(Map, spec.Sets)}
	for set := range p.sets {
		shares := p.sets[set].Shares()
		if shares == nil {
			return nil
		}
		placement := rebalance.Placement(current[set])
		moves, points := rebalance.ImproveWithRankLimit(placement, shares, spec.Places, spec.PerSet, spec.MaxNew, targetSkew)
		best := cheapest(points, near/load)
		next := placement.Apply(moves[:best.Moves])
		out.next[set] = next
		out.before += points[0].Skew / float64(spec.Sets)
		out.after += best.Skew / float64(spec.Sets)
		out.copies += placement.Moved(next)
	}
	if out.before-out.after < minGain/load {
		return nil
	}
	return out
}

// near is the difference in skew that four more copies in a set must bring.
const near = 0.02

// cheapest returns the first point that is nearly as even as the best one.
func cheapest(points []rebalance.Point, near float64) rebalance.Point {
	best := points[0]
	for _, p := range points[1:] {
		if best.Skew-p.Skew > near*float64(p.Weights-best.Weights)/4 {
			best = p
		}
	}
	return best
}
