package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Event is an input of a follower: Announced, FencingUpdated, OrderReceived,
// Answered or Unanswered.
type Event interface{ event() }

// Announced is an announcement of the backend server. A new incarnation makes
// the follower forget all that it knows of the earlier one.
type Announced struct {
	Incarnation uint64
	Step        uint64
	MapVersion  uint64
	// PromisedVersion and PromisedStep are the promise that is open, or 0. An
	// agent that has restarted learns of it here: a backend server that
	// releases its promise at any order to abandon must not get an older one.
	PromisedVersion, PromisedStep uint64
	StepUs                        uint32
}

// FencingUpdated gives the newest fencing number of the group, from the answer
// to a renewal. It comes before the orders of the same answer.
type FencingUpdated struct{ Fencing uint64 }

// OrderReceived gives an order from control.
type OrderReceived struct{ Order *peer.GroupOrder }

// Answered is the backend server's answer to a forwarded order.
type Answered struct {
	Order  *peer.GroupOrder
	Answer Answer
}

// Unanswered says that there is no answer to a forwarded order and none will
// come. The order may have been followed.
type Unanswered struct{ Order *peer.GroupOrder }

func (Announced) event()      {}
func (FencingUpdated) event() {}
func (OrderReceived) event()  {}
func (Answered) event()       {}
func (Unanswered) event()     {}

// Action is what a follower wants done: Forward, Drop or RenewSoon.
type Action interface{ action() }

// Forward sends an order to the backend server. One order is forwarded at a
// time; Answered or Unanswered must follow.
type Forward struct{ Order *peer.GroupOrder }

// Drop says that an order was not forwarded, for the counters.
type Drop struct{ Reason Reason }

// RenewSoon asks for a renewal now, because the acknowledgement has changed
// and control waits for it.
type RenewSoon struct{}

func (Forward) action()   {}
func (Drop) action()      {}
func (RenewSoon) action() {}

// Follower is the agent's side of map changes for one backend server with
// ranks. It checks fencing numbers and versions in every case, because some
// backend servers ignore them. It is not safe for concurrent use.
type Follower struct {
	group   string
	ranks   []uint32
	ack     *peer.GroupAck // nil before the first announcement
	fencing uint64
	fenced  bool // fencing is known since the start of the agent
	waiting *peer.GroupOrder
}

// NewFollower returns the follower for a backend server's ranks of a group.
func NewFollower(group string, ranks []uint32) *Follower {
	return &Follower{group: group, ranks: ranks}
}

// Ack returns the acknowledgement for the next renewal, or nil before the
// backend server has announced itself. The caller must not change it.
func (f *Follower) Ack() *peer.GroupAck { return f.ack }

// Step takes an event and returns what is to be done.
func (f *Follower) Step(ev Event) []Action {
	switch ev := ev.(type) {
	case Announced:
		return f.announced(ev)
	case FencingUpdated:
		f.fencing, f.fenced = max(f.fencing, ev.Fencing), true
	case OrderReceived:
		return f.ordered(ev.Order)
	case Answered:
		return f.answered(ev)
	case Unanswered:
		if f.waiting == ev.Order {
			f.waiting = nil
		}
	}
	return nil
}

func (f *Follower) announced(a Announced) []Action {
	fresh := f.ack == nil || f.ack.Incarnation != a.Incarnation
	ack := &peer.GroupAck{Group: f.group, Ranks: f.ranks, Incarnation: a.Incarnation}
	if !fresh {
		ack = f.copy()
	} else {
		f.waiting = nil
	}
	ack.Step = max(ack.Step, a.Step)
	ack.MapVersion = max(ack.MapVersion, a.MapVersion)
	ack.ResolvedVersion = max(ack.ResolvedVersion, a.MapVersion)
	ack.StepUs = a.StepUs
	if a.PromisedVersion > ack.PromisedVersion {
		// A promise is asked for only when all earlier decisions are known.
		ack.PromisedVersion, ack.PromisedStep = a.PromisedVersion, a.PromisedStep
		ack.ResolvedVersion = max(ack.ResolvedVersion, a.PromisedVersion-1)
	}
	f.ack = ack
	if fresh {
		return []Action{RenewSoon{}}
	}
	return nil
}

