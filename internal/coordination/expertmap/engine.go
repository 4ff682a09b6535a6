package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Engine holds the rules that a backend server follows for its ranks. It is
// not safe for concurrent use. The zero value is a backend server that has
// just started: it has no map and starts no step.
type Engine struct {
	// Incarnation is drawn at random at each start. Orders for another one
	// are rejected.
	Incarnation uint64
	// ChecksFencing makes the backend server refuse an order whose fencing
	// number is below the greatest one seen.
	ChecksFencing bool

	fencing      uint64
	step         uint64
	current      Map
	staged       map[uint64][]*peer.RankPlacement
	committed    []Map // oldest first, at most two
	resolved     uint64
	promised     uint64
	holdStep     uint64
	missedSwitch bool
}

// Answer is a backend server's answer to an order.
type Answer struct {
	// Accepted reports whether the order was carried out, now or earlier.
	Accepted bool
	// Step is the newest step started.
	Step uint64
	// MapVersion is the map in use.
	MapVersion uint64
	// Message says why the order was rejected.
	Message string
}

// Step returns the newest step started.
func (e *Engine) Step() uint64 { return e.step }

// MapVersion returns the map in use, 0 for none.
func (e *Engine) MapVersion() uint64 { return e.current.Version }

// Promised returns the change that the ranks have promised to wait for, and its
// switch step; 0 if no promise is open.
func (e *Engine) Promised() (version, switchStep uint64) {
	if e.promised <= e.resolved {
		return 0, 0
	}
	return e.promised, e.holdStep
}

// Join sets the step that the group has started last, on a backend server that
// has just started. A group whose ranks have all restarted continues at the
// greatest switch step that its ranks have received.
func (e *Engine) Join(step uint64) { e.step = max(e.step, step) }

// NewestSwitchStep returns the greatest switch step received, 0 for none.
func (e *Engine) NewestSwitchStep() uint64 {
	if len(e.committed) == 0 {
		return 0
	}
	return e.committed[len(e.committed)-1].SwitchStep
}

// MayStart returns the map version for a step, and whether the ranks may start
// it. They hold without a map, and at a promised step without its decision.
func (e *Engine) MayStart(step uint64) (version uint64, ok bool) {
	if e.missedSwitch || e.holds(step) {
		return 0, false
	}
	m := e.mapAt(step)
	return m.Version, m.Version != 0
}

// Start records that the ranks have started a step for which MayStart returned
// true.
func (e *Engine) Start(step uint64) {
	e.step = max(e.step, step)
	e.current = e.mapAt(step)
}

// holds reports whether the ranks wait for the decision on a change at a step.
func (e *Engine) holds(step uint64) bool {
	return e.promised > e.resolved && step >= e.holdStep
}

// Holding reports whether the next step waits for a decision.
func (e *Engine) Holding() bool { return e.holds(e.step + 1) }

// HandleOrder carries out an order, or answers why it is rejected.
func (e *Engine) HandleOrder(o *peer.GroupOrder) Answer {
	if o.Incarnation != e.Incarnation {
		return e.answer("the order is for another incarnation")
	}
	if e.ChecksFencing && o.Fencing < e.fencing {
		return e.answer("the fencing number is stale")
	}
	e.fencing = max(e.fencing, o.Fencing)
	message := ""
	switch o.Action {
	case peer.GroupOrder_ACTION_STAGE:
		message = e.stage(o)
	case peer.GroupOrder_ACTION_PROMISE:
		message = e.promise(o)
	case peer.GroupOrder_ACTION_SWITCH:
		message = e.commit(o)
	case peer.GroupOrder_ACTION_ABANDON:
		e.abandon(o.MapVersion)
	default:
		message = "unknown action"
	}
	return e.answer(message)
}

func (e *Engine) answer(message string) Answer {
	return Answer{
		Accepted:   message == "",
		Step:       e.step,
		MapVersion: e.current.Version,
		Message:    message,
	}
}

func (e *Engine) stage(o *peer.GroupOrder) string {
	if o.MapVersion <= e.resolved {
		return "the change is already decided"
	}
	if e.staged == nil {
		e.staged = map[uint64][]*peer.RankPlacement{}
	}
	e.staged[o.MapVersion] = o.Placement
	return ""
}

func (e *Engine) promise(o *peer.GroupOrder) string {
	switch {
	case o.MapVersion <= e.resolved:
		return "the change is already decided"
	case e.staged[o.MapVersion] == nil:
		return "the map is not staged"
	case e.promised > e.resolved && e.promised != o.MapVersion:
		return "another change is open"
	case e.promised == o.MapVersion && e.holdStep == o.SwitchStep:
		return ""
	case e.step >= o.SwitchStep:
		return "the switch step has already started"
	case e.promised == o.MapVersion:
		return "another switch step is already promised"
	}
	e.promised, e.holdStep = o.MapVersion, o.SwitchStep
	return ""
}

// commit stores a committed map. A decision that arrives after the ranks have
// started its switch step with another map violates the protocol; the ranks then
// stop permanently instead of continuing with a wrong map.
func (e *Engine) commit(o *peer.GroupOrder) string {
	m := Map{Version: o.MapVersion, SwitchStep: o.SwitchStep, Placement: o.Placement}
	if len(m.Placement) == 0 {
		m.Placement = e.staged[m.Version]
	}
	if e.hasCommitted(m.Version) || m.Version <= e.current.Version {
		return ""
	}
	if len(m.Placement) == 0 {
		return "the map is not staged"
	}
	if e.current.Version != 0 && e.step >= m.SwitchStep {
		e.missedSwitch = true
		return "the switch step has started with another map"
	}
	if p := o.Previous; p != nil && len(e.committed) == 0 {
		e.addCommitted(Map{Version: p.MapVersion, SwitchStep: p.SwitchStep, Placement: p.Placement})
	}
	e.addCommitted(m)
	e.resolve(m.Version)
	return ""
}

func (e *Engine) addCommitted(m Map) {
	e.committed = append(e.committed, m)
	if len(e.committed) > 2 {
		e.committed = e.committed[len(e.committed)-2:]
	}
}

func (e *Engine) hasCommitted(version uint64) bool {
	for _, m := range e.committed {
		if m.Version == version {
			return true
		}
	}
	return false
}

// abandon releases every change up to a version that the ranks have not received
// as committed.
func (e *Engine) abandon(version uint64) { e.resolve(version) }

func (e *Engine) resolve(version uint64) {
	e.resolved = max(e.resolved, version)
	for v := range e.staged {
		if v <= e.resolved {
			delete(e.staged, v)
		}
	}
}

func (e *Engine) mapAt(step uint64) Map {
	for i := len(e.committed) - 1; i >= 0; i-- {
		if step >= e.committed[i].SwitchStep {
			return e.committed[i]
		}
	}
	return Map{}
}
