package dispatch

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// simulation is a ledger, agents and a network that loses and delays messages.
// It counts how often each request runs.
type simulation struct {
	t      *rapid.T
	holder *peer.AttemptRef
	state  peer.ClaimState
	agents []*agent
	// delayed holds messages in flight whose sender no longer waits for the
	// answer.
	delayed []func()
	runs    map[string]int // by request id
}

type agent struct {
	incarnation uint64
	attempts    map[string]peer.AttemptState
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, state: peer.ClaimState_CLAIM_STATE_ABSENT, runs: map[string]int{}}
	for range 3 {
		sim.agents = append(sim.agents, &agent{incarnation: 1, attempts: map[string]peer.AttemptState{}})
	}
	return sim
}

func (sim *simulation) draw(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(sim.t, label)
}

// transmit runs do now, later or never, and reports whether the answer arrives.
func (sim *simulation) transmit(do func()) bool {
	switch sim.draw(6, "network") {
	case 0:
		return false
	case 1:
		do()
		return false
	case 2:
		sim.delayed = append(sim.delayed, do)
		return false
	}
	do()
	return true
}

func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) > 0 {
		i := sim.draw(len(sim.delayed), "late")
		do := sim.delayed[i]
		sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
		do()
	}
}

// claimOrReassign performs Reassign, or Claim if failed is nil.
func (sim *simulation) claimOrReassign(failed, next *peer.AttemptRef) *peer.ClaimResponse {
	open := sim.state == peer.ClaimState_CLAIM_STATE_IN_PROGRESS || sim.state == peer.ClaimState_CLAIM_STATE_UNKNOWN
	switch {
	case failed == nil && sim.state == peer.ClaimState_CLAIM_STATE_ABSENT,
		failed != nil && open && proto.Equal(sim.holder, failed):
		sim.holder, sim.state = next, peer.ClaimState_CLAIM_STATE_IN_PROGRESS
	}
	if proto.Equal(sim.holder, next) && sim.state == peer.ClaimState_CLAIM_STATE_IN_PROGRESS {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: next}
	}
	return sim.lookup()
}

func (sim *simulation) lookup() *peer.ClaimResponse {
	r := &peer.ClaimResponse{State: sim.state, Attempt: sim.holder}
	if sim.state == peer.ClaimState_CLAIM_STATE_DONE {
		r.Answer = &peer.StoredAnswer{Status: 200}
	}
	return r
}

func (sim *simulation) complete(attempt *peer.AttemptRef, evidence peer.NotRunEvidence, done bool) {
	if !proto.Equal(sim.holder, attempt) || sim.state == peer.ClaimState_CLAIM_STATE_DONE || sim.state == peer.ClaimState_CLAIM_STATE_ABSENT {
		return
	}
	switch {
	case done:
		sim.state = peer.ClaimState_CLAIM_STATE_DONE
	case evidence != peer.NotRunEvidence_NOT_RUN_EVIDENCE_UNSPECIFIED:
		sim.state = peer.ClaimState_CLAIM_STATE_ABSENT
	default:
		sim.state = peer.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

func attemptKey(a *peer.AttemptRef) string {
	return fmt.Sprintf("%s/%d/%d", a.RequestId, a.Number, a.AgentIncarnation)
}

// receiveDispatch delivers a dispatch to its agent, which runs it unless it
// refuses it.
func (sim *simulation) receiveDispatch(a *peer.AttemptRef, keyed bool) peer.AttemptState {
	target := sim.agents[int(a.AgentId[0]-'0')]
	_, seen := target.attempts[attemptKey(a)]
	if seen || a.AgentIncarnation != target.incarnation || sim.draw(4, "refuse") == 0 {
		if !seen && a.AgentIncarnation == target.incarnation {
			target.attempts[attemptKey(a)] = peer.AttemptState_ATTEMPT_STATE_NOT_RUN
		}
		if seen && target.attempts[attemptKey(a)] != peer.AttemptState_ATTEMPT_STATE_NOT_RUN {
			return peer.AttemptState_ATTEMPT_STATE_RUNNING
		}
		return peer.AttemptState_ATTEMPT_STATE_NOT_RUN
	}
	sim.runs[a.RequestId]++
	target.attempts[attemptKey(a)] = peer.AttemptState_ATTEMPT_STATE_RUNNING
	if sim.draw(2, "finish") == 0 {
		target.attempts[attemptKey(a)] = peer.AttemptState_ATTEMPT_STATE_FINISHED
		if keyed {
			sim.transmit(func() { sim.complete(a, 0, true) })
		}
	}
	return target.attempts[attemptKey(a)]
}

func (sim *simulation) cancel(a *peer.AttemptRef, keep, repeatable bool) peer.AttemptState {
	target := sim.agents[int(a.AgentId[0]-'0')]
	if a.AgentIncarnation != target.incarnation {
		return peer.AttemptState_ATTEMPT_STATE_FORGOTTEN
	}
	state, seen := target.attempts[attemptKey(a)]
	switch {
	case !seen:
		state = peer.AttemptState_ATTEMPT_STATE_NOT_RUN
	case state == peer.AttemptState_ATTEMPT_STATE_RUNNING && repeatable && !keep:
		state = peer.AttemptState_ATTEMPT_STATE_STOPPED
	}
	target.attempts[attemptKey(a)] = state
	return state
}

func (sim *simulation) restart() {
	target := sim.agents[sim.draw(len(sim.agents), "agent")]
	target.incarnation++
	target.attempts = map[string]peer.AttemptState{}
}

// grantOfOtherCall sometimes returns the answer to a call of another arrival in
// place of lost.
func (sim *simulation) grantOfOtherCall(lost Input) Input {
	if sim.holder != nil && sim.draw(3, "foreign") == 0 {
		return Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: sim.holder}}
	}
	return lost
}

