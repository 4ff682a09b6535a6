package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// engineModel is an engine that is independent of the reservations: it counts the
// requests and tokens that it actually holds. It records an overload when it holds
// more than its capacity.
type engineModel struct {
	memory            uint64
	warmStep          time.Duration
	max, cold         uint32
	isCold            bool
	warmSteps         int
	ramp              int
	unannounced       bool
	coldReported      bool // a slow step or an announcement of the cold state was delivered
	lastDelivered     time.Time
	held              map[uint64]*engineRequest
	incarnation       uint64
	maxHeld           uint32
	maxTokens         uint64
	overload          string
	trace             func(string, ...any)
	served, addedCold int
}

type engineRequest struct {
	prompt, tokens, total uint64
	// left bounds the tokens that are still generated; the engine stops for a
	// request without a reader.
	left   int
	orphan bool // of an agent that was replaced, or abandoned
}

const (
	modelWarmSteps = 20
	modelRampSteps = 8
	coldFactor     = 4
)

func (m *engineModel) stepTime() time.Duration {
	if m.isCold {
		return coldFactor * m.warmStep
	}
	return m.warmStep
}

// ids returns the requests held in the order of their arrival.
func (m *engineModel) ids() []uint64 { return slices.Sorted(maps.Keys(m.held)) }

func (m *engineModel) tokens() uint64 {
	var sum uint64
	for _, r := range m.held {
		sum += r.prompt + r.tokens
	}
	return sum
}

// capacity returns the number of requests that the engine can handle. After it
// became cold, the cold capacity applies only once the agent can have observed it:
// when a slow step or an announcement was delivered, or when the last delivered
// step is stale.
func (m *engineModel) capacity(now time.Time) uint32 {
	if !m.isCold {
		return min(m.cold<<min(m.ramp/modelRampSteps, 16), m.max)
	}
	recentStep := now.Sub(m.lastDelivered) <= max(staleTime, staleSteps*m.warmStep)
	if !m.coldReported && recentStep {
		return m.max
	}
	return m.cold
}

func (m *engineModel) add(now time.Time, id uint64, r *engineRequest) {
	m.held[id] = r
	n, limit := uint32(len(m.held)), m.capacity(now)
	if n > limit && m.overload == "" {
		m.overload = fmt.Sprintf("holds %d requests, can handle %d (cold %v)", n, limit, m.isCold)
	}
	m.trace("%v: add %d, holds %d of %d, cold %v, reported %v", now.Sub(simStart), id, n, limit, m.isCold, m.coldReported)
	m.maxHeld = max(m.maxHeld, n)
	if m.isCold {
		m.addedCold++
	}
}

// step generates a token for each request and returns those that have ended.
func (m *engineModel) step() []uint64 {
	var ended []uint64
	for _, id := range m.ids() {
		r := m.held[id]
		if r.left == 0 {
			continue
		}
		r.left--
		r.tokens++
		if r.tokens >= r.total {
			ended = append(ended, id)
		}
	}
	if n := m.tokens(); n > m.memory && m.overload == "" {
		m.overload = fmt.Sprintf("holds %d tokens, memory is %d", n, m.memory)
	}
	m.maxTokens = max(m.maxTokens, m.tokens())
	switch {
	case len(m.held) == 0:
	case !m.isCold:
		m.ramp = min(m.ramp+1, 1<<20)
	default:
		if m.warmSteps++; m.warmSteps >= modelWarmSteps {
			m.isCold, m.unannounced, m.ramp = false, false, 0
		}
	}
	return ended
}

// becomeCold makes a warm engine cold. It does nothing if the engine is cold: if
// the cold state were extended again and again without an announcement, an agent
// that started meanwhile could never observe a warm step.
func (m *engineModel) becomeCold(unannounced bool) {
	m.trace("becomes cold, unannounced %v", unannounced)
	if m.isCold {
		return
	}
	m.isCold, m.unannounced, m.coldReported, m.warmSteps = true, unannounced, false, 0
}

// sim runs a Controller against the model, with delayed reports, slow
// cancellations, lost cancellations and restarts of the agent and the engine.
type sim struct {
	t      *rapid.T
	rand   *rand.Rand
	now    time.Time
	engine *engineModel
	agent  *Controller
	// scheduled holds the actions by the step in which they happen.
	scheduled map[int][]func()
	tick      int
	nextID    uint64
	// specs are the requests that the agent holds or has held, by id.
	specs    map[uint64]*engineRequest
	arrivals map[uint64]Arrive
	// generation counts the agent's restarts; messages to an earlier one are
	// lost.
	generation int
	// stepTime is the duration of the current step.
	stepTime time.Duration
	// tightMemory selects requests that fill the memory to the last token.
	tightMemory bool
}

