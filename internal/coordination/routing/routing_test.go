package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

var start = clockAt(0)

func testView(t testing.TB, rows ...*peer.BackendServerRow) *View {
	t.Helper()
	v := New(Config{Region: "r1", FailureDomain: "d0", Random: rand.New(rand.NewPCG(1, 2))})
	v.SetIntent("r1", simIntent())
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 1, Full: true, Rows: rows})
	return v
}

func idle() *peer.Load { return &peer.Load{Limit: engineSlots, TokensLimit: engineMemory, Window: 4} }

// countChoices chooses 200 times and returns the counts by backend server or by
// kind of error.
func countChoices(v *View, now time.Time, req Request) map[string]int {
	got := map[string]int{}
	for range 200 {
		c, err := v.Choose(now, req)
		if err != nil {
			got[fault.From(err).Kind.String()]++
			continue
		}
		got[c.BackendServer]++
	}
	return got
}

// Guards against new work for backend servers that are drained, leaving, blocked,
// excluded, full or in a region without a lease.
func TestLeftOut(t *testing.T) {
	req := Request{Service: "pool", Tokens: 100}
	tests := map[string]struct {
		change func(v *View, rows []*peer.BackendServerRow)
		want   map[string]int
	}{
		"nothing": {func(*View, []*peer.BackendServerRow) {}, map[string]int{"e0": 200}},
		"drained domain": {func(v *View, _ []*peer.BackendServerRow) {
			in := simIntent()
			in.FailureDomains[0].State = intent.Drained
			v.SetIntent("r1", in)
		}, map[string]int{"e1": 200}},
		"drained server": {func(v *View, _ []*peer.BackendServerRow) {
			in := simIntent()
			in.BackendServers = []intent.BackendServer{{Name: "e0", State: intent.Drained}}
			v.SetIntent("r1", in)
		}, map[string]int{"e1": 200}},
		"domain not served": {func(v *View, _ []*peer.BackendServerRow) {
			in := simIntent()
			in.Services[0].FailureDomains = []string{"d1"}
			v.SetIntent("r1", in)
		}, map[string]int{"e1": 200}},
		"leaving": {func(v *View, rows []*peer.BackendServerRow) {
			rows[0].BackendServer.Leaving = true
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Rows: rows[:1]})
		}, map[string]int{"e1": 200}},
		"removed": {func(v *View, _ []*peer.BackendServerRow) {
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Removed: []uint32{0}})
		}, map[string]int{"e1": 200}},
		"no lease": {func(v *View, _ []*peer.BackendServerRow) { v.SetAvailable("r1", false) }, map[string]int{"unavailable": 200}},
		"all full": {func(v *View, _ []*peer.BackendServerRow) {
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, LoadIndex: []uint32{0, 1}, LoadLevel: []uint32{255, 255}})
		}, map[string]int{"overloaded": 200}},
		"one full": {func(v *View, _ []*peer.BackendServerRow) {
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, LoadIndex: []uint32{0}, LoadLevel: []uint32{255}})
		}, map[string]int{"e1": 200}},
		"no memory": {func(v *View, rows []*peer.BackendServerRow) {
			rows[0].BackendServer.Load.TokensReserved = engineMemory - 50
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Rows: rows[:1]})
		}, map[string]int{"e1": 200}},
		"refused": {func(v *View, _ []*peer.BackendServerRow) {
			c, _ := v.Choose(start, req)
			v.RecordRefusal(start, c, fault.Draining, 0)
		}, map[string]int{"e1": 200}},
		"no room": {func(v *View, _ []*peer.BackendServerRow) {
			c, _ := v.Choose(start, req)
			v.RecordRefusal(start.Add(-50*time.Millisecond), c, fault.Overloaded, 100*time.Millisecond)
		}, map[string]int{"e1": 200}},
		"no room, some time ago": {func(v *View, _ []*peer.BackendServerRow) {
			c, _ := v.Choose(start, req)
			v.RecordRefusal(start.Add(-150*time.Millisecond), c, fault.Overloaded, 100*time.Millisecond)
		}, map[string]int{"e0": 200}},
		"new leader without rows": {func(v *View, _ []*peer.BackendServerRow) {
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 2, Version: 1})
		}, map[string]int{"e0": 200}},
		"new leader, full": {func(v *View, rows []*peer.BackendServerRow) {
			v.Apply(start, "r1", &peer.WatchResponse{Epoch: 2, Version: 1, Full: true, Rows: rows[1:]})
		}, map[string]int{"e1": 200}},
	}
	rows := []*peer.BackendServerRow{simRow(0, idle()), simRow(1, idle())}
	rows[1].BackendServer.Resumes = true
	resume := req
	resume.Resume = true
	if diff := cmp.Diff(map[string]int{"e1": 200}, countChoices(testView(t, rows...), start, resume)); diff != "" {
		t.Errorf("choices for a resumed answer: %s", diff)
	}
	other := testView(t, rows...)
	other.SetIntent("r2", simIntent())
	other.Apply(start, "r2", &peer.WatchResponse{Epoch: 9, Version: 1, Full: true, Rows: []*peer.BackendServerRow{simRow(2, idle())}})
	for region, want := range map[string]string{"r1": "e0", "r2": "e2"} {
		in := req
		in.Regions = []string{region}
		if diff := cmp.Diff(map[string]int{want: 200}, countChoices(other, start, in)); diff != "" {
			t.Errorf("region %s: %s", region, diff)
		}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rows := []*peer.BackendServerRow{simRow(0, idle()), simRow(1, idle())}
			v := testView(t, rows...)
			test.change(v, rows)
			if diff := cmp.Diff(test.want, countChoices(v, start, req)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against many requests choosing the same backend server: one low load in
// a report must not attract all requests until the next report.
func TestOwnDispatchesCount(t *testing.T) {
	var rows []*peer.BackendServerRow
	for i := range 4 {
		l := idle()
		l.Running = 16
		rows = append(rows, simRow(3*i, l))
	}
	rows[0].BackendServer.Load.Running = 0
	v := testView(t, rows...)
	got := map[string]int{}
	for i := range 40 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c, err := v.Choose(now, Request{Service: "pool", Tokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		v.RecordStart(now, c, nil)
		got[c.BackendServer]++
	}
	if got["e0"] < 10 || got["e0"] > 28 {
		t.Errorf("the empty backend server got %v of 40 requests; it has 16 free places more than the others", got)
	}
}

// Guards against an idle backend server that is never chosen: its load does not
// change and is not reported again, so one high draw with several peers must not
// keep it idle.
func TestIdlePlaceIsTaken(t *testing.T) {
	l := idle()
	l.Limit = 1
	for seed := range uint64(20) {
		v := testView(t, simRow(0, l))
		v.cfg.Random = rand.New(rand.NewPCG(seed, 1))
		v.peers = 3
		taken := false
		for ms := 0; ms < 2000 && !taken; ms += 20 {
			_, err := v.Choose(start.Add(time.Duration(ms)*time.Millisecond), Request{Service: "pool", Tokens: 1})
			taken = err == nil
		}
		if !taken {
			t.Errorf("seed %d: the idle backend server was not chosen within 2 s", seed)
		}
	}
}

// Guards against counting the end or refusal of a replaced backend server for the
// one that now uses its slot, and against prefixes recorded for a cache that no
// longer exists.
func TestReplacedServer(t *testing.T) {
	row := simRow(0, idle())
	v := testView(t, row)
	p := NewPrefix("pool", make([]byte, 4096))
	old, _ := v.Choose(start, Request{Service: "pool", Prefix: &p, Tokens: 10})
	v.RecordStart(start, old, &p)
	if c, _ := v.Choose(start, Request{Service: "pool", Prefix: &p}); c.CachedBytes != 4096 {
		t.Errorf("%d bytes are expected in the cache, want 4096", c.CachedBytes)
	}
	next := simRow(0, idle())
	next.BackendServer.Incarnation = 2
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Rows: []*peer.BackendServerRow{next}})
	v.RecordEnd(start, old)
	v.RecordRefusal(start, old, fault.Draining, 0)
	c, err := v.Choose(start, Request{Service: "pool", Prefix: &p})
	if err != nil || c.CachedBytes != 0 {
		t.Errorf("got %+v, %v", c, err)
	}
	if n := v.servers[c.slot].load.inFlight; n != 0 {
		t.Errorf("%d requests are in flight, want 0", n)
	}
}

// Guards against a prefix table that grows with the number of prompts.
func TestPrefixTableIsBounded(t *testing.T) {
	v := testView(t, simRow(0, idle()))
	before := unsafe.Sizeof(v.prefixes.sets[0]) * uintptr(len(v.prefixes.sets))
	r := rand.New(rand.NewPCG(3, 4))
	for range 20000 {
		prompt := make([]byte, 2048)
		prompt[0], prompt[1], prompt[2] = byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32())
		p := NewPrefix("pool", prompt)
		v.prefixes.record(&p, 0, 0)
	}
	if after := unsafe.Sizeof(v.prefixes.sets[0]) * uintptr(len(v.prefixes.sets)); after != before || after > 8<<20 {
		t.Errorf("the table has %d bytes, had %d before; want the same and at most 8 MiB", after, before)
	}
}

