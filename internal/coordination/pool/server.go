package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Weights and times of the choice.
const (
	// latencyWeight is the weight of a new observation in a backend server's mean
	// latency, an average over about five requests, so that one that becomes slow
	// is noticed within a second.
	latencyWeight = 0.2
	// latencyDecay is the time constant with which an observed latency loses its
	// weight, so that a slow backend server is tried again.
	latencyDecay = 5 * time.Second
	// failureWeight is the weight of a new result in the share of failures.
	failureWeight = 0.2
	// failureCost multiplies the cost of a backend server all of whose requests
	// fail; a retry costs at least a whole second request.
	failureCost = 8.0
	// failureHalfLife is the time in which the share of failures halves.
	failureHalfLife = 3 * time.Second
	// crossDomainCost is the cost factor of a hop to another failure domain, about
	// the price of its bytes relative to the value of a request.
	crossDomainCost = 1.1
	// coldCost is the cost factor of a cold backend server, which makes it the
	// last choice among equals.
	coldCost = 2.0
	// similarCostFactor is the factor of the lowest idle cost up to which backend
	// servers are sampled: the uncertainty of their latency is about as large.
	similarCostFactor = 1.6
	// contendedShare is the share of the slots from which on an entry takes only
	// its quota of the free ones. Below it, there are free slots even if other
	// entries have taken some since the last exchange.
	contendedShare = 0.5
	// quotaShare is the part of its even share of the free slots that an entry may
	// take between two exchanges, because other entries have taken slots since
	// they reported. In TestHerd with a third more load than can be served, 9.1 %
	// of the requests find no free slot with 1, 3.0 % with 0.5.
	quotaShare = 0.5
	// exchangeInterval is the time between two reports of another entry.
	exchangeInterval = 400 * time.Millisecond
	sampledServers   = 3
	// loadCost is the additional cost of a full backend server over an idle one,
	// as a factor.
	loadCost = 2.0
	// nearFill is the share of its slots by which a backend server in the own failure
	// domain may be fuller than one in another before a request crosses: it may
	// wait longer there, but its bytes stay in the domain.
	nearFill = 0.25
	// ownWeight is the weight of this entry's own requests relative to the peer
	// load, which is known 0.4 to 0.8 s late: in TestHerd, backend servers exceed
	// their slots 4 % of the time with 1, 0.9 % with 5.
	ownWeight = 5
	// minAvoidTime and maxAvoidTime bound how long an unreachable backend server
	// is avoided. A restart takes seconds.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 3 * time.Second
	// assumedColdPeriod is how long a backend server of a failure domain that has
	// returned counts as cold unless a later announcement says otherwise.
	assumedColdPeriod = 5 * time.Second
	// coldWindow is the window in which the requests to a cold backend server are
	// counted, and coldMargin the part of its limit that is used.
	coldWindow = time.Second
	coldMargin = 0.8
	// serverLoadMaxAge is how long the load that a backend server reports takes
	// precedence over the peer loads, which are up to 0.8 s old.
	serverLoadMaxAge = 300 * time.Millisecond
	// maxFullTime bounds how long a backend server counts as full by its report, and
	// minFullTime is how long one counts as full that has rejected a request.
	maxFullTime = 2 * time.Second
	minFullTime = 250 * time.Millisecond
)

// server is one backend server.
type server struct {
	info              follower.Server
	inFlight          int
	peerLoad          int
	latency           time.Duration // mean time to the first answer
	latencyUpdatedAt  time.Time
	failureShare      float64 // share of failures at failuresUpdatedAt
	failuresUpdatedAt time.Time
	misses            int // consecutive requests without any answer
	avoidUntil        time.Time
	misdirected       bool
	reportedColdUntil time.Time
	coldSends         []time.Time
	loadReportedAt    time.Time
	// leavingSince is when an answer said that it is leaving, and closedUntil is until
	// when it wants no requests. lastSent is when it was last sent one.
	leavingSince, closedUntil, lastSent time.Time

	fullUntil time.Time // when the requests that wait there should have started
	// quota is the number of requests that this entry may have there until the
	// next exchange, so that entries do not all fill the same free slots.
	quota int
	cache prefix.Cache
}

// setQuota sets the quota to this entry's requests and a part of the free
// slots. A fraction is rounded at random.
func (s *server) setQuota(slots, entries int, random *rand.Rand) {
	free := max(0, slots-s.inFlight-s.peerLoad)
	s.quota = s.inFlight + int(quotaShare*float64(free)/float64(entries)+random.Float64())
}

