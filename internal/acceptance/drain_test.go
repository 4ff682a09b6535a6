package acceptance

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// drainBound bounds the time from the answer to confirm until the last new work.
// The requirements say "a few seconds".
const drainBound = 5 * time.Second

// observeTime is how long a test watches for new work after a drain. It exceeds
// drainBound, so that work after the bound is observed.
const observeTime = drainBound + 3*time.Second

// load sends short completions and stock queries until stop is closed, and
// returns all answers.
func (s *system) load(workers int, stop <-chan struct{}) []answer {
	var mu sync.Mutex
	var all sync.WaitGroup
	var answers []answer
	for w := range workers {
		all.Go(func() {
			c := newCaller()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				in := call{method: http.MethodGet, path: "/s/" + plainName + "/stock/tins"}
				if w%2 == 0 {
					in = completion(fmt.Sprintf("label %d of batch %d", i, w), 4)
				}
				got := c.do(context.Background(), s.entries[(w+i)%len(s.entries)].address, in)
				mu.Lock()
				answers = append(answers, got)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return answers
}

// drainCase is a test case: failures around the drain of failure domain fes.
type drainCase struct {
	controls int
	// before runs immediately before the plan is confirmed, after immediately
	// after it.
	before, after func(*system)
}

// Guards against new work in a failure domain more than 5 s after its drain was
// confirmed, and against new work after restarts, while processes are frozen,
// partitioned or killed.
func TestDrainedFailureDomainGetsNoNewWork(t *testing.T) {
	fes := func(s *system) *host { return s.hostOf("model-1") }
	freeze := func(p *process, d time.Duration) {
		p.freeze()
		time.AfterFunc(d, p.thaw)
	}
	tests := map[string]drainCase{
		"no failure":                        {},
		"agent frozen before, thawed later": {before: func(s *system) { freeze(fes(s).agent, 6*time.Second) }},
		"agent frozen twice": {
			before: func(s *system) { freeze(fes(s).agent, time.Second) },
			after: func(s *system) {
				time.AfterFunc(1500*time.Millisecond, func() { freeze(fes(s).agent, 4500*time.Millisecond) })
			},
		},
		"agent partitioned from control": {controls: 1, before: func(s *system) { fes(s).control.partition() }},
		"entries partitioned from control": {controls: 1, before: func(s *system) {
			for _, e := range s.entries {
				e.control.partition()
			}
		}},
		"agent and one entry partitioned from control": {controls: 1, before: func(s *system) {
			fes(s).control.partition()
			s.entries[0].control.partition()
		}},
		"entry frozen before, thawed later": {before: func(s *system) { freeze(s.entries[0].process, 6*time.Second) }},
		"leader killed after the answer": {after: func(s *system) {
			l := s.leader()
			l.process.restart()
		}},
		"leader frozen after the answer": {after: func(s *system) { freeze(s.leader().process, 3*time.Second) }},
		"leader killed and agent frozen": {
			before: func(s *system) { freeze(fes(s).agent, 6*time.Second) },
			after:  func(s *system) { s.leader().process.restart() },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{controls: test.controls, engineFlags: []string{"-warm", "-step", "5ms"}})
			stop, done := make(chan struct{}), make(chan []answer)
			go func() { done <- s.load(8, stop) }()
			s.eventually(readyTimeout, "work in fes", func() error {
				if s.lastNewWork("fes").IsZero() {
					return fmt.Errorf("no new work yet")
				}
				return nil
			})
			if test.before != nil {
				test.before(s)
			}
			s.setDrained("fes", true, "drain-1")
			confirmed := time.Now()
			if test.after != nil {
				test.after(s)
			}
			time.Sleep(time.Until(confirmed.Add(observeTime)))
			late := s.lastNewWork("fes").Sub(confirmed)
			t.Logf("last new work %v after the answer to confirm", late.Round(time.Millisecond))
			if late > drainBound {
				t.Errorf("new work in fes %v after the answer to confirm, the bound is %v", late, drainBound)
			}
			s.checkStaysDrained()
			close(stop)
			t.Logf("answers: %s", summarize(<-done))
		})
	}
}

// checkStaysDrained heals all partitions, restarts the control replicas, agents
// and entries one after the other, and checks for new work in the drained failure
// domain.
func (s *system) checkStaysDrained() {
	s.t.Helper()
	for _, e := range s.entries {
		if e.control != nil {
			e.control.heal()
		}
	}
	for _, h := range s.hosts {
		if h.control != nil {
			h.control.heal()
		}
	}
	before := s.lastNewWork("fes")
	for _, c := range s.controls {
		c.process.restart()
	}
	for _, h := range s.hosts {
		h.agent.restart()
	}
	for _, e := range s.entries {
		e.process.restart()
	}
	s.awaitReady()
	time.Sleep(2 * time.Second)
	if after := s.lastNewWork("fes"); after.After(before) {
		s.t.Errorf("new work in fes after the restarts, %v after the last work before them", after.Sub(before))
	}
}

// Guards against a returned failure domain that gets no work, and against a
// drain that has no effect when it immediately follows a return.
func TestFailureDomainReturns(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{engineFlags: []string{"-step", "5ms"}})
	stop, done := make(chan struct{}), make(chan []answer)
	go func() { done <- s.load(8, stop) }()
	for round := range 2 {
		s.setDrained("fes", true, fmt.Sprintf("drain-%d", round))
		confirmed := time.Now()
		time.Sleep(observeTime)
		if late := s.lastNewWork("fes").Sub(confirmed); late > drainBound {
			t.Errorf("round %d: new work %v after the answer to confirm", round, late)
		}
		s.setDrained("fes", false, fmt.Sprintf("return-%d", round))
		returned := time.Now()
		s.eventually(readyTimeout, "work in fes after its return", func() error {
			if s.lastNewWork("fes").Before(returned) {
				return fmt.Errorf("no new work yet")
			}
			return nil
		})
	}
	close(stop)
	answers := <-done
	for _, a := range answers {
		if !a.isComplete() {
			t.Errorf("a request that could be served was not: %v", a)
			break
		}
	}
	t.Logf("answers: %s", summarize(answers))
	s.checkNoOverload()
}

