package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Event is an input of a follower: Announced, FencingUpdated, OrderReceived,
// Answered or Unanswered.
type Event interface{ event() }

// Announced gives an announcement of the backend server. A new incarnation
// discards the state of the earlier one.
type Announced struct {
	Incarnation uint64
	Step        uint64
	MapVersion  uint64
	// PromisedVersion and PromisedStep are the open promise, or 0. A restarted
	// agent needs them: a backend server that releases its promise at any order
	// to abandon must not receive one for an older change.
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

// Unanswered reports that a forwarded order got no answer and will get none. The
// backend server may have carried it out.
type Unanswered struct{ Order *peer.GroupOrder }

func (Announced) event()      {}
func (FencingUpdated) event() {}
func (OrderReceived) event()  {}
func (Answered) event()       {}
func (Unanswered) event()     {}

// Action is an output of a follower: Forward, Drop or RenewSoon.
type Action interface{ action() }

// Forward sends an order to the backend server. One order is forwarded at a
// time; Answered or Unanswered must follow.
type Forward struct{ Order *peer.GroupOrder }

// Drop reports an order that was not forwarded, or one that came after its
// switch step (MissedSwitch), for the counters.
type Drop struct{ Reason Reason }

// RenewSoon requests a renewal now, because the acknowledgement has changed
// and control waits for it.
type RenewSoon struct{}

func (Forward) action()   {}
func (Drop) action()      {}
func (RenewSoon) action() {}

// Follower is the agent's side of map changes for one backend server with
// ranks. It checks fencing numbers and versions in every case, because some
// backend servers ignore them. It is not safe for concurrent use.
type Follower struct {
	group        string
	ranks        []uint32
	ack          *peer.GroupAck // nil before the first announcement
	fencing      uint64
	fencingKnown bool // a fencing number was received since the agent started
	inFlight     *peer.GroupOrder
}

// NewFollower returns the follower for a backend server's ranks of a group.
func NewFollower(group string, ranks []uint32) *Follower {
	return &Follower{group: group, ranks: ranks}
}

// Ack returns the acknowledgement for the next renewal, or nil before the
// backend server has announced itself. The caller must not change it.
func (f *Follower) Ack() *peer.GroupAck { return f.ack }

// Step processes an event and returns the resulting actions.
func (f *Follower) Step(ev Event) []Action {
	switch ev := ev.(type) {
	case Announced:
		return f.announced(ev)
	case FencingUpdated:
		f.fencing, f.fencingKnown = max(f.fencing, ev.Fencing), true
	case OrderReceived:
		return f.ordered(ev.Order)
	case Answered:
		return f.answered(ev)
	case Unanswered:
		if f.inFlight == ev.Order {
			f.inFlight = nil
		}
	}
	return nil
}

func (f *Follower) announced(a Announced) []Action {
	newIncarnation := f.ack == nil || f.ack.Incarnation != a.Incarnation
	ack := &peer.GroupAck{Group: f.group, Ranks: f.ranks, Incarnation: a.Incarnation}
	if !newIncarnation {
		ack = f.copy()
	} else {
		f.inFlight = nil
	}
	ack.Step = max(ack.Step, a.Step)
	ack.MapVersion = max(ack.MapVersion, a.MapVersion)
	ack.ResolvedVersion = max(ack.ResolvedVersion, a.MapVersion)
	ack.StepUs = a.StepUs
	if a.PromisedVersion > ack.PromisedVersion {
		// Control requests a promise only after all earlier decisions are resolved.
		ack.PromisedVersion, ack.PromisedStep = a.PromisedVersion, a.PromisedStep
		ack.ResolvedVersion = max(ack.ResolvedVersion, a.PromisedVersion-1)
	}
	f.ack = ack
	if newIncarnation {
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
	f.recordResolved(o)
	if f.inFlight != nil || f.acknowledged(o) {
		return nil
	}
	f.inFlight = o
	return []Action{Forward{Order: o}}
}

// recordResolved marks the decisions before an order to stage or to promise as
// resolved: control sends it only after the ranks have acknowledged them. A
// restarted agent has no other record of them.
func (f *Follower) recordResolved(o *peer.GroupOrder) {
	switch o.Action {
	case peer.GroupOrder_ACTION_STAGE, peer.GroupOrder_ACTION_PROMISE:
		if o.MapVersion-1 > f.ack.ResolvedVersion {
			f.ack = f.copy()
			f.ack.ResolvedVersion = o.MapVersion - 1
		}
	}
}

// check reports whether an order must not reach the backend server, and why.
func (f *Follower) check(o *peer.GroupOrder) (Reason, bool) {
	switch {
	case f.ack == nil || o.Group != f.group:
		return EngineUnknown, true
	case o.Incarnation != f.ack.Incarnation:
		return WrongIncarnation, true
	case !f.fencingKnown:
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

// acknowledged reports whether the acknowledgement already covers an order.
func (f *Follower) acknowledged(o *peer.GroupOrder) bool {
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
	if f.inFlight != o {
		return nil // for an earlier incarnation
	}
	f.inFlight = nil
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
