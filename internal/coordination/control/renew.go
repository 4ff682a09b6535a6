package control

import (
	"bytes"
	"context"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Renew gives a node a lease together with the current revision. The quorum
// round begins after the renewal has come, so that a leader that was replaced
// before cannot grant.
func (c *Handler) Renew(ctx context.Context, req *peer.RenewRequest) (*peer.RenewResponse, error) {
	if err := c.checkRenew(req); err != nil {
		return nil, c.refuse("renew", err)
	}
	var reported uint64
	if c.groups.ObserveRenewal != nil && req.Node.Role == peer.Role_ROLE_RUNNER {
		reported = c.groups.ObserveRenewal(req)
	}
	term, err := c.confirms.wait(ctx)
	if err != nil {
		return nil, c.refuse("renew", err)
	}
	current, err := c.grant(term, req)
	if err != nil {
		return nil, c.refuse("renew", err)
	}
	res := &peer.RenewResponse{
		LeaseMs:  uint64(c.terms.Duration.Milliseconds()),
		Revision: current.Revision,
		Fencing:  c.fencing(req.BackendServers),
		Leader:   c.address,
	}
	if req.RunningRevision < current.Revision {
		res.Config = configFor(req, current)
		c.scope.Counter("configs_sent").Inc(1)
	}
	if c.groups.Orders != nil && reported == term {
		res.GroupOrders = c.groups.Orders(term, req)
	}
	c.scope.Counter("renewals").Inc(1)
	return res, nil
}

// grant records the lease under the same lock under which the revision is
// read, so that no lease on an older revision is recorded after a newer one
// was seen to be in force.
func (c *Handler) grant(term uint64, req *peer.RenewRequest) (registry.Current, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := c.leadIn(term)
	if err != nil {
		return registry.Current{}, err
	}
	current := c.registry.Current()
	if req.RunningRevision > current.Revision {
		return current, fault.New(fault.Conflict, "node %s runs revision %d, this control group has only %d",
			req.Node.Id, req.RunningRevision, current.Revision)
	}
	node := lease.Node{ID: req.Node.Id, Incarnation: req.Node.Incarnation}
	l.table.Grant(c.now(), node, req.RunningRevision, current.Revision)
	l.nodes[node] = req.Node
	if req.Node.Role == peer.Role_ROLE_RUNNER {
		l.board.report(req.Node, req.Window, req.BackendServers)
	}
	return current, nil
}

// fencing returns the newest numbers by the names of backend servers and
// groups. A backend server and a group with the same name share the higher
// number; numbers only need to grow.
func (c *Handler) fencing(servers []*peer.BackendServer) map[string]uint64 {
	if len(servers) == 0 {
		return nil
	}
	numbers := make(map[string]uint64, len(servers))
	for _, s := range servers {
		server, group := c.registry.Fencing(s.Name, s.Group)
		numbers[s.Name] = max(numbers[s.Name], server)
		if group > 0 {
			numbers[s.Group] = max(numbers[s.Group], group)
		}
	}
	return numbers
}

// configFor returns the part of a configuration that a node needs. Most changes
// leave the client accounts as they are, and at 7,900 accounts these are nearly
// all of the bytes, so an entry that has them gets the rest only.
func configFor(req *peer.RenewRequest, c registry.Current) *peer.NodeConfig {
	if req.Node.Role == peer.Role_ROLE_RUNNER {
		return &peer.NodeConfig{Revision: c.Revision, Intent: c.ForAgents}
	}
	config := &peer.NodeConfig{Revision: c.Revision, Intent: c.Canonical, ClientAccountsDigest: c.AccountsDigest}
	if len(c.AccountsDigest) > 0 && bytes.Equal(req.ClientAccountsDigest, c.AccountsDigest) {
		config.Intent, config.SameClientAccounts = c.ForAgents, true
	}
	return config
}
