package attempt

import (
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

func reject(err *fault.Error) Effect { return Effect{Verdict: Reject, Fault: err} }

func (t *Table) dispatch(window uint64, in Dispatch) Effect {
	if in.Incarnation != t.incarnation {
		return reject(fault.New(fault.StaleIncarnation, "attempt is for another incarnation of the agent"))
	}
	if r := t.records[in.Key]; r != nil {
		return reject(r.duplicateFault())
	}
	if err := t.checkWindow(window, in.Window); err != nil {
		return reject(err)
	}
	if in.Key.RequestID == "" || len(in.Key.RequestID) > MaxIDBytes || in.Key.Number == 0 {
		return reject(fault.New(fault.BadRequest, "attempt has no valid request id and number"))
	}
	if len(t.records) >= MaxRecords {
		t.minWindow = window + 1
		return reject(fault.New(fault.Overloaded, "attempt table of the agent is full").WithRetryAfter(WindowTime))
	}
	t.records[in.Key] = &record{phase: Accepted, repeatable: in.Repeatable}
	return Effect{Verdict: Run}
}

// checkWindow refuses a window that is too old, too new or below minWindow.
// Within KeepWindows an attempt without a record has not run, since its record
// would still be there; the window is part of each copy, so no copy will run. A
// refusal of a future window is no proof: a copy could be accepted once that
// window begins.
func (t *Table) checkWindow(window, got uint64) *fault.Error {
	if got == 0 || got > window {
		return fault.New(fault.StaleWindow, "dispatch window %d was never reported, the newest is %d", got, window).
			WithRan(fault.RanUnknown)
	}
	if got < t.minWindow {
		return t.staleWindow(window, got)
	}
	if got+MaxWindowAge < window {
		return t.staleWindow(window, got)
	}
	return nil
}

func (t *Table) staleWindow(window, got uint64) *fault.Error {
	err := fault.New(fault.StaleWindow, "dispatch window %d is too old, the newest is %d", got, window)
	if got+KeepWindows < window {
		return err.WithRan(fault.RanUnknown)
	}
	return err
}

// duplicateFault returns the fault for another copy of an attempt.
func (r *record) duplicateFault() *fault.Error {
	switch r.phase {
	case Refused:
		return fault.New(r.kind, "%s", r.message).WithRan(fault.RanNo)
	case Finished:
		return fault.New(fault.DuplicateAttempt, "attempt has run").WithRan(fault.RanYes)
	}
	return fault.New(fault.DuplicateAttempt, "attempt was dispatched before").WithRan(fault.RanUnknown)
}

// end moves a record to a final phase and schedules its removal.
func (t *Table) end(window uint64, key Key, r *record, phase Phase) {
	if r.isOpen() {
		r.endWindow = window
		t.endedByWindow[window] = append(t.endedByWindow[window], key)
	}
	r.phase = phase
}

func (t *Table) refuse(window uint64, in Refuse) Effect {
	r := t.records[in.Key]
	if r == nil || r.phase != Accepted {
		return Effect{}
	}
	r.kind, r.message = in.Kind, in.Message
	t.end(window, in.Key, r, Refused)
	return Effect{}
}

func (t *Table) begin(key Key) Effect {
	r := t.records[key]
	if r == nil {
		return reject(fault.New(fault.Internal, "attempt was never dispatched").WithRan(fault.RanNo))
	}
	if r.phase != Accepted {
		return reject(r.duplicateFault())
	}
	r.phase = Running
	return Effect{Verdict: Run}
}

func (t *Table) finish(window uint64, in Finish) Effect {
	r := t.records[in.Key]
	if r == nil || r.phase != Running {
		return Effect{}
	}
	t.end(window, in.Key, r, Finished)
	t.keepAnswer(in.Key, r, in.Answer)
	return Effect{}
}

func (t *Table) stop(window uint64, in Stop) Effect {
	r := t.records[in.Key]
	if r == nil || r.phase != Running {
		return Effect{}
	}
	phase := Lost
	if in.Dropped {
		phase = Stopped
	}
	t.end(window, in.Key, r, phase)
	return Effect{}
}

// Unsent reverses a Begin: the caller has proof that no byte reached the backend
// server. The attempt is refused as by Refuse.
type Unsent Refuse

func (Unsent) input() {}

func (t *Table) unsent(window uint64, in Unsent) Effect {
	if r := t.records[in.Key]; r != nil && r.phase == Running {
		r.phase = Accepted
	}
	return t.refuse(window, Refuse(in))
}

func (t *Table) cancel(window uint64, in Cancel) Effect {
	if in.Incarnation != t.incarnation {
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_FORGOTTEN}
	}
	if r := t.records[in.Key]; r != nil {
		return t.cancelRecorded(window, in, r)
	}
	// Within KeepWindows a missing record means that the attempt never arrived.
	if in.Window == 0 || in.Window > window || in.Window+KeepWindows < window {
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_FORGOTTEN}
	}
	return t.tombstone(window, in.Key)
}

// tombstone records an attempt that has not arrived as refused. If the table is
// full, it raises minWindow instead, which refuses the attempt by its window.
func (t *Table) tombstone(window uint64, key Key) Effect {
	if len(t.records) >= MaxRecords {
		t.minWindow = window + 1
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_NOT_RUN}
	}
	r := &record{phase: Accepted}
	t.records[key] = r
	t.refuse(window, Refuse{Key: key, Kind: fault.Cancelled, Message: "attempt was cancelled before it arrived"})
	return Effect{State: peer.AttemptState_ATTEMPT_STATE_NOT_RUN}
}

func (t *Table) cancelRecorded(window uint64, in Cancel, r *record) Effect {
	switch r.phase {
	case Refused:
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_NOT_RUN}
	case Stopped:
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_STOPPED}
	case Finished:
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_FINISHED, Answer: r.answer}
	case Lost:
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_FORGOTTEN}
	case Accepted:
		if in.KeepRunning {
			return Effect{State: peer.AttemptState_ATTEMPT_STATE_RUNNING}
		}
		t.refuse(window, Refuse{Key: in.Key, Kind: fault.Cancelled, Message: "attempt was cancelled before it ran"})
		return Effect{Verdict: Interrupt, State: peer.AttemptState_ATTEMPT_STATE_NOT_RUN}
	}
	if in.KeepRunning || !r.repeatable {
		return Effect{State: peer.AttemptState_ATTEMPT_STATE_RUNNING}
	}
	return Effect{Verdict: Interrupt, State: peer.AttemptState_ATTEMPT_STATE_STOPPED}
}
