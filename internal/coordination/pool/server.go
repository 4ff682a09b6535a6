package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Weights and times of the choice.
const (
	// latencyWeight is the weight of a new observation in a backend server's
	// mean, an average over about five requests, so that one that turns slow
	// is noticed within a second.
	latencyWeight = 0.2
	// latencyFade is the time in which what is known of a backend server's
	// speed loses its weight, so that a slow one is tried again.
	latencyFade = 5 * time.Second
	// failureWeight is the weight of a new result in the share of failures.
	failureWeight = 0.2
	// failureCost multiplies the cost of a backend server all of whose requests
	// fail; a retry costs at least a whole second request.
	failureCost = 8.0
	// failureFade is the time in which the share of failures halves.
	failureFade = 3 * time.Second
	// foreignCost is what a hop to another failure domain costs, about the
	// price of its bytes against the worth of a request.
	foreignCost = 1.1
	// coldCost makes cold backend servers the last choice among equals.
	coldCost = 2.0
	// similar is the factor of the least cost up to which backend servers are
	// drawn from: what is known of their speed is uncertain by about as much.
	similar = 1.6
	// contendedShare is the share of the slots from which on an entry takes only
	// its part of those that are free. Below it, the places that others may have
	// taken since the last exchange are free anyway.
	contendedShare = 0.5
	// freePart is the number of even parts of the free places that an entry takes
	// in an exchange: others have taken places since the counts that it knows.
	// In TestHerd with a third more than can be served, 9.1 % of the requests find
	// no place with 1, 3.0 % with 0.5.
	freePart = 0.5
	// exchangeInterval is the time between two counts of another entry.
	exchangeInterval = 400 * time.Millisecond
	// draws is the number of backend servers that are drawn.
	draws = 3
	// loadCost is what a full backend server costs beyond an idle one, as a
	// factor.
	loadCost = 2.0
	// ownWeight is the weight of this entry's own requests against those of
	// others, which are known 0.4 to 0.8 s late: in TestHerd, 1 has backend
	// servers over their slots 4 % of the time, 5 has 0.9 %.
	ownWeight = 5
	// firstAvoid and maxAvoid bound how long a backend server that cannot be
	// reached is avoided. A restart takes seconds.
	firstAvoid = 250 * time.Millisecond
	maxAvoid   = 3 * time.Second
	// assumedCold is how long a backend server of a failure domain that has
	// returned counts as cold unless a later announcement says otherwise.
	assumedCold = 5 * time.Second
	// coldWindow is the span in which the requests to a cold backend server
	// are counted, and coldMargin the part of its limit that is used.
	coldWindow = time.Second
	coldMargin = 0.8
	// toldLoadAge is how long what a backend server says of its load goes before
	// what other entries say, which is up to 0.8 s old.
	toldLoadAge = 300 * time.Millisecond
)

// server is one backend server.
type server struct {
	info        follower.Server
	inFlight    int
	others      int
	latency     time.Duration // mean time to the first answer
	observed    time.Time
	failures    float64 // share of failures, fading
	failedAt    time.Time
	misses      int // consecutive requests without any answer
	avoidUntil  time.Time
	misdirected bool
	toldCold    time.Time
	coldSends   []time.Time
	toldLoad    time.Time // when it told others
	// allowed is the number of requests that this entry may have there until the
	// next exchange, so that entries do not all fill the same place.
	allowed int
}

// allow sets how many requests this entry may have there: those that it has and a
// part of the places that are free. A fraction is rounded at random.
func (s *server) allow(slots, entries int, random *rand.Rand) {
	free := max(0, slots-s.inFlight-s.others)
	s.allowed = s.inFlight + int(freePart*float64(free)/float64(entries)+random.Float64())
}

// observe notes how a request ended.
func (s *server) observe(now time.Time, result Result, first time.Duration) {
	switch result {
	case Answered:
		s.misses = 0
		s.noteFailure(now, 0)
		if s.latency == 0 {
			s.latency = first
		}
		s.latency += time.Duration(latencyWeight * float64(first-s.latency))
		s.observed = now
	case Rejected:
		s.misses = 0
	case Failed:
		s.misses = 0
		s.noteFailure(now, 1)
	case Unreachable, NoAnswer:
		s.noteFailure(now, 1)
		s.misses++
		s.avoidUntil = now.Add(min(maxAvoid, firstAvoid<<min(s.misses-1, 8)))
	case Abandoned:
	}
}

func (s *server) noteFailure(now time.Time, value float64) {
	share := s.failureShare(now)
	s.failures = share + failureWeight*(value-share)
	s.failedAt = now
}

func (s *server) failureShare(now time.Time) float64 {
	return s.failures * math.Exp2(-now.Sub(s.failedAt).Seconds()/failureFade.Seconds())
}

// speed is the expected time to a first answer without other load, drawn to
// the service's mean as the observation ages.
func (s *server) speed(now time.Time, mean time.Duration) time.Duration {
	if s.latency == 0 {
		return mean
	}
	weight := math.Exp(-now.Sub(s.observed).Seconds() / latencyFade.Seconds())
	return mean + time.Duration(weight*float64(s.latency-mean))
}

func (s *server) isCold(now time.Time, returned time.Time) bool {
	if now.Before(s.info.ColdUntil) || now.Before(s.toldCold) {
		return true
	}
	return now.Sub(returned) < assumedCold && s.info.Received.Before(returned)
}

