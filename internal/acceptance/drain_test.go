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

// drainBound is "a few seconds" of the requirements, from the answer to
// confirm to the last new work.
const drainBound = 5 * time.Second

// observeTime is how long a test watches for new work after a drain; it is
// past the bound, so that work after the bound is seen.
const observeTime = drainBound + 3*time.Second

// load sends short completions and stock readings until stop is closed, and
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

// drain is a row: what fails around the drain of failure domain fes.
type drain struct {
	controls int
	// before runs right before the plan is confirmed, after right after.
	before, after func(*system)
}

// Guards against new work in a failure domain more than 5 s after its drain
// was confirmed, and against work after restarts, whatever is frozen, cut off
// or killed meanwhile.
func TestDrainedFailureDomainGetsNoNewWork(t *testing.T) {
	fes := func(s *system) *host { return s.hostOf("model-1") }
	freeze := func(p *process, d time.Duration) {
		p.freeze()
		time.AfterFunc(d, p.thaw)
	}
	tests := map[string]drain{
		"no failure":                        {},
		"agent frozen before, thawed later": {before: func(s *system) { freeze(fes(s).agent, 6*time.Second) }},
		"agent frozen twice": {
			before: func(s *system) { freeze(fes(s).agent, time.Second) },
			after: func(s *system) {
				time.AfterFunc(1500*time.Millisecond, func() { freeze(fes(s).agent, 4500*time.Millisecond) })
			},
		},
		"agent cut off from control": {controls: 1, before: func(s *system) { fes(s).control.cut() }},
		"entries cut off from control": {controls: 1, before: func(s *system) {
			for _, e := range s.entries {
				e.control.cut()
			}
		}},
		"agent and entries cut off": {controls: 1, before: func(s *system) {
			fes(s).control.cut()
			s.entries[0].control.cut()
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
			s := start(t, options{controls: test.controls, engineFlags: []string{"-warm", "-step", "5ms"}})
			stop, done := make(chan struct{}), make(chan []answer)
			go func() { done <- s.load(8, stop) }()
			s.eventually(readyTimeout, "work in fes", func() error {
				if s.lastNewWork("fes").IsZero() {
					return fmt.Errorf("none yet")
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
			s.checkStaysOut()
			close(stop)
			t.Logf("answers: %s", describe(<-done))
		})
	}
}

// checkStaysOut restarts every process of the system, one after the other, and
// looks for new work in the drained failure domain.
func (s *system) checkStaysOut() {
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
		s.t.Errorf("new work in fes after restarts, %v after the work before", after.Sub(before))
	}
}

// Guards against a return that does not bring the failure domain back, and
// against a drain of it that is lost when it follows at once.
func TestFailureDomainReturns(t *testing.T) {
	t.Parallel()
	s := start(t, options{engineFlags: []string{"-step", "5ms"}})
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
				return fmt.Errorf("none yet")
			}
			return nil
		})
	}
	close(stop)
	answers := <-done
	for _, a := range answers {
		if !a.isWhole() {
			t.Errorf("a request that could be served was not: %v", a)
			break
		}
	}
	t.Logf("answers: %s", describe(answers))
	s.checkEngines()
}

// Guards against two operators who both believe that they won: one drains and
// one returns the failure domain from the same revision.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := start(t, options{modelHosts: 1, plainHosts: 1, entries: 1})
	for round := range 20 {
		wins, conflicts := s.race(round)
		if wins != 1 || conflicts != 1 {
			t.Errorf("round %d: %d confirms won and %d got a conflict that names the winner", round, wins, conflicts)
		}
	}
}

// race lets two operators confirm plans made against the same revision.
func (s *system) race(round int) (wins, conflicts int) {
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

// leaving is a row: what fails while a backend server leaves.
type leaving struct {
	controls int
	failure  func(*system, *host)
}

// Guards against new work for a leaving backend server more than 5 s after it
// said so, and against streams that its leaving cuts.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	yes := true
	tests := map[string]leaving{
		"no failure":                    {failure: func(*system, *host) {}},
		"agent cut off from control":    {controls: 1, failure: func(_ *system, h *host) { h.control.cut() }},
		"agent killed while it drains":  {failure: func(_ *system, h *host) { h.agent.restart() }},
		"agent killed twice":            {failure: func(_ *system, h *host) { h.agent.restart(); time.Sleep(time.Second); h.agent.restart() }},
		"leader and agent killed":       {failure: func(s *system, h *host) { s.leader().process.restart(); h.agent.restart() }},
		"agent frozen and thawed later": {failure: func(_ *system, h *host) { h.agent.freeze(); time.Sleep(4 * time.Second); h.agent.thaw() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, options{controls: test.controls, engineFlags: []string{"-warm", "-step", "5ms"}})
			stop, done := make(chan struct{}), make(chan []answer)
			go func() { done <- s.load(8, stop) }()
			time.Sleep(pause)
			h := s.hostOf("model-1")
			h.backends[0].control(t, standin.Control{Leaving: &yes})
			said := time.Now()
			test.failure(s, h)
			time.Sleep(time.Until(said.Add(observeTime)))
			late := record[standin.EngineRecord](t, h.backends[0]).LastAccepted.Sub(said)
			t.Logf("last new work %v after the backend server said that it leaves", late.Round(time.Millisecond))
			if late > drainBound {
				t.Errorf("new work %v after the backend server said that it leaves", late)
			}
			close(stop)
			t.Logf("answers: %s", describe(<-done))
		})
	}
}
