package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Parameters of the simulated load: four entries send prompts of 1,000 tokens, 800
// of them shared, to 12 backend servers that read 4 tokens per ms and keep 8,000
// tokens of ended requests.
const (
	cacheEntries = 4
	cacheServers = 12
	cacheSlots   = 8
	cacheTokens  = 8000
	cacheMemory  = 24_000
	cacheSpeed   = 4000 // tokens per second
	cacheShared  = 800
	cacheOwn     = 200
	cacheDecode  = time.Second
	cachePass    = 40 * time.Millisecond
	cacheLength  = 60 * time.Second
	cacheWarmUp  = 10 * time.Second
)

func cacheView(retained int, started uint64) *follower.View {
	v := &follower.View{Drained: map[string]bool{}, Entries: cacheEntries}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool", Engine: &catalog.Engine{
		Slots: cacheSlots, MemoryTokens: cacheMemory, PrefillTokensPerSecond: cacheSpeed, PromptCacheTokens: retained,
	}}}})
	for i := range cacheServers {
		v.Servers = append(v.Servers, follower.Server{ID: fmt.Sprintf("s%d", i), StartedMS: started, Service: "pool", FailureDomain: "fes", Slots: cacheSlots})
	}
	return v
}

// cacheServer is a backend server with the shared prefixes that it holds, the least
// recently used one first.
type cacheServer struct {
	running int
	cached  []int
}

// use reads the shared prefix of a prompt and reports whether it was cached.
func (s *cacheServer) use(beginning, room int) bool {
	at := slices.Index(s.cached, beginning)
	if at >= 0 {
		s.cached = slices.Delete(s.cached, at, at+1)
	}
	s.cached = append(s.cached, beginning)
	// Own parts are cached too, until they are evicted.
	for len(s.cached)*(cacheShared+cacheOwn) > room && len(s.cached) > 0 {
		s.cached = s.cached[1:]
	}
	return at >= 0
}

// cacheLoad is one simulated load.
type cacheLoad struct {
	rate       float64 // requests a second
	beginnings int
	// retained is what the catalog says, and actual what backend servers keep.
	retained, actual int
	reports          bool          // of cached tokens
	restartAt        time.Duration // of all backend servers; 0 for never
}

type cacheResult struct {
	first       time.Duration // mean time to the first token
	hitRate     float64
	busiest     float64 // requests of the busiest backend server, relative to the mean
	overfull    float64 // share of requests that found no free slot
	expectation float64 // expected relative to found tokens
	// stale is the share of the requests in the second after a restart that were
	// expected to find a prefix and found none.
	stale float64
}

type cacheEnd struct {
	at    time.Time
	entry int
	a     Assign
	first time.Duration
	held  time.Duration
}

