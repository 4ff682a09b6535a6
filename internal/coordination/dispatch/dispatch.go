/*
Package dispatch decides how one request is tried at agents, so that a request
that may not be repeated runs at most once.

# Proof

An attempt is known not to have run in three cases only: it was never sent, the
agent refused it, or the agent holds a tombstone for it. Without such proof a
request that may not be repeated is not tried again and ends in
outcome_unknown. A request with an idempotency key moves to its next attempt
only through the ledger, which accepts the move from the current attempt.

# Use

A [Plan] is a pure state machine. [Plan.Step] takes one [Input] and returns the
one [Effect] that is to be performed next; its result is the next input. The
last effect is an [Answer], a [Stored] or a [Fail].

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

// Reason says why a request is tried once more.
type Reason uint8

// The reasons for another attempt. First is none.
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

// IsRetry says whether an attempt for this reason counts against the retry
// budget. A first attempt does not, and neither does the first one of an
// arrival that waited for another arrival of its key. An attempt that an agent
// refused has cost no backend server anything: it is a wrong choice from a stale
// load, bounded by MaxAttempts and by the time for which the view avoids who
// refused.
func (r Reason) IsRetry() bool {
	return r != First && r != Takeover && r != KeyReleased && r != Refused
}

// Input is what a Plan is told.
type Input interface{ input() }

// Inputs.
type (
	// Start begins.
	Start struct{}
	// Chosen answers Choose: Agent names the agent and backend server, without
	// request id and number.
	Chosen struct{ Agent *peer.AttemptRef }
	// NoChoice answers Choose when there is nothing to choose or the request
	// may not be tried again. Fault says why.
	NoChoice struct{ Fault *fault.Error }
	// Claimed answers Claim, Reassign and Lookup.
	Claimed struct{ Response *peer.ClaimResponse }
	// LedgerUnavailable answers Claim, Reassign and Lookup when no answer came.
	LedgerUnavailable struct{ Fault *fault.Error }
	// Delivered answers Send: the caller has the whole answer.
	Delivered struct{}
	// AttemptRefused answers Send: the agent said that the attempt did not run and
	// will not.
	AttemptRefused struct{ Fault *fault.Error }
	// AttemptNotSent answers Send: no byte of the request left this process.
	AttemptNotSent struct{ Fault *fault.Error }
	// AttemptBroken answers Send: there is no whole answer, and no proof that the
	// attempt did not run.
	AttemptBroken struct {
		Fault *fault.Error
		// Began says that the caller has a part of the answer.
		Began bool
		// CanResume says that another backend server can go on after it.
		CanResume bool
		// Reported says that the agent itself ended the answer, so that
		// asking it again brings nothing.
		Reported bool
	}
	// Stopped answers any effect: the deadline has passed or the caller is
	// gone. MaybeSent is set if it answers Send.
	Stopped struct {
		Fault     *fault.Error
		MaybeSent bool
	}
	// Cancelled answers Cancel. State is unspecified if no answer came.
	Cancelled struct {
		State  peer.AttemptState
		Answer *peer.StoredAnswer
	}
	// Settled answers Settle, whatever came of it.
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

// Effect is what a Plan wants done.
type Effect interface{ effect() }

// Effects.
type (
	// Choose asks for an agent that was not tried yet.
	Choose struct{ Reason Reason }
	// Claim asks the ledger for the key.
	Claim struct{ Attempt *peer.AttemptRef }
	// Reassign asks the ledger to move the key from Failed to Next.
	Reassign struct {
		Failed   *peer.AttemptRef
		Evidence peer.NotRunEvidence
		Next     *peer.AttemptRef
	}
	// Send dispatches the attempt. Resume says that the caller has a part of
	// the answer already.
	Send struct {
		Attempt *peer.AttemptRef
		Resume  bool
	}
	// Cancel asks the agent about an attempt and leaves a tombstone if it has
	// not come. KeepRunning stops nothing otherwise.
	Cancel struct {
		Attempt     *peer.AttemptRef
		KeepRunning bool
	}
	// Lookup waits a moment and asks the ledger for the key. Round counts from
	// 0.
	Lookup struct{ Round int }
	// Settle tells the ledger how the attempt ended: not run with Evidence, or
	// unknown without.
	Settle struct {
		Attempt  *peer.AttemptRef
		Evidence peer.NotRunEvidence
	}
	// Answer is the end: the caller has the whole answer.
	Answer struct{}
	// Stored is the end: the caller gets the answer kept for the key.
	Stored struct{ Answer *peer.StoredAnswer }
	// Fail is the end: the caller gets an error.
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
