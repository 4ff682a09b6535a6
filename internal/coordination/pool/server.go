package pool

import (
	"math"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
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
	// quotaShare is the part of its share of the free slots that an entry may
	// take between two exchanges, because other entries have taken slots since
	// they reported. In TestHerd with a third more load than can be served, 9.1 %
	// of the requests find no free slot with 1, 3.0 % with 0.5. With quotas by demand
	// and 1.1 times the load that 19 entries can serve, 27 % do with 0.9, 12 % with
	// 0.5 (TestMeasureShares).
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
	// next exchange, so that entries do not all fill the same free slots. pastInFlight
	// holds earlier values of inFlight, the oldest one last.
	trust        trust
	groupLimit   int // number of requests at which the streams of its group stay on time; 0 if there is none
	quota        int
	pastInFlight [reportAgeSteps]int
	cache        prefix.Cache
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
	if s.failureShare == 0 {
		return 0
	}
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