func (l cacheLoad) run(seed uint64) cacheResult {
	random := rand.New(rand.NewPCG(seed, 1))
	var pools []*Pool
	for i := range cacheEntries {
		p := New(Config{FailureDomain: "fes", Random: rand.New(rand.NewPCG(seed, uint64(i)+10))})
		p.Update(start, cacheView(l.retained, 1))
		p.SetPeerLoads(start, map[string]uint32{})
		pools = append(pools, p)
	}
	servers, sent := make([]cacheServer, cacheServers), make([]int, cacheServers)
	index := map[string]int{}
	for i := range servers {
		index[fmt.Sprintf("s%d", i)] = i
	}
	var rank *rand.Zipf
	if l.beginnings > 1 {
		rank = rand.NewZipf(random, 1.1, 8, uint64(l.beginnings-1))
	}
	var ends []cacheEnd
	var reported [][]map[string]int
	var r cacheResult
	var n, hits, overfull, afterRestart, staleAfterRestart int
	var total time.Duration
	expected, found := 0.0, 0.0
	started := uint64(1)
	for at := time.Duration(0); at < cacheLength; at += simTick {
		now := start.Add(at)
		if l.restartAt > 0 && at == l.restartAt {
			started++
			for i := range servers {
				servers[i] = cacheServer{}
			}
			ends = nil
			for _, p := range pools {
				p.Update(now, cacheView(l.retained, started))
			}
		}
		ends = slices.DeleteFunc(ends, func(e cacheEnd) bool {
			if e.at.After(now) {
				return false
			}
			servers[index[e.a.Server.ID]].running--
			pools[e.entry].Done(now, "pool", e.a.Server.ID, e.a.Server.StartedMS, Answered, e.first, e.held)
			return true
		})
		if at%exchangeTick == 0 {
			var counts []map[string]int
			for _, p := range pools {
				counts = append(counts, p.InFlight())
			}
			reported = append(reported, counts)
			old := reported[max(0, len(reported)-1-countAgeTicks)]
			for i, p := range pools {
				loads := map[string]uint32{}
				for j := range pools {
					for id, n := range old[j] {
						if j != i {
							loads[id] += uint32(n)
						}
					}
				}
				p.SetPeerLoads(now, loads)
			}
		}
		for arrivals := l.rate * simTick.Seconds(); random.Float64() < arrivals/(1+arrivals); {
			entry, beginning := random.IntN(cacheEntries), 0
			if rank != nil {
				beginning = int(rank.Uint64())
			}
			req := request(1, now, time.Second)
			req.Prompt = prefix.ParseParts(fmt.Sprintf("b%d:%d,own%d:%d", beginning, cacheShared, n, cacheOwn))
			a, ok := pools[entry].Submit(now, req).(Assign)
			if !ok {
				pools[entry].CancelWait(req)
				continue
			}
			i := index[a.Server.ID]
			s := &servers[i]
			s.running++
			room := min(l.actual, cacheMemory-s.running*cacheMemory/cacheSlots)
			read, hit := cacheShared+cacheOwn, s.use(beginning, room)
			if hit {
				read = cacheOwn
			}
			first := cachePass + time.Duration(float64(read)/cacheSpeed*float64(time.Second))
			full := s.running > cacheSlots
			if full {
				first += cacheDecode / cacheSlots
			}
			pools[entry].RecordEvent(now, a.Server.ID, first, 0)
			if l.reports {
				pools[entry].RecordCachedTokens("pool", a, float64(cacheShared+cacheOwn-read))
			}
			ends = append(ends, cacheEnd{at: now.Add(first + cacheDecode), entry: entry, a: a, first: first, held: first + cacheDecode})
			if at < cacheWarmUp {
				continue
			}
			n++
			sent[i]++
			total += first
			expected += a.Prefix.ExpectedTokens
			if hit {
				hits++
				found += cacheShared
			}
			if full {
				overfull++
			}
			if l.restartAt > 0 && at >= l.restartAt && at < l.restartAt+time.Second {
				afterRestart++
				if a.Prefix.Outcome != prefix.Unknown && a.Prefix.ExpectedTokens > 0 && !hit {
					staleAfterRestart++
				}
			}
		}
	}
	r.first, r.hitRate, r.overfull = total/time.Duration(max(n, 1)), float64(hits)/float64(max(n, 1)), float64(overfull)/float64(max(n, 1))
	r.busiest = float64(slices.Max(sent)) * cacheServers / float64(max(n, 1))
	r.stale = float64(staleAfterRestart) / float64(max(afterRestart, 1))
	if found > 0 {
		r.expectation = expected / found
	}
	return r
}

// mean returns the mean results of three seeds.
func (l cacheLoad) mean() cacheResult {
	const seeds = 3
	var sum cacheResult
	for seed := range uint64(seeds) {
		r := l.run(seed)
		sum.first += r.first / seeds
		sum.hitRate += r.hitRate / seeds
		sum.busiest += r.busiest / seeds
		sum.overfull += r.overfull / seeds
		sum.stale += r.stale / seeds
		sum.expectation += r.expectation / seeds
	}
	return sum
}

