/*
Package dispatch decides how the attempts of one request are sent to agents, so
that a request that may not be repeated runs at most once.

# Proof

An attempt is proved not to have run in three cases only: it was never sent,
the agent refused it, or the agent holds a tombstone for it. Without such proof
a request that may not be repeated is not retried and fails with
outcome_unknown. A request with an idempotency key moves to its next attempt
only through the ledger, which accepts the move only from the current attempt.

# Use

A [Plan] is a state machine without I/O. [Plan.Step] takes one [Input] and
returns the one [Effect] to perform next; the result of the effect is the next
input. The last effect is an [Answer], a [Stored] or a [Fail].

	p := dispatch.New(dispatch.Request{ID: id, Keyed: true})
	for e := p.Step(dispatch.Start{}); ; {
		switch e := e.(type) {
		case dispatch.Send:
			...
		}
	}
*/
package dispatch

import (
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the cause of an attempt.
type Reason uint8

// The causes of an attempt. All but First are causes of a further attempt.
const (
	First        Reason = iota // first
	NotSent                    // not_sent
	Refused                    // refused
	Tombstone                  // tombstone
	Broken                     // broken
	Takeover                   // takeover
	KeyReleased                // key_released
	reasonsCount = iota
)

// Reasons returns all reasons in order.
func Reasons() []Reason {
	out := make([]Reason, reasonsCount)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

// IsRetry reports whether an attempt for this reason counts against the retry
// budget. A first attempt does not count, nor does the first attempt of an
// arrival that waited for another arrival with its key. An attempt after a
// refusal does not count either: the refused attempt put no load on a backend
// server. It was a wrong choice based on a stale load report. Such choices are
// bounded by MaxAttempts, or by MaxRefusals if the backend server had no free
// capacity, and by the time for which the view excludes it.
func (r Reason) IsRetry() bool {
	return r != First && r != Takeover && r != KeyReleased && r != Refused
}

// Input is an event for Plan.Step: the start, or the result of an effect.
type Input interface{ input() }

type (
	// Start is the first input.
	Start struct{}
	// Chosen answers Choose. Agent identifies the agent and backend server; its
	// request id and number are not set.
	Chosen struct{ Agent *peer.AttemptRef }
	// NoChoice answers Choose when no agent is available or the request may not
	// be tried again. Fault is the reason.
	NoChoice struct{ Fault *fault.Error }
	// Claimed answers Claim, Reassign and Lookup.
	Claimed struct{ Response *peer.ClaimResponse }
	// LedgerUnavailable answers Claim, Reassign and Lookup if no answer arrived.
	LedgerUnavailable struct{ Fault *fault.Error }
	// Delivered answers Send: the caller has the complete answer.
	Delivered struct{}
	// AttemptRefused answers Send: the agent reported that the attempt did not
	// run and will not run.
	AttemptRefused struct{ Fault *fault.Error }
	// AttemptNotSent answers Send: no byte of the request left this process.
	AttemptNotSent struct{ Fault *fault.Error }
	// AttemptBroken answers Send: there is no complete answer, and no proof that
	// the attempt did not run.
	AttemptBroken struct {
		Fault *fault.Error
		// Began is set if the caller has received a part of the answer.
		Began bool
		// CanResume is set if another backend server can continue after that
		// part.
		CanResume bool
		// Reported is set if the agent itself ended the answer, so that a
		// Cancel would return nothing new.
		Reported bool
	}
	// Stopped answers any effect: the deadline has passed or the caller has
	// disconnected. MaybeSent is set if it answers Send.
	Stopped struct {
		Fault     *fault.Error
		MaybeSent bool
	}
	// Cancelled answers Cancel. State is unspecified if no answer arrived.
	Cancelled struct {
		State  peer.AttemptState
		Answer *peer.StoredAnswer
	}
	// Settled answers Settle, whether or not the ledger was reached.
	Settled struct{}
)

func (Start) input()             {}
func (Chosen) input()            {}
func (NoChoice) input()          {}
func (Claimed) input()           {}
func (LedgerUnavailable) input() {}
func (Delivered) input()         {}
func (AttemptRefused) input()    {}
func (AttemptNotSent) input()    {}
func (AttemptBroken) input()     {}
func (Stopped) input()           {}
func (Cancelled) input()         {}
func (Settled) input()           {}

// Effect is an operation that a Plan asks its driver to perform.
type Effect interface{ effect() }

type (
	// Choose asks for an agent that has not been tried yet.
	Choose struct{ Reason Reason }
	// Claim asks the ledger to grant the key to Attempt.
	Claim struct{ Attempt *peer.AttemptRef }
	// Reassign asks the ledger to move the key from Failed to Next.
	Reassign struct {
		Failed   *peer.AttemptRef
		Evidence peer.NotRunEvidence
		Next     *peer.AttemptRef
	}
	// Send dispatches the attempt. Resume is set if the caller already has a
	// part of the answer.
	Send struct {
		Attempt *peer.AttemptRef
		Resume  bool
	}
	// Cancel asks the agent for the state of an attempt and leaves a tombstone
	// if it has not arrived. With KeepRunning an attempt that has arrived is not
	// stopped.
	Cancel struct {
		Attempt     *peer.AttemptRef
		KeepRunning bool
	}
	// Lookup asks the ledger for the state of the key after a short wait. Round
	// counts from 0.
	Lookup struct{ Round int }
	// Settle records in the ledger how the attempt ended: not run if Evidence is
	// set, unknown otherwise.
	Settle struct {
		Attempt  *peer.AttemptRef
		Evidence peer.NotRunEvidence
	}
	// Answer is a last effect: the caller has the complete answer.
	Answer struct{}
	// Stored is a last effect: the caller gets the answer stored for the key.
	Stored struct{ Answer *peer.StoredAnswer }
	// Fail is a last effect: the caller gets an error.
	Fail struct{ Fault *fault.Error }
)

func (Choose) effect()   {}
func (Claim) effect()    {}
func (Reassign) effect() {}
func (Send) effect()     {}
func (Cancel) effect()   {}
func (Lookup) effect()   {}
func (Settle) effect()   {}
func (Answer) effect()   {}
func (Stored) effect()   {}
func (Fail) effect()     {}
