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

// Plan compares a new intent with the current one and returns the changes, each
// with what it would affect.
func (h *Handler) Plan(ctx context.Context, req *peer.PlanRequest) (*peer.PlanResponse, error) {
	term, err := h.confirmer.wait(ctx)
	if err != nil {
		return nil, h.refuse("plan", err)
	}
	current := h.registry.Current()
	next, err := h.plannedIntent(current, req)
	if err != nil {
		return nil, h.refuse("plan", err)
	}
	servers, err := h.announcedServers(term)
	if err != nil {
		return nil, h.refuse("plan", err)
	}
	canonical := next.Canonical()
	return &peer.PlanResponse{
		PlanId:       registry.PlanID(current.Revision, canonical),
		BaseRevision: current.Revision,
		Intent:       canonical,
		Changes:      plannedChanges(current.Intent, next, servers),
	}, nil
}

// plannedIntent returns the intent that the request asks for.
func (h *Handler) plannedIntent(current registry.CurrentIntent, req *peer.PlanRequest) (intent.Intent, error) {
	if current.Err != nil {
		return intent.Intent{}, current.Err
	}
	if len(req.Changes) > 0 {
		if len(req.Intent) > 0 {
			return intent.Intent{}, fault.New(fault.BadRequest, "a plan must be requested with an intent or with changes, not with both")
		}
		return applyChanges(current.Intent, req.Changes)
	}
	next, err := intent.Parse(req.Intent)
	if err != nil {
		return intent.Intent{}, err
	}
	return next, h.checkRegion(next)
}

// Confirm makes a plan the next revision if its base revision is still the
// current one.
func (h *Handler) Confirm(ctx context.Context, req *peer.ConfirmRequest) (*peer.ConfirmResponse, error) {
	if err := h.checkConfirm(req); err != nil {
		return nil, h.refuse("confirm", err)
	}
	result, err := h.propose(ctx, registry.ConfirmCommand(h.now(), req))
	if err != nil {
		return nil, h.refuse("confirm", err)
	}
	res, err := registry.DecodeConfirmResult(result)
	if err != nil {
		return nil, h.refuse("confirm", err)
	}
	h.logger.Info("confirmed", "revision", res.Revision, "operator", req.OperatorName, "operation", req.OperationId)
	h.wakeWatchers()
	return res, nil
}

// Status returns the state of the region after a quorum has confirmed the leader.
func (h *Handler) Status(ctx context.Context, _ *peer.StatusRequest) (*peer.StatusResponse, error) {
	term, err := h.confirmer.wait(ctx)
	if err != nil {
		return nil, h.refuse("status", err)
	}
	st := h.log.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	l, err := h.leaderStateOfTerm(term)
	if err != nil {
		return nil, h.refuse("status", err)
	}
	current, stats, now := h.registry.Current(), h.registry.Stats(), h.now()
	return &peer.StatusResponse{
		Revision:          current.Revision,
		InForce:           l.leases.InForce(now, current.Revision),
		Leader:            h.address,
		Term:              term,
		CommitIndex:       st.Commit,
		Nodes:             l.nodeStatuses(now),
		Intent:            current.Canonical,
		LedgerKeys:        uint64(stats.LedgerKeys),
		LedgerAnswerBytes: uint64(stats.LedgerAnswerBytes),
	}, nil
}

// Members returns the members of the control group after a quorum has confirmed
// the leader.
func (h *Handler) Members(ctx context.Context, _ *peer.MembersRequest) (*peer.MembersResponse, error) {
	if _, err := h.confirmer.wait(ctx); err != nil {
		return nil, h.refuse("members", err)
	}
	return h.members(), nil
}

// ChangeMember forwards a membership change to the log.
func (h *Handler) ChangeMember(ctx context.Context, req *peer.ChangeMemberRequest) (*peer.MembersResponse, error) {
	if err := checkMember(req); err != nil {
		return nil, h.refuse("change_member", err)
	}
	if st := h.log.Status(); !st.IsLeader {
		return nil, h.refuse("change_member", notLeader(st))
	}
	if err := h.log.ChangeMember(ctx, req); err != nil {
		return nil, h.refuse("change_member", err)
	}
	return h.members(), nil
}

// ProposeMap forwards a new expert map to the group coordinator.
func (h *Handler) ProposeMap(ctx context.Context, req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error) {
	if err := checkProposeMap(req); err != nil {
		return nil, h.refuse("propose_map", err)
	}
	if h.groups.Propose == nil {
		return nil, h.refuse("propose_map", fault.New(fault.Unavailable, "this replica has no expert map coordinator"))
	}
	res, err := h.groups.Propose(ctx, req)
	if err != nil {
		return nil, h.refuse("propose_map", err)
	}
	return res, nil
}

func (h *Handler) members() *peer.MembersResponse {
	st := h.log.Status()
	return &peer.MembersResponse{Members: st.Members, Leader: st.Leader}
}

// announcedServers returns the backend servers announced to the leader.
func (h *Handler) announcedServers(term uint64) ([]announcedServer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, err := h.leaderStateOfTerm(term)
	if err != nil {
		return nil, err
	}
	var list []announcedServer
	for _, row := range l.servers.liveRows() {
		list = append(list, announcedServer{domain: row.agent.FailureDomain, server: row.server})
	}
	return list, nil
}

// wakeWatchers wakes Watch calls after a new revision.
func (h *Handler) wakeWatchers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader != nil {
		h.leader.servers.wakeWatchers()
	}
}

func (l *leaderState) nodeStatuses(now time.Time) []*peer.NodeStatus {
	list := make([]*peer.NodeStatus, 0, len(l.nodes))
	for _, node := range sortedNodes(l.nodes) {
		remaining, running := l.leases.Remaining(now, lease.Node{ID: node.Id, Incarnation: node.Incarnation})
		s := &peer.NodeStatus{Node: node, RunningRevision: running, LeaseLeftMs: uint64(max(0, remaining.Milliseconds()))}
		for _, row := range l.servers.rowsByAgent[node.Id] {
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
