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
	// settleTimeout bounds what is done for a request after its deadline.
	settleTimeout = 4 * time.Second
	// The waits between look-ups for another arrival's answer double between
	// these bounds.
	minLookupWait = 20 * time.Millisecond
	maxLookupWait = 640 * time.Millisecond
)

// arrival is one request on its way.
type arrival struct {
	role   *Role
	req    *caller.Request
	w      *caller.Responder
	ledger *ledger
	// regions are those whose backend servers may be used.
	regions []string
	prefix  *routing.Prefix
	tokens  float64
	choice  routing.Choice
	tried   []routing.Choice
	// text and tokens are what the caller has of a stream; kept is false when
	// the text has grown too long to resume from.
	sent resumeState
}

// serve answers one request: it performs the effects of its plan.
func (r *Role) serve(ctx context.Context, req *caller.Request, w *caller.Responder) error {
	a := &arrival{role: r, req: req, w: w, sent: resumeState{kept: true}}
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
			return w.Whole(int(e.Answer.Status), e.Answer.Headers, e.Answer.Body)
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
			in = a.askLedger(ctx, e)
		}
	}
}

// prepare finds the ledger and what the choice depends on.
func (a *arrival) prepare() error {
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
		// An agent writes the answer to the ledger of its own region.
		a.regions = []string{home}
	}
	if len(a.req.Prompt) > 0 {
		p := routing.NewPrefix(a.req.Service.Name, a.req.Prompt)
		a.prefix = &p
	}
	a.tokens = float64(a.req.PromptBytes)/bytesPerToken + float64(a.req.MaxTokens)
	return nil
}

// bytesPerToken is the usual length of a token of text, for estimates.
const bytesPerToken = 4

// stopped returns the input for a context that has ended.
func stopped(ctx context.Context, maybeSent bool) dispatch.Stopped {
	f := fault.New(fault.Cancelled, "the caller is gone")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f = fault.New(fault.DeadlineExceeded, "the deadline has passed")
	}
	return dispatch.Stopped{Fault: f, MaybeSent: maybeSent}
}

// choose picks an agent when it is the request's turn.
func (a *arrival) choose(ctx context.Context, e dispatch.Choose) dispatch.Input {
	a.release()
	if ctx.Err() != nil {
		return stopped(ctx, false)
	}
	if !e.Reason.IsRetry() {
		if e.Reason == dispatch.First {
			a.role.first()
		}
	} else if !a.role.retry() {
		a.role.count("retries_denied", e.Reason.String())
		return dispatch.NoChoice{Fault: a.overBudget(e.Reason)}
	}
	choice, err := a.acquire(ctx)
	if fault.Is(err, fault.Unavailable) && len(a.tried) > 0 && e.Reason == dispatch.Tombstone {
		// None is left that was not tried, and the last one lives and did not
		// refuse: the request was lost on the way.
		a.tried = nil
		choice, err = a.acquire(ctx)
	}
	if err != nil {
		if ctx.Err() != nil {
			return stopped(ctx, false)
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

// budgetRetryAfter is the advice when retries are used up: many requests fail
// then, and the backend servers need a moment.
const budgetRetryAfter = time.Second

func (a *arrival) overBudget(r dispatch.Reason) *fault.Error {
	return fault.New(fault.RetryBudgetSpent, "the attempt failed (%v) and too many requests are being retried", r).
		WithRetryAfter(budgetRetryAfter)
}

// release ends the count of the last choice.
func (a *arrival) release() {
	if a.choice.Agent != nil {
		a.role.finished(a.choice)
		a.choice = routing.Choice{}
	}
}

// cancel asks an agent about an attempt. It does not end with the deadline:
// the proof decides what the caller is told.
func (a *arrival) cancel(e dispatch.Cancel) dispatch.Input {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	state, answer, err := a.role.agents.cancel(ctx, e.Attempt, a.role.window(e.Attempt), e.KeepRunning)
	a.role.count("cancels", state.String())
	if err != nil {
		a.role.log.Debug("cancel without answer", "request", e.Attempt.RequestId, "error", err)
	}
	return dispatch.Cancelled{State: state, Answer: answer}
}

// askLedger performs the effects that concern the key.
func (a *arrival) askLedger(ctx context.Context, e dispatch.Effect) dispatch.Input {
	var response *peer.ClaimResponse
	var f *fault.Error
	switch e := e.(type) {
	case dispatch.Claim:
		response, f = a.ledger.claim(ctx, e.Attempt)
	case dispatch.Reassign:
		response, f = a.ledger.reassign(ctx, e.Failed, e.Evidence, e.Next)
	case dispatch.Lookup:
		// The backend server that was chosen is not used: another arrival's
		// answer is waited for.
		a.release()
		wait := min(minLookupWait<<min(e.Round, 16), maxLookupWait)
		select {
		case <-ctx.Done():
			return stopped(ctx, false)
		case <-time.After(wait):
		}
		response, f = a.ledger.lookup(ctx)
	case dispatch.Settle:
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := a.ledger.settle(ctx, e.Attempt, e.Evidence); err != nil {
			a.role.count("settle_failures", e.Evidence.String())
			a.role.log.Debug("key not settled", "request", e.Attempt.RequestId, "error", err)
		}
		return dispatch.Settled{}
	}
	switch {
	case f != nil && ctx.Err() != nil:
		return stopped(ctx, false)
	case f != nil:
		return dispatch.LedgerUnavailable{Fault: f}
	}
	return dispatch.Claimed{Response: response}
}