func benchView(b *testing.B) (*View, []Prefix) {
	var rows []*peer.BackendServerRow
	for i := range 660 {
		rows = append(rows, simRow(i, idle()))
	}
	v := testView(b, rows...)
	prefixes := make([]Prefix, 64)
	for i := range prefixes {
		prefixes[i] = NewPrefix("pool", append([]byte(fmt.Sprintf("%04d", i)), make([]byte, 4096)...))
		if c, err := v.Choose(start, Request{Service: "pool", Prefix: &prefixes[i], Tokens: 500}); err == nil {
			v.RecordStart(start, c, &prefixes[i])
		}
	}
	return v, prefixes
}

// The worst case is one service with all 660 backend servers.
func BenchmarkChoose660(b *testing.B) {
	v, prefixes := benchView(b)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		if _, err := v.Choose(start, Request{Service: "pool", Prefix: &prefixes[i%len(prefixes)], Tokens: 500}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChooseFull660(b *testing.B) {
	v, prefixes := benchView(b)
	w := &peer.WatchResponse{Epoch: 1, Version: 2}
	for i := range uint32(660) {
		w.LoadIndex, w.LoadLevel = append(w.LoadIndex, i), append(w.LoadLevel, 255)
	}
	v.Apply(start, "r1", w)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		if _, err := v.Choose(start, Request{Service: "pool", Prefix: &prefixes[i%len(prefixes)], Tokens: 500}); err == nil {
			b.Fatal("a backend server has room, want none")
		}
	}
}

func BenchmarkNewPrefix4K(b *testing.B) {
	prompt := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		NewPrefix("pool", prompt)
	}
}

