package pool

import (
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// maxReservations bounds the refused requests that are remembered for one service:
	// those of eight seconds in which an entry refuses 500 a second.
	maxReservations = 4096
	// returnTolerance is how long before its time a request still counts as returning
	// when told, and returnGrace how long after it.
	returnTolerance = 50 * time.Millisecond
	returnGrace     = time.Second
	// maxReturnShare is the part of a caller's remaining time within which it is told to
	// return. Callers wait for a third at most; the rest covers the way to the caller.
	maxReturnShare = 0.32
	// leastSpareShare is the least part of the throughput at which refused requests are
	// told to return: a burst passes.
	leastSpareShare = 0.2
	// returnHorizon is the time for which expected returns count as demand.
	returnHorizon = time.Second
)

// returnSchedule holds when the refused requests of one service are expected to come
// back. Callers resend on new connections, which reach any entry: this entry gets about
// as many resends as it has caused, but mostly those of others. The counts therefore
// tell the demand that is to come, while the reservations serve the few that come back
// to the same entry.
type returnSchedule struct {
	reservations map[string]reservation // by id of the request
	expected     map[int]map[int64]int  // by priority and time
	prunedAt     time.Time
}

// reservation is a promise to admit a request before newcomers of its priority.
type reservation struct {
	kind, account string
	due           time.Time
}

// isReturning reports whether a request comes when it was told to, and due is when that
// is if it comes too early.
func (s *returnSchedule) isReturning(now time.Time, r *Request) (returning bool, due time.Time) {
	told, ok := s.reservations[r.ID]
	if !ok || r.ID == "" || told.kind != r.Kind || told.account != r.ClientAccount {
		return false, time.Time{}
	}
	if now.Before(told.due.Add(-returnTolerance)) {
		return false, told.due
	}
	delete(s.reservations, r.ID)
	return !now.After(told.due.Add(returnGrace)), time.Time{}
}

// add records when a refused request is told to return.
func (s *returnSchedule) add(now, due time.Time, r *Request) {
	if s.expected == nil {
		s.expected, s.reservations = map[int]map[int64]int{}, map[string]reservation{}
	}
	buckets := s.expected[r.Priority]
	if buckets == nil {
		buckets = map[int64]int{}
		s.expected[r.Priority] = buckets
	}
	buckets[due.UnixNano()/int64(bucketLength)]++
	if len(s.reservations) >= maxReservations {
		s.prune(now)
	}
	if r.ID != "" && len(s.reservations) < maxReservations {
		s.reservations[r.ID] = reservation{kind: r.Kind, account: r.ClientAccount, due: due}
	}
}

// prune forgets the requests that have not come back in time. Looking for them takes
// long if most are still expected, so that it is done at most once in returnGrace.
func (s *returnSchedule) prune(now time.Time) {
	if now.Sub(s.prunedAt) < returnGrace {
		return
	}
	s.prunedAt = now
	for id, told := range s.reservations {
		if now.After(told.due.Add(returnGrace)) {
			delete(s.reservations, id)
		}
	}
}

// pending returns the number of requests up to a priority that are expected between now
// and a time after it, or at any later time if that is 0.
func (s *returnSchedule) pending(now time.Time, priority int, within time.Duration) int {
	first := now.UnixNano() / int64(bucketLength)
	last := now.Add(within).UnixNano() / int64(bucketLength)
	total := 0
	for p, buckets := range s.expected {
		if p > priority {
			continue
		}
		for bucket, n := range buckets {
			switch {
			case bucket < first:
				delete(buckets, bucket)
			case within == 0 || bucket <= last:
				total += n
			}
		}
	}
	return total
}

// returnAfter is the time after which there is expected to be room for a refused
// request: when the requests of at least its priority that wait or have been told to
// return have been served, at the rate that new ones of at least its priority leave
// free. Where that is later than its caller would wait, the time is spread over the
// second half of what the caller has.
func (p *Pool) returnAfter(now time.Time, svc *service, r *Request, least time.Duration) time.Duration {
	longest := p.longestReturn(now, r)
	if longest <= minRetryAfter {
		return minRetryAfter
	}
	after := longest
	if throughput := svc.throughput(p.entries); throughput > 0 {
		spare := max(leastSpareShare*throughput, throughput-svc.onTimeArrivals.rate(now, minPriority, r.Priority))
		waiting := 0
		for _, w := range svc.queue {
			if w != nil && w.Priority <= r.Priority && !w.displaced {
				waiting++
			}
		}
		after = least + seconds(float64(waiting)/throughput+float64(svc.returns.pending(now, r.Priority, 0)+1)/spare)
	}
	if after >= longest {
		after = longest/2 + time.Duration(p.cfg.Random.Int64N(int64(longest/2)))
	}
	return max(minRetryAfter, after)
}

// longestReturn is the longest time for which the caller of a request waits before it
// sends it again.
func (p *Pool) longestReturn(now time.Time, r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return maxRetryAfter
	}
	return time.Duration(maxReturnShare * float64(r.Deadline.Sub(now)))
}

// refuse returns a refusal with the figures that led to it, and expects the request to
// come back.
func (p *Pool) refuse(now time.Time, svc *service, r *Request, kind fault.Kind, reason Reason, expected time.Duration) Refuse {
	own, _ := svc.running()
	neverStarts := expected >= unservableWait
	if neverStarts {
		expected = 0
	}
	return Refuse{
		Kind: kind, Reason: reason, RetryAfter: p.promiseReturn(now, svc, r, 0),
		Waiting: len(svc.queue), Running: own, ExpectedWait: expected, NeverStarts: neverStarts,
	}
}

// refuseWithout completes a refusal for lack of a backend server, which would otherwise
// tell all callers the same time.
func (p *Pool) refuseWithout(now time.Time, svc *service, r *Request, refusal Refuse) Refuse {
	if refusal.Reason == NoServer || refusal.RetryAfter < p.longestReturn(now, r) {
		refusal.RetryAfter = p.promiseReturn(now, svc, r, refusal.RetryAfter)
	}
	return refusal
}

// Return says whether a request comes back after a refusal.
type Return uint8

// The returns.
const (
	Newcomer Return = iota // newcomer
	InTime                 // in_time
	TooEarly               // too_early
)

// Return returns whether the request came back to this entry after a refusal, once it
// was submitted. Most requests come back to another entry and count as newcomers.
func (r *Request) Return() Return {
	switch {
	case r.returning:
		return InTime
	case !r.due.IsZero():
		return TooEarly
	}
	return Newcomer
}

// promiseReturn returns after which time a refused request is expected, and records
// that. A request that comes back too early keeps its time.
func (p *Pool) promiseReturn(now time.Time, svc *service, r *Request, least time.Duration) time.Duration {
	if r.due.After(now) {
		return max(minRetryAfter, min(p.longestReturn(now, r), r.due.Sub(now)))
	}
	after := p.returnAfter(now, svc, r, least)
	if !r.IsRetry {
		svc.returns.add(now, now.Add(after), r)
	}
	return after
}
