package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
)

const leavingGrace = time.Second

// TestLeavingAndClosed guards against requests to a backend server whose answers said
// that it is leaving or wants none, against refusals while another one can take them,
// and against one that stays out after a new start.
func TestLeavingAndClosed(t *testing.T) {
	afterGrace := start.Add(leavingGrace)
	restart := func(v *follower.View) { v.Servers[0].StartedMS = 2 }
	announce := func(v *follower.View) { v.Servers[0].Sequence, v.Servers[0].Received = 99, afterGrace }
	leave := func(p *Pool, id string) { p.MarkLeaving(start, id, 1) }
	closeFor := func(p *Pool, id string, length time.Duration) { p.Close(start, id, 1, length) }
	tests := map[string]struct {
		servers int
		prepare func(*Pool)
		at      time.Time
		wait    time.Duration
		want    string
	}{
		"leaving, another is free":          {2, func(p *Pool) { leave(p, "s0") }, start, time.Second, "s1"},
		"leaving, another is full":          {2, func(p *Pool) { leave(p, "s0"); fill(p, "s1") }, start, time.Second, "wait"},
		"all are leaving, within the grace": {1, func(p *Pool) { leave(p, "s0") }, afterGrace.Add(-time.Millisecond), time.Second, "s0"},
		"all are leaving, after the grace":  {1, func(p *Pool) { leave(p, "s0") }, afterGrace, time.Second, "refuse no_server"},
		"leaving, later announcement":       {1, func(p *Pool) { leave(p, "s0"); p.Update(afterGrace, view(1, announce)) }, afterGrace, time.Second, "refuse no_server"},
		"leaving, new start":                {1, func(p *Pool) { leave(p, "s0"); p.Update(start, view(1, restart)) }, afterGrace, time.Second, "s0"},
		"leaving, of an earlier start": {1, func(p *Pool) {
			p.Update(start, view(1, restart))
			p.MarkLeaving(start, "s0", 1)
		}, afterGrace, time.Second, "s0"},
		"closed, another is free":            {2, func(p *Pool) { closeFor(p, "s0", 2*time.Second) }, start, time.Second, "s1"},
		"all closed for longer than a wait":  {1, func(p *Pool) { closeFor(p, "s0", 2*time.Second) }, start, time.Second, "refuse all_closed"},
		"all closed for less than a wait":    {1, func(p *Pool) { closeFor(p, "s0", 2*time.Second) }, start, 3 * time.Second, "wait"},
		"closed, then a shorter time":        {1, func(p *Pool) { closeFor(p, "s0", 9*time.Second); closeFor(p, "s0", time.Second) }, start.Add(3 * time.Second), time.Second, "refuse all_closed"},
		"closed, later announcement":         {1, func(p *Pool) { closeFor(p, "s0", 9*time.Second); p.Update(start, view(1, announce)) }, start.Add(3 * time.Second), time.Second, "refuse all_closed"},
		"closed, new start":                  {1, func(p *Pool) { closeFor(p, "s0", 9*time.Second); p.Update(start, view(1, restart)) }, start, time.Second, "s0"},
		"closed, after its time":             {1, func(p *Pool) { closeFor(p, "s0", time.Second) }, start.Add(time.Second + closedSpread), time.Second, "s0"},
		"closed for too long":                {1, func(p *Pool) { closeFor(p, "s0", 1000*time.Hour) }, start.Add(MaxClosed + closedSpread), time.Second, "s0"},
		"one leaving, the other closed":      {2, func(p *Pool) { leave(p, "s0"); closeFor(p, "s1", 2*time.Second) }, start, time.Second, "s0"},
		"unknown ones are marked":            {1, func(p *Pool) { leave(p, "x"); closeFor(p, "x", time.Second) }, start, time.Second, "s0"},
		"one leaving, the other closed soon": {2, func(p *Pool) { leave(p, "s0"); closeFor(p, "s1", time.Second) }, start, 3 * time.Second, "wait"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(Config{LeavingGrace: leavingGrace}, test.servers, nil)
			p.SetPeerLoads(start, map[string]uint32{})
			test.prepare(p)
			d := p.Submit(test.at, request(1, test.at, test.wait))
			got := kindOf(d)
			if a, ok := d.(Assign); ok {
				got = a.Server.ID
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// fill takes all slots of a backend server.
func fill(p *Pool, id string) { p.servers[id].inFlight = 4 }

// TestRetryAfterOfClosed guards against refused callers that come back before a backend
// server takes requests again.
func TestRetryAfterOfClosed(t *testing.T) {
	p := newPool(Config{}, 2, nil)
	p.Close(start, "s0", 1, 5*time.Second)
	p.Close(start, "s1", 1, 3*time.Second)
	refusal, ok := p.Submit(start, request(1, start, time.Second)).(Refuse)
	if !ok || refusal.RetryAfter < 3*time.Second || refusal.RetryAfter > 3*time.Second+closedSpread {
		t.Errorf("refusal %+v, want one with 3 s to come back", refusal)
	}
}

// TestClosedQueue guards against a queued request that is sent to a backend server
// which has closed since, and against one that waits until its time is over although
// none can take it.
func TestClosedQueue(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	p.SetPeerLoads(start, map[string]uint32{})
	fill(p, "s0")
	if got := kindOf(p.Submit(start, request(1, start, time.Second))); got != "wait" {
		t.Fatalf("decision %q, want wait", got)
	}
	p.servers["s0"].inFlight = 0
	p.Close(start, "s0", 1, 5*time.Second)
	decisions := p.DecideQueued(start.Add(20 * time.Millisecond))
	if len(decisions) != 1 || kindOf(decisions[0].Decision) != "refuse all_closed" {
		t.Errorf("decisions %+v, want a refusal at once", decisions)
	}
}

// TestReopening guards against a herd: all requests of several entries at the moment
// at which a backend server takes requests again.
func TestReopening(t *testing.T) {
	first := map[time.Duration]bool{}
	for entry := range uint64(8) {
		p := New(Config{Random: rand.New(rand.NewPCG(entry, 1))})
		p.Update(start, view(1, nil))
		p.SetPeerLoads(start, map[string]uint32{})
		p.Close(start, "s0", 1, time.Second)
		sent := 0
		for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
			now := start.Add(at)
			if a, ok := p.Submit(now, request(1, now, 0)).(Assign); ok {
				p.Done(now, "pool", a.Server.ID, 1, Answered, time.Millisecond, time.Millisecond)
				if sent++; sent == 1 {
					first[at] = true
				}
			}
		}
		if most := int((time.Second + closedSpread) / reopenInterval); sent > most || sent == 0 {
			t.Errorf("%d requests were sent in the second after it reopened, want 1 to %d", sent, most)
		}
	}
	if len(first) < 4 {
		t.Errorf("8 entries returned at %d moments", len(first))
	}
}

// TestAnswersBind checks the two rules over arrivals, answers, announcements, new
// incarnations and time: nothing is sent to an incarnation that has said for longer
// than the grace that it is leaving, and nothing while one wants no requests.
func TestAnswersBind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 3
		p := newPool(Config{LeavingGrace: leavingGrace}, servers, nil)
		now := start
		type known struct {
			startedMS            uint64
			leaving, closedUntil time.Time
		}
		state := make([]known, servers)
		for i := range state {
			state[i].startedMS = 1
		}
		check := func(d Decision) {
			a, ok := d.(Assign)
			if !ok {
				return
			}
			var i int
			fmt.Sscanf(a.Server.ID, "s%d", &i)
			if s := state[i]; !s.leaving.IsZero() && now.Sub(s.leaving) >= leavingGrace {
				t.Fatalf("%s was sent a request %v after it said that it is leaving", a.Server.ID, now.Sub(s.leaving))
			}
			if s := state[i]; now.Before(s.closedUntil) {
				t.Fatalf("%s was sent a request %v before it wants any", a.Server.ID, s.closedUntil.Sub(now))
			}
			p.Done(now, "pool", a.Server.ID, a.Server.StartedMS, Answered, time.Millisecond, time.Millisecond)
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, servers-1).Draw(t, "server")
			id := fmt.Sprintf("s%d", i)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				p.MarkLeaving(now, id, state[i].startedMS)
				if state[i].leaving.IsZero() {
					state[i].leaving = now
				}
			case 1:
				length := time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second
				p.Close(now, id, state[i].startedMS, length)
				if until := now.Add(length); until.After(state[i].closedUntil) {
					state[i].closedUntil = until
				}
			case 2: // an announcement, of a new incarnation or of the same one
				if rapid.Bool().Draw(t, "restart") {
					state[i] = known{startedMS: state[i].startedMS + 1}
				}
				p.Update(now, view(servers, func(v *follower.View) {
					for j := range v.Servers {
						v.Servers[j].StartedMS, v.Servers[j].Sequence = state[j].startedMS, uint64(now.UnixMilli())
					}
				}))
			default:
				check(p.Submit(now, request(1, now, time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait"))*time.Millisecond)))
			}
			for _, d := range p.DecideQueued(now) {
				check(d.Decision)
			}
		}
	})
}
