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

// groupView returns a view of groups of two ranks with twelve slots each.
func groupView(groups int, change func(*follower.View)) *follower.View {
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

func newGroupPool(groups int) *Pool {
	p := newPool(Config{}, 0, nil)
	p.Update(start, groupView(groups, nil))
	return p
}

func stream(now time.Time) *Request {
	return &Request{Service: "pool", Priority: 1, Arrived: now, TargetStart: now.Add(200 * time.Millisecond), LatestStart: now.Add(800 * time.Millisecond), TargetGap: targetGap}
}

// submitStreams submits n streams and returns how many each backend server got.
func submitStreams(p *Pool, now time.Time, n int) map[string]int {
	got := map[string]int{}
	for range n {
		if a, ok := p.Submit(now, stream(now)).(Assign); ok {
			got[a.Server.ID]++
		}
	}
	return got
}

// TestSlowPasses guards against a group with slow passes being filled until the
// gaps between the events of all its streams exceed the target gap.
func TestSlowPasses(t *testing.T) {
	tests := map[string]struct {
		factor float64 // of the pass time given by the catalog
		want   int     // requests at the two ranks
	}{
		"as in the catalog": {factor: 1, want: 24},
		"slightly slow":     {factor: 1.6, want: 24},
		"too slow":          {factor: 2.4, want: 12},
		"very slow":         {factor: 4, want: 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newGroupPool(1)
			submitStreams(p, start, 8)
			now := start
			p.SetPeerLoads(now, map[string]uint32{})
			p.RecordEvent(now, "r0", 0, 0)
			for range 30 {
				gap := time.Duration(test.factor * float64(passTime(p.services["pool"].spec.Engine, 4)))
				now = now.Add(gap)
				p.RecordEvent(now, "r0", 0, gap)
			}
			submitStreams(p, now, 40)
			_, running := p.Counts()
			if running != test.want {
				t.Errorf("%d requests run, want %d", running, test.want)
			}
		})
	}
}

// TestLossyPath guards against streams being sent over a link that loses packets
// while backend servers in the entry's own failure domain have free slots: one
// event in 25 is late then, and a stream has 28.
func TestLossyPath(t *testing.T) {
	tests := map[string]struct {
		lossy []string // backend servers whose events are occasionally delayed
		least int      // of 8 streams, at the rank in the own failure domain
	}{
		"both paths are healthy":       {least: 1},
		"the remote one loses packets": {lossy: []string{"r1"}, least: 8},
		"the whole group is delayed":   {lossy: []string{"r0", "r1"}, least: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newGroupPool(1)
			p.Update(start, groupView(1, func(v *follower.View) { v.Servers[1].FailureDomain = "meknes" }))
			submitStreams(p, start, 4)
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
			if got := submitStreams(p, now, 8)["r0"]; got < test.least {
				t.Errorf("%d of 8 streams went to the local rank, want at least %d", got, test.least)
			}
		})
	}
}

// TestGroupRests guards against requests being sent to a group that does no work,
// where they would stall, and against refusals and avoided ranks once it works
// again.
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
		"one is broken": {now: later, want: []string{"g1"}, prepare: func(p *Pool) { p.Update(later, groupView(2, broken(1, later))) }},
		"it has formed again": {
			now: later, want: []string{"g0", "g1"},
			prepare: func(p *Pool) {
				p.Update(later, groupView(2, broken(1, later)))
				p.Update(later, groupView(2, func(v *follower.View) { v.Servers[0].Epoch, v.Servers[0].Received = 2, later }))
			},
		},
		"its streams are stalled": {
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
				p.Done(later, "pool", "r0", 1, NoAnswer, 0, 500*time.Millisecond)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newGroupPool(2)
			if test.prepare != nil {
				test.prepare(p)
			}
			groups := map[string]bool{}
			for id := range submitStreams(p, test.now, 20) {
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

// TestOverload simulates 1.5 times as many requests as a service can serve, for
// ten seconds. It guards against a queue in which every request waits until its
// answer is late, and against refusals after a long wait.
func TestOverload(t *testing.T) {
	const (
		held   = 400 * time.Millisecond
		tick   = 10 * time.Millisecond
		length = 10 * time.Second
	)
	p := newPool(Config{}, 1, nil) // four slots: ten requests a second
	type work struct{ ends time.Time }
	var running []work
	onTime, late, refused, refusedLate := 0, 0, 0, 0
	apply := func(now time.Time, r *Request, d Decision) {
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
				refusedLate++
			}
		}
	}
	submitted := 0
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		kept := running[:0]
		for _, w := range running {
			if w.ends.After(now) {
				kept = append(kept, w)
				continue
			}
			p.Done(now, "pool", "s0", 1, Answered, 50*time.Millisecond, held)
		}
		running = kept
		for _, d := range p.DecideQueued(now) {
			apply(now, d.Request, d.Decision)
		}
		if int(at.Seconds()*15) > submitted {
			submitted++
			r := &Request{Service: "pool", Arrived: now, TargetStart: now.Add(250 * time.Millisecond), LatestStart: now.Add(800 * time.Millisecond)}
			apply(now, r, p.Submit(now, r))
		}
	}
	t.Logf("%d submitted: %d on time, %d late, %d refused, %d of them after a long wait", submitted, onTime, late, refused, refusedLate)
	// Ten a second can be served; nine tenths of them should be on time.
	if onTime < 90 {
		t.Errorf("%d of %d were served on time, want at least 90", onTime, submitted)
	}
	if refusedLate*10 > refused {
		t.Errorf("%d of %d refusals came after a long wait, want a tenth at most", refusedLate, refused)
	}
}

