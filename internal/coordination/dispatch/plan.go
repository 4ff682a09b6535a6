package dispatch

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// MaxAttempts bounds the attempts of one arrival.
	MaxAttempts = 4
	// MaxRefusals bounds the attempts that were refused because the backend
	// server had no free capacity. They cost little and are separated by a wait,
	// so the caller's deadline usually ends them first.
	MaxRefusals = 64
	// MaxLookups bounds the look-ups made while waiting for the answer to
	// another arrival.
	MaxLookups = 12
	// probeAfterLookups is the number of look-ups after which the agent of the
	// other arrival is asked whether it has received the attempt. By then an
	// entry that still runs has sent its dispatch.
	probeAfterLookups = 5
	// keyRetryAfter is the retry-after time sent with key_in_progress.
	keyRetryAfter = time.Second
)

// Request holds the properties of a request that a Plan depends on.
type Request struct {
	ID         string
	Keyed      bool
	Repeatable bool
}

// Plan decides on the attempts of one arrival of a request. It is not safe for
// concurrent use.
type Plan struct {
	req    Request
	reason Reason
	// attempt is the current attempt of this arrival; sent is set once Send was
	// returned for it.
	attempt  *peer.AttemptRef
	sent     bool
	attempts int
	// refusals counts attempts refused for lack of capacity; attempts excludes
	// them.
	refusals int
	number   uint32
	// keyHolder is the attempt that holds the key in the ledger, if evidence
	// proves that it did not run.
	keyHolder *peer.AttemptRef
	evidence  peer.NotRunEvidence
	// awaited is the attempt whose answer the arrival waits for. awaitsOwn is set
	// if it is an attempt of this arrival.
	awaited   *peer.AttemptRef
	awaitsOwn bool
	lookups   int
	// awaitedSince is the number of look-ups made before the wait for awaited
	// began.
	awaitedSince int
	probed       bool
	probing      bool
	// ran covers all attempts of this arrival so far; ranBefore excludes the
	// last one.
	ran       fault.Ran
	ranBefore fault.Ran
	resume    bool
	// cancelCause is the fault that led to the open Cancel.
	cancelCause *fault.Error
	stopping    bool
	// lastFault is the failure of the last attempt, and lastBroken that of the last
	// one that may have run.
	lastFault  *fault.Error
	lastBroken *fault.Error
	// finalFault is returned to the caller once all attempts are settled.
	finalFault *fault.Error
}

// New returns the plan for one arrival of req.
func New(req Request) *Plan { return &Plan{req: req, ran: fault.RanNo} }

// Step takes the result of the last effect and returns the next one.
func (p *Plan) Step(in Input) Effect {
	switch in := in.(type) {
	case Start:
		return p.choose(First)
	case Chosen:
		return p.chosen(in.Agent)
	case NoChoice:
		if p.lastFault != nil && in.Fault.Kind == fault.Unavailable {
			// The failure of the last attempt explains more than the lack of
			// another agent.
			return p.fail(p.lastFault)
		}
		return p.fail(in.Fault)
	case Claimed:
		return p.claimed(in.Response)
	case LedgerUnavailable:
		return p.abandonClaim(in.Fault)
	case Delivered:
		return Answer{}
	case AttemptRefused:
		return p.retryNotRun(peer.NotRunEvidence_NOT_RUN_EVIDENCE_REFUSED, Refused, in.Fault)
	case AttemptNotSent:
		return p.retryNotRun(peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT, NotSent, in.Fault)
	case AttemptBroken:
		return p.broken(in)
	case Stopped:
		return p.stopped(in)
	case Cancelled:
		return p.cancelled(in)
	case Settled:
		return p.settled()
	}
	return Fail{fault.New(fault.Internal, "unknown input %T", in).WithRan(p.ran)}
}

func (p *Plan) choose(r Reason) Effect {
	p.reason = r
	return Choose{Reason: r}
}

