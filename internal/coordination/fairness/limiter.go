/*
Package fairness selects the client account whose request is dispatched next, and
refuses requests at once that would wait too long.

# Concept

A request passes a [Limiter], which enforces the account's own limits, and then a
[Queue], which shares the capacity of the backend servers. The queue gives each
account a share in proportion to its weight (start-time fair queueing over the
requests' cost); within an account higher priorities go first. A request whose
expected wait ends after its deadline is refused on arrival, with the expected
wait as retry time. A [RetryBudget] limits the share of retries when many
attempts fail.

# Use

	if err := limiter.Acquire(now, account); err != nil { ... }
	defer limiter.Release(account)
	shed, err := queue.Push(now, &fairness.Item{Account: account, Cost: 700, Deadline: now.Add(wait)})
	...
	item := queue.Pop(now)

The types do no I/O: the clock is passed in. They are not safe for concurrent
use.
*/
package fairness

import (
	"time"

	"golang.org/x/time/rate"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Limit holds the limits of one account at one entry.
type Limit struct {
	// Weight is the account's weight in the queue; 0 means 1.
	Weight float64
	// PerSecond and Burst limit arrivals; 0 means no limit.
	PerSecond float64
	Burst     int
	// MaxConcurrent limits concurrent requests; 0 means no limit.
	MaxConcurrent int
}

// concurrentRetryAfter is the retry time for an account at its concurrency limit.
// It is a constant, since the end of the account's own requests decides when the
// next one is accepted.
const concurrentRetryAfter = 250 * time.Millisecond

// Limiter enforces the limits of all accounts. Accounts without a rate limit and
// without requests in flight use no memory beyond their Limit.
type Limiter struct {
	limits map[string]Limit
	states map[string]*accountState
}

type accountState struct {
	bucket   *rate.Limiter
	inFlight int
}

// NewLimiter returns a Limiter without accounts.
func NewLimiter() *Limiter {
	return &Limiter{limits: map[string]Limit{}, states: map[string]*accountState{}}
}

// SetLimits replaces all limits. Token buckets of accounts whose rate limit does
// not change keep their level, so that a new configuration allows no new burst.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	for name, s := range l.states {
		old, next := l.limits[name], limits[name]
		if old.PerSecond != next.PerSecond || old.Burst != next.Burst {
			s.bucket = nil
		}
		if s.inFlight == 0 && s.bucket == nil {
			delete(l.states, name)
		}
	}
	l.limits = limits
}

// Weight returns an account's weight.
func (l *Limiter) Weight(account string) float64 {
	if w := l.limits[account].Weight; w > 0 {
		return w
	}
	return 1
}

// Acquire counts an arrival, or refuses it with a RateLimited fault whose retry
// time is when the next arrival is accepted. Every successful Acquire must be
// followed by a Release.
func (l *Limiter) Acquire(now time.Time, account string) error {
	limit := l.limits[account]
	s := l.states[account]
	if s == nil {
		s = &accountState{}
		l.states[account] = s
	}
	if limit.MaxConcurrent > 0 && s.inFlight >= limit.MaxConcurrent {
		return fault.New(fault.RateLimited, "client account %q is at its concurrency limit with %d requests in flight", account, s.inFlight).
			WithRetryAfter(concurrentRetryAfter)
	}
	if wait := s.reserve(now, limit); wait > 0 {
		return fault.New(fault.RateLimited, "client account %q exceeds its limit of %g requests per second", account, limit.PerSecond).
			WithRetryAfter(wait)
	}
	s.inFlight++
	return nil
}

// reserve takes a token and returns 0, or returns the time until one is available.
func (s *accountState) reserve(now time.Time, limit Limit) time.Duration {
	if limit.PerSecond <= 0 {
		return 0
	}
	if s.bucket == nil {
		s.bucket = rate.NewLimiter(rate.Limit(limit.PerSecond), max(limit.Burst, 1))
	}
	reserved := s.bucket.ReserveN(now, 1)
	wait := reserved.DelayFrom(now)
	if wait > 0 {
		reserved.CancelAt(now)
		// Rounded up to a whole millisecond: the retry time is sent in
		// milliseconds and must not be too short.
		wait = (wait + time.Millisecond - 1).Truncate(time.Millisecond)
	}
	return wait
}

// Release records the end of a request.
func (l *Limiter) Release(account string) {
	s := l.states[account]
	if s == nil {
		return
	}
	s.inFlight--
	if s.inFlight == 0 && s.bucket == nil {
		delete(l.states, account)
	}
}

// InFlight returns the number of an account's requests in flight.
func (l *Limiter) InFlight(account string) int {
	if s := l.states[account]; s != nil {
		return s.inFlight
	}
	return 0
}