var simStart = time.Unix(1000, 0)

func newSim(t *rapid.T) *sim {
	e := &engineModel{
		memory:   rapid.Uint64Range(600, 4000).Draw(t, "memory"),
		warmStep: rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 4 * time.Millisecond, 60 * time.Millisecond}).Draw(t, "step"),
		max:      rapid.Uint32Range(1, 24).Draw(t, "max"),
		held:     map[uint64]*engineRequest{}, incarnation: 1, isCold: true, coldReported: true, trace: t.Logf,
	}
	e.cold = min(rapid.Uint32Range(1, 4).Draw(t, "cold"), e.max)
	seed := rapid.Uint64().Draw(t, "seed")
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 0)), now: simStart, engine: e, agent: New(), scheduled: map[int][]func(){}, specs: map[uint64]*engineRequest{}, arrivals: map[uint64]Arrive{}}
	s.tightMemory = rapid.Bool().Draw(t, "tight")
	return s
}

func (s *sim) after(steps int, f func()) {
	generation := s.generation
	s.scheduled[s.tick+steps] = append(s.scheduled[s.tick+steps], func() {
		if s.generation == generation {
			f()
		}
	})
}

// afterAny is like after, for actions that do not depend on the agent.
func (s *sim) afterAny(steps int, f func()) {
	s.scheduled[s.tick+steps] = append(s.scheduled[s.tick+steps], f)
}

// randomUpTo returns a number from 1 to most. Arrivals and delays come from a
// seeded source, since rapid prefers small numbers; rapid draws the phases.
func (s *sim) randomUpTo(most uint64) uint64 { return 1 + s.rand.Uint64N(most) }

func (s *sim) randomLag(most uint64) int { return int(s.randomUpTo(most)) }

func (s *sim) input(in Input) {
	for _, effect := range s.agent.Step(s.now, in) {
		switch e := effect.(type) {
		case Admit:
			r := *s.specs[e.ID]
			r.left = math.MaxInt
			s.engine.add(s.now, e.ID, &r)
			v := s.agent.View(s.now)
			s.engine.trace("engine holds %d tokens, agent counts %d (%d untracked)", s.engine.tokens(), v.TokensReserved, s.agent.untrackedTokens())
		case Preempt:
			s.preempt(e.ID)
		case Refuse:
			delete(s.specs, e.ID)
		}
	}
}

// preempt cancels a stream some steps later and adds it as a waiting request.
func (s *sim) preempt(id uint64) {
	s.after(s.randomLag(4), func() {
		r := s.engine.held[id]
		if r == nil {
			return
		}
		spec, arrival := s.specs[id], s.arrivals[id]
		if s.rand.IntN(10) == 0 {
			r.orphan, r.left = true, orphanTokens
			s.afterAny(s.randomLag(60), func() { delete(s.engine.held, id) })
			s.input(Abandon{ID: id})
		} else {
			delete(s.engine.held, id)
			s.input(Release{ID: id})
		}
		s.nextID++
		next := *spec
		next.tokens = r.tokens
		s.specs[s.nextID] = &next
		arrival.ID, arrival.Wait, arrival.Resumed, arrival.PromptTokens = s.nextID, true, r.tokens, spec.prompt
		s.arrivals[s.nextID] = arrival
		s.input(arrival)
	})
}

// arrive adds a new request whose bounds differ from its lengths.
func (s *sim) arrive() {
	s.nextID++
	bytes, most := s.randomUpTo(s.engine.memory/4), s.randomUpTo(s.engine.memory/4)
	spec := &engineRequest{prompt: s.randomUpTo(bytes), total: s.randomUpTo(most)}
	if s.tightMemory {
		// A few long answers among many short ones, with known prompts.
		spec.prompt, spec.total = bytes, s.randomUpTo(8)
		if s.rand.IntN(4) == 0 {
			most = s.engine.memory / 2
			spec.total = most
		}
	}
	s.specs[s.nextID] = spec
	arrival := Arrive{
		ID: s.nextID, PromptBytes: bytes, MaxTokens: most,
		Preemptible: s.tightMemory || s.rand.IntN(4) > 0,
		Priority:    s.rand.Int32N(3),
	}
	s.arrivals[s.nextID] = arrival
	s.input(arrival)
}