// observe records how a request ended.
func (s *server) observe(now time.Time, result Result, timeToFirst time.Duration) {
	switch result {
	case Answered:
		s.misses = 0
		s.updateFailureShare(now, 0)
		if s.latency == 0 {
			s.latency = timeToFirst
		}
		s.latency += time.Duration(latencyWeight * float64(timeToFirst-s.latency))
		s.latencyUpdatedAt = now
	case Rejected:
		s.misses = 0
		if until := now.Add(minFullTime); s.fullUntil.Before(until) {
			s.fullUntil = until
		}
	case Failed:
		s.misses = 0
		s.updateFailureShare(now, 1)
	case Unreachable, NoAnswer:
		s.updateFailureShare(now, 1)
		s.misses++
		s.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(s.misses-1, 8)))
	case Abandoned:
	}
}

func (s *server) updateFailureShare(now time.Time, value float64) {
	share := s.currentFailureShare(now)
	s.failureShare = share + failureWeight*(value-share)
	s.failuresUpdatedAt = now
}

func (s *server) currentFailureShare(now time.Time) float64 {
	return s.failureShare * math.Exp2(-now.Sub(s.failuresUpdatedAt).Seconds()/failureHalfLife.Seconds())
}

// expectedLatency is the expected time to a first answer without other load. It
// decays to the service's mean as the observation ages.
func (s *server) expectedLatency(now time.Time, mean time.Duration) time.Duration {
	if s.latency == 0 {
		return mean
	}
	weight := math.Exp(-now.Sub(s.latencyUpdatedAt).Seconds() / latencyDecay.Seconds())
	return mean + time.Duration(weight*float64(s.latency-mean))
}

func (s *server) isCold(now time.Time, returned time.Time) bool {
	if now.Before(s.info.ColdUntil) || now.Before(s.reportedColdUntil) {
		return true
	}
	return now.Sub(returned) < assumedColdPeriod && s.info.Received.Before(returned)
}

// hasColdCapacity reports whether a cold backend server can take one more
// request of this entry now.
func (s *server) hasColdCapacity(now time.Time, limit int) bool {
	s.coldSends = slices.DeleteFunc(s.coldSends, func(t time.Time) bool { return now.Sub(t) > coldWindow })
	return len(s.coldSends) < limit
}

// coldLimit is this entry's part of the requests per second that a cold backend
// server can take. The parts of all entries add up to the limit: what does not
// divide evenly goes to entries that differ from one backend server to the next,
// so that none is without cold backend servers where there are more entries than
// requests.
func (p *Pool) coldLimit(perSecond float64, id string) int {
	limit := int(coldMargin * (perSecond + p.cfg.ColdSlack))
	turn := (uint64(p.entryIndex) + xxhash.Sum64String(id)) % uint64(p.entries)
	part := limit / p.entries
	if turn < uint64(limit%p.entries) {
		part++
	}
	return part
}

