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

// model is an independent engine: it knows nothing of reservations and counts
// what it really holds. It breaks when it gets more than it can handle.
type model struct {
	memory         uint64
	warmStep       time.Duration
	max, cold      uint32
	isCold         bool
	warmSteps      int
	ramp           int
	silent         bool
	shown          bool // the turn to cold was delivered
	lastDelivered  time.Time
	held           map[uint64]*modelRequest
	incarnation    uint64
	maxHeld        uint32
	maxTokens      uint64
	broken         string
	trace          func(string, ...any)
	served, coldly int
}

type modelRequest struct {
	prompt, tokens, total uint64
	// left bounds the tokens still made; without a reader the engine stalls.
	left   int
	orphan bool // of an agent that is gone, or abandoned
}

const (
	modelWarmSteps = 20
	modelRampSteps = 8
	coldFactor     = 4
)

func (m *model) stepTime() time.Duration {
	if m.isCold {
		return coldFactor * m.warmStep
	}
	return m.warmStep
}

// ids returns the requests held in the order of their arrival.
func (m *model) ids() []uint64 { return slices.Sorted(maps.Keys(m.held)) }

func (m *model) tokens() uint64 {
	var sum uint64
	for _, r := range m.held {
		sum += r.prompt + r.tokens
	}
	return sum
}

// capacity is what the engine handles. A turn binds the agent only once it can
// know of it: when a slow step or an announcement was delivered, or when no
// step was delivered for so long that the last one proves nothing any more.
func (m *model) capacity(now time.Time) uint32 {
	if !m.isCold {
		return min(m.cold<<min(m.ramp/modelRampSteps, 16), m.max)
	}
	fresh := now.Sub(m.lastDelivered) <= max(staleTime, staleSteps*m.warmStep)
	if !m.shown && fresh {
		return m.max
	}
	return m.cold
}

func (m *model) add(now time.Time, id uint64, r *modelRequest) {
	m.held[id] = r
	n, limit := uint32(len(m.held)), m.capacity(now)
	if n > limit && m.broken == "" {
		m.broken = fmt.Sprintf("holds %d requests, can handle %d (cold %v)", n, limit, m.isCold)
	}
	m.trace("%v: add %d, holds %d of %d, cold %v, shown %v", now.Sub(simStart), id, n, limit, m.isCold, m.shown)
	m.maxHeld = max(m.maxHeld, n)
	if m.isCold {
		m.coldly++
	}
}

// step generates a token for each request and returns those that have ended.
func (m *model) step() []uint64 {
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
	if n := m.tokens(); n > m.memory && m.broken == "" {
		m.broken = fmt.Sprintf("holds %d tokens, memory is %d", n, m.memory)
	}
	m.maxTokens = max(m.maxTokens, m.tokens())
	switch {
	case len(m.held) == 0:
	case !m.isCold:
		m.ramp = min(m.ramp+1, 1<<20)
	default:
		if m.warmSteps++; m.warmSteps >= modelWarmSteps {
			m.isCold, m.silent, m.ramp = false, false, 0
		}
	}
	return ended
}

// turnCold makes a warm engine cold. With a cold one that turned cold again and
// again in silence, no agent started meanwhile could ever learn what is normal.
func (m *model) turnCold(silent bool) {
	m.trace("turns cold, silent %v", silent)
	if m.isCold {
		return
	}
	m.isCold, m.silent, m.shown, m.warmSteps = true, silent, false, 0
}

// sim runs the admission against the model, with late figures, slow
// cancellations, lost cancellations and restarts of the agent.
type sim struct {
	t      *rapid.T
	rand   *rand.Rand
	now    time.Time
	engine *model
	agent  *Controller
	// later holds what happens at a step to come.
	later  map[int][]func()
	tick   int
	nextID uint64
	// specs are the requests that the agent knows, by id.
	specs map[uint64]*modelRequest
	asked map[uint64]Arrive
	// generation counts the agent's restarts; messages to an earlier one are
	// lost.
	generation int
	// stepTime is the time of the step that is running.
	stepTime time.Duration
	// tight fills the memory to the last token.
	tight bool
}

var simStart = time.Unix(1000, 0)

func newSim(t *rapid.T) *sim {
	e := &model{
		memory:   rapid.Uint64Range(600, 4000).Draw(t, "memory"),
		warmStep: rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 4 * time.Millisecond, 60 * time.Millisecond}).Draw(t, "step"),
		max:      rapid.Uint32Range(1, 24).Draw(t, "max"),
		held:     map[uint64]*modelRequest{}, incarnation: 1, isCold: true, shown: true, trace: t.Logf,
	}
	e.cold = min(rapid.Uint32Range(1, 4).Draw(t, "cold"), e.max)
	seed := rapid.Uint64().Draw(t, "seed")
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 0)), now: simStart, engine: e, agent: New(), later: map[int][]func(){}, specs: map[uint64]*modelRequest{}, asked: map[uint64]Arrive{}}
	s.tight = rapid.Bool().Draw(t, "tight")
	return s
}

func (s *sim) after(steps int, f func()) {
	generation := s.generation
	s.later[s.tick+steps] = append(s.later[s.tick+steps], func() {
		if s.generation == generation {
			f()
		}
	})
}

// afterAny is after for what does not depend on the agent.
func (s *sim) afterAny(steps int, f func()) {
	s.later[s.tick+steps] = append(s.later[s.tick+steps], f)
}

// upTo returns a number from 1 to most. Arrivals and delays come from a seeded
// source, since rapid prefers small numbers; rapid draws the phases.
func (s *sim) upTo(most uint64) uint64 { return 1 + s.rand.Uint64N(most) }

func (s *sim) lag(most uint64) int { return int(s.upTo(most)) }

