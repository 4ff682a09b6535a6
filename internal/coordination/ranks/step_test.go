package ranks

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
)

// TestChooseStep guards against a first step that copies what could follow later,
// against copies that cannot pay within the lifetime of the popularity, and against
// several steps where one is as good.
func TestChooseStep(t *testing.T) {
	stages := []rebalance.Stage{
		{Skew: 2.4}, {PerRank: 1, Skew: 1.8}, {PerRank: 2, Skew: 1.6}, {PerRank: 4, Skew: 1.4}, {PerRank: 8, Skew: 1.2}, {PerRank: 16, Skew: 1.1},
	}
	tests := map[string]struct {
		copyTime, lifetime time.Duration
		load               float64
		want               int // index of the stage
	}{
		"large experts, long lifetime":  {copyTime: 76 * time.Millisecond, lifetime: 10 * time.Second, load: 0.7, want: 2},
		"large experts, short lifetime": {copyTime: 76 * time.Millisecond, lifetime: 500 * time.Millisecond, load: 0.7, want: 1},
		"small experts":                 {copyTime: time.Millisecond, lifetime: 4 * time.Second, load: 0.7, want: 5},
		"lifetime shorter than a step":  {copyTime: 76 * time.Millisecond, lifetime: 200 * time.Millisecond, load: 0.7, want: 0},
		"copies longer than lifetime":   {copyTime: 5 * time.Second, lifetime: 4 * time.Second, load: 0.7, want: 0},
		"few requests":                  {copyTime: 76 * time.Millisecond, lifetime: 500 * time.Millisecond, load: minLoad, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := costs{copyTime: test.copyTime, orderTime: 150 * time.Millisecond, expertShare: 0.85, lifetime: test.lifetime, load: test.load}
			if got := c.chooseStep(stages); got != test.want {
				t.Errorf("stage %d, want %d", got, test.want)
			}
		})
	}
}

