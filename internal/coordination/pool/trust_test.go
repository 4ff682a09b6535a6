package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// trouble is how one backend server of a model misbehaves during a spell.
type trouble struct {
	slow     float64       // factor of the work time
	failing  float64       // part of the requests that fail
	downTime time.Duration // down and up by turns, each for this time
}

// unevenModel runs entries that send to a plain service, of which one backend server is
// in trouble for spells of spellLength, with as much time between them.
type unevenModel struct {
	entries, servers, slots int
	work, target            time.Duration
	rate                    float64 // requests a second of all entries
	trouble                 trouble
	withReports             bool
	length                  time.Duration
}

const spellLength = 6 * time.Second

// unevenFigures are parts of one unless noted.
type unevenFigures struct {
	late, failed float64 // of all requests
	refused      float64
	troubled     float64       // part of the requests in spells that met the backend server in trouble
	firstSecond  float64       // the same in the first second of the spells
	restored     float64       // its requests in the last two thirds of the sound times, relative to an even part
	reused       time.Duration // mean time from the end of a spell until it gets a request
}

type modelRequest struct {
	request   *Request
	entry     int
	to        Assign
	sent, end time.Time
	fails     bool
}

func (m *unevenModel) run(seed uint64) unevenFigures {
	random := rand.New(rand.NewPCG(seed, 3))
	v := &follower.View{Drained: map[string]bool{}, Entries: m.entries}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool"}}})
	for i := range m.servers {
		v.Servers = append(v.Servers, follower.Server{ID: fmt.Sprintf("s%d", i), Service: "pool", FailureDomain: simDomains[i%3], Slots: m.slots})
	}
	var pools []*Pool
	for i := range m.entries {
		p := New(Config{FailureDomain: simDomains[i%3], Random: random})
		own := *v
		own.EntryIndex = i
		p.Update(start, &own)
		p.SetPeerLoads(start, map[string]uint32{})
		pools = append(pools, p)
	}
	const tick = 5 * time.Millisecond
	var running []modelRequest
	var reports [][]modelPeer
	counts := map[string]int{}
	total, late, failed, refused := 0, 0, 0, 0
	inSpell, met, inFirst, metFirst, inSound, metSound := 0, 0, 0, 0, 0, 0
	var reused time.Duration
	spells, waitingForReuse := 0, false
	for at := time.Duration(0); at < m.length; at += tick {
		now := start.Add(at)
		spell, phase := int(at/spellLength)%2 == 1, at%spellLength
		if !spell && phase == 0 && at > 0 {
			spells, waitingForReuse = spells+1, true
		}
		down := spell && m.trouble.downTime > 0 && int(phase/m.trouble.downTime)%2 == 0
		if at%exchangeTick == 0 {
			reports = append(reports, nil)
			for _, p := range pools {
				reports[len(reports)-1] = append(reports[len(reports)-1], modelPeer{p.InFlight(), p.Report(now)})
			}
			for i, p := range pools {
				loads, r := sumPeers(reports[max(0, len(reports)-1-countAgeTicks-i%3)], i)
				if m.withReports {
					p.SetPeerReport(now, r)
				}
				p.SetPeerLoads(now, loads)
			}
		}
		var submit func(entry int, r *Request, d Decision)
		submit = func(entry int, r *Request, d Decision) {
			switch d := d.(type) {
			case Assign:
				bad := d.Server.ID == "s0"
				if bad && waitingForReuse && !spell {
					reused, waitingForReuse = reused+phase, false
				}
				if len(r.Tried) == 0 {
					if spell {
						inSpell++
						if phase < time.Second {
							inFirst++
						}
					} else if phase > spellLength/3 {
						inSound++
					}
					if bad && spell {
						met++
						if phase < time.Second {
							metFirst++
						}
					} else if bad && phase > spellLength/3 {
						metSound++
					}
				}
				if bad && down {
					// The connection is refused: the request is sent elsewhere.
					pools[entry].Done(now, "pool", "s0", 0, Unreachable, 0, 0)
					again := *r
					again.Tried = append(again.Tried, "s0")
					submit(entry, &again, pools[entry].Submit(now, &again))
					return
				}
				counts[d.Server.ID]++
				took := time.Duration((0.7 + 0.6*random.Float64()) * float64(m.work))
				took = took * time.Duration(max(1, (counts[d.Server.ID]+m.slots-1)/m.slots))
				w := modelRequest{request: r, entry: entry, to: d, sent: now}
				if bad && spell && m.trouble.slow > 0 {
					took = time.Duration(m.trouble.slow * float64(took))
				}
				if bad && spell && random.Float64() < m.trouble.failing {
					took, w.fails = 5*time.Millisecond, true
				}
				w.end = now.Add(took)
				running = append(running, w)
			case Refuse:
				refused++
			}
		}
		kept := running[:0]
		for _, w := range running {
			if w.to.Server.ID == "s0" && down {
				w.fails, w.end = true, now
			}
			if w.end.After(now) {
				kept = append(kept, w)
				continue
			}
			counts[w.to.Server.ID]--
			result, first := Answered, now.Sub(w.sent)
			if w.fails {
				result, first, failed = Failed, 0, failed+1
			} else if now.Sub(w.request.Arrived) > m.target {
				late++
			}
			if result == Answered {
				pools[w.entry].RecordEvent(now, w.to.Server.ID, first, 0)
			}
			pools[w.entry].Done(now, "pool", w.to.Server.ID, 0, result, first, now.Sub(w.sent))
		}
		running = kept
		for i, p := range pools {
			for _, d := range p.DecideQueued(now) {
				submit(i, d.Request, d.Decision)
			}
		}
		for expected := m.rate * tick.Seconds(); random.Float64() < expected/(1+expected); {
			entry := random.IntN(m.entries)
			r := request(1, now, time.Second)
			total++
			submit(entry, r, pools[entry].Submit(now, r))
		}
	}
	ratio := func(a, b int) float64 { return float64(a) / float64(max(1, b)) }
	return unevenFigures{
		late: ratio(late, total), failed: ratio(failed, total), refused: ratio(refused, total),
		troubled: ratio(met, inSpell), firstSecond: ratio(metFirst, inFirst),
		restored: ratio(metSound, inSound) * float64(m.servers), reused: reused / time.Duration(max(1, spells)),
	}
}