// mayTakeCold says whether a cold backend server bears one more request of
// this entry now.
func (s *server) mayTakeCold(now time.Time, limit int) bool {
	s.coldSends = slices.DeleteFunc(s.coldSends, func(t time.Time) bool { return now.Sub(t) > coldWindow })
	return len(s.coldSends) < limit
}

// coldLimit is this entry's part of what a cold backend server bears in a
// second.
func (p *Pool) coldLimit(perSecond float64) int {
	return max(1, int(coldMargin*(perSecond+p.cfg.ColdSlack)/float64(p.entries)))
}

// choose returns Assign, Refuse, or Wait if there is no room now. It changes
// nothing.
func (p *Pool) choose(now time.Time, svc *service, r *Request) Decision {
	var candidates []candidate
	usable, full := 0, false
	soonest := time.Time{}
	for _, s := range svc.servers {
		if s.info.Draining || s.misdirected || p.drained[s.info.FailureDomain] || slices.Contains(r.Tried, s.info.ID) {
			continue
		}
		usable++
		if now.Before(s.avoidUntil) || (s.misses > 0 && s.inFlight > 0) {
			if soonest.IsZero() || s.avoidUntil.Before(soonest) {
				soonest = s.avoidUntil
			}
			continue
		}
		cold := svc.spec.ColdPerSecond > 0 && s.isCold(now, p.returned[s.info.FailureDomain])
		slots, ok := p.room(now, svc, s, r, cold)
		if !ok {
			full = true
			continue
		}
		candidates = append(candidates, p.candidate(now, svc, s, slots, cold))
	}
	switch {
	case len(candidates) > 0:
		return p.pick(candidates)
	case full:
		return Wait{}
	case usable == 0:
		return Refuse{Kind: fault.Unavailable, Reason: NoServer, RetryAfter: minRetryAfter}
	}
	return Refuse{Kind: fault.Unavailable, Reason: AllAvoided, RetryAfter: max(minRetryAfter, soonest.Sub(now))}
}

// slots is the number of requests that a backend server works on at once.
func (s *server) slots(svc *service) int {
	switch {
	case s.info.Slots > 0:
		return s.info.Slots
	case svc.spec.Engine != nil && svc.spec.Engine.Slots > 0:
		return svc.spec.Engine.Slots
	}
	return 1
}

// room says whether a backend server can take one more request now, and how many
// it is to work on at once.
func (p *Pool) room(now time.Time, svc *service, s *server, r *Request, cold bool) (slots int, ok bool) {
	slots = s.slots(svc)
	if g := p.groups[s.info.Group]; g != nil {
		if g.rests(now, r.TargetGap) {
			return slots, false
		}
		slots = g.limit(now, svc.spec.Engine, slots, r.TargetGap)
	}
	running := s.inFlight + s.others
	switch {
	case !p.othersKnown:
		// Others may take their even part too.
		slots = (slots + p.entries - 1) / p.entries
	case p.entries > 1 && float64(running) >= contendedShare*float64(slots) && s.inFlight >= s.allowed:
		return slots, false
	}
	return slots, running < slots && (!cold || s.mayTakeCold(now, p.coldLimit(svc.spec.ColdPerSecond)))
}

// candidate is a backend server that can take a request.
type candidate struct {
	// idle is the cost that it would have without other requests.
	idle   float64
	assign Assign
}

func (p *Pool) candidate(now time.Time, svc *service, s *server, slots int, cold bool) candidate {
	idle := p.idleCost(now, svc, s, cold)
	load := float64(ownWeight*s.inFlight+s.others) / float64(slots)
	return candidate{idle: idle, assign: Assign{
		Server: s.info, Running: s.inFlight + s.others, PeerLoad: s.others, Cold: cold,
		Cost: time.Duration(idle * (1 + loadCost*load)),
	}}
}

// pick takes the cheapest one of a few drawn from those that would be about as
// good without load. Entries learn of each other's requests late: were each to
// take the least loaded one, all would take the same.
func (p *Pool) pick(candidates []candidate) Assign {
	least := candidates[0].idle
	for _, c := range candidates {
		least = min(least, c.idle)
	}
	good := slices.DeleteFunc(candidates, func(c candidate) bool { return c.idle > similar*least })
	chosen := good[p.cfg.Random.IntN(len(good))].assign
	for range draws - 1 {
		if other := good[p.cfg.Random.IntN(len(good))].assign; other.Cost < chosen.Cost {
			chosen = other
		}
	}
	return chosen
}

// idleCost is the expected time to the first answer without other load, with
// what else speaks against a backend server as factors.
func (p *Pool) idleCost(now time.Time, svc *service, s *server, cold bool) float64 {
	mean := max(svc.first, time.Millisecond)
	cost := float64(s.speed(now, mean))
	if g := p.groups[s.info.Group]; g != nil {
		// The ranks of a group have the same pace.
		cost = float64(mean) * g.slow(now)
	}
	cost *= 1 + failureCost*s.failureShare(now)
	if s.info.FailureDomain != p.cfg.FailureDomain {
		cost *= foreignCost * p.pathCost(now, s.info.FailureDomain)
	}
	if cold {
		cost *= coldCost
	}
	return cost
}
