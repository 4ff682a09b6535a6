package rebalance

import "slices"

// Move is one change of a placement: Rank gets Expert in place of Dropped. In a
// swap, SwapRank gets Dropped in place of Expert.
type Move struct {
	Rank     int
	Expert   int
	Dropped  int // empty if a free slot is used
	SwapRank int // noRank unless it is a swap
}

const (
	empty  = -1
	noRank = -1
	// ranksTried is the number of busiest ranks whose moves are tried, in order,
	// until a move lowers the potential.
	ranksTried = 3
	// granularityWeight is the weight of the sum of the squared shares over the
	// replicas in the potential. With many small replicas, the load of a rank
	// changes little when the popularity of single experts changes, so that the
	// next drift needs fewer moves; see docs/decisions/rebalancing.md.
	granularityWeight = 16
	// minGain is the least decrease of the potential per weight for which a move
	// is made.
	minGain = 1e-9
)

// Weights returns the number of experts whose weights a move loads.
func (m Move) Weights() int {
	if m.SwapRank != noRank {
		return 2
	}
	return 1
}

// Point is the state of a search after its first moves: their number, the number
// of experts whose weights they load, and the skew.
type Point struct {
	Moves   int
	Weights int
	Skew    float64
}

// Improve searches for moves that make a placement more even, until the skew is
// at most target, maxWeights are loaded, or no move lowers the potential. It
// returns the moves and the points after 0, 1, 2, ... moves.
//
// Each round makes, of all moves that concern the busiest rank, the one that
// lowers the potential most per weight loaded. The potential is the sum of the
// eighth powers of the loads, plus the weighted sum of the squared shares over the
// replicas. The greatest load itself is a worse measure: most single moves do not
// change it.
func Improve(p Placement, shares []float64, slots, maxWeights int, target float64) ([]Move, []Point) {
	return ImproveWithRankLimit(p, shares, slots, maxWeights, slots, target)
}

// ImproveWithRankLimit is Improve with the limit that no rank loads more than
// maxPerRank experts that it does not hold in p.
func ImproveWithRankLimit(p Placement, shares []float64, slots, maxWeights, maxPerRank int, target float64) ([]Move, []Point) {
	s := newSearch(p, shares, slots)
	s.maxPerRank = maxPerRank
	points := []Point{{Skew: s.skew()}}
	var moves []Move
	weights := 0
	for points[len(points)-1].Skew > target && weights < maxWeights {
		m, ok := s.best(maxWeights - weights)
		if !ok {
			break
		}
		s.apply(m)
		moves = append(moves, m)
		weights += m.Weights()
		points = append(points, Point{Moves: len(moves), Weights: weights, Skew: s.skew()})
	}
	return moves, points
}

// Apply returns the placement after moves.
func (p Placement) Apply(moves []Move) Placement {
	next := p.Clone()
	for _, m := range moves {
		next.replace(m.Rank, m.Dropped, m.Expert)
		if m.SwapRank != noRank {
			next.replace(m.SwapRank, m.Expert, m.Dropped)
		}
	}
	return next
}

func (p Placement) replace(rank, old, expert int) {
	if old == empty {
		p[rank] = append(p[rank], expert)
		return
	}
	p[rank][slices.Index(p[rank], old)] = expert
}

// search holds a placement with the loads of its ranks, scaled to a mean of 1.
type search struct {
	slots int
	// hadAtStart marks the experts that each rank held at the beginning (rank,
	// expert). newExperts counts, for each rank, those in placement that it did
	// not hold then, at most maxPerRank.
	hadAtStart   [][]bool
	newExperts   []int
	maxPerRank   int
	link         *sharedLink // nil if only maxPerRank limits what ranks load
	share        []float64   // times the number of ranks
	placement    Placement
	ranksOf      [][]int  // ranks of each expert
	hasExpert    [][]bool // rank, expert
	load         []float64
	order        []int // ranks, busiest first
	delta        []float64
	changed      []bool
	changedRanks []int
}

