package rebalance

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a stage that loses an expert, overfills a rank, loads more experts
// onto a rank than allowed for one placement, or reports another number of new experts
// or another skew than its placements have.
func TestImproveTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		experts := rapid.IntRange(1, 16).Draw(t, "experts")
		ranks := rapid.IntRange(1, 6).Draw(t, "ranks")
		least := (experts + ranks - 1) / ranks
		slots := rapid.IntRange(least, min(experts, least+2)).Draw(t, "slots")
		limits := Limits{Slots: slots, MaxPerRank: rapid.IntRange(1, 2).Draw(t, "per rank"), Increment: rapid.IntRange(0, 3).Draw(t, "increment"), MinGain: 0.001, TargetSkew: 1, SeenWeight: 0.5}
		var layers []Layer
		for range rapid.IntRange(0, 4).Draw(t, "layers") {
			l := Layer{Placement: FromScratch(drawShares(t, experts), experts, ranks, slots), Shares: drawShares(t, experts)}
			for range rapid.IntRange(0, 3).Draw(t, "seen") {
				l.Seen = append(l.Seen, drawShares(t, experts))
			}
			layers = append(layers, l)
		}
		result := ImproveTogether(layers, limits, func(Stage) bool { return true })
		for i, stage := range result.Stages {
			perRank, weights, skew := make([]int, ranks), 0, 0.0
			for j, next := range result.Placements(stage) {
				if !next.Valid(experts, slots) {
					t.Fatalf("stage %d: %v", i, next)
				}
				skew += next.Skew(layers[j].Shares) / float64(len(layers))
				for r := range next {
					n := Placement{layers[j].Placement[r]}.Moved(Placement{next[r]})
					if n > limits.MaxPerRank {
						t.Fatalf("stage %d: rank %d loads %d experts of placement %d", i, r, n, j)
					}
					perRank[r] += n
					weights += n
				}
			}
			most := 0
			for _, n := range perRank {
				most = max(most, n)
			}
			if most != stage.PerRank || weights != stage.Weights || math.Abs(skew-stage.Skew) > 1e-9 {
				t.Fatalf("stage %d: %d new experts on a rank, %d in all, skew %v, but the stage is %+v", i, most, weights, skew, stage)
			}
		}
	})
}

// Guards against copies for popularities seen earlier that make the loads at the
// present one more uneven, and against earlier popularities that count for nothing.
func TestSeenPopularity(t *testing.T) {
	layer := Layer{
		Placement: Placement{{0, 1, 6}, {2, 3, 7}, {4, 5, 0}, {6, 7, 1}},
		Shares:    []float64{0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125},
		Seen:      [][]float64{{0.05, 0.05, 0.3, 0.3, 0.1, 0.1, 0.05, 0.05}},
	}
	limits := Limits{Slots: 3, MaxPerRank: 2, MinGain: 0.01, TargetSkew: 1.05, SeenWeight: 0.5}
	result := ImproveTogether([]Layer{layer}, limits, func(Stage) bool { return true })
	first, last := result.Stages[0], result.Stages[len(result.Stages)-1]
	if last.SeenSkew >= first.SeenSkew {
		t.Errorf("the skew at the earlier popularity goes from %v to %v", first.SeenSkew, last.SeenSkew)
	}
	if gain, loss := limits.SeenWeight*(first.SeenSkew-last.SeenSkew), last.Skew-first.Skew; loss > gain {
		t.Errorf("the skew at the present popularity rises by %v for a gain of %v", loss, gain)
	}
}