// TestReusedSlot guards against requests for a backend server of another service:
// the prefix table names slots, and a slot may have been taken over since.
func TestReusedSlot(t *testing.T) {
	in := simIntent()
	in.Services = append(in.Services, intent.Service{Name: "other", Kind: intent.Model, FailureDomains: []string{"d0", "d1", "d2"}})
	v := testView(t, simRow(0, idle()))
	v.SetIntent("r1", in)
	prefix := NewPrefix("pool", make([]byte, 64<<10))
	req := Request{Service: "pool", Tokens: 100, Prefix: &prefix}
	choice, err := v.Choose(start, req)
	if err != nil {
		t.Fatal(err)
	}
	v.RecordStart(start, choice, &prefix)
	v.RecordEnd(start, choice)
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Removed: []uint32{0}})
	other := simRow(2, idle())
	other.BackendServer.Service = "other"
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 3, Rows: []*peer.BackendServerRow{other}})
	if diff := cmp.Diff(map[string]int{"unavailable": 200}, countChoices(v, start, req)); diff != "" {
		t.Error(diff)
	}
}

// TestRenumberedRow guards against a backend server being lost, and against a
// crash, when its row gets a new number in the response that removes the old one.
func TestRenumberedRow(t *testing.T) {
	v := testView(t, simRow(0, idle()), simRow(1, &peer.Load{Limit: 0}))
	moved := simRow(0, idle())
	moved.Index = 7
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Rows: []*peer.BackendServerRow{moved}, Removed: []uint32{0}})
	v.Apply(start, "r1", &peer.WatchResponse{Epoch: 1, Version: 3, LoadIndex: []uint32{0, 7}, LoadLevel: []uint32{1, 1}})
	if diff := cmp.Diff(map[string]int{"e0": 200}, countChoices(v, start, Request{Service: "pool", Tokens: 100})); diff != "" {
		t.Error(diff)
	}
}