// Guards against two conflicting plans that are both confirmed: two operators
// change different failure domains from the same revision.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{modelHosts: 1, plainHosts: 1, entries: 1})
	for round := range 20 {
		wins, conflicts := s.confirmConcurrently(round)
		if wins != 1 || conflicts != 1 {
			t.Errorf("round %d: %d confirms succeeded and %d got a conflict that names the winner, want 1 and 1", round, wins, conflicts)
		}
	}
}

// confirmConcurrently confirms two plans made against the same revision.
func (s *system) confirmConcurrently(round int) (wins, conflicts int) {
	s.t.Helper()
	var plans []*peer.PlanResponse
	for _, domain := range []string{"fes", "meknes"} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		plan, err := s.operator.Plan(ctx, &peer.PlanRequest{Changes: []*peer.StateChange{{FailureDomain: domain, Drained: round%2 == 0}}})
		cancel()
		if err != nil {
			s.t.Fatal(err)
		}
		plans = append(plans, plan)
	}
	errs := make([]error, 2)
	var both sync.WaitGroup
	for i, plan := range plans {
		both.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, errs[i] = s.operator.Confirm(ctx, &peer.ConfirmRequest{
				PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent,
				OperationId: fmt.Sprintf("race-%d-%d", round, i), OperatorName: []string{"amal", "sigrun"}[i],
			})
		})
	}
	both.Wait()
	for i, err := range errs {
		switch {
		case err == nil:
			wins++
		case isConflictWith(err, []string{"sigrun", "amal"}[i]):
			conflicts++
		default:
			s.t.Logf("round %d: %v", round, err)
		}
	}
	return wins, conflicts
}

// leaveCase is a test case: a failure while a backend server leaves.
type leaveCase struct {
	controls int
	failure  func(*system, *host)
}

// Guards against new work for a leaving backend server more than 5 s after it
// announced that it leaves. Streams that are aborted meanwhile are only logged,
// with the other answers.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	yes := true
	tests := map[string]leaveCase{
		"no failure":                     {failure: func(*system, *host) {}},
		"agent partitioned from control": {controls: 1, failure: func(_ *system, h *host) { h.control.partition() }},
		"agent killed while it drains":   {failure: func(_ *system, h *host) { h.agent.restart() }},
		"agent killed twice":             {failure: func(_ *system, h *host) { h.agent.restart(); time.Sleep(time.Second); h.agent.restart() }},
		"leader and agent killed":        {failure: func(s *system, h *host) { s.leader().process.restart(); h.agent.restart() }},
		"agent frozen and thawed later":  {failure: func(_ *system, h *host) { h.agent.freeze(); time.Sleep(4 * time.Second); h.agent.thaw() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{controls: test.controls, engineFlags: []string{"-warm", "-step", "5ms"}})
			stop, done := make(chan struct{}), make(chan []answer)
			go func() { done <- s.load(8, stop) }()
			time.Sleep(pause)
			h := s.hostOf("model-1")
			h.backends[0].control(t, standin.Control{Leaving: &yes})
			announced := time.Now()
			test.failure(s, h)
			time.Sleep(time.Until(announced.Add(observeTime)))
			late := record[standin.EngineRecord](t, h.backends[0]).LastAccepted.Sub(announced)
			t.Logf("last new work %v after the backend server announced that it leaves", late.Round(time.Millisecond))
			if late > drainBound {
				t.Errorf("new work %v after the backend server announced that it leaves", late)
			}
			close(stop)
			t.Logf("answers: %s", summarize(<-done))
		})
	}
}