// choose returns Assign, Refuse, or Wait if there is no capacity now. It does
// not record the assignment.
func (p *Pool) choose(now time.Time, svc *service, r *Request) Decision {
	var candidates, lastResort []candidate
	usable, full := 0, false
	soonest, reason := time.Time{}, AllAvoided
	for _, s := range svc.servers {
		if s.info.Draining || s.misdirected || p.drained[s.info.FailureDomain] || slices.Contains(r.Tried, s.info.ID) {
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
		cold := svc.spec.ColdRequestsPerSecond > 0 && s.isCold(now, p.returnedAt[s.info.FailureDomain])
		slots, ok := p.checkCapacity(now, svc, s, r, cold)
		switch {
		case !ok || s.reopensSlowly(now):
			full = full || !leaving
		case leaving:
			lastResort = append(lastResort, p.candidate(now, svc, s, r, slots, cold))
		default:
			candidates = append(candidates, p.candidate(now, svc, s, r, slots, cold))
		}
	}
	switch {
	case len(candidates) > 0:
		return p.pick(candidates)
	case full:
		return Wait{}
	case len(lastResort) > 0:
		return p.pick(lastResort)
	case usable == 0:
		return Refuse{Kind: fault.Unavailable, Reason: NoServer, RetryAfter: minRetryAfter}
	}
	return Refuse{Kind: fault.Unavailable, Reason: reason, RetryAfter: max(minRetryAfter, soonest.Sub(now))}
}

// slots is the number of requests that a backend server processes at once.
func (s *server) slots(svc *service) int {
	switch {
	case s.info.Slots > 0:
		return s.info.Slots
	case svc.spec.Engine != nil && svc.spec.Engine.Slots > 0:
		return svc.spec.Engine.Slots
	}
	return 1
}

// checkCapacity reports whether a backend server can take one more request now,
// and how many it is to process at once.
func (p *Pool) checkCapacity(now time.Time, svc *service, s *server, r *Request, cold bool) (slots int, ok bool) {
	slots = s.slots(svc)
	if g := p.groups[s.info.Group]; g != nil {
		if g.isUnavailable(now, r.TargetGap) {
			return slots, false
		}
		slots = g.limit(now, svc.spec.Engine, slots, r.TargetGap)
	}
	running := s.inFlight + s.peerLoad
	switch {
	case now.Before(s.fullUntil):
		return slots, false
	case !p.peerLoadsKnown:
		// Other entries may take their even share too.
		slots = (slots + p.entries - 1) / p.entries
	case p.entries > 1 && float64(running) >= contendedShare*float64(slots) && s.inFlight >= s.quota:
		return slots, false
	}
	return slots, running < slots && (!cold || s.hasColdCapacity(now, p.coldLimit(svc.spec.ColdRequestsPerSecond, s.info.ID)))
}

// candidate is a backend server that can take a request.
type candidate struct {
	// idle is its cost without other requests.
	idle float64
	// fill is the share of its slots that are taken.
	fill   float64
	assign Assign
}

func (p *Pool) candidate(now time.Time, svc *service, s *server, r *Request, slots int, cold bool) candidate {
	idle := p.idleCost(now, svc, s, cold)
	load := float64(ownWeight*s.inFlight+s.peerLoad) / float64(slots)
	c := candidate{idle: idle, fill: float64(s.inFlight+s.peerLoad) / float64(slots), assign: Assign{
		Server: s.info, Running: s.inFlight + s.peerLoad, PeerLoad: s.peerLoad, Cold: cold,
		Cost: time.Duration(idle * (1 + loadCost*load)),
	}}
	p.preferCached(now, svc, s, r, slots, &c)
	return c
}

// pick samples a few of the candidates whose idle costs are similar and takes
// the cheapest one. Entries observe each other's requests late: if each chose
// the least loaded backend server, all would choose the same one.
func (p *Pool) pick(candidates []candidate) Assign {
	least := candidates[0].idle
	for _, c := range candidates {
		least = min(least, c.idle)
	}
	// Of hundreds of backend servers few are near, so that a sample of all would
	// mostly be far away.
	var near, far []candidate
	for _, c := range candidates {
		if c.idle > similarCostFactor*least {
			continue
		}
		if c.assign.Server.FailureDomain == p.cfg.FailureDomain {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	switch {
	case len(near) == 0:
		return p.cheapestSampled(far).assign
	case len(far) == 0:
		return p.cheapestSampled(near).assign
	}
	nearest, other := p.cheapestSampled(near), p.cheapestSampled(far)
	if nearest.idle*(1+loadCost*nearest.fill) > other.idle*(1+loadCost*(other.fill+nearFill)) {
		return other.assign
	}
	return nearest.assign
}

// cheapestSampled returns the cheapest of a few candidates.
func (p *Pool) cheapestSampled(candidates []candidate) candidate {
	chosen := candidates[p.cfg.Random.IntN(len(candidates))]
	for range sampledServers - 1 {
		if other := candidates[p.cfg.Random.IntN(len(candidates))]; other.assign.Cost < chosen.assign.Cost {
			chosen = other
		}
	}
	return chosen
}

// idleCost is the expected time to the first answer without other load,
// multiplied by the cost factors of failures, of the path and of a cold backend
// server.
func (p *Pool) idleCost(now time.Time, svc *service, s *server, cold bool) float64 {
	mean := max(svc.meanTimeToFirst, time.Millisecond)
	cost := float64(s.expectedLatency(now, mean))
	if g := p.groups[s.info.Group]; g != nil {
		// The ranks of a group run each pass together, so that they are equally fast.
		cost = float64(mean) * g.currentSlowness(now)
	}
	cost *= 1 + failureCost*s.currentFailureShare(now)
	if s.info.FailureDomain != p.cfg.FailureDomain {
		cost *= crossDomainCost * p.pathCost(now, s.info.FailureDomain)
	}
	if cold {
		cost *= coldCost
	}
	return cost
}