// announce makes an announcement and delivers it some steps later.
func (s *sim) announce(lag int) {
	in := Announce{
		Incarnation: s.engine.incarnation, Cold: s.engine.isCold && !s.engine.unannounced,
		Limits:  Limits{MemoryTokens: s.engine.memory, MaxConcurrent: s.engine.max, ColdConcurrent: s.engine.cold, MinBytesPerToken: 1},
		Running: uint32(len(s.engine.held)), TokensHeld: s.engine.tokens(),
	}
	s.after(lag, func() {
		s.engine.coldReported = s.engine.coldReported || in.Cold
		s.engine.trace("%v: announced %d running, cold %v", s.now.Sub(simStart), in.Running, in.Cold)
		s.input(in)
	})
}

// report delivers the progress reports and completions of a step, in order.
func (s *sim) report(ended []uint64, us uint32) {
	lag := 1
	for _, id := range s.engine.ids() {
		r := s.engine.held[id]
		if r.orphan {
			continue
		}
		p := Progress{ID: id, PromptTokens: r.prompt, Tokens: r.tokens, StepUS: us}
		s.after(lag, func() { s.deliver(p) })
	}
	for _, id := range ended {
		if !s.engine.held[id].orphan {
			s.engine.served++
			s.after(lag, func() { s.input(Release{ID: id, Finished: true}) })
		}
		delete(s.engine.held, id)
	}
}

func (s *sim) deliver(p Progress) {
	s.engine.lastDelivered = s.now
	s.engine.trace("%v: report of %d, step %d us", s.now.Sub(simStart), p.ID, p.StepUS)
	if p.StepUS > uint32(s.engine.warmStep.Microseconds()) {
		s.engine.coldReported = true
	}
	s.input(p)
}

// orphanTokens is the number of tokens that an engine still generates for a closed
// connection.
const orphanTokens = 4

// restartAgent replaces the agent. The engine drops the requests of the old
// one some steps later; no agent can cancel them.
func (s *sim) restartAgent() {
	s.generation++
	s.engine.trace("step %d: agent restarts", s.tick)
	s.agent = New()
	for _, id := range s.engine.ids() {
		s.engine.held[id].orphan, s.engine.held[id].left = true, orphanTokens
		s.afterAny(s.randomLag(80), func() { delete(s.engine.held, id) })
	}
}

// restartEngine replaces the engine by a cold one.
func (s *sim) restartEngine() {
	e := s.engine
	for _, id := range e.ids() {
		if !e.held[id].orphan {
			s.after(1, func() {
				e.coldReported = true
				s.input(ConnectionFailed{})
				s.input(Abandon{ID: id})
			})
		}
	}
	e.held, e.incarnation = map[uint64]*engineRequest{}, e.incarnation+1
	e.isCold = false
	e.becomeCold(false)
	s.announce(s.randomLag(30))
}

// run simulates one step of the engine and the actions scheduled for it. A step
// that began before the engine became warm or cold reports the new step time, as
// the stand-in engine does.
func (s *sim) run() {
	s.tick++
	s.now = s.now.Add(s.stepTime)
	todo := s.scheduled[s.tick]
	delete(s.scheduled, s.tick)
	for _, f := range todo {
		f()
	}
	if s.tick%25 == 1 {
		s.announce(s.randomLag(3))
	}
	s.input(Tick{})
	ended := s.engine.step()
	s.report(ended, uint32(s.engine.stepTime().Microseconds()))
	s.stepTime = s.engine.stepTime()
}

// phase is a number of steps with the same rate of arrivals, followed by an event.
type phase struct {
	Steps    int
	Arrivals int // per 10 steps
	Event    int
}

// The events of a phase.
const (
	coldUnannounced = iota
	coldAnnounced
	agentRestart
	engineRestart
	noEvent
)

func (s *sim) phase(p phase) {
	for range p.Steps {
		for range p.Arrivals {
			if s.rand.IntN(10) == 0 {
				s.arrive()
			}
		}
		s.run()
		if s.engine.overload != "" {
			s.t.Fatalf("step %d: engine %s", s.tick, s.engine.overload)
		}
	}
	switch p.Event {
	case coldUnannounced, coldAnnounced:
		s.engine.becomeCold(p.Event == coldUnannounced)
		s.announce(1)
	case agentRestart:
		s.restartAgent()
	case engineRestart:
		s.restartEngine()
	}
}