// mean returns the means of a number of runs.
func (m *unevenModel) mean(runs int) unevenFigures {
	var sum unevenFigures
	for seed := range runs {
		f := m.run(uint64(seed + 1))
		for to, from := range map[*float64]float64{
			&sum.late: f.late, &sum.failed: f.failed, &sum.refused: f.refused,
			&sum.troubled: f.troubled, &sum.firstSecond: f.firstSecond, &sum.restored: f.restored,
		} {
			*to += from / float64(runs)
		}
		sum.reused += f.reused / time.Duration(runs)
	}
	return sum
}

type modelPeer struct {
	loads  map[string]int
	report follower.Report
}

// sumPeers adds up what all entries except one have reported.
func sumPeers(peers []modelPeer, except int) (map[string]uint32, follower.PeerReport) {
	loads := map[string]uint32{}
	r := follower.PeerReport{
		Demand: map[string]float64{}, DemandBefore: map[string]float64{}, Outcomes: map[string]follower.Outcomes{}, Reported: len(peers) - 1,
	}
	for j, peer := range peers {
		if j == except {
			continue
		}
		for id, n := range peer.loads {
			loads[id] += uint32(n)
		}
		for name, d := range peer.report.Demand {
			r.Demand[name] += d
			if j < except {
				r.DemandBefore[name] += d
			}
		}
		for id, o := range peer.report.Outcomes {
			sum := r.Outcomes[id]
			r.Outcomes[id] = follower.Outcomes{Good: sum.Good + o.Good, Bad: sum.Bad + o.Bad}
		}
	}
	return loads, r
}

