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
func (c *Handler) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	if err := checkClaim(req); err != nil {
		return nil, c.refuse("claim", err)
	}
	result, err := c.propose(ctx, registry.ClaimCommand(c.now(), req))
	if err != nil {
		return nil, c.refuse("claim", err)
	}
	return c.claimed("claim", req.Key, result)
}

// Reassign asks the ledger to replace an attempt that did not run.
func (c *Handler) Reassign(ctx context.Context, req *peer.ReassignRequest) (*peer.ClaimResponse, error) {
	if err := checkReassign(req); err != nil {
		return nil, c.refuse("reassign", err)
	}
	result, err := c.propose(ctx, registry.ReassignCommand(c.now(), req))
	if err != nil {
		return nil, c.refuse("reassign", err)
	}
	return c.claimed("reassign", req.Key, result)
}

// Complete records the end of an attempt. An answer that is too large to keep
// is cut off before it enters the log.
func (c *Handler) Complete(ctx context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error) {
	if err := checkComplete(req); err != nil {
		return nil, c.refuse("complete", err)
	}
	if a := req.GetAnswer(); a != nil && (a.TooLarge || len(a.Body) > ledger.MaxAnswerBytes) {
		req.Outcome = &peer.CompleteRequest_Answer{Answer: &peer.StoredAnswer{Status: a.Status, TooLarge: true}}
	}
	result, err := c.propose(ctx, registry.CompleteCommand(c.now(), req))
	if err != nil {
		return nil, c.refuse("complete", err)
	}
	res, err := registry.CompleteAnswer(result)
	if err != nil {
		return nil, c.refuse("complete", err)
	}
	return res, nil
}

// Lookup tells the state of a key after a quorum has confirmed the leader.
func (c *Handler) Lookup(ctx context.Context, req *peer.LookupRequest) (*peer.ClaimResponse, error) {
	if err := checkKey(req.Key); err != nil {
		return nil, c.refuse("lookup", err)
	}
	if _, err := c.confirms.wait(ctx); err != nil {
		return nil, c.refuse("lookup", err)
	}
	res := c.registry.Lookup(registry.Milliseconds(c.now()), req.Key)
	res.Key = req.Key
	return res, nil
}

func (c *Handler) claimed(call string, key *peer.KeyRef, result []byte) (*peer.ClaimResponse, error) {
	res, err := registry.ClaimAnswer(result)
	if err != nil {
		return nil, c.refuse(call, err)
	}
	res.Key = key
	c.scope.Tagged(map[string]string{"call": call, "state": res.State.String()}).Counter("claims").Inc(1)
	return res, nil
}

// propose returns the result of a command. An error that does not say whether
// the command was committed is reported as outcome_unknown.
func (c *Handler) propose(ctx context.Context, command []byte) ([]byte, error) {
	if command == nil {
		return nil, fault.New(fault.BadRequest, "the call holds text that is not UTF-8")
	}
	if st := c.log.Status(); !st.IsLeader {
		return nil, notLeader(st)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.log.Propose(ctx, command)
	var f *fault.Error
	switch {
	case err == nil:
		return result, nil
	case errors.As(err, &f) && (f.Ran == fault.RanNo || f.Kind == fault.OutcomeUnknown):
		return nil, err
	}
	return nil, fault.Wrap(err, fault.OutcomeUnknown, "the command was proposed, but its fate is not known")
}
