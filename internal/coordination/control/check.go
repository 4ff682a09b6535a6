package control

import (
	"bytes"
	"net"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Limits on requests. A host runs a handful of backend servers; names of 64
// characters are the longest that an intent accepts.
const (
	maxNameBytes      = 64
	maxIDBytes        = 128
	maxAddressBytes   = 256
	maxKeyBytes       = 256
	maxBackendServers = 64
	maxListLength     = 256 // adapters or ranks of a backend server
	digestBytes       = 32
	maxPlacement      = 4096 // ranks of an expert map
	maxExperts        = 1 << 16
	maxTokens         = 1 << 62
)

func badRequest(format string, args ...any) error {
	return fault.New(fault.BadRequest, format, args...)
}

func checkText(field, text string, limit int) error {
	if text == "" {
		return badRequest("%s is empty", field)
	}
	if len(text) > limit {
		return badRequest("%s has %d bytes, at most %d are accepted", field, len(text), limit)
	}
	return nil
}

func checkAddress(field, address string) error {
	if err := checkText(field, address, maxAddressBytes); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return badRequest("%s %q is no host:port", field, address)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *Handler) checkNode(n *peer.Node) error {
	if n == nil {
		return badRequest("node is missing")
	}
	if n.Incarnation == 0 {
		return badRequest("node.incarnation is 0")
	}
	if n.Role != peer.Role_ROLE_ENTRY && n.Role != peer.Role_ROLE_RUNNER {
		return badRequest("node.role %d is unknown", n.Role)
	}
	if n.Region != h.region {
		return fault.New(fault.Forbidden, "node %q is in region %q, this control group is in region %q", n.Id, n.Region, h.region)
	}
	return firstError(
		checkText("node.id", n.Id, maxIDBytes),
		checkAddress("node.address", n.Address),
		checkText("node.failure_domain", n.FailureDomain, maxNameBytes),
	)
}

func (h *Handler) checkRenew(req *peer.RenewRequest) error {
	if err := h.checkNode(req.Node); err != nil {
		return err
	}
	if req.Node.Role == peer.Role_ROLE_ENTRY && len(req.BackendServers) > 0 {
		return badRequest("an entry must not report backend servers")
	}
	if len(req.BackendServers) > maxBackendServers {
		return badRequest("node %q reports %d backend servers, at most %d are accepted", req.Node.Id, len(req.BackendServers), maxBackendServers)
	}
	if err := checkAcks(req.GroupAcks); err != nil {
		return err
	}
	seen := make(map[string]bool, len(req.BackendServers))
	for _, s := range req.BackendServers {
		if err := checkBackendServer(s); err != nil {
			return err
		}
		if seen[s.Name] {
			return badRequest("backend server %q stands twice", s.Name)
		}
		seen[s.Name] = true
	}
	return nil
}

func checkAcks(acks []*peer.GroupAck) error {
	if len(acks) > maxBackendServers {
		return badRequest("%d group acknowledgements, at most %d are accepted", len(acks), maxBackendServers)
	}
	for _, a := range acks {
		if err := checkText("group_acks.group", a.GetGroup(), maxNameBytes); err != nil {
			return err
		}
		if len(a.Ranks) > maxListLength {
			return badRequest("an acknowledgement of group %q has %d ranks, at most %d are accepted", a.Group, len(a.Ranks), maxListLength)
		}
	}
	return nil
}

func checkBackendServer(s *peer.BackendServer) error {
	if s == nil {
		return badRequest("a backend server is empty")
	}
	if len(s.Adapters) > maxListLength || len(s.Ranks) > maxListLength {
		return badRequest("backend server %q has %d adapters and %d ranks, at most %d are accepted", s.Name, len(s.Adapters), len(s.Ranks), maxListLength)
	}
	for _, a := range s.Adapters {
		if err := checkText("backend_server.adapters", a, maxIDBytes); err != nil {
			return err
		}
	}
	if s.MemoryTokens > maxTokens || s.GetLoad().GetTokensLimit() > maxTokens || s.GetLoad().GetTokensReserved() > maxTokens {
		return badRequest("backend server %q reports memory tokens that are out of range", s.Name)
	}
	if len(s.Model) > maxIDBytes || len(s.Version) > maxIDBytes || len(s.Group) > maxNameBytes {
		return badRequest("backend server %q has a model, version or group that is too long", s.Name)
	}
	return firstError(
		checkText("backend_server.name", s.Name, maxNameBytes),
		checkText("backend_server.service", s.Service, maxNameBytes),
	)
}

func checkKey(k *peer.KeyRef) error {
	if k == nil {
		return badRequest("key is missing")
	}
	return firstError(
		checkText("key.client_account", k.ClientAccount, maxNameBytes),
		checkText("key.service", k.Service, maxNameBytes),
		checkText("key.key", k.Key, maxKeyBytes),
	)
}

func checkAttempt(field string, a *peer.AttemptRef) error {
	if a == nil {
		return badRequest("%s is missing", field)
	}
	if a.Number == 0 || a.AgentIncarnation == 0 {
		return badRequest("%s has number %d and agent incarnation %d, neither may be 0", field, a.Number, a.AgentIncarnation)
	}
	if len(a.AgentAddress) > maxAddressBytes {
		return badRequest("%s.agent_address is too long", field)
	}
	return firstError(
		checkText(field+".request_id", a.RequestId, maxIDBytes),
		checkText(field+".agent_id", a.AgentId, maxIDBytes),
		checkText(field+".backend_server", a.BackendServer, maxNameBytes),
	)
}

func checkDigest(digest []byte) error {
	if len(digest) != digestBytes {
		return badRequest("digest has %d bytes, want %d", len(digest), digestBytes)
	}
	return nil
}

func checkClaim(req *peer.ClaimRequest) error {
	return firstError(checkKey(req.Key), checkDigest(req.Digest), checkAttempt("attempt", req.Attempt))
}

func checkReassign(req *peer.ReassignRequest) error {
	if err := firstError(
		checkKey(req.Key), checkDigest(req.Digest), checkAttempt("failed", req.Failed), checkAttempt("next", req.Next),
		checkEvidence(req.Evidence),
	); err != nil {
		return err
	}
	if req.Next.Number != req.Failed.Number+1 {
		return badRequest("attempt %d does not follow attempt %d", req.Next.Number, req.Failed.Number)
	}
	return nil
}

func checkEvidence(e peer.NotRunEvidence) error {
	switch e {
	case peer.NotRunEvidence_NOT_RUN_EVIDENCE_REFUSED,
		peer.NotRunEvidence_NOT_RUN_EVIDENCE_TOMBSTONE,
		peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT:
		return nil
	}
	return badRequest("evidence %d is unknown", e)
}

func checkComplete(req *peer.CompleteRequest) error {
	if err := firstError(checkKey(req.Key), checkAttempt("attempt", req.Attempt)); err != nil {
		return err
	}
	switch outcome := req.Outcome.(type) {
	case *peer.CompleteRequest_Answer:
		if s := outcome.Answer.GetStatus(); s < 100 || s > 999 {
			return badRequest("answer.status %d is not an HTTP status", s)
		}
		return nil
	case *peer.CompleteRequest_NotRun:
		return checkEvidence(outcome.NotRun)
	case *peer.CompleteRequest_Unknown:
		if outcome.Unknown {
			return nil
		}
	}
	return badRequest("outcome is missing")
}

// checkConfirm requires that the intent is in canonical form and that the plan id
// belongs to it.
func (h *Handler) checkConfirm(req *peer.ConfirmRequest) error {
	if err := firstError(
		checkText("operation_id", req.OperationId, maxIDBytes),
		checkText("operator_name", req.OperatorName, maxIDBytes),
	); err != nil {
		return err
	}
	in, err := intent.Parse(req.Intent)
	if err != nil {
		return err
	}
	if err := h.checkRegion(in); err != nil {
		return err
	}
	if canonical := in.Canonical(); !bytes.Equal(canonical, req.Intent) {
		return badRequest("the intent does not match the plan: it is not in canonical form")
	}
	if req.PlanId != registry.PlanID(req.BaseRevision, req.Intent) {
		return badRequest("plan id %q does not match base revision %d and this intent", req.PlanId, req.BaseRevision)
	}
	return nil
}

func (h *Handler) checkRegion(in intent.Intent) error {
	if in.Region != h.region {
		return badRequest("the intent is for region %q, this control group is in region %q", in.Region, h.region)
	}
	return nil
}

func checkMember(req *peer.ChangeMemberRequest) error {
	if req.Member == nil || req.Member.Id == 0 {
		return badRequest("member.id is missing")
	}
	switch req.Action {
	case peer.ChangeMemberRequest_ACTION_ADD_LEARNER:
		return firstError(
			checkAddress("member.address", req.Member.Address),
			checkText("member.failure_domain", req.Member.FailureDomain, maxNameBytes),
		)
	case peer.ChangeMemberRequest_ACTION_PROMOTE, peer.ChangeMemberRequest_ACTION_REMOVE:
		return nil
	}
	return badRequest("action %d is unknown", req.Action)
}

func checkProposeMap(req *peer.ProposeMapRequest) error {
	if err := firstError(
		checkText("group", req.Group, maxNameBytes),
		checkText("operation_id", req.OperationId, maxIDBytes),
	); err != nil {
		return err
	}
	if len(req.Placement) == 0 || len(req.Placement) > maxPlacement {
		return badRequest("placement has %d ranks, want 1 to %d", len(req.Placement), maxPlacement)
	}
	for _, p := range req.Placement {
		if p == nil || len(p.Experts) > maxExperts {
			return badRequest("placement contains a rank that is empty or has too many experts")
		}
	}
	return nil
}
