package ranks

import (
	"math"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const (
	// maxSeen is the number of popularities that are kept, latest last.
	maxSeen = 10
	// minSeenCounts is the least number of measurements that make up a popularity.
	minSeenCounts = 4
)

// seen remembers popularities between earlier shifts. Callers return to the same
// topics, so that a later popularity resembles earlier ones. The zero value has seen
// none.
type seen struct {
	popularities [][][]float64 // latest last; set, expert
	counts       [][]uint64    // since the latest shift; set, expert
	measurements int
}

// observe adds a measurement. isShift says that the popularity has shifted; the
// measurement then covers both popularities and belongs to none. noise is the usual
// distance of a measurement from the average.
func (s *seen) observe(sums [][]uint64, isShift bool, noise float64) {
	if isShift {
		s.end(noise)
		return
	}
	if s.counts == nil {
		s.counts = make([][]uint64, len(sums))
		for set := range sums {
			s.counts[set] = make([]uint64, len(sums[set]))
		}
	}
	s.measurements++
	for set := range sums {
		for e, n := range sums[set] {
			s.counts[set][e] += n
		}
	}
}

// end adds the popularity that has ended, in place of one that does not differ.
func (s *seen) end(noise float64) {
	counts, measurements := s.counts, s.measurements
	s.counts, s.measurements = nil, 0
	if measurements < minSeenCounts {
		return
	}
	ended := make([][]float64, len(counts))
	for set := range counts {
		if ended[set] = fractions(counts[set]); ended[set] == nil {
			return
		}
	}
	for i, other := range s.popularities {
		if len(other) != len(ended) || distance(other, ended) < noise {
			s.popularities = append(s.popularities[:i], s.popularities[i+1:]...)
			break
		}
	}
	s.popularities = append(s.popularities, ended)
	s.popularities = s.popularities[max(0, len(s.popularities)-maxSeen):]
}

// shares returns the shares of the experts of a set in all popularities.
func (s *seen) shares(set int) [][]float64 {
	var out [][]float64
	for _, p := range s.popularities {
		out = append(out, p[set])
	}
	return out
}

// fractions returns the part of the total of each count, or nil without counts.
func fractions(counts []uint64) []float64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return nil
	}
	out := make([]float64, len(counts))
	for e, n := range counts {
		out[e] = float64(n) / float64(total)
	}
	return out
}

// distance returns the mean, over all sets, of half the sum of the differences between
// the shares of the experts.
func distance(a, b [][]float64) float64 {
	sum := 0.0
	for set := range a {
		for e := range a[set] {
			sum += math.Abs(a[set][e]-b[set][e]) / 2 / float64(len(a))
		}
	}
	return sum
}

// seenSkew returns the mean skew of a map over all sets and popularities seen, or 0 if
// there are none.
func (p *popularity) seenSkew(spec catalog.Experts, current Map) float64 {
	skew := 0.0
	for _, shares := range p.seen.popularities {
		for set := range current {
			skew += rebalance.Placement(current[set]).Skew(shares[set]) / float64(spec.Sets*len(p.seen.popularities))
		}
	}
	return skew
}
