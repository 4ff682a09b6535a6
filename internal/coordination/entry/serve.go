package entry

import (
	"context"
	"errors"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/dispatch"
	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/protocol/caller"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// settleTimeout bounds the calls made for a request after its deadline.
	settleTimeout = 4 * time.Second
	// The wait before a lookup of the answer to another request with the same
	// key doubles with each lookup, between these bounds.
	minLookupWait = 20 * time.Millisecond
	maxLookupWait = 640 * time.Millisecond
)

// activeRequest is one request while it is being served.
type activeRequest struct {
	role   *Role
	req    *caller.Request
	w      *caller.Responder
	ledger *ledger
	// regions are those whose backend servers may be used.
	regions         []string
	prefix          *routing.Prefix
	estimatedTokens float64
	choice          routing.Choice
	tried           []routing.Choice
	sent            resumeState
}

// serve answers one request by performing the effects of its plan.
func (r *Role) serve(ctx context.Context, req *caller.Request, w *caller.Responder) error {
	a := &activeRequest{role: r, req: req, w: w, sent: resumeState{textKept: true}}
	if err := a.prepare(); err != nil {
		return err
	}
	defer a.release()
	plan := dispatch.New(dispatch.Request{ID: req.ID, Keyed: req.Key != "", Repeatable: req.Repeatable})
	var in dispatch.Input = dispatch.Start{}
	for {
		switch e := plan.Step(in).(type) {
		case dispatch.Answer:
			return nil
		case dispatch.Stored:
			if err := checkHead(e.Answer.Status, e.Answer.Headers); err != nil {
				r.count("failures", fault.OutcomeUnknown.String())
				r.log.Info("stored answer breaks the protocol", "request", req.ID, "error", err)
				return fault.Wrap(err, fault.OutcomeUnknown, "the answer stored for the key is invalid")
			}
			return w.WriteComplete(int(e.Answer.Status), e.Answer.Headers, e.Answer.Body)
		case dispatch.Fail:
			r.count("failures", e.Fault.Kind.String())
			return e.Fault
		case dispatch.Choose:
			in = a.choose(ctx, e)
		case dispatch.Send:
			in = a.send(ctx, e)
		case dispatch.Cancel:
			in = a.cancel(e)
		default:
			in = a.callLedger(ctx, e)
		}
	}
}

// prepare finds the ledger of the key and the inputs of the choice.
func (a *activeRequest) prepare() error {
	a.regions = a.req.Service.Regions
	if len(a.regions) == 0 {
		a.regions = []string{a.role.settings.Region}
	}
	if a.req.Key != "" {
		key := &peer.KeyRef{ClientAccount: a.req.ClientAccount, Service: a.req.Service.Name, Key: a.req.Key}
		home := homeRegion(a.req.Service, a.role.settings.Region, key)
		var err error
		if a.ledger, err = a.role.ledgerFor(home, key, a.req.Digest); err != nil {
			return err
		}
		// An agent stores the answer in the ledger of its own region.
		a.regions = []string{home}
	}
	if len(a.req.Prompt) > 0 {
		p := routing.NewPrefix(a.req.Service.Name, a.req.Prompt)
		a.prefix = &p
	}
	a.estimatedTokens = float64(a.req.PromptBytes)/bytesPerToken + float64(a.req.MaxTokens)
	return nil
}

// bytesPerToken is the usual length of a token of text, for estimates.
const bytesPerToken = 4

// stoppedInput returns the input for a context that has ended.
func stoppedInput(ctx context.Context, maybeSent bool) dispatch.Stopped {
	f := fault.New(fault.Cancelled, "the caller has disconnected")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f = fault.New(fault.DeadlineExceeded, "the deadline has passed")
	}
	return dispatch.Stopped{Fault: f, MaybeSent: maybeSent}
}