// chosen numbers the next attempt and obtains the right to send it.
func (p *Plan) chosen(agent *peer.AttemptRef) Effect {
	next := proto.Clone(agent).(*peer.AttemptRef)
	p.number++
	p.attempts++
	next.RequestId, next.Number = p.req.ID, p.number
	p.attempt, p.sent = next, false
	switch {
	case !p.req.Keyed:
		return p.send()
	case p.keyHolder != nil:
		// The number follows that of the attempt that holds the key, which may
		// belong to another arrival.
		p.number = p.keyHolder.Number + 1
		next.Number = p.number
		return Reassign{Failed: p.keyHolder, Evidence: p.evidence, Next: next}
	}
	return Claim{Attempt: next}
}

func (p *Plan) send() Effect {
	p.sent, p.ranBefore = true, p.ran
	return Send{Attempt: p.attempt, Resume: p.resume}
}

// claimed acts on the state of the key that the ledger reported.
func (p *Plan) claimed(r *peer.ClaimResponse) Effect {
	switch r.GetState() {
	case peer.ClaimState_CLAIM_STATE_GRANTED:
		return p.granted(r.Attempt)
	case peer.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return p.keyInProgress(r.Attempt)
	case peer.ClaimState_CLAIM_STATE_DONE:
		if r.Answer == nil || r.Answer.TooLarge {
			return p.alreadyRun()
		}
		return Stored{r.Answer}
	case peer.ClaimState_CLAIM_STATE_DONE_DROPPED:
		return p.alreadyRun()
	case peer.ClaimState_CLAIM_STATE_KEY_REUSED:
		return Fail{fault.New(fault.KeyReused, "the key was used for another request")}
	case peer.ClaimState_CLAIM_STATE_UNKNOWN:
		return Fail{fault.New(fault.OutcomeUnknown, "the outcome of the first request with this key is not known")}
	case peer.ClaimState_CLAIM_STATE_ABSENT:
		return p.keyAbsent()
	}
	return p.abandonClaim(fault.New(fault.Unavailable, "the ledger returned no usable answer"))
}

// granted sends the attempt if the grant is for exactly this attempt and it is
// waiting for a grant.
func (p *Plan) granted(attempt *peer.AttemptRef) Effect {
	if p.attempt == nil || p.sent || p.awaited != nil || !proto.Equal(attempt, p.attempt) {
		return p.abandonClaim(fault.New(fault.Unavailable, "the ledger granted the key to another attempt"))
	}
	p.keyHolder = nil
	return p.send()
}

func (p *Plan) alreadyRun() Effect {
	return Fail{fault.New(fault.AlreadyRun, "the request ran, but its answer is not stored")}
}

// abandonClaim ends an arrival whose right to send is uncertain. Nothing was
// sent for the attempt, so the key is released in case it was granted. While
// the arrival waits for an answer, it looks the key up again instead.
func (p *Plan) abandonClaim(f *fault.Error) Effect {
	if p.awaited != nil {
		return p.lookupAgain()
	}
	if p.attempt == nil || p.sent {
		return p.fail(f)
	}
	p.finalFault = f.WithRan(p.ran)
	return Settle{Attempt: p.attempt, Evidence: peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT}
}

// retryNotRun handles an attempt that is proved not to have run: it chooses
// another agent, or fails with f if no further attempt is allowed.
func (p *Plan) retryNotRun(evidence peer.NotRunEvidence, r Reason, f *fault.Error) Effect {
	if p.req.Keyed {
		p.keyHolder, p.evidence = p.attempt, evidence
	}
	p.attempt, p.lastFault = nil, f
	if r == Refused && f.Kind == fault.Overloaded {
		p.attempts--
		p.refusals++
	}
	if p.stopping || p.attempts >= MaxAttempts || p.refusals >= MaxRefusals || !isWorthRetrying(f.Kind) {
		return p.fail(f)
	}
	return p.choose(r)
}