// TestCachedPrefixes guards against a preference that makes callers wait longer
// than without it, that gathers requests on few backend servers, or that follows
// prefixes which are no longer there.
func TestCachedPrefixes(t *testing.T) {
	const capacity = cacheServers * cacheSlots / 1.2 // requests a second
	tests := map[string]struct {
		load cacheLoad
		// minGain is the least reduction of the mean time to the first token.
		minGain time.Duration
	}{
		"many beginnings":       {cacheLoad{rate: capacity / 2, beginnings: 60, retained: cacheTokens, actual: cacheTokens}, 10 * time.Millisecond},
		"many, with reports":    {cacheLoad{rate: capacity / 2, beginnings: 60, retained: cacheTokens, actual: cacheTokens, reports: true}, 10 * time.Millisecond},
		"learned from reports":  {cacheLoad{rate: capacity / 2, beginnings: 60, actual: cacheTokens, reports: true}, 5 * time.Millisecond},
		"followers of one":      {cacheLoad{rate: capacity / 2, beginnings: 1, retained: cacheTokens, actual: cacheTokens}, -1 * time.Millisecond},
		"followers, overload":   {cacheLoad{rate: capacity * 1.3, beginnings: 1, retained: cacheTokens, actual: cacheTokens}, -3 * time.Millisecond},
		"full memory":           {cacheLoad{rate: capacity * 0.95, beginnings: 60, retained: cacheTokens, actual: cacheTokens}, -2 * time.Millisecond},
		"restart":               {cacheLoad{rate: capacity / 2, beginnings: 60, retained: cacheTokens, actual: cacheTokens, restartAt: 30 * time.Second}, 5 * time.Millisecond},
		"stale knowledge":       {cacheLoad{rate: capacity / 2, beginnings: 2000, retained: cacheTokens, actual: cacheTokens}, -1 * time.Millisecond},
		"catalog is wrong":      {cacheLoad{rate: capacity / 2, beginnings: 60, retained: cacheTokens}, -2 * time.Millisecond},
		"wrong, with reports":   {cacheLoad{rate: capacity / 2, beginnings: 60, retained: cacheTokens, reports: true}, -1 * time.Millisecond},
		"nothing says so":       {cacheLoad{rate: capacity / 2, beginnings: 60, actual: cacheTokens}, 0},
		"reports only of zeros": {cacheLoad{rate: capacity / 2, beginnings: 60, reports: true}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			off := test.load
			off.retained, off.reports = 0, false
			without, with := off.mean(), test.load.mean()
			t.Logf("first token %v without, %v with; hit rate %.3f, %.3f; busiest %.2f, %.2f; overfull %.3f, %.3f; expected/found %.2f",
				without.first.Round(time.Millisecond), with.first.Round(time.Millisecond), without.hitRate, with.hitRate,
				without.busiest, with.busiest, without.overfull, with.overfull, with.expectation)
			if gain := without.first - with.first; gain < test.minGain {
				t.Errorf("the first token came %v earlier, want %v at least", gain, test.minGain)
			}
			if with.overfull > without.overfull+0.02 {
				t.Errorf("%.3f of the requests found no free slot, %.3f without the preference", with.overfull, without.overfull)
			}
			if with.busiest > without.busiest+0.1 {
				t.Errorf("the busiest backend server got %.2f of the mean, %.2f without the preference", with.busiest, without.busiest)
			}
			if with.stale > 0 {
				t.Errorf("%.3f of the requests after the restart were expected to find a prefix and did not", with.stale)
			}
		})
	}
}

// TestChoicesWithoutCaches guards against any change of a choice, or of the use of
// the random source, where nothing says that backend servers keep prompts: neither
// the catalog nor a report above zero.
func TestChoicesWithoutCaches(t *testing.T) {
	for seed := range uint64(3) {
		load := cacheLoad{rate: 60, beginnings: 20, actual: cacheTokens}
		want := load.choices(seed, false)
		for name, l := range map[string]cacheLoad{
			"no report": load,
			"zeros":     {rate: 60, beginnings: 20, reports: true},
		} {
			if diff := cmp.Diff(want, l.choices(seed, true)); diff != "" {
				t.Errorf("seed %d, %s: %s", seed, name, diff)
			}
		}
	}
}

