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
	simEntries  = 8
	simServers  = 16
	simSlots    = 12
	simMeanHeld = 2300 * time.Millisecond // mean, evenly spread from 0.3 to 1.7 times that
	simTick     = 10 * time.Millisecond
	simLength   = 60 * time.Second
	// Entries exchange their counts every exchangeTick. The counts that they receive
	// are countAgeTicks times that old.
	exchangeTick  = 100 * time.Millisecond
	countAgeTicks = 4
)

// simulation runs eight entries that receive each other's counts 0.4 s late.
type simulation struct {
	random       *rand.Rand
	domains      int
	pools        []*Pool
	reported     [][]map[string]int // by time, then entry
	running      []simRequest
	serverCounts map[string]int
	assigned     int
	near         int // requests assigned in the failure domain of their entry
	overfull     int // requests assigned to a backend server without a free slot
}

type simRequest struct {
	entry int
	id    string
	ends  time.Time
}

// simDomains are the failure domains of entries and backend servers, in turn.
var simDomains = []string{"fes", "meknes", "ifrane", "sefrou"}

// newSimulation returns a simulation whose hosts are in the first domains of
// simDomains.
func newSimulation(domains int) *simulation {
	v := &follower.View{Drained: map[string]bool{}, Entries: simEntries}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool"}}})
	for i := range simServers {
		v.Servers = append(v.Servers, follower.Server{ID: fmt.Sprintf("s%d", i), Service: "pool", FailureDomain: simDomains[i%domains], Slots: simSlots})
	}
	s := &simulation{domains: domains, random: rand.New(rand.NewPCG(1, 2)), serverCounts: map[string]int{}}
	for i := range simEntries {
		p := New(Config{FailureDomain: simDomains[i%domains], Random: s.random})
		p.Update(start, v)
		p.SetPeerLoads(start, map[string]uint32{})
		s.pools = append(s.pools, p)
	}
	return s
}

// exchange sets the peer loads of each entry from earlier counts of its peers.
func (s *simulation) exchange(now time.Time) {
	var counts []map[string]int
	for _, p := range s.pools {
		counts = append(counts, p.InFlight())
	}
	s.reported = append(s.reported, counts)
	old := s.reported[max(0, len(s.reported)-1-countAgeTicks)]
	for i, p := range s.pools {
		peerLoads := map[string]uint32{}
		for j := range s.pools {
			for id, n := range old[j] {
				if j != i {
					peerLoads[id] += uint32(n)
				}
			}
		}
		p.SetPeerLoads(now, peerLoads)
	}
}

func (s *simulation) apply(now time.Time, entry int, d Decision) {
	a, ok := d.(Assign)
	if !ok {
		return
	}
	s.assigned++
	if a.Server.FailureDomain == simDomains[entry%s.domains] {
		s.near++
	}
	s.serverCounts[a.Server.ID]++
	if s.serverCounts[a.Server.ID] > simSlots {
		s.overfull++
	}
	s.running = append(s.running, simRequest{entry: entry, id: a.Server.ID, ends: now.Add(time.Duration((0.3 + 1.4*s.random.Float64()) * float64(simMeanHeld)))})
	s.pools[entry].RecordEvent(now, a.Server.ID, 150*time.Millisecond, 0)
}

func (s *simulation) step(now time.Time, rate float64) {
	kept := s.running[:0]
	for _, w := range s.running {
		if w.ends.After(now) {
			kept = append(kept, w)
			continue
		}
		s.serverCounts[w.id]--
		s.pools[w.entry].Done(now, "pool", w.id, 0, Answered, 150*time.Millisecond, simMeanHeld)
	}
	s.running = kept
	for i, p := range s.pools {
		for _, d := range p.DecideQueued(now) {
			s.apply(now, i, d.Decision)
		}
	}
	for expected := rate * simTick.Seconds(); s.random.Float64() < expected/(1+expected); {
		entry := s.random.IntN(simEntries)
		s.apply(now, entry, s.pools[entry].Submit(now, request(1, now, time.Second)))
	}
}

// TestHerd guards against a thundering herd: many entries choose the backend
// server that was the least loaded one in the last counts, or fill the slots that
// were free in them. Requests would then queue at a backend server although
// others have free slots, or although the entry could have refused them. 95 in
// 100 must find a free slot. The test also guards against unused slots.
func TestHerd(t *testing.T) {
	const capacity = simServers * simSlots / 2.3 // requests a second
	tests := map[string]struct {
		rate float64 // requests a second
		// minServed is the least share of the submitted requests that must be served,
		// or of the capacity if that is lower.
		minServed float64
	}{
		"a third":    {rate: capacity / 3, minServed: 0.99},
		"two thirds": {rate: capacity * 2 / 3, minServed: 0.99},
		"overload":   {rate: capacity * 4 / 3, minServed: 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1)
			for at := time.Duration(0); at < simLength; at += simTick {
				if at%exchangeTick == 0 {
					s.exchange(start.Add(at))
				}
				s.step(start.Add(at), test.rate)
			}
			full := float64(s.overfull) / float64(s.assigned)
			served := float64(s.assigned) / (min(test.rate, capacity) * simLength.Seconds())
			t.Logf("%.1f %% of the requests found no free slot, served %.3f of the possible ones", 100*full, served)
			if full > 0.05 {
				t.Errorf("%.1f %% of the requests found no free slot, want 5 %% at most", 100*full)
			}
			if served < test.minServed {
				t.Errorf("served %.3f of the possible requests, want at least %.2f", served, test.minServed)
			}
		})
	}
}

// TestNearFirst guards against requests that cross failure domains although there
// are free slots near: at half load, four of five should stay in their own domain
// while 95 in 100 find a free slot.
func TestNearFirst(t *testing.T) {
	const capacity = simServers * simSlots / 2.3 // requests a second
	s := newSimulation(len(simDomains))
	for at := time.Duration(0); at < simLength; at += simTick {
		if at%exchangeTick == 0 {
			s.exchange(start.Add(at))
		}
		s.step(start.Add(at), capacity/2)
	}
	near, full := float64(s.near)/float64(s.assigned), float64(s.overfull)/float64(s.assigned)
	t.Logf("%.3f in the own failure domain, %.1f %% found no free slot", near, 100*full)
	if near < 0.8 {
		t.Errorf("%.3f of the requests stayed in their failure domain, want 0.8", near)
	}
	if full > 0.05 {
		t.Errorf("%.1f %% of the requests found no free slot, want 5 %% at most", 100*full)
	}
}
