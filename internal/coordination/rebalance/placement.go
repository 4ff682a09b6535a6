package rebalance

import (
	"slices"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Placement lists the experts on each rank.
type Placement [][]int

// Clone returns a deep copy.
func (p Placement) Clone() Placement {
	c := make(Placement, len(p))
	for r := range p {
		c[r] = slices.Clone(p[r])
	}
	return c
}

// Replicas returns the number of replicas of each expert.
func (p Placement) Replicas(experts int) []int {
	n := make([]int, experts)
	for _, rank := range p {
		for _, e := range rank {
			n[e]++
		}
	}
	return n
}

// Loads returns the load of each rank, scaled to a mean of 1.
func (p Placement) Loads(shares []float64) []float64 {
	n := p.Replicas(len(shares))
	load := make([]float64, len(p))
	for r, rank := range p {
		for _, e := range rank {
			load[r] += shares[e] / float64(n[e]) * float64(len(p))
		}
	}
	return load
}

// Skew returns the load of the busiest rank divided by the mean.
func (p Placement) Skew(shares []float64) float64 { return slices.Max(p.Loads(shares)) }

// Moved returns the number of replicas in next that their rank does not hold in
// p, which is the number of experts whose weights must be loaded.
func (p Placement) Moved(next Placement) int {
	moved := 0
	for r, rank := range next {
		for _, e := range rank {
			if r >= len(p) || !slices.Contains(p[r], e) {
				moved++
			}
		}
	}
	return moved
}

// Valid reports whether each of the experts has a replica, no rank has two of one
// expert, and no rank has more than slots.
func (p Placement) Valid(experts, slots int) bool {
	for _, rank := range p {
		seen := map[int]bool{}
		for _, e := range rank {
			if e < 0 || e >= experts || seen[e] {
				return false
			}
			seen[e] = true
		}
		if len(rank) > slots {
			return false
		}
	}
	return !slices.Contains(p.Replicas(experts), 0)
}

// Ranks returns the placement in the form used in orders to ranks. The experts
// of a layer are numbered from layer times experts.
func (p Placement) Ranks(layer, experts int) []*peer.RankPlacement {
	out := make([]*peer.RankPlacement, 0, len(p))
	for r, rank := range p {
		rp := &peer.RankPlacement{Rank: uint32(r)}
		for _, e := range rank {
			rp.Experts = append(rp.Experts, uint32(layer*experts+e))
		}
		slices.Sort(rp.Experts)
		out = append(out, rp)
	}
	return out
}
