/*
Package pool decides which backend server takes a request, which requests
wait, and which are refused. It holds one entry's state of the backend servers
that it sends to directly.

# Concept

The pool handles four load situations. Under normal load there are free slots,
and a request goes to the backend server with the shortest expected time to its
first answer. In a burst there are none: requests wait, ordered by priority, then
those that can still be served on time before the others, then by arrival. A
request that would wait for too long is refused at once, with the time after
which capacity is expected. When backend servers fail, they are avoided for a
while, then retried with one request at a time, and retries are limited to a
share of all requests. When the passes of an expert-parallel group are slow,
because the load of its experts is uneven or a rank is slow, the group gets
fewer requests at a time, so that its streams keep their event rate and new
ones wait instead.

Backend servers do not exchange state, and entries exchange only counts that
are some hundred milliseconds old. Limits that hold for all entries together
are split evenly.

The pool reads no clock and does no I/O: the time is an argument of each call.

# Use

	p := pool.New(cfg)
	p.Update(now, view)
	switch d := p.Submit(now, request).(type) {
	case pool.Assign:  // send to d.Server, then p.Done
	case pool.Wait:    // p.DecideQueued ends the wait, or p.CancelWait
	case pool.Refuse:  // answer with d.Kind
	}
*/
package pool

import (
	"math/rand/v2"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

//go:generate go tool stringer -type=Reason,Result,Return,State,SubjectKind -linecomment -output=pool_string.go

// Config holds the settings of a pool. Limits with a zero value are off.
type Config struct {
	// FailureDomain is the entry's own.
	FailureDomain string
	// RetryRatio is the number of retries allowed for each first attempt, and
	// RetrySlack the retries allowed in addition, for all entries together, in
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdSlack is the number of requests per second that a cold backend server
	// can take beyond its rate, for all entries together.
	ColdSlack float64
	// LeavingGrace is how long a backend server that has said in an answer that it is
	// leaving still gets the requests that no other one can take.
	LeavingGrace time.Duration
	Random       *rand.Rand
}

// Pool is the state of one entry. It is not safe for concurrent use. Use New.
type Pool struct {
	cfg          Config
	entries      int
	entryIndex   int // position of this entry among the entries
	places       placeHistory
	returnedAt   map[string]time.Time // by failure domain, when its drain ended
	drained      map[string]bool
	servers      map[string]*server
	services     map[string]*service
	groups       map[string]*group
	paths        map[string]*path // by failure domain
	lastSequence uint64
	// peerLoadsKnown is false while there is no recent report of the requests that
	// other entries have in flight.
	peerLoadsKnown bool
	quotasSetAt    time.Time
	peerReport     follower.PeerReport
	choice         choice
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, entries: 1, drained: map[string]bool{}, returnedAt: map[string]time.Time{},
		servers: map[string]*server{}, services: map[string]*service{}, groups: map[string]*group{}, paths: map[string]*path{},
	}
}

// Update applies a new view of the backend servers.
func (p *Pool) Update(now time.Time, v *follower.View) {
	p.entries, p.entryIndex = v.Entries, v.EntryIndex
	p.places.record(now, place{v.EntryIndex, v.Entries})
	for domain := range p.drained {
		if !v.Drained[domain] {
			p.returnedAt[domain] = now
		}
	}
	p.drained = v.Drained
	for _, s := range p.services {
		s.servers = s.servers[:0]
	}
	listed := make(map[string]bool, len(v.Servers))
	for _, info := range v.Servers {
		listed[info.ID] = true
		s := p.servers[info.ID]
		if s == nil || s.info.StartedMS != info.StartedMS {
			s = &server{}
			p.servers[info.ID] = s
		}
		if info.Sequence > s.info.Sequence {
			s.misdirected = false
		}
		if info.Epoch != s.info.Epoch {
			// Failures of the previous epoch do not apply to the new one.
			s.misses, s.avoidUntil, s.failureShare = 0, time.Time{}, 0
		}
		s.info = info
		svc := p.service(info.Service)
		svc.servers = append(svc.servers, s)
	}
	for id, s := range p.servers {
		if !listed[id] && s.inFlight == 0 {
			delete(p.servers, id)
		}
	}
	for name, s := range p.services {
		s.setSpec(v.Index.Service(name))
	}
	p.updateGroups(now)
}

