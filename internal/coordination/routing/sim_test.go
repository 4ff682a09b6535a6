package routing

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/fairness"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

var lookAhead = flag.Int("lookahead", 16, "number of waiting requests that are compared when there is room")

// Parameters of the simulated deployment, the assistant-pool of section 1.5.
const (
	simEngines        = 16
	simEntries        = 3
	simDuration       = 40 * time.Second
	simWarmUp         = 10 * time.Second
	simPrompts        = 150 // number of shared prompt prefixes
	hopLatency        = time.Millisecond
	reportEvery       = 500 * time.Millisecond
	maxQueueWait      = 500 * time.Millisecond
	maxQueueItems     = 4096
	maxGoodFirstToken = 850 * time.Millisecond
	maxTries          = 4
	coldEngineAt      = 15 * time.Second
)

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// session is a conversation whose prompt grows with each request.
type session struct {
	text   []byte
	length int
}

// sim is the simulated deployment.
type sim struct {
	now        time.Duration
	seq        int
	events     simEvents
	random     *rand.Rand
	engines    []*fakeEngine
	entries    []*simEntry
	shared     [][]byte
	sessions   []*session
	promptRank *rand.Zipf
	rate       float64
	accounts   int
	heavyShare float64 // share of arrivals of account 0
	result     simResult
}

type simEntry struct {
	strategy strategy
	queue    *fairness.Queue
	budget   *fairness.RetryBudget
	items    map[*fairness.Item]*job
}

// simResult counts the outcomes of requests that arrive after the warm-up.
type simResult struct {
	arrivals, good, done    int
	shed, noBudget, refused int
	blocks, hits            int
	firstToken              []time.Duration
	goodByAccount           map[int]int
	seconds                 float64
}

func newSim(seed uint64, rate float64, make func(s *sim, entry int) strategy) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), rate: rate, accounts: 10, result: simResult{goodByAccount: map[int]int{}}}
	for i := range simEngines {
		started := -time.Minute
		if i == simEngines-1 {
			started = coldEngineAt
		}
		s.engines = append(s.engines, newFakeEngine(i, started))
	}
	s.promptRank = rand.NewZipf(s.random, 1.1, 8, simPrompts-1)
	for range simPrompts {
		s.shared = append(s.shared, s.text(1024+s.random.IntN(5*1024)))
	}
	for i := range simEntries {
		s.entries = append(s.entries, &simEntry{
			queue: fairness.NewQueue(maxQueueItems), budget: fairness.NewRetryBudget(), items: map[*fairness.Item]*job{},
		})
		s.entries[i].strategy = make(s, i)
	}
	return s
}

func (s *sim) text(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(s.random.IntN(256))
	}
	return out
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *sim) run() *simResult {
	s.after(0, s.arrive)
	s.after(reportEvery, s.report)
	s.after(20*time.Millisecond, s.tick)
	for len(s.events) > 0 && s.events[0].at < simDuration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.result.seconds = (simDuration - simWarmUp).Seconds()
	return &s.result
}

func (s *sim) tick() {
	for _, e := range s.entries {
		s.dispatchQueued(e)
	}
	s.after(20*time.Millisecond, s.tick)
}

// report takes a snapshot of all loads, which arrives half a second later.
func (s *sim) report() {
	var loads []*peer.Load
	for _, e := range s.engines {
		loads = append(loads, e.load(s.now))
	}
	s.after(reportEvery, func() {
		for _, e := range s.entries {
			e.strategy.report(s.now, loads)
			s.dispatchQueued(e)
		}
	})
	s.after(reportEvery, s.report)
}

// arrive creates one request; half of the requests continue a session.
func (s *sim) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*1e9), s.arrive)
	var c *session
	if len(s.sessions) > 200 && s.random.IntN(2) == 0 {
		c = s.sessions[s.random.IntN(len(s.sessions))]
		c.text = append(c.text, s.text(128+s.random.IntN(896))...)
	} else {
		c = &session{text: append(slices.Clone(s.shared[s.promptRank.Uint64()]), s.text(64+s.random.IntN(960))...)}
		s.sessions = append(s.sessions, c)
	}
	if c.length++; c.length > 4 || len(s.sessions) > 400 {
		s.sessions = slices.DeleteFunc(s.sessions, func(o *session) bool { return o == c })
	}
	output := 16 + int(s.random.ExpFloat64()*100)
	j := &job{entry: s.random.IntN(len(s.entries)), arrived: s.now, prefix: NewPrefix("pool", c.text),
		prompt: len(c.text) / simBytesPerToken, output: min(output, 512)}
	j.reserved = j.prompt + j.output
	if s.random.Float64() >= s.heavyShare {
		j.account = 1 + s.random.IntN(s.accounts-1)
	}
	if s.now >= simWarmUp {
		s.result.arrivals++
	}
	e := s.entries[j.entry]
	e.budget.RecordFirstAttempt()
	s.submit(e, j)
}

