package expertmap

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultKind is a kind of fault that the simulation injects.
type faultKind int

const (
	stallRank faultKind = iota
	killEngine
	killAgent
	partitionHost
	changeLeader
	proposeMap
	killGroup
	faultKinds
)

type injectedFault struct {
	at, length time.Duration
	kind       faultKind
	host       int
}

func (d injectedFault) String() string {
	return fmt.Sprintf("{at %v for %v kind %d host %d}", d.at, d.length, d.kind, d.host)
}

// faultTime is the time with faults; the group must recover after it.
const faultTime = 15 * time.Second

func genFault(hosts int) *rapid.Generator[injectedFault] {
	return rapid.Custom(func(t *rapid.T) injectedFault {
		return injectedFault{
			at:     time.Duration(rapid.IntRange(0, 13000).Draw(t, "at")) * time.Millisecond,
			length: time.Duration(rapid.OneOf(rapid.IntRange(1, 50), rapid.IntRange(1, 1900)).Draw(t, "length")) * time.Millisecond,
			kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			host:   rapid.IntRange(0, hosts-1).Draw(t, "host"),
		}
	})
}

func (s *sim) inject(d injectedFault) {
	h := s.hosts[d.host]
	switch d.kind {
	case stallRank:
		h.stalledUntil = s.now.Add(d.length)
		s.after(d.length, s.tryStart)
	case killEngine:
		s.killEngine(h, d.length)
	case killAgent:
		h.follower = nil
		s.after(d.length, func() {
			if h.follower == nil {
				s.startAgent(h)
			}
		})
	case partitionHost:
		h.partitionedUntil = s.now.Add(d.length)
	case changeLeader:
		s.depose(d.length)
	case proposeMap:
		s.propose(int(d.length))
	case killGroup:
		s.killGroup(d.length)
	}
}

func (s *sim) killEngine(h *host, length time.Duration) {
	h.engine, h.running, h.holdSince = nil, false, time.Time{}
	s.after(length, func() {
		if h.engine == nil {
			s.startEngine(h)
		}
	})
}

// killGroup restarts all ranks, so that none has the step of the group. The
// restarted group shares no state with the old one and may reuse step numbers.
func (s *sim) killGroup(length time.Duration) {
	for n, h := range s.hosts {
		s.killEngine(h, length+time.Duration(n)*time.Millisecond)
		h.finished = 0
	}
	s.stepLost = true
	clear(s.history)
}

// checkRecovery ends all faults and asserts that the group continues and that one
// of the next proposals commits; a margin shorter than the delay of messages
// needs several.
func (s *sim) checkRecovery(proposals int) error {
	s.net.loss, s.net.repeat, s.net.jitter, s.maxCommitDelay = 0, 0, 0, 0
	s.runFor(8 * time.Second)
	before, version := s.finishedByAll(), s.rec.Current.Version
	for n := 0; n < proposals && s.rec.Current.Version <= version; n++ {
		s.propose(n)
		s.runFor(5 * time.Second)
	}
	s.runFor(3 * time.Second)
	switch {
	case len(s.violations) > 0:
		return fmt.Errorf("%v", s.violations)
	case s.finishedByAll() < before+uint64(8*time.Second/s.stepTime)/2: // half of the steps that fit
		return fmt.Errorf("the group is at step %d, was at step %d at least 8 s earlier", s.finishedByAll(), before)
	case s.rec.Current.Version <= version:
		return fmt.Errorf("no change was committed: version %d, ends of changes %v", s.rec.Version, s.ended)
	}
	for _, h := range s.hosts {
		if h.engine.MapVersion() != s.rec.Current.Version {
			return fmt.Errorf("host %d uses map %d, want %d", h.id, h.engine.MapVersion(), s.rec.Current.Version)
		}
	}
	return nil
}

