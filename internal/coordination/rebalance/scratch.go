package rebalance

import (
	"cmp"
	"slices"
)

// FromScratch makes a placement from popularity alone. It gives each spare slot
// to the expert with the greatest load per replica, and then puts the replicas,
// greatest load first, on the rank with the least load that has a free slot. Nil
// shares mean equal popularity.
func FromScratch(shares []float64, experts, ranks, slots int) Placement {
	if shares == nil {
		shares = make([]float64, experts)
		for e := range shares {
			shares[e] = 1 / float64(experts)
		}
	}
	n := replicate(shares, ranks, slots)
	order := make([]int, experts)
	for e := range order {
		order[e] = e
	}
	replicaLoad := func(e int) float64 { return shares[e] / float64(n[e]) }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(replicaLoad(b), replicaLoad(a)), cmp.Compare(a, b))
	})
	p := make(Placement, ranks)
	load := make([]float64, ranks)
	for _, e := range order {
		placed := 0
		for range n[e] {
			r := leastLoadedRank(p, load, slots, e)
			if r < 0 {
				break
			}
			p[r] = append(p[r], e)
			load[r] += replicaLoad(e)
			placed++
		}
		if placed == 0 {
			replaceReplica(p, n, slots, e)
		}
	}
	return p
}

// replicate returns the number of replicas of each expert, at most one per rank.
func replicate(shares []float64, ranks, slots int) []int {
	n := make([]int, len(shares))
	for e := range n {
		n[e] = 1
	}
	for range ranks*slots - len(shares) {
		best := -1
		for e := range n {
			if n[e] < ranks && (best < 0 || shares[e]/float64(n[e]) > shares[best]/float64(n[best])) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		n[best]++
	}
	return n
}

// leastLoadedRank returns the rank with the least load that has a free slot and
// does not hold the expert, or -1.
func leastLoadedRank(p Placement, load []float64, slots, expert int) int {
	best := -1
	for r := range p {
		if len(p[r]) < slots && (best < 0 || load[r] < load[best]) && !slices.Contains(p[r], expert) {
			best = r
		}
	}
	return best
}

// replaceReplica puts an expert without a replica in a free slot, or in place of
// a replica of an expert that has another one.
func replaceReplica(p Placement, n []int, slots, expert int) {
	have := p.Replicas(len(n))
	for r := range p {
		if len(p[r]) < slots {
			p[r] = append(p[r], expert)
			return
		}
		for s, x := range p[r] {
			if have[x] > 1 {
				p[r][s] = expert
				return
			}
		}
	}
}
