package runner

import (
	"context"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/attempt"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// attempts is the table of attempts with the functions that interrupt them.
type attempts struct {
	now func() time.Time

	mu     sync.Mutex
	table  *attempt.Table
	cancel map[attempt.Key]context.CancelFunc
}

func newAttempts(incarnation uint64, now func() time.Time) *attempts {
	return &attempts{now: now, table: attempt.New(incarnation, now()), cancel: map[attempt.Key]context.CancelFunc{}}
}

func keyOf(ref *peer.AttemptRef) attempt.Key {
	return attempt.Key{RequestID: ref.GetRequestId(), Number: ref.GetNumber()}
}

func (a *attempts) window() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Window(a.now())
}

// accept passes a dispatch to the table and returns its refusal, if any. stop
// is called when the attempt is interrupted.
func (a *attempts) accept(req *peer.DispatchRequest, repeatable bool, stop context.CancelFunc) *fault.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := keyOf(req.Attempt)
	effect := a.table.Step(a.now(), attempt.Dispatch{
		Key: key, Incarnation: req.Attempt.GetAgentIncarnation(), Window: req.Window, Repeatable: repeatable,
	})
	if effect.Verdict == attempt.Run {
		a.cancel[key] = stop
	}
	return effect.Fault
}

// step passes an input to the table and removes the cancel function of an
// attempt that has ended.
func (a *attempts) step(key attempt.Key, in attempt.Input) attempt.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, isBegin := in.(attempt.Begin); !isBegin {
		delete(a.cancel, key)
	}
	return a.table.Step(a.now(), in)
}

func (a *attempts) begin(key attempt.Key) *fault.Error {
	return a.step(key, attempt.Begin{Key: key}).Fault
}

// refuse records that an attempt does not run and returns the refusal.
func (a *attempts) refuse(key attempt.Key, err *fault.Error) *fault.Error {
	a.step(key, attempt.Refuse{Key: key, Kind: err.Kind, Message: err.Message})
	return err.WithRan(fault.RanNo)
}

// unsent records that an attempt which had begun does not run, because provably
// nothing was sent, and returns the refusal.
func (a *attempts) unsent(key attempt.Key, err *fault.Error) *fault.Error {
	a.step(key, attempt.Unsent{Key: key, Kind: err.Kind, Message: err.Message})
	return err.WithRan(fault.RanNo)
}

func (a *attempts) finish(key attempt.Key, answer *peer.StoredAnswer) {
	a.step(key, attempt.Finish{Key: key, Answer: answer})
}

func (a *attempts) stop(key attempt.Key, dropped bool) {
	a.step(key, attempt.Stop{Key: key, Dropped: dropped})
}

// cancelAttempt passes a cancellation to the table and interrupts the attempt
// if the table decides so.
func (a *attempts) cancelAttempt(req *peer.CancelRequest) attempt.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := keyOf(req.Attempt)
	effect := a.table.Step(a.now(), attempt.Cancel{
		Key: key, Incarnation: req.Attempt.GetAgentIncarnation(), Window: req.Window,
		KeepRunning: req.KeepRunning,
	})
	if stop := a.cancel[key]; effect.Verdict == attempt.Interrupt && stop != nil {
		stop()
	}
	return effect
}
