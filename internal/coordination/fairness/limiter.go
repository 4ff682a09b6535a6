/*
Package fairness decides which client account's request goes next, and which
are refused at once because they would wait too long.

# Concept

A request passes a [Limiter], which holds the account's own limits, and then a
[Queue], which shares what the backend servers can take. The queue gives each
account the share of its weight (start-time fair queueing over the requests'
cost); within an account higher priorities go first. An arrival whose turn
would come too late is refused on arrival, with the time after which its turn
would come, instead of waiting in vain. A [RetryBudget] keeps retries a small part
of the work when much fails.

# Use

	if err := limiter.Acquire(now, account); err != nil { ... }
	defer limiter.Release(account)
	shed, err := queue.Push(now, &fairness.Item{Account: account, Cost: 700, Deadline: now.Add(wait)})
	...
	item := queue.Pop(now)

All types are pure: the clock is passed in. They are used by one goroutine at a
time.
*/
package fairness

import (
	"time"

	"golang.org/x/time/rate"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Limit holds what one account may do at one entry.
type Limit struct {
	// Weight is the account's share; 0 means 1.
	Weight float64
	// PerSecond and Burst limit arrivals; 0 means no limit.
	PerSecond float64
	Burst     int
	// MaxConcurrent limits requests at a time; 0 means no limit.
	MaxConcurrent int
}

// concurrentRetryAfter is the advice to an account at its concurrency limit:
// its own requests decide when the next one may come.
const concurrentRetryAfter = 250 * time.Millisecond

// Limiter holds the limits of all accounts. Accounts without a rate limit and
// without requests in flight take no memory beyond their Limit.
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

// SetLimits replaces all limits. Buckets of accounts whose limit stays keep
// their level, so that a new configuration is no new burst.
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

// Weight returns an account's share.
func (l *Limiter) Weight(account string) float64 {
	if w := l.limits[account].Weight; w > 0 {
		return w
	}
	return 1
}

// Acquire counts an arrival, or refuses it with a RateLimited fault that says
// when the next one is free. Every Acquire without an error is followed by a
// Release.
func (l *Limiter) Acquire(now time.Time, account string) error {
	limit := l.limits[account]
	s := l.states[account]
	if s == nil {
		s = &accountState{}
		l.states[account] = s
	}
	if limit.MaxConcurrent > 0 && s.inFlight >= limit.MaxConcurrent {
		return fault.New(fault.RateLimited, "client account %q has %d requests in flight, its limit", account, s.inFlight).
			WithRetryAfter(concurrentRetryAfter)
	}
	if wait := s.take(now, limit); wait > 0 {
		return fault.New(fault.RateLimited, "client account %q is over %g requests per second", account, limit.PerSecond).
			WithRetryAfter(wait)
	}
	s.inFlight++
	return nil
}

// take takes a token and returns 0, or the time until there is one.
func (s *accountState) take(now time.Time, limit Limit) time.Duration {
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
		// A whole millisecond: the advice is given in milliseconds and must
		// not be early.
		wait = (wait + time.Millisecond - 1).Truncate(time.Millisecond)
	}
	return wait
}

// Release counts the end of a request.
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

// InFlight returns the requests of an account that have entered.
func (l *Limiter) InFlight(account string) int {
	if s := l.states[account]; s != nil {
		return s.inFlight
	}
	return 0
}
