package pool

import (
	"os"
	"strconv"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/size"
)

// newRequest returns the request of a caller as the gateway makes it.
func (p *player) newRequest(now time.Time, c *loadCaller) *Request {
	kind := &p.kinds[c.kind]
	wait := time.Duration(0)
	for i := range p.kinds {
		if p.kinds[i].priority >= kind.priority {
			wait = max(wait, min(2*p.kinds[i].targetFirst, loadDeadline/4))
		}
	}
	latest := now.Add(wait)
	if latest.After(c.deadline) {
		latest = c.deadline
	}
	return &Request{
		Service: "pool", Priority: kind.priority, Arrived: now, LatestStart: latest, TargetGap: loadGapTarget,
		TargetStart: now.Add(max(kind.targetFirst/4, kind.targetFirst-p.pools[c.entry].MeanTimeToFirstAnswer("pool"))),
		ID:          c.id, Kind: kind.name, ClientAccount: string(rune('a' + c.account)), Size: c.hint, Deadline: c.deadline,
	}
}

func recordWork(p *Pool, h size.Hint, held time.Duration) { p.RecordWork("pool", h, held) }

// urgency is the urgency header of a request at an engine, which admits more urgent
// requests first.
func (p *player) urgency(c *loadCaller) int { return p.kinds[c.kind].priority }

func isDisplaced(r *Request) bool { return r.displaced }

// worthNoise is how far the mean worth of four seeds may be from that of sixteen.
const worthNoise = 0.015

// loads are the loads that are played, and the worth of what callers got of it by the
// decisions before (docs/design/admission-by-value.md, sixteen seeds): no load may be
// served worse.
var loads = map[string]struct {
	change func(l *load)
	before float64
}{
	"calm":        {func(l *load) { l.shiftEvery = 0 }, 1.000},
	"usual":       {func(l *load) {}, 0.987},
	"bursts":      {func(l *load) { *l = l.withBursts() }, 0.922},
	"heavy":       {func(l *load) { heavy(l) }, 0.689},
	"heavy burst": {func(l *load) { heavy(l); *l = l.withBursts() }, 0.591},
	"two groups":  {func(l *load) { l.groups = 2 }, 0.768},
	"two, bursts": {func(l *load) { l.groups = 2; *l = l.withBursts() }, 0.696},
	"two, heavy":  {func(l *load) { heavy(l); l.groups = 2 }, 0.447},
	"outage":      {func(l *load) { l.outageAt, l.outageFor = 4*time.Second, 3*time.Second }, 0.795},
	"ignoring":    {func(l *load) { l.groups, l.ignoreShare = 2, 0.2; *l = l.withBursts() }, 0.706},
	"one":         {func(l *load) { *l = onePriority(3, 24) }, 0.991},
	"one, 8":      {func(l *load) { *l = onePriority(6, 8) }, 0.975},
	"one, 96":     {func(l *load) { *l = onePriority(1, 96) }, 0.995},
	"one, burst":  {func(l *load) { *l = onePriority(3, 24); *l = l.withBursts() }, 0.951},
	"one, heavy": {func(l *load) {
		*l = onePriority(3, 24)
		l.skew, l.unevenFor = 3.2, 1800*time.Millisecond
		*l = l.withBursts()
	}, 0.821},
	"one, short":  {func(l *load) { *l = onePriority(4, 8); l.kinds = l.scaled(1.5) }, 0.813},
	"one, outage": {func(l *load) { *l = onePriority(3, 24); l.outageAt, l.outageFor = 4*time.Second, 3*time.Second }, 0.812},
	"leaving": {func(l *load) {
		l.groups, l.leaveShare, l.leaveAfter = 2, 0.2, 600*time.Millisecond
		*l = l.withBursts()
	}, 0.704},
}

// playSeeds plays a load with several seeds and returns the mean worth and the sums of
// what callers of each kind got.
func playSeeds(l load, seeds uint64) (worth float64, sums []tally, last *player) {
	sums = make([]tally, len(l.kinds))
	for seed := range seeds {
		l.seed = seed + 1
		last = play(l)
		worth += last.worth() / float64(seeds)
		for i, got := range last.tallies {
			sums[i].add(got)
		}
	}
	return worth, sums, last
}

// TestCallers plays the loads of the heaviest day and guards against callers that get
// less than they can: urgent ones that get less than others, refusals of an urgent one
// while a less urgent one waits, refusals while most slots are free, and large requests
// that are served less than half as often as others.
func TestCallers(t *testing.T) {
	seeds := uint64(4)
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = uint64(n)
	}
	for name, test := range loads {
		t.Run(name, func(t *testing.T) {
			l := threeGroups()
			test.change(&l)
			worth, sums, last := playSeeds(l, seeds)
			t.Logf("%-11s worth %.3f, %d of %d passes slow, %.2f of the slots taken", name, worth, last.slowPasses, last.passes, last.taken/last.usable)
			for i := range sums {
				got := &sums[i]
				t.Logf("%-11s %-7s %v", name, l.kinds[i].name, got)
				if i > 0 && l.kinds[i].priority > l.kinds[i-1].priority && got.credit() > sums[i-1].credit()+0.02 {
					t.Errorf("%s gets %.3f, less urgent ones %.3f", l.kinds[i-1].name, sums[i-1].credit(), got.credit())
				}
				if got.idleRefusals > 0 {
					t.Errorf("%s: %d refusals while most slots were free", l.kinds[i].name, got.idleRefusals)
				}
				if got.unfair*50 > got.submitted {
					t.Errorf("%s: %d of %d refused while a less urgent one waited", l.kinds[i].name, got.unfair, got.submitted)
				}
				all := 0
				for class := range got.bySize {
					all += got.servedBySize[class]
				}
				for class, n := range got.bySize {
					if share := float64(got.servedBySize[class]) / float64(n); 2*share < float64(all)/float64(got.submitted) {
						t.Errorf("%s: %.2f of size class %d are served, %.2f of all", l.kinds[i].name, share, class, float64(all)/float64(got.submitted))
					}
				}
			}
			if worth < test.before-worthNoise {
				t.Errorf("worth %.3f, %.3f by the decisions before", worth, test.before)
			}
		})
	}
}
