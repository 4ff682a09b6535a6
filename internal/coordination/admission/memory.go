package admission

import (
	"cmp"
	"slices"
	"time"
)

// Sizes of reservations, in tokens.
const (
	// headroom is the number of tokens by which a reservation by prediction stays
	// ahead of the last progress report. It covers the tokens that an engine
	// generates while a report and a cancellation are in flight: 16 steps are
	// 0.3 s at 20 ms.
	headroom = 16
	// minGrowth is the smallest growth of a reservation.
	minGrowth = 32
)

// initialReservation returns the tokens that a request reserves when it is
// admitted.
func (c *Controller) initialReservation(r *request) uint64 {
	if !c.isModel() {
		return 0
	}
	if !r.Preemptible {
		return r.upperBound()
	}
	rest := max(c.lengths.predict(r.tokens), 2*headroom)
	return min(r.upperBound(), r.tokensHeld()+rest)
}

// progress applies a progress report of the engine.
func (c *Controller) progress(now time.Time, in Progress) []Effect {
	r := c.running[in.ID]
	if r == nil {
		return nil
	}
	cold := c.observe(now, r, in)
	c.updateReservation(r, in)
	var effects []Effect
	if cold {
		effects = c.preemptForConcurrency(now, effects)
	}
	return c.admitWaiting(now, c.growReservation(now, r, effects))
}

// updateReservation replaces the bound of the prompt by the number that the engine
// has reported. A number above the bound means that the announced bytes per token
// are wrong; the reservation is raised to it all the same.
func (c *Controller) updateReservation(r *request, in Progress) {
	r.reported = true
	if in.PromptTokens > 0 && (!r.promptKnown || in.PromptTokens != r.prompt) {
		old := r.prompt
		r.prompt, r.promptKnown = in.PromptTokens, true
		c.setReserved(r, r.reserved+r.prompt-min(old, r.reserved+r.prompt))
	}
	r.tokens = max(r.tokens, in.Tokens)
	if c.isModel() && r.reserved < r.tokensHeld() {
		c.setReserved(r, r.tokensHeld())
	}
}

func (c *Controller) setReserved(r *request, tokens uint64) {
	c.reserved = c.reserved - r.reserved + tokens
	r.reserved = tokens
}

// growReservation enlarges the reservation of a stream that has less than headroom
// left of it, and preempts streams until the reservations fit into the memory.
func (c *Controller) growReservation(now time.Time, r *request, effects []Effect) []Effect {
	if !c.isModel() || r.preempting {
		return effects
	}
	if least := min(r.upperBound(), r.tokensHeld()+headroom); r.reserved < least {
		rest := max(c.lengths.predict(r.tokens), headroom+minGrowth)
		predicted := min(r.upperBound(), r.tokensHeld()+rest)
		// Without room for the prediction the reservation takes the free memory,
		// or the least if that is more; preemptForMemory then frees the rest.
		if room := c.limits.MemoryTokens - min(c.tokensUsed(), c.limits.MemoryTokens); predicted > r.reserved+room {
			predicted = max(least, min(predicted, r.reserved+room))
		}
		c.setReserved(r, predicted)
	}
	return c.preemptForMemory(effects)
}

// preemptForMemory preempts streams while more is reserved than the memory holds.
// The reservations of streams that are being preempted count as free: such a
// stream holds at most headroom tokens more until its cancellation is confirmed.
func (c *Controller) preemptForMemory(effects []Effect) []Effect {
	if c.tokensUsed() <= c.limits.MemoryTokens {
		return effects
	}
	over := int64(c.tokensUsed()) - int64(c.limits.MemoryTokens) - int64(c.preemptingTokens())
	for over > 0 {
		v := c.victim()
		if v == nil {
			return effects
		}
		v.preempting = true
		over -= int64(v.reserved)
		effects = append(effects, Preempt{ID: v.ID})
	}
	return effects
}

func (c *Controller) preemptingTokens() uint64 {
	var sum uint64
	for _, r := range c.running {
		if r.preempting {
			sum += r.reserved
		}
	}
	return sum
}

// preemptForConcurrency preempts streams down to the concurrency limit, after the
// backend server was found to be cold.
func (c *Controller) preemptForConcurrency(now time.Time, effects []Effect) []Effect {
	remaining := int(c.untrackedRunning())
	for _, r := range c.running {
		if !r.preempting {
			remaining++
		}
	}
	for ; remaining > int(c.limit(now)); remaining-- {
		v := c.victim()
		if v == nil {
			return effects
		}
		v.preempting = true
		effects = append(effects, Preempt{ID: v.ID})
	}
	return effects
}

// victim selects the stream to preempt: the lowest priority first, then the one
// that is cheapest to recompute, then the newest.
func (c *Controller) victim() *request {
	var best *request
	for _, r := range c.running {
		if r.Preemptible && !r.preempting && (best == nil || preemptOrder(r, best) < 0) {
			best = r
		}
	}
	return best
}

func preemptOrder(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.tokensHeld(), b.tokensHeld()),
		b.admitted.Compare(a.admitted),
		cmp.Compare(b.ID, a.ID),
	)
}

// enqueue adds a waiting request behind those of the same or a higher
// priority.
func (c *Controller) enqueue(r *request) {
	i, _ := slices.BinarySearchFunc(c.waiting, r, func(w, r *request) int {
		if w.Priority >= r.Priority {
			return -1
		}
		return 1
	})
	c.waiting = slices.Insert(c.waiting, i, r)
}

// admitWaiting admits waiting requests in order while there is room. Unless the
// backend server is idle, a sixteenth of the memory must stay free, so that a
// resumed stream is not preempted again at once.
func (c *Controller) admitWaiting(now time.Time, effects []Effect) []Effect {
	for c.announced && len(c.waiting) > 0 {
		r := c.waiting[0]
		if c.isModel() && r.upperBound() > c.limits.MemoryTokens {
			c.waiting = c.waiting[1:]
			effects = append(effects, Refuse{ID: r.ID, Reason: TooLarge})
			continue
		}
		if _, ok := c.checkRoom(now, r); !ok || !c.leavesMargin(r) {
			return effects
		}
		c.waiting = c.waiting[1:]
		effects = append(effects, c.admit(now, r))
	}
	return effects
}

func (c *Controller) leavesMargin(r *request) bool {
	if !c.isModel() || c.requestsHeld() == 0 {
		return true
	}
	return c.tokensUsed()+c.initialReservation(r)+c.limits.MemoryTokens/16 <= c.limits.MemoryTokens
}

func (c *Controller) cancelWait(in CancelWait) {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.ID == in.ID })
}

// release frees the reservation of a request that the backend server no longer
// holds.
func (c *Controller) release(now time.Time, in Release) {
	r := c.remove(in.ID)
	if r == nil || !in.Finished {
		return
	}
	c.lengths.add(r.tokens)
	c.limiter.answerCompleted(now, c.isModel())
	held := now.Sub(r.admitted)
	if c.holdTime == 0 {
		c.holdTime = held
	}
	c.holdTime += (held - c.holdTime) / 8
}

func (c *Controller) remove(id uint64) *request {
	r := c.running[id]
	if r != nil {
		delete(c.running, id)
		c.reserved -= r.reserved
	}
	return r
}
