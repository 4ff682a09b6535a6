package rebalance

import "math"

// Limits restricts the moves of [ImproveTogether].
type Limits struct {
	// Slots is the number of experts of one placement that fit on a rank, and
	// MaxPerRank the number of new ones of one placement that a rank may load.
	Slots, MaxPerRank int
	// MinGain is the least decrease of a placement's busy load per expert loaded
	// for which a move is made.
	MinGain float64
	// TargetSkew is the skew down to which a placement is improved.
	TargetSkew float64
}

// Stage is the state of [ImproveTogether] once no more moves are possible with
// PerRank new experts on each rank.
type Stage struct {
	// PerRank is the greatest number of new experts, over all placements, on any
	// rank.
	PerRank int
	// Weights is the number of experts loaded on all ranks.
	Weights int
	// Skew is the mean skew of the placements.
	Skew float64
	// moves is the number of moves of each placement.
	moves []int
}

// Together is the result of [ImproveTogether].
type Together struct {
	// Stages begins with the placements in use. PerRank and Weights increase.
	Stages     []Stage
	placements []Placement
	moves      [][]Move
}

// Placements returns the placements of a stage.
func (t Together) Placements(stage Stage) []Placement {
	out := make([]Placement, len(t.placements))
	for i, p := range t.placements {
		out[i] = p.Apply(t.moves[i][:stage.moves[i]])
	}
	return out
}

// ImproveTogether searches for moves in several placements on the same ranks, whose
// loads of weights share one link per rank. The limit on new experts per rank, over
// all placements, increases stage by stage; within a stage, the placement whose busy
// load decreases most per expert loaded is next. The search ends with the first stage
// that proceed rejects, or once no limit allows another move.
func ImproveTogether(placements []Placement, shares [][]float64, limits Limits, proceed func(Stage) bool) Together {
	t := Together{placements: placements, moves: make([][]Move, len(placements))}
	if len(placements) == 0 {
		return t
	}
	link := &sharedLink{used: make([]int, len(placements[0]))}
	searches := make([]*candidate, len(placements))
	for i, p := range placements {
		s := newSearch(p, shares[i], limits.Slots)
		s.maxPerRank, s.link = limits.MaxPerRank, link
		searches[i] = &candidate{search: s, skew: s.skew()}
	}
	stage := t.stage(searches, link)
	t.Stages = append(t.Stages, stage)
	for maxPerRank := limits.MaxPerRank * len(placements); proceed(stage) && link.limit < maxPerRank; {
		link.limit = nextLimit(link.limit)
		for _, c := range searches {
			c.isCurrent = false
		}
		for {
			i := bestCandidate(searches, limits)
			if i < 0 {
				break
			}
			c := searches[i]
			c.search.apply(c.move)
			c.skew, c.isCurrent = c.search.skew(), false
			t.moves[i] = append(t.moves[i], c.move)
		}
		next := t.stage(searches, link)
		if next.PerRank == stage.PerRank && next.Skew >= stage.Skew {
			if link.limit > stage.PerRank+1 {
				break // a higher limit allowed nothing more
			}
			continue
		}
		stage = next
		t.Stages = append(t.Stages, stage)
	}
	return t
}

// nextLimit returns the limit of the next stage. Above 4, limits are a quarter apart:
// each stage costs a search for moves in every placement.
func nextLimit(limit int) int { return limit + max(1, limit/4) }

// candidate is the search of one placement with its next move.
type candidate struct {
	*search
	skew      float64
	move      Move
	gain      float64 // 0 if there is no move
	isCurrent bool
}

// bestCandidate returns the index of the placement whose next move gains most, or -1.
func bestCandidate(searches []*candidate, limits Limits) int {
	for {
		best := -1
		for i, c := range searches {
			if !c.isCurrent {
				c.findMove(limits)
			}
			if c.gain > 0 && (best < 0 || c.gain > searches[best].gain) {
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

func (c *candidate) findMove(limits Limits) {
	c.isCurrent, c.gain = true, 0
	if c.skew <= limits.TargetSkew {
		return
	}
	move, ok := c.best(math.MaxInt)
	if !ok {
		return
	}
	before := 0.0
	for _, l := range c.load {
		before += eighthPower(l)
	}
	c.collectDeltas(move)
	after := before
	for _, r := range c.changedRanks {
		after += eighthPower(c.load[r]+c.delta[r]) - eighthPower(c.load[r])
	}
	c.clear()
	gain := (busyLoad(before) - busyLoad(after)) / float64(move.Weights())
	if gain >= limits.MinGain {
		c.move, c.gain = move, gain
	}
}

// busyLoad returns the eighth root, which is close to the greatest load if few ranks
// are busy and, unlike it, also decreases when one of several busy ranks is relieved.
func busyLoad(eighthPowers float64) float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(max(0, eighthPowers))))
}

func (t Together) stage(searches []*candidate, link *sharedLink) Stage {
	s := Stage{moves: make([]int, len(searches))}
	for i, c := range searches {
		s.moves[i] = len(t.moves[i])
		s.Skew += c.skew / float64(len(searches))
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
