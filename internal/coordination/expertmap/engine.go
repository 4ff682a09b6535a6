package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Engine holds the rules that a backend server follows for its ranks. It is
// not safe for concurrent use. The zero value is a backend server that has
// just started: it has no map and starts no step.
type Engine struct {
	// Incarnation is drawn at random at each start. Orders for another one
	// are not followed.
	Incarnation uint64
	// ChecksFencing makes the backend server refuse an order whose fencing
	// number is below the greatest one seen.
	ChecksFencing bool

	fencing  uint64
	step     uint64
	current  Map
	staged   map[uint64][]*peer.RankPlacement
	known    []Map // decided maps, oldest first, at most two
	resolved uint64
	promised uint64
	holdAt   uint64
	missed   bool
}

// Answer is a backend server's answer to an order.
type Answer struct {
	// Accepted says that the order was followed, now or earlier.
	Accepted bool
	// Step is the newest step started.
	Step uint64
	// MapVersion is the map in use.
	MapVersion uint64
	// Message says why an order was not followed.
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
	return e.promised, e.holdAt
}

// Join tells a backend server that has just started which step its group has
// started last. A group whose ranks have all restarted goes on at the greatest
// switch step that its ranks know.
func (e *Engine) Join(step uint64) { e.step = max(e.step, step) }

// NewestSwitchStep returns the greatest switch step known.
func (e *Engine) NewestSwitchStep() uint64 {
	if len(e.known) == 0 {
		return 0
	}
	return e.known[len(e.known)-1].SwitchStep
}

// MayStart returns the map version for a step, and whether the ranks may start
// it: they hold without a map, and at a promised step without its decision.
func (e *Engine) MayStart(step uint64) (version uint64, ok bool) {
	if e.missed || e.holds(step) {
		return 0, false
	}
	m := e.mapAt(step)
	return m.Version, m.Version != 0
}

// Start records that the ranks have started a step for which MayStart said
// yes.
func (e *Engine) Start(step uint64) {
	e.step = max(e.step, step)
	e.current = e.mapAt(step)
}

// holds says whether the ranks wait for the decision on a change at a step.
func (e *Engine) holds(step uint64) bool {
	return e.promised > e.resolved && step >= e.holdAt
}

// Holding says whether the next step waits for a decision.
func (e *Engine) Holding() bool { return e.holds(e.step + 1) }

// HandleOrder follows an order or says why it does not.
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
		message = e.decide(o)
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
		return "the change is decided"
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
		return "the change is decided"
	case e.staged[o.MapVersion] == nil:
		return "the map is not staged"
	case e.promised > e.resolved && e.promised != o.MapVersion:
		return "another change is open"
	case e.promised == o.MapVersion && e.holdAt == o.SwitchStep:
		return ""
	case e.step >= o.SwitchStep:
		return "the step is started"
	case e.promised == o.MapVersion:
		return "another switch step is promised"
	}
	e.promised, e.holdAt = o.MapVersion, o.SwitchStep
	return ""
}

// decide takes a committed map. A decision that arrives after its switch step
// has been started with another map is against the protocol; the ranks then
// stop for good instead of going on with a wrong map.
func (e *Engine) decide(o *peer.GroupOrder) string {
	m := Map{Version: o.MapVersion, SwitchStep: o.SwitchStep, Placement: o.Placement}
	if len(m.Placement) == 0 {
		m.Placement = e.staged[m.Version]
	}
	if e.knows(m.Version) || m.Version <= e.current.Version {
		return ""
	}
	if len(m.Placement) == 0 {
		return "the map is not staged"
	}
	if e.current.Version != 0 && e.step >= m.SwitchStep {
		e.missed = true
		return "the switch step is started with another map"
	}
	if p := o.Previous; p != nil && len(e.known) == 0 {
		e.learn(Map{Version: p.MapVersion, SwitchStep: p.SwitchStep, Placement: p.Placement})
	}
	e.learn(m)
	e.resolve(m.Version)
	return ""
}

func (e *Engine) learn(m Map) {
	e.known = append(e.known, m)
	if len(e.known) > 2 {
		e.known = e.known[len(e.known)-2:]
	}
}

func (e *Engine) knows(version uint64) bool {
	for _, m := range e.known {
		if m.Version == version {
			return true
		}
	}
	return false
}

// abandon releases every change up to a version of which the ranks know no
// commit.
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
	for i := len(e.known) - 1; i >= 0; i-- {
		if step >= e.known[i].SwitchStep {
			return e.known[i]
		}
	}
	return Map{}
}
