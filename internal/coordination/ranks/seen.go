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
	// returnDistance is the ratio of the distance of a popularity from one seen earlier
	// to that from the one before it below which the earlier one has returned.
	returnDistance = 0.7
	// returnWeight is the weight of a shift in the share of shifts that bring an
	// earlier popularity back, and minReturnShare the share from which on popularities
	// seen earlier count in plans: one return in the last two shifts.
	returnWeight   = 0.25
	minReturnShare = 0.18
)

// seen remembers popularities between earlier shifts. Where callers return to the same
// topics, a later popularity resembles earlier ones. Where they do not, copies for
// earlier popularities are wasted, so that these count only while returns are seen. The
// zero value has seen none.
type seen struct {
	returnShare  float64       // share of shifts that brought an earlier popularity back
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
	s.observeReturn(ended)
	for i, other := range s.popularities {
		if len(other) != len(ended) || distance(other, ended) < noise {
			s.popularities = append(s.popularities[:i], s.popularities[i+1:]...)
			break
		}
	}
	s.popularities = append(s.popularities, ended)
	s.popularities = s.popularities[max(0, len(s.popularities)-maxSeen):]
}

// observeReturn records whether a popularity that has ended resembles one seen before
// the previous one.
func (s *seen) observeReturn(ended [][]float64) {
	if len(s.popularities) < 2 {
		return
	}
	last := len(s.popularities) - 1
	nearest := math.Inf(1)
	for _, other := range s.popularities[:last] {
		nearest = min(nearest, distance(other, ended))
	}
	returned := 0.0
	if nearest < returnDistance*distance(s.popularities[last], ended) {
		returned = 1
	}
	s.returnShare += returnWeight * (returned - s.returnShare)
}

// areUseful reports whether popularities seen earlier count in plans.
func (s *seen) areUseful() bool { return s.returnShare >= minReturnShare }

// shares returns the shares of the experts of a set in all popularities, or nil if they
// do not count.
func (s *seen) shares(set int) [][]float64 {
	if !s.areUseful() {
		return nil
	}
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
// there are none that count.
func (p *popularity) seenSkew(spec catalog.Experts, current Map) float64 {
	if !p.seen.areUseful() {
		return 0
	}
	skew := 0.0
	for _, shares := range p.seen.popularities {
		for set := range current {
			skew += rebalance.Placement(current[set]).Skew(shares[set]) / float64(spec.Sets*len(p.seen.popularities))
		}
	}
	return skew
}
