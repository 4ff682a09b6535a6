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
	// MaxRefusals bounds the attempts that found no room. They cost little and
	// come with a wait in between, so the caller's deadline is the usual end.
	MaxRefusals = 64
	// MaxLookups bounds the wait for the answer to another arrival.
	MaxLookups = 12
	// probeRound is the look-up after which the agent of the other arrival is
	// asked whether it has the attempt at all. By then a living entry has sent
	// its dispatch.
	probeRound = 5
	// keyRetryAfter is the advice with key_in_progress.
	keyRetryAfter = time.Second
)

// Request is what a Plan needs to know of a request.
type Request struct {
	ID         string
	Keyed      bool
	Repeatable bool
}

// Plan tries one request. It is used by one goroutine.
type Plan struct {
	req    Request
	reason Reason
	// attempt is the own attempt; sent says whether Send was asked for it.
	attempt *peer.AttemptRef
	sent    bool
	tries   int
	// refusals counts attempts that found no room; they are not in tries.
	refusals int
	number   uint32
	// held is the attempt that the ledger names for the key, with proof that
	// it did not run.
	held     *peer.AttemptRef
	evidence peer.NotRunEvidence
	// other is the attempt whose answer is waited for. own says that it is
	// this arrival's.
	other   *peer.AttemptRef
	own     bool
	lookups int
	// since is the look-up with which the wait for other began.
	since   int
	probed  bool
	probing bool
	// ran is what is known of all attempts of this arrival so far; before is
	// the same without the last one.
	ran    fault.Ran
	before fault.Ran
	resume bool
	// cause is why the agent is being asked; ending what the caller gets when
	// all attempts are settled.
	cause *fault.Error
	stop  bool
	// last is why the last attempt failed.
	last   *fault.Error
	ending *fault.Error
}

// New returns the plan of one arrival.
func New(req Request) *Plan { return &Plan{req: req, ran: fault.RanNo} }

