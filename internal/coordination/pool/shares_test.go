package pool

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

var measure = flag.Bool("measure", false, "run the long measurements")

// shareModel is TestHerd's model at the size of a deployment, with demand that
// swings between the failure domains of the entries.
type shareModel struct {
	entries, servers, slots int
	load                    float64 // part of the capacity that is demanded
	swing                   float64
	withDemand              bool
	length                  time.Duration
	held                    time.Duration // mean time of a request; 0 means modelHeld
	near                    int           // backend servers in the first failure domain; 0 means a third

	random   *rand.Rand
	pools    []*Pool
	reported [][]modelReport // by time, then entry
	running  []simRequest
	counts   map[string]int
	waits    []time.Duration // sum by failure domain
	served   []int
	refused  []int
}

type modelReport struct {
	loads  map[string]int
	demand float64
}

// shareFigures are parts of one unless noted.
type shareFigures struct {
	noFreeSlot   float64 // requests that found no free slot
	overfullTime float64 // time of backend servers with more requests than slots
	refused      float64
	wait         time.Duration // mean until a request is sent
	worstWait    time.Duration // the same of the failure domain with the longest
	fill         float64       // mean share of the slots that are taken
}

const (
	modelHeld   = 2100 * time.Millisecond
	swingPeriod = 15 * time.Second
)

func (m *shareModel) run(seed uint64) shareFigures {
	m.random = rand.New(rand.NewPCG(seed, 2))
	m.counts = map[string]int{}
	if m.held == 0 {
		m.held = modelHeld
	}
	m.waits, m.served, m.refused = make([]time.Duration, 3), make([]int, 3), make([]int, 3)
	v := &follower.View{Drained: map[string]bool{}, Entries: m.entries}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool"}}})
	for i := range m.servers {
		v.Servers = append(v.Servers, follower.Server{ID: fmt.Sprintf("s%d", i), Service: "pool", FailureDomain: m.domainOf(i), Slots: m.slots})
	}
	for i := range m.entries {
		p := New(Config{FailureDomain: simDomains[i%3], Random: m.random})
		own := *v
		own.EntryIndex = i
		p.Update(start, &own)
		p.SetPeerLoads(start, map[string]uint32{})
		m.pools = append(m.pools, p)
	}
	assigned, noFree, overfull, taken, ticks := 0, 0, 0, 0, 0
	apply := func(now time.Time, entry int, r *Request, d Decision) {
		switch d := d.(type) {
		case Assign:
			assigned++
			m.counts[d.Server.ID]++
			if m.counts[d.Server.ID] > m.slots {
				noFree++
			}
			m.waits[entry%3] += now.Sub(r.Arrived)
			m.served[entry%3]++
			m.running = append(m.running, simRequest{entry: entry, id: d.Server.ID, ends: now.Add(time.Duration((0.3 + 1.4*m.random.Float64()) * float64(m.held)))})
			m.pools[entry].RecordEvent(now, d.Server.ID, 150*time.Millisecond, 0)
		case Refuse:
			m.refused[entry%3]++
		}
	}
	rate := m.load * float64(m.servers*m.slots) / m.held.Seconds() / float64(m.entries)
	for at := time.Duration(0); at < m.length; at += simTick {
		now := start.Add(at)
		if at%exchangeTick == 0 {
			m.exchange(now)
		}
		kept := m.running[:0]
		for _, w := range m.running {
			if w.ends.After(now) {
				kept = append(kept, w)
				continue
			}
			m.counts[w.id]--
			m.pools[w.entry].Done(now, "pool", w.id, 0, Answered, 150*time.Millisecond, m.held)
		}
		m.running = kept
		for i, p := range m.pools {
			for _, d := range p.DecideQueued(now) {
				apply(now, i, d.Request, d.Decision)
			}
			phase := 2 * math.Pi * (at.Seconds()/swingPeriod.Seconds() + float64(i%3)/3)
			expected := rate * (1 + m.swing*math.Sin(phase)) * simTick.Seconds()
			for m.random.Float64() < expected/(1+expected) {
				r := request(1, now, time.Second)
				apply(now, i, r, p.Submit(now, r))
			}
		}
		for _, n := range m.counts {
			if n > m.slots {
				overfull++
			}
			taken += min(n, m.slots)
		}
		ticks++
	}
	f := shareFigures{noFreeSlot: float64(noFree) / float64(assigned)}
	f.overfullTime = float64(overfull) / float64(ticks*m.servers)
	f.fill = float64(taken) / float64(ticks*m.servers*m.slots)
	refused, waits, served := 0, time.Duration(0), 0
	for d := range 3 {
		refused, waits, served = refused+m.refused[d], waits+m.waits[d], served+m.served[d]
		f.worstWait = max(f.worstWait, m.waits[d]/time.Duration(m.served[d]))
	}
	f.refused, f.wait = float64(refused)/float64(refused+served), waits/time.Duration(served)
	return f
}

