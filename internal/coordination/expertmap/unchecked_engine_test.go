package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// uncheckedEngine carries out orders without the checks of Engine: it ignores
// fencing numbers, accepts older maps and discards promises. It still compares
// the incarnation, which shows that an order is for this process at all.
type uncheckedEngine struct {
	incarnation uint64
	step        uint64
	current     uint64
	nextVersion uint64
	nextStep    uint64
	newest      uint64 // greatest switch step received
	promised    uint64
	holdStep    uint64
}

func (e *uncheckedEngine) HandleOrder(o *peer.GroupOrder) Answer {
	accepted := o.Incarnation == e.incarnation
	switch {
	case !accepted:
	case o.Action == peer.GroupOrder_ACTION_PROMISE:
		if accepted = e.step < o.SwitchStep; accepted {
			e.promised, e.holdStep = o.MapVersion, o.SwitchStep
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

func (e *uncheckedEngine) MayStart(step uint64) (uint64, bool) {
	if e.promised != 0 && step >= e.holdStep {
		return 0, false
	}
	if e.nextVersion != 0 && step >= e.nextStep {
		return e.nextVersion, true
	}
	return e.current, e.current != 0
}

func (e *uncheckedEngine) Start(step uint64) {
	if e.nextVersion != 0 && step >= e.nextStep {
		e.current, e.nextVersion = e.nextVersion, 0
	}
	e.step = step
}

func (e *uncheckedEngine) Step() uint64             { return e.step }
func (e *uncheckedEngine) MapVersion() uint64       { return e.current }
func (e *uncheckedEngine) Join(step uint64)         { e.step = step }
func (e *uncheckedEngine) NewestSwitchStep() uint64 { return e.newest }
func (e *uncheckedEngine) Holding() bool            { return e.promised != 0 && e.step+1 >= e.holdStep }

func (e *uncheckedEngine) Promised() (version, switchStep uint64) {
	if e.promised == 0 {
		return 0, 0
	}
	return e.promised, e.holdStep
}
