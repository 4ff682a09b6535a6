package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// EngineConfig describes a model engine. Zero values get defaults.
type EngineConfig struct {
	Name    string
	Service string
	// Listen is host:port; the default is a free port on loopback.
	Listen string
	// Agent is host:port of the agent; empty announces nothing.
	Agent          string
	Model          string
	Version        string
	MemoryTokens   uint64
	MaxConcurrent  uint32
	ColdConcurrent uint32
	// StepTime is the time of a warm step.
	StepTime time.Duration
	// ColdFactor is how much slower a cold step is.
	ColdFactor float64
	// WarmSteps is the number of steps with load after which a cold engine is
	// warm, RampSteps the number after which its capacity has doubled from
	// then on.
	WarmSteps int
	RampSteps int
	// StartWarm leaves out the cold start.
	StartWarm bool
	// PrefillTokens is how many prompt tokens one step takes in.
	PrefillTokens uint64
	// CacheTokens bounds the prefix cache.
	CacheTokens uint64
	// BytesPerToken of a prompt; MinBytesPerToken is announced.
	BytesPerToken    float64
	MinBytesPerToken float64
	// MinAnswer and MaxAnswer bound the length of answers in tokens, which
	// follows from the prompt.
	MinAnswer, MaxAnswer uint64
	ChecksFencing        bool
	Resumes              bool
	// Group is shared by all engines that carry ranks of it; nil for none.
	Group            *Group
	Ranks            []uint32
	AnnounceInterval time.Duration
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Name, "engine-1")
	setDefault(&c.Service, "assistant-pool")
	setDefault(&c.Listen, "127.0.0.1:0")
	setDefault(&c.Model, "m")
	setDefault(&c.Version, "1")
	setDefault(&c.MemoryTokens, 20_000)
	setDefault(&c.MaxConcurrent, 32)
	setDefault(&c.ColdConcurrent, 2)
	setDefault(&c.StepTime, DefaultStepTime)
	setDefault(&c.ColdFactor, 4)
	setDefault(&c.WarmSteps, 50)
	setDefault(&c.RampSteps, 8)
	setDefault(&c.PrefillTokens, 2048)
	setDefault(&c.CacheTokens, c.MemoryTokens/2)
	setDefault(&c.BytesPerToken, 4)
	setDefault(&c.MinBytesPerToken, 1)
	setDefault(&c.MinAnswer, 16)
	setDefault(&c.MaxAnswer, 256)
	setDefault(&c.AnnounceInterval, DefaultAnnounceInterval)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is a stand-in for a model engine.
type Engine struct {
	cfg  EngineConfig
	host host

	mu          sync.Mutex
	incarnation uint64
	model       string
	version     string
	adapters    []string
	requests    map[string]*completion
	// queue holds the requests in the order of arrival.
	queue     []*completion
	cache     *prefixCache
	cold      bool
	silent    bool
	turn      turn
	transit   transit
	warmSteps int
	rampSteps int
	stalled   bool
	leaving   bool
	dead      bool
	slow      float64
	// dieAfter is the number of tokens left before the engine dies; negative
	// for never.
	dieAfter    int
	reviveAfter time.Duration
	// fencing is the newest number of orders to load; rules holds that of
	// orders to the group.
	fencing uint64
	rules   expertmap.Engine
	record  EngineRecord
}

// StartEngine starts an engine that runs until ctx ends.
func StartEngine(ctx context.Context, cfg EngineConfig) (*Engine, error) {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, model: cfg.Model, version: cfg.Version, slow: 1, dieAfter: -1}
	e.record.Name = cfg.Name
	e.reset()
	if cfg.StartWarm {
		e.cold, e.rampSteps = false, maxRamp
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("POST /control", e.control)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Record()) })
	e.host = host{ctx: ctx, agent: cfg.Agent, every: cfg.AnnounceInterval, handler: mux}
	if err := e.host.start(cfg.Listen); err != nil {
		return nil, err
	}
	if cfg.Group != nil {
		cfg.Group.join(e)
	}
	go e.run(ctx)
	go e.host.announce(e.announcement)
	return e, nil
}

