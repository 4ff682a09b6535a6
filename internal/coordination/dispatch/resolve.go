package dispatch

import (
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// cancelled acts on the state that an agent reported for an attempt: one of this
// arrival after a broken connection or a deadline, or one of another arrival.
func (p *Plan) cancelled(in Cancelled) Effect {
	if p.probing {
		return p.afterProbe(in)
	}
	switch in.State {
	case peer.AttemptState_ATTEMPT_STATE_NOT_RUN:
		p.ran = p.ranBefore
		return p.retryNotRun(peer.NotRunEvidence_NOT_RUN_EVIDENCE_TOMBSTONE, Tombstone, p.cancelCause)
	case peer.AttemptState_ATTEMPT_STATE_FINISHED:
		p.ran = fault.RanYes
		if !p.stopping && in.Answer != nil && !in.Answer.TooLarge {
			return Stored{in.Answer}
		}
	case peer.AttemptState_ATTEMPT_STATE_STOPPED:
		p.ran = fault.RanYes
	}
	if p.stopping {
		return p.failUnresolved(in.State, p.cancelCause.WithRan(p.ran))
	}
	if p.req.Keyed && isAnswerExpected(in.State) {
		// The agent writes the answer to the ledger.
		p.awaitsOwn = true
		return p.waitForAnswer(p.attempt)
	}
	return p.failLostAnswer(in.State)
}

// isAnswerExpected reports whether the agent can still write the answer to the
// ledger.
func isAnswerExpected(s peer.AttemptState) bool {
	return s == peer.AttemptState_ATTEMPT_STATE_RUNNING || s == peer.AttemptState_ATTEMPT_STATE_FINISHED
}

// failLostAnswer ends an arrival whose connection broke without proof that the
// attempt did not run.
func (p *Plan) failLostAnswer(s peer.AttemptState) Effect {
	f := fault.Wrap(p.cancelCause, fault.OutcomeUnknown, "the connection broke and it is not known whether the request ran").WithRan(p.ran)
	if p.ran == fault.RanYes {
		f = fault.Wrap(p.cancelCause, fault.AlreadyRun, "the request ran, but its answer was lost").WithRan(p.ran)
	}
	return p.failUnresolved(s, f)
}

// failUnresolved ends the arrival with f. If the agent reported that no answer
// will follow, the outcome is first settled in the ledger as unknown; otherwise
// the key would stay in progress.
func (p *Plan) failUnresolved(s peer.AttemptState, f *fault.Error) Effect {
	if p.req.Keyed && isFinal(s) {
		p.finalFault = f
		return Settle{Attempt: p.attempt}
	}
	return Fail{f}
}

// isFinal reports whether the agent will never have an answer for an attempt in
// state s.
func isFinal(s peer.AttemptState) bool {
	return s == peer.AttemptState_ATTEMPT_STATE_STOPPED || s == peer.AttemptState_ATTEMPT_STATE_FORGOTTEN
}

// keyInProgress waits for the answer of the attempt that holds the key.
func (p *Plan) keyInProgress(other *peer.AttemptRef) Effect {
	if other == nil {
		return p.abandonClaim(fault.New(fault.Unavailable, "the ledger returned no attempt for a key in progress"))
	}
	if p.awaited != nil && proto.Equal(p.awaited, other) {
		return p.lookupAgain()
	}
	p.awaitsOwn = p.awaitsOwn && p.attempt != nil && proto.Equal(p.attempt, other)
	return p.waitForAnswer(other)
}

func (p *Plan) waitForAnswer(other *peer.AttemptRef) Effect {
	if !p.awaitsOwn {
		// An earlier attempt of this arrival needs no settling: another attempt
		// holds the key.
		p.attempt, p.keyHolder = nil, nil
	}
	p.awaited, p.probed, p.awaitedSince = other, p.awaitsOwn, p.lookups
	return p.lookupAgain()
}

// lookupAgain makes the next look-up, probes the agent once after
// probeAfterLookups, or fails after MaxLookups.
func (p *Plan) lookupAgain() Effect {
	p.lookups++
	switch {
	case p.lookups > MaxLookups && p.awaitsOwn:
		return Fail{fault.New(fault.OutcomeUnknown, "the connection broke while the request ran").WithRan(p.ran)}
	case p.lookups > MaxLookups:
		return Fail{fault.New(fault.KeyInProgress, "another request with this key is in progress").WithRetryAfter(keyRetryAfter)}
	case p.lookups-p.awaitedSince > probeAfterLookups && !p.probed:
		p.probed, p.probing = true, true
		return Cancel{Attempt: p.awaited, KeepRunning: true}
	}
	return Lookup{Round: p.lookups - 1}
}

// afterProbe takes over a key whose attempt never arrived at its agent: the
// entry that claimed the key crashed or was cut off before the dispatch. The
// tombstone that the probe left prevents the attempt from running later.
func (p *Plan) afterProbe(in Cancelled) Effect {
	p.probing = false
	switch {
	case in.State == peer.AttemptState_ATTEMPT_STATE_NOT_RUN:
		p.keyHolder, p.evidence = p.awaited, peer.NotRunEvidence_NOT_RUN_EVIDENCE_TOMBSTONE
		p.awaited = nil
		return p.choose(Takeover)
	case isFinal(in.State):
		p.finalFault = fault.New(fault.OutcomeUnknown, "the outcome of the first request with this key is not known")
		return Settle{Attempt: p.awaited}
	}
	return p.lookupAgain()
}

// keyAbsent starts over when the ledger does not have the key because another
// arrival released it.
func (p *Plan) keyAbsent() Effect {
	if p.awaitsOwn || p.sent {
		return Fail{fault.New(fault.OutcomeUnknown, "the ledger no longer has the key of a request that may have run")}
	}
	if p.attempts >= MaxAttempts {
		return Fail{fault.New(fault.Unavailable, "the key was released too often").WithRan(p.ran)}
	}
	p.awaited, p.keyHolder, p.attempt = nil, nil, nil
	p.lookups = 0
	return p.choose(KeyReleased)
}
