package rebalance

// Popularity is the exponentially smoothed share of tokens of each expert. The
// zero value has no measurement.
type Popularity struct {
	// SmoothingFactor is the weight of a new measurement, in (0, 1].
	SmoothingFactor float64

	share []float64
}

// Observe adds a measurement: the tokens routed to each expert since the last
// call. An interval without tokens changes nothing.
func (p *Popularity) Observe(tokens []uint64) {
	total := uint64(0)
	for _, n := range tokens {
		total += n
	}
	if total == 0 {
		return
	}
	first := p.share == nil
	if first {
		p.share = make([]float64, len(tokens))
	}
	for e, n := range tokens {
		measured := float64(n) / float64(total)
		if first {
			p.share[e] = measured
		} else {
			p.share[e] += p.SmoothingFactor * (measured - p.share[e])
		}
	}
}

// Shares returns the share of each expert; they add up to 1. It is nil before
// the first measurement. The caller must not change it.
func (p *Popularity) Shares() []float64 { return p.share }
