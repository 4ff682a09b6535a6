package rebalance

import "math"

// Limits restricts the moves of [ImproveTogether].
type Limits struct {
	// Slots is the number of experts of one placement that fit on a rank, and
	// MaxPerRank the number of new ones of one placement that a rank may load.
	Slots, MaxPerRank int
	// Increment is the least difference, in new experts per rank, between two stages;
	// 0 means 1.
	Increment int
	// MinGain is the least decrease of a placement's busy load per expert loaded
	// for which a move is made.
	MinGain float64
	// TargetSkew is the skew down to which a placement is improved.
	TargetSkew float64
	// SeenWeight is the weight, together, of popularities seen earlier, relative to
	// the present one.
	SeenWeight float64
}

// Layer is one placement with the shares of its experts: the present ones, and those
// seen earlier that may return.
type Layer struct {
	Placement Placement
	Shares    []float64
	Seen      [][]float64
}

// Stage is the state of [ImproveTogether] once no more moves are possible with
// PerRank new experts on each rank.
type Stage struct {
	// PerRank is the greatest number of new experts, over all placements, on any
	// rank.
	PerRank int
	// Weights is the number of experts loaded on all ranks.
	Weights int
	// Skew is the mean skew of the placements for the present shares, and SeenSkew
	// that for the shares seen earlier, or 0 if there are none.
	Skew, SeenSkew float64
	// moves is the number of moves of each placement.
	moves []int
}

// Together is the result of [ImproveTogether].
type Together struct {
	// Stages begins with the placements in use. PerRank and Weights increase.
	Stages []Stage
	layers []Layer
	moves  [][]Move
}

// Placements returns the placements of a stage.
func (t Together) Placements(stage Stage) []Placement {
	out := make([]Placement, len(t.layers))
	for i, l := range t.layers {
		out[i] = l.Placement.Apply(t.moves[i][:stage.moves[i]])
	}
	return out
}

// ImproveTogether searches for moves in the placements of several layers on the same
// ranks, whose loads of weights share one link per rank. The limit on new experts per
// rank, over all placements, increases stage by stage; within a stage, the placement
// whose busy load decreases most per expert loaded is next. The search ends with the
// first stage that proceed rejects, or once no limit allows another move.
func ImproveTogether(layers []Layer, limits Limits, proceed func(Stage) bool) Together {
	t := Together{layers: layers, moves: make([][]Move, len(layers))}
	if len(layers) == 0 {
		return t
	}
	link := &sharedLink{used: make([]int, len(layers[0].Placement))}
	searches := make([]*jointSearch, len(layers))
	for i, l := range layers {
		searches[i] = newJointSearch(l, limits, link)
	}
	stage := t.stage(searches, link)
	t.Stages = append(t.Stages, stage)
	maxPerRank := limits.MaxPerRank * len(layers)
	for proceed(stage) && link.limit < maxPerRank {
		link.limit = limits.next(link.limit)
		for _, s := range searches {
			s.isCurrent = false
		}
		for {
			i := bestSearch(searches, limits)
			if i < 0 {
				break
			}
			t.moves[i] = append(t.moves[i], searches[i].move)
			searches[i].applyMove()
		}
		next := t.stage(searches, link)
		if next.Weights == stage.Weights {
			if link.limit > 2 { // a swap may need two places on a rank
				break
			}
			continue
		}
		stage = next
		t.Stages = append(t.Stages, stage)
	}
	return t
}

// next returns the limit of the next stage. Limits are at least a quarter apart: each
// stage costs a search for moves in every placement.
func (l Limits) next(limit int) int { return limit + max(1, l.Increment, limit/4) }

func (t Together) stage(searches []*jointSearch, link *sharedLink) Stage {
	s := Stage{moves: make([]int, len(searches))}
	for i, c := range searches {
		s.moves[i] = len(t.moves[i])
		present, seen := c.skews()
		s.Skew += present / float64(len(searches))
		s.SeenSkew += seen / float64(len(searches))
	}
	for _, n := range link.used {
		s.PerRank = max(s.PerRank, n)
		s.Weights += n
	}
	return s
}

// sharedLink counts the new experts of all placements on each rank.
type sharedLink struct {
	used  []int
	limit int
}

// bestSearch returns the index of the placement whose next move gains most, or -1.
func bestSearch(searches []*jointSearch, limits Limits) int {
	for {
		best := -1
		for i, s := range searches {
			if !s.isCurrent {
				s.findMove(limits)
			}
			if s.gain > 0 && (best < 0 || s.gain > searches[best].gain) {
				best = i
			}
		}
		if best < 0 || searches[best].mayLoad(searches[best].move) {
			return best
		}
		// Moves of other placements have used up the limit of a rank.
		searches[best].isCurrent = false
	}
}

// busyLoad returns the eighth root of a sum of eighth powers, which is close to the
// greatest load if few ranks are busy and, unlike it, also decreases when one of
// several busy ranks is relieved.
func busyLoad(eighthPowers float64) float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(max(0, eighthPowers))))
}