// Step takes the result of the last effect and returns the next one.
func (p *Plan) Step(in Input) Effect {
	switch in := in.(type) {
	case Start:
		return p.choose(First)
	case Chosen:
		return p.chosen(in.Agent)
	case NoChoice:
		if p.last != nil && in.Fault.Kind == fault.Unavailable {
			// That nothing is left to try says less than the last failure.
			return p.end(p.last)
		}
		return p.end(in.Fault)
	case Claimed:
		return p.claimed(in.Response)
	case LedgerUnavailable:
		return p.ledgerLost(in.Fault)
	case Delivered:
		return Answer{}
	case AttemptRefused:
		return p.notRun(peer.NotRunEvidence_NOT_RUN_EVIDENCE_REFUSED, Refused, in.Fault)
	case AttemptNotSent:
		return p.notRun(peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT, NotSent, in.Fault)
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

// chosen names the next attempt and gets the right to send it.
func (p *Plan) chosen(agent *peer.AttemptRef) Effect {
	next := proto.Clone(agent).(*peer.AttemptRef)
	p.number++
	p.tries++
	next.RequestId, next.Number = p.req.ID, p.number
	p.attempt, p.sent = next, false
	switch {
	case !p.req.Keyed:
		return p.send()
	case p.held != nil:
		// The number follows that of the attempt that the ledger names, which
		// may be another arrival's.
		p.number = p.held.Number + 1
		next.Number = p.number
		return Reassign{Failed: p.held, Evidence: p.evidence, Next: next}
	}
	return Claim{Attempt: next}
}

func (p *Plan) send() Effect {
	p.sent, p.before = true, p.ran
	return Send{Attempt: p.attempt, Resume: p.resume}
}

// claimed takes what the ledger says about the key.
func (p *Plan) claimed(r *peer.ClaimResponse) Effect {
	switch r.GetState() {
	case peer.ClaimState_CLAIM_STATE_GRANTED:
		return p.granted(r.Attempt)
	case peer.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return p.inProgress(r.Attempt)
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
		return p.absent()
	}
	return p.ledgerLost(fault.New(fault.Unavailable, "the ledger gave no usable answer"))
}

// granted sends if the grant is for exactly the attempt that waits for it.
func (p *Plan) granted(attempt *peer.AttemptRef) Effect {
	if p.attempt == nil || p.sent || p.other != nil || !proto.Equal(attempt, p.attempt) {
		return p.ledgerLost(fault.New(fault.Unavailable, "the ledger granted another attempt"))
	}
	p.held = nil
	return p.send()
}

func (p *Plan) alreadyRun() Effect {
	return Fail{fault.New(fault.AlreadyRun, "the request ran; its answer is not kept")}
}

// ledgerLost ends an arrival whose right to send is not known. Nothing was
// sent for the attempt, so the key is released in case it was granted.
func (p *Plan) ledgerLost(f *fault.Error) Effect {
	if p.other != nil {
		return p.lookAgain()
	}
	if p.attempt == nil || p.sent {
		return p.end(f)
	}
	p.ending = f.WithRan(p.ran)
	return Settle{Attempt: p.attempt, Evidence: peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT}
}

// notRun goes on from an attempt that is known not to have run.
func (p *Plan) notRun(evidence peer.NotRunEvidence, r Reason, f *fault.Error) Effect {
	if p.req.Keyed {
		p.held, p.evidence = p.attempt, evidence
	}
	p.attempt, p.last = nil, f
	if r == Refused && f.Kind == fault.Overloaded {
		p.tries--
		p.refusals++
	}
	if p.stop || p.tries >= MaxAttempts || p.refusals >= MaxRefusals || !isWorthRetrying(f.Kind) {
		return p.end(f)
	}
	return p.choose(r)
}

// end tells the caller f after the key has been released, if this arrival
// holds it.
func (p *Plan) end(f *fault.Error) Effect {
	f = f.WithRan(p.ran)
	if p.held == nil {
		return Fail{f}
	}
	p.ending = f
	return Settle{Attempt: p.held, Evidence: p.evidence}
}

// settled releases the attempt before the one just settled, if a lost answer
// to Reassign leaves open which of the two the ledger names.
func (p *Plan) settled() Effect {
	if p.attempt != nil && !p.sent && p.held != nil {
		p.attempt = nil
		return Settle{Attempt: p.held, Evidence: p.evidence}
	}
	return Fail{p.ending}
}

// broken goes on from an attempt that may have run.
func (p *Plan) broken(in AttemptBroken) Effect {
	p.doubt(in.Began, in.Fault)
	p.last = in.Fault
	if p.req.Repeatable && !p.req.Keyed {
		p.resume = in.Began
		if p.tries >= MaxAttempts || (in.Began && !in.CanResume) || !isWorthRetrying(in.Fault.Kind) {
			return Fail{in.Fault.WithRan(p.ran)}
		}
		return p.choose(Broken)
	}
	if in.Began {
		return Fail{in.Fault.WithRan(p.ran)}
	}
	if in.Reported {
		return p.unproved(in.Fault)
	}
	p.cause = in.Fault
	return Cancel{Attempt: p.attempt}
}

// doubt notes that an attempt may have run.
func (p *Plan) doubt(began bool, f *fault.Error) {
	if began || f.Ran == fault.RanYes {
		p.ran = fault.RanYes
	} else if p.ran == fault.RanNo {
		p.ran = fault.RanUnknown
	}
}

// unproved ends an arrival whose agent reported a failure without proof.
func (p *Plan) unproved(f *fault.Error) Effect {
	if f.Ran == fault.RanYes || f.Kind == fault.DeadlineExceeded {
		return Fail{f}
	}
	return Fail{fault.Wrap(f, fault.OutcomeUnknown, "it is not known whether the request ran: %s", f.Message)}
}

// stopped ends an arrival whose deadline has passed or whose caller is gone.
func (p *Plan) stopped(in Stopped) Effect {
	p.stop = true
	if p.other != nil {
		// The attempt waited for may run or have run.
		return Fail{in.Fault.WithRan(fault.RanUnknown)}
	}
	if p.attempt != nil && p.sent && in.MaybeSent {
		if p.ran == fault.RanNo {
			p.ran = fault.RanUnknown
		}
		p.cause = in.Fault
		return Cancel{Attempt: p.attempt}
	}
	if p.attempt != nil && !p.sent {
		return p.ledgerLost(in.Fault)
	}
	return p.end(in.Fault)
}

// isWorthRetrying says whether another agent can answer better. Faults of the
// request itself are the same everywhere.
func isWorthRetrying(k fault.Kind) bool {
	switch k {
	case fault.BadRequest, fault.Unauthenticated, fault.Forbidden, fault.UnknownService, fault.NotFound, fault.TooLarge,
		fault.DeadlineExceeded, fault.Cancelled, fault.BadSettings:
		return false
	}
	return true
}
