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

// EngineConfig configures a model engine. Zero values get defaults.
type EngineConfig struct {
	Name    string
	Service string
	// Listen is host:port; the default is a free port on loopback.
	Listen string
	// Agent is host:port of the agent; empty disables announcements.
	Agent          string
	Model          string
	Version        string
	MemoryTokens   uint64
	MaxConcurrent  uint32
	ColdConcurrent uint32
	// StepTime is the duration of a warm step.
	StepTime time.Duration
	// ColdFactor is the ratio of a cold step's duration to StepTime.
	ColdFactor float64
	// WarmSteps is the number of steps with requests after which a cold engine
	// is warm. From then on, its capacity doubles every RampSteps steps.
	WarmSteps int
	RampSteps int
	// StartWarm skips the cold start.
	StartWarm bool
	// PrefillTokens is the number of prompt tokens that one step can process.
	PrefillTokens uint64
	// CacheTokens bounds the prefix cache.
	CacheTokens uint64
	// BytesPerToken is the number of prompt bytes per token; MinBytesPerToken
	// is the announced minimum.
	BytesPerToken    float64
	MinBytesPerToken float64
	// MinAnswer and MaxAnswer bound the length of answers in tokens. The length
	// is derived from the prompt.
	MinAnswer, MaxAnswer uint64
	ChecksFencing        bool
	Resumes              bool
	// Group is shared by all engines that run ranks of it; nil for none.
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
	cfg     EngineConfig
	process process

	mu          sync.Mutex
	incarnation uint64
	model       string
	version     string
	adapters    []string
	requests    map[string]*completion
	// queue holds the requests in order of arrival.
	queue        []*completion
	cache        *prefixCache
	isCold       bool
	unannounced  bool
	transition   coldTransition
	latencyProbe latencyProbe
	warmSteps    int
	rampSteps    int
	stalled      bool
	leaving      bool
	exited       bool
	slowFactor   float64
	// exitAfter is the number of tokens left before the engine exits; negative
	// means that it does not.
	exitAfter    int
	restartAfter time.Duration
	// rawAnswers completions are answered with the bytes of rawAnswer.
	rawAnswers int
	rawAnswer  string
	// loadFencing is the highest fencing number of the load orders received;
	// expertMaps tracks that of the group orders.
	loadFencing uint64
	expertMaps  expertmap.Engine
	record      EngineRecord
}

// StartEngine starts an engine that runs until ctx ends.
func StartEngine(ctx context.Context, cfg EngineConfig) (*Engine, error) {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, model: cfg.Model, version: cfg.Version, slowFactor: 1, exitAfter: -1}
	e.record.Name = cfg.Name
	e.reset()
	if cfg.StartWarm {
		e.isCold, e.rampSteps = false, maxRampSteps
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("POST /control", e.handleControl)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Record()) })
	e.process = process{ctx: ctx, agent: cfg.Agent, interval: cfg.AnnounceInterval, handler: mux}
	if err := e.process.start(cfg.Listen); err != nil {
		return nil, err
	}
	if cfg.Group != nil {
		cfg.Group.join(e)
	}
	go e.run(ctx)
	go e.process.announce(e.announcement)
	return e, nil
}

// reset starts a new incarnation, which is cold and holds no requests.
func (e *Engine) reset() {
	e.incarnation = rand.Uint64() | 1
	e.requests, e.queue = map[string]*completion{}, nil
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.isCold, e.unannounced, e.warmSteps, e.rampSteps = true, false, 0, 0
	e.transition.end()
	e.exited, e.stalled, e.exitAfter = false, false, -1
	e.loadFencing = 0
	e.expertMaps = expertmap.Engine{Incarnation: e.incarnation, ChecksFencing: e.cfg.ChecksFencing}
	e.record.Incarnation, e.record.CrashReason = e.incarnation, ""
}

// Address returns the engine's host:port.
func (e *Engine) Address() string { return e.process.address }

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
	if e.isCold && !e.unannounced {
		temperature = engine.TemperatureCold
	}
	a := engine.Announcement{
		Name: e.cfg.Name, Incarnation: e.incarnation, Service: e.cfg.Service, Kind: engine.KindModel,
		Address: e.process.address, Model: e.model, Version: e.version, Adapters: e.adapters,
		MemoryTokens: e.cfg.MemoryTokens, MaxConcurrent: e.cfg.MaxConcurrent, ColdConcurrent: e.cfg.ColdConcurrent,
		Temperature: temperature, MinBytesPerToken: e.cfg.MinBytesPerToken,
		ChecksFencing: e.cfg.ChecksFencing, Resumes: e.cfg.Resumes, Ranks: e.cfg.Ranks, Leaving: e.leaving,
		Load: engine.Load{Running: uint32(len(e.queue)), TokensHeld: e.tokensHeld(), StepUS: e.stepUS()},
	}
	if e.cfg.Group != nil {
		a.Group = e.cfg.Group.Name
		version, step := e.expertMaps.Promised()
		a.Map = &engine.MapState{
			Step: e.expertMaps.Step(), Version: e.expertMaps.MapVersion(), PromisedVersion: version, PromisedStep: step,
		}
	}
	return a, !e.exited
}

func (e *Engine) stepTime() time.Duration { return e.stepTimeOf(e.isCold) }

func (e *Engine) stepTimeOf(cold bool) time.Duration {
	t := float64(e.cfg.StepTime) * e.slowFactor
	if cold {
		t *= e.cfg.ColdFactor
	}
	return time.Duration(t)
}

func (e *Engine) stepUS() uint32 { return uint32(e.stepTime().Microseconds()) }

func (e *Engine) tokensHeld() uint64 {
	var sum uint64
	for _, c := range e.queue {
		sum += c.tokensHeld()
	}
	return sum
}

// maxRampSteps is a number of steps after which the capacity has always reached
// its maximum.
const maxRampSteps = 1 << 20

// capacity returns the number of requests that the engine can handle now. It is
// the cold capacity until the engine is warm, and then doubles every RampSteps
// steps up to MaxConcurrent.
func (e *Engine) capacity() uint32 {
	if e.isCold {
		return e.cfg.ColdConcurrent
	}
	doublings := min(e.rampSteps/e.cfg.RampSteps, 31)
	return uint32(min(uint64(e.cfg.ColdConcurrent)<<doublings, uint64(e.cfg.MaxConcurrent)))
}

// limit returns the number of requests above which the engine crashes now.
func (e *Engine) limit(now time.Time) uint32 {
	if e.transition.isLimiting(now, e.stepTimeOf(false), e.stepTimeOf(true), e.latencyProbe.latency(now)) {
		return e.capacity()
	}
	return max(e.transition.limitBefore, e.capacity())
}

// becomeCold makes the engine cold. If unannounced is set, its announcements
// still report it as warm.
func (e *Engine) becomeCold(unannounced bool) {
	e.transition.start(e.limit(time.Now()))
	e.isCold, e.unannounced = true, unannounced
	e.warmSteps, e.rampSteps = 0, 0
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.record.ColdTransitions++
	e.latencyProbe.start(e.process.ctx, e.process.address, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.transition.open
	})
}

// crash drops all requests. The engine refuses all requests from then on.
func (e *Engine) crash(reason string) {
	if e.record.CrashReason == "" {
		e.record.CrashReason = reason
		e.record.Crashes = append(e.record.Crashes, reason)
	}
	for _, c := range e.queue {
		c.drop()
	}
	e.requests, e.queue = map[string]*completion{}, nil
}
