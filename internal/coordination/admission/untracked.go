package admission

import (
	"slices"
	"time"
)

// untrackedMargin is added to the tokens of each untracked request, which may
// continue to generate until the next announcement. 256 tokens are more than 5 s
// at 20 ms per token.
const untrackedMargin = 256

// untrackedLoad is load at the backend server that belongs to no running request.
type untrackedLoad struct {
	running uint32
	tokens  uint64
	// announcements counts the announcements since this load was added. The load
	// in an announcement may be older than this, so only those after
	// announcementLag clear it.
	announcements int
}

// announcementLag is the number of announcements by which the load in an
// announcement may lag behind.
const announcementLag = 2

func (c *Controller) untrackedRunning() uint32 {
	var sum uint32
	for _, u := range c.untracked {
		sum += u.running
	}
	return sum
}

func (c *Controller) untrackedTokens() uint64 {
	var sum uint64
	for _, u := range c.untracked {
		sum += u.tokens
	}
	return sum
}

// abandon turns a request into untracked load.
func (c *Controller) abandon(in Abandon) {
	r := c.remove(in.ID)
	if r == nil {
		return
	}
	u := untrackedLoad{running: 1}
	if c.isModel() {
		u.tokens = max(r.reserved, min(r.upperBound(), r.tokensHeld()+untrackedMargin))
	}
	c.untracked = append(c.untracked, u)
}

// announce applies an announcement. The running requests stay when it is of a
// new incarnation: those at the old one end when their connections break, and
// some may have reached the new one before its first announcement.
func (c *Controller) announce(now time.Time, in Announce) []Effect {
	if !c.acceptIncarnation(in.Incarnation) {
		return nil
	}
	restarted := in.Incarnation != c.incarnation
	c.limits = in.Limits
	c.announced = true
	if restarted {
		c.retireIncarnation()
		c.incarnation = in.Incarnation
		c.excess, c.announcedExcess = 0, 0
		c.prefixes.clear()
		c.addAnnouncedLoad(in)
	} else {
		c.clearUntracked(in)
	}
	cold := c.limiter.announce(now, in, restarted)
	for _, r := range c.running {
		r.announcements++
	}
	var effects []Effect
	if c.isModel() {
		c.updateExcess(in)
		effects = c.preemptForMemory(effects)
	}
	if cold {
		effects = c.preemptForConcurrency(now, effects)
	}
	return c.admitWaiting(now, effects)
}

// Incarnation returns the current incarnation of the backend server, or 0 before
// the first announcement.
func (c *Controller) Incarnation() uint64 { return c.incarnation }

// acceptIncarnation reports whether to apply an announcement of an incarnation.
// A delayed announcement of an earlier incarnation must be ignored, but
// incarnations have no order. So an incarnation other than the current one is
// accepted with its second announcement if there was none of the current one in
// between, and nothing is admitted meanwhile. A replaced incarnation is never
// accepted again.
func (c *Controller) acceptIncarnation(incarnation uint64) bool {
	switch {
	case slices.Contains(c.earlierIncarnations, incarnation):
		return false
	case c.incarnation == 0 || incarnation == c.incarnation || incarnation == c.candidateIncarnation:
		c.candidateIncarnation = 0
		return true
	}
	c.candidateIncarnation, c.announced = incarnation, false
	return false
}

// maxEarlierIncarnations is the number of earlier incarnations that are kept.
const maxEarlierIncarnations = 16

func (c *Controller) retireIncarnation() {
	if c.incarnation == 0 {
		return
	}
	c.earlierIncarnations = append(c.earlierIncarnations, c.incarnation)
	if len(c.earlierIncarnations) > maxEarlierIncarnations {
		c.earlierIncarnations = c.earlierIncarnations[1:]
	}
}

// addAnnouncedLoad counts the load in the first announcement of an incarnation as
// untracked: the backend server may hold requests of an agent that was killed.
func (c *Controller) addAnnouncedLoad(in Announce) {
	if in.Running == 0 && in.TokensHeld == 0 {
		return
	}
	u := untrackedLoad{running: in.Running}
	if c.isModel() {
		u.tokens = in.TokensHeld + uint64(in.Running)*untrackedMargin
	}
	c.untracked = append(c.untracked, u)
}

// clearUntracked removes untracked load that has ended according to the
// announcement. The number of announced requests beyond those certainly held for
// this agent is the upper bound of untracked requests. The oldest load is
// removed first.
func (c *Controller) clearUntracked(in Announce) {
	maxUntracked := in.Running - min(in.Running, c.heldAtAnnouncement())
	kept := make([]untrackedLoad, 0, len(c.untracked))
	for _, u := range slices.Backward(c.untracked) {
		if u.announcements >= announcementLag && u.running > maxUntracked {
			u.tokens = remainingTokens(u, maxUntracked, in)
			u.running = maxUntracked
		}
		maxUntracked -= min(maxUntracked, u.running)
		u.announcements++
		if u.running > 0 || u.announcements <= announcementLag {
			kept = append(kept, u)
		}
	}
	slices.Reverse(kept)
	c.untracked = kept
}

// remainingTokens bounds the tokens of untracked load of which only some requests
// are left.
func remainingTokens(u untrackedLoad, left uint32, in Announce) uint64 {
	if left == 0 {
		return 0
	}
	return min(u.tokens, in.TokensHeld+uint64(left)*untrackedMargin)
}

// heldAtAnnouncement counts the requests that were certainly at the backend
// server when the load in the announcement was measured.
func (c *Controller) heldAtAnnouncement() uint32 {
	var n uint32
	for _, r := range c.running {
		if r.announcements >= announcementLag {
			n++
		}
	}
	return n
}

// updateExcess sets the tokens that the backend server holds beyond those
// reserved or untracked, which happens when its announced bytes per token are
// wrong. The smaller number of two consecutive announcements counts: a single one
// may have been made just before a request ended.
func (c *Controller) updateExcess(in Announce) {
	known := c.reserved + c.untrackedTokens()
	excess := in.TokensHeld - min(in.TokensHeld, known)
	c.excess, c.announcedExcess = min(excess, c.announcedExcess), excess
}

// prefixHits records when each prompt prefix was last found in the engine's
// cache.
type prefixHits struct {
	hits map[uint64]time.Time
}

const (
	maxPrefixes = 512
	// prefixWindow is the time after a hit in which a miss counts as a lost cache.
	prefixWindow = 5 * time.Second
)

func (p *prefixHits) clear() { clear(p.hits) }

// observe records the number of cached tokens of a prompt and reports whether the
// cache was lost: a prefix that was found within prefixWindow is missing.
func (p *prefixHits) observe(now time.Time, prefix, cached uint64) bool {
	if prefix == 0 {
		return false
	}
	hit, ok := p.hits[prefix]
	if cached == 0 {
		delete(p.hits, prefix)
		return ok && now.Sub(hit) <= prefixWindow
	}
	if len(p.hits) >= maxPrefixes {
		p.evict(now)
	}
	p.hits[prefix] = now
	return false
}

// evict removes the hits older than prefixWindow, or all if there is still no
// room.
func (p *prefixHits) evict(now time.Time) {
	for prefix, hit := range p.hits {
		if now.Sub(hit) > prefixWindow {
			delete(p.hits, prefix)
		}
	}
	if len(p.hits) >= maxPrefixes {
		clear(p.hits)
	}
}
