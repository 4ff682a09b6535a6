package registry

import (
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// decideGroup applies the decision that ends a change of an expert map. Each
// version is decided once, so ranks never receive orders both to switch to it
// and to keep their map. A decision that arrives too late changes nothing and
// gets the current record. A repeated decision wins again.
func (r *Registry) decideGroup(index uint64, d *GroupDecision) *Result {
	g := r.groups[d.Group]
	if g == nil {
		g = &GroupRecord{Group: d.Group}
	}
	next, won := nextRecord(g, index, d)
	if next != g {
		r.groups[d.Group] = next
	}
	return &Result{Result: &Result_Group{Group: &GroupResult{Record: next, Won: won}}}
}

// nextRecord returns the record after a decision, and whether the decision won.
func nextRecord(g *GroupRecord, index uint64, d *GroupDecision) (*GroupRecord, bool) {
	if d.MapVersion == g.Version && g.Version > 0 {
		return g, isRepeated(g, d)
	}
	if d.MapVersion != g.Version+1 || !d.Abandon && d.SwitchStep <= g.Current.GetSwitchStep() {
		return g, false
	}
	next := &GroupRecord{Group: g.Group, Version: d.MapVersion, Fencing: index, Current: g.Current, Previous: g.Previous}
	if !d.Abandon {
		next.Previous = g.Current
		next.Current = &ExpertMap{Version: d.MapVersion, SwitchStep: d.SwitchStep, Placement: d.Placement}
	}
	return next, true
}

// isRepeated reports whether a decision equals the newest one.
func isRepeated(g *GroupRecord, d *GroupDecision) bool {
	if d.Abandon || g.Current.GetVersion() != g.Version {
		return d.Abandon && g.Current.GetVersion() != g.Version
	}
	return proto.Equal(g.Current, &ExpertMap{Version: d.MapVersion, SwitchStep: d.SwitchStep, Placement: d.Placement})
}

// issueFencing issues a new fencing number for a backend server.
func (r *Registry) issueFencing(index uint64, f *Fence) *Result {
	if _, ok := r.fencing[f.Target]; !ok && len(r.fencing) >= maxFencedServers {
		return failedResult(fault.New(fault.Overloaded, "limit of %d backend servers with fencing numbers reached", maxFencedServers))
	}
	r.fencing[f.Target] = index
	return &Result{Result: &Result_Fencing{Fencing: index}}
}

// Group returns the record of a group, and false if there is none. The value is
// shared and must not be modified.
func (r *Registry) Group(name string) (*GroupRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	g, ok := r.groups[name]
	return g, ok
}

// Groups returns the records of all groups, sorted by name. The values are
// shared and must not be modified.
func (r *Registry) Groups() []*GroupRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return sortedByName(r.groups)
}

// Fencing returns the newest fencing numbers of a backend server and of a group.
// That of a backend server is at least the index of the current revision, since
// a revision may change what the backend server has to load.
func (r *Registry) Fencing(backendServer, group string) (serverNumber, groupNumber uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	serverNumber = max(r.fencing[backendServer], r.current.Index)
	if g, ok := r.groups[group]; ok && group != "" {
		groupNumber = g.Fencing
	}
	return serverNumber, groupNumber
}
