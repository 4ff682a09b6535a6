package routing

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "run the comparison with other strategies and print it")

func (r *simResult) p95() time.Duration {
	if len(r.firstToken) == 0 {
		return math.MaxInt64
	}
	slices.Sort(r.firstToken)
	return r.firstToken[len(r.firstToken)*95/100]
}

func (r *simResult) hitRate() float64 { return float64(r.hits) / float64(max(r.blocks, 1)) }

func (r *simResult) goodput() float64 { return float64(r.good) / r.seconds }

func (r *simResult) String() string {
	return fmt.Sprintf("first token p95 %4d ms, hit rate %.3f, goodput %6.1f/s, lost %4.1f %% (shed %d, refused %d, retry budget %d) of %d",
		r.p95().Milliseconds(), r.hitRate(), r.goodput(), 100*float64(r.shed+r.refused+r.noBudget)/float64(r.arrivals),
		r.shed, r.refused, r.noBudget, r.arrivals)
}

// strategies returns the strategies that are compared.
func strategies(seed uint64) map[string]func(*sim, int) strategy {
	base := func(pick func(*baseline, []int) int) func(*sim, int) strategy {
		return func(s *sim, entry int) strategy {
			return &baseline{pick: pick, random: rand.New(rand.NewPCG(seed, uint64(entry))),
				outstanding: make([]int, len(s.engines)), avoid: make([]time.Duration, len(s.engines))}
		}
	}
	return map[string]func(*sim, int) strategy{
		"round robin":        base(roundRobin),
		"least outstanding":  base(leastOutstanding),
		"two random choices": base(twoChoices),
		"oracle":             func(s *sim, _ int) strategy { return oracle{s.engines} },
		"routing":            func(s *sim, entry int) strategy { return newViewStrategy(s.engines, entry, seed, DefaultWeights()) },
	}
}

// capacity returns the requests per second that two random choices complete when
// 500 requests per second arrive, about three times as many.
func capacity(seed uint64) float64 {
	r := newSim(seed, 500, strategies(seed)["two random choices"]).run()
	return float64(r.done) / r.seconds
}

// TestMeasure compares the package with three baselines and an oracle. It guards
// against a change that makes routing worse than its goals: a lower p95 than each
// baseline at 90 % load, a hit rate within a tenth of the oracle's, and no less
// goodput at 150 % than at 100 %.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	names := []string{"round robin", "least outstanding", "two random choices", "routing", "oracle"}
	for seed := uint64(1); seed <= 3; seed++ {
		full := capacity(seed)
		fmt.Printf("seed %d: capacity %.1f/s by two random choices\n", seed, full)
		results := map[string]map[int]*simResult{}
		for _, percent := range []int{90, 100, 150} {
			for _, name := range names {
				r := newSim(seed, full*float64(percent)/100, strategies(seed)[name]).run()
				if results[name] == nil {
					results[name] = map[int]*simResult{}
				}
				results[name][percent] = r
				fmt.Printf("  %3d %%  %-18s  %v\n", percent, name, r)
			}
		}
		own := results["routing"]
		for _, name := range names[:3] {
			if own[90].p95() >= results[name][90].p95() {
				t.Errorf("seed %d: p95 %v is not below %v of %s", seed, own[90].p95(), results[name][90].p95(), name)
			}
		}
		for _, percent := range []int{90, 150} {
			if got, best := own[percent].hitRate(), results["oracle"][percent].hitRate(); got < 0.9*best {
				t.Errorf("seed %d: hit rate %.3f at %d %% is not within a tenth of %.3f", seed, got, percent, best)
			}
		}
		if own[150].goodput() < own[100].goodput() {
			t.Errorf("seed %d: goodput %.1f/s at 150 %% is below %.1f/s at 100 %%", seed, own[150].goodput(), own[100].goodput())
		}
	}
}

// TestMeasureFairness guards against a large account that starves others: at ten
// times its share it may reduce their goodput by at most a tenth.
func TestMeasureFairness(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	others := func(r *simResult) float64 {
		n := 0
		for account, good := range r.goodByAccount {
			if account != 0 {
				n += good
			}
		}
		return float64(n) / r.seconds
	}
	for seed := uint64(1); seed <= 3; seed++ {
		full := capacity(seed)
		// Ten accounts have equal shares; the others use nine tenths of theirs.
		share, routed := full/10, strategies(seed)["routing"]
		normal := newSim(seed, 10*0.9*share, routed)
		normal.heavyShare = 0.1
		before := others(normal.run())
		overloaded := newSim(seed, 9*0.9*share+10*share, routed)
		overloaded.heavyShare = 10 * share / overloaded.rate
		result := overloaded.run()
		after := others(result)
		fmt.Printf("seed %d: goodput of the other accounts %.1f/s without and %.1f/s with the large account (%+.1f %%), whose goodput is %.1f/s of %.1f/s\n",
			seed, before, after, 100*(after/before-1), float64(result.goodByAccount[0])/result.seconds, 10*share)
		if after < 0.9*before {
			t.Errorf("seed %d: the other accounts lost more than a tenth of their goodput", seed)
		}
	}
}
