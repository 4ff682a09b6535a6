package rebalance

import "slices"

// Move is one change of a placement: rank takes expert in place of dropped.
// In a swap, SwapRank takes dropped in place of expert.
type Move struct {
	Rank     int
	Expert   int
	Dropped  int // empty for a free slot
	SwapRank int // noRank unless it is a swap
}

const (
	empty  = -1
	noRank = -1
	// hottest is the number of busiest ranks whose moves are tried, in turn,
	// until one helps.
	hottest = 3
	// spread weighs how finely shares are divided into replicas. Many small
	// replicas keep a rank even when single experts change, so that the next
	// drift needs fewer moves; see docs/decisions/rebalancing.md.
	spread = 16
	// minGain ends the search when moves no longer lower the potential.
	minGain = 1e-9
)

// Weights returns the number of weights that a move loads.
func (m Move) Weights() int {
	if m.SwapRank != noRank {
		return 2
	}
	return 1
}

// Point is the state of a search after some moves.
type Point struct {
	Moves   int
	Weights int
	Skew    float64
}

// Improve looks for moves that make a placement more even, until the skew is at
// most target, maxWeights are moved, or no move helps. It returns the moves and
// the points after 0, 1, 2, ... moves.
//
// Each round takes, of all moves that concern the busiest rank, the one that
// lowers the potential most per weight: the sum of the eighth powers of the
// loads, and the sum of the squared shares over the replicas. The maximum itself
// is a worse guide: most single moves do not change it.
func Improve(p Placement, shares []float64, slots, maxWeights int, target float64) ([]Move, []Point) {
	return ImproveWithRankLimit(p, shares, slots, maxWeights, slots, target)
}

// ImproveWithRankLimit is Improve where no rank loads more than a number of experts
// that it does not carry in p.
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

// search holds a placement with its loads, in which the mean load is 1.
type search struct {
	slots int
	// had says which experts each rank carried at the beginning; loaded counts
	// those it did not, at most maxPerRank.
	had        [][]bool
	loaded     []int
	maxPerRank int
	share      []float64 // times the number of ranks
	at         Placement
	on         [][]int  // ranks of each expert
	has        [][]bool // rank, expert
	load       []float64
	order      []int // ranks, busiest first
	delta      []float64
	marked     []bool
	marks      []int
}

func newSearch(p Placement, shares []float64, slots int) *search {
	s := &search{
		slots: slots, at: p.Clone(), load: p.Loads(shares), share: make([]float64, len(shares)),
		on: make([][]int, len(shares)), has: make([][]bool, len(p)), order: make([]int, len(p)),
		had: make([][]bool, len(p)), loaded: make([]int, len(p)), maxPerRank: slots,
		delta: make([]float64, len(p)), marked: make([]bool, len(p)), marks: make([]int, 0, len(p)),
	}
	for e := range shares {
		s.share[e] = shares[e] * float64(len(p))
	}
	for r := range p {
		s.order[r] = r
		s.has[r] = make([]bool, len(shares))
		s.had[r] = make([]bool, len(shares))
		for _, e := range p[r] {
			s.on[e] = append(s.on[e], r)
			s.has[r][e] = true
			s.had[r][e] = true
		}
	}
	return s
}

func (s *search) skew() float64 { return slices.Max(s.load) }

func (s *search) unit(e int) float64 { return s.share[e] / float64(len(s.on[e])) }

// best returns the best move that loads at most limit weights.
func (s *search) best(limit int) (Move, bool) {
	slices.SortStableFunc(s.order, func(a, b int) int {
		switch {
		case s.load[a] > s.load[b]:
			return -1
		case s.load[a] < s.load[b]:
			return 1
		}
		return a - b
	})
	var best Move
	bestGain := minGain
	try := func(m Move) {
		if !s.mayLoad(m) {
			return
		}
		if gain := -s.change(m) / float64(m.Weights()); gain > bestGain {
			best, bestGain = m, gain
		}
	}
	for _, hot := range s.order[:min(hottest, len(s.order))] {
		s.relieve(hot, try)
		if limit >= 2 {
			s.swaps(hot, try)
		}
		if bestGain > minGain {
			return best, true
		}
	}
	return Move{}, false
}

// mayLoad says whether the ranks of a move may load the experts it brings.
func (s *search) mayLoad(m Move) bool {
	if !s.had[m.Rank][m.Expert] && s.loaded[m.Rank] >= s.maxPerRank {
		return false
	}
	return m.SwapRank == noRank || s.had[m.SwapRank][m.Dropped] || s.loaded[m.SwapRank] < s.maxPerRank
}

