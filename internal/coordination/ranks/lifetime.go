package ranks

import (
	"time"
)

const (
	// defaultLifetime is how long a popularity is assumed to last before two shifts
	// have been seen.
	defaultLifetime = 5 * time.Second
	// maxIntervals is the number of latest intervals between shifts that are kept.
	maxIntervals = 12
	// minLifetime is the least remaining lifetime, and leastFraction the least one
	// as a fraction of the mean interval, also if no interval was as long as the
	// time since the last shift: a shift that was not noticed must not end changes
	// for good.
	minLifetime   = 500 * time.Millisecond
	leastFraction = 0.3
)

// shifts estimates from the shifts of popularity seen so far how long the present one
// lasts. The zero value has seen none.
type shifts struct {
	last      time.Time
	intervals []time.Duration
}

// observe records a shift.
func (s *shifts) observe(now time.Time) {
	if !s.last.IsZero() {
		s.intervals = append(s.intervals, now.Sub(s.last))
		s.intervals = s.intervals[max(0, len(s.intervals)-maxIntervals):]
	}
	s.last = now
}

// remaining returns the expected time until the next shift: the mean, over the
// intervals longer than the time since the last shift, of the rest of the interval.
func (s *shifts) remaining(now time.Time) time.Duration {
	if len(s.intervals) == 0 {
		return defaultLifetime
	}
	age := now.Sub(s.last)
	var sum, rest time.Duration
	longer := 0
	for _, i := range s.intervals {
		sum += i
		if i > age {
			rest += i - age
			longer++
		}
	}
	least := time.Duration(leastFraction * float64(sum) / float64(len(s.intervals)))
	if longer > 0 {
		rest /= time.Duration(longer)
	}
	return max(rest, least, minLifetime)
}
