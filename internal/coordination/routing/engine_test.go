package routing

import (
	"container/list"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Parameters of the simulated engine. A step prefills a chunk of prompts and
// generates one token for each running request.
const (
	engineSlots        = 32
	engineMemory       = 60000 // tokens
	engineCache        = engineMemory / 2 * 4 / BlockBytes
	stepBase           = 10 * time.Millisecond
	stepPerRequest     = 200 * time.Microsecond
	prefillPerToken    = 60 * time.Microsecond
	prefillChunk       = 1024
	coldLimit          = 2
	coldDoublingPeriod = 3 * time.Second
	simBytesPerToken   = 4
)

// job is one request of the simulation.
type job struct {
	account      int
	entry        int
	arrived      time.Duration
	prefix       Prefix
	prompt       int // tokens
	output       int
	reserved     int
	cachedBlocks int // prompt blocks found in the cache
	tried        []int
	// prefill and remaining are the prompt tokens still to be prefilled and the
	// output tokens still to be generated.
	prefill, remaining int
	choice             Choice
	firstToken         time.Duration
	engine             int
}

// fakeEngine simulates a backend server and its agent's admission.
type fakeEngine struct {
	id       int
	started  time.Duration
	waiting  []*job // to be prefilled, in order
	running  []*job
	reserved int
	cache    *list.List
	blocks   map[uint64]*list.Element
	busy     bool
	step     time.Duration
}

func newFakeEngine(id int, started time.Duration) *fakeEngine {
	return &fakeEngine{id: id, started: started, cache: list.New(), blocks: map[uint64]*list.Element{}}
}

// limit returns the concurrency limit of the agent, which is low while the engine
// is cold.
func (e *fakeEngine) limit(now time.Duration) int {
	if now < e.started {
		return 0
	}
	limit := coldLimit
	for age := now - e.started; age > coldDoublingPeriod && limit < engineSlots; age -= coldDoublingPeriod {
		limit *= 2
	}
	return min(limit, engineSlots)
}

func (e *fakeEngine) inFlight() int { return len(e.waiting) + len(e.running) }

func (e *fakeEngine) hasRoom(now time.Duration, j *job) bool {
	return e.inFlight() < e.limit(now) && e.reserved+j.reserved <= engineMemory
}

// cachedBlocks returns the number of leading blocks of p in the cache.
func (e *fakeEngine) cachedBlocks(p *Prefix) int {
	n := 0
	for n < p.n && e.blocks[p.hashes[n]] != nil {
		n++
	}
	return n
}

// admit starts a job or refuses it.
func (e *fakeEngine) admit(now time.Duration, j *job) bool {
	if !e.hasRoom(now, j) {
		return false
	}
	j.cachedBlocks = e.cachedBlocks(&j.prefix)
	for i := range j.cachedBlocks {
		e.cache.MoveToFront(e.blocks[j.prefix.hashes[i]])
	}
	j.prefill, j.remaining, j.engine = j.prompt-j.cachedBlocks*BlockBytes/simBytesPerToken, j.output, e.id
	e.reserved += j.reserved
	e.waiting = append(e.waiting, j)
	return true
}

// startStep starts a step and returns its length, or 0 without work.
func (e *fakeEngine) startStep() time.Duration {
	if e.inFlight() == 0 {
		return 0
	}
	e.step = stepBase + time.Duration(len(e.running))*stepPerRequest
	if chunk := min(e.promptBacklog(), prefillChunk); chunk > 0 {
		e.step += time.Duration(chunk) * prefillPerToken
	}
	return e.step
}

// promptBacklog returns the number of prompt tokens still to be prefilled.
func (e *fakeEngine) promptBacklog() int {
	n := 0
	for _, j := range e.waiting {
		n += j.prefill
	}
	return n
}

// finishStep completes a step and calls first for each first token and done for
// each finished job.
func (e *fakeEngine) finishStep(first, done func(*job)) {
	still := e.running[:0]
	for _, j := range e.running {
		if j.remaining--; j.remaining > 0 {
			still = append(still, j)
			continue
		}
		e.reserved -= j.reserved
		done(j)
	}
	e.running = still
	for budget := prefillChunk; budget > 0 && len(e.waiting) > 0; {
		j := e.waiting[0]
		n := min(budget, j.prefill)
		j.prefill -= n
		budget -= n
		if j.prefill > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.cachePrefix(&j.prefix)
		e.running = append(e.running, j)
		first(j)
	}
}

func (e *fakeEngine) cachePrefix(p *Prefix) {
	for i := range p.n {
		if el := e.blocks[p.hashes[i]]; el != nil {
			e.cache.MoveToFront(el)
			continue
		}
		e.blocks[p.hashes[i]] = e.cache.PushFront(p.hashes[i])
		if e.cache.Len() > engineCache {
			last := e.cache.Back()
			delete(e.blocks, e.cache.Remove(last).(uint64))
		}
	}
}

// load returns the load report of the agent.
func (e *fakeEngine) load(now time.Duration) *peer.Load {
	return &peer.Load{
		Running: uint32(e.inFlight()), Limit: uint32(max(e.limit(now), 1)),
		TokensReserved: uint64(e.reserved), TokensLimit: engineMemory, StepUs: uint32(e.step.Microseconds()),
	}
}
