package registrar

import (
	"context"
	"time"
	"unicode/utf8"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// interruptionSettle is how long after an interruption of the process orders are
	// refused that may have waited for it in a buffer.
	interruptionSettle = time.Second
	// operatorCheckTime is how long an order waits for the end of its connection. A
	// link that was cut delivers the order first, and the end a few round trips
	// later.
	operatorCheckTime = 50 * time.Millisecond
)

// Drain drains a failure domain or returns it to service. An order has no version:
// one that its operator has given up, and that another registrar may have carried
// out since, must not undo a later one. It is refused if it may be that old, with
// an error after which the operator may repeat it.
func (r *Registrar) Drain(ctx context.Context, req *peer.DrainRequest) (*peer.DrainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := checkDrain(req)
	order := &peer.DrainRequest{FailureDomain: req.FailureDomain, Drained: req.Drained, Forwarded: true, KnownIndex: req.KnownIndex}
	if err == nil && !req.Forwarded {
		known := r.drainIndex()
		order.KnownIndex = &known
		err = r.checkWanted(ctx)
	}
	if err == nil {
		err = r.onLeader(ctx, req.Forwarded, func(log *replica.Replica, state *registry.Registry) error {
			return r.proposeDrain(ctx, log, state, order)
		}, func(leader peer.Directory) error {
			_, err := leader.Drain(ctx, order)
			return err
		})
	}
	r.log.Info("drain request", "failure_domain", req.FailureDomain, "drained", req.Drained, "forwarded", req.Forwarded, "known_index", order.GetKnownIndex(), "error", err)
	if err != nil {
		return nil, r.refuse("drain", err)
	}
	return &peer.DrainResponse{}, nil
}

func checkDrain(req *peer.DrainRequest) error {
	if req.FailureDomain == "" || !utf8.ValidString(req.FailureDomain) {
		return fault.New(fault.BadRequest, "drain request without a failure domain, or with a name that is not UTF-8")
	}
	return nil
}

// drainIndex returns the index of the newest drained failure domains seen.
func (r *Registrar) drainIndex() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drained.Index
}

// checkWanted returns an error if the operator may have given up an order that was
// just read from its connection.
func (r *Registrar) checkWanted(ctx context.Context) error {
	if length, ok := r.interruptions.Recent(interruptionSettle); ok {
		return fault.New(fault.Unavailable, "this registrar was interrupted for %d ms, the order may be old", length.Milliseconds())
	}
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Cancelled, "the operator has disconnected")
	case <-time.After(operatorCheckTime):
		return nil
	}
}

// proposeDrain proposes an order unless the failure domain was changed after the
// index that the receiving registrar knew; registrars of earlier builds send none.
// Orders are proposed one at a time, so that none is committed between the check and
// the proposal.
func (r *Registrar) proposeDrain(ctx context.Context, log *replica.Replica, state *registry.Registry, order *peer.DrainRequest) error {
	select {
	case r.drainProposal <- struct{}{}:
		defer func() { <-r.drainProposal }()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.NoQuorum, "an earlier order is not committed yet")
	}
	if _, err := log.ConfirmLeadership(ctx); err != nil {
		return err
	}
	// An order that changes nothing is proposed too: an earlier one may still be in
	// the log without being committed.
	drained, changed := state.DrainState(order.FailureDomain)
	if drained != order.Drained && order.KnownIndex != nil && changed > *order.KnownIndex {
		return fault.New(fault.Unavailable, "failure domain %s was changed at index %d, after the index %d that the order is based on",
			order.FailureDomain, changed, *order.KnownIndex)
	}
	result, err := log.Propose(ctx, registry.DrainCommand(time.Now(), order.FailureDomain, order.Drained))
	if err != nil {
		return err
	}
	return registry.DecodeDrainResult(result)
}