// TestNewGroup guards against a group that has just formed being filled at once,
// before its map has data on expert popularity, and against an entry that has
// just started treating a working group as a new one.
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
			p := newPool(Config{}, 0, nil)
			p.Update(start, groupView(1, test.first))
			if test.second != nil {
				p.Update(start, groupView(1, test.second))
			}
			p.SetPeerLoads(start, map[string]uint32{})
			submitStreams(p, start, 40)
			if _, running := p.Counts(); running != test.want {
				t.Errorf("%d requests run, want %d", running, test.want)
			}
		})
	}
}

// TestBeliefs guards against a group, a backend server or a path that gets no
// requests while its condition, which is logged, does not show it.
func TestBeliefs(t *testing.T) {
	later := start.Add(2 * newGroupPeriod)
	tests := map[string]struct {
		prepare func(*Pool)
		want    map[Subject]State
	}{
		"healthy": {prepare: func(*Pool) {}, want: map[Subject]State{{GroupSubject, "g0"}: Healthy}},
		"unavailable": {
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
			prepare: func(p *Pool) { p.servers["r1"].inFlight++; p.Done(later, "pool", "r1", 1, Unreachable, 0, 0) },
			want:    map[Subject]State{{GroupSubject, "g0"}: Healthy, {ServerSubject, "r1"}: Avoided},
		},
		"failures": {
			prepare: func(p *Pool) {
				for range 3 {
					p.servers["r1"].inFlight++
					p.Done(later, "pool", "r1", 1, Failed, 0, 0)
				}
			},
			want: map[Subject]State{{GroupSubject, "g0"}: Healthy, {ServerSubject, "r1"}: Failing},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newGroupPool(1)
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

// TestBacklog guards against the requests that have waited out an interruption
// taking the slots of a group that has just formed, so that new requests, which
// could be served on time, find none. The load is 30 requests a second on 48 slots
// that are each taken for 2.5 s; all groups are broken for 1.2 s.
func TestBacklog(t *testing.T) {
	const (
		tick        = 10 * time.Millisecond
		perSecond   = 30
		interrupted = 1200 * time.Millisecond
		slots       = 48 // of four groups of two ranks, half of whose slots are used
	)
	p := newPool(Config{}, 0, nil)
	views := func(change func(*follower.Server)) *follower.View {
		return groupView(4, func(v *follower.View) {
			spec, _ := v.Index.Service("pool")
			spec.Engine.MeanAnswerTokens = 140
			for i := range v.Servers {
				change(&v.Servers[i])
			}
		})
	}
	p.Update(start, views(func(*follower.Server) {}))
	broken := start.Add(time.Second)
	formed := broken.Add(interrupted)
	p.Update(broken, views(func(s *follower.Server) { s.Broken, s.Received = true, broken }))
	started, onTime := 0, 0
	apply := func(now time.Time, r *Request, d Decision) {
		if _, ok := d.(Assign); !ok {
			return
		}
		started++
		if now.Before(r.TargetStart) {
			onTime++
		}
	}
	submitted := 0
	for at := time.Duration(0); at < interrupted+2*time.Second; at += tick {
		now := broken.Add(at)
		if now.Equal(formed) {
			p.Update(now, views(func(s *follower.Server) { s.Epoch, s.Received = 2, now }))
		}
		for _, d := range p.DecideQueued(now) {
			apply(now, d.Request, d.Decision)
		}
		if int(at.Seconds()*perSecond) >= submitted {
			submitted++
			r := stream(now)
			apply(now, r, p.Submit(now, r))
		}
	}
	t.Logf("%d started, %d of them on time", started, onTime)
	if onTime < slots*9/10 {
		t.Errorf("%d of the %d slots went to requests that were on time, want at least %d", onTime, slots, slots*9/10)
	}
}