// fail ends the arrival with f. If this arrival holds the key, it is released
// first.
func (p *Plan) fail(f *fault.Error) Effect {
	if p.ran != fault.RanNo && p.lastBroken != nil && isRefusal(f.Kind) {
		// Callers take the status of a refusal for a promise that nothing has run.
		f = p.lastBroken.WithRetryAfter(f.RetryAfter)
	}
	f = f.WithRan(p.ran)
	if p.keyHolder == nil {
		return Fail{f}
	}
	p.finalFault = f
	return Settle{Attempt: p.keyHolder, Evidence: p.evidence}
}

// isRefusal reports whether a kind says that a request was turned away.
func isRefusal(k fault.Kind) bool { return k.Ran() == fault.RanNo || k == fault.RetryBudgetSpent }

// settled also releases the previous attempt if the answer to Reassign was lost,
// since either of the two attempts may then hold the key.
func (p *Plan) settled() Effect {
	if p.attempt != nil && !p.sent && p.keyHolder != nil {
		p.attempt = nil
		return Settle{Attempt: p.keyHolder, Evidence: p.evidence}
	}
	return Fail{p.finalFault}
}

// broken handles an attempt that may have run.
func (p *Plan) broken(in AttemptBroken) Effect {
	p.recordMayHaveRun(in.Began, in.Fault)
	p.lastFault, p.lastBroken = in.Fault, in.Fault
	if p.req.Repeatable && !p.req.Keyed {
		p.resume = in.Began
		if p.attempts >= MaxAttempts || (in.Began && !in.CanResume) || !isWorthRetrying(in.Fault.Kind) {
			return Fail{in.Fault.WithRan(p.ran)}
		}
		return p.choose(Broken)
	}
	if in.Began {
		return Fail{in.Fault.WithRan(p.ran)}
	}
	if in.Reported {
		return p.failWithoutProof(in.Fault)
	}
	p.cancelCause = in.Fault
	return Cancel{Attempt: p.attempt}
}

// recordMayHaveRun updates ran after an attempt that may have run.
func (p *Plan) recordMayHaveRun(began bool, f *fault.Error) {
	if began || f.Ran == fault.RanYes {
		p.ran = fault.RanYes
	} else if p.ran == fault.RanNo {
		p.ran = fault.RanUnknown
	}
}

// failWithoutProof ends an arrival whose agent reported a failure without proof
// that the attempt did not run.
func (p *Plan) failWithoutProof(f *fault.Error) Effect {
	if f.Ran == fault.RanYes || f.Kind == fault.DeadlineExceeded {
		return Fail{f}
	}
	return Fail{fault.Wrap(f, fault.OutcomeUnknown, "it is not known whether the request ran: %s", f.Message)}
}

// stopped ends an arrival whose deadline has passed or whose caller has
// disconnected.
func (p *Plan) stopped(in Stopped) Effect {
	p.stopping = true
	if p.awaited != nil {
		// The awaited attempt may be running or have run.
		return Fail{in.Fault.WithRan(fault.RanUnknown)}
	}
	if p.attempt != nil && p.sent && in.MaybeSent {
		if p.ran == fault.RanNo {
			p.ran = fault.RanUnknown
		}
		p.cancelCause = in.Fault
		return Cancel{Attempt: p.attempt}
	}
	if p.attempt != nil && !p.sent {
		return p.abandonClaim(in.Fault)
	}
	return p.fail(in.Fault)
}

// isWorthRetrying reports whether another agent could succeed. Faults of the
// request itself are the same at every agent.
func isWorthRetrying(k fault.Kind) bool {
	switch k {
	case fault.BadRequest, fault.Unauthenticated, fault.Forbidden, fault.UnknownService, fault.NotFound, fault.TooLarge,
		fault.DeadlineExceeded, fault.Cancelled, fault.BadSettings:
		return false
	}
	return true
}
