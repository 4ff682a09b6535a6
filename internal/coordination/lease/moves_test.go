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
	tick       = 2 * time.Millisecond
	renewEvery = 500 * time.Millisecond
	// drainBound is the time after the response to confirm at which a drained
	// failure domain may take no new work.
	drainBound = 5 * time.Second
	confirmAt  = 4 * time.Second // the response to confirm, from the start
	runTime    = 20 * time.Second
)

// moveFaults says which faults a run has around the drain.
type moveFaults struct{ cutOff, frozen, leaderChange bool }

// move runs agents of one failure domain in virtual time, with a work request
// for each agent at each tick, and a drain that is committed at confirmAt.
type move struct {
	rng     *rand.Rand
	terms   Timing
	now     time.Duration
	due     map[time.Duration][]func()
	table   *Table // nil without a leader
	rate    float64
	agents  []*agent
	current uint64 // revision; 2 drains

	lastWork time.Duration // after the response to confirm
	inForce  time.Duration // reported, after the response to confirm
	refused  int           // requests at agents that were never cut off or frozen
	requests int
	gap      time.Duration // longest time without a lease of such an agent
}

type agent struct {
	id                   string
	holder               Holder
	running              uint64
	rate                 float64 // of its clock
	cutFrom, cutTo       time.Duration
	frozenFrom, frozenTo time.Duration
	waiting              []func() // answers that arrived while frozen
	gap                  time.Duration
	hadLease, fault      bool
}

func runMove(seed uint64, terms Timing, faults moveFaults) *move {
	rng := rand.New(rand.NewPCG(seed, 3))
	m := &move{
		rng: rng, terms: terms, due: map[time.Duration][]func(){}, current: 1,
		rate: 0.975 + 0.05*rng.Float64(), inForce: -1,
	}
	m.lead()
	for n := range 24 {
		a := &agent{id: fmt.Sprint(n), rate: 0.975 + 0.05*rng.Float64()}
		m.fault(a, faults)
		m.agents = append(m.agents, a)
		m.at(time.Duration(rng.Int64N(int64(renewEvery))), func() { m.renew(a) })
	}
	m.at(confirmAt, func() { m.current = 2 })
	if faults.leaderChange {
		// From an election that ends with the response to one that starts 3 s
		// after it. An election takes at most 1.5 s.
		election := 500*time.Millisecond + m.between(0, time.Second)
		start := confirmAt - election + m.between(0, 3*time.Second+election)
		m.at(start, func() { m.table = nil })
		m.at(start+election, m.lead)
	}
	for m.now = 0; m.now < runTime; m.now += tick {
		m.step()
	}
	return m
}

// between returns a random time; it lies on a tick.
func (m *move) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(m.rng.Int64N(int64(to-from)+1))).Truncate(tick)
}

// fault draws a fault for a third of the agents, around the drain.
func (m *move) fault(a *agent, faults moveFaults) {
	from := m.between(confirmAt-3500*time.Millisecond, confirmAt+time.Second)
	length := m.between(100*time.Millisecond, 8*time.Second)
	switch kind := m.rng.IntN(6); {
	case kind == 0 && faults.cutOff:
		a.cutFrom, a.cutTo, a.fault = from, from+length, true
	case kind == 1 && faults.frozen:
		a.frozenFrom, a.frozenTo, a.fault = from, from+length, true
	}
}

func (m *move) at(when time.Duration, run func()) {
	when = when.Truncate(tick)
	m.due[when] = append(m.due[when], run)
}

func (m *move) lead() { m.table = NewTable(m.terms, m.clock(m.rate)) }

// clock reads a clock that runs at a rate.
func (m *move) clock(rate float64) time.Time {
	return time.Unix(0, int64(float64(m.now)*rate))
}

// latency is 1 ms, and now and then up to 2 s.
func (m *move) latency() time.Duration {
	if m.rng.IntN(50) == 0 {
		return m.between(tick, 2*time.Second)
	}
	return tick
}

