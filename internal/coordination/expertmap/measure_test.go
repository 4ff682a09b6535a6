package expertmap

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/decisions/expert-maps.md")

const changes = 10

// runChanges proposes changes to a group of 64 ranks on 16 hosts, one every
// 8 s. It returns the reasons of their ends, the longest hold of the group in
// each, and the time from each proposal to the first step with the new map.
func runChanges(seed uint64, margin, election time.Duration) (ended map[Reason]int, held, latency []time.Duration) {
	s := newSim(seed, 64, 4)
	s.net.jitter, s.maxCommitDelay, s.stageTime = 20*time.Millisecond, 100*time.Millisecond, 2*time.Second
	s.cfg.StageTimeout = time.Minute
	s.depose(0)
	s.after(time.Second, func() { s.propose(0) })
	s.runFor(15 * time.Second)
	s.cfg.Margin = margin
	s.leader.c.cfg.Margin = margin
	clear(s.ended)
	for n := range changes {
		s.longestHold = 0
		begin, version := s.now, s.rec.Current.Version
		s.propose(n)
		if election > 0 {
			s.after(2500*time.Millisecond+time.Duration(n)*300*time.Millisecond, func() { s.depose(election) })
		}
		for range 8000 {
			s.runFor(time.Millisecond)
			if s.rec.Current.Version > version && s.hosts[0].engine.MapVersion() == s.rec.Current.Version {
				latency = append(latency, s.now.Sub(begin))
				version = s.rec.Current.Version
			}
		}
		held = append(held, s.longestHold)
	}
	if len(s.violations) > 0 {
		panic(s.violations)
	}
	return s.ended, held, latency
}

// Measures how long changes take and how long they hold the group, by margin.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, election := range []time.Duration{0, 1500 * time.Millisecond} {
		for _, margin := range []time.Duration{100, 250, 500, 1000, 2000, 3000} {
			ended := map[Reason]int{}
			var held, took []time.Duration
			for seed := uint64(1); seed <= 5; seed++ {
				e, h, d := runChanges(seed, margin*time.Millisecond, election)
				for r, n := range e {
					ended[r] += n
				}
				held, took = append(held, h...), append(took, d...)
			}
			slices.Sort(held)
			slices.Sort(took)
			fmt.Printf("margin %4d ms, leader change of %v: %d changes, ended %v, held median %v p95 %v worst %v, proposal to switch median %v\n",
				margin, election, len(held), ended, held[len(held)/2].Round(time.Millisecond),
				held[len(held)*95/100].Round(time.Millisecond), held[len(held)-1].Round(time.Millisecond), median(took))
		}
	}
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return d[len(d)/2].Round(time.Millisecond)
}

// BenchmarkReport measures the coordinator's work for one renewal of a host
// with 4 of 64 ranks.
func BenchmarkReport(b *testing.B) {
	s := newSim(1, 64, 4)
	s.propose(0)
	s.runFor(5 * time.Second)
	c, ack := s.leader.c, s.hosts[3].follower.Ack()
	b.ReportAllocs()
	for b.Loop() {
		c.groups["g"].report(s.now, ack)
		c.groups["g"].tick(s.cfg, s.now)
		c.groups["g"].order(ack.Ranks, ack.Incarnation)
	}
}
