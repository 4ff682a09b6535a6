package dispatch

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// world is a ledger, agents and a network that loses and delays. It counts how
// often each request runs.
type world struct {
	t       *rapid.T
	current *peer.AttemptRef
	state   peer.ClaimState
	agents  []*agent
	// late are messages under way whose sender has given up on the answer.
	late []func()
	runs map[string]int // by request id
}

type agent struct {
	incarnation uint64
	attempts    map[string]peer.AttemptState
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, state: peer.ClaimState_CLAIM_STATE_ABSENT, runs: map[string]int{}}
	for range 3 {
		w.agents = append(w.agents, &agent{incarnation: 1, attempts: map[string]peer.AttemptState{}})
	}
	return w
}

func (w *world) draw(n int, label string) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

// over performs do now, never or later, and says whether the answer arrives.
func (w *world) over(do func()) bool {
	switch w.draw(6, "network") {
	case 0:
		return false
	case 1:
		do()
		return false
	case 2:
		w.late = append(w.late, do)
		return false
	}
	do()
	return true
}

func (w *world) deliverLate() {
	if len(w.late) > 0 {
		i := w.draw(len(w.late), "late")
		do := w.late[i]
		w.late = append(w.late[:i], w.late[i+1:]...)
		do()
	}
}

// change is Claim (failed is nil) and Reassign.
func (w *world) change(failed, next *peer.AttemptRef) *peer.ClaimResponse {
	open := w.state == peer.ClaimState_CLAIM_STATE_IN_PROGRESS || w.state == peer.ClaimState_CLAIM_STATE_UNKNOWN
	switch {
	case failed == nil && w.state == peer.ClaimState_CLAIM_STATE_ABSENT,
		failed != nil && open && proto.Equal(w.current, failed):
		w.current, w.state = next, peer.ClaimState_CLAIM_STATE_IN_PROGRESS
	}
	if proto.Equal(w.current, next) && w.state == peer.ClaimState_CLAIM_STATE_IN_PROGRESS {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: next}
	}
	return w.lookup()
}

func (w *world) lookup() *peer.ClaimResponse {
	r := &peer.ClaimResponse{State: w.state, Attempt: w.current}
	if w.state == peer.ClaimState_CLAIM_STATE_DONE {
		r.Answer = &peer.StoredAnswer{Status: 200}
	}
	return r
}

func (w *world) complete(attempt *peer.AttemptRef, evidence peer.NotRunEvidence, done bool) {
	if !proto.Equal(w.current, attempt) || w.state == peer.ClaimState_CLAIM_STATE_DONE || w.state == peer.ClaimState_CLAIM_STATE_ABSENT {
		return
	}
	switch {
	case done:
		w.state = peer.ClaimState_CLAIM_STATE_DONE
	case evidence != peer.NotRunEvidence_NOT_RUN_EVIDENCE_UNSPECIFIED:
		w.state = peer.ClaimState_CLAIM_STATE_ABSENT
	default:
		w.state = peer.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

func attemptKey(a *peer.AttemptRef) string {
	return fmt.Sprintf("%s/%d/%d", a.RequestId, a.Number, a.AgentIncarnation)
}

// arrive is a dispatch that reaches its agent: it runs unless it is refused.
func (w *world) arrive(a *peer.AttemptRef, keyed bool) peer.AttemptState {
	at := w.agents[int(a.AgentId[0]-'0')]
	_, seen := at.attempts[attemptKey(a)]
	if seen || a.AgentIncarnation != at.incarnation || w.draw(4, "refuse") == 0 {
		if !seen && a.AgentIncarnation == at.incarnation {
			at.attempts[attemptKey(a)] = peer.AttemptState_ATTEMPT_STATE_NOT_RUN
		}
		if seen && at.attempts[attemptKey(a)] != peer.AttemptState_ATTEMPT_STATE_NOT_RUN {
			return peer.AttemptState_ATTEMPT_STATE_RUNNING
		}
		return peer.AttemptState_ATTEMPT_STATE_NOT_RUN
	}
	w.runs[a.RequestId]++
	at.attempts[attemptKey(a)] = peer.AttemptState_ATTEMPT_STATE_RUNNING
	if w.draw(2, "finish") == 0 {
		at.attempts[attemptKey(a)] = peer.AttemptState_ATTEMPT_STATE_FINISHED
		if keyed {
			w.over(func() { w.complete(a, 0, true) })
		}
	}
	return at.attempts[attemptKey(a)]
}

func (w *world) cancel(a *peer.AttemptRef, keep, repeatable bool) peer.AttemptState {
	at := w.agents[int(a.AgentId[0]-'0')]
	if a.AgentIncarnation != at.incarnation {
		return peer.AttemptState_ATTEMPT_STATE_FORGOTTEN
	}
	state, seen := at.attempts[attemptKey(a)]
	switch {
	case !seen:
		state = peer.AttemptState_ATTEMPT_STATE_NOT_RUN
	case state == peer.AttemptState_ATTEMPT_STATE_RUNNING && repeatable && !keep:
		state = peer.AttemptState_ATTEMPT_STATE_STOPPED
	}
	at.attempts[attemptKey(a)] = state
	return state
}

func (w *world) restart() {
	at := w.agents[w.draw(len(w.agents), "agent")]
	at.incarnation++
	at.attempts = map[string]peer.AttemptState{}
}

// foreignGrant is, sometimes, the answer to another arrival's call in place of
// a lost one.
func (w *world) foreignGrant(lost Input) Input {
	if w.current != nil && w.draw(3, "foreign") == 0 {
		return Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: w.current}}
	}
	return lost
}

