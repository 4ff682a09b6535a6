package admission

import (
	"slices"
	"time"
)

// foreignMargin is added to the tokens of each foreign request: it may go on
// generating until the next announcement. 256 tokens are more than 5 s at
// 20 ms a token.
const foreignMargin = 256

// foreign is load at the backend server that no running request stands for.
type foreign struct {
	running uint32
	tokens  uint64
	// seen is the number of announcements since it was noted. The load in an
	// announcement may be older than the load noted here, so only those after
	// lagAnnouncements clear it.
	seen int
}

// lagAnnouncements is how many announcements the load in them may lag behind.
const lagAnnouncements = 2

func (s *Controller) foreignRunning() uint32 {
	var sum uint32
	for _, f := range s.foreign {
		sum += f.running
	}
	return sum
}

func (s *Controller) foreignTokens() uint64 {
	var sum uint64
	for _, f := range s.foreign {
		sum += f.tokens
	}
	return sum
}

// abandon turns a request into foreign load.
func (s *Controller) abandon(in Abandon) {
	r := s.remove(in.ID)
	if r == nil {
		return
	}
	f := foreign{running: 1}
	if s.isModel() {
		f.tokens = max(r.reserved, min(r.full(), r.held()+foreignMargin))
	}
	s.foreign = append(s.foreign, f)
}

// announce takes over what the backend server says of itself. The requests
// known here stay when it is a new incarnation: those of the old one end when
// their connections break, and some may have reached the new one before it
// announced itself.
func (s *Controller) announce(now time.Time, in Announce) []Effect {
	if !s.follows(in.Incarnation) {
		return nil
	}
	fresh := in.Incarnation != s.incarnation
	s.limits = in.Limits
	s.announced = true
	if fresh {
		s.retire()
		s.incarnation = in.Incarnation
		s.excess, s.beyond = 0, 0
		s.prefixes.clear()
		s.noteUnknown(in)
	} else {
		s.clearForeign(in)
	}
	cold := s.limiter.announce(now, in, fresh)
	for _, r := range s.running {
		r.seen++
	}
	var effects []Effect
	if s.isModel() {
		s.noteExcess(in)
		effects = s.relieve(effects)
	}
	if cold {
		effects = s.shrink(now, effects)
	}
	return s.fill(now, effects)
}

// Incarnation returns the incarnation of the backend server that is followed,
// or 0 before the first announcement.
func (s *Controller) Incarnation() uint64 { return s.incarnation }

// follows says whether an announcement of an incarnation is taken over. One of
// an earlier incarnation that was late on its way says nothing any more, but
// incarnations have no order. So another one than the current must announce
// itself twice with none of the current between, and nothing is admitted
// meanwhile. One that was replaced never comes back.
func (s *Controller) follows(incarnation uint64) bool {
	switch {
	case slices.Contains(s.retired, incarnation):
		return false
	case s.incarnation == 0 || incarnation == s.incarnation || incarnation == s.candidate:
		s.candidate = 0
		return true
	}
	s.candidate, s.announced = incarnation, false
	return false
}

// maxRetired bounds the earlier incarnations remembered.
const maxRetired = 16

func (s *Controller) retire() {
	if s.incarnation == 0 {
		return
	}
	s.retired = append(s.retired, s.incarnation)
	if len(s.retired) > maxRetired {
		s.retired = s.retired[1:]
	}
}

// noteUnknown counts the load of the first announcement as foreign: the
// backend server may hold requests of an agent that was killed.
func (s *Controller) noteUnknown(in Announce) {
	if in.Running == 0 && in.TokensHeld == 0 {
		return
	}
	f := foreign{running: in.Running}
	if s.isModel() {
		f.tokens = in.TokensHeld + uint64(in.Running)*foreignMargin
	}
	s.foreign = append(s.foreign, f)
}

// clearForeign drops foreign load that the announcement shows to be gone. The
// number of requests beyond those surely held for this agent bounds what is
// foreign. The oldest goes first.
func (s *Controller) clearForeign(in Announce) {
	possible := in.Running - min(in.Running, s.surelyHeld())
	kept := make([]foreign, 0, len(s.foreign))
	for _, f := range slices.Backward(s.foreign) {
		if f.seen >= lagAnnouncements && f.running > possible {
			f.tokens = reduce(f, possible, in)
			f.running = possible
		}
		possible -= min(possible, f.running)
		f.seen++
		if f.running > 0 || f.seen <= lagAnnouncements {
			kept = append(kept, f)
		}
	}
	slices.Reverse(kept)
	s.foreign = kept
}

// reduce bounds the tokens of foreign load of which only some is left.
func reduce(f foreign, left uint32, in Announce) uint64 {
	if left == 0 {
		return 0
	}
	return min(f.tokens, in.TokensHeld+uint64(left)*foreignMargin)
}

// surelyHeld counts the requests that were at the backend server when the
// announcement's load was taken.
func (s *Controller) surelyHeld() uint32 {
	var n uint32
	for _, r := range s.running {
		if r.seen >= lagAnnouncements {
			n++
		}
	}
	return n
}

// noteExcess counts tokens that the backend server holds beyond all that is
// reserved here, which happens when its announced bytes per token are wrong.
// Only what two announcements in a row show counts: one alone may have been
// made just before a request ended.
func (s *Controller) noteExcess(in Announce) {
	known := s.reserved + s.foreignTokens()
	beyond := in.TokensHeld - min(in.TokensHeld, known)
	s.excess, s.beyond = min(beyond, s.beyond), beyond
}

// prefixes remembers which prompts were found in the engine's cache.
type prefixes struct {
	hits map[uint64]time.Time
}

const (
	maxPrefixes = 512
	// prefixTime is how long after a hit a miss counts as a lost cache.
	prefixTime = 5 * time.Second
)

func (p *prefixes) clear() { clear(p.hits) }

// observe takes note of a prompt's cache figure and says whether the cache
// was lost: a prefix that was found shortly before is not there any more.
func (p *prefixes) observe(now time.Time, prefix, cached uint64) bool {
	if prefix == 0 {
		return false
	}
	hit, ok := p.hits[prefix]
	if cached == 0 {
		delete(p.hits, prefix)
		return ok && now.Sub(hit) <= prefixTime
	}
	if len(p.hits) >= maxPrefixes {
		p.evict(now)
	}
	p.hits[prefix] = now
	return false
}

// evict drops hits that are too old to count, or all if none is.
func (p *prefixes) evict(now time.Time) {
	for prefix, hit := range p.hits {
		if now.Sub(hit) > prefixTime {
			delete(p.hits, prefix)
		}
	}
	if len(p.hits) >= maxPrefixes {
		clear(p.hits)
	}
}
