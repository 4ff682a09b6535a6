/*
Package pool decides which backend server takes a request, which requests
wait, and which are refused. It is what one entry knows of the backend servers
that it sends to directly.

# Concept

The pool answers four loads. In the ordinary one there is room, and a request
goes to the backend server that promises the shortest time to its first
answer. In a burst there is none: requests wait in order of priority, then
those that can still be served on time, then the others, each by arrival. What
would wait for too long is refused at once, with the time after which there
should be room. When backend servers fail, they are avoided for a while, one
request at a time tries them again, and repeats are held to a share of all
requests. When the passes of an expert-parallel group are slow, because its
experts are uneven or a rank is slow, the group gets fewer requests at a time,
so that the streams that it carries keep their pace and new ones wait instead.

Backend servers do not know of each other and entries know of one another only
by counts that are some hundred milliseconds old. Limits that hold for all
entries together are split evenly.

The pool reads no clock and does no I/O: the time is an argument of each call.

# Use

	p := pool.New(cfg)
	p.Update(now, view)
	switch d := p.Ask(now, request).(type) {
	case pool.Assign:  // send to d.Server, then p.Done
	case pool.Wait:    // p.Next tells when, p.Leave ends the wait
	case pool.Refuse:  // answer with d.Kind
	}
*/
package pool

import (
	"math/rand/v2"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

//go:generate go tool stringer -type=Reason,Result,State,SubjectKind -linecomment -output=pool_string.go

// Config holds what a pool is told at its start. Zero values of limits switch
// them off.
type Config struct {
	// FailureDomain is the entry's own.
	FailureDomain string
	// RetryRatio is the number of repeats allowed for each first request, and
	// RetrySlack the repeats allowed besides, for all entries together, in
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdSlack is the number of requests a second that a cold backend server
	// bears beyond its rate, for all entries together.
	ColdSlack float64
	Random    *rand.Rand
}

// Pool is the state of one entry. It is not safe for use by several
// goroutines. Use New.
type Pool struct {
	cfg      Config
	entries  int
	returned map[string]time.Time // failure domains and when they came back
	drained  map[string]bool
	servers  map[string]*server
	services map[string]*service
	groups   map[string]*group
	paths    map[string]*path // by failure domain
	next     uint64
	// othersKnown says that other entries have told what they have in flight.
	othersKnown bool
	allowedAt   time.Time // when allowances were set
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, entries: 1, drained: map[string]bool{}, returned: map[string]time.Time{},
		servers: map[string]*server{}, services: map[string]*service{}, groups: map[string]*group{}, paths: map[string]*path{},
	}
}

