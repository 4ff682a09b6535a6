package pool

import (
	"cmp"
	"slices"
	"time"
)

// maxHoldShare is the part of the usual time at a backend server that must remain
// until the deadline of a request when it starts. Half of the mean leaves room for
// short answers.
const maxHoldShare = 0.5

// prepare sets the figures by which a request is ordered.
func (s *service) prepare(r *Request) {
	if r.prepared {
		return
	}
	r.prepared = true
	r.work = s.sizes.work(s.spec.Engine, r.Size)
	shares := s.sharesOf(r.Priority)
	r.tag = shares.virtual
	if !r.IsRetry {
		// The work of a retry has been charged when it was sent first.
		r.tag = shares.tag(r.ClientAccount)
	}
	r.latest = r.LatestStart
	if !r.Deadline.IsZero() {
		if last := s.lastUsefulStart(r); last.Before(r.latest) {
			r.latest = last
		}
	}
}

// lastUsefulStart is when work must begin for an answer before the deadline.
func (s *service) lastUsefulStart(r *Request) time.Time {
	return r.Deadline.Add(-time.Duration(maxHoldShare * r.work * float64(s.meanHeld)))
}

func (s *service) sharesOf(priority int) *accountShares {
	shares := s.shares[priority]
	if shares == nil {
		if s.shares == nil {
			s.shares = map[int]*accountShares{}
		}
		shares = &accountShares{}
		s.shares[priority] = shares
	}
	return shares
}

// enqueue inserts a request in the order of compareRequests.
func (s *service) enqueue(r *Request) {
	if !r.IsRetry {
		s.sharesOf(r.Priority).charge(r.ClientAccount, r.tag, r.work)
	}
	r.queued = true
	at, _ := slices.BinarySearchFunc(s.queue, r, compareRequests)
	s.queue = slices.Insert(s.queue, at, r)
}

// started records that a request has got a backend server.
func (s *service) started(r *Request) {
	shares := s.sharesOf(r.Priority)
	if !r.queued && !r.IsRetry {
		shares.charge(r.ClientAccount, r.tag, r.work)
	}
	shares.started(r.tag)
}

// dropped records that a queued request is not started.
func (s *service) dropped(r *Request) {
	if r.queued && !r.IsRetry {
		s.sharesOf(r.Priority).refund(r.ClientAccount, r.work)
	}
}

// reorder sorts the queue again if requests can no longer be served on time,
// and returns these.
func (s *service) reorder(now time.Time) map[*Request]bool {
	var newlyLate map[*Request]bool
	for _, r := range s.queue {
		if r.updateLate(now) {
			if newlyLate == nil {
				newlyLate = map[*Request]bool{}
			}
			newlyLate[r] = true
		}
	}
	if newlyLate != nil {
		slices.SortFunc(s.queue, compareRequests)
	}
	return newlyLate
}

// updateLate marks a request that can no longer be served on time, and reports
// whether it has just become late.
func (r *Request) updateLate(now time.Time) bool {
	if r.late || r.TargetStart.IsZero() || now.Before(r.TargetStart) {
		return false
	}
	r.late = true
	return true
}

// compareRequests orders requests by priority, then those that come back when they
// were told to before the others and those that come too early after them, then those
// that can be served on time, then by the shares of client accounts, then by arrival.
func compareRequests(a, b *Request) int {
	if c := compareClasses(a, b); c != 0 {
		return c
	}
	if c := cmp.Compare(a.tag, b.tag); c != 0 {
		return c
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// compareClasses orders requests without regard to accounts and arrival.
func compareClasses(a, b *Request) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.turn() != b.turn():
		return a.turn() - b.turn()
	case a.late != b.late && b.late:
		return -1
	case a.late != b.late:
		return 1
	}
	return 0
}

// turn is -1 for a request that comes back when it was told to, 1 for one that comes
// too early, and 0 for others.
func (r *Request) turn() int {
	switch {
	case r.returning:
		return -1
	case !r.due.IsZero():
		return 1
	}
	return 0
}

