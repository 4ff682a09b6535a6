package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Map is a committed expert map of a group.
type Map struct {
	// Version is 0 for no map.
	Version uint64
	// SwitchStep is the first step that runs with the map.
	SwitchStep uint64
	Placement  []*peer.RankPlacement
}

// Record holds what the log has decided on a group. The zero value, with a group
// name, is that of a group without decisions.
type Record struct {
	Group string
	// Version is the newest version decided on, committed or abandoned.
	Version uint64
	// Fencing increases with each decision and is sent with the orders.
	Fencing uint64
	// Current is the newest committed map, Previous the one before it. Older
	// ones are never needed: a change starts only when all ranks have
	// switched to Current.
	Current, Previous Map
}

// Decision is the command that ends a change.
type Decision struct {
	Group string
	// Version is the version decided on. It applies only if it follows the
	// newest decided version by one.
	Version uint64
	// Commit makes Placement the map from SwitchStep on; otherwise the version
	// is abandoned and both are empty.
	Commit     bool
	SwitchStep uint64
	Placement  []*peer.RankPlacement
}

// Apply returns the record after a decision, and whether the decision was
// applied. It is deterministic, for use by the replicated state machine.
func (r Record) Apply(d Decision) (Record, bool) {
	if d.Group != r.Group || d.Version != r.Version+1 {
		return r, false
	}
	if d.Commit && d.SwitchStep <= r.Current.SwitchStep {
		return r, false
	}
	r.Version = d.Version
	r.Fencing++
	if d.Commit {
		r.Previous = r.Current
		r.Current = Map{Version: d.Version, SwitchStep: d.SwitchStep, Placement: d.Placement}
	}
	return r, true
}

// MapAt returns the map of a step; its version is 0 if the record has none for
// the step.
func (r Record) MapAt(step uint64) Map {
	for _, m := range []Map{r.Current, r.Previous} {
		if m.Version != 0 && step >= m.SwitchStep {
			return m
		}
	}
	return Map{}
}
