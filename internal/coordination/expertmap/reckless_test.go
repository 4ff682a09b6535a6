package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// recklessEngine follows every order as it comes: it ignores fencing numbers,
// takes older maps and forgets promises. It still compares the incarnation,
// which tells that an order is for this process at all.
type recklessEngine struct {
	incarnation uint64
	step        uint64
	current     uint64
	nextVersion uint64
	nextStep    uint64
	newest      uint64 // greatest switch step known
	promised    uint64
	holdAt      uint64
}

func (e *recklessEngine) HandleOrder(o *peer.GroupOrder) Answer {
	accepted := o.Incarnation == e.incarnation
	switch {
	case !accepted:
	case o.Action == peer.GroupOrder_ACTION_PROMISE:
		if accepted = e.step < o.SwitchStep; accepted {
			e.promised, e.holdAt = o.MapVersion, o.SwitchStep
		}
	case o.Action == peer.GroupOrder_ACTION_ABANDON:
		e.promised = 0
	case o.Action == peer.GroupOrder_ACTION_SWITCH:
		e.promised, e.newest = 0, max(e.newest, o.SwitchStep)
		if e.step+1 >= o.SwitchStep {
			e.current = o.MapVersion
		} else {
			e.nextVersion, e.nextStep = o.MapVersion, o.SwitchStep
			if o.Previous != nil {
				e.current = o.Previous.MapVersion
			}
		}
	}
	return Answer{Accepted: accepted, Step: e.step, MapVersion: e.current}
}

func (e *recklessEngine) MayStart(step uint64) (uint64, bool) {
	if e.promised != 0 && step >= e.holdAt {
		return 0, false
	}
	if e.nextVersion != 0 && step >= e.nextStep {
		return e.nextVersion, true
	}
	return e.current, e.current != 0
}

func (e *recklessEngine) Start(step uint64) {
	if e.nextVersion != 0 && step >= e.nextStep {
		e.current, e.nextVersion = e.nextVersion, 0
	}
	e.step = step
}

func (e *recklessEngine) Step() uint64             { return e.step }
func (e *recklessEngine) MapVersion() uint64       { return e.current }
func (e *recklessEngine) Join(step uint64)         { e.step = step }
func (e *recklessEngine) NewestSwitchStep() uint64 { return e.newest }
func (e *recklessEngine) Holding() bool            { return e.promised != 0 && e.step+1 >= e.holdAt }

func (e *recklessEngine) Promised() (version, switchStep uint64) {
	if e.promised == 0 {
		return 0, 0
	}
	return e.promised, e.holdAt
}