// troubles are what backend servers of plain services do.
var troubles = map[string]trouble{
	"sound":      {},
	"slow by 5":  {slow: 5},
	"slow by 12": {slow: 12},
	"failing":    {failing: 0.5},
	"failing .2": {failing: 0.2},
	"flapping":   {downTime: 1500 * time.Millisecond},
}

// unevenSizes are the plain services of two deployments, and engines whose ranks answer
// for themselves.
var unevenSizes = map[string]unevenModel{
	"dpf":      {entries: 12, servers: 3, slots: 6, work: 30 * time.Millisecond, target: 150 * time.Millisecond, rate: 28.4},
	"ferreira": {entries: 19, servers: 6, slots: 6, work: 60 * time.Millisecond, target: 300 * time.Millisecond, rate: 32.6},
	"engines":  {entries: 19, servers: 72, slots: 10, work: 200 * time.Millisecond, target: 400 * time.Millisecond, rate: 304},
}

// TestMeasureUneven prints what requests meet while one backend server is in trouble.
func TestMeasureUneven(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; use -measure")
	}
	for _, size := range []string{"dpf", "ferreira", "engines"} {
		for _, name := range []string{"sound", "slow by 5", "slow by 12", "failing", "failing .2", "flapping"} {
			for _, withReports := range []bool{false, true} {
				m := unevenSizes[size]
				m.trouble, m.withReports, m.length = troubles[name], withReports, 20*spellLength
				f := m.mean(3)
				t.Logf("%-8s %-10s reports %-5v: late %5.2f %%, failed %5.2f %%, refused %5.2f %%, met it %5.2f %% (first second %5.2f %%), restored %.2f, reused after %v",
					size, name, withReports, 100*f.late, 100*f.failed, 100*f.refused, 100*f.troubled, 100*f.firstSecond, f.restored, f.reused.Round(time.Millisecond))
			}
		}
	}
}

// TestUneven guards against a backend server that fails half of its requests, or is down
// by turns, being found out by each entry for itself, and against one that was in trouble
// being left without requests. Without reports, 9.3 % of the requests of a spell meet the
// failing one and 8.7 % the flapping one.
func TestUneven(t *testing.T) {
	tests := map[string]struct {
		trouble               trouble
		maxTroubled, maxWrong float64
	}{
		"failing":  {trouble: troubles["failing"], maxTroubled: 0.075, maxWrong: 0.018},
		"flapping": {trouble: troubles["flapping"], maxTroubled: 0.06, maxWrong: 0.005},
		"slow":     {trouble: troubles["slow by 12"], maxTroubled: 0.05, maxWrong: 0.02},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := unevenSizes["dpf"]
			m.trouble, m.withReports, m.length = test.trouble, true, 10*spellLength
			f := m.mean(2)
			t.Logf("%.2f %% met it, %.2f %% failed or late, restored to %.2f", 100*f.troubled, 100*(f.failed+f.late), f.restored)
			if f.troubled > test.maxTroubled || f.failed+f.late > test.maxWrong || f.restored < 0.15 {
				t.Errorf("%.2f %% met it, %.2f %% failed or were late, restored to %.2f; want at most %.1f %%, %.1f %% and at least 0.15",
					100*f.troubled, 100*(f.failed+f.late), f.restored, 100*test.maxTroubled, 100*test.maxWrong)
			}
		})
	}
}