// relieve tries replicas of the experts of a hot rank on other ranks, and
// lighter experts in place of its own.
func (s *search) relieve(hot int, try func(Move)) {
	for _, e := range s.at[hot] {
		for r := range s.at {
			if s.has[r][e] {
				continue
			}
			if len(s.at[r]) < s.slots {
				try(Move{Rank: r, Expert: e, Dropped: empty, SwapRank: noRank})
			}
			for _, x := range s.at[r] {
				if len(s.on[x]) > 1 {
					try(Move{Rank: r, Expert: e, Dropped: x, SwapRank: noRank})
				}
			}
		}
		if len(s.on[e]) < 2 {
			continue
		}
		for x := range s.share {
			if !s.has[hot][x] && s.share[x]/float64(len(s.on[x])+1) < s.unit(e) {
				try(Move{Rank: hot, Expert: x, Dropped: e, SwapRank: noRank})
			}
		}
	}
}

// swaps tries exchanges of an expert of a hot rank for a lighter one.
func (s *search) swaps(hot int, try func(Move)) {
	for _, e := range s.at[hot] {
		for r := range s.at {
			if s.has[r][e] || s.load[r] >= s.load[hot] {
				continue
			}
			for _, x := range s.at[r] {
				if !s.has[hot][x] && s.unit(x) < s.unit(e) {
					try(Move{Rank: hot, Expert: x, Dropped: e, SwapRank: r})
				}
			}
		}
	}
}

// change returns by how much a move changes the potential.
func (s *search) change(m Move) float64 {
	s.effect(m)
	sum := 0.0
	for _, r := range s.marks {
		sum += power(s.load[r]+s.delta[r]) - power(s.load[r])
	}
	s.clear()
	return sum + spread*s.granularity(m)
}

// granularity returns by how much a move changes the sum of the squared shares
// over the replicas of each expert.
func (s *search) granularity(m Move) float64 {
	if m.SwapRank != noRank {
		return 0
	}
	n := float64(len(s.on[m.Expert]))
	sum := s.share[m.Expert] * s.share[m.Expert] * (1/(n+1) - 1/n)
	if m.Dropped != empty {
		k := float64(len(s.on[m.Dropped]))
		sum += s.share[m.Dropped] * s.share[m.Dropped] * (1/(k-1) - 1/k)
	}
	return sum
}

// effect collects the change of load of each rank in delta.
func (s *search) effect(m Move) {
	if m.SwapRank != noRank {
		d := s.unit(m.Expert) - s.unit(m.Dropped)
		s.mark(m.Rank, d)
		s.mark(m.SwapRank, -d)
		return
	}
	n := float64(len(s.on[m.Expert]))
	unit := s.share[m.Expert] / (n + 1)
	for _, r := range s.on[m.Expert] {
		s.mark(r, unit-s.share[m.Expert]/n)
	}
	s.mark(m.Rank, unit)
	if m.Dropped == empty {
		return
	}
	k := float64(len(s.on[m.Dropped]))
	for _, r := range s.on[m.Dropped] {
		s.mark(r, s.share[m.Dropped]/(k-1)-s.share[m.Dropped]/k)
	}
	s.mark(m.Rank, -s.share[m.Dropped]/(k-1))
}

func (s *search) mark(rank int, change float64) {
	if !s.marked[rank] {
		s.marked[rank] = true
		s.marks = append(s.marks, rank)
	}
	s.delta[rank] += change
}

func (s *search) clear() {
	for _, r := range s.marks {
		s.marked[r], s.delta[r] = false, 0
	}
	s.marks = s.marks[:0]
}

func (s *search) apply(m Move) {
	s.effect(m)
	for _, r := range s.marks {
		s.load[r] += s.delta[r]
	}
	s.clear()
	s.carry(m.Rank, m.Dropped, m.Expert)
	if m.SwapRank != noRank {
		s.carry(m.SwapRank, m.Expert, m.Dropped)
	}
}

func (s *search) carry(rank, old, expert int) {
	s.at.replace(rank, old, expert)
	if !s.had[rank][expert] {
		s.loaded[rank]++
	}
	s.has[rank][expert] = true
	s.on[expert] = append(s.on[expert], rank)
	if old != empty {
		if !s.had[rank][old] {
			s.loaded[rank]--
		}
		s.has[rank][old] = false
		i := slices.Index(s.on[old], rank)
		s.on[old] = slices.Delete(s.on[old], i, i+1)
	}
}

func power(load float64) float64 {
	l2 := load * load
	l4 := l2 * l2
	return l4 * l4
}
