package registrar

import (
	"context"
	"maps"
	"slices"

	"oleanderrack.example/oleanderrack/internal/coordination/ranks"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/directory"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Groups returns the expert-parallel groups whose ranks have all announced
// themselves in one epoch.
func (r *Registrar) Groups() []ranks.Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	byGroup := map[string]map[uint32]*peer.Announcement{}
	r.table.Entries(func(e *directory.Entry) {
		g := e.Announcement.Group
		if g == nil || g.Broken || g.Size == 0 {
			return
		}
		members := byGroup[g.Name]
		if members == nil {
			members = map[uint32]*peer.Announcement{}
			byGroup[g.Name] = members
		}
		if old := members[g.Rank]; old == nil || old.Group.Epoch < g.Epoch {
			members[g.Rank] = e.Announcement
		}
	})
	var groups []ranks.Group
	for _, name := range slices.Sorted(maps.Keys(byGroup)) {
		if g, ok := completeGroup(name, byGroup[name]); ok {
			groups = append(groups, g)
		}
	}
	return groups
}

func completeGroup(name string, members map[uint32]*peer.Announcement) (ranks.Group, bool) {
	first := members[0]
	if first == nil || len(members) != int(first.Group.Size) {
		return ranks.Group{}, false
	}
	g := ranks.Group{Name: name, Service: first.Service, Epoch: first.Group.Epoch}
	for i := range first.Group.Size {
		m := members[i]
		if m == nil || m.Group.Epoch != g.Epoch {
			return ranks.Group{}, false
		}
		g.Ranks = append(g.Ranks, ranks.Rank{ID: m.Id, Service: m.Service, Address: m.Address})
	}
	return g, true
}

// ConfirmLeadership returns the term in which a quorum has confirmed, after the
// call began, that this registrar is the leader.
func (r *Registrar) ConfirmLeadership(ctx context.Context) (uint64, error) {
	log, _, err := r.supervisor.get()
	if err != nil {
		return 0, err
	}
	if !log.Status().IsLeader {
		return 0, fault.New(fault.NotLeader, "this registrar is not the leader")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return log.ConfirmLeadership(ctx)
}

// Catalog returns the newest catalog seen.
func (r *Registrar) Catalog() registry.Catalog {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog
}
