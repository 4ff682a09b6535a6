package pool

import (
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// choice is what one choice of a backend server needs. It is kept between choices, which
// are made for every request, so that they allocate nothing.
type choice struct {
	candidates, suspects, lastResort []candidate
	near, far                        preferred
	groups                           []groupChoice
	domains                          []domainChoice
}

// candidate is a backend server that can take a request.
type candidate struct {
	server *server
	// idle is its cost without other requests, and cost the one with the requests there.
	idle, cost float64
	// fill is the share of its slots that are taken.
	fill float64
	cold bool
	// hasQuota reports whether the request is within this entry's quota.
	hasQuota bool
	prefix   PrefixUse
}

// groupChoice and domainChoice hold what is the same for all backend servers of a group
// and of a failure domain.
type groupChoice struct {
	name        string
	group       *group // nil if there is none
	slowness    float64
	unavailable bool
}

type domainChoice struct {
	name       string
	isDrained  bool
	returnedAt time.Time
	cost       float64
}

func (c *choice) reset() {
	c.candidates, c.suspects, c.lastResort = c.candidates[:0], c.suspects[:0], c.lastResort[:0]
	c.groups, c.domains = c.groups[:0], c.domains[:0]
}

func (p *Pool) groupChoice(now time.Time, name string, targetGap time.Duration) *groupChoice {
	c := &p.choice
	for i := range c.groups {
		if c.groups[i].name == name {
			return &c.groups[i]
		}
	}
	g := groupChoice{name: name, group: p.groups[name]}
	if g.group != nil {
		g.slowness, g.unavailable = g.group.currentSlowness(now), g.group.isUnavailable(now, targetGap)
	}
	c.groups = append(c.groups, g)
	return &c.groups[len(c.groups)-1]
}

func (p *Pool) domainChoice(now time.Time, name string) *domainChoice {
	c := &p.choice
	for i := range c.domains {
		if c.domains[i].name == name {
			return &c.domains[i]
		}
	}
	d := domainChoice{name: name, isDrained: p.drained[name], returnedAt: p.returnedAt[name], cost: 1}
	if name != p.cfg.FailureDomain {
		d.cost = crossDomainCost * p.pathCost(now, name)
	}
	c.domains = append(c.domains, d)
	return &c.domains[len(c.domains)-1]
}

// choose returns Assign, Refuse, or Wait if there is no capacity now. It does
// not record the assignment.
func (p *Pool) choose(now time.Time, svc *service, r *Request) Decision {
	c := &p.choice
	c.reset()
	usable, full := 0, false
	soonest, reason := time.Time{}, AllAvoided
	knowsDemand := p.knowsDemand()
	for _, s := range svc.servers {
		if s.info.Draining || s.misdirected || slices.Contains(r.Tried, s.info.ID) {
			continue
		}
		domain := p.domainChoice(now, s.info.FailureDomain)
		if domain.isDrained {
			continue
		}
		leaving, mayStillServe := s.isLeaving(now, p.cfg.LeavingGrace)
		if !mayStillServe {
			continue
		}
		usable++
		if now.Before(s.closedUntil) {
			// A request waits for it if that is still in time.
			full = full || (!leaving && s.closedUntil.Before(r.LatestStart))
			if soonest.IsZero() || s.closedUntil.Before(soonest) {
				soonest, reason = s.closedUntil, AllClosed
			}
			continue
		}
		if now.Before(s.avoidUntil) || (s.misses > 0 && s.inFlight > 0) {
			if soonest.IsZero() || s.avoidUntil.Before(soonest) {
				soonest, reason = s.avoidUntil, AllAvoided
			}
			continue
		}
		group := p.groupChoice(now, s.info.Group, r.TargetGap)
		cold := svc.spec.ColdRequestsPerSecond > 0 && s.isCold(now, domain.returnedAt)
		slots, ok := p.checkCapacity(now, svc, s, r, group, cold)
		if !ok || s.reopensSlowly(now) {
			full = full || !leaving
			continue
		}
		idle := idleCost(now, svc, s, group, domain, cold)
		load := float64(ownWeight*s.inFlight+s.peerLoad) / float64(slots)
		this := candidate{
			server: s, idle: idle, cost: idle * (1 + loadCost*load), fill: float64(s.inFlight+s.peerLoad) / float64(slots),
			cold: cold, hasQuota: !knowsDemand || !svc.outlastsExchange() || !p.isBeyondQuota(s),
		}
		p.preferCached(now, svc, s, r, slots, &this)
		switch {
		case leaving:
			c.lastResort = append(c.lastResort, this)
		case !svc.ignoreTrust && s.trust.isSuspect(now, s.inFlight):
			c.suspects = append(c.suspects, this)
		default:
			c.candidates = append(c.candidates, this)
		}
	}
	switch {
	case len(c.candidates) > 0:
		return p.pick(c.candidates).assign()
	case len(c.suspects) > 0:
		return p.pick(c.suspects).assign()
	case full:
		return Wait{}
	case len(c.lastResort) > 0:
		return p.pick(c.lastResort).assign()
	case usable == 0:
		return Refuse{Kind: fault.Unavailable, Reason: NoServer, RetryAfter: minRetryAfter}
	}
	return Refuse{Kind: fault.Unavailable, Reason: reason, RetryAfter: max(minRetryAfter, soonest.Sub(now))}
}

// checkCapacity reports whether a backend server can take one more request now,
// and how many it is to process at once.
func (p *Pool) checkCapacity(now time.Time, svc *service, s *server, r *Request, group *groupChoice, cold bool) (slots int, ok bool) {
	slots = s.slots(svc)
	if group.group != nil {
		if group.unavailable {
			return slots, false
		}
		slots = group.group.limit(now, svc.spec.Engine, slots, r.TargetGap)
		if r.TargetGap > 0 {
			s.groupLimit = slots
		}
	}
	running := s.inFlight + s.peerLoad
	switch {
	case now.Before(s.fullUntil):
		return slots, false
	case !p.peerLoadsKnown:
		// Other entries may take their even share too.
		slots = (slots + p.entries - 1) / p.entries
	case svc.outlastsExchange() && p.isBeyondQuota(s) && float64(running) >= contendedShare*float64(slots):
		return slots, false
	}
	return slots, running < slots && (!cold || s.hasColdCapacity(now, p.coldLimit(now, svc.spec.ColdRequestsPerSecond, s.info.ID)))
}

// isBeyondQuota reports whether one more request there may meet one of another entry
// at the last free slot.
func (p *Pool) isBeyondQuota(s *server) bool {
	return p.entries > 1 && p.peerLoadsKnown && s.inFlight >= s.quota
}

func (c candidate) assign() Assign {
	s := c.server
	return Assign{Server: s.info, Running: s.inFlight + s.peerLoad, PeerLoad: s.peerLoad, Cold: c.cold, Cost: time.Duration(c.cost), Prefix: c.prefix}
}

// pick samples a few of the candidates whose idle costs are similar and takes
// the cheapest one. Entries observe each other's requests late: if each chose
// the least loaded backend server, all would choose the same one.
func (p *Pool) pick(candidates []candidate) candidate {
	least := candidates[0].idle
	for i := range candidates {
		least = min(least, candidates[i].idle)
	}
	// Of hundreds of backend servers few are near, so that a sample of all would
	// mostly be far away.
	near, far := &p.choice.near, &p.choice.far
	near.reset()
	far.reset()
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.idle > similarCostFactor*least:
		case c.server.info.FailureDomain == p.cfg.FailureDomain:
			near.add(c)
		default:
			far.add(c)
		}
	}
	switch {
	case len(near.list) == 0:
		return p.cheapestSampled(far.list)
	case len(far.list) == 0:
		return p.cheapestSampled(near.list)
	}
	nearest, other := p.cheapestSampled(near.list), p.cheapestSampled(far.list)
	if nearest.idle*(1+loadCost*nearest.fill) > other.idle*(1+loadCost*(other.fill+nearFill)) {
		return other
	}
	return nearest
}