// domainOf returns the failure domain of a backend server.
func (m *shareModel) domainOf(i int) string {
	switch {
	case m.near == 0:
		return simDomains[i%3]
	case i < m.near:
		return simDomains[0]
	}
	return simDomains[1+i%2]
}

func (m *shareModel) exchange(now time.Time) {
	var reports []modelReport
	for _, p := range m.pools {
		reports = append(reports, modelReport{p.InFlight(), p.Report(now).Demand["pool"]})
	}
	m.reported = append(m.reported, reports)
	for i, p := range m.pools {
		// Registrars have heard of the entries at different times.
		old := m.reported[max(0, len(m.reported)-1-countAgeTicks-i%3)]
		peers, d := map[string]uint32{}, follower.PeerReport{Demand: map[string]float64{}, DemandBefore: map[string]float64{}, Reported: m.entries - 1}
		for j, r := range old {
			if j == i {
				continue
			}
			for id, n := range r.loads {
				peers[id] += uint32(n)
			}
			d.Demand["pool"] += r.demand
			if j < i {
				d.DemandBefore["pool"] += r.demand
			}
		}
		if m.withDemand {
			p.SetPeerReport(now, d)
		}
		p.SetPeerLoads(now, peers)
	}
}

// TestSharesByDemand guards against entries that fill the same free slots because each
// has a random part of them, and against slots that stay free while requests wait
// because they belong to an entry without demand. With even shares, 21 to 25 % of the
// requests find no free slot.
func TestSharesByDemand(t *testing.T) {
	tests := map[string]struct{ swing float64 }{
		"even":     {},
		"swinging": {swing: 0.55},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := &shareModel{entries: 19, servers: 72, slots: 10, load: 0.85, swing: test.swing, withDemand: true, length: swingPeriod}
			f := m.run(1)
			t.Logf("%.1f %% found no free slot, %.1f %% refused, mean wait %v", 100*f.noFreeSlot, 100*f.refused, f.wait)
			if f.noFreeSlot > 0.1 || f.refused > 0.01 || f.wait > 100*time.Millisecond {
				t.Errorf("%.1f %% found no free slot, %.1f %% were refused, the mean wait was %v; want at most 10 %%, 1 %% and 100 ms",
					100*f.noFreeSlot, 100*f.refused, f.wait)
			}
		})
	}
}

// TestPartsAddUp guards against a free slot that belongs to two entries, or to none,
// when all of them know the same demand.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(minDemand, 50), 1, 39).Draw(t, "demands")
		n := rapid.IntRange(0, 100).Draw(t, "n")
		offset := rapid.Float64Range(0, 1).Draw(t, "offset")
		all := 0.0
		for _, d := range demands {
			all += d
		}
		total, before := 0, 0.0
		for _, d := range demands {
			total += demandPart(d, before, all).count(n, offset)
			before += d
		}
		if total != n {
			t.Fatalf("the parts hold %d of %d points", total, n)
		}
	})
}

// TestPoolDemand guards against the demand of an entry without retries being computed
// from first attempts that are kept for ever, and against requests that wait being left
// out of it.
func TestPoolDemand(t *testing.T) {
	p := newPool(Config{RetryWindow: 10 * time.Second}, 1, nil)
	now := start
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		if a, ok := p.Submit(now, request(1, now, time.Second)).(Assign); ok {
			p.Done(now, "pool", a.Server.ID, 1, Answered, time.Millisecond, time.Millisecond)
		}
		p.Report(now)
	}
	if got := p.Report(now).Demand["pool"]; got < 80 || got > 120 {
		t.Errorf("demand %v, want about 100", got)
	}
	if n := len(p.services["pool"].firstAttempts.buckets); n > 110 {
		t.Errorf("%d buckets are kept, want those of 10 s", n)
	}
	for range 10 {
		p.Submit(now, request(1, now, time.Second))
	}
	if waiting, _ := p.Counts(); p.Report(now).Demand["pool"] < 84 || waiting != 6 {
		t.Errorf("demand %v with %d requests waiting, want 104 or so with 6", p.Report(now).Demand["pool"], waiting)
	}
}