func (m *move) renew(a *agent) {
	m.at(m.now+renewEvery, func() { m.renew(a) })
	if a.isFrozen(m.now) || a.isCutOff(m.now) {
		return
	}
	sent, running := m.clock(a.rate), a.running
	m.at(m.now+m.latency(), func() {
		leader := m.table
		if leader == nil {
			return
		}
		// The answer goes out after a quorum has confirmed the leader.
		m.at(m.now+m.between(tick, 10*time.Millisecond), func() {
			if m.table == leader {
				m.answer(a, sent, running)
			}
		})
	})
}

func (m *move) answer(a *agent, sent time.Time, running uint64) {
	revision := m.current
	m.table.Grant(m.clock(m.rate), Node{ID: a.id}, running, revision)
	m.at(m.now+m.latency(), func() {
		if a.isCutOff(m.now) {
			return
		}
		accept := func() {
			a.running = max(a.running, revision)
			if a.running == revision {
				a.holder.Granted(sent, m.terms.Duration)
			}
		}
		if a.isFrozen(m.now) {
			a.waiting = append(a.waiting, accept)
			return
		}
		accept()
	})
}

func (a *agent) isCutOff(now time.Duration) bool { return now >= a.cutFrom && now < a.cutTo }
func (a *agent) isFrozen(now time.Duration) bool { return now >= a.frozenFrom && now < a.frozenTo }

func (m *move) step() {
	for _, run := range m.due[m.now] {
		run()
	}
	delete(m.due, m.now)
	for _, a := range m.agents {
		if !a.isFrozen(m.now) {
			m.work(a)
		}
	}
	if m.current == 2 && m.inForce < 0 && m.table != nil && m.table.InForce(m.clock(m.rate), 2) {
		m.inForce = m.now - confirmAt
	}
}

// work offers a request to an agent. One that has just been frozen takes work
// before it reads the answers that have waited, which is the worse order.
func (m *move) work(a *agent) {
	held := a.holder.IsHeld(m.clock(a.rate))
	if held && a.running < 2 && m.now >= confirmAt {
		m.lastWork = max(m.lastWork, m.now-confirmAt)
	}
	for _, accept := range a.waiting {
		accept()
	}
	a.waiting = nil
	if a.hadLease = a.hadLease || held; !a.hadLease || a.fault {
		return
	}
	m.requests++
	if held {
		a.gap = 0
		return
	}
	m.refused++
	a.gap += tick
	m.gap = max(m.gap, a.gap)
}

var moveScenarios = map[string]moveFaults{
	"no fault":      {},
	"cut off":       {cutOff: true},
	"frozen":        {frozen: true},
	"leader change": {leaderChange: true},
	"all":           {cutOff: true, frozen: true, leaderChange: true},
}

// It guards against work that a drained failure domain takes later than 5 s
// after the response to confirm, and against a drain that is reported as in
// force while an agent still takes work.
func TestDrainBound(t *testing.T) {
	for name, faults := range moveScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(24) {
				m := runMove(seed, DefaultTiming(), faults)
				if m.lastWork > drainBound || m.inForce < m.lastWork {
					t.Errorf("seed %d: last work %v, in force %v, refused %d", seed, m.lastWork, m.inForce, m.refused)
				}
			}
		})
	}
}

// It measures the times of a drain and the refusals of a leader change, by
// lease, for the decision page.
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
				m := runMove(seed, Timing{Duration: d, Margin: d * marginPercent / 100}, moveScenarios[name])
				last, force = append(last, m.lastWork), append(force, m.inForce)
				refused, requests, gap = refused+m.refused, requests+m.requests, max(gap, m.gap)
			}
			slices.Sort(last)
			slices.Sort(force)
			fmt.Printf("lease %v, %-13s last new work median %4d ms worst %4d ms; in force median %4d ms worst %4d ms; refused %.3f %% of requests, longest gap %v\n",
				d, name+":", last[seeds/2].Milliseconds(), last[seeds-1].Milliseconds(),
				force[seeds/2].Milliseconds(), force[seeds-1].Milliseconds(), 100*float64(refused)/float64(requests), gap)
		}
	}
}
