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
	minCopyGain = 0.005
	// minSaving is the least fraction of the time of passes over the remaining
	// lifetime of the popularity, at full load, for which a step is made.
	minSaving = 0.02
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

// canPay reports whether a step with one copy on each rank would pay if it made the
// placements even.
func (c costs) canPay(skew float64) bool {
	first, even := rebalance.Stage{Skew: skew}, rebalance.Stage{PerRank: 1, Skew: 1}
	return c.saving(first, c.lifetime.Seconds()*c.passTime(1)+c.lost(first, even, 1)) >= minSaving/c.load
}

// saving returns the fraction by which a total time of passes, in seconds, is less
// than that without a change.
func (c costs) saving(first rebalance.Stage, total float64) float64 {
	without := c.lifetime.Seconds() * c.passTime(first.Skew)
	if without <= 0 {
		return 0
	}
	return 1 - total/without
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
		total := c.lifetime.Seconds()*c.passTime(stages[final].Skew) + lost
		if total < bestTotal {
			best, next, bestTotal = final, first, total
		}
	}
	if best == 0 || c.saving(stages[0], bestTotal) < minSaving/c.load {
		return 0
	}
	return next
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
	placements, shares := make([]rebalance.Placement, spec.Sets), make([][]float64, spec.Sets)
	for set := range p.sets {
		placements[set], shares[set] = current[set], p.sets[set].Shares()
		if shares[set] == nil {
			return nil
		}
	}
	limits := rebalance.Limits{
		Slots: spec.MaxExpertsPerRank, MaxPerRank: spec.MaxNewExperts, MinGain: minCopyGain / c.load, TargetSkew: targetSkew,
	}
	result := rebalance.ImproveTogether(placements, shares, limits, func(s rebalance.Stage) bool {
		// Even without any copies of the following step, its orders take time.
		return c.canPay(s.Skew)
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
