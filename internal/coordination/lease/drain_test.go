package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/decisions/failure-domain-moves.md")

const (
	tick          = 2 * time.Millisecond
	renewInterval = 500 * time.Millisecond
	// drainBound is the time after the response to confirm from which a drained
	// failure domain must accept no new work.
	drainBound = 5 * time.Second
	confirmAt  = 4 * time.Second // the response to confirm, from the start
	runTime    = 20 * time.Second
)

// drainFaults selects the faults of a run around the drain.
type drainFaults struct{ cutOff, frozen, leaderChange bool }

// drainSimulation runs agents of one failure domain in virtual time, with a work
// request for each agent at each tick, and a drain that is committed at confirmAt.
type drainSimulation struct {
	rng     *rand.Rand
	timing  Timing
	now     time.Duration
	due     map[time.Duration][]func()
	table   *Table // nil without a leader
	rate    float64
	agents  []*agent
	current uint64 // revision; 2 drains the failure domain

	lastWork time.Duration // after the response to confirm
	inForce  time.Duration // when it is reported, after the response to confirm
	refused  int           // requests at agents that were never cut off or frozen
	requests int
	gap      time.Duration // longest time that such an agent had no lease
}

type agent struct {
	id                   string
	holder               Holder
	running              uint64
	rate                 float64 // of its clock
	cutFrom, cutTo       time.Duration
	frozenFrom, frozenTo time.Duration
	delayedAnswers       []func() // answers that arrived while frozen
	gap                  time.Duration
	hadLease, fault      bool
}

func simulateDrain(seed uint64, timing Timing, faults drainFaults) *drainSimulation {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := &drainSimulation{
		rng: rng, timing: timing, due: map[time.Duration][]func(){}, current: 1,
		rate: 0.975 + 0.05*rng.Float64(), inForce: -1,
	}
	s.elect()
	for n := range 24 {
		a := &agent{id: fmt.Sprint(n), rate: 0.975 + 0.05*rng.Float64()}
		s.fault(a, faults)
		s.agents = append(s.agents, a)
		s.at(time.Duration(rng.Int64N(int64(renewInterval))), func() { s.renew(a) })
	}
	s.at(confirmAt, func() { s.current = 2 })
	if faults.leaderChange {
		// The election is anywhere between one that ends with the response and
		// one that starts 3 s after it. An election takes at most 1.5 s.
		election := 500*time.Millisecond + s.between(0, time.Second)
		start := confirmAt - election + s.between(0, 3*time.Second+election)
		s.at(start, func() { s.table = nil })
		s.at(start+election, s.elect)
	}
	for s.now = 0; s.now < runTime; s.now += tick {
		s.step()
	}
	return s
}

// between returns a random time, truncated to a tick.
func (s *drainSimulation) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(s.rng.Int64N(int64(to-from)+1))).Truncate(tick)
}

// fault draws a fault around the drain for a sixth of the agents for each of
// cutOff and frozen.
func (s *drainSimulation) fault(a *agent, faults drainFaults) {
	from := s.between(confirmAt-3500*time.Millisecond, confirmAt+time.Second)
	length := s.between(100*time.Millisecond, 8*time.Second)
	switch kind := s.rng.IntN(6); {
	case kind == 0 && faults.cutOff:
		a.cutFrom, a.cutTo, a.fault = from, from+length, true
	case kind == 1 && faults.frozen:
		a.frozenFrom, a.frozenTo, a.fault = from, from+length, true
	}
}

func (s *drainSimulation) at(when time.Duration, run func()) {
	when = when.Truncate(tick)
	s.due[when] = append(s.due[when], run)
}

func (s *drainSimulation) elect() { s.table = NewTable(s.timing, s.clock(s.rate)) }

// clock returns the time of a clock that runs at the given rate.
func (s *drainSimulation) clock(rate float64) time.Time {
	return time.Unix(0, int64(float64(s.now)*rate))
}

// latency returns one tick, or for one message in 50 up to 2 s.
func (s *drainSimulation) latency() time.Duration {
	if s.rng.IntN(50) == 0 {
		return s.between(tick, 2*time.Second)
	}
	return tick
}

