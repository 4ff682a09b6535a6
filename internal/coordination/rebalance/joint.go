package rebalance

import (
	"math"
	"slices"
)

const (
	// comparedMoves is the number of moves that are best for one popularity and are
	// then compared for all popularities.
	comparedMoves = 8
)

// view is the popularity of the experts of a placement, with the loads of the ranks.
type view struct {
	weight float64
	share  []float64 // times the number of ranks
	load   []float64
	powers float64 // sum of the eighth powers of load
}

// jointSearch is the search for moves in one placement that takes part in
// [ImproveTogether]. The embedded search uses the share and the load of one view at a
// time.
type jointSearch struct {
	*search
	views     []view // the present popularity first
	move      Move
	gain      float64 // of move; 0 if there is none
	isCurrent bool
	compared  []ratedMove
}

// ratedMove is a move and its gain for one view.
type ratedMove struct {
	move Move
	gain float64
}

func newJointSearch(l Layer, limits Limits, link *sharedLink) *jointSearch {
	s := &jointSearch{search: newSearch(l.Placement, l.Shares, limits.Slots)}
	s.maxPerRank, s.link = limits.MaxPerRank, link
	s.views = append(s.views, view{weight: 1, share: s.share, load: s.load})
	for _, shares := range l.Seen {
		v := view{weight: limits.SeenWeight / float64(len(l.Seen)), load: l.Placement.Loads(shares), share: make([]float64, len(shares))}
		for e := range shares {
			v.share[e] = shares[e] * float64(len(l.Placement))
		}
		s.views = append(s.views, v)
	}
	for i := range s.views {
		s.views[i].sum()
	}
	return s
}

func (v *view) sum() {
	v.powers = 0
	for _, l := range v.load {
		v.powers += eighthPower(l)
	}
}

// use has the embedded search work on a view.
func (s *jointSearch) use(v *view) { s.share, s.load = v.share, v.load }

// skews returns the skew for the present popularity, and the mean skew for the earlier
// ones.
func (s *jointSearch) skews() (present, seen float64) {
	for i := range s.views[1:] {
		seen += slices.Max(s.views[i+1].load) / float64(len(s.views)-1)
	}
	return slices.Max(s.views[0].load), seen
}

// findMove finds the next move: the best one that relieves the busiest rank at the
// present popularity, or else at the earlier one for which the loads are most uneven.
func (s *jointSearch) findMove(limits Limits) {
	s.isCurrent, s.gain = true, 0
	if slices.Max(s.views[0].load) > limits.TargetSkew && s.tryView(&s.views[0], limits.MinGain) || limits.SeenWeight <= 0 {
		return
	}
	var worst *view
	for i := range s.views[1:] {
		if v := &s.views[i+1]; worst == nil || v.powers > worst.powers {
			worst = v
		}
	}
	if worst != nil && slices.Max(worst.load) > limits.TargetSkew {
		s.tryView(worst, limits.MinGain)
	}
}

// tryView looks for a move among those that relieve the busiest rank of a view. It
// reports whether one gains at least minGain over all views.
func (s *jointSearch) tryView(v *view, minGain float64) bool {
	s.use(v)
	defer s.use(&s.views[0])
	busy := 0
	for r, l := range s.load {
		if l > s.load[busy] {
			busy = r
		}
	}
	s.compared = s.compared[:0]
	s.tryReplicas(busy, s.compare)
	s.trySwaps(busy, s.compare)
	for _, c := range s.compared {
		if gain := s.totalGain(c.move); gain >= minGain && gain > s.gain {
			s.move, s.gain = c.move, gain
		}
	}
	return s.gain > 0
}

// compare keeps a move if it is among the best for the view in use.
func (s *jointSearch) compare(m Move) {
	if !s.mayLoad(m) {
		return
	}
	gain := -s.potentialChange(m) / float64(m.Weights())
	if gain <= 0 {
		return
	}
	if len(s.compared) == comparedMoves {
		if gain <= s.compared[comparedMoves-1].gain {
			return
		}
		s.compared = s.compared[:comparedMoves-1]
	}
	i := len(s.compared)
	for i > 0 && s.compared[i-1].gain < gain {
		i--
	}
	s.compared = slices.Insert(s.compared, i, ratedMove{move: m, gain: gain})
}

// totalGain returns the decrease of the busy loads of all views per expert loaded.
func (s *jointSearch) totalGain(m Move) float64 {
	gain := 0.0
	for i := range s.views {
		v := &s.views[i]
		if v.weight == 0 {
			continue
		}
		s.use(v)
		s.collectDeltas(m)
		after := v.powers
		for _, r := range s.changedRanks {
			after += eighthPower(v.load[r]+s.delta[r]) - eighthPower(v.load[r])
		}
		s.clear()
		gain += v.weight * (busyLoad(v.powers) - busyLoad(after))
	}
	if math.IsNaN(gain) {
		return 0
	}
	return gain / float64(m.Weights())
}

// applyMove makes the next move.
func (s *jointSearch) applyMove() {
	for i := range s.views {
		v := &s.views[i]
		s.use(v)
		s.collectDeltas(s.move)
		for _, r := range s.changedRanks {
			v.load[r] += s.delta[r]
		}
		s.clear()
		v.sum()
	}
	s.use(&s.views[0])
	s.replaceExperts(s.move)
	s.isCurrent = false
}
