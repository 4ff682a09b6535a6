package admission

import (
	"cmp"
	"slices"
	"time"
)

// Sizes of reservations, in tokens.
const (
	// headroom is how far a reservation by prediction stays ahead of the last
	// figure. It covers the tokens that an engine generates while a figure and
	// a cancellation are on their way: 16 steps are 0.3 s at 20 ms.
	headroom = 16
	// growBlock is the least that a reservation grows by.
	growBlock = 32
)

// initial is what a request reserves when it is admitted.
func (s *Controller) initial(r *request) uint64 {
	if !s.isModel() {
		return 0
	}
	if !r.Preemptible {
		return r.full()
	}
	rest := max(s.lengths.predict(r.tokens), 2*headroom)
	return min(r.full(), r.held()+rest)
}

// progress corrects a reservation by the engine's figures.
func (s *Controller) progress(now time.Time, in Progress) []Effect {
	r := s.running[in.ID]
	if r == nil {
		return nil
	}
	cold := s.observe(now, r, in)
	s.correct(r, in)
	var effects []Effect
	if cold {
		effects = s.shrink(now, effects)
	}
	return s.fill(now, s.grow(now, r, effects))
}

// correct replaces the bound of the prompt by the engine's number. A number
// above the bound means that the announced bytes per token are wrong; the
// reservation follows it all the same.
func (s *Controller) correct(r *request, in Progress) {
	r.started = true
	if in.PromptTokens > 0 && (!r.known || in.PromptTokens != r.prompt) {
		old := r.prompt
		r.prompt, r.known = in.PromptTokens, true
		s.setReserved(r, r.reserved+r.prompt-min(old, r.reserved+r.prompt))
	}
	r.tokens = max(r.tokens, in.Tokens)
	if s.isModel() && r.reserved < r.held() {
		s.setReserved(r, r.held())
	}
}

func (s *Controller) setReserved(r *request, tokens uint64) {
	s.reserved = s.reserved - r.reserved + tokens
	r.reserved = tokens
}

// grow enlarges the reservation of a stream that comes near its end, and
// preempts streams until the memory holds all.
func (s *Controller) grow(now time.Time, r *request, effects []Effect) []Effect {
	if !s.isModel() || r.leaving {
		return effects
	}
	if want := min(r.full(), r.held()+headroom); r.reserved < want {
		rest := max(s.lengths.predict(r.tokens), headroom+growBlock)
		ideal := min(r.full(), r.held()+rest)
		// Without room for the ideal the least is taken, and the streams
		// that make it too much are preempted.
		if room := s.limits.MemoryTokens - min(s.used(), s.limits.MemoryTokens); ideal > r.reserved+room {
			ideal = max(want, min(ideal, r.reserved+room))
		}
		s.setReserved(r, ideal)
	}
	return s.relieve(effects)
}

// relieve preempts streams while more is reserved than the memory holds. The
// places of streams that are being preempted count as free: they hold at most
// headroom more until the cancellation is confirmed.
func (s *Controller) relieve(effects []Effect) []Effect {
	if s.used() <= s.limits.MemoryTokens {
		return effects
	}
	over := int64(s.used()) - int64(s.limits.MemoryTokens) - int64(s.leavingTokens())
	for over > 0 {
		v := s.victim()
		if v == nil {
			return effects
		}
		v.leaving = true
		over -= int64(v.reserved)
		effects = append(effects, Preempt{ID: v.ID})
	}
	return effects
}

func (s *Controller) leavingTokens() uint64 {
	var sum uint64
	for _, r := range s.running {
		if r.leaving {
			sum += r.reserved
		}
	}
	return sum
}

// shrink preempts streams down to the concurrency limit, after the backend
// server turned out to be cold.
func (s *Controller) shrink(now time.Time, effects []Effect) []Effect {
	staying := int(s.foreignRunning())
	for _, r := range s.running {
		if !r.leaving {
			staying++
		}
	}
	for ; staying > int(s.limit(now)); staying-- {
		v := s.victim()
		if v == nil {
			return effects
		}
		v.leaving = true
		effects = append(effects, Preempt{ID: v.ID})
	}
	return effects
}

// victim chooses the stream to preempt: the lowest priority first, then the
// one that costs least to compute again, then the newest.
func (s *Controller) victim() *request {
	var best *request
	for _, r := range s.running {
		if r.Preemptible && !r.leaving && (best == nil || preemptOrder(r, best) < 0) {
			best = r
		}
	}
	return best
}

func preemptOrder(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.held(), b.held()),
		b.admitted.Compare(a.admitted),
		cmp.Compare(b.ID, a.ID),
	)
}

// enqueue adds a waiting request behind those of the same or a higher
// priority.
func (s *Controller) enqueue(r *request) {
	i, _ := slices.BinarySearchFunc(s.waiting, r, func(w, r *request) int {
		if w.Priority >= r.Priority {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, i, r)
}

// fill admits waiting requests in order while there is room. A stream that
// was preempted for memory comes back only when a sixteenth of the memory
// stays free besides, so that it is not preempted again at once.
func (s *Controller) fill(now time.Time, effects []Effect) []Effect {
	for s.announced && len(s.waiting) > 0 {
		r := s.waiting[0]
		if s.isModel() && r.full() > s.limits.MemoryTokens {
			s.waiting = s.waiting[1:]
			effects = append(effects, Refuse{ID: r.ID, Reason: TooLarge})
			continue
		}
		if _, ok := s.room(now, r); !ok || !s.hasSpare(r) {
			return effects
		}
		s.waiting = s.waiting[1:]
		effects = append(effects, s.admit(now, r))
	}
	return effects
}

func (s *Controller) hasSpare(r *request) bool {
	if !s.isModel() || s.holding() == 0 {
		return true
	}
	return s.used()+s.initial(r)+s.limits.MemoryTokens/16 <= s.limits.MemoryTokens
}

func (s *Controller) withdraw(in CancelWait) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool { return r.ID == in.ID })
}

// release frees the place of a request that the backend server holds no
// longer.
func (s *Controller) release(now time.Time, in Release) {
	r := s.remove(in.ID)
	if r == nil || !in.Finished {
		return
	}
	s.lengths.add(r.tokens)
	s.limiter.finished(now, s.isModel())
	held := now.Sub(r.admitted)
	if s.holdTime == 0 {
		s.holdTime = held
	}
	s.holdTime += (held - s.holdTime) / 8
}

func (s *Controller) remove(id uint64) *request {
	r := s.running[id]
	if r != nil {
		delete(s.running, id)
		s.reserved -= r.reserved
	}
	return r
}
