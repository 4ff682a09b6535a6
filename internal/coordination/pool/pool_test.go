package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

var start = time.Unix(1000, 0)

// newPool returns a pool with n backend servers of four slots.
func newPool(cfg Config, n int, change func(*follower.View)) *Pool {
	cfg.Random = rand.New(rand.NewPCG(1, 2))
	cfg.FailureDomain = "fes"
	p := New(cfg)
	p.Update(start, view(n, change))
	return p
}

func view(n int, change func(*follower.View)) *follower.View {
	v := &follower.View{
		Index:   catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool", ColdRequestsPerSecond: 20}}}),
		Drained: map[string]bool{}, Entries: 1,
	}
	for i := range n {
		v.Servers = append(v.Servers, follower.Server{
			ID: fmt.Sprintf("s%d", i), StartedMS: 1, Sequence: 1, Service: "pool", Address: fmt.Sprintf("h:%d", i),
			FailureDomain: []string{"fes", "meknes"}[i%2], Slots: 4, Received: start,
		})
	}
	if change != nil {
		change(v)
	}
	return v
}

func request(priority int, arrived time.Time, wait time.Duration) *Request {
	return &Request{Service: "pool", Priority: priority, Arrived: arrived, LatestStart: arrived.Add(wait)}
}

func kindOf(d Decision) string {
	switch d := d.(type) {
	case Assign:
		return "assign"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse " + d.Reason.String()
	}
	return ""
}