// TestTrustSteps guards against a backend server that gets its full load back after one
// good outcome, or that loses a step for each of the requests that one event has ended.
func TestTrustSteps(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	bad := func(t *trust, sent, now time.Duration) { t.observe(start.Add(now), start.Add(sent), true, random) }
	good := func(t *trust, now time.Duration) { t.observe(start.Add(now), start.Add(now), false, random) }
	tests := map[string]struct {
		do          func(*trust)
		at          time.Duration
		level       int
		isSuspect   bool
		withRequest bool // whether it is suspect with a request in flight
	}{
		"new":            {do: func(*trust) {}},
		"one bad":        {do: func(t *trust) { bad(t, 0, time.Second) }, at: time.Second, level: 1, isSuspect: true, withRequest: true},
		"time for trial": {do: func(t *trust) { bad(t, 0, time.Second) }, at: 2 * time.Second, level: 1, withRequest: true},
		"one event": {do: func(t *trust) {
			for range 5 {
				bad(t, 0, time.Second)
			}
		}, at: time.Second, level: 1, isSuspect: true, withRequest: true},
		"fails again": {do: func(t *trust) {
			bad(t, 0, time.Second)
			bad(t, 2*time.Second, 2*time.Second)
		}, at: 2700 * time.Millisecond, level: 2, isSuspect: true, withRequest: true},
		"good while suspect": {do: func(t *trust) {
			bad(t, 0, time.Second)
			good(t, 1100*time.Millisecond)
		}, at: 1100 * time.Millisecond, level: 1, isSuspect: true, withRequest: true},
		"one step back": {do: func(t *trust) {
			bad(t, 0, time.Second)
			bad(t, 2*time.Second, 2*time.Second)
			good(t, 4*time.Second)
		}, at: 4 * time.Second, level: 1, isSuspect: true, withRequest: true},
		"restored": {do: func(t *trust) {
			bad(t, 0, time.Second)
			good(t, 2*time.Second)
		}, at: 2 * time.Second},
		"one bad of a peer": {do: func(t *trust) { t.observePeers(start, follower.Outcomes{Bad: 1}, random) }},
		"two bad of peers": {
			do:    func(t *trust) { t.observePeers(start, follower.Outcomes{Bad: 2, Good: 4}, random) },
			level: 1, isSuspect: true, withRequest: true,
		},
		"few bad of many": {do: func(t *trust) { t.observePeers(start, follower.Outcomes{Bad: 2, Good: 40}, random) }},
		"good of peers": {do: func(t *trust) {
			bad(t, -time.Second, 0)
			t.observePeers(start.Add(time.Second), follower.Outcomes{Good: 3}, random)
		}, at: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s trust
			test.do(&s)
			now := start.Add(test.at)
			got := []any{s.level, s.isSuspect(now, 0), s.isSuspect(now, 1)}
			if diff := cmp.Diff([]any{test.level, test.isSuspect, test.withRequest}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSuspectsTakeWhatOthersCannot guards against a backend server with some bad outcomes
// being lost as capacity while requests wait, and against all being avoided for a cause
// that is not theirs.
func TestSuspectsTakeWhatOthersCannot(t *testing.T) {
	p := newPool(Config{}, 3, nil)
	p.servers["s0"].trust = trust{level: 1, suspectUntil: start.Add(time.Second)}
	got := map[string]int{}
	for range 12 {
		if a, ok := p.Submit(start, request(1, start, time.Second)).(Assign); ok {
			got[a.Server.ID]++
			if got["s0"] > 0 && got["s1"]+got["s2"] < 8 {
				t.Fatal("the suspect got a request while others had free slots")
			}
		}
	}
	if diff := cmp.Diff(map[string]int{"s0": 4, "s1": 4, "s2": 4}, got); diff != "" {
		t.Error(diff)
	}
	p = newPool(Config{}, 3, nil)
	for _, id := range []string{"s0", "s1"} {
		p.servers[id].trust = trust{level: 1, suspectUntil: start.Add(time.Second)}
	}
	p.SetPeerLoads(start, map[string]uint32{})
	for i := range 4 {
		p.Submit(start, request(1, start, time.Second))
		if i == 3 && p.servers["s2"].inFlight == 4 {
			t.Error("the only trusted backend server got all requests")
		}
	}
}

// TestRecentCount guards against events that are counted for longer than the window, or
// again after a pause.
func TestRecentCount(t *testing.T) {
	var c recentCount
	c.add(start)
	c.add(start.Add(500 * time.Millisecond))
	var got []int
	for _, at := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, time.Second, 1500 * time.Millisecond, time.Hour} {
		got = append(got, c.sum(start.Add(at)))
	}
	if diff := cmp.Diff([]int{2, 2, 1, 0, 0}, got); diff != "" {
		t.Error(diff)
	}
}