// copy returns a copy of the acknowledgement, since the last one may be in a
// renewal that is being sent.
func (f *Follower) copy() *peer.GroupAck {
	return &peer.GroupAck{
		Group: f.ack.Group, Ranks: f.ack.Ranks, Incarnation: f.ack.Incarnation,
		Step: f.ack.Step, MapVersion: f.ack.MapVersion, ResolvedVersion: f.ack.ResolvedVersion,
		StagedVersion: f.ack.StagedVersion, PromisedVersion: f.ack.PromisedVersion,
		PromisedStep: f.ack.PromisedStep, RefusedVersion: f.ack.RefusedVersion, StepUs: f.ack.StepUs,
	}
}

func (f *Follower) ordered(o *peer.GroupOrder) []Action {
	if reason, bad := f.check(o); bad {
		return []Action{Drop{Reason: reason}}
	}
	f.fencing = max(f.fencing, o.Fencing)
	f.settle(o)
	if f.waiting != nil || f.known(o) {
		return nil
	}
	f.waiting = o
	return []Action{Forward{Order: o}}
}

// settle notes what an order to stage or to promise tells: control sends it
// only after the ranks have acknowledged every earlier decision. An agent that
// has restarted does not know of them otherwise.
func (f *Follower) settle(o *peer.GroupOrder) {
	switch o.Action {
	case peer.GroupOrder_ACTION_STAGE, peer.GroupOrder_ACTION_PROMISE:
		if o.MapVersion-1 > f.ack.ResolvedVersion {
			f.ack = f.copy()
			f.ack.ResolvedVersion = o.MapVersion - 1
		}
	}
}

// check says why an order must not reach the backend server.
func (f *Follower) check(o *peer.GroupOrder) (Reason, bool) {
	switch {
	case f.ack == nil || o.Group != f.group:
		return EngineUnknown, true
	case o.Incarnation != f.ack.Incarnation:
		return WrongIncarnation, true
	case !f.fenced:
		return FencingUnknown, true
	case o.Fencing < f.fencing:
		return StaleFencing, true
	}
	switch o.Action {
	case peer.GroupOrder_ACTION_STAGE, peer.GroupOrder_ACTION_PROMISE:
		if o.MapVersion <= f.ack.ResolvedVersion || o.MapVersion < f.ack.PromisedVersion {
			return StaleVersion, true
		}
	case peer.GroupOrder_ACTION_SWITCH:
		if o.MapVersion < f.ack.ResolvedVersion {
			return StaleVersion, true
		}
	}
	return 0, false
}

// known says whether the acknowledgement already tells what the order asks.
func (f *Follower) known(o *peer.GroupOrder) bool {
	switch o.Action {
	case peer.GroupOrder_ACTION_STAGE:
		return o.MapVersion <= f.ack.StagedVersion
	case peer.GroupOrder_ACTION_PROMISE:
		return o.MapVersion == f.ack.PromisedVersion || o.MapVersion == f.ack.RefusedVersion
	}
	return o.MapVersion <= f.ack.ResolvedVersion
}

func (f *Follower) answered(ev Answered) []Action {
	o, a := ev.Order, ev.Answer
	if f.waiting != o {
		return nil // of an earlier incarnation
	}
	f.waiting = nil
	ack := f.copy()
	ack.Step = max(ack.Step, a.Step)
	ack.MapVersion = max(ack.MapVersion, a.MapVersion)
	switch o.Action {
	case peer.GroupOrder_ACTION_STAGE:
		if a.Accepted {
			ack.StagedVersion = max(ack.StagedVersion, o.MapVersion)
		}
	case peer.GroupOrder_ACTION_PROMISE:
		switch {
		case a.Accepted:
			ack.PromisedVersion, ack.PromisedStep = o.MapVersion, o.SwitchStep
		case a.Step >= o.SwitchStep:
			ack.RefusedVersion = max(ack.RefusedVersion, o.MapVersion)
		}
	case peer.GroupOrder_ACTION_SWITCH, peer.GroupOrder_ACTION_ABANDON:
		if a.Accepted {
			ack.ResolvedVersion = max(ack.ResolvedVersion, o.MapVersion)
		}
	}
	f.ack = ack
	missed := o.Action == peer.GroupOrder_ACTION_SWITCH && !a.Accepted &&
		a.MapVersion != 0 && a.MapVersion < o.MapVersion && a.Step >= o.SwitchStep
	if missed {
		return []Action{Drop{Reason: MissedSwitch}, RenewSoon{}}
	}
	return []Action{RenewSoon{}}
}