// preferred is a list of candidates within the entry's quota, or of others as long as
// there is none: other entries may take the same slots of these.
type preferred struct {
	list     []candidate
	hasQuota bool
}

func (l *preferred) reset() { l.list, l.hasQuota = l.list[:0], false }

func (l *preferred) add(c *candidate) {
	switch {
	case c.hasQuota && !l.hasQuota:
		l.list, l.hasQuota = append(l.list[:0], *c), true
	case c.hasQuota == l.hasQuota:
		l.list = append(l.list, *c)
	}
}

// cheapestSampled returns the cheapest of a few candidates.
func (p *Pool) cheapestSampled(candidates []candidate) candidate {
	chosen := &candidates[p.cfg.Random.IntN(len(candidates))]
	for range sampledServers - 1 {
		if other := &candidates[p.cfg.Random.IntN(len(candidates))]; time.Duration(other.cost) < time.Duration(chosen.cost) {
			chosen = other
		}
	}
	return *chosen
}

// idleCost is the expected time to the first answer without other load,
// multiplied by the cost factors of failures, of the path and of a cold backend
// server.
func idleCost(now time.Time, svc *service, s *server, group *groupChoice, domain *domainChoice, cold bool) float64 {
	mean := max(svc.meanTimeToFirst, time.Millisecond)
	var cost float64
	if group.group != nil {
		// The ranks of a group run each pass together, so that they are equally fast.
		cost = float64(mean) * group.slowness
	} else {
		cost = float64(s.expectedLatency(now, mean))
	}
	cost *= (1 + failureCost*s.currentFailureShare(now)) * domain.cost
	if cold {
		cost *= coldCost
	}
	return cost
}
