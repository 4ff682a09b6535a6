package dispatch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxSteps bounds one arrival in the property tests: all attempts with their
// ledger calls, the look-ups, and the last effect.
const maxSteps = 3*(MaxAttempts+MaxRefusals) + MaxLookups + 8

// Guards against a second run of a request that may not be repeated, and against
// a wrong report that a request did not run. Answers are lost, delayed or belong
// to another call, agents restart, and entries stop between any two effects.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		keyed, repeatable := rapid.Bool().Draw(t, "keyed"), rapid.Bool().Draw(t, "repeatable")
		var arrivals []*arrival
		for i := range rapid.IntRange(1, 4).Draw(t, "arrivals") {
			req := Request{ID: fmt.Sprintf("r%d", i), Keyed: keyed, Repeatable: repeatable}
			p := New(req)
			arrivals = append(arrivals, &arrival{req: req, plan: p, effect: p.Step(Start{})})
		}
		for range maxSteps * len(arrivals) {
			switch a := arrivals[sim.draw(len(arrivals), "arrival")]; {
			case sim.draw(20, "restart") == 0:
				sim.restart()
			case sim.draw(6, "delayed message") == 0:
				sim.deliverDelayed()
			case !a.isOver():
				a.step(sim)
			}
		}
		for len(sim.delayed) > 0 {
			sim.deliverDelayed()
		}
		total := 0
		for _, a := range arrivals {
			runs := sim.runs[a.req.ID]
			total += runs
			if f, ok := a.effect.(Fail); ok && f.Fault.Ran == fault.RanNo && runs > 0 {
				t.Fatalf("%s ran %d times, but the caller got %v", a.req.ID, runs, f.Fault)
			}
			if !repeatable && runs > 1 {
				t.Fatalf("%s ran %d times", a.req.ID, runs)
			}
		}
		if keyed && total > 1 {
			t.Fatalf("requests with the key ran %d times", total)
		}
	})
}

// Guards against an arrival that never ends and keeps its caller waiting.
func TestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		req := Request{ID: "r", Keyed: rapid.Bool().Draw(t, "keyed"), Repeatable: rapid.Bool().Draw(t, "repeatable")}
		p := New(req)
		a := &arrival{req: req, plan: p, effect: p.Step(Start{})}
		for range maxSteps {
			if a.isOver() {
				return
			}
			a.step(sim)
		}
		t.Fatalf("the pending effect is %T after %d steps", a.effect, maxSteps)
	})
}

func ref(id string, n uint32) *peer.AttemptRef {
	return &peer.AttemptRef{RequestId: id, Number: n, AgentId: "0", AgentIncarnation: 1}
}

// result is the last effect of a plan in a form that can be compared.
type result struct {
	Effect string
	Kind   fault.Kind
	Ran    fault.Ran
}

func resultOf(e Effect) result {
	r := result{Effect: fmt.Sprintf("%T", e)}
	if f, ok := e.(Fail); ok {
		r.Kind, r.Ran = f.Fault.Kind, f.Fault.Ran
	}
	return r
}

