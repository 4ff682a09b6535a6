package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const targetGap = 120 * time.Millisecond

// ranksView has groups of two ranks with twelve slots each.
func ranksView(groups int, change func(*follower.View)) *follower.View {
	v := &follower.View{Drained: map[string]bool{}, Entries: 1}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{
		Name: "pool", Engine: &catalog.Engine{Slots: 12, StepTime: 6 * time.Millisecond, RequestStepTime: 400 * time.Microsecond, StepsPerPass: 5},
	}}})
	for i := range 2 * groups {
		v.Servers = append(v.Servers, follower.Server{
			ID: fmt.Sprintf("r%d", i), StartedMS: 1, Sequence: 1, Service: "pool", Slots: 12, Received: start,
			FailureDomain: "fes", Group: fmt.Sprintf("g%d", i/2), Epoch: 1,
		})
	}
	if change != nil {
		change(v)
	}
	return v
}

func ranksWorld(groups int) *Pool {
	p := world(Config{}, 0, nil)
	p.Update(start, ranksView(groups, nil))
	return p
}

func stream(now time.Time) *Request {
	return &Request{Service: "pool", Priority: 1, Arrived: now, TargetStart: now.Add(200 * time.Millisecond), LatestStart: now.Add(800 * time.Millisecond), TargetGap: targetGap}
}

// assigned asks for n streams and returns how many each backend server got.
func assigned(p *Pool, now time.Time, n int) map[string]int {
	got := map[string]int{}
	for range n {
		if a, ok := p.Submit(now, stream(now)).(Assign); ok {
			got[a.Server.ID]++
		}
	}
	return got
}

// TestSlowPasses guards against a group whose passes are slow being filled until
// every stream that it carries pauses for longer than its caller bears.
func TestSlowPasses(t *testing.T) {
	tests := map[string]struct {
		factor float64 // of the time that a pass takes by the catalog
		want   int     // requests at the two ranks
	}{
		"as the catalog says": {factor: 1, want: 24},
		"slightly slow":       {factor: 1.6, want: 24},
		"too slow":            {factor: 2.4, want: 12},
		"hopelessly slow":     {factor: 4, want: 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := ranksWorld(1)
			assigned(p, start, 8)
			now := start
			p.SetPeerLoads(now, map[string]uint32{})
			p.RecordEvent(now, "r0", 0, 0)
			for range 30 {
				gap := time.Duration(test.factor * float64(passTime(p.services["pool"].spec.Engine, 4)))
				now = now.Add(gap)
				p.RecordEvent(now, "r0", 0, gap)
			}
			assigned(p, now, 40)
			_, running := p.Counts()
			if running != test.want {
				t.Errorf("%d requests run, want %d", running, test.want)
			}
		})
	}
}

// TestLossyPath guards against streams through a link that loses packets while
// backend servers in the entry's own failure domain have room: one event in 25 is
// late then, and a stream has 28.
func TestLossyPath(t *testing.T) {
	tests := map[string]struct {
		lossy []string // backend servers whose events are delayed now and then
		least int      // of 8 streams, at the near rank
	}{
		"both paths are sound":       {least: 1},
		"the far one loses packets":  {lossy: []string{"r1"}, least: 8},
		"the whole group is delayed": {lossy: []string{"r0", "r1"}, least: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := ranksWorld(1)
			p.Update(start, ranksView(1, func(v *follower.View) { v.Servers[1].FailureDomain = "meknes" }))
			assigned(p, start, 4)
			p.SetPeerLoads(start, map[string]uint32{})
			pass := passTime(p.services["pool"].spec.Engine, 2)
			now := start
			p.RecordEvent(now, "r0", 0, 0)
			p.RecordEvent(now, "r1", 0, 0)
			for i := range 100 {
				now = now.Add(pass)
				for _, id := range []string{"r0", "r1"} {
					gap := pass
					if i%25 == 10 && slices.Contains(test.lossy, id) {
						gap += 200 * time.Millisecond
					}
					p.RecordEvent(now, id, 0, gap)
				}
			}
			if got := assigned(p, now, 8)["r0"]; got < test.least {
				t.Errorf("%d of 8 streams went to the near rank, want %d", got, test.least)
			}
		})
	}
}

