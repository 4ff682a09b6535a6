package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/ledger"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Claim asks the ledger for the right to run an attempt.
func (h *Handler) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	if err := checkClaim(req); err != nil {
		return nil, h.refuse("claim", err)
	}
	result, err := h.propose(ctx, registry.ClaimCommand(h.now(), req))
	if err != nil {
		return nil, h.refuse("claim", err)
	}
	return h.claimResponse("claim", req.Key, result)
}

// Reassign asks the ledger to replace an attempt that did not run.
func (h *Handler) Reassign(ctx context.Context, req *peer.ReassignRequest) (*peer.ClaimResponse, error) {
	if err := checkReassign(req); err != nil {
		return nil, h.refuse("reassign", err)
	}
	result, err := h.propose(ctx, registry.ReassignCommand(h.now(), req))
	if err != nil {
		return nil, h.refuse("reassign", err)
	}
	return h.claimResponse("reassign", req.Key, result)
}

// Complete records the outcome of an attempt. Of an answer that is too large to
// store, only the status enters the log.
func (h *Handler) Complete(ctx context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error) {
	if err := checkComplete(req); err != nil {
		return nil, h.refuse("complete", err)
	}
	if a := req.GetAnswer(); a != nil && (a.TooLarge || len(a.Body) > ledger.MaxAnswerBytes) {
		req.Outcome = &peer.CompleteRequest_Answer{Answer: &peer.StoredAnswer{Status: a.Status, TooLarge: true}}
	}
	result, err := h.propose(ctx, registry.CompleteCommand(h.now(), req))
	if err != nil {
		return nil, h.refuse("complete", err)
	}
	res, err := registry.DecodeCompleteResult(result)
	if err != nil {
		return nil, h.refuse("complete", err)
	}
	return res, nil
}

// Lookup returns the state of a key after a quorum has confirmed the leader.
func (h *Handler) Lookup(ctx context.Context, req *peer.LookupRequest) (*peer.ClaimResponse, error) {
	if err := checkKey(req.Key); err != nil {
		return nil, h.refuse("lookup", err)
	}
	if _, err := h.confirmer.wait(ctx); err != nil {
		return nil, h.refuse("lookup", err)
	}
	res := h.registry.Lookup(registry.UnixMilliseconds(h.now()), req.Key)
	res.Key = req.Key
	return res, nil
}

func (h *Handler) claimResponse(call string, key *peer.KeyRef, result []byte) (*peer.ClaimResponse, error) {
	res, err := registry.DecodeClaimResult(result)
	if err != nil {
		return nil, h.refuse(call, err)
	}
	res.Key = key
	h.scope.Tagged(map[string]string{"call": call, "state": res.State.String()}).Counter("claims").Inc(1)
	return res, nil
}

// propose returns the result of a command. An error that does not say whether
// the command was committed is reported as outcome_unknown.
func (h *Handler) propose(ctx context.Context, command []byte) ([]byte, error) {
	if command == nil {
		return nil, fault.New(fault.BadRequest, "the request contains text that is not valid UTF-8")
	}
	if st := h.log.Status(); !st.IsLeader {
		return nil, notLeader(st)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := h.log.Propose(ctx, command)
	var f *fault.Error
	switch {
	case err == nil:
		return result, nil
	case errors.As(err, &f) && (f.Ran == fault.RanNo || f.Kind == fault.OutcomeUnknown):
		return nil, err
	}
	return nil, fault.Wrap(err, fault.OutcomeUnknown, "the command was proposed, but its outcome is unknown")
}