// Guards against a wrong last effect for each way in which an attempt can end.
func TestOutcomes(t *testing.T) {
	agent := Chosen{ref("", 0)}
	granted := Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: ref("me", 1)}}
	state := func(s peer.ClaimState, a *peer.AttemptRef) Claimed {
		return Claimed{&peer.ClaimResponse{State: s, Attempt: a, Answer: &peer.StoredAnswer{}}}
	}
	broken := AttemptBroken{Fault: fault.New(fault.StreamBroken, "broken")}
	refused := AttemptRefused{fault.New(fault.Overloaded, "full")}
	deadline := Stopped{Fault: fault.New(fault.DeadlineExceeded, "late"), MaybeSent: true}
	cancelled := func(s peer.AttemptState) Cancelled { return Cancelled{State: s} }
	lost := LedgerUnavailable{fault.New(fault.RegionUnreachable, "lost")}
	full := NoChoice{fault.New(fault.Overloaded, "full")}
	spent := NoChoice{fault.New(fault.RetryBudgetSpent, "spent")}
	once, keyed, repeatable := Request{ID: "me"}, Request{ID: "me", Keyed: true}, Request{ID: "me", Repeatable: true}
	fail := func(k fault.Kind, r fault.Ran) result { return result{"dispatch.Fail", k, r} }
	tests := map[string]struct {
		req  Request
		in   []Input
		want result
	}{
		"refused, none left":       {once, []Input{agent, refused, full}, fail(fault.Overloaded, fault.RanNo)},
		"broken, tombstone":        {once, []Input{agent, broken, cancelled(peer.AttemptState_ATTEMPT_STATE_NOT_RUN), full}, fail(fault.Overloaded, fault.RanNo)},
		"broken, running":          {once, []Input{agent, broken, cancelled(peer.AttemptState_ATTEMPT_STATE_RUNNING)}, fail(fault.OutcomeUnknown, fault.RanUnknown)},
		"broken, finished":         {once, []Input{agent, broken, cancelled(peer.AttemptState_ATTEMPT_STATE_FINISHED)}, fail(fault.AlreadyRun, fault.RanYes)},
		"broken, forgotten":        {once, []Input{agent, broken, cancelled(peer.AttemptState_ATTEMPT_STATE_FORGOTTEN)}, fail(fault.OutcomeUnknown, fault.RanUnknown)},
		"broken, no answer":        {once, []Input{agent, broken, Cancelled{}}, fail(fault.OutcomeUnknown, fault.RanUnknown)},
		"deadline, tombstone":      {once, []Input{agent, deadline, cancelled(peer.AttemptState_ATTEMPT_STATE_NOT_RUN)}, fail(fault.DeadlineExceeded, fault.RanNo)},
		"deadline, running":        {once, []Input{agent, deadline, cancelled(peer.AttemptState_ATTEMPT_STATE_RUNNING)}, fail(fault.DeadlineExceeded, fault.RanUnknown)},
		"deadline, stopped":        {repeatable, []Input{agent, deadline, cancelled(peer.AttemptState_ATTEMPT_STATE_STOPPED)}, fail(fault.DeadlineExceeded, fault.RanYes)},
		"deadline at the agent":    {once, []Input{agent, AttemptBroken{Fault: fault.New(fault.DeadlineExceeded, "late"), Reported: true}}, fail(fault.DeadlineExceeded, fault.RanUnknown)},
		"failed at the agent":      {once, []Input{agent, AttemptBroken{Fault: fault.New(fault.BackendFailed, "broke"), Reported: true}}, fail(fault.OutcomeUnknown, fault.RanUnknown)},
		"repeatable, broken twice": {repeatable, []Input{agent, broken, agent, broken, full}, fail(fault.StreamBroken, fault.RanUnknown)},
		"broken, then refused":     {repeatable, []Input{agent, broken, agent, refused, full}, fail(fault.StreamBroken, fault.RanUnknown)},
		"broken, no retry left":    {repeatable, []Input{agent, broken, spent}, fail(fault.StreamBroken, fault.RanUnknown)},
		"not sent, no retry left":  {repeatable, []Input{agent, AttemptNotSent{fault.New(fault.Unavailable, "refused")}, spent}, fail(fault.RetryBudgetSpent, fault.RanNo)},
		"claim lost":               {keyed, []Input{agent, lost, Settled{}}, fail(fault.RegionUnreachable, fault.RanNo)},
		"reassign lost":            {keyed, []Input{agent, granted, refused, agent, lost, Settled{}, Settled{}}, fail(fault.RegionUnreachable, fault.RanNo)},
		"other grant":              {keyed, []Input{agent, state(peer.ClaimState_CLAIM_STATE_GRANTED, ref("other", 1)), Settled{}}, fail(fault.Unavailable, fault.RanNo)},
		"done":                     {keyed, []Input{agent, state(peer.ClaimState_CLAIM_STATE_DONE, nil)}, result{Effect: "dispatch.Stored"}},
		"dropped":                  {keyed, []Input{agent, state(peer.ClaimState_CLAIM_STATE_DONE_DROPPED, nil)}, fail(fault.AlreadyRun, fault.RanYes)},
		"reused":                   {keyed, []Input{agent, state(peer.ClaimState_CLAIM_STATE_KEY_REUSED, nil)}, fail(fault.KeyReused, fault.RanNo)},
		"unknown":                  {keyed, []Input{agent, state(peer.ClaimState_CLAIM_STATE_UNKNOWN, nil)}, fail(fault.OutcomeUnknown, fault.RanUnknown)},
		"waited for first":         {keyed, []Input{agent, state(peer.ClaimState_CLAIM_STATE_IN_PROGRESS, ref("other", 1)), state(peer.ClaimState_CLAIM_STATE_DONE, nil)}, result{Effect: "dispatch.Stored"}},
		"ended":                    {once, []Input{agent, Delivered{}}, result{Effect: "dispatch.Answer"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(test.req)
			e := p.Step(Start{})
			for _, in := range test.in {
				e = p.Step(in)
			}
			if diff := cmp.Diff(test.want, resultOf(e)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a key that stays in progress although its agent has reported
// that no answer will follow.
func TestSettlesUnknown(t *testing.T) {
	granted := Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: ref("me", 1)}}
	tests := map[string]Input{
		"broken":   AttemptBroken{Fault: fault.New(fault.StreamBroken, "broken")},
		"deadline": Stopped{Fault: fault.New(fault.DeadlineExceeded, "late"), MaybeSent: true},
	}
	for name, in := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Request{ID: "me", Keyed: true, Repeatable: true})
			p.Step(Start{})
			p.Step(Chosen{ref("", 0)})
			p.Step(granted)
			p.Step(in)
			e, ok := p.Step(Cancelled{State: peer.AttemptState_ATTEMPT_STATE_STOPPED}).(Settle)
			if !ok || e.Evidence != 0 || e.Attempt.RequestId != "me" {
				t.Fatalf("got %#v, want a Settle without evidence", e)
			}
			if f, ok := p.Step(Settled{}).(Fail); !ok || f.Fault.Ran != fault.RanYes {
				t.Errorf("got %#v", f)
			}
		})
	}
}