func newSearch(p Placement, shares []float64, slots int) *search {
	s := &search{
		slots: slots, placement: p.Clone(), load: p.Loads(shares), share: make([]float64, len(shares)),
		ranksOf: make([][]int, len(shares)), hasExpert: make([][]bool, len(p)), order: make([]int, len(p)),
		hadAtStart: make([][]bool, len(p)), newExperts: make([]int, len(p)), maxPerRank: slots,
		delta: make([]float64, len(p)), changed: make([]bool, len(p)), changedRanks: make([]int, 0, len(p)),
	}
	for e := range shares {
		s.share[e] = shares[e] * float64(len(p))
	}
	for r := range p {
		s.order[r] = r
		s.hasExpert[r] = make([]bool, len(shares))
		s.hadAtStart[r] = make([]bool, len(shares))
		for _, e := range p[r] {
			s.ranksOf[e] = append(s.ranksOf[e], r)
			s.hasExpert[r][e] = true
			s.hadAtStart[r][e] = true
		}
	}
	return s
}

func (s *search) skew() float64 { return slices.Max(s.load) }

func (s *search) replicaLoad(e int) float64 { return s.share[e] / float64(len(s.ranksOf[e])) }

// sortRanks puts the ranks in order, busiest first.
func (s *search) sortRanks() {
	slices.SortStableFunc(s.order, func(a, b int) int {
		switch {
		case s.load[a] > s.load[b]:
			return -1
		case s.load[a] < s.load[b]:
			return 1
		}
		return a - b
	})
}

// best returns the best move that loads at most limit weights.
func (s *search) best(limit int) (Move, bool) {
	s.sortRanks()
	var best Move
	bestGain := minGain
	try := func(m Move) {
		if !s.mayLoad(m) {
			return
		}
		if gain := -s.potentialChange(m) / float64(m.Weights()); gain > bestGain {
			best, bestGain = m, gain
		}
	}
	for _, busy := range s.order[:min(ranksTried, len(s.order))] {
		s.tryReplicas(busy, try)
		if limit >= 2 {
			s.trySwaps(busy, try)
		}
		if bestGain > minGain {
			return best, true
		}
	}
	return Move{}, false
}

// mayLoad reports whether the ranks of a move may load the experts that it
// gives them.
func (s *search) mayLoad(m Move) bool {
	if !s.hadAtStart[m.Rank][m.Expert] && !s.hasRoom(m.Rank) {
		return false
	}
	return m.SwapRank == noRank || s.hadAtStart[m.SwapRank][m.Dropped] || s.hasRoom(m.SwapRank)
}

// hasRoom reports whether a rank may load another expert.
func (s *search) hasRoom(rank int) bool {
	return s.newExperts[rank] < s.maxPerRank && (s.link == nil || s.link.used[rank] < s.link.limit)
}

// isLinkFull reports whether a rank may load no more experts over a shared link.
func (s *search) isLinkFull(rank int) bool { return s.link != nil && !s.hasRoom(rank) }

// tryReplicas tries replicas of the experts of a busy rank on other ranks, and
// experts with less load in place of its own.
func (s *search) tryReplicas(busy int, try func(Move)) {
	for _, e := range s.placement[busy] {
		for r := range s.placement {
			// Over a shared link, places on ranks with less than the mean load are
			// tried only: others rarely gain most, and a plan must not take long.
			if s.hasExpert[r][e] || s.isLinkFull(r) || (s.link != nil && s.load[r] >= 1) {
				continue
			}
			if len(s.placement[r]) < s.slots {
				try(Move{Rank: r, Expert: e, Dropped: empty, SwapRank: noRank})
			}
			for _, x := range s.placement[r] {
				if len(s.ranksOf[x]) > 1 {
					try(Move{Rank: r, Expert: e, Dropped: x, SwapRank: noRank})
				}
			}
		}
		if len(s.ranksOf[e]) < 2 || s.isLinkFull(busy) {
			continue
		}
		for x := range s.share {
			if !s.hasExpert[busy][x] && s.share[x]/float64(len(s.ranksOf[x])+1) < s.replicaLoad(e) {
				try(Move{Rank: busy, Expert: x, Dropped: e, SwapRank: noRank})
			}
		}
	}
}

