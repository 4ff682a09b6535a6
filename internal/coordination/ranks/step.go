package ranks

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const (
	// copySlowdown is the fraction by which copies of experts lengthen passes.
	copySlowdown = 0.15
	// minCopyGain is the least reduction of the skew of a set, per copy and at full
	// load, for which a copy is made. It bounds the copies on ranks that would
	// otherwise wait for the rank that copies longest.
	minCopyGain = 0.01
	// minSaving is the least saving, as a fraction of the remaining lifetime of the
	// popularity and at full load, for which a step is made.
	minSaving = 0.04
	// stagesPerOrder is the number of stages whose copies take together as long as
	// the orders of a step. With small experts, stages closer together hardly differ
	// in time.
	stagesPerOrder = 5
	// unchangedStages is the number of stages that must leave the first step
	// unchanged before the search ends.
	unchangedStages = 1
	// seenTime is the time after the next shift for which the map that is then in
	// use counts. It is longer than the time until a step is in force, since a
	// stream is late from its first long pass on.
	seenTime = 2 * time.Second
)

// costs are what the decision on a step depends on, besides placements and shares.
type costs struct {
	// copyTime is the time in which a rank copies one expert, orderTime the
	// duration of a step without copies.
	copyTime, orderTime time.Duration
	// expertShare is the part of the time of a pass that grows with the skew.
	expertShare float64
	// lifetime is how long the popularity is expected to last from now on.
	lifetime time.Duration
	// load is the part of the group's slots that are taken.
	load float64
}

// stepTime returns the duration of a step that loads a number of experts onto the
// rank that loads most.
func (c costs) stepTime(perRank int) time.Duration {
	return c.orderTime + time.Duration(perRank)*c.copyTime
}

// passTime returns the mean duration of a pass, in units of that of a pass at a skew
// of 1.
func (c costs) passTime(skew float64) float64 { return 1 + c.expertShare*(skew-1) }

// lost returns the time, in seconds, by which passes are longer than at the skew
// final during a step from one stage to a later one.
func (c costs) lost(from, to rebalance.Stage, final float64) float64 {
	copying := float64(to.PerRank-from.PerRank) * c.copyTime.Seconds()
	slow := c.passTime(from.Skew)
	return c.orderTime.Seconds()*(slow-c.passTime(final)) + copying*(slow*(1+copySlowdown)-c.passTime(final))
}

// total returns the expected time of passes, in seconds at a skew of 1, from now until
// the next shift is dealt with, if the placements are those of a stage throughout.
func (c costs) total(s rebalance.Stage) float64 {
	total := c.lifetime.Seconds() * c.passTime(s.Skew)
	if s.SeenSkew > 0 {
		total += seenTime.Seconds() * c.passTime(s.SeenSkew)
	}
	return total
}

// canPay reports whether a step with one copy on each rank would pay if it made the
// placements even.
func (c costs) canPay(s rebalance.Stage) bool {
	even := rebalance.Stage{PerRank: s.PerRank + 1, Skew: 1, SeenSkew: min(1, s.SeenSkew)}
	return c.saves(s, c.total(even)+c.lost(s, even, 1))
}

// saves reports whether a total time of passes is so much less than that without a
// change that a change is justified.
func (c costs) saves(first rebalance.Stage, total float64) bool {
	return c.total(first)-total >= minSaving/c.load*c.lifetime.Seconds()
}

// chooseStep returns the index of the stage that the next step is to reach, or 0 if
// none pays. A sequence of steps passes through some of the stages and ends at one of
// them; during each step, passes are as long as at the stage before it. Of all
// sequences, the one with the least total time of passes over the lifetime is chosen,
// and its first step is returned. Later steps are decided again when they are due.
func (c costs) chooseStep(stages []rebalance.Stage) int {
	best, next := 0, 0
	bestTotal := math.Inf(1)
	for final := range stages {
		first, lost := c.shortestPath(stages, final)
		total := c.total(stages[final]) + lost
		if total < bestTotal {
			best, next, bestTotal = final, first, total
		}
	}
	if best == 0 || !c.saves(stages[0], bestTotal) {
		return 0
	}
	return next
}

// isSettled reports whether the last stages change nothing in the choice of the first
// step, so that later ones hardly would.
func (c costs) isSettled(stages []rebalance.Stage) bool {
	n := len(stages) - unchangedStages
	if n < 2 {
		return false
	}
	first := c.chooseStep(stages[:n])
	return first > 0 && first == c.chooseStep(stages)
}

// shortestPath returns the first stage of the sequence of steps to the stage final
// that loses the least time, and the time lost.
func (c costs) shortestPath(stages []rebalance.Stage, final int) (first int, lost float64) {
	least := make([]float64, final+1)
	firsts := make([]int, final+1)
	for to := 1; to <= final; to++ {
		least[to] = math.Inf(1)
		for from := range to {
			total := least[from] + c.lost(stages[from], stages[to], stages[final].Skew)
			if total >= least[to] {
				continue
			}
			least[to], firsts[to] = total, firsts[from]
			if from == 0 {
				firsts[to] = to
			}
		}
	}
	return firsts[final], least[final]
}

// improveStep plans the next step of a change, or returns nil if none pays.
func (p *popularity) improveStep(spec catalog.Experts, current Map, c costs) *plan {
	if len(current) != spec.Sets || len(p.sets) != spec.Sets {
		return nil
	}
	layers := make([]rebalance.Layer, spec.Sets)
	for set := range layers {
		layers[set] = rebalance.Layer{Placement: current[set], Shares: p.sets[set].Shares(), Seen: p.seen.shares(set)}
		if layers[set].Shares == nil {
			return nil
		}
	}
	limits := rebalance.Limits{
		Increment: int(c.orderTime / (stagesPerOrder * c.copyTime)), Slots: spec.MaxExpertsPerRank, MaxPerRank: spec.MaxNewExperts, MinGain: minCopyGain / c.load, TargetSkew: targetSkew,
		SeenWeight: seenTime.Seconds() / c.lifetime.Seconds(),
	}
	var stages []rebalance.Stage
	result := rebalance.ImproveTogether(layers, limits, func(s rebalance.Stage) bool {
		stages = append(stages, s)
		return c.canPay(s) && !c.isSettled(stages)
	})
	index := c.chooseStep(result.Stages)
	if index == 0 {
		return nil
	}
	chosen := result.Stages[index]
	out := &plan{
		improved: make(Map, spec.Sets), before: result.Stages[0].Skew, after: chosen.Skew,
		copies: chosen.Weights, perRank: chosen.PerRank, expected: c.stepTime(chosen.PerRank), lifetime: c.lifetime,
	}
	for set, placement := range result.Placements(chosen) {
		out.improved[set] = placement
	}
	return out
}

// hasCosts reports whether the catalog gives what the decision on a step needs.
func hasCosts(spec catalog.Experts) bool { return spec.CopyTime() > 0 && spec.ExpertShare > 0 }
