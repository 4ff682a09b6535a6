package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
)

const (
	// slowFactor is the ratio of a time to first answer to the median of the service
	// from which on an answer counts as bad. Slow backend servers take 5 to 12 times
	// as long; sound ones vary by less than half of that.
	slowFactor = 4
	// suspectTime is how long a backend server is suspected after a first bad outcome,
	// and the pause between two trials of one that is restored. It doubles with each
	// step, up to maxTrustLevel: 0.5 to 4 s. Spells of trouble last for seconds.
	suspectTime   = 500 * time.Millisecond
	maxTrustLevel = 4
	// peerSuspectTime and peerSuspectSpread bound how long a backend server is suspected
	// after bad outcomes of other entries. The times of the entries differ, so that
	// few of them try it and the rest learn from the outcome.
	peerSuspectTime   = time.Second
	peerSuspectSpread = 3 * time.Second
	// outcomeWindow is the window over which outcomes are reported to other entries.
	outcomeWindow = time.Second
	// minPeerBad and minPeerBadShare are the bad outcomes and their part of all from
	// which on reports of other entries count: a single one may be by chance.
	minPeerBad      = 2
	minPeerBadShare = 0.25
	// minPeerGood is the number of good outcomes of other entries, without a bad one,
	// that take back a step.
	minPeerGood = 2
)

// trust is how far a backend server is trusted, by the outcomes of requests of all
// entries. A bad outcome makes it suspect for a time that doubles with each further step.
// After that it is tried with one request at a time, and good outcomes take back one step
// after the other.
type trust struct {
	level        int // steps away from full trust
	suspectUntil time.Time
	steppedAt    time.Time // when the last step was taken
	good, bad    recentCount
}

// observe records the outcome of a request that was sent at sent. It reports whether a
// step was taken back.
func (t *trust) observe(now, sent time.Time, isBad bool, random *rand.Rand) (restored bool) {
	if !isBad {
		t.good.add(now)
		if t.level == 0 || now.Before(t.suspectUntil) {
			return false
		}
		t.stepBack(now, random)
		return true
	}
	t.bad.add(now)
	if sent.Before(t.steppedAt) {
		// It belongs to the event for which the last step was taken.
		return false
	}
	t.level, t.steppedAt = min(maxTrustLevel, t.level+1), now
	t.suspect(now, suspectTime<<(t.level-1), random)
	return false
}

// stepBack takes back one step. The next trial is after a pause unless it was the last.
func (t *trust) stepBack(now time.Time, random *rand.Rand) {
	t.level, t.steppedAt = t.level-1, now
	if t.level == 0 {
		t.suspectUntil = now
		return
	}
	t.suspect(now, suspectTime<<(t.level-1), random)
}

// suspect extends the suspicion by a length that is spread by a quarter, so that entries
// do not all return at the same moment.
func (t *trust) suspect(now time.Time, length time.Duration, random *rand.Rand) {
	until := now.Add(length*3/4 + time.Duration(random.Int64N(int64(length/2))))
	if until.After(t.suspectUntil) {
		t.suspectUntil = until
	}
}

// observePeers records the sum of the outcomes that other entries have reported of the
// last second. It reports whether a step was taken back.
func (t *trust) observePeers(now time.Time, o follower.Outcomes, random *rand.Rand) (restored bool) {
	isNew := now.Sub(t.steppedAt) >= outcomeWindow
	switch {
	case o.Bad >= minPeerBad && float64(o.Bad) >= minPeerBadShare*float64(o.Good+o.Bad), o.Bad > 0 && t.level > 0:
		if t.level == 0 || isNew {
			t.level, t.steppedAt = min(maxTrustLevel, t.level+1), now
		}
		if t.suspectUntil.Before(now.Add(peerSuspectTime)) {
			t.suspectUntil = now.Add(peerSuspectTime + time.Duration(random.Int64N(int64(peerSuspectSpread))))
		}
	case o.Bad == 0 && o.Good >= minPeerGood && t.level > 0 && isNew:
		t.stepBack(now, random)
		return true
	}
	return false
}

// outcomes returns the outcomes of the last second.
func (t *trust) outcomes(now time.Time) follower.Outcomes {
	return follower.Outcomes{Good: t.good.sum(now), Bad: t.bad.sum(now)}
}

// recentCount counts events of the last outcomeWindow.
type recentCount struct {
	counts [outcomeWindow / bucketLength]int
	newest int64 // bucket that was counted last
}

// advance forgets the events before the window that ends at now, and returns the place
// of the current bucket.
func (c *recentCount) advance(now time.Time) int {
	bucket, n := now.UnixNano()/int64(bucketLength), int64(len(c.counts))
	for ; c.newest < bucket; c.newest++ {
		if bucket-c.newest > n {
			c.newest = bucket - n
		}
		c.counts[(c.newest+1)%n] = 0
	}
	return int(bucket % n)
}

func (c *recentCount) add(now time.Time) { c.counts[c.advance(now)]++ }

func (c *recentCount) sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// isSuspect reports whether a backend server with a number of this entry's requests
// should get no further one as long as others can take it.
func (t *trust) isSuspect(now time.Time, inFlight int) bool {
	return t.level > 0 && (now.Before(t.suspectUntil) || inFlight > 0)
}

// updateReference sets the median time to the first answer at the backend servers of a
// service, and whether suspicions count: if more than half of the backend servers are
// suspect, the cause is not theirs, or the rest could not take the load.
func (s *service) updateReference() {
	latencies := make([]time.Duration, 0, len(s.servers))
	suspects := 0
	for _, srv := range s.servers {
		if srv.latency > 0 {
			latencies = append(latencies, srv.latency)
		}
		if srv.trust.level > 0 {
			suspects++
		}
	}
	s.medianLatency, s.ignoreTrust = 0, 2*suspects > len(s.servers)
	if len(latencies) > 1 {
		slices.Sort(latencies)
		s.medianLatency = latencies[(len(latencies)-1)/2]
	}
}

// isBad reports whether an outcome counts against a backend server.
func (s *service) isBad(srv *server, result Result, timeToFirst time.Duration) bool {
	switch result {
	case Failed, NoAnswer, Unreachable:
		return true
	case Answered:
		// The ranks of a group run each pass together, so that none is slow by itself.
		return srv.info.Group == "" && s.medianLatency > 0 && timeToFirst > slowFactor*s.medianLatency
	}
	return false
}

// observeOutcome records how a request ended that was held for some time.
func (p *Pool) observeOutcome(now time.Time, svc *service, srv *server, result Result, timeToFirst, held time.Duration) {
	if result == Abandoned || result == Rejected {
		return
	}
	if srv.trust.observe(now, now.Add(-held), svc.isBad(srv, result, timeToFirst), p.cfg.Random) {
		srv.restore(svc.medianLatency)
	}
}

// restore halves what this entry holds against a backend server that has been found
// sound: the memory of a few observations lasts longer than most troubles.
func (s *server) restore(medianLatency time.Duration) {
	s.failureShare /= 2
	if medianLatency > 0 && s.latency > medianLatency {
		s.latency = (s.latency + medianLatency) / 2
	}
}
