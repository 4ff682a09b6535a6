package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// strategy chooses engines for one entry.
type strategy interface {
	choose(now time.Duration, j *job) (engine int, ok bool)
	started(now time.Duration, j *job, engine int)
	finished(now time.Duration, j *job)
	refused(now time.Duration, j *job, engine int, l *peer.Load)
	// report handles a load report of all engines, half a second old.
	report(now time.Duration, loads []*peer.Load)
	// observed handles a load that was sent with an answer.
	observed(now time.Duration, j *job, l *peer.Load)
}

// refusalAvoidance is how long the baselines exclude an engine after a refusal, so
// that they also wait for room.
const refusalAvoidance = 100 * time.Millisecond

// simRetryAfter is the retryAfter of an agent: the expected time until one of 32
// requests ends.
const simRetryAfter = 50 * time.Millisecond

// baseline is the common part of round robin, least outstanding and two random
// choices.
type baseline struct {
	pick        func(b *baseline, eligible []int) int
	random      *rand.Rand
	outstanding []int
	avoid       []time.Duration
	next        int
}

func (b *baseline) choose(now time.Duration, j *job) (int, bool) {
	var eligible []int
	for i := range b.outstanding {
		if now >= b.avoid[i] && !contains(j.tried, i) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	return b.pick(b, eligible), true
}

func (b *baseline) started(_ time.Duration, _ *job, engine int) { b.outstanding[engine]++ }
func (b *baseline) finished(_ time.Duration, j *job)            { b.outstanding[j.engine]-- }
func (b *baseline) refused(now time.Duration, _ *job, engine int, _ *peer.Load) {
	b.outstanding[engine]--
	b.avoid[engine] = now + refusalAvoidance
}
func (b *baseline) report(time.Duration, []*peer.Load)       {}
func (b *baseline) observed(time.Duration, *job, *peer.Load) {}

func contains(list []int, n int) bool {
	for _, have := range list {
		if have == n {
			return true
		}
	}
	return false
}

func roundRobin(b *baseline, eligible []int) int {
	b.next++
	return eligible[b.next%len(eligible)]
}

func leastOutstanding(b *baseline, eligible []int) int {
	best := eligible[b.random.IntN(len(eligible))]
	for _, i := range eligible {
		if b.outstanding[i] < b.outstanding[best] {
			best = i
		}
	}
	return best
}

func twoChoices(b *baseline, eligible []int) int {
	x, y := eligible[b.random.IntN(len(eligible))], eligible[b.random.IntN(len(eligible))]
	if b.outstanding[y] < b.outstanding[x] {
		return y
	}
	return x
}

// oracle chooses by the current state of the engines, without delay.
type oracle struct{ engines []*fakeEngine }

func (a oracle) choose(now time.Duration, j *job) (int, bool) {
	best, cost := -1, time.Duration(0)
	for i, e := range a.engines {
		if !e.hasRoom(now, j) || contains(j.tried, i) {
			continue
		}
		read := j.prompt - e.cachedBlocks(&j.prefix)*BlockBytes/simBytesPerToken + e.promptBacklog()
		c := time.Duration(read)*prefillPerToken + time.Duration(len(e.running))*stepPerRequest
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best, best >= 0
}

func (oracle) started(time.Duration, *job, int)             {}
func (oracle) finished(time.Duration, *job)                 {}
func (oracle) refused(time.Duration, *job, int, *peer.Load) {}
func (oracle) report(time.Duration, []*peer.Load)           {}
func (oracle) observed(time.Duration, *job, *peer.Load)     {}

// viewStrategy chooses with a View.
type viewStrategy struct {
	view    *View
	version uint64
	byName  map[string]int
}

func clockAt(now time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(now) }

func simIntent() intent.Intent {
	return intent.Intent{
		Region:         "r1",
		FailureDomains: []intent.FailureDomain{{Name: "d0"}, {Name: "d1"}, {Name: "d2"}},
		Services:       []intent.Service{{Name: "pool", Kind: intent.Model, FailureDomains: []string{"d0", "d1", "d2"}}},
	}
}

func simRow(i int, l *peer.Load) *peer.BackendServerRow {
	return &peer.BackendServerRow{
		Index: uint32(i), Agent: &peer.Node{Id: fmt.Sprint("a", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", i%3), Region: "r1"},
		BackendServer: &peer.BackendServer{
			Name: fmt.Sprint("e", i), Incarnation: 1, Service: "pool", MemoryTokens: engineMemory, MaxConcurrent: engineSlots, Load: l,
		},
	}
}

func newViewStrategy(engines []*fakeEngine, entry int, seed uint64, weights Weights) *viewStrategy {
	s := &viewStrategy{byName: map[string]int{}, version: 1, view: New(Config{
		Region: "r1", FailureDomain: fmt.Sprint("d", entry%3), Random: rand.New(rand.NewPCG(seed, uint64(entry))), Weights: weights,
	})}
	s.view.SetIntent("r1", simIntent())
	w := &peer.WatchResponse{Epoch: 1, Version: 1, Full: true}
	for i, e := range engines {
		w.Rows = append(w.Rows, simRow(i, e.load(0)))
		s.byName[fmt.Sprint("e", i)] = i
	}
	s.view.Apply(clockAt(0), "r1", w)
	return s
}

func (s *viewStrategy) choose(now time.Duration, j *job) (int, bool) {
	req := Request{Service: "pool", Prefix: &j.prefix, Tokens: float64(j.reserved)}
	for _, i := range j.tried {
		slot := s.view.byName[serverKey{"r1", fmt.Sprint("e", i)}]
		req.Excluded = append(req.Excluded, Choice{slot: slot, generation: s.view.servers[slot].generation})
	}
	c, err := s.view.Choose(clockAt(now), req)
	if err != nil {
		return 0, false
	}
	j.choice = c
	return s.byName[c.BackendServer], true
}

func (s *viewStrategy) started(now time.Duration, j *job, _ int) {
	s.view.RecordStart(clockAt(now), j.choice, &j.prefix)
}
func (s *viewStrategy) finished(now time.Duration, j *job) { s.view.RecordEnd(clockAt(now), j.choice) }
func (s *viewStrategy) refused(now time.Duration, j *job, _ int, l *peer.Load) {
	s.view.RecordEnd(clockAt(now), j.choice)
	s.view.RecordLoad(clockAt(now), j.choice, l)
	s.view.RecordRefusal(clockAt(now), j.choice, fault.Overloaded, simRetryAfter)
}
func (s *viewStrategy) observed(now time.Duration, j *job, l *peer.Load) {
	s.view.RecordLoad(clockAt(now), j.choice, l)
}

// report applies load levels as control sends them, and a row where the limit has
// changed.
func (s *viewStrategy) report(now time.Duration, loads []*peer.Load) {
	s.version++
	w := &peer.WatchResponse{Epoch: 1, Version: s.version}
	for i, l := range loads {
		if v := s.view.servers[s.view.byName[serverKey{"r1", fmt.Sprint("e", i)}]]; uint32(v.load.limit) != l.Limit {
			w.Rows = append(w.Rows, simRow(i, l))
			continue
		}
		share := max(float64(l.Running)/float64(l.Limit), float64(l.TokensReserved)/float64(l.TokensLimit))
		level := uint32(min(255, 255*share))
		if share < 1 {
			level = min(level, 254)
		}
		w.LoadIndex, w.LoadLevel = append(w.LoadIndex, uint32(i)), append(w.LoadLevel, level)
	}
	s.view.Apply(clockAt(now), "r1", w)
}