// Update takes a new view of the backend servers.
func (p *Pool) Update(now time.Time, v *follower.View) {
	p.entries = v.Entries
	for domain := range p.drained {
		if !v.Drained[domain] {
			p.returned[domain] = now
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
			// What failed with the last epoch says nothing of this one.
			s.misses, s.avoidUntil, s.failures = 0, time.Time{}, 0
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

// SetPeerLoads takes the requests that other entries have in flight, or nil if that
// is not known.
func (p *Pool) SetPeerLoads(now time.Time, loads map[string]uint32) {
	p.othersKnown = loads != nil
	for id, s := range p.servers {
		if now.Sub(s.toldLoad) >= toldLoadAge {
			s.others = int(loads[id])
		}
	}
	if now.Sub(p.allowedAt) >= exchangeInterval {
		p.allowedAt = now
		for _, svc := range p.services {
			for _, s := range svc.servers {
				s.allow(s.slots(svc), p.entries, p.cfg.Random)
			}
		}
	}
	p.modelPasses()
}

// SetServerLoad takes the number of requests that a backend server says it holds,
// which is newer than what entries know of each other.
func (p *Pool) SetServerLoad(now time.Time, id string, requests int) {
	if s := p.servers[id]; s != nil {
		s.others, s.toldLoad = max(0, requests-s.inFlight), now
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

// Submit decides on a request that has just come, or comes again after an attempt
// has ended.
func (p *Pool) Submit(now time.Time, r *Request) Decision {
	svc := p.service(r.Service)
	if r.IsRetry && !svc.mayRepeat(now, p.cfg, p.entries) {
		return svc.refuse(now, r, fault.RetryBudgetSpent, RetryBudget, 0, p.entries)
	}
	r.note(now)
	if !r.late {
		svc.asked.add(now)
	}
	ahead := svc.ahead(r)
	if ahead == 0 {
		switch c := p.choose(now, svc, r).(type) {
		case Assign:
			p.assign(now, svc, r, c)
			return c
		case Refuse:
			return c
		}
	}
	expected := svc.expectedWait(now, r, ahead, p.entries)
	if !now.Add(expected).Before(r.LatestStart) {
		return svc.refuse(now, r, fault.Overloaded, QueueTooLong, expected, p.entries)
	}
	p.next++
	r.sequence = p.next
	svc.enqueue(r)
	return Wait{Ahead: ahead, ExpectedWait: expected}
}

// CancelWait ends the wait of a request whose caller is gone.
func (p *Pool) CancelWait(r *Request) { p.service(r.Service).remove(r) }

// DecideQueued returns the requests whose wait is over: those that now have a backend
// server, and those that can no longer be served in time.
func (p *Pool) DecideQueued(now time.Time) []QueuedDecision {
	var grants []QueuedDecision
	for _, svc := range p.services {
		grants = p.nextOf(now, svc, grants)
	}
	return grants
}

func (p *Pool) nextOf(now time.Time, svc *service, grants []QueuedDecision) []QueuedDecision {
	turned := svc.order(now)
	kept := svc.queue[:0]
	full := false
	for i, r := range svc.queue {
		if refusal, ok := p.hopeless(now, svc, r, i, turned); ok {
			grants = append(grants, QueuedDecision{Request: r, Decision: refusal})
			continue
		}
		if !full {
			switch c := p.choose(now, svc, r).(type) {
			case Assign:
				p.assign(now, svc, r, c)
				grants = append(grants, QueuedDecision{Request: r, Decision: c})
				continue
			case Refuse:
				grants = append(grants, QueuedDecision{Request: r, Decision: c})
				continue
			}
			full = true
		}
		kept = append(kept, r)
	}
	clear(svc.queue[len(kept):])
	svc.queue = kept
	return grants
}

// hopeless refuses a request that has waited out its time. One that can no longer
// be served on time, which turned says, is refused at once if it would not be
// served at all: those that can be go before it.
func (p *Pool) hopeless(now time.Time, svc *service, r *Request, ahead int, turned map[*Request]bool) (Refuse, bool) {
	if !now.Before(r.LatestStart) {
		return svc.refuse(now, r, fault.Overloaded, WaitTimedOut, now.Sub(r.Arrived), p.entries), true
	}
	if !turned[r] {
		return Refuse{}, false
	}
	expected := svc.expectedWait(now, r, ahead, p.entries)
	if now.Add(expected).Before(r.LatestStart) {
		return Refuse{}, false
	}
	return svc.refuse(now, r, fault.Overloaded, QueueTooLong, expected, p.entries), true
}

func (p *Pool) assign(now time.Time, svc *service, r *Request, a Assign) {
	s := p.servers[a.Server.ID]
	s.inFlight++
	if a.Cold {
		s.coldSends = append(s.coldSends, now)
	}
	svc.count(now, r.IsRetry)
}

// Done ends a request at a backend server. First is the time to its first
// answer, and 0 if there was none.
func (p *Pool) Done(now time.Time, serviceName, id string, result Result, first, held time.Duration) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.inFlight--
	g := p.groups[s.info.Group]
	if g != nil && g.end(now, result, held, first > 0) {
		// The rank is no worse than its group.
		result = Abandoned
	}
	s.observe(now, result, first)
	p.service(serviceName).observe(result, held)
}

// RecordEvent notes that an event of a stream came from a backend server: the time
// since the one before it, or 0 for the first, which came first after the
// sending.
func (p *Pool) RecordEvent(now time.Time, id string, first, gap time.Duration) {
	s := p.servers[id]
	if s == nil {
		return
	}
	if gap == 0 {
		svc := p.service(s.info.Service)
		svc.first = average(svc.first, first)
	}
	g := p.groups[s.info.Group]
	if g == nil {
		return
	}
	if gap > 0 && g.passModel > 0 {
		way := p.paths[s.info.FailureDomain]
		if way == nil {
			way = &path{}
			p.paths[s.info.FailureDomain] = way
		}
		way.event(now, float64(gap)/(g.slow(now)*float64(g.passModel)))
	}
	g.event(now, gap)
}

// MeanTimeToFirstAnswer is the mean time in which a service first answers now, counted
// from the sending.
func (p *Pool) MeanTimeToFirstAnswer(serviceName string) time.Duration {
	return p.service(serviceName).first
}

// MarkMisdirected notes that another incarnation answers at the address of a
// backend server: it gets nothing until it announces itself again.
func (p *Pool) MarkMisdirected(id string) {
	if s := p.servers[id]; s != nil {
		s.misdirected = true
	}
}

// SetColdRemaining notes what a response said about the rest of a cold period.
func (p *Pool) SetColdRemaining(now time.Time, id string, rest time.Duration) {
	if s := p.servers[id]; s != nil && rest > 0 {
		s.toldCold = now.Add(rest)
	}
}

// Counts tells how many requests wait and are in flight.
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
