package pool

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
)

const (
	// demandWindow is the window over which the demand of a service is measured. It is
	// short enough that shares follow demand within half a second of an exchange, and an
	// entry with ten requests a second still counts some of them.
	demandWindow = time.Second
	// minDemand is the least demand per second that an entry is taken to have, so that
	// an idle one keeps a share that its first requests can use before the next exchange.
	minDemand = 0.5
	// quotaInterval is the time between two settings of the quotas by demand.
	quotaInterval = 100 * time.Millisecond
	// reportAgeSteps is the greatest age of the counts that other entries have of this
	// one, in steps of quotaInterval, and minReportAgeSteps the least one.
	reportAgeSteps    = 5
	minReportAgeSteps = 3
	// turnPeriod is how long an entry keeps the precedence at the free slots of a
	// backend server. Entries whose clocks differ by more than that take the same slots
	// for a while, as if each chose at random.
	turnPeriod = 4 * time.Second
)

// part is the interval from begin to end, without end, of a common limit of 1.
type part struct{ begin, end float64 }

// demandPart is the part of an entry whose demand is own. The parts of entries that
// know the same demand do not overlap.
func demandPart(own, before, all float64) part {
	return part{before / all, (before + own) / all}
}

// holds reports whether a point of the circle of length 1 is in the part.
func (p part) holds(x float64) bool {
	x -= math.Floor(x)
	return p.begin <= x && x < p.end
}

// count returns how many of the first n points of a sequence that begins at offset are
// in the part. The points of the sequence (by van der Corput) are spread evenly however
// many are taken, and adding one leaves the others in place. The counts of parts that do
// not overlap add up to n at most.
func (p part) count(n int, offset float64) int {
	count := 0
	for i := range n {
		if p.holds(offset + float64(bits.Reverse32(uint32(i)))/(1<<32)) {
			count++
		}
	}
	return count
}

// demand is the rate of first attempts of this entry with those that wait. Buckets
// that no limit needs any more are removed.
func (s *service) demand(now time.Time, retryWindow time.Duration) float64 {
	// Without retries nothing else removes old buckets.
	s.firstAttempts.sum(now, max(retryWindow, demandWindow))
	oldest := now.Add(-demandWindow).UnixNano() / int64(bucketLength)
	started := 0
	for bucket, n := range s.firstAttempts.buckets {
		if bucket > oldest {
			started += n
		}
	}
	return max(minDemand, float64(started+len(s.queue))/demandWindow.Seconds())
}

// Report returns this entry's demand, and the outcomes of its requests at backend
// servers that it does not trust fully.
func (p *Pool) Report(now time.Time) follower.Report {
	r := follower.Report{Demand: make(map[string]float64, len(p.services)), Outcomes: map[string]follower.Outcomes{}}
	for name, svc := range p.services {
		r.Demand[name] = svc.demand(now, p.cfg.RetryWindow)
		for _, s := range svc.servers {
			if o := s.trust.outcomes(now); o.Bad > 0 || (o.Good > 0 && s.trust.level > 0) {
				r.Outcomes[s.info.ID] = o
			}
		}
	}
	return r
}

// SetPeerReport sets the sum of the reports of the other entries.
func (p *Pool) SetPeerReport(now time.Time, r follower.PeerReport) {
	p.peerReport = r
	if len(r.Outcomes) == 0 {
		return
	}
	for _, svc := range p.services {
		for _, s := range svc.servers {
			if s.trust.observePeers(now, r.Outcomes[s.info.ID], p.cfg.Random) {
				s.restore(svc.medianLatency)
			}
		}
	}
}

// knowsDemand reports whether the demand of most entries is known. Otherwise the shares
// are even.
func (p *Pool) knowsDemand() bool {
	return p.peerLoadsKnown && p.peerReport.Reported > 0 && 2*p.peerReport.Reported >= p.entries-1
}

// slotPart is this entry's part of the free slots of a service.
func (p *Pool) slotPart(now time.Time, name string, svc *service) part {
	d := p.peerReport
	own, peers := svc.demand(now, p.cfg.RetryWindow), max(d.Demand[name], 0)
	// Entries that have not reported are taken to have the mean demand of the others,
	// after all positions.
	missing := max(0, float64(p.entries-1-d.Reported)) * (own + peers) / float64(d.Reported+1)
	return demandPart(own, min(max(d.DemandBefore[name], 0), peers), own+peers+missing)
}

// setQuotas assigns the slots that were free at the last exchange, each to one entry
// if the demand is known.
func (p *Pool) setQuotas(now time.Time) {
	interval := exchangeInterval
	if p.knowsDemand() {
		interval = quotaInterval
	}
	if now.Sub(p.quotasSetAt) < interval {
		return
	}
	p.quotasSetAt = now
	for name, svc := range p.services {
		svc.updateReference()
		if !p.knowsDemand() {
			for _, s := range svc.servers {
				s.setEvenQuota(s.slots(svc), p.entries, p.cfg.Random)
			}
			continue
		}
		slotPart := p.slotPart(now, name, svc)
		for _, s := range svc.servers {
			slots := s.slots(svc)
			if s.groupLimit > 0 {
				slots = min(slots, s.groupLimit)
			}
			s.setQuota(now, slots, slotPart)
		}
	}
}

// setEvenQuota sets the quota to this entry's requests and a part of the free slots. A
// fraction is rounded at random.
func (s *server) setEvenQuota(slots, entries int, random *rand.Rand) {
	free := max(0, slots-s.inFlight-s.peerLoad)
	s.quota = s.inFlight + int(quotaShare*float64(free)/float64(entries)+random.Float64())
}

// setQuota sets the quota to the requests that the other entries know of and a part of
// the slots that were free then. All entries compute with the same sum, so that each
// free slot belongs to one of them, whichever has started requests since. The ages at
// which the others know the number differ: the least one is used, as a slot that some
// of them see as free must not be taken again.
func (s *server) setQuota(now time.Time, slots int, p part) {
	known := slices.Min(s.pastInFlight[minReportAgeSteps-1:])
	copy(s.pastInFlight[1:], s.pastInFlight[:])
	s.pastInFlight[0] = s.inFlight
	running := known + s.peerLoad
	if now.Sub(s.loadReportedAt) < serverLoadMaxAge {
		// What the backend server reports includes the newest requests of this entry.
		running = s.inFlight + s.peerLoad
	}
	// The same numbers at all entries, from 0 to 1, that differ from one backend
	// server and period to the next.
	hash := xxhash.Sum64String(s.info.ID) + uint64(now.UnixNano()/int64(turnPeriod))*0x9e3779b97f4a7c15
	hash ^= hash >> 29
	offset, fraction := float64(hash>>32)/(1<<32), float64(uint32(hash))/(1<<32)
	s.quota = known + p.count(int(quotaShare*float64(max(0, slots-running))+fraction), offset)
}