func checkFaults(t *rapid.T, ranks, perHost int) {
	s := newSim(rapid.Uint64().Draw(t, "seed"), ranks, perHost)
	for _, h := range s.hosts {
		h.unchecked = rapid.Bool().Draw(t, "unchecked")
	}
	s.net.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	s.net.repeat = rapid.Float64Range(0, 0.3).Draw(t, "repeat")
	s.net.jitter = time.Duration(rapid.IntRange(0, 1500).Draw(t, "jitter")) * time.Millisecond
	s.maxCommitDelay = time.Duration(rapid.SampledFrom([]int{0, 300, 3000}).Draw(t, "commit")) * time.Millisecond
	s.cfg.Margin = time.Duration(rapid.IntRange(0, 2000).Draw(t, "margin")) * time.Millisecond
	s.after(200*time.Millisecond, func() { s.propose(0) })
	for at := 2 * time.Second; at < faultTime; at += 1500 * time.Millisecond {
		s.after(at, func() { s.propose(int(at)) })
	}
	for _, d := range rapid.SliceOfN(genFault(len(s.hosts)), 0, 20).Draw(t, "faults") {
		s.after(d.at, func() { s.inject(d) })
	}
	s.runFor(faultTime)
	if err := s.checkRecovery(6); err != nil {
		t.Fatal(err)
	}
}

// Guards against a step with two maps, and against a group or a change that
// stays blocked, under lost, late, repeated and reordered messages, stalls,
// restarts, leader changes and backend servers that follow every order.
func TestFaults(t *testing.T) {
	t.Run("small", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) { checkFaults(t, rapid.IntRange(1, 6).Draw(t, "ranks"), 1) })
	})
	t.Run("several ranks on a host", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) { checkFaults(t, 9, 4) })
	})
}

// Guards against faults that show only with as many ranks as the target scale
// has.
func TestFaultsAtScale(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		s := newSim(seed, 64, 1)
		s.net = network{delay: time.Millisecond, jitter: 200 * time.Millisecond, loss: 0.05, repeat: 0.05}
		for at := 200 * time.Millisecond; at < faultTime; at += time.Second {
			s.after(at, func() { s.propose(int(at)) })
		}
		for range 10 {
			d := injectedFault{
				at:     time.Duration(s.rng.Int64N(int64(13 * time.Second))),
				length: time.Duration(s.rng.Int64N(int64(2 * time.Second))),
				kind:   faultKind(s.rng.IntN(int(faultKinds))), host: s.rng.IntN(64),
			}
			s.after(d.at, func() { s.inject(d) })
		}
		s.runFor(faultTime)
		if err := s.checkRecovery(1); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a point of a change at which a leader change, the restart of a
// rank, of an agent or of the group, or a leader change with a restart breaks it:
// each is injected after every single event of two changes.
func TestFaultAtEveryEvent(t *testing.T) {
	for name, fault := range map[string]func(s *sim){
		"leader change":        func(s *sim) { s.depose(700 * time.Millisecond) },
		"leader change, quick": func(s *sim) { s.depose(time.Millisecond) },
		"rank restart":         func(s *sim) { s.killEngine(s.hosts[0], 10*time.Millisecond) },
		"agent restart":        func(s *sim) { s.inject(injectedFault{kind: killAgent, length: 10 * time.Millisecond}) },
		"group restart":        func(s *sim) { s.killGroup(10 * time.Millisecond) },
		"rank and leader": func(s *sim) {
			s.killEngine(s.hosts[1], 5*time.Millisecond)
			s.depose(30 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stride := uint64(1)
			if testing.Short() {
				stride = 17
			}
			for _, commit := range []time.Duration{0, 2 * time.Second} {
				count, proposals := everyEvent(commit, nil).count, 1
				if commit > 0 {
					proposals = 3
				}
				for n := uint64(1); n < count; n += stride {
					s := everyEvent(commit, func(s *sim, at uint64) {
						if at == n {
							fault(s)
						}
					})
					if err := s.checkRecovery(proposals); err != nil {
						t.Fatalf("after event %d, commits within %v: %v", n, commit, err)
					}
				}
			}
		})
	}
}

// everyEvent runs two changes. With slow commits the margin is short too, so
// that ranks reach the switch step before the decision.
func everyEvent(commit time.Duration, fault func(s *sim, at uint64)) *sim {
	s := newSim(5, 2, 1)
	s.stepTime = 100 * time.Millisecond // fewer events that only start steps
	s.maxCommitDelay = commit
	if commit > 0 {
		s.leader.c.cfg.Margin, s.cfg.Margin = 0, 0
	}
	if fault != nil {
		s.onEvent = func(n uint64) { fault(s, n) }
	}
	s.after(100*time.Millisecond, func() { s.propose(0) })
	s.after(4*time.Second, func() { s.propose(1) })
	s.runFor(8 * time.Second)
	return s
}
