package pool

import (
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// hopelessFactor is the multiple of its remaining patience that the expected wait
	// of a queued request must reach before it is refused ahead of time. The estimate
	// follows the throughput of a second and is often off by a third.
	hopelessFactor = 1.5
	// idleShare is the share of the slots below which a request is not refused for its
	// expected wait while nothing waits: the estimate rests on few requests.
	idleShare = 0.5
)

// Submit decides on a new request, or on one that is submitted again after an
// attempt has ended.
func (p *Pool) Submit(now time.Time, r *Request) Decision {
	svc := p.service(r.Service)
	svc.sizes.offered(svc.spec.Engine, r.Size)
	svc.prepare(r)
	if !r.IsRetry {
		r.returning, r.due = svc.returns.isReturning(now, r)
	}
	if r.IsRetry && !svc.mayRetry(now, p.cfg, p.places.mostEntries(now)) {
		return p.refuse(now, svc, r, fault.RetryBudgetSpent, RetryBudget, 0)
	}
	r.updateLate(now)
	if !r.late {
		svc.onTimeArrivals.add(now, r.Priority)
	}
	ahead := svc.ahead(r)
	if ahead == 0 && (!r.late || p.mayStartLate(now, svc, r)) {
		switch c := p.choose(now, svc, r).(type) {
		case Assign:
			p.assign(now, svc, r, c)
			return c
		case Refuse:
			return p.refuseWithout(now, svc, r, c)
		}
	}
	expected := svc.expectedWait(now, r, ahead, p.entries)
	switch {
	case now.Add(expected).Before(r.latest):
	case len(svc.queue) == 0 && now.Before(r.latest) && p.isIdle(now, svc, r):
		expected = 0
	case svc.displaceLarger(now, r, ahead, p.entries):
		ahead--
	case now.Before(r.latest) && (svc.displaceLessUrgent(r) || svc.startsLessUrgent(now, r)):
	default:
		svc.classes.count(r, false)
		return p.refuse(now, svc, r, fault.Overloaded, QueueTooLong, expected)
	}
	if len(svc.queue) >= maxQueue {
		svc.displaceLessUrgent(r)
	}
	p.lastSequence++
	r.sequence = p.lastSequence
	svc.enqueue(r)
	return Wait{Ahead: ahead, ExpectedWait: expected}
}

// isIdle reports whether under half of the slots are taken that the service can use.
func (p *Pool) isIdle(now time.Time, svc *service, r *Request) bool {
	slots, _ := p.capacity(now, svc, r.TargetGap)
	_, all := svc.running()
	return float64(all) < idleShare*float64(slots)
}

// CanRetry reports whether a request that waits for a silent backend server would
// get another one now. Otherwise its attempt is worth more than its place in a
// queue: silence under load is mostly that of a backend server that is still busy.
func (p *Pool) CanRetry(now time.Time, r *Request) bool {
	svc := p.service(r.Service)
	if !svc.mayRetry(now, p.cfg, p.places.mostEntries(now)) {
		return false
	}
	svc.prepare(r)
	r.updateLate(now)
	if svc.ahead(r) > 0 || (r.late && !p.mayStartLate(now, svc, r)) {
		return false
	}
	_, ok := p.choose(now, svc, r).(Assign)
	return ok
}

// CancelWait removes a request that its caller has abandoned from the queue.
func (p *Pool) CancelWait(r *Request) { p.service(r.Service).remove(r) }

// DecideQueued ends the wait of the queued requests that now have a backend
// server, and of those that can no longer be served in time.
func (p *Pool) DecideQueued(now time.Time) []QueuedDecision {
	var decisions []QueuedDecision
	for _, svc := range p.services {
		decisions = p.decideQueue(now, svc, decisions)
	}
	return decisions
}

func (p *Pool) decideQueue(now time.Time, svc *service, decisions []QueuedDecision) []QueuedDecision {
	newlyLate := svc.reorder(now)
	kept := svc.queue[:0]
	full := false
	// held is the most urgent priority of which a late request has to wait, so that
	// those that can be served on time find slots. Less urgent requests wait too.
	held := maxPriority
	patience := svc.patience()
	for _, r := range svc.queue {
		wasOvertaken := len(kept) > 0 && kept[0].Priority < r.Priority
		expects := newlyLate[r] || wasOvertaken
		if refusal, ok := p.refuseQueued(now, svc, r, len(kept), patience.of(r), expects); ok {
			svc.dropped(r)
			svc.classes.count(r, false)
			decisions = append(decisions, QueuedDecision{Request: r, Decision: refusal})
			continue
		}
		mayStart := !full && r.Priority <= held
		if mayStart && r.late && !p.mayStartLate(now, svc, r) {
			mayStart, held = false, r.Priority
		}
		if mayStart {
			switch c := p.choose(now, svc, r).(type) {
			case Assign:
				p.assign(now, svc, r, c)
				decisions = append(decisions, QueuedDecision{Request: r, Decision: c})
				continue
			case Refuse:
				svc.dropped(r)
				decisions = append(decisions, QueuedDecision{Request: r, Decision: p.refuseWithout(now, svc, r, c)})
				continue
			}
			full = true
		}
		kept = append(kept, r)
	}
	clear(svc.queue[len(kept):])
	svc.queue = kept
	return decisions
}

// refuseQueued refuses a request that was displaced or has waited until the given
// time. If expects is set, it is refused at once if it would not start by then: that is
// so for one that can no longer be served on time, as those that can go before it, and
// for one behind more urgent requests.
func (p *Pool) refuseQueued(now time.Time, svc *service, r *Request, ahead int, until time.Time, expects bool) (Refuse, bool) {
	if r.displaced {
		return p.refuse(now, svc, r, fault.Overloaded, Displaced, now.Sub(r.Arrived)), true
	}
	if !now.Before(until) {
		return p.refuse(now, svc, r, fault.Overloaded, WaitTimedOut, now.Sub(r.Arrived)), true
	}
	if !expects {
		return Refuse{}, false
	}
	expected := svc.expectedWait(now, r, ahead, p.entries)
	left := until.Sub(now)
	if !r.late {
		left = time.Duration(hopelessFactor * float64(left))
	}
	if expected < left || svc.displaceLessUrgent(r) || svc.startsLessUrgent(now, r) {
		return Refuse{}, false
	}
	return p.refuse(now, svc, r, fault.Overloaded, QueueTooLong, expected), true
}

func (p *Pool) assign(now time.Time, svc *service, r *Request, a Assign) {
	s := p.servers[a.Server.ID]
	s.inFlight++
	s.lastSent = now
	if g := p.groups[s.info.Group]; g != nil {
		g.passModel.unread++
	}
	if a.Cold {
		s.coldSends = append(s.coldSends, now)
	}
	if r.late {
		svc.lateStarts.add(now, r.Priority)
	}
	svc.started(r)
	svc.starts.add(now, r.Priority)
	svc.classes.count(r, true)
	svc.countAttempt(now, r.IsRetry)
	p.recordPrefix(now, svc, s, r, a)
}
