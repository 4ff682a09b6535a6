package runner

import (
	"context"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// agentAPI is the twirp service of the agent.
type agentAPI struct {
	role *Role
}

var _ peer.Agent = (*agentAPI)(nil)

// Cancel stops an attempt, or records a tombstone.
func (a *agentAPI) Cancel(_ context.Context, req *peer.CancelRequest) (*peer.CancelResponse, error) {
	if req.Attempt == nil {
		return nil, peer.ToTwirp(fault.New(fault.BadRequest, "cancellation has no attempt"))
	}
	effect := a.role.attempts.cancelAttempt(req)
	return &peer.CancelResponse{
		State: effect.State, AgentIncarnation: a.role.node.Incarnation, Answer: effect.Answer,
		Attempt: req.Attempt,
	}, nil
}

// Load reports on all backend servers of the host.
func (a *agentAPI) Load(context.Context, *peer.LoadRequest) (*peer.LoadResponse, error) {
	view := a.role.session.View()
	report := &peer.RenewRequest{}
	a.role.report(report)
	return &peer.LoadResponse{
		Agent: a.role.node, BackendServers: report.BackendServers, HasLease: view.LeaseErr == nil,
		RunningRevision: view.Revision, Window: report.Window,
	}, nil
}