// TestLifetime guards against a lifetime that does not shorten while a popularity
// lasts, and against one of zero after a shift that was not noticed.
func TestLifetime(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		shifts []time.Duration
		age    time.Duration
		want   time.Duration
	}{
		"no shift":               {want: defaultLifetime},
		"one shift":              {shifts: []time.Duration{0}, age: time.Second, want: defaultLifetime},
		"just after a shift":     {shifts: []time.Duration{0, 4 * time.Second, 10 * time.Second}, want: 5 * time.Second},
		"later":                  {shifts: []time.Duration{0, 4 * time.Second, 10 * time.Second}, age: 3 * time.Second, want: 2 * time.Second},
		"longer than the least":  {shifts: []time.Duration{0, 4 * time.Second, 10 * time.Second}, age: 4100 * time.Millisecond, want: 1900 * time.Millisecond},
		"longer than all so far": {shifts: []time.Duration{0, 4 * time.Second, 10 * time.Second}, age: time.Minute, want: 1500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := &shifts{}, start
			for _, at := range test.shifts {
				now = start.Add(at)
				s.observe(now)
			}
			if got := s.remaining(now.Add(test.age)); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// TestStepIsShort guards against a change after which the busiest ranks are relieved
// only once all copies are made: a change at once takes over 0.6 s of copies with
// experts of 420 MB, during which most streams get a pass over their target.
func TestStepIsShort(t *testing.T) {
	const bound = 300 * time.Millisecond // of copies, with 76 ms for each
	d := deployments()["420 MB experts"]
	d.topicWeight = 0.65
	for seed := range uint64(3) {
		p, now, current := shiftedPopularity(d, seed)
		chosen := decideStep(d, 150*time.Millisecond)(p, now, current)
		if chosen == nil {
			t.Fatalf("seed %d: no step is planned", seed)
		}
		copies := newPerRank(current, chosen.improved)
		if took := time.Duration(copies) * d.spec.CopyTime(); took > bound {
			t.Errorf("seed %d: the copies take %v", seed, took)
		}
		if copies != chosen.perRank {
			t.Errorf("seed %d: %d copies on a rank, but the plan says %d", seed, copies, chosen.perRank)
		}
		if relieved := (chosen.before - chosen.after) / (chosen.before - 1); relieved < 0.3 {
			t.Errorf("seed %d: the skew goes from %.2f to %.2f", seed, chosen.before, chosen.after)
		}
	}
}

// shiftedPopularity returns the popularity 0.6 s after its first shift, with the map
// for the time before.
func shiftedPopularity(d deployment, seed uint64) (*popularity, time.Time, Map) {
	t := newTopics(seed, d.spec, d.topicWeight)
	p, now, counts, current := newPopularity(), time.Unix(1000, 0), emptyCounts(d.spec), startMap(d, t)
	for i := range 24 {
		if i == 20 {
			t.shift()
		}
		addCounts(counts, t.sample(13))
		now = now.Add(quickPlanInterval)
		p.observe(now, d.spec, map[string]ExpertCounts{"r": {Sets: clone(counts)}})
	}
	return p, now, current
}

// TestUnknownCosts guards against another decision than before where the catalog does
// not give what a copy costs.
func TestUnknownCosts(t *testing.T) {
	d := deployments()["150 MB experts"]
	p, _, current := shiftedPopularity(d, 1)
	b := &Rebalancer{}
	for name, change := range map[string]func(*deployment){
		"size":  func(d *deployment) { d.spec.ExpertBytes = 0 },
		"link":  func(d *deployment) { d.spec.CopyBytesPerSecond = 0 },
		"share": func(d *deployment) { d.spec.ExpertShare = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			unknown := d
			change(&unknown)
			got := b.plan(&groupState{current: mapState{content: current}}, unknown.spec, p, 0.7)
			if diff := cmp.Diff(p.improve(d.spec, current, 0.7), got, cmp.AllowUnexported(plan{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSteps guards against two maps in one pass and against a group that stays held if
// the next change begins as soon as all reports show the version of the last one, while
// copies of its orders may still be executed.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &simulatedGroup{epoch: 1, ranks: make([]simulatedRank, 4)}
		now := time.Unix(1000, 0)
		var history [][]Report
		firstReport := 0
		l := &simulatedLeader{}
		switched := uint64(0) // the version of the last change while it may settle
		var ended time.Time
		step := func(reports []Report, lossy bool) {
			if l.change == nil && switched > 0 && now.Sub(ended) < settleTime && !(allUse(reports, switched) && isSettled(reports)) {
				return
			}
			var version uint64
			if l.change != nil {
				version = l.change.Target.Version
			}
			if !l.runStep(t, g, reports, now, lossy) {
				return
			}
			ended, switched = now, version
			if version == 0 {
				firstReport = len(history) // a release, after settleTime
			}
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			history = append(history, g.reports())
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				g.advance()
			case 3:
				if len(g.delayed) > 0 {
					i := rapid.IntRange(0, len(g.delayed)-1).Draw(t, "late")
					g.apply(g.delayed[i])
					g.delayed = append(g.delayed[:i], g.delayed[i+1:]...)
				}
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "replaced") == 0 {
					l, firstReport, switched = &simulatedLeader{version: l.version}, len(history), 0
				}
			default:
				if at := len(history) - 1 - rapid.IntRange(0, 3).Draw(t, "age"); at >= firstReport {
					step(history[at], true)
				}
			}
			if g.violation != "" {
				t.Fatalf("%s\n%s", g.violation, strings.Join(g.trace, "\n"))
			}
		}
		for range 20 {
			now = now.Add(stableTime)
			step(g.reports(), false)
			g.advance()
		}
		before := g.pass
		for range 3 {
			now = now.Add(stableTime)
			g.advance()
			step(g.reports(), false)
		}
		if g.violation != "" || g.pass == before {
			t.Fatalf("pass %d, was %d before the last 3 rounds, violation %q, ranks %+v, version %d", g.pass, before, g.violation, g.ranks, l.version)
		}
	})
}

// TestHoldLead guards against a group that waits for orders because its passes are
// short, and against long passes that are waited for without need.
func TestHoldLead(t *testing.T) {
	for passTime, want := range map[time.Duration]uint64{
		0: holdLead, 10 * time.Millisecond: 3, 25 * time.Millisecond: 3, 49 * time.Millisecond: 3, 50 * time.Millisecond: 2, time.Second: 2,
	} {
		c := NewChange(1, Target{Version: 1}, 4)
		c.PassTime = passTime
		if got := c.holdLead(); got != want {
			t.Errorf("passes of %v: a lead of %d, want %d", passTime, got, want)
		}
	}
}

// TestPassClock guards against passes of another epoch, or of a time long past, that
// count as the pass time of now.
func TestPassClock(t *testing.T) {
	start := time.Unix(1000, 0)
	type report struct {
		at          time.Duration
		epoch, pass uint64
	}
	for name, test := range map[string]struct {
		reports []report
		want    time.Duration
	}{
		"one report":     {reports: []report{{0, 1, 10}}},
		"two reports":    {reports: []report{{0, 1, 10}, {300 * time.Millisecond, 1, 12}}, want: 100 * time.Millisecond},
		"too close":      {reports: []report{{0, 1, 10}, {300 * time.Millisecond, 1, 12}, {310 * time.Millisecond, 1, 13}}, want: 100 * time.Millisecond},
		"too far apart":  {reports: []report{{0, 1, 10}, {3 * time.Second, 1, 40}}},
		"another epoch":  {reports: []report{{0, 1, 10}, {300 * time.Millisecond, 2, 12}}},
		"an older pass":  {reports: []report{{0, 1, 10}, {300 * time.Millisecond, 1, 9}}},
		"without passes": {reports: []report{{0, 1, 10}, {time.Second, 1, 10}}, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var c passClock
			for _, r := range test.reports {
				c.observe(start.Add(r.at), r.epoch, r.pass)
			}
			if c.passTime != test.want {
				t.Errorf("%v, want %v", c.passTime, test.want)
			}
		})
	}
}
