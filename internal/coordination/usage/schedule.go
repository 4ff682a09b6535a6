package usage

import "time"

//go:generate go tool stringer -type=Outcome -linecomment -output=usage_string.go

// Outcome is how an attempt to report a window ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Accepted: the platform has answered that it has the report.
	Accepted Outcome = iota // accepted
	// Refused: the platform has answered that it does not take the report now.
	Refused // refused
	// NotSent: nothing was written.
	NotSent // not_sent
	// Unsure: the report was written in part at least, and there was no answer.
	Unsure // unsure
)

// Pauses between attempts.
const (
	// minPause and maxPause bound the pause after an attempt for the same window. It
	// doubles with each attempt, so that a window has at most some ten.
	minPause = 250 * time.Millisecond
	maxPause = 2 * time.Second
	// rateShare is the part of the rate of the platform's interface that reports use.
	// The interface serves other processes and duties too.
	rateShare = 0.25
	// maxAttemptPause bounds the pause between two attempts of any window that
	// results from the rate.
	maxAttemptPause = time.Second
)

// Schedule says which window is reported next. It is not safe for concurrent use. Use
// NewSchedule.
type Schedule struct {
	windows  Windows
	pause    time.Duration // between two attempts of any window
	next     time.Time     // earliest time of the next attempt
	attempts map[uint64]*attempts
}

// attempts are those of one window.
type attempts struct {
	pause  time.Duration
	next   time.Time
	unsure bool
}

// NewSchedule returns a Schedule for an interface that accepts a number of calls per
// second.
func NewSchedule(windows Windows, callsPerSecond float64) *Schedule {
	pause := maxAttemptPause
	if callsPerSecond > 0 {
		pause = min(pause, time.Duration(float64(time.Second)/(rateShare*callsPerSecond)))
	}
	return &Schedule{windows: windows, pause: pause, attempts: map[uint64]*attempts{}}
}

// Next returns the newest of the closed windows that may be attempted now. Windows
// that are not listed are forgotten.
func (s *Schedule) Next(now time.Time, closed []uint64) (window uint64, ok bool) {
	listed := make(map[uint64]bool, len(closed))
	for _, w := range closed {
		listed[w] = true
	}
	for w := range s.attempts {
		if !listed[w] {
			delete(s.attempts, w)
		}
	}
	if s.isBefore(now, s.next) {
		return 0, false
	}
	for _, w := range closed {
		if a := s.attempts[w]; a != nil && s.isBefore(now, a.next) || !now.Before(s.windows.Due(w)) {
			continue
		}
		if !ok || w > window {
			window, ok = w, true
		}
	}
	return window, ok
}

// isBefore reports whether now is before a time at most maxPause ahead. A time that
// is further ahead was set before the clock was corrected.
func (s *Schedule) isBefore(now, next time.Time) bool {
	return now.Before(next) && next.Sub(now) <= maxPause
}

// Record records the end of an attempt, and reports whether a window has become one
// whose report may have been accepted without an answer.
func (s *Schedule) Record(now time.Time, window uint64, outcome Outcome) (newlyUnsure bool) {
	a := s.attempts[window]
	if a == nil {
		a = &attempts{pause: minPause}
		s.attempts[window] = a
	}
	a.next, a.pause = now.Add(a.pause), min(maxPause, 2*a.pause)
	s.next = now.Add(s.pause)
	newlyUnsure = outcome == Unsure && !a.unsure
	a.unsure = a.unsure || outcome == Unsure
	return newlyUnsure
}