// TestGroupRests guards against requests for a group that does no work, which
// would stall there, and against refusals and avoided ranks once it works again.
func TestGroupRests(t *testing.T) {
	broken := func(epoch uint64, at time.Time) func(*follower.View) {
		return func(v *follower.View) {
			v.Servers[1].Epoch, v.Servers[1].Broken, v.Servers[1].Received = epoch, true, at
		}
	}
	later := start.Add(time.Second)
	tests := map[string]struct {
		prepare func(*Pool)
		now     time.Time
		want    []string // groups that get requests
	}{
		"both work":     {now: start, want: []string{"g0", "g1"}},
		"one is broken": {now: later, want: []string{"g1"}, prepare: func(p *Pool) { p.Update(later, ranksView(2, broken(1, later))) }},
		"it has formed again": {
			now: later, want: []string{"g0", "g1"},
			prepare: func(p *Pool) {
				p.Update(later, ranksView(2, broken(1, later)))
				p.Update(later, ranksView(2, func(v *follower.View) { v.Servers[0].Epoch, v.Servers[0].Received = 2, later }))
			},
		},
		"its streams stand still": {
			now: later, want: []string{"g1"},
			prepare: func(p *Pool) {
				p.RecordEvent(start, "r0", 0, 0)
				p.RecordEvent(later, "r2", 0, 0)
			},
		},
		"a request got no answer": {
			now: later, want: []string{"g1"},
			prepare: func(p *Pool) {
				p.servers["r0"].inFlight++
				p.Done(later, "pool", "r0", NoAnswer, 0, 500*time.Millisecond)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := ranksWorld(2)
			if test.prepare != nil {
				test.prepare(p)
			}
			groups := map[string]bool{}
			for id := range assigned(p, test.now, 20) {
				groups[p.servers[id].info.Group] = true
			}
			var got []string
			for _, g := range []string{"g0", "g1"} {
				if groups[g] {
					got = append(got, g)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestOverload plays half as many requests again as a service can serve, for ten
// seconds. It guards against a queue in which every request waits until its
// answer is late, and against refusals that come after a long wait.
func TestOverload(t *testing.T) {
	const (
		held   = 400 * time.Millisecond
		tick   = 10 * time.Millisecond
		length = 10 * time.Second
	)
	p := world(Config{}, 1, nil) // four slots: ten requests a second
	type work struct{ ends time.Time }
	var running []work
	onTime, late, refused, heldLong := 0, 0, 0, 0
	take := func(now time.Time, r *Request, d Decision) {
		switch d.(type) {
		case Assign:
			running = append(running, work{ends: now.Add(held)})
			if now.After(r.TargetStart) {
				late++
			} else {
				onTime++
			}
		case Refuse:
			refused++
			if now.Sub(r.Arrived) > 300*time.Millisecond {
				heldLong++
			}
		}
	}
	asked := 0
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		kept := running[:0]
		for _, w := range running {
			if w.ends.After(now) {
				kept = append(kept, w)
				continue
			}
			p.Done(now, "pool", "s0", Answered, 50*time.Millisecond, held)
		}
		running = kept
		for _, g := range p.DecideQueued(now) {
			take(now, g.Request, g.Decision)
		}
		if int(at.Seconds()*15) > asked {
			asked++
			r := &Request{Service: "pool", Arrived: now, TargetStart: now.Add(250 * time.Millisecond), LatestStart: now.Add(800 * time.Millisecond)}
			take(now, r, p.Submit(now, r))
		}
	}
	t.Logf("%d asked: %d on time, %d late, %d refused, %d of them after a long wait", asked, onTime, late, refused, heldLong)
	// Ten a second can be served; nine tenths of them should be on time.
	if onTime < 90 {
		t.Errorf("%d of %d were served on time, want 90", onTime, asked)
	}
	if heldLong*10 > refused {
		t.Errorf("%d of %d refusals came after a long wait, want a tenth at most", heldLong, refused)
	}
}

// TestNewGroup guards against a group that has just formed being filled at once,
// before its map knows what is liked, and against an entry that has just started
// taking a group that works for a new one.
func TestNewGroup(t *testing.T) {
	tests := map[string]struct {
		first, second func(*follower.View)
		want          int // requests at its two ranks
	}{
		"an entry that starts": {want: 24},
		"ranks that are cold": {
			first: func(v *follower.View) { v.Servers[1].ColdUntil = start.Add(time.Second) }, want: 12,
		},
		"a new epoch": {
			second: func(v *follower.View) { v.Servers[0].Epoch, v.Servers[1].Epoch = 2, 2 }, want: 12,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := world(Config{}, 0, nil)
			p.Update(start, ranksView(1, test.first))
			if test.second != nil {
				p.Update(start, ranksView(1, test.second))
			}
			p.SetPeerLoads(start, map[string]uint32{})
			assigned(p, start, 40)
			if _, running := p.Counts(); running != test.want {
				t.Errorf("%d requests run, want %d", running, test.want)
			}
		})
	}
}

// TestBeliefs guards against a group, a backend server or a path that is left
// alone without a word in the log.
func TestBeliefs(t *testing.T) {
	later := start.Add(2 * newFor)
	tests := map[string]struct {
		prepare func(*Pool)
		want    map[Subject]State
	}{
		"sound": {prepare: func(*Pool) {}, want: map[Subject]State{{GroupSubject, "g0"}: Healthy}},
		"resting": {
			prepare: func(p *Pool) { p.RecordEvent(start, "r0", 0, 0) },
			want:    map[Subject]State{{GroupSubject, "g0"}: Unavailable},
		},
		"slow": {
			prepare: func(p *Pool) {
				p.SetPeerLoads(start, map[string]uint32{})
				for range 30 {
					p.RecordEvent(later, "r0", 0, 120*time.Millisecond)
				}
			},
			want: map[Subject]State{{GroupSubject, "g0"}: Slow, {FailureDomainSubject, "fes"}: Healthy},
		},
		"no connection": {
			prepare: func(p *Pool) { p.servers["r1"].inFlight++; p.Done(later, "pool", "r1", Unreachable, 0, 0) },
			want:    map[Subject]State{{GroupSubject, "g0"}: Healthy, {ServerSubject, "r1"}: Avoided},
		},
		"failures": {
			prepare: func(p *Pool) {
				for range 3 {
					p.servers["r1"].inFlight++
					p.Done(later, "pool", "r1", Failed, 0, 0)
				}
			},
			want: map[Subject]State{{GroupSubject, "g0"}: Healthy, {ServerSubject, "r1"}: Failing},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := ranksWorld(1)
			test.prepare(p)
			got := map[Subject]State{}
			for _, b := range p.Conditions(later, targetGap) {
				got[b.Subject] = b.State
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