// trySwaps tries to exchange an expert of a busy rank for one with less load.
func (s *search) trySwaps(busy int, try func(Move)) {
	if s.isLinkFull(busy) {
		return
	}
	for _, e := range s.placement[busy] {
		for r := range s.placement {
			if s.hasExpert[r][e] || s.load[r] >= s.load[busy] || s.isLinkFull(r) {
				continue
			}
			for _, x := range s.placement[r] {
				if !s.hasExpert[busy][x] && s.replicaLoad(x) < s.replicaLoad(e) {
					try(Move{Rank: busy, Expert: x, Dropped: e, SwapRank: r})
				}
			}
		}
	}
}

// potentialChange returns the change of the potential by a move.
func (s *search) potentialChange(m Move) float64 {
	s.collectDeltas(m)
	sum := 0.0
	for _, r := range s.changedRanks {
		sum += eighthPower(s.load[r]+s.delta[r]) - eighthPower(s.load[r])
	}
	s.clear()
	return sum + granularityWeight*s.granularityChange(m)
}

// granularityChange returns the change, by a move, of the sum over all experts of
// the squared share divided by the number of replicas.
func (s *search) granularityChange(m Move) float64 {
	if m.SwapRank != noRank {
		return 0
	}
	n := float64(len(s.ranksOf[m.Expert]))
	sum := s.share[m.Expert] * s.share[m.Expert] * (1/(n+1) - 1/n)
	if m.Dropped != empty {
		k := float64(len(s.ranksOf[m.Dropped]))
		sum += s.share[m.Dropped] * s.share[m.Dropped] * (1/(k-1) - 1/k)
	}
	return sum
}

// collectDeltas adds the change of load of each rank by a move to delta.
func (s *search) collectDeltas(m Move) {
	if m.SwapRank != noRank {
		d := s.replicaLoad(m.Expert) - s.replicaLoad(m.Dropped)
		s.addDelta(m.Rank, d)
		s.addDelta(m.SwapRank, -d)
		return
	}
	n := float64(len(s.ranksOf[m.Expert]))
	replicaShare := s.share[m.Expert] / (n + 1)
	for _, r := range s.ranksOf[m.Expert] {
		s.addDelta(r, replicaShare-s.share[m.Expert]/n)
	}
	s.addDelta(m.Rank, replicaShare)
	if m.Dropped == empty {
		return
	}
	k := float64(len(s.ranksOf[m.Dropped]))
	for _, r := range s.ranksOf[m.Dropped] {
		s.addDelta(r, s.share[m.Dropped]/(k-1)-s.share[m.Dropped]/k)
	}
	s.addDelta(m.Rank, -s.share[m.Dropped]/(k-1))
}

func (s *search) addDelta(rank int, change float64) {
	if !s.changed[rank] {
		s.changed[rank] = true
		s.changedRanks = append(s.changedRanks, rank)
	}
	s.delta[rank] += change
}

func (s *search) clear() {
	for _, r := range s.changedRanks {
		s.changed[r], s.delta[r] = false, 0
	}
	s.changedRanks = s.changedRanks[:0]
}

func (s *search) apply(m Move) {
	s.collectDeltas(m)
	for _, r := range s.changedRanks {
		s.load[r] += s.delta[r]
	}
	s.clear()
	s.replaceExperts(m)
}

// replaceExperts updates the placement by a move.
func (s *search) replaceExperts(m Move) {
	s.replaceExpert(m.Rank, m.Dropped, m.Expert)
	if m.SwapRank != noRank {
		s.replaceExpert(m.SwapRank, m.Expert, m.Dropped)
	}
}

func (s *search) replaceExpert(rank, old, expert int) {
	s.placement.replace(rank, old, expert)
	if !s.hadAtStart[rank][expert] {
		s.countNew(rank, 1)
	}
	s.hasExpert[rank][expert] = true
	s.ranksOf[expert] = append(s.ranksOf[expert], rank)
	if old != empty {
		if !s.hadAtStart[rank][old] {
			s.countNew(rank, -1)
		}
		s.hasExpert[rank][old] = false
		i := slices.Index(s.ranksOf[old], rank)
		s.ranksOf[old] = slices.Delete(s.ranksOf[old], i, i+1)
	}
}

func (s *search) countNew(rank, change int) {
	s.newExperts[rank] += change
	if s.link != nil {
		s.link.used[rank] += change
	}
}

func eighthPower(load float64) float64 {
	l2 := load * load
	l4 := l2 * l2
	return l4 * l4
}