// Guards against a key that stays blocked after its entry crashed before the
// dispatch, and against a take-over from an attempt that arrived at its agent.
func TestTakeover(t *testing.T) {
	other := ref("other", 3)
	tests := map[string]struct {
		state peer.AttemptState
		want  string
	}{
		"never arrived": {peer.AttemptState_ATTEMPT_STATE_NOT_RUN, "dispatch.Choose"},
		"runs":          {peer.AttemptState_ATTEMPT_STATE_RUNNING, "dispatch.Lookup"},
		"finished":      {peer.AttemptState_ATTEMPT_STATE_FINISHED, "dispatch.Lookup"},
		"restarted":     {peer.AttemptState_ATTEMPT_STATE_FORGOTTEN, "dispatch.Settle"},
		"stopped":       {peer.AttemptState_ATTEMPT_STATE_STOPPED, "dispatch.Settle"},
		"no answer":     {peer.AttemptState_ATTEMPT_STATE_UNSPECIFIED, "dispatch.Lookup"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Request{ID: "me", Keyed: true})
			p.Step(Start{})
			p.Step(Chosen{ref("", 0)})
			inProgress := Claimed{&peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_IN_PROGRESS, Attempt: other}}
			e := p.Step(inProgress)
			for range MaxLookups {
				if _, ok := e.(Cancel); ok {
					break
				}
				e = p.Step(inProgress)
			}
			if c, ok := e.(Cancel); !ok || !c.KeepRunning {
				t.Fatalf("got %#v, want a Cancel with KeepRunning", e)
			}
			e = p.Step(Cancelled{State: test.state})
			if got := fmt.Sprintf("%T", e); got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
			if test.want != "dispatch.Choose" {
				return
			}
			r, ok := p.Step(Chosen{ref("", 0)}).(Reassign)
			if !ok || r.Failed != other || r.Next.Number != 4 || r.Next.RequestId != "me" {
				t.Errorf("got %v, want a Reassign from %v", r, other)
			}
		})
	}
}
