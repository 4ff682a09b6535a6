/*
Package rebalance decides which experts each rank of an expert-parallel group
holds.

# Concept

The ranks of a group advance in lock-step, so the slowest rank determines the
time of a step. A rank's time grows with the tokens routed to its experts. The
replicas of an expert share its tokens evenly. The skew of a placement is the
load of the busiest rank divided by the mean; a skew of 1 is ideal.

Popularity drifts, so a placement that was even becomes uneven. A new placement
has costs: weights come from a rate-limited store, loading slows steps down, and
a group may hold at the switch step. A [Planner] therefore

  - averages popularity by exponential smoothing ([Popularity]),
  - plans nothing while the skew is at most Config.HighSkew, and above it
    improves the placement down to Config.LowSkew (hysteresis),
  - improves the placement in use by single moves instead of making a new one
    ([Improve]), within an allowance of bytes,
  - takes as many of the moves as give the greatest net gain, and proposes them
    only if the step time saved over the horizon exceeds the cost.

# Use

	p, err := rebalance.New(rebalance.DefaultConfig(ranks))
	for _, e := range p.Step(now, rebalance.Measured{Tokens: tokens, StepTime: d}) {
		switch e := e.(type) {
		case rebalance.Propose: // e.Placement.Ranks() goes to expertmap.Proposed
		case rebalance.Keep:    // count e.Reason
		}
	}

The planner makes no further proposal until [Settled] reports how the change
ended. A group with several layers has one planner for each layer;
[Placement.Ranks] numbers the experts of layer n from n times the number of
experts of a layer.
*/
package rebalance
