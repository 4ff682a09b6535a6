package standin

import (
	"context"
	"fmt"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// eventBuffer is the number of events buffered for the reader of a request. A
// request whose buffer is full is skipped by the steps, but keeps its tokens in
// memory.
const eventBuffer = 16

// completion is one request in the batch.
type completion struct {
	id           string
	prompt       string
	priority     int
	tokens       uint64 // of the answer so far
	total        uint64 // of the complete answer
	prefillLeft  uint64 // prompt tokens not yet processed
	promptTokens uint64
	cachedTokens uint64
	finishReason string
	events       chan token
	done         chan struct{} // closed when the engine drops the request
	dropped      bool
}

// token is the result of one step for a request.
type token struct {
	text         string
	stats        engine.Stats
	finishReason string
	transition   uint64 // number of the engine's latest transition to cold
}

func (c *completion) tokensHeld() uint64 { return c.promptTokens - c.prefillLeft + c.tokens }

func (c *completion) drop() {
	if !c.dropped {
		c.dropped = true
		close(c.done)
	}
}

// run executes steps until ctx ends. An engine in a group takes part in each
// step of the group; other engines count a step only while they have requests.
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
		if e.exited || e.stalled {
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

// step executes one step for all requests.
func (e *Engine) step() {
	e.mu.Lock()
	exit := false
	if len(e.queue) > 0 {
		e.record.Steps++
		e.advanceWarmUp()
	}
	budget := e.cfg.PrefillTokens
	for _, c := range append([]*completion(nil), e.queue...) {
		if c.prefillLeft > 0 {
			part := min(c.prefillLeft, budget)
			c.prefillLeft -= part
			budget -= part
			continue
		}
		exit = e.generate(c) || exit
	}
	e.checkMemory()
	e.mu.Unlock()
	if exit {
		e.exit()
	}
}

// generate adds one token to an answer and reports whether the engine must exit.
func (e *Engine) generate(c *completion) bool {
	if len(c.events) == cap(c.events) {
		return false
	}
	e.record.Tokens++
	t := token{text: answerToken(c.prompt, c.tokens), transition: e.transition.number}
	c.tokens++
	t.stats = engine.Stats{PromptTokens: c.promptTokens, CachedTokens: c.cachedTokens, Tokens: c.tokens, StepUS: e.stepUS()}
	if c.tokens >= c.total {
		t.finishReason = c.finishReason
		e.record.Finished++
		e.remove(c)
		e.cache.add(c.prompt, c.promptTokens)
	}
	c.events <- t
	e.transition.recordStep(time.Now())
	if e.exitAfter > 0 {
		e.exitAfter--
	}
	return e.exitAfter == 0
}

// advanceWarmUp counts a step with requests towards the end of the warm-up or,
// once the engine is warm, towards the next doubling of its capacity.
func (e *Engine) advanceWarmUp() {
	if !e.isCold {
		e.rampSteps = min(e.rampSteps+1, maxRampSteps)
		return
	}
	e.warmSteps++
	if e.warmSteps >= e.cfg.WarmSteps {
		e.isCold, e.unannounced = false, false
	}
}

func (e *Engine) checkMemory() {
	held := e.tokensHeld()
	e.record.MaxTokensHeld = max(e.record.MaxTokensHeld, held)
	if held > e.cfg.MemoryTokens {
		e.crash(fmt.Sprintf("held %d tokens, memory is %d", held, e.cfg.MemoryTokens))
	}
}

// admit adds a request to the batch. If the request exceeds the limit, the
// engine crashes.
func (e *Engine) admit(c *completion) bool {
	e.record.Received++
	if e.record.CrashReason != "" {
		e.record.Refused++
		return false
	}
	held, limit := uint32(len(e.queue))+1, e.limit(time.Now())
	if held > limit {
		e.crash(fmt.Sprintf("held %d requests, limit is %d (cold %v)", held, limit, e.isCold))
		return false
	}
	e.record.MaxInFlight = max(e.record.MaxInFlight, held)
	if e.isCold {
		e.record.MaxInFlightCold = max(e.record.MaxInFlightCold, held)
	}
	e.record.Ran++
	e.record.LastAccepted = time.Now()
	e.record.count(c.id)
	e.requests[c.id] = c
	e.queue = append(e.queue, c)
	return true
}

// remove removes a request from the batch and reports whether it was there.
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

// exit closes all connections. If a restart delay is set, the engine restarts
// after it as a new incarnation.
func (e *Engine) exit() {
	e.mu.Lock()
	e.exited = true
	for _, c := range e.queue {
		c.drop()
	}
	delay := e.restartAfter
	e.record.Exits++
	e.mu.Unlock()
	e.process.terminate()
	if delay == 0 {
		return
	}
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		e.reset()
		e.mu.Unlock()
		if err := e.process.restart(); err != nil {
			e.mu.Lock()
			e.exited = true
			e.mu.Unlock()
		}
	})
}
