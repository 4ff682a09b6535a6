package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Plan compares a new intent with the current one and tells what each change
// would affect.
func (c *Calls) Plan(ctx context.Context, req *peer.PlanRequest) (*peer.PlanResponse, error) {
	term, err := c.confirms.wait(ctx)
	if err != nil {
		return nil, c.refuse("plan", err)
	}
	current := c.registry.Current()
	next, err := c.planned(current, req)
	if err != nil {
		return nil, c.refuse("plan", err)
	}
	servers, err := c.announced(term)
	if err != nil {
		return nil, c.refuse("plan", err)
	}
	canonical := next.Canonical()
	return &peer.PlanResponse{
		PlanId:       registry.PlanID(current.Revision, canonical),
		BaseRevision: current.Revision,
		Intent:       canonical,
		Changes:      describe(current.Intent, next, servers),
	}, nil
}

// planned returns the intent that the request asks for.
func (c *Calls) planned(current registry.Current, req *peer.PlanRequest) (intent.Intent, error) {
	if current.Err != nil {
		return intent.Intent{}, current.Err
	}
	if len(req.Changes) > 0 {
		if len(req.Intent) > 0 {
			return intent.Intent{}, fault.New(fault.BadRequest, "a plan is made from an intent or from changes, not from both")
		}
		return applyChanges(current.Intent, req.Changes)
	}
	next, err := intent.Parse(req.Intent)
	if err != nil {
		return intent.Intent{}, err
	}
	return next, c.checkRegion(next)
}

// Confirm makes a plan the next revision if its base revision is still the
// current one.
func (c *Calls) Confirm(ctx context.Context, req *peer.ConfirmRequest) (*peer.ConfirmResponse, error) {
	if err := c.checkConfirm(req); err != nil {
		return nil, c.refuse("confirm", err)
	}
	result, err := c.propose(ctx, registry.ConfirmCommand(c.now(), req))
	if err != nil {
		return nil, c.refuse("confirm", err)
	}
	res, err := registry.IntentAnswer(result)
	if err != nil {
		return nil, c.refuse("confirm", err)
	}
	c.logger.Info("confirmed", "revision", res.Revision, "operator", req.OperatorName, "operation", req.OperationId)
	c.alert()
	return res, nil
}

// Status tells what a confirmed leader knows of its region.
func (c *Calls) Status(ctx context.Context, _ *peer.StatusRequest) (*peer.StatusResponse, error) {
	term, err := c.confirms.wait(ctx)
	if err != nil {
		return nil, c.refuse("status", err)
	}
	st := c.log.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := c.leadIn(term)
	if err != nil {
		return nil, c.refuse("status", err)
	}
	current, stats, now := c.registry.Current(), c.registry.Stats(), c.now()
	return &peer.StatusResponse{
		Revision:          current.Revision,
		InForce:           l.table.InForce(now, current.Revision),
		Leader:            c.address,
		Term:              term,
		CommitIndex:       st.Commit,
		Nodes:             l.status(now),
		Intent:            current.Canonical,
		LedgerKeys:        uint64(stats.LedgerKeys),
		LedgerAnswerBytes: uint64(stats.LedgerAnswerBytes),
	}, nil
}

// Members tells the members of the control group.
func (c *Calls) Members(ctx context.Context, _ *peer.MembersRequest) (*peer.MembersResponse, error) {
	if _, err := c.confirms.wait(ctx); err != nil {
		return nil, c.refuse("members", err)
	}
	return c.members(), nil
}

// ChangeMember passes a change of members to the log.
func (c *Calls) ChangeMember(ctx context.Context, req *peer.ChangeMemberRequest) (*peer.MembersResponse, error) {
	if err := checkMember(req); err != nil {
		return nil, c.refuse("change_member", err)
	}
	if st := c.log.Status(); !st.IsLeader {
		return nil, c.refuse("change_member", notLeader(st))
	}
	if err := c.log.ChangeMember(ctx, req); err != nil {
		return nil, c.refuse("change_member", err)
	}
	return c.members(), nil
}

// ProposeMap passes a new expert map to the coordinator of groups.
func (c *Calls) ProposeMap(ctx context.Context, req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error) {
	if err := checkMap(req); err != nil {
		return nil, c.refuse("propose_map", err)
	}
	if c.groups.Propose == nil {
		return nil, c.refuse("propose_map", fault.New(fault.Unavailable, "this replica has no coordinator of expert maps"))
	}
	res, err := c.groups.Propose(ctx, req)
	if err != nil {
		return nil, c.refuse("propose_map", err)
	}
	return res, nil
}

func (c *Calls) members() *peer.MembersResponse {
	st := c.log.Status()
	return &peer.MembersResponse{Members: st.Members, Leader: st.Leader}
}

// announced returns the backend servers that the leader knows.
func (c *Calls) announced(term uint64) ([]announced, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := c.leadIn(term)
	if err != nil {
		return nil, err
	}
	var list []announced
	for _, row := range l.board.live() {
		list = append(list, announced{domain: row.agent.FailureDomain, server: row.server})
	}
	return list, nil
}

// alert wakes entries that wait for a new revision.
func (c *Calls) alert() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading != nil {
		c.leading.board.alert()
	}
}

func (l *leadership) status(now time.Time) []*peer.NodeStatus {
	list := make([]*peer.NodeStatus, 0, len(l.nodes))
	for _, node := range sortedNodes(l.nodes) {
		left, running := l.table.Remaining(now, lease.Node{ID: node.Id, Incarnation: node.Incarnation})
		s := &peer.NodeStatus{Node: node, RunningRevision: running, LeaseLeftMs: uint64(max(0, left.Milliseconds()))}
		for _, row := range l.board.agents[node.Id] {
			if !row.removed && row.agent.Incarnation == node.Incarnation {
				s.BackendServers = append(s.BackendServers, row.server)
			}
		}
		list = append(list, s)
	}
	return list
}

func sortedNodes(nodes map[lease.Node]*peer.Node) []*peer.Node {
	return slices.SortedFunc(maps.Values(nodes), func(a, b *peer.Node) int {
		return cmp.Or(cmp.Compare(a.Id, b.Id), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
