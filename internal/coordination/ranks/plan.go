package ranks

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Weights and thresholds of a plan.
const (
	// popularityWeight is the weight of a new measurement in the moving average.
	// Expert popularity can change within seconds, so the latest measurement has
	// the largest weight.
	popularityWeight = 0.6
	// steadyWeight is the weight of a new measurement where shifts are noticed.
	steadyWeight = 0.4
	// shiftDistance is the ratio of the distance of a measurement from the average
	// popularity to the usual one above which the popularity has shifted, and
	// shiftWeight the weight of a measurement then. distanceWeight is the weight of
	// a new distance in the usual one.
	shiftDistance  = 1.6
	shiftWeight    = 0.9
	distanceWeight = 0.1
	// shiftDuration is the time within which measurements belong to one shift: the
	// one in which it occurs covers only a part of it.
	shiftDuration = time.Second
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
	sets    []rebalance.Popularity
	experts int                     // in each set
	last    map[string]ExpertCounts // by rank id
	shifts  shifts
	seen    seen
	// distance is the moving average of the distance between a measurement and the
	// average popularity while there is no shift.
	distance float64
}

func newPopularity() *popularity { return &popularity{last: map[string]ExpertCounts{}} }

// observe adds the counts of several ranks since their previous counts. It reports
// whether the popularity has shifted since the previous measurement.
func (p *popularity) observe(now time.Time, spec catalog.Experts, counts map[string]ExpertCounts) bool {
	if len(p.sets) != spec.Sets || p.experts != spec.ExpertsPerSet {
		p.experts, p.seen, p.last = spec.ExpertsPerSet, seen{}, map[string]ExpertCounts{}
		p.sets = make([]rebalance.Popularity, spec.Sets)
		for i := range p.sets {
			p.sets[i].SmoothingFactor = popularityWeight
		}
	}
	sums := make([][]uint64, len(p.sets))
	for set := range p.sets {
		sums[set] = make([]uint64, spec.ExpertsPerSet)
		for id, c := range counts {
			addDelta(sums[set], c, p.last[id], set)
		}
	}
	for id, c := range counts {
		p.last[id] = c
	}
	// Where the costs of copies are unknown, plans do not depend on shifts.
	isShift := hasCosts(spec) && p.isShift(sums)
	for set := range p.sets {
		switch {
		case isShift:
			p.sets[set].SmoothingFactor = shiftWeight
		case hasCosts(spec):
			p.sets[set].SmoothingFactor = steadyWeight
		}
		p.sets[set].Observe(sums[set])
	}
	if hasCosts(spec) {
		p.seen.observe(sums, isShift, p.distance)
	}
	if isShift && now.Sub(p.shifts.last) > shiftDuration {
		p.shifts.observe(now)
	}
	return isShift
}

// isShift reports whether a measurement is so far from the average popularity that
// the popularity must have shifted.
func (p *popularity) isShift(sums [][]uint64) bool {
	distance := 0.0
	for set, sum := range sums {
		shares := p.sets[set].Shares()
		total := uint64(0)
		for _, n := range sum {
			total += n
		}
		if shares == nil || total == 0 {
			return false
		}
		for e, n := range sum {
			distance += math.Abs(float64(n)/float64(total)-shares[e]) / 2 / float64(len(sums))
		}
	}
	if p.distance == 0 {
		p.distance = distance
		return false
	}
	if distance > shiftDistance*p.distance {
		return true
	}
	p.distance += distanceWeight * (distance - p.distance)
	return false
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
	// perRank is the greatest number of experts that a rank must load, expected the
	// expected duration of the change, and lifetime that of the popularity. They
	// are 0 if the costs of copies are unknown.
	perRank            int
	expected, lifetime time.Duration
}

// canImprove reports whether a perfectly balanced map would justify a change.
func (p *popularity) canImprove(spec catalog.Experts, current Map, load float64) bool {
	skew, ok := p.meanSkew(spec, current)
	return ok && skew-1 >= minGain/load
}

// meanSkew returns the mean skew of a map over all sets; ok is false before the first
// measurement.
func (p *popularity) meanSkew(spec catalog.Experts, current Map) (skew float64, ok bool) {
	if len(current) != spec.Sets || len(p.sets) != spec.Sets {
		return 0, false
	}
	for set := range p.sets {
		shares := p.sets[set].Shares()
		if shares == nil {
			return 0, false
		}
		skew += rebalance.Placement(current[set]).Skew(shares) / float64(spec.Sets)
	}
	return skew, true
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