func (s *drainSimulation) renew(a *agent) {
	s.at(s.now+renewInterval, func() { s.renew(a) })
	if a.isFrozen(s.now) || a.isCutOff(s.now) {
		return
	}
	sent, running := s.clock(a.rate), a.running
	s.at(s.now+s.latency(), func() {
		leader := s.table
		if leader == nil {
			return
		}
		// The answer is sent after a quorum has confirmed the leader.
		s.at(s.now+s.between(tick, 10*time.Millisecond), func() {
			if s.table == leader {
				s.answer(a, sent, running)
			}
		})
	})
}

func (s *drainSimulation) answer(a *agent, sent time.Time, running uint64) {
	revision := s.current
	s.table.Grant(s.clock(s.rate), Node{ID: a.id}, running, revision)
	s.at(s.now+s.latency(), func() {
		if a.isCutOff(s.now) {
			return
		}
		accept := func() {
			a.running = max(a.running, revision)
			if a.running == revision {
				a.holder.Granted(sent, s.timing.Duration)
			}
		}
		if a.isFrozen(s.now) {
			a.delayedAnswers = append(a.delayedAnswers, accept)
			return
		}
		accept()
	})
}

func (a *agent) isCutOff(now time.Duration) bool { return now >= a.cutFrom && now < a.cutTo }
func (a *agent) isFrozen(now time.Duration) bool { return now >= a.frozenFrom && now < a.frozenTo }

func (s *drainSimulation) step() {
	for _, run := range s.due[s.now] {
		run()
	}
	delete(s.due, s.now)
	for _, a := range s.agents {
		if !a.isFrozen(s.now) {
			s.work(a)
		}
	}
	if s.current == 2 && s.inForce < 0 && s.table != nil && s.table.InForce(s.clock(s.rate), 2) {
		s.inForce = s.now - confirmAt
	}
}

// work sends a request to an agent. An agent that has just been frozen accepts
// work before it reads the delayed answers, which is the worse order.
func (s *drainSimulation) work(a *agent) {
	held := a.holder.IsHeld(s.clock(a.rate))
	if held && a.running < 2 && s.now >= confirmAt {
		s.lastWork = max(s.lastWork, s.now-confirmAt)
	}
	for _, accept := range a.delayedAnswers {
		accept()
	}
	a.delayedAnswers = nil
	if a.hadLease = a.hadLease || held; !a.hadLease || a.fault {
		return
	}
	s.requests++
	if held {
		a.gap = 0
		return
	}
	s.refused++
	a.gap += tick
	s.gap = max(s.gap, a.gap)
}

var drainScenarios = map[string]drainFaults{
	"no fault":      {},
	"cut off":       {cutOff: true},
	"frozen":        {frozen: true},
	"leader change": {leaderChange: true},
	"all":           {cutOff: true, frozen: true, leaderChange: true},
}

// TestDrainBound guards against a drained failure domain that accepts work later
// than 5 s after the response to confirm, and against a drain that is reported as
// in force while an agent still accepts work.
func TestDrainBound(t *testing.T) {
	for name, faults := range drainScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(24) {
				s := simulateDrain(seed, DefaultTiming(), faults)
				if s.lastWork > drainBound || s.inForce < s.lastWork {
					t.Errorf("seed %d: last work %v, in force %v, refused %d", seed, s.lastWork, s.inForce, s.refused)
				}
			}
		})
	}
}

// TestMeasureMoves measures the times of a drain and the requests refused during a
// leader change, by lease duration, for
// docs/decisions/failure-domain-moves.md.
func TestMeasureMoves(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const seeds = 40
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		for _, name := range []string{"no fault", "cut off", "frozen", "leader change", "all"} {
			var last, force []time.Duration
			refused, requests, gap := 0, 0, time.Duration(0)
			for seed := range uint64(seeds) {
				s := simulateDrain(seed, Timing{Duration: d, Margin: d * marginPercent / 100}, drainScenarios[name])
				last, force = append(last, s.lastWork), append(force, s.inForce)
				refused, requests, gap = refused+s.refused, requests+s.requests, max(gap, s.gap)
			}
			slices.Sort(last)
			slices.Sort(force)
			fmt.Printf("lease %v, %-13s last new work median %4d ms worst %4d ms; in force median %4d ms worst %4d ms; refused %.3f %% of requests, longest gap %v\n",
				d, name+":", last[seeds/2].Milliseconds(), last[seeds-1].Milliseconds(),
				force[seeds/2].Milliseconds(), force[seeds-1].Milliseconds(), 100*float64(refused)/float64(requests), gap)
		}
	}
}
