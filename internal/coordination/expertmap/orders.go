package expertmap

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// order returns the next order for the ranks of a backend server, or nil.
func (g *group) order(ranks []uint32, incarnation uint64) *peer.GroupOrder {
	for _, id := range ranks {
		r := g.ranks[id]
		if r == nil || r.incarnation != incarnation {
			return nil
		}
		if o := g.orderFor(r); o != nil {
			o.Group, o.Fencing, o.Incarnation = g.record.Group, g.record.Fencing, incarnation
			return o
		}
	}
	return nil
}

func (g *group) orderFor(r *rankState) *peer.GroupOrder {
	if o, wait := g.decisionOrder(r); o != nil || wait {
		return o
	}
	switch {
	case g.phase == staging && r.staged < g.version():
		return &peer.GroupOrder{
			Action:     peer.GroupOrder_ACTION_STAGE,
			MapVersion: g.version(),
			Placement:  g.placement,
		}
	case g.phase == promising && r.promised < g.version():
		return &peer.GroupOrder{
			Action:     peer.GroupOrder_ACTION_PROMISE,
			MapVersion: g.version(),
			SwitchStep: g.switchStep,
		}
	}
	return nil
}

// decisionOrder returns the order that announces a decision which a rank has not
// acknowledged; wait reports that the rank cannot take part in an open change
// yet.
//
// ABANDON releases every change up to its version that the rank has not received
// as committed, so it is sent only after the newest commit is acknowledged.
func (g *group) decisionOrder(r *rankState) (o *peer.GroupOrder, wait bool) {
	joining := r.mapVersion == 0 && g.record.Current.Version != 0
	if joining && (!g.established || g.phase != idle) && r.promised <= r.resolved {
		return nil, true
	}
	cur := g.record.Current
	switch {
	case r.resolved < cur.Version:
		return g.switchOrder(r), true
	case r.resolved < g.record.Version:
		return &peer.GroupOrder{
			Action:     peer.GroupOrder_ACTION_ABANDON,
			MapVersion: g.record.Version,
		}, true
	}
	return nil, r.mapVersion != cur.Version
}

// switchOrder returns the order that announces the newest committed map. A rank
// without a map gets the one before it in the same order, so that it has the map
// of every step.
func (g *group) switchOrder(r *rankState) *peer.GroupOrder {
	cur, prev := g.record.Current, g.record.Previous
	o := &peer.GroupOrder{
		Action:     peer.GroupOrder_ACTION_SWITCH,
		MapVersion: cur.Version,
		SwitchStep: cur.SwitchStep,
	}
	if r.staged < cur.Version {
		o.Placement = cur.Placement
	}
	if r.mapVersion == 0 && prev.Version != 0 {
		o.Previous = &peer.GroupMap{
			MapVersion: prev.Version, SwitchStep: prev.SwitchStep, Placement: prev.Placement,
		}
	}
	return o
}
