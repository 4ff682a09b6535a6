package pool

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
)

const (
	// prefixLifetime is the time constant with which knowledge about a cached
	// prefix loses its weight. Requests of other entries that evict it are only
	// estimated, and the error grows with time.
	prefixLifetime = 30 * time.Second
	// usualCostWeight is the weight of a candidate in the usual cost, an average
	// over about as many candidates as one choice has.
	usualCostWeight = 0.02
)

// prefixes is what is known about the caches of the backend servers of one
// service. It is created with the first evidence that they retain prompts after
// their requests; without it, no choice is affected.
type prefixes struct {
	table      *prefix.Table
	experience prefix.Experience
	// usualCost is the mean cost of candidates without a known prefix, in seconds.
	usualCost float64
	// reported says that a backend server has reported cached tokens.
	reported bool
}

// PrefixUse says how a cached prefix affected an assignment.
type PrefixUse struct {
	Outcome prefix.Outcome
	// ExpectedTokens is the number of prompt tokens that need not be read.
	ExpectedTokens float64

	known float64 // ExpectedTokens without the correction by experience
}

// retainsPrefixes reports whether the backend servers of the service are known to
// keep prompts after their requests.
func (s *service) retainsPrefixes() bool {
	e := s.spec.Engine
	return e != nil && e.PrefillTokensPerSecond > 0 && (e.PromptCacheTokens > 0 || s.prefixes.reported)
}

// promptCacheTokens is the number of tokens of ended requests that a backend server
// keeps: what the catalog says, but not more than its memory without the requests
// that are running.
func (s *service) promptCacheTokens(running int) (room, memory float64) {
	e := s.spec.Engine
	room = float64(e.PromptCacheTokens)
	if e.MemoryTokens <= 0 {
		return room, 0
	}
	if room == 0 {
		room = float64(e.MemoryTokens)
	}
	memory = min(1, float64(running)/float64(max(1, e.Slots)))
	// All slots together may use the whole memory.
	return min(room, float64(e.MemoryTokens)*(1-memory)), memory
}

// preferCached lowers the cost of a candidate by the reading time that a cached
// prefix is expected to save, beyond the wait there against the usual candidate. A
// cold backend server gets no preference.
func (p *Pool) preferCached(now time.Time, svc *service, s *server, r *Request, slots int, c *candidate) {
	if r.Prompt.IsEmpty() || !svc.retainsPrefixes() || svc.prefixes.table == nil || c.cold {
		return
	}
	running := s.inFlight + s.peerLoad
	room, memory := svc.promptCacheTokens(running)
	known := svc.prefixes.table.Estimate(now, &r.Prompt, &s.cache, room, p.entries, prefixLifetime)
	cost := c.cost / float64(time.Second)
	if known.Tokens == 0 {
		if svc.prefixes.usualCost == 0 {
			svc.prefixes.usualCost = cost
		}
		svc.prefixes.usualCost += usualCostWeight * (cost - svc.prefixes.usualCost)
		return
	}
	usual := svc.prefixes.usualCost
	if usual == 0 {
		usual = cost
	}
	// Other entries know other holders; this one is among theirs by chance.
	peers := float64(p.entries-1) * min(1, prefix.MaxHolders/float64(max(1, len(svc.servers))))
	trust, speed := svc.prefixes.experience.Trust(memory), svc.spec.Engine.PrefillTokensPerSecond
	offers := [2]prefix.Offer{{Wait: usual, Tokens: known.Tokens, Held: known.Elsewhere * trust, TokensPerSecond: speed}, {
		Wait: max(cost, usual), Tokens: known.Tokens, Held: known.Held * trust, TokensPerSecond: speed,
		Followers: known.Followers, Peers: peers, FollowerWait: c.idle * loadCost / float64(slots) / float64(time.Second),
	}}
	best, outcome := prefix.Weigh(offers[:])
	other, o := &offers[0], &offers[1]
	c.prefix = PrefixUse{Outcome: outcome, ExpectedTokens: o.Tokens * o.Held, known: known.Tokens * known.Held}
	if best != 1 {
		if outcome == prefix.Followed {
			// Any other backend server is as likely to hold the prefix.
			c.prefix.Outcome = prefix.Partial
		}
		return
	}
	// The cost of the candidate has the wait already.
	saved := (o.Saving() - other.Saving() - o.Crowding()) * float64(time.Second)
	// No saving is larger than the time to the first answer that it shortens.
	saved = min(saved, c.cost-c.idle*minCachedCost, c.idle*(1-minCachedCost))
	c.idle -= saved
	c.cost -= saved
}

// minCachedCost is the least part of its cost that a backend server keeps: a
// request whose whole prompt is cached still waits for a pass.
const minCachedCost = 0.1

// recordPrefix records the prompt of an assigned request.
func (p *Pool) recordPrefix(now time.Time, svc *service, s *server, r *Request, a Assign) {
	if r.Prompt.IsEmpty() || !svc.retainsPrefixes() {
		return
	}
	if svc.prefixes.table == nil {
		svc.prefixes.table = prefix.NewTable()
	}
	svc.prefixes.table.Sent(now, &r.Prompt, &s.cache, a.Prefix.ExpectedTokens)
}

// RecordCachedTokens records how many prompt tokens a backend server reported as
// cached for a request assigned to it. A report above 0 shows that the backend
// servers of the service keep prompts; it returns whether that is the first one.
func (p *Pool) RecordCachedTokens(serviceName string, a Assign, tokens float64) (first bool) {
	svc := p.service(serviceName)
	s := p.servers[a.Server.ID]
	if s == nil || s.info.StartedMS != a.Server.StartedMS || !(tokens >= 0) {
		return false
	}
	first = tokens > 0 && !svc.prefixes.reported
	svc.prefixes.reported = svc.prefixes.reported || tokens > 0
	if !svc.retainsPrefixes() {
		return first
	}
	room, memory := svc.promptCacheTokens(a.Running)
	svc.prefixes.experience.Record(memory, a.Prefix.known, tokens)
	if tokens == 0 && a.Prefix.known > 0 {
		// Half, so that one late eviction is not taken for a lost cache.
		s.cache.Evict(room / float64(p.entries) / 2)
	}
	return first
}