// arrival drives one plan, one effect at a time.
type arrival struct {
	req    Request
	plan   *Plan
	effect Effect
	began  bool
}

func (a *arrival) isOver() bool {
	switch a.effect.(type) {
	case Answer, Stored, Fail:
		return true
	}
	return false
}

func stop() Stopped { return Stopped{Fault: fault.New(fault.DeadlineExceeded, "late")} }

// step performs the pending effect with an outcome of the network.
func (a *arrival) step(w *world) {
	lost := LedgerUnavailable{Fault: fault.New(fault.RegionUnreachable, "lost")}
	var in Input
	switch e := a.effect.(type) {
	case Choose:
		in = a.choose(w)
	case Claim:
		in = w.foreignGrant(lost)
		var r *peer.ClaimResponse
		if w.over(func() { r = w.change(nil, e.Attempt) }) {
			in = Claimed{r}
		}
	case Reassign:
		in = w.foreignGrant(lost)
		var r *peer.ClaimResponse
		if w.over(func() { r = w.change(e.Failed, e.Next) }) {
			in = Claimed{r}
		}
	case Lookup:
		in = lost
		switch w.draw(8, "lookup") {
		case 0:
		case 1:
			in = stop()
		case 2:
			// The answer to another call.
			in = Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: w.current}}
		default:
			in = Claimed{w.lookup()}
		}
	case Settle:
		w.over(func() { w.complete(e.Attempt, e.Evidence, false) })
		in = Settled{}
	case Cancel:
		in = Cancelled{}
		var state peer.AttemptState
		if w.over(func() { state = w.cancel(e.Attempt, e.KeepRunning, a.req.Repeatable) }) {
			in = Cancelled{State: state}
		}
	case Send:
		in = a.send(w, e)
	}
	a.effect = a.plan.Step(in)
}

func (a *arrival) choose(w *world) Input {
	switch w.draw(10, "choose") {
	case 0:
		return NoChoice{fault.New(fault.Overloaded, "full")}
	case 1:
		return stop()
	}
	id := w.draw(len(w.agents), "agent")
	return Chosen{&peer.AttemptRef{AgentId: fmt.Sprint(id), AgentIncarnation: w.agents[id].incarnation}}
}

func (a *arrival) send(w *world, e Send) Input {
	var state peer.AttemptState
	if w.draw(8, "connect") == 0 {
		return AttemptNotSent{fault.New(fault.Unavailable, "no connection")}
	}
	if !w.over(func() { state = w.arrive(e.Attempt, a.req.Keyed) }) {
		if w.draw(3, "give up") == 0 {
			s := stop()
			s.MaybeSent = true
			return s
		}
		return AttemptBroken{Fault: fault.New(fault.StreamBroken, "broken")}
	}
	switch {
	case state == peer.AttemptState_ATTEMPT_STATE_NOT_RUN:
		return AttemptRefused{fault.New(fault.Overloaded, "refused")}
	case state == peer.AttemptState_ATTEMPT_STATE_FINISHED && w.draw(2, "whole") == 0:
		return Delivered{}
	}
	a.began = a.began || w.draw(3, "began") == 0
	return AttemptBroken{Fault: fault.New(fault.StreamBroken, "broken"), Began: a.began, CanResume: a.req.Repeatable, Reported: w.draw(4, "reported") == 0}
}