func (s *sim) input(in Input) {
	for _, effect := range s.agent.Step(s.now, in) {
		switch e := effect.(type) {
		case Admit:
			r := *s.specs[e.ID]
			r.left = math.MaxInt
			s.engine.add(s.now, e.ID, &r)
			v := s.agent.View(s.now)
			s.engine.trace("engine holds %d tokens, agent counts %d (%d foreign)", s.engine.tokens(), v.TokensReserved, s.agent.foreignTokens())
		case Preempt:
			s.preempt(e.ID)
		case Refuse:
			delete(s.specs, e.ID)
		}
	}
}

// preempt cancels a stream some steps later and lets it wait again.
func (s *sim) preempt(id uint64) {
	s.after(s.lag(4), func() {
		r := s.engine.held[id]
		if r == nil {
			return
		}
		spec, ask := s.specs[id], s.asked[id]
		if s.rand.IntN(10) == 0 {
			r.orphan, r.left = true, orphanTokens
			s.afterAny(s.lag(60), func() { delete(s.engine.held, id) })
			s.input(Abandon{ID: id})
		} else {
			delete(s.engine.held, id)
			s.input(Release{ID: id})
		}
		s.nextID++
		next := *spec
		next.tokens = r.tokens
		s.specs[s.nextID] = &next
		ask.ID, ask.Wait, ask.Resumed, ask.PromptTokens = s.nextID, true, r.tokens, spec.prompt
		s.asked[s.nextID] = ask
		s.input(ask)
	})
}

// arrive brings a new request with a wrong idea of its length.
func (s *sim) arrive() {
	s.nextID++
	bytes, most := s.upTo(s.engine.memory/4), s.upTo(s.engine.memory/4)
	spec := &modelRequest{prompt: s.upTo(bytes), total: s.upTo(most)}
	if s.tight {
		// A few long answers among many short ones, with known prompts.
		spec.prompt, spec.total = bytes, s.upTo(8)
		if s.rand.IntN(4) == 0 {
			most = s.engine.memory / 2
			spec.total = most
		}
	}
	s.specs[s.nextID] = spec
	ask := Arrive{
		ID: s.nextID, PromptBytes: bytes, MaxTokens: most,
		Preemptible: s.tight || s.rand.IntN(4) > 0,
		Priority:    s.rand.Int32N(3),
	}
	s.asked[s.nextID] = ask
	s.input(ask)
}

// announce delivers an announcement some steps after it was made.
func (s *sim) announce(lag int) {
	in := Announce{
		Incarnation: s.engine.incarnation, Cold: s.engine.isCold && !s.engine.silent,
		Limits:  Limits{MemoryTokens: s.engine.memory, MaxConcurrent: s.engine.max, ColdConcurrent: s.engine.cold, MinBytesPerToken: 1},
		Running: uint32(len(s.engine.held)), TokensHeld: s.engine.tokens(),
	}
	s.after(lag, func() {
		s.engine.shown = s.engine.shown || in.Cold
		s.engine.trace("%v: announced %d running, cold %v", s.now.Sub(simStart), in.Running, in.Cold)
		s.input(in)
	})
}

// figures delivers what a step has made; all of it arrives in order.
func (s *sim) figures(ended []uint64, us uint32) {
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
	s.engine.trace("%v: figure of %d, step %d us", s.now.Sub(simStart), p.ID, p.StepUS)
	if p.StepUS > uint32(s.engine.warmStep.Microseconds()) {
		s.engine.shown = true
	}
	s.input(p)
}

// orphanTokens is what an engine still makes for a connection that is closed.
const orphanTokens = 4

// restartAgent replaces the agent. The engine drops the requests of the old
// one some steps later; no agent can cancel them.
func (s *sim) restartAgent() {
	s.generation++
	s.engine.trace("step %d: agent restarts", s.tick)
	s.agent = New()
	for _, id := range s.engine.ids() {
		s.engine.held[id].orphan, s.engine.held[id].left = true, orphanTokens
		s.afterAny(s.lag(80), func() { delete(s.engine.held, id) })
	}
}

// restartEngine replaces the engine by a cold one.
func (s *sim) restartEngine() {
	e := s.engine
	for _, id := range e.ids() {
		if !e.held[id].orphan {
			s.after(1, func() {
				e.shown = true
				s.input(ConnectionFailed{})
				s.input(Abandon{ID: id})
			})
		}
	}
	e.held, e.incarnation = map[uint64]*modelRequest{}, e.incarnation+1
	e.isCold = false
	e.turnCold(false)
	s.announce(s.lag(30))
}

// run makes one step of the engine and one action of the world. A step that
// began before the engine turned warm or cold reports the new step time, as
// that of the stand-in does.
func (s *sim) run() {
	s.tick++
	s.now = s.now.Add(s.stepTime)
	todo := s.later[s.tick]
	delete(s.later, s.tick)
	for _, f := range todo {
		f()
	}
	if s.tick%25 == 1 {
		s.announce(s.lag(3))
	}
	s.input(Tick{})
	ended := s.engine.step()
	s.figures(ended, uint32(s.engine.stepTime().Microseconds()))
	s.stepTime = s.engine.stepTime()
}

// phase is a time of one kind of load, followed by an event.
type phase struct {
	Steps    int
	Arrivals int // per 10 steps
	Event    int
}

// The events of a phase; other numbers are none.
const (
	coldSilent = iota
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
		if s.engine.broken != "" {
			s.t.Fatalf("step %d: engine %s", s.tick, s.engine.broken)
		}
	}
	switch p.Event {
	case coldSilent, coldAnnounced:
		s.engine.turnCold(p.Event == coldSilent)
		s.announce(1)
	case agentRestart:
		s.restartAgent()
	case engineRestart:
		s.restartEngine()
	}
}
