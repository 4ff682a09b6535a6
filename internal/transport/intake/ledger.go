package intake

import (
	"container/list"
	"sync/atomic"
	"time"
)

// phase is the state of a connection.
type phase int32

const (
	fresh    phase = iota // no byte has arrived
	header                // a header section is incomplete
	body                  // the header section is complete, the body may not be
	served                // the request is complete
	idle                  // the answer is complete, and no byte of a next request has arrived
	unproven              // idle, and no answer so far but refusals of what the caller sent
	closed
	phaseCount = iota
)

// stuckAfter is the time after which a write that is not accepted counts as stuck: the
// caller has read nothing, and the buffers of both hosts are full.
const stuckAfter = 2 * time.Second

// isIdle reports whether a connection has no request.
func (p phase) isIdle() bool { return p == idle || p == unproven }

// account is what a connection holds of the budget.
type account struct {
	owner *Conn // nil in tests
	phase phase
	since time.Time // when it entered the phase
	// proven is set once a request was answered with other than a refusal of what the
	// caller sent.
	proven bool
	// writing is when the write under way began, in nanoseconds of Unix time, or 0.
	writing atomic.Int64
	held    int64
	element *list.Element // in the list of its phase, for those that may give way
	leaving bool          // it gives way, and still holds what it held
}

// ledger decides which connections a listener keeps. Connections in a phase are kept in
// the order in which they entered it, so that the first one is the slowest.
//
// A connection that gives way holds its memory until it is closed. Meanwhile others may
// exceed the budget by a part of it, see Budget.
type ledger struct {
	budget Budget
	// maxIdle is the time after which an idle connection gives way. Callers within the
	// limits close theirs before.
	maxIdle     time.Duration
	connections int
	held        int64
	// leavingConnections and leavingHeld are the parts of those that give way.
	leavingConnections int
	leavingHeld        int64
	phases             [phaseCount]*list.List
}

func newLedger(b Budget) *ledger {
	l := &ledger{budget: b, maxIdle: DefaultIdleTimeout}
	for _, p := range []phase{fresh, header, body, served, idle, unproven} {
		l.phases[p] = list.New()
	}
	return l
}

// open takes a new connection, which is fresh. It returns those that give way to it. If
// ok is false, it has no room.
func (l *ledger) open(now time.Time, a *account) (evicted []*account, ok bool) {
	for l.connections-l.leavingConnections >= l.budget.Connections {
		victim := l.oldest(fresh, header, body, unproven)
		if victim == nil {
			victim = l.overdue(now)
		}
		if victim == nil {
			victim = l.stuck(now)
		}
		if victim == nil {
			return evicted, false
		}
		l.leave(victim)
		evicted = append(evicted, victim)
	}
	if l.connections >= l.budget.Connections+l.budget.slackConnections() {
		return evicted, false
	}
	l.connections++
	l.enter(now, a, fresh)
	return evicted, true
}

// hold sets what a connection holds. It returns the connections that give way to it. If
// ok is false, it has no room itself, and what it holds is unchanged.
func (l *ledger) hold(a *account, n int64) (evicted []*account, ok bool) {
	if a.leaving {
		return nil, false
	}
	more := n - a.held
	for more > 0 && l.held-l.leavingHeld+more > l.budget.HeaderBytes {
		victim := l.oldest(header, body)
		if victim == nil || victim == a {
			return evicted, false
		}
		l.leave(victim)
		evicted = append(evicted, victim)
	}
	if more > 0 && l.held+more > l.budget.HeaderBytes+l.budget.slackBytes() {
		return evicted, false
	}
	a.held = n
	l.held += more
	return evicted, true
}

// enter moves a connection to a phase.
func (l *ledger) enter(now time.Time, a *account, p phase) {
	l.unlink(a)
	a.phase, a.since = p, now
	if queue := l.phases[p]; queue != nil && !a.leaving {
		a.element = queue.PushBack(a)
	}
}

// finish ends the request of a connection, which holds nothing from now on.
func (l *ledger) finish(now time.Time, a *account) {
	l.drop(a)
	if a.proven {
		l.enter(now, a, idle)
	} else {
		l.enter(now, a, unproven)
	}
}

// remove forgets a connection that is closed.
func (l *ledger) remove(a *account) {
	if a.phase == closed {
		return
	}
	l.drop(a)
	l.connections--
	if a.leaving {
		l.leavingConnections--
	}
	l.unlink(a)
	a.phase = closed
}

func (l *ledger) drop(a *account) {
	l.held -= a.held
	if a.leaving {
		l.leavingHeld -= a.held
	}
	a.held = 0
}

// oldest returns the connection that gives way first, or nil.
func (l *ledger) oldest(phases ...phase) *account {
	for _, p := range phases {
		if first := l.phases[p].Front(); first != nil {
			return first.Value.(*account)
		}
	}
	return nil
}

// overdue returns the connection that has been idle for longest, if that is too long.
func (l *ledger) overdue(now time.Time) *account {
	if a := l.oldest(idle); a != nil && now.Sub(a.since) > l.maxIdle {
		return a
	}
	return nil
}

// stuck returns the first connection whose caller does not read its answer.
func (l *ledger) stuck(now time.Time) *account {
	for e := l.phases[served].Front(); e != nil; e = e.Next() {
		a := e.Value.(*account)
		if began := a.writing.Load(); began != 0 && now.Sub(time.Unix(0, began)) >= stuckAfter {
			return a
		}
	}
	return nil
}

func (l *ledger) leave(a *account) {
	l.unlink(a)
	a.leaving = true
	l.leavingConnections++
	l.leavingHeld += a.held
}

// keep takes back that a connection gives way.
func (l *ledger) keep(a *account) {
	if !a.leaving {
		return
	}
	a.leaving = false
	l.leavingConnections--
	l.leavingHeld -= a.held
}

func (l *ledger) unlink(a *account) {
	if a.element != nil {
		l.phases[a.phase].Remove(a.element)
		a.element = nil
	}
}
