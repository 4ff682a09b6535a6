package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// chooseRounds sends a prompt 200 times, one at a time, and returns the counts by
// backend server. cached tells what each one reports.
func chooseRounds(t *testing.T, v *View, p *Prefix, cached func(Choice) uint64) map[string]int {
	t.Helper()
	got := map[string]int{}
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Second)
		c, err := v.Choose(now, Request{Service: "pool", Prefix: p, Tokens: 100})
		if err != nil {
			t.Fatal(err)
		}
		v.RecordStart(now, c, p)
		v.RecordEnd(now, c)
		v.RecordCached(c, "pool", cached(c))
		got[c.BackendServer]++
	}
	return got
}

// TestReportsOfNothing guards against requests that gather at one backend server
// for a cache that the engines of the service do not have.
func TestReportsOfNothing(t *testing.T) {
	tests := map[string]struct {
		cached func(Choice) uint64
		gather bool
	}{
		"all found":     {func(c Choice) uint64 { return uint64(c.CachedBytes / 4) }, true},
		"nothing found": {func(Choice) uint64 { return 0 }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var rows []*peer.BackendServerRow
			for i := range 4 {
				rows = append(rows, simRow(3*i, idle())) // all in the entry's failure domain
			}
			v := testView(t, rows...)
			p := NewPrefix("pool", make([]byte, 8<<10))
			chooseRounds(t, v, &p, test.cached)
			if trust := v.experience("pool").Trust(0); (trust > 0.9) != test.gather || (trust == 0) == test.gather {
				t.Errorf("the trust is %.3f", trust)
			}
			c, err := v.Choose(start.Add(time.Hour), Request{Service: "pool", Prefix: &p, Tokens: 100})
			if err != nil || (c.Outcome == prefix.Followed) != test.gather {
				t.Errorf("got %v, %v", c.Outcome, err)
			}
		})
	}
}

// TestLostCache guards against requests that go on following a cache that was
// lost without a restart, and against one late eviction that is taken for a loss.
func TestLostCache(t *testing.T) {
	for reports, want := range map[int]int{0: 8 << 10, 1: 8 << 10, 3: 0} {
		v := testView(t, simRow(0, idle()))
		p, other := NewPrefix("pool", make([]byte, 8<<10)), NewPrefix("pool", append([]byte{1}, make([]byte, 8<<10)...))
		first, err := v.Choose(start, Request{Service: "pool", Prefix: &p})
		if err != nil {
			t.Fatal(err)
		}
		v.RecordStart(start, first, &p)
		for range reports + 1 {
			c, err := v.Choose(start, Request{Service: "pool", Prefix: &other})
			if err != nil {
				t.Fatal(err)
			}
			v.RecordStart(start, c, &other)
			v.RecordCached(c, "pool", 0)
		}
		c, err := v.Choose(start, Request{Service: "pool", Prefix: &p})
		if err != nil || c.CachedBytes != want {
			t.Errorf("%d reports: %d bytes are expected in the cache, want %d (%v)", reports, c.CachedBytes, want, err)
		}
	}
}

// TestReportOfRemovedServer guards against a crash on a report that arrives after
// its backend server was removed, and against invalid numbers.
func TestReportOfRemovedServer(t *testing.T) {
	v := testView(t, simRow(0, idle()))
	v.cfg.Random = rand.New(rand.NewPCG(1, 1))
	p := NewPrefix("pool", make([]byte, 4096))
	var c Choice
	for range 2 {
		var err error
		if c, err = v.Choose(start, Request{Service: "pool", Prefix: &p}); err != nil {
			t.Fatal(err)
		}
		v.RecordStart(start, c, &p)
	}
	v.RecordCached(c, "pool", 1<<63)
	if trust := v.experience("pool").Trust(0); trust != 1 {
		t.Errorf("the trust is %v, want 1", trust)
	}
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Removed: []uint32{0}})
	v.RecordCached(c, "pool", 0)
}
