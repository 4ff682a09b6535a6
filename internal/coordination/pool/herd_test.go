package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const (
	herdEntries = 8
	herdServers = 16
	herdSlots   = 12
	herdHeld    = 2300 * time.Millisecond // mean, evenly spread from 0.3 to 1.7 times that
	herdTick    = 10 * time.Millisecond
	herdLength  = 60 * time.Second
	// Entries take over the counts of others every readTime; they are countAge
	// times that old.
	readTime = 100 * time.Millisecond
	countAge = 4
)

// herd is eight entries that know of each other by counts 0.4 s old.
type herd struct {
	random   *rand.Rand
	pools    []*Pool
	reported [][]map[string]int // by time, then entry
	work     []herdWork
	counts   map[string]int
	assigned int
	full     int // assigned to a backend server without a free slot
}

type herdWork struct {
	entry int
	id    string
	ends  time.Time
}

func newHerd() *herd {
	v := &follower.View{Drained: map[string]bool{}, Entries: herdEntries}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool"}}})
	for i := range herdServers {
		v.Servers = append(v.Servers, follower.Server{ID: fmt.Sprintf("s%d", i), Service: "pool", FailureDomain: "fes", Slots: herdSlots})
	}
	h := &herd{random: rand.New(rand.NewPCG(1, 2)), counts: map[string]int{}}
	for range herdEntries {
		p := New(Config{FailureDomain: "fes", Random: h.random})
		p.Update(start, v)
		p.SetPeerLoads(start, map[string]uint32{})
		h.pools = append(h.pools, p)
	}
	return h
}

// exchange gives each entry the counts of the others.
func (h *herd) exchange(now time.Time) {
	var counts []map[string]int
	for _, p := range h.pools {
		counts = append(counts, p.InFlight())
	}
	h.reported = append(h.reported, counts)
	old := h.reported[max(0, len(h.reported)-1-countAge)]
	for i, p := range h.pools {
		others := map[string]uint32{}
		for j := range h.pools {
			for id, n := range old[j] {
				if j != i {
					others[id] += uint32(n)
				}
			}
		}
		p.SetPeerLoads(now, others)
	}
}

func (h *herd) take(now time.Time, entry int, d Decision) {
	a, ok := d.(Assign)
	if !ok {
		return
	}
	h.assigned++
	h.counts[a.Server.ID]++
	if h.counts[a.Server.ID] > herdSlots {
		h.full++
	}
	h.work = append(h.work, herdWork{entry: entry, id: a.Server.ID, ends: now.Add(time.Duration((0.3 + 1.4*h.random.Float64()) * float64(herdHeld)))})
	h.pools[entry].RecordEvent(now, a.Server.ID, 150*time.Millisecond, 0)
}

func (h *herd) step(now time.Time, rate float64) {
	kept := h.work[:0]
	for _, w := range h.work {
		if w.ends.After(now) {
			kept = append(kept, w)
			continue
		}
		h.counts[w.id]--
		h.pools[w.entry].Done(now, "pool", w.id, Answered, 150*time.Millisecond, herdHeld)
	}
	h.work = kept
	for i, p := range h.pools {
		for _, g := range p.DecideQueued(now) {
			h.take(now, i, g.Decision)
		}
	}
	for expected := rate * herdTick.Seconds(); h.random.Float64() < expected/(1+expected); {
		entry := h.random.IntN(herdEntries)
		h.take(now, entry, h.pools[entry].Submit(now, request(1, now, time.Second)))
	}
}

// TestHerd guards against entries that all choose the backend server that was the
// least loaded one by the last counts, or all fill the place that was free by
// them: requests would queue at a backend server though others have room or the
// entry could have told the caller. 95 in 100 must find a place. It guards
// against unused places too.
func TestHerd(t *testing.T) {
	const capacity = herdServers * herdSlots / 2.3 // requests a second
	tests := map[string]struct {
		rate float64 // requests a second
		// served is the least share of what is asked for, or can be served.
		served float64
	}{
		"a calm day":     {rate: capacity / 3, served: 0.99},
		"two thirds":     {rate: capacity * 2 / 3, served: 0.99},
		"a third beyond": {rate: capacity * 4 / 3, served: 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHerd()
			for at := time.Duration(0); at < herdLength; at += herdTick {
				if at%readTime == 0 {
					h.exchange(start.Add(at))
				}
				h.step(start.Add(at), test.rate)
			}
			full := float64(h.full) / float64(h.assigned)
			served := float64(h.assigned) / (min(test.rate, capacity) * herdLength.Seconds())
			t.Logf("%.1f %% found no place, %.3f of what is possible served", 100*full, served)
			if full > 0.05 {
				t.Errorf("%.1f %% of the requests found no place, want 5 %% at most", 100*full)
			}
			if served < test.served {
				t.Errorf("%.3f of what is possible was served, want %.2f", served, test.served)
			}
		})
	}
}