// TestMeasureShares prints what requests get with even shares and with shares by
// demand.
func TestMeasureShares(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; use -measure")
	}
	others := map[string]shareModel{
		"few near, even":     {entries: 19, servers: 72, slots: 10, load: 0.7, near: 6},
		"few near, busy":     {entries: 19, servers: 72, slots: 10, load: 0.85, near: 6},
		"few near, swinging": {entries: 12, servers: 72, slots: 10, load: 0.7, near: 6, swing: 0.55},
		"plain, 0.7":         {entries: 12, servers: 3, slots: 6, load: 0.7, held: 100 * time.Millisecond},
		"plain, 0.9":         {entries: 12, servers: 3, slots: 6, load: 0.9, held: 100 * time.Millisecond},
		"plain, 1.1":         {entries: 12, servers: 3, slots: 6, load: 1.1, held: 100 * time.Millisecond, swing: 0.55},
		"plain slow, 0.9":    {entries: 19, servers: 6, slots: 6, load: 0.9, held: 600 * time.Millisecond},
	}
	for _, name := range slices.Sorted(maps.Keys(others)) {
		for _, withDemand := range []bool{false, true} {
			m := others[name]
			m.withDemand, m.length = withDemand, 2*swingPeriod
			f := m.run(1)
			t.Logf("%-18s demand %-5v: no free slot %5.2f %%, overfull %5.2f %% of the time, refused %5.2f %%, wait %4d ms (worst %4d), fill %.3f",
				name, withDemand, 100*f.noFreeSlot, 100*f.overfullTime, 100*f.refused, f.wait.Milliseconds(), f.worstWait.Milliseconds(), f.fill)
		}
	}
	for _, entries := range []int{12, 19, 39} {
		for _, swing := range []float64{0, 0.55} {
			for _, load := range []float64{0.7, 0.85, 1.1} {
				for _, withDemand := range []bool{false, true} {
					m := &shareModel{entries: entries, servers: 72, slots: 10, load: load, swing: swing, withDemand: withDemand, length: 30 * time.Second}
					f := m.run(1)
					t.Logf("entries %d swing %.2f load %.2f demand %-5v: no free slot %5.2f %%, overfull %5.2f %% of the time, refused %5.2f %%, wait %4d ms (worst %4d), fill %.3f",
						entries, swing, load, withDemand, 100*f.noFreeSlot, 100*f.overfullTime, 100*f.refused, f.wait.Milliseconds(), f.worstWait.Milliseconds(), f.fill)
				}
			}
		}
	}
}

// TestMissingDemand guards against entries of an earlier version, which report no demand,
// being left out of the shares, and against shares by the demand of a few.
func TestMissingDemand(t *testing.T) {
	tests := map[string]struct {
		reported int
		sum      float64
		knows    bool
		length   float64
	}{
		"none":         {},
		"few":          {reported: 8, sum: 80},
		"most":         {reported: 9, sum: 90, knows: true, length: 1.0 / 19},
		"all":          {reported: 18, sum: 180, knows: true, length: 1.0 / 19},
		"others twice": {reported: 18, sum: 360, knows: true, length: 1.0 / 37},
		"others idle":  {reported: 18, knows: true, length: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(Config{}, 1, func(v *follower.View) { v.Entries = 19; v.Servers[0].Slots = 1000 })
			for i := range 10 {
				p.Submit(start.Add(time.Duration(i)*50*time.Millisecond), request(1, start, time.Minute))
			}
			now := start.Add(500 * time.Millisecond)
			p.SetPeerLoads(now, map[string]uint32{})
			p.SetPeerReport(now, follower.PeerReport{Reported: test.reported, Demand: map[string]float64{"pool": test.sum}})
			if p.knowsDemand() != test.knows {
				t.Fatalf("the demand is known: %v", p.knowsDemand())
			}
			if !test.knows {
				return
			}
			got := p.slotPart(now, "pool", p.services["pool"])
			if length := got.end - got.begin; math.Abs(length-test.length) > 1e-9 {
				t.Errorf("a part of %.4f, want %.4f", length, test.length)
			}
		})
	}
}