// TestAsk guards against requests being sent to backend servers that must get
// none, and against refusals while there are free slots.
func TestAsk(t *testing.T) {
	tests := map[string]struct {
		servers int
		change  func(*follower.View)
		prepare func(*Pool)
		request *Request
		want    string
	}{
		"free slots":   {servers: 2, request: request(1, start, time.Second), want: "assign"},
		"no server":    {servers: 0, request: request(1, start, time.Second), want: "refuse no_server"},
		"all draining": {servers: 1, change: func(v *follower.View) { v.Servers[0].Draining = true }, request: request(1, start, time.Second), want: "refuse no_server"},
		"all drained": {
			servers: 1, change: func(v *follower.View) { v.Drained["fes"] = true },
			request: request(1, start, time.Second), want: "refuse no_server",
		},
		"all tried": {servers: 1, request: &Request{Service: "pool", Tried: []string{"s0"}, LatestStart: start.Add(time.Second)}, want: "refuse no_server"},
		"unreachable": {
			servers: 1, request: request(1, start, time.Second), want: "refuse all_avoided",
			prepare: func(p *Pool) {
				p.Submit(start, request(1, start, time.Second))
				p.Done(start, "pool", "s0", 1, Unreachable, 0, 0)
			},
		},
		"another incarnation": {
			servers: 1, request: request(1, start, time.Second), want: "refuse no_server",
			prepare: func(p *Pool) { p.MarkMisdirected("s0") },
		},
		"filled by peers": {
			servers: 1, request: request(1, start, time.Second), want: "wait",
			prepare: func(p *Pool) { p.SetPeerLoads(start, map[string]uint32{"s0": 4}) },
		},
		"too late to wait": {
			servers: 1, request: request(1, start, 0), want: "refuse queue_too_long",
			prepare: func(p *Pool) { p.SetPeerLoads(start, map[string]uint32{"s0": 4}) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(Config{}, test.servers, test.change)
			if test.prepare != nil {
				test.prepare(p)
			}
			if diff := cmp.Diff(test.want, kindOf(p.Submit(start, test.request))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestQueue simulates a burst: no more requests are assigned than there are
// slots, urgent requests go first, a request that cannot be served in time is
// refused at once, and a slot is used as soon as it is free.
func TestQueue(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	for range 4 {
		if got := kindOf(p.Submit(start, request(1, start, time.Second))); got != "assign" {
			t.Fatalf("got %s, want assign", got)
		}
	}
	// The mean time at the backend server becomes 400 ms: with four slots, one
	// request ends every 100 ms.
	p.Done(start, "pool", "s0", 1, Answered, 50*time.Millisecond, 400*time.Millisecond)
	p.Submit(start, request(1, start, time.Second))
	later, urgent := request(1, start, time.Second), request(0, start.Add(time.Millisecond), time.Second)
	got := []string{kindOf(p.Submit(start, later)), kindOf(p.Submit(start, urgent)), kindOf(p.Submit(start, request(1, start, 250*time.Millisecond)))}
	if diff := cmp.Diff([]string{"wait", "wait", "refuse queue_too_long"}, got); diff != "" {
		t.Error(diff)
	}
	if decisions := p.DecideQueued(start); len(decisions) != 0 {
		t.Errorf("%d requests were decided without a free slot", len(decisions))
	}
	p.Done(start, "pool", "s0", 1, Answered, 50*time.Millisecond, 400*time.Millisecond)
	decisions := p.DecideQueued(start)
	if len(decisions) != 1 || decisions[0].Request != urgent {
		t.Errorf("the urgent request was not the only one decided: %v", decisions)
	}
	decisions = p.DecideQueued(start.Add(time.Second))
	if len(decisions) != 1 || kindOf(decisions[0].Decision) != "refuse waited_out" {
		t.Errorf("the other request was not refused at its LatestStart: %v", decisions)
	}
}

// TestRetryBudget guards against retries that add load to a failing service: all
// entries together stay within the share.
func TestRetryBudget(t *testing.T) {
	const entries, firstAttempts = 4, 50
	cfg := Config{RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second}
	retries := 0
	for range entries {
		p := newPool(cfg, 4, func(v *follower.View) { v.Entries = entries })
		for i := range firstAttempts {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			r := request(1, now, time.Second)
			for _, isRetry := range []bool{false, true} {
				r.IsRetry = isRetry
				d := p.Submit(now, r)
				if a, ok := d.(Assign); ok {
					if isRetry {
						retries++
					}
					p.Done(now, "pool", a.Server.ID, 1, Failed, 0, 0)
				} else if f, ok := d.(Refuse); !ok || f.Kind != fault.RetryBudgetSpent {
					t.Fatalf("unexpected decision %v", d)
				}
			}
		}
	}
	if limit := int(0.2*entries*firstAttempts) + 20; retries > limit || retries < limit/2 {
		t.Errorf("%d retries, want up to %d and at least half of it", retries, limit)
	}
}

// TestCold guards against a cold backend server getting more requests than its
// limit from all entries together, and against one that has returned with its
// failure domain counting as warm.
func TestCold(t *testing.T) {
	const entries = 4
	cold := func(v *follower.View) {
		v.Entries = entries
		v.Servers[0].ColdUntil = start.Add(time.Minute)
		v.Servers[0].Slots = 1000
	}
	sent := 0
	for index := range entries {
		p := newPool(Config{ColdSlack: 5}, 1, func(v *follower.View) {
			cold(v)
			v.EntryIndex = index
		})
		for i := range 100 {
			if kindOf(p.Submit(start.Add(time.Duration(i)*10*time.Millisecond), request(1, start, time.Minute))) == "assign" {
				sent++
			}
		}
	}
	if sent > 20+5 || sent < 10 {
		t.Errorf("%d requests in a second, want 10 to 25", sent)
	}
	p := newPool(Config{}, 1, func(v *follower.View) { v.Drained["fes"] = true })
	now := start.Add(time.Second)
	p.Update(now, view(1, nil))
	if a, ok := p.Submit(now, request(1, now, time.Second)).(Assign); !ok || !a.Cold {
		t.Errorf("a backend server that has returned counts as warm: %+v", a)
	}
	now = now.Add(time.Second)
	p.Update(now, view(1, func(v *follower.View) { v.Servers[0].Received, v.Servers[0].Sequence = now, 2 }))
	if a, ok := p.Submit(now, request(1, now, time.Second)).(Assign); !ok || a.Cold {
		t.Errorf("a backend server that has announced itself warm counts as cold: %+v", a)
	}
}

// TestColdShares guards against the parts of a cold backend server's limit adding
// up to more than the limit where there are more entries than requests in it, and
// against parts that leave most of the limit unused.
func TestColdShares(t *testing.T) {
	const limit = 20 + 5 // the backend server's rate and the slack
	for _, entries := range []int{1, 3, 7, 17, 39, 100} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			sent := map[string]int{}
			for index := range entries {
				p := newPool(Config{ColdSlack: 5}, 6, func(v *follower.View) {
					v.Entries, v.EntryIndex = entries, index
					for i := range v.Servers {
						v.Servers[i].ColdUntil, v.Servers[i].Slots = start.Add(time.Minute), 1000
					}
				})
				for i := range 1000 {
					now := start.Add(time.Duration(i) * time.Millisecond)
					if a, ok := p.Submit(now, request(1, now, time.Minute)).(Assign); ok {
						sent[a.Server.ID]++
					}
				}
			}
			for id, n := range sent {
				if n > limit || n < limit/2 {
					t.Errorf("%s: %d requests in a second, want %d to %d", id, n, limit/2, limit)
				}
			}
			if len(sent) != 6 {
				t.Errorf("%d of 6 cold backend servers got requests", len(sent))
			}
		})
	}
}

// TestAvoid simulates a backend server that hangs and recovers: it gets one
// request at a time until it answers.
func TestAvoid(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	p.Submit(start, request(1, start, time.Second))
	p.Done(start, "pool", "s0", 1, NoAnswer, 0, time.Second)
	now := start.Add(minAvoidTime)
	got := []string{kindOf(p.Submit(now, request(1, now, time.Second))), kindOf(p.Submit(now, request(1, now, time.Second)))}
	p.Done(now, "pool", "s0", 1, Answered, time.Millisecond, time.Millisecond)
	got = append(got, kindOf(p.Submit(now, request(1, now, time.Second))), kindOf(p.Submit(now, request(1, now, time.Second))))
	if diff := cmp.Diff([]string{"assign", "refuse all_avoided", "assign", "assign"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestSlow simulates requests to one slow and one healthy backend server: the
// healthy one gets most of them.
func TestSlow(t *testing.T) {
	p := newPool(Config{}, 2, func(v *follower.View) { v.Servers[1].FailureDomain = "fes" })
	got := map[string]int{}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		a, ok := p.Submit(now, request(1, now, time.Second)).(Assign)
		if !ok {
			t.Fatal("not assigned")
		}
		got[a.Server.ID]++
		took := map[string]time.Duration{"s0": 300 * time.Millisecond, "s1": 30 * time.Millisecond}[a.Server.ID]
		p.Done(now, "pool", a.Server.ID, 1, Answered, took, took)
	}
	if got["s0"] > 20 {
		t.Errorf("the slow backend server got %d of 200 requests, want at most 20", got["s0"])
	}
}

// TestToldLoadGoesFirst guards against requests being sent to a backend server
// that has just reported that it is full, and against its report being used for
// longer than the counts of other entries take to arrive.
func TestToldLoadGoesFirst(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	p.SetPeerLoads(start, map[string]uint32{})
	p.SetServerLoad(start, "s0", 4)
	got := []string{kindOf(p.Submit(start, request(1, start, time.Second)))}
	soon := start.Add(serverLoadMaxAge / 2)
	p.SetPeerLoads(soon, map[string]uint32{})
	got = append(got, kindOf(p.Submit(soon, request(0, soon, time.Second))))
	later := start.Add(serverLoadMaxAge)
	p.SetPeerLoads(later, map[string]uint32{})
	for _, d := range p.DecideQueued(later) {
		got = append(got, kindOf(d.Decision))
	}
	if diff := cmp.Diff([]string{"wait", "wait", "assign", "assign"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestRestartedServer guards against requests to an earlier incarnation of a
// backend server being subtracted from those of the new one.
func TestRestartedServer(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	for range 2 {
		if _, ok := p.Submit(start, request(1, start, time.Second)).(Assign); !ok {
			t.Fatal("a request to an idle backend server was not assigned")
		}
	}
	p.Update(start, view(1, func(v *follower.View) { v.Servers[0].StartedMS = 2 }))
	if _, ok := p.Submit(start, request(1, start, time.Second)).(Assign); !ok {
		t.Fatal("a request to a restarted backend server was not assigned")
	}
	for range 2 {
		p.Done(start, "pool", "s0", 1, NoAnswer, 0, 0)
	}
	if diff := cmp.Diff(map[string]int{"s0": 1}, p.InFlight()); diff != "" {
		t.Error(diff)
	}
	if _, ok := p.Submit(start, request(1, start, time.Second)).(Assign); !ok {
		t.Error("the new incarnation is avoided for failures of the earlier one")
	}
}

// TestFullServer guards against requests for a backend server that has reported
// more requests than it has slots: peers do not count those that they gave up.
func TestFullServer(t *testing.T) {
	const held = time.Second
	tests := map[string]struct {
		report func(p *Pool)
		after  time.Duration
		want   string
	}{
		"eight wait for four slots":      {func(p *Pool) { p.SetServerLoad(start, "s0", 12) }, time.Second, "wait"},
		"they should have started":       {func(p *Pool) { p.SetServerLoad(start, "s0", 12) }, 2 * time.Second, "assign"},
		"none waits":                     {func(p *Pool) { p.SetServerLoad(start, "s0", 4) }, time.Second, "assign"},
		"a later report has room":        {func(p *Pool) { p.SetServerLoad(start, "s0", 12); p.SetServerLoad(start, "s0", 1) }, 0, "assign"},
		"it has just rejected a request": {func(p *Pool) { p.Done(start, "pool", "s0", 1, Rejected, 0, 0) }, 100 * time.Millisecond, "wait"},
		"a rejection is some time ago":   {func(p *Pool) { p.Done(start, "pool", "s0", 1, Rejected, 0, 0) }, time.Second, "assign"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(Config{}, 1, nil)
			for range 100 {
				p.Submit(start, request(1, start, time.Second))
				p.Done(start, "pool", "s0", 1, Answered, held, held)
			}
			p.Submit(start, request(1, start, time.Second))
			test.report(p)
			now := start.Add(test.after)
			p.SetPeerLoads(now, map[string]uint32{})
			if diff := cmp.Diff(test.want, kindOf(p.Submit(now, request(1, now, time.Minute)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBusyEntry guards against a late request that waits although most slots are
// free, at an entry that gets more than its even part of all requests.
func TestBusyEntry(t *testing.T) {
	p := newPool(Config{}, 8, func(v *follower.View) { v.Entries = 8 }) // 32 slots, an even part of 4
	submit := func(now time.Time) Assign {
		r := request(1, now, time.Second)
		r.TargetStart = now.Add(200 * time.Millisecond)
		a, ok := p.Submit(now, r).(Assign)
		if !ok {
			t.Fatal("a request on time was not assigned")
		}
		return a
	}
	p.SetPeerLoads(start, map[string]uint32{})
	first := submit(start)
	p.Done(start.Add(time.Second), "pool", first.Server.ID, 1, Answered, 50*time.Millisecond, time.Second)
	busy := start.Add(3 * time.Second)
	p.SetPeerLoads(busy, map[string]uint32{"s0": 1, "s1": 1, "s2": 1, "s3": 1})
	for i := range 8 {
		submit(busy.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	late := request(1, busy, 2*time.Second)
	late.TargetStart = busy.Add(200 * time.Millisecond)
	if diff := cmp.Diff("assign", kindOf(p.Submit(busy.Add(time.Second), late))); diff != "" {
		t.Error(diff)
	}
}
