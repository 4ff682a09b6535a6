package standin

import (
	"context"
	"fmt"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// eventBuffer is how many events a request holds for its reader. A request
// whose reader does not keep up is left out of the steps, but keeps its
// tokens.
const eventBuffer = 16

// completion is one request in the batch.
type completion struct {
	id       string
	prompt   string
	priority int
	tokens   uint64 // of the answer so far
	total    uint64 // of the whole answer
	prefill  uint64 // prompt tokens still to be taken in
	promptN  uint64
	cached   uint64
	reason   string
	events   chan token
	gone     chan struct{} // closed when the engine dropped it
	dropped  bool
}

// token is one step's result for a request.
type token struct {
	text    string
	figures engine.Stats
	reason  string
	turn    uint64 // number of the engine's turn to cold
}

func (c *completion) held() uint64 { return c.promptN - c.prefill + c.tokens }

func (c *completion) fail() {
	if !c.dropped {
		c.dropped = true
		close(c.gone)
	}
}

// run makes steps until ctx ends. An engine of a group takes part in each of
// the group's steps; another one steps while it has requests.
func (e *Engine) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		start := time.Now()
		e.mu.Lock()
		wait := e.stepTime()
		if e.dead || e.stalled {
			e.mu.Unlock()
			timer.Reset(wait)
			continue
		}
		e.mu.Unlock()
		if e.cfg.Group == nil || e.cfg.Group.barrier(ctx, e) {
			e.step()
		}
		timer.Reset(max(0, wait-time.Since(start)))
	}
}

// step runs one step for all requests.
func (e *Engine) step() {
	e.mu.Lock()
	die := false
	if len(e.queue) > 0 {
		e.record.Steps++
		e.warm()
	}
	budget := e.cfg.PrefillTokens
	for _, c := range append([]*completion(nil), e.queue...) {
		if c.prefill > 0 {
			part := min(c.prefill, budget)
			c.prefill -= part
			budget -= part
			continue
		}
		die = e.generate(c) || die
	}
	e.checkMemory()
	e.mu.Unlock()
	if die {
		e.die()
	}
}

// generate makes one token of an answer, and says whether the engine dies.
func (e *Engine) generate(c *completion) bool {
	if len(c.events) == cap(c.events) {
		return false
	}
	e.record.Tokens++
	t := token{text: answerToken(c.prompt, c.tokens), turn: e.turn.number}
	c.tokens++
	t.figures = engine.Stats{PromptTokens: c.promptN, CachedTokens: c.cached, Tokens: c.tokens, StepUS: e.stepUS()}
	if c.tokens >= c.total {
		t.reason = c.reason
		e.record.Finished++
		e.remove(c)
		e.cache.add(c.prompt, c.promptN)
	}
	c.events <- t
	e.turn.step(time.Now())
	if e.dieAfter > 0 {
		e.dieAfter--
	}
	return e.dieAfter == 0
}

// warm counts a step with load.
func (e *Engine) warm() {
	if !e.cold {
		e.rampSteps = min(e.rampSteps+1, maxRamp)
		return
	}
	e.warmSteps++
	if e.warmSteps >= e.cfg.WarmSteps {
		e.cold, e.silent = false, false
	}
}

func (e *Engine) checkMemory() {
	held := e.tokensHeld()
	e.record.MaxTokensHeld = max(e.record.MaxTokensHeld, held)
	if held > e.cfg.MemoryTokens {
		e.crash(fmt.Sprintf("held %d tokens, memory is %d", held, e.cfg.MemoryTokens))
	}
}

// add takes a request into the batch, or crashes.
func (e *Engine) add(c *completion) bool {
	e.record.Received++
	if e.record.CrashReason != "" {
		e.record.Refused++
		return false
	}
	held, limit := uint32(len(e.queue))+1, e.limit(time.Now())
	if held > limit {
		e.crash(fmt.Sprintf("held %d requests, could handle %d (cold %v)", held, limit, e.cold))
		return false
	}
	e.record.MaxInFlight = max(e.record.MaxInFlight, held)
	if e.cold {
		e.record.MaxInFlightCold = max(e.record.MaxInFlightCold, held)
	}
	e.record.Ran++
	e.record.LastAccepted = time.Now()
	e.record.count(c.id)
	e.requests[c.id] = c
	e.queue = append(e.queue, c)
	return true
}

// remove takes a request out of the batch.
func (e *Engine) remove(c *completion) bool {
	for i, q := range e.queue {
		if q == c {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			delete(e.requests, c.id)
			return true
		}
	}
	return false
}

// die ends all connections, and comes back later as a new incarnation if it
// was told to.
func (e *Engine) die() {
	e.mu.Lock()
	e.dead = true
	for _, c := range e.queue {
		c.fail()
	}
	revive := e.reviveAfter
	e.record.Exits++
	e.mu.Unlock()
	e.host.kill()
	if revive == 0 {
		return
	}
	time.AfterFunc(revive, func() {
		e.mu.Lock()
		e.reset()
		e.mu.Unlock()
		if err := e.host.revive(); err != nil {
			e.mu.Lock()
			e.dead = true
			e.mu.Unlock()
		}
	})
}