// arrival performs the effects of one plan, one at a time.
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

// step performs the pending effect over the simulated network.
func (a *arrival) step(sim *simulation) {
	lost := LedgerUnavailable{Fault: fault.New(fault.RegionUnreachable, "lost")}
	var in Input
	switch e := a.effect.(type) {
	case Choose:
		in = a.choose(sim)
	case Claim:
		in = sim.grantOfOtherCall(lost)
		var r *peer.ClaimResponse
		if sim.transmit(func() { r = sim.claimOrReassign(nil, e.Attempt) }) {
			in = Claimed{r}
		}
	case Reassign:
		in = sim.grantOfOtherCall(lost)
		var r *peer.ClaimResponse
		if sim.transmit(func() { r = sim.claimOrReassign(e.Failed, e.Next) }) {
			in = Claimed{r}
		}
	case Lookup:
		in = lost
		switch sim.draw(8, "lookup") {
		case 0:
		case 1:
			in = stop()
		case 2:
			// The answer to another call.
			in = Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: sim.holder}}
		default:
			in = Claimed{sim.lookup()}
		}
	case Settle:
		sim.transmit(func() { sim.complete(e.Attempt, e.Evidence, false) })
		in = Settled{}
	case Cancel:
		in = Cancelled{}
		var state peer.AttemptState
		if sim.transmit(func() { state = sim.cancel(e.Attempt, e.KeepRunning, a.req.Repeatable) }) {
			in = Cancelled{State: state}
		}
	case Send:
		in = a.send(sim, e)
	}
	a.effect = a.plan.Step(in)
}

func (a *arrival) choose(sim *simulation) Input {
	switch sim.draw(10, "choose") {
	case 0:
		return NoChoice{fault.New(fault.Overloaded, "full")}
	case 1:
		return stop()
	}
	id := sim.draw(len(sim.agents), "agent")
	return Chosen{&peer.AttemptRef{AgentId: fmt.Sprint(id), AgentIncarnation: sim.agents[id].incarnation}}
}

func (a *arrival) send(sim *simulation, e Send) Input {
	var state peer.AttemptState
	if sim.draw(8, "connect") == 0 {
		return AttemptNotSent{fault.New(fault.Unavailable, "no connection")}
	}
	if !sim.transmit(func() { state = sim.receiveDispatch(e.Attempt, a.req.Keyed) }) {
		if sim.draw(3, "stop waiting") == 0 {
			s := stop()
			s.MaybeSent = true
			return s
		}
		return AttemptBroken{Fault: fault.New(fault.StreamBroken, "broken")}
	}
	switch {
	case state == peer.AttemptState_ATTEMPT_STATE_NOT_RUN:
		return AttemptRefused{fault.New(fault.Overloaded, "refused")}
	case state == peer.AttemptState_ATTEMPT_STATE_FINISHED && sim.draw(2, "whole") == 0:
		return Delivered{}
	}
	a.began = a.began || sim.draw(3, "began") == 0
	return AttemptBroken{Fault: fault.New(fault.StreamBroken, "broken"), Began: a.began, CanResume: a.req.Repeatable, Reported: sim.draw(4, "reported") == 0}
}