// SetPeerLoads sets the requests that other entries have in flight by backend
// server, or nil if that is not known.
func (p *Pool) SetPeerLoads(now time.Time, loads map[string]uint32) {
	p.peerLoadsKnown = loads != nil
	for id, s := range p.servers {
		if now.Sub(s.loadReportedAt) >= serverLoadMaxAge {
			s.peerLoad = int(loads[id])
		}
	}
	p.setQuotas(now)
	p.updateExpectedPasses()
}

// SetServerLoad sets the number of requests that a backend server reports. It
// is newer than the peer loads, and complete: some backend servers go on with
// requests that entries have given up, and do not count any more. One with more
// requests than slots gets no new ones until these should have started.
func (p *Pool) SetServerLoad(now time.Time, id string, requests int) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.peerLoad, s.loadReportedAt = max(0, requests-s.inFlight), now
	svc := p.service(s.info.Service)
	slots := s.slots(svc)
	s.fullUntil = time.Time{}
	if excess := requests - slots; excess > 0 {
		s.fullUntil = now.Add(min(maxFullTime, time.Duration(excess)*svc.expectedHold()/time.Duration(slots)))
	}
}

// InFlight returns this entry's requests by backend server.
func (p *Pool) InFlight() map[string]int {
	loads := make(map[string]int, len(p.servers))
	for id, s := range p.servers {
		if s.inFlight > 0 {
			loads[id] = s.inFlight
		}
	}
	return loads
}

// Done records the end of a request at the incarnation of a backend server that
// started at startedMS. timeToFirst is the time to its first answer, or 0 if there
// was none.
func (p *Pool) Done(now time.Time, serviceName, id string, startedMS uint64, result Result, timeToFirst, held time.Duration) {
	s := p.servers[id]
	if s == nil || s.info.StartedMS != startedMS {
		// The requests in flight of a new incarnation are counted from 0.
		return
	}
	s.inFlight--
	g := p.groups[s.info.Group]
	if g != nil && g.recordEnd(now, result, held, timeToFirst > 0) {
		// The whole group gave no answer, so the rank is not penalized.
		result = Abandoned
	}
	s.observe(now, result, timeToFirst)
	p.observeOutcome(now, p.service(serviceName), s, result, timeToFirst, held)
	p.service(serviceName).observe(result, held)
}

// RecordEvent records an event of a stream from a backend server. gap is the
// time since the stream's previous event. For its first event, gap is 0 and
// timeToFirst is the time since the request was sent.
func (p *Pool) RecordEvent(now time.Time, id string, timeToFirst, gap time.Duration) {
	s := p.servers[id]
	if s == nil {
		return
	}
	if gap == 0 {
		svc := p.service(s.info.Service)
		svc.meanTimeToFirst = updateMean(svc.meanTimeToFirst, timeToFirst)
	}
	g := p.groups[s.info.Group]
	if g == nil {
		return
	}
	if gap > 0 && g.expectedPass > 0 {
		domainPath := p.paths[s.info.FailureDomain]
		if domainPath == nil {
			domainPath = &path{}
			p.paths[s.info.FailureDomain] = domainPath
		}
		domainPath.recordEvent(now, float64(gap)/(g.currentSlowness(now)*float64(g.expectedPass)))
	}
	g.recordEvent(now, gap)
}

// MeanTimeToFirstAnswer returns the current mean time from sending a request
// for a service to its first answer.
func (p *Pool) MeanTimeToFirstAnswer(serviceName string) time.Duration {
	return p.service(serviceName).meanTimeToFirst
}

// MarkMisdirected records that another incarnation answers at the address of a
// backend server, which gets no requests until it announces itself again.
func (p *Pool) MarkMisdirected(id string) {
	if s := p.servers[id]; s != nil {
		s.misdirected = true
	}
}

// SetColdRemaining sets the remaining cold period that a response reported.
func (p *Pool) SetColdRemaining(now time.Time, id string, remaining time.Duration) {
	if s := p.servers[id]; s != nil && remaining > 0 {
		s.reportedColdUntil = now.Add(remaining)
	}
}

// Counts returns the numbers of requests that wait and that are in flight.
func (p *Pool) Counts() (waiting, inFlight int) {
	for _, s := range p.services {
		waiting += len(s.queue)
	}
	for _, s := range p.servers {
		inFlight += s.inFlight
	}
	return waiting, inFlight
}

func (p *Pool) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{spec: catalog.Service{Name: name}}
		p.services[name] = s
	}
	return s
}