// submit dispatches a job at once if the queue is empty and a backend server has
// room, and queues it otherwise.
func (s *sim) submit(e *simEntry, j *job) {
	it := &fairness.Item{Account: fmt.Sprint(j.account), Weight: 1, Cost: float64(j.reserved), Deadline: clockAt(s.now + maxQueueWait)}
	if e.queue.Len() == 0 && s.dispatch(e, j) {
		e.queue.RecordBypass(clockAt(s.now), it)
		return
	}
	shed, err := e.queue.Push(clockAt(s.now), it)
	if shed != nil {
		s.countLost(e.items[shed], &s.result.shed)
		delete(e.items, shed)
	}
	if err != nil {
		s.countLost(j, &s.result.shed)
		return
	}
	e.items[it] = j
	s.after(maxQueueWait, func() {
		if e.items[it] != nil {
			e.queue.Remove(it)
			s.countLost(j, &s.result.shed)
			delete(e.items, it)
		}
	})
}

func (s *sim) countLost(j *job, reason *int) {
	if j.arrived >= simWarmUp {
		*reason++
	}
}

// dispatchQueued dispatches waiting requests: the next one or, with a View, the
// one of the next few with the largest cached share of its prompt.
func (s *sim) dispatchQueued(e *simEntry) {
	_, usesView := e.strategy.(*viewStrategy)
	for {
		candidates := e.queue.Candidates(1)
		if usesView {
			candidates = e.queue.Candidates(*lookAhead)
		}
		var best *fairness.Item
		for _, it := range candidates {
			i, ok := e.strategy.choose(s.now, e.items[it])
			if !ok {
				break
			}
			e.items[it].engine = i
			if best == nil || usesView && e.items[it].choice.CachedShare > e.items[best].choice.CachedShare {
				best = it
			}
		}
		if best == nil {
			return
		}
		j := e.items[best]
		s.send(e, j, j.engine)
		e.queue.Take(clockAt(s.now), best)
		delete(e.items, best)
	}
}

func (s *sim) dispatch(e *simEntry, j *job) bool {
	i, ok := e.strategy.choose(s.now, j)
	if ok {
		s.send(e, j, i)
	}
	return ok
}

func (s *sim) send(e *simEntry, j *job, i int) {
	e.strategy.started(s.now, j, i)
	s.after(hopLatency, func() { s.reachAgent(e, j, i) })
}

// reachAgent handles the arrival of a dispatch at its agent.
func (s *sim) reachAgent(e *simEntry, j *job, i int) {
	engine := s.engines[i]
	if engine.admit(s.now, j) {
		if j.arrived >= simWarmUp {
			s.result.blocks += j.prefix.n
			s.result.hits += j.cachedBlocks
		}
		s.runStep(engine)
		return
	}
	load := engine.load(s.now)
	s.after(hopLatency, func() {
		e.strategy.refused(s.now, j, i, load)
		j.tried = append(j.tried, i)
		switch {
		case len(j.tried) >= maxTries:
			s.countLost(j, &s.result.refused)
		case !e.budget.TryRetry():
			s.countLost(j, &s.result.noBudget)
		default:
			s.submit(e, j)
		}
	})
}

func (s *sim) runStep(e *fakeEngine) {
	if e.busy {
		return
	}
	step := e.startStep()
	if step == 0 {
		return
	}
	e.busy = true
	s.after(step, func() {
		e.busy = false
		e.finishStep(func(j *job) {
			j.firstToken = s.now + hopLatency
			s.entries[j.entry].strategy.observed(s.now, j, e.load(s.now))
		}, s.complete)
		s.runStep(e)
	})
}

func (s *sim) complete(j *job) {
	e := s.entries[j.entry]
	e.strategy.finished(s.now, j)
	if j.arrived >= simWarmUp {
		s.result.done++
		s.result.firstToken = append(s.result.firstToken, j.firstToken-j.arrived)
		if j.firstToken-j.arrived <= maxGoodFirstToken {
			s.result.good++
			s.result.goodByAccount[j.account]++
		}
	}
	s.dispatchQueued(e)
}