// choose waits for the request's turn and selects a backend server with its
// agent.
func (a *activeRequest) choose(ctx context.Context, e dispatch.Choose) dispatch.Input {
	a.release()
	if ctx.Err() != nil {
		return stoppedInput(ctx, false)
	}
	if !e.Reason.IsRetry() {
		if e.Reason == dispatch.First {
			a.role.recordFirstAttempt()
		}
	} else if !a.role.tryRetry() {
		a.role.count("retries_denied", e.Reason.String())
		return dispatch.NoChoice{Fault: a.retryBudgetFault(e.Reason)}
	}
	choice, err := a.acquire(ctx)
	if fault.Is(err, fault.Unavailable) && len(a.tried) > 0 && e.Reason == dispatch.Tombstone {
		// All were tried, and the agent of the last one answered but did not
		// refuse: the request was lost in transit, so it may be tried there again.
		a.tried = nil
		choice, err = a.acquire(ctx)
	}
	if err != nil {
		if ctx.Err() != nil {
			return stoppedInput(ctx, false)
		}
		return dispatch.NoChoice{Fault: fault.From(err)}
	}
	a.role.count("attempts", e.Reason.String())
	a.choice = choice
	return dispatch.Chosen{Agent: &peer.AttemptRef{
		AgentId: choice.Agent.Id, AgentIncarnation: choice.Agent.Incarnation,
		AgentAddress: choice.Agent.Address, BackendServer: choice.BackendServer,
	}}
}

// budgetRetryAfter is the Retry-After of a request that is not retried because
// the retry budget is spent: many requests fail then, and the backend servers
// need time to recover.
const budgetRetryAfter = time.Second

func (a *activeRequest) retryBudgetFault(r dispatch.Reason) *fault.Error {
	return fault.New(fault.RetryBudgetSpent, "the attempt failed (%v) and the retry budget is spent", r).
		WithRetryAfter(budgetRetryAfter)
}

// release records the end of the chosen dispatch, unless it has been recorded.
func (a *activeRequest) release() {
	if a.choice.Agent != nil {
		a.role.recordEnd(a.choice)
		a.choice = routing.Choice{}
	}
}

// cancel queries an agent about an attempt. It is not bound by the deadline,
// because the proof determines the error that the caller receives.
func (a *activeRequest) cancel(e dispatch.Cancel) dispatch.Input {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	state, answer, err := a.role.agents.cancel(ctx, e.Attempt, a.role.window(e.Attempt), e.KeepRunning)
	a.role.count("cancels", state.String())
	if err != nil {
		a.role.log.Debug("cancel failed", "request", e.Attempt.RequestId, "error", err)
	}
	return dispatch.Cancelled{State: state, Answer: answer}
}

// callLedger performs the effects that concern the key.
func (a *activeRequest) callLedger(ctx context.Context, e dispatch.Effect) dispatch.Input {
	var response *peer.ClaimResponse
	var f *fault.Error
	switch e := e.(type) {
	case dispatch.Claim:
		response, f = a.ledger.claim(ctx, e.Attempt)
	case dispatch.Reassign:
		response, f = a.ledger.reassign(ctx, e.Failed, e.Evidence, e.Next)
	case dispatch.Lookup:
		// The chosen backend server is not used: the answer to another request
		// with the key is awaited.
		a.release()
		wait := min(minLookupWait<<min(e.Round, 16), maxLookupWait)
		select {
		case <-ctx.Done():
			return stoppedInput(ctx, false)
		case <-time.After(wait):
		}
		response, f = a.ledger.lookup(ctx)
	case dispatch.Settle:
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := a.ledger.settle(ctx, e.Attempt, e.Evidence); err != nil {
			a.role.count("settle_failures", e.Evidence.String())
			a.role.log.Debug("settling the key failed", "request", e.Attempt.RequestId, "error", err)
		}
		return dispatch.Settled{}
	}
	switch {
	case f != nil && ctx.Err() != nil:
		return stoppedInput(ctx, false)
	case f != nil:
		return dispatch.LedgerUnavailable{Fault: f}
	}
	return dispatch.Claimed{Response: response}
}
