package control

import (
	"bytes"
	"context"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Renew grants a node a lease and returns the current revision. The quorum round
// begins after the renewal has arrived, so that a leader that was replaced before
// then cannot grant a lease.
func (h *Handler) Renew(ctx context.Context, req *peer.RenewRequest) (*peer.RenewResponse, error) {
	if err := h.checkRenew(req); err != nil {
		return nil, h.refuse("renew", err)
	}
	var reported uint64
	if h.groups.ObserveRenewal != nil && req.Node.Role == peer.Role_ROLE_RUNNER {
		reported = h.groups.ObserveRenewal(req)
	}
	term, err := h.confirmer.wait(ctx)
	if err != nil {
		return nil, h.refuse("renew", err)
	}
	current, err := h.grant(term, req)
	if err != nil {
		return nil, h.refuse("renew", err)
	}
	res := &peer.RenewResponse{
		LeaseMs:  uint64(h.leaseTiming.Duration.Milliseconds()),
		Revision: current.Revision,
		Fencing:  h.fencingNumbers(req.BackendServers),
		Leader:   h.address,
	}
	if req.RunningRevision < current.Revision {
		res.Config = configFor(req, current)
		h.scope.Counter("configs_sent").Inc(1)
	}
	if h.groups.Orders != nil && reported == term {
		res.GroupOrders = h.groups.Orders(term, req)
	}
	h.scope.Counter("renewals").Inc(1)
	return res, nil
}

// grant reads the revision and records the lease under the same lock, so that no
// lease on an older revision is recorded after a newer one was observed to be in
// force.
func (h *Handler) grant(term uint64, req *peer.RenewRequest) (registry.CurrentIntent, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, err := h.leaderStateOfTerm(term)
	if err != nil {
		return registry.CurrentIntent{}, err
	}
	current := h.registry.Current()
	if req.RunningRevision > current.Revision {
		return current, fault.New(fault.Conflict, "node %s runs revision %d, this control group has only %d",
			req.Node.Id, req.RunningRevision, current.Revision)
	}
	node := lease.Node{ID: req.Node.Id, Incarnation: req.Node.Incarnation}
	l.leases.Grant(h.now(), node, req.RunningRevision, current.Revision)
	l.nodes[node] = req.Node
	if req.Node.Role == peer.Role_ROLE_RUNNER {
		l.servers.applyReport(req.Node, req.Window, req.BackendServers)
	}
	return current, nil
}

// fencingNumbers returns the newest fencing numbers by the names of backend
// servers and groups. A backend server and a group with the same name share the
// higher number, since numbers only need to increase.
func (h *Handler) fencingNumbers(servers []*peer.BackendServer) map[string]uint64 {
	if len(servers) == 0 {
		return nil
	}
	numbers := make(map[string]uint64, len(servers))
	for _, s := range servers {
		server, group := h.registry.Fencing(s.Name, s.Group)
		numbers[s.Name] = max(numbers[s.Name], server)
		if group > 0 {
			numbers[s.Group] = max(numbers[s.Group], group)
		}
	}
	return numbers
}

// configFor returns the part of a configuration that a node needs. Most changes
// leave the client accounts unchanged, and at 7,900 accounts these are nearly all
// of the bytes, so an entry that has them gets only the rest.
func configFor(req *peer.RenewRequest, c registry.CurrentIntent) *peer.NodeConfig {
	if req.Node.Role == peer.Role_ROLE_RUNNER {
		return &peer.NodeConfig{Revision: c.Revision, Intent: c.CanonicalForAgents}
	}
	config := &peer.NodeConfig{Revision: c.Revision, Intent: c.Canonical, ClientAccountsDigest: c.AccountsDigest}
	if len(c.AccountsDigest) > 0 && bytes.Equal(req.ClientAccountsDigest, c.AccountsDigest) {
		config.Intent, config.SameClientAccounts = c.CanonicalForAgents, true
	}
	return config
}
