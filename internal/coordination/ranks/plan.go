package ranks

import (
	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Weights and thresholds of a plan.
const (
	// popularityWeight is the weight of a new measurement in the moving average.
	// Expert popularity can change within seconds, so the latest measurement has
	// the largest weight.
	popularityWeight = 0.6
	// targetSkew is the load of the busiest rank over the mean at which planning
	// stops: further copies cost more than they gain.
	targetSkew = 1.08
	// minGain is the least improvement of the mean skew over all sets that
	// justifies a change of a group whose slots are all taken. Copies slow passes
	// by 15 % for about a second.
	minGain = 0.12
	// minLoad is the lower bound of the load: callers of a group with a lower load
	// would not notice shorter passes.
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

// popularity estimates how often the experts of a service are selected, by set.
type popularity struct {
	sets []rebalance.Popularity
	last map[string]ExpertCounts // by rank id
}

func newPopularity() *popularity { return &popularity{last: map[string]ExpertCounts{}} }

// observe adds the counts of several ranks since their previous counts.
func (p *popularity) observe(spec catalog.Experts, counts map[string]ExpertCounts) {
	if len(p.sets) != spec.Sets {
		p.sets = make([]rebalance.Popularity, spec.Sets)
		for i := range p.sets {
			p.sets[i].SmoothingFactor = popularityWeight
		}
	}
	for set := range p.sets {
		sum := make([]uint64, spec.ExpertsPerSet)
		for id, c := range counts {
			addDelta(sum, c, p.last[id], set)
		}
		p.sets[set].Observe(sum)
	}
	for id, c := range counts {
		p.last[id] = c
	}
}

// addDelta adds what a rank counted since its previous counts. A restarted rank
// counts from 0.
func addDelta(sum []uint64, now, before ExpertCounts, set int) {
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

// plan is a map that is to replace the one in use.
type plan struct {
	improved Map
	// before and after are the mean skews over all sets. copies is the number of
	// experts that ranks must load.
	before, after float64
	copies        int
}

// canImprove reports whether a perfectly balanced map would justify a change.
func (p *popularity) canImprove(spec catalog.Experts, current Map, load float64) bool {
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

// improve plans a map for a group, or returns nil if none justifies a change. The
// required gain is inversely proportional to load.
func (p *popularity) improve(spec catalog.Experts, current Map, load float64) *plan {
	if !p.canImprove(spec, current, load) {
		return nil
	}
	out := &plan{improved: make(Map, spec.Sets)}
	for set := range p.sets {
		shares := p.sets[set].Shares()
		if shares == nil {
			return nil
		}
		placement := rebalance.Placement(current[set])
		moves, points := rebalance.ImproveWithRankLimit(placement, shares, spec.MaxExpertsPerRank, spec.ExpertsPerSet, spec.MaxNewExperts, targetSkew)
		best := cheapest(points, minSkewGain/load)
		next := placement.Apply(moves[:best.Moves])
		out.improved[set] = next
		out.before += points[0].Skew / float64(spec.Sets)
		out.after += best.Skew / float64(spec.Sets)
		out.copies += placement.Moved(next)
	}
	if out.before-out.after < minGain/load {
		return nil
	}
	return out
}

// minSkewGain is the least reduction of the skew for each four additional copies in
// a set, at full load.
const minSkewGain = 0.02

// cheapest returns a point with few copies whose skew is close to the lowest: a
// point with more copies is preferred only if it lowers the skew by more than
// threshold for each four additional copies.
func cheapest(points []rebalance.Point, threshold float64) rebalance.Point {
	best := points[0]
	for _, p := range points[1:] {
		if best.Skew-p.Skew > threshold*float64(p.Weights-best.Weights)/4 {
			best = p
		}
	}
	return best
}