// reset starts a new incarnation: cold and empty.
func (e *Engine) reset() {
	e.incarnation = rand.Uint64() | 1
	e.requests, e.queue = map[string]*completion{}, nil
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.cold, e.silent, e.warmSteps, e.rampSteps = true, false, 0, 0
	e.turn.settle()
	e.dead, e.stalled, e.dieAfter = false, false, -1
	e.fencing = 0
	e.rules = expertmap.Engine{Incarnation: e.incarnation, ChecksFencing: e.cfg.ChecksFencing}
	e.record.Incarnation, e.record.CrashReason = e.incarnation, ""
}

// Address returns host:port of the engine.
func (e *Engine) Address() string { return e.host.address }

// Record returns what the engine received and ran.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.copy()
}

func (e *Engine) announcement() (engine.Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	temperature := engine.TemperatureWarm
	if e.cold && !e.silent {
		temperature = engine.TemperatureCold
	}
	a := engine.Announcement{
		Name: e.cfg.Name, Incarnation: e.incarnation, Service: e.cfg.Service, Kind: engine.KindModel,
		Address: e.host.address, Model: e.model, Version: e.version, Adapters: e.adapters,
		MemoryTokens: e.cfg.MemoryTokens, MaxConcurrent: e.cfg.MaxConcurrent, ColdConcurrent: e.cfg.ColdConcurrent,
		Temperature: temperature, MinBytesPerToken: e.cfg.MinBytesPerToken,
		ChecksFencing: e.cfg.ChecksFencing, Resumes: e.cfg.Resumes, Ranks: e.cfg.Ranks, Leaving: e.leaving,
		Load: engine.Load{Running: uint32(len(e.queue)), TokensHeld: e.tokensHeld(), StepUS: e.stepUS()},
	}
	if e.cfg.Group != nil {
		a.Group = e.cfg.Group.Name
		version, step := e.rules.Promised()
		a.Map = &engine.MapState{
			Step: e.rules.Step(), Version: e.rules.MapVersion(), PromisedVersion: version, PromisedStep: step,
		}
	}
	return a, !e.dead
}

func (e *Engine) stepTime() time.Duration { return e.stepTimeOf(e.cold) }

func (e *Engine) stepTimeOf(cold bool) time.Duration {
	t := float64(e.cfg.StepTime) * e.slow
	if cold {
		t *= e.cfg.ColdFactor
	}
	return time.Duration(t)
}

func (e *Engine) stepUS() uint32 { return uint32(e.stepTime().Microseconds()) }

func (e *Engine) tokensHeld() uint64 {
	var sum uint64
	for _, c := range e.queue {
		sum += c.held()
	}
	return sum
}

// maxRamp is a number of steps after which every ramp has ended.
const maxRamp = 1 << 20

// capacity is the number of requests that the engine can handle now. While
// it warms up the capacity stays at the cold one, and then doubles with each
// ramp.
func (e *Engine) capacity() uint32 {
	if e.cold {
		return e.cfg.ColdConcurrent
	}
	doublings := min(e.rampSteps/e.cfg.RampSteps, 31)
	return uint32(min(uint64(e.cfg.ColdConcurrent)<<doublings, uint64(e.cfg.MaxConcurrent)))
}

// limit is the number of requests above which the engine crashes now.
func (e *Engine) limit(now time.Time) uint32 {
	if e.turn.limits(now, e.stepTimeOf(false), e.stepTimeOf(true), e.transit.time(now)) {
		return e.capacity()
	}
	return max(e.turn.before, e.capacity())
}

// turnCold makes a warm engine cold. In silence, its announcements still say
// that it is warm.
func (e *Engine) turnCold(silent bool) {
	e.turn.start(e.limit(time.Now()))
	e.cold, e.silent = true, silent
	e.warmSteps, e.rampSteps = 0, 0
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.record.ColdTransitions++
	e.transit.start(e.host.ctx, e.host.address, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.turn.open
	})
}

// fallOver ends all requests and refuses everything from now on.
func (e *Engine) crash(reason string) {
	if e.record.CrashReason == "" {
		e.record.CrashReason = reason
		e.record.Crashes = append(e.record.Crashes, reason)
	}
	for _, c := range e.queue {
		c.fail()
	}
	e.requests, e.queue = map[string]*completion{}, nil
}