func (s *service) remove(r *Request) {
	if i := slices.Index(s.queue, r); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.dropped(r)
	}
}

// ahead returns the number of waiting requests that go before r, which has just
// arrived.
func (s *service) ahead(r *Request) int {
	n := 0
	for _, w := range s.queue {
		if w.displaced {
			continue
		}
		if c := compareClasses(w, r); c < 0 || (c == 0 && w.tag <= r.tag) {
			n++
		}
	}
	return n
}

// expectedWait is the time until the requests ahead of r and r itself have got a
// slot, at the throughput of this entry's own requests or of its even share of all,
// whichever is higher: an entry that sends few requests cannot measure the
// throughput from its own. A request that cannot be served on time also waits for
// future arrivals of its priority that can, and for more urgent ones. Others are not
// refused for arrivals that may not come.
func (s *service) expectedWait(now time.Time, r *Request, ahead, entries int) time.Duration {
	if len(s.queue) >= maxQueue && !s.hasLessUrgent(r) {
		return unservableWait
	}
	throughput := s.throughput(entries)
	if throughput == 0 {
		return 0
	}
	wait := seconds(float64(ahead+1) / throughput)
	if r.TargetStart.IsZero() || (!r.late && now.Add(wait).Before(r.TargetStart)) {
		return wait
	}
	throughput -= s.arrivalRate(now, r.Priority)
	if throughput <= 0 {
		return unservableWait
	}
	return seconds(float64(ahead+1) / throughput)
}

// throughput returns the requests per second that are finished, or 0 if it is not known.
func (s *service) throughput(entries int) float64 {
	own, all := s.running()
	held := s.expectedHold()
	if held == 0 {
		return 0
	}
	return max(float64(own), float64(all)/float64(entries)) / held.Seconds()
}

// hasLessUrgent reports whether a less urgent request than r waits.
func (s *service) hasLessUrgent(r *Request) bool {
	return len(s.queue) > 0 && s.queue[len(s.queue)-1].Priority > r.Priority
}

// startsLessUrgent reports whether less urgent requests than r have got slots lately, so
// that r will get one before the next of them, whatever its expected wait.
func (s *service) startsLessUrgent(now time.Time, r *Request) bool {
	return r.Priority < maxPriority && s.starts.sum(now, arrivalWindow, r.Priority+1, maxPriority) > 0
}

// arrivalRate is the rate of new requests up to a priority that could be served on
// time, with the refused ones that are expected back.
func (s *service) arrivalRate(now time.Time, priority int) float64 {
	returns := float64(s.returns.pending(now, priority, returnHorizon)) / returnHorizon.Seconds()
	return s.onTimeArrivals.rate(now, minPriority, priority) + returns
}

// patience tells until when queued requests wait.
type patience struct {
	service *service
	// lessUrgent is the last end of the wait of the requests that are less urgent, by
	// priority.
	lessUrgent map[int]time.Time
}

// patience returns until when the requests that are queued now wait. None of them is
// refused while a less urgent one goes on waiting, as long as it can be served before
// its deadline.
func (s *service) patience() patience {
	p := patience{service: s}
	if len(s.queue) == 0 || s.queue[0].Priority == s.queue[len(s.queue)-1].Priority {
		return p
	}
	p.lessUrgent = map[int]time.Time{}
	var latest, below time.Time
	for i := len(s.queue) - 1; i >= 0; i-- {
		r := s.queue[i]
		if i+1 < len(s.queue) && s.queue[i+1].Priority != r.Priority {
			below = latest
		}
		p.lessUrgent[r.Priority] = below
		if !r.displaced && r.latest.After(latest) {
			latest = r.latest
		}
	}
	return p
}

// of returns until when a request waits.
func (p patience) of(r *Request) time.Time {
	less := p.lessUrgent[r.Priority]
	if r.Deadline.IsZero() || !less.After(r.latest) {
		return r.latest
	}
	if last := p.service.lastUsefulStart(r); last.Before(less) {
		less = last
	}
	if less.Before(r.latest) {
		return r.latest
	}
	return less
}