// choices returns the choices for a load whose times do not depend on caches, with
// or without the parts of prompts.
func (l cacheLoad) choices(seed uint64, parts bool) []string {
	random := rand.New(rand.NewPCG(seed, 1))
	p := New(Config{FailureDomain: "fes", Random: rand.New(rand.NewPCG(seed, 2))})
	p.Update(start, cacheView(0, 1))
	var out []string
	var open []cacheEnd
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		open = slices.DeleteFunc(open, func(e cacheEnd) bool {
			if e.at.After(now) {
				return false
			}
			p.Done(now, "pool", e.a.Server.ID, 1, Answered, e.first, e.held)
			return true
		})
		req := request(1, now, time.Second)
		beginning, hold := random.IntN(l.beginnings), time.Duration(random.IntN(1500))*time.Millisecond
		if parts {
			req.Prompt = prefix.ParseParts(fmt.Sprintf("b%d:%d,own:%d", beginning, cacheShared, cacheOwn))
		}
		a, ok := p.Submit(now, req).(Assign)
		if !ok {
			p.CancelWait(req)
			out = append(out, "none")
			continue
		}
		out = append(out, fmt.Sprint(a.Server.ID, a.Cost, a.Prefix))
		p.RecordEvent(now, a.Server.ID, hold/10, 0)
		if l.reports {
			p.RecordCachedTokens("pool", a, 0)
		}
		open = append(open, cacheEnd{at: now.Add(hold), a: a, first: hold / 10, held: hold})
	}
	return out
}

// TestColdGetsNoPreference guards against a cold backend server that is chosen for
// a prefix, since its rate of requests is limited.
func TestColdGetsNoPreference(t *testing.T) {
	p := New(Config{FailureDomain: "fes", Random: rand.New(rand.NewPCG(1, 2))})
	v := cacheView(cacheTokens, 1)
	p.Update(start, v)
	req := request(1, start, time.Second)
	req.Prompt = prefix.ParseParts("b:800,own:200")
	first, ok := p.Submit(start, req).(Assign)
	if !ok {
		t.Fatal("no assignment")
	}
	svc, s := p.service("pool"), p.servers[first.Server.ID]
	for cold, want := range map[bool]prefix.Outcome{false: prefix.Followed, true: prefix.Unknown} {
		c := candidate{server: s, idle: float64(time.Millisecond), cost: float64(time.Millisecond), cold: cold}
		p.preferCached(start, svc, s, req, cacheSlots, &c)
		if got := c.prefix.Outcome; got != want {
			t.Errorf("cold %t: %v, want %v", cold, got, want)
		}
	}
}

// BenchmarkSubmit72 measures a choice among 72 backend servers that keep no prompts
// and that do.
func BenchmarkSubmit72(b *testing.B) {
	for name, retained := range map[string]int{"none": 0, "kept": cacheTokens} {
		b.Run(name, func(b *testing.B) {
			v := cacheView(retained, 1)
			for i := cacheServers; i < 72; i++ {
				v.Servers = append(v.Servers, follower.Server{ID: fmt.Sprintf("s%d", i), StartedMS: 1, Service: "pool", FailureDomain: "fes", Slots: cacheSlots})
			}
			p := New(Config{FailureDomain: "fes", Random: rand.New(rand.NewPCG(1, 2))})
			p.Update(start, v)
			var prompts []prefix.Prompt
			for i := range 64 {
				prompts = append(prompts, prefix.ParseParts(fmt.Sprintf("a:40,b%d:760,own:200", i)))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				req := request(1, start, time.Second)
				req.Prompt = prompts[i%len(prompts)]
				a, ok := p.Submit(start, req).(Assign)
				if !ok {
					b.Fatal("no assignment")
				}
				p.Done(start, "pool", a.Server.ID, 1, Answered, time.Millisecond, time.Millisecond)
			}
		})
	}
}
