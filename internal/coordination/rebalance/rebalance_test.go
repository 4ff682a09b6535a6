package rebalance

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawShares(t *rapid.T, experts int) []float64 {
	shares, total := make([]float64, experts), 0.0
	for e := range shares {
		shares[e] = math.Exp(rapid.Float64Range(-4, 4).Draw(t, "log share"))
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// Guards against a placement that loses an expert, overfills a rank, or loads
// more weights than allowed, and against loads kept in the search that differ
// from those of the placement.
func TestImproveKeepsPlacementValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		experts := rapid.IntRange(1, 24).Draw(t, "experts")
		ranks := rapid.IntRange(1, 8).Draw(t, "ranks")
		least := (experts + ranks - 1) / ranks
		slots := rapid.IntRange(least, min(experts, least+3)).Draw(t, "slots")
		p := FromScratch(drawShares(t, experts), experts, ranks, slots)
		if !p.Valid(experts, slots) {
			t.Fatalf("from scratch: %v", p)
		}
		shares, limit := drawShares(t, experts), rapid.IntRange(0, 30).Draw(t, "limit")
		moves, points := Improve(p, shares, slots, limit, 1)
		for n := range points {
			next := p.Apply(moves[:n])
			if !next.Valid(experts, slots) || p.Moved(next) > points[n].Weights || points[n].Weights > limit {
				t.Fatalf("after %d moves: %v, %d weights moved, point %+v", n, next, p.Moved(next), points[n])
			}
			if got := next.Skew(shares); math.Abs(got-points[n].Skew) > 1e-9 {
				t.Fatalf("after %d moves: skew %v, but the search computed %v", n, got, points[n].Skew)
			}
		}
	})
}

// Guards against proposals inside the hysteresis band, without a net gain, above
// the allowance of bytes, or while a change is open.
func TestPlannerDecisions(t *testing.T) {
	even := []uint64{100, 100, 100, 100, 100, 100, 100, 100}
	hot := []uint64{400, 100, 100, 100, 100, 100, 100, 100}
	for name, c := range map[string]struct {
		change func(*Config)
		tokens []uint64
		twice  bool
		want   Effect
	}{
		"balanced":     {func(*Config) {}, even, false, Keep{Reason: Balanced, Skew: 1}},
		"no payback":   {func(c *Config) { c.HoldSteps = 1e6 }, hot, false, Keep{Reason: NoPayback, Skew: 20.0 / 11}},
		"no budget":    {func(c *Config) { c.BurstBytes = c.ExpertBytes - 1 }, hot, false, Keep{Reason: NoBudget, Skew: 20.0 / 11}},
		"change open":  {func(*Config) {}, hot, true, Keep{Reason: ChangeOpen, Skew: 20.0 / 11}},
		"wrong length": {func(*Config) {}, hot[1:], false, Keep{Reason: BadInput}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig(4)
			cfg.Experts, cfg.Slots = 8, 3
			c.change(&cfg)
			p, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			// The placement in use has one replica of each expert, two on each
			// rank.
			if err := p.Resume(Placement{{0, 1}, {2, 3}, {4, 5}, {6, 7}}); err != nil {
				t.Fatal(err)
			}
			in := Measured{Tokens: c.tokens, StepTime: 20 * time.Millisecond}
			got := p.Step(time.Unix(0, 0), in)
			if c.twice {
				got = p.Step(time.Unix(1, 0), in)
			}
			about := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 })
			if diff := cmp.Diff([]Effect{c.want}, got, about); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against an allowance that is spent twice: from the start on, the bytes
// proposed must stay within the burst and the rate of the store.
func TestAllowance(t *testing.T) {
	cfg := DefaultConfig(64)
	cfg.StoreBytesPerSecond, cfg.BurstBytes = 10<<20, 20*cfg.ExpertBytes
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	d, now, bytes := newDrift(1, cfg.Experts, 0.1), time.Unix(0, 0), uint64(0)
	for n := range 100 {
		for _, e := range p.Step(now, Measured{Tokens: d.tokens(d.next()), StepTime: stepTime}) {
			if e, ok := e.(Propose); ok {
				bytes += e.Bytes
				p.Step(now, Settled{Committed: n%3 != 0})
			}
		}
		if allowed := cfg.BurstBytes + uint64(now.Sub(time.Unix(0, 0)).Seconds())*cfg.StoreBytesPerSecond; bytes > allowed {
			t.Fatalf("after %d intervals: %d bytes, allowed %d", n, bytes, allowed)
		}
		now = now.Add(interval)
	}
	if bytes == 0 {
		t.Error("no change was proposed")
	}
}

// BenchmarkPlan measures one plan at the target scale of 64 ranks, after 30
// intervals of drift.
func BenchmarkPlan(b *testing.B) {
	cfg := DefaultConfig(64)
	d := newDrift(1, cfg.Experts, 0.05)
	p := FromScratch(d.next(), cfg.Experts, cfg.Ranks, cfg.Slots)
	for range 30 {
		d.next()
	}
	shares := d.next()
	b.ReportAllocs()
	for b.Loop() {
		Improve(p, shares, cfg.Slots, int(cfg.BurstBytes/cfg.ExpertBytes), cfg.LowSkew)
	}
}
