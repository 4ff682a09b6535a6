/*
Package attempt decides which dispatched attempts an agent runs.

# Attempts

An attempt is one try to run a request at one incarnation of one agent. A
[Table] accepts each attempt at most once. It keeps a record of an attempt that
was refused or cancelled before it ran, so that a delayed or duplicate copy is
refused too. A refusal with ran "no" is therefore proof that the attempt does
not run.

# Windows

Memory is bounded by dispatch windows. The agent increments its window every
10 s by its own clock and reports it; an entry puts the last window that it
received into a dispatch. A dispatch from more than 2 windows ago is refused,
and the record of an attempt is kept until 4 windows after its end, so no record
is removed while a copy of the attempt could still be accepted.

A refusal of an old window reports ran "no" only while the table would still
have a record of the attempt: after that, the attempt may have run and its
record may have been removed.

# Single transmission

A refusal for another incarnation reports ran "no", although the other
incarnation could have run a copy: an entry sends an attempt once, over a
separate connection, so the copy that arrived here is the only one.

# Use

	t := attempt.New(incarnation, now)
	effect := t.Step(now, attempt.Dispatch{Key: key, Incarnation: i, Window: w})
	if effect.Verdict == attempt.Run { ... }

A Table is not safe for concurrent use.
*/
package attempt

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

//go:generate go tool stringer -type=Phase,Verdict -linecomment -output=attempt_string.go

// Bounds of a Table.
const (
	// WindowTime is the length of a dispatch window.
	WindowTime = 10 * time.Second
	// MaxWindowAge is the greatest accepted age of a dispatch, in windows.
	MaxWindowAge = 2
	// KeepWindows is the number of windows for which the record of an ended
	// attempt is kept.
	KeepWindows = 4
	// MaxRecords bounds the number of records. It is 20 times the number of
	// attempts that a host receives in 5 windows at 60 requests/s.
	MaxRecords = 1 << 16
	// MaxAnswerBytes bounds one stored answer.
	MaxAnswerBytes = 64 << 10
	// MaxAnswersBytes bounds the total size of the stored answers.
	MaxAnswersBytes = 8 << 20
	// MaxIDBytes bounds the length of a request id.
	MaxIDBytes = 256
)

// Key identifies an attempt.
type Key struct {
	RequestID string
	Number    uint32
}

// Phase is the state of an attempt.
type Phase uint8

const (
	// Accepted: the agent may run it; nothing has been sent to a backend server.
	Accepted Phase = iota // accepted
	// Running: it may have reached a backend server.
	Running // running
	// Refused: it did not run and will not run.
	Refused // refused
	// Stopped: it ran in part and was stopped.
	Stopped // stopped
	// Finished: it has a complete answer.
	Finished // finished
	// Lost: it may have run; its answer is not known.
	Lost // lost
)

// Verdict is the answer to an input.
type Verdict uint8

const (
	// Done: the input was recorded.
	Done Verdict = iota // done
	// Run: the caller proceeds with the attempt. Dispatch and Begin of an attempt
	// each get this verdict at most once.
	Run // run
	// Reject: the caller answers with Effect.Fault.
	Reject // reject
	// Interrupt: the caller stops the attempt, which may be repeated.
	Interrupt // interrupt
)

// Input is an input of Table.Step.
type Input interface{ input() }

// Dispatch asks to run an attempt.
type Dispatch struct {
	Key         Key
	Incarnation uint64
	Window      uint64
	Repeatable  bool
}

// Refuse reports that the agent does not run an accepted attempt. Later copies
// of the attempt are refused with the same Kind and Message.
type Refuse struct {
	Key     Key
	Kind    fault.Kind
	Message string
}

// Begin reports that the agent is about to send an accepted attempt to the
// backend server. The verdict is Run, or Reject if it was cancelled.
type Begin struct{ Key Key }

// Finish reports that an attempt has a complete answer. Answer is nil if the
// answer is not to be stored.
type Finish struct {
	Key    Key
	Answer *peer.StoredAnswer
}

// Stop reports that a running attempt ended without a complete answer. Dropped
// is set if the backend server is known to have dropped it, so that it did not
// finish.
type Stop struct {
	Key     Key
	Dropped bool
}

// Cancel asks to stop an attempt that may be repeated, and to refuse one that
// has not arrived or not begun. An attempt that may not be repeated continues
// once it has been sent to the backend server.
type Cancel struct {
	Key         Key
	Incarnation uint64
	Window      uint64
	// KeepRunning leaves an attempt that has been accepted as it is.
	KeepRunning bool
}

func (Dispatch) input() {}
func (Refuse) input()   {}
func (Begin) input()    {}
func (Finish) input()   {}
func (Stop) input()     {}
func (Cancel) input()   {}

// Effect is the result of Table.Step.
type Effect struct {
	Verdict Verdict
	// Fault is set with Reject.
	Fault *fault.Error
	// State and Answer are set in reply to Cancel.
	State  peer.AttemptState
	Answer *peer.StoredAnswer
}

type record struct {
	phase      Phase
	repeatable bool
	// kind and message are those of the refusal.
	kind    fault.Kind
	message string
	answer  *peer.StoredAnswer
	// answerSize is the number of bytes counted for answer.
	answerSize int
	// endWindow is the window in which the attempt ended. The record is removed
	// once more than KeepWindows windows have passed since then.
	endWindow uint64
}

func (r *record) isOpen() bool { return r.phase == Accepted || r.phase == Running }

// Table records the attempts of one incarnation of an agent.
type Table struct {
	incarnation uint64
	start       time.Time
	records     map[Key]*record
	// endedByWindow holds the keys of ended attempts for removal, by the window
	// in which they ended.
	endedByWindow map[uint64][]Key
	// sweptWindow is the newest window whose ended attempts have been removed.
	sweptWindow uint64
	// minWindow is the lowest window accepted. It is raised when the table is
	// full.
	minWindow uint64
	// answerKeys lists the keys with an answer, oldest first.
	answerKeys   []Key
	answersBytes int
}

// New returns an empty table.
func New(incarnation uint64, now time.Time) *Table {
	return &Table{incarnation: incarnation, start: now, records: map[Key]*record{}, endedByWindow: map[uint64][]Key{}}
}

// Window returns the dispatch window at time now. The first is 1, so that 0 in
// a message means that the sender has received no window.
func (t *Table) Window(now time.Time) uint64 {
	return 1 + uint64(max(0, now.Sub(t.start))/WindowTime)
}

// Len returns the number of attempts with a record.
func (t *Table) Len() int { return len(t.records) }

// Step applies an input that arrived at time now.
func (t *Table) Step(now time.Time, in Input) Effect {
	window := t.Window(now)
	t.sweep(window)
	switch in := in.(type) {
	case Dispatch:
		return t.dispatch(window, in)
	case Refuse:
		return t.refuse(window, in)
	case Begin:
		return t.begin(in.Key)
	case Finish:
		return t.finish(window, in)
	case Stop:
		return t.stop(window, in)
	case Unsent:
		return t.unsent(window, in)
	case Cancel:
		return t.cancel(window, in)
	}
	return Effect{}
}

// sweep removes the records of attempts that ended more than KeepWindows windows
// ago. Those of exactly KeepWindows ago stay: a cancellation from that window
// is still answered from them.
func (t *Table) sweep(window uint64) {
	for t.sweptWindow+1+KeepWindows < window {
		t.sweptWindow++
		for _, key := range t.endedByWindow[t.sweptWindow] {
			t.dropAnswer(t.records[key])
			delete(t.records, key)
		}
		delete(t.endedByWindow, t.sweptWindow)
	}
	t.trimAnswers()
}
