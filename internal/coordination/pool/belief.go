package pool

import "time"

// Condition is what the pool believes of something that changes its choices, with
// the figures behind it.
type Condition struct {
	Subject Subject
	State   State
	// Slowness is how much longer a group's passes take than by the catalog, and
	// Limit the requests at one rank that it gets.
	Slowness float64
	Limit    int
	// Share is that of failures at a backend server, or of delayed events from a
	// failure domain.
	Share float64
	// Age is the time since what it was last believed by, or 0 for nothing.
	Age time.Duration
}

// Subject is what a belief is about.
type Subject struct {
	Kind SubjectKind
	ID   string
}

// SubjectKind says what an id names.
type SubjectKind uint8

// The kinds of subjects.
const (
	GroupSubject         SubjectKind = iota // group
	ServerSubject                           // backend_server
	FailureDomainSubject                    // failure_domain
)

// State is what is believed.
type State uint8

// The states.
const (
	Healthy     State = iota // sound
	Slow                     // slow
	Unavailable              // resting
	Avoided                  // avoided
	Failing                  // failing
	Delayed                  // delayed
)

// failingShare is the share of failures from which on a backend server is told to
// fail, about two in a row of a sound one.
const failingShare = 0.35

// Conditions returns what is believed of all groups, backend servers and failure
// domains. targetGap is that of the streams whose limit is told.
func (p *Pool) Conditions(now time.Time, targetGap time.Duration) []Condition {
	var list []Condition
	for name, g := range p.groups {
		list = append(list, p.groupBelief(now, name, g, targetGap))
	}
	for id, s := range p.servers {
		b := Condition{Subject: Subject{ServerSubject, id}, Share: s.failureShare(now), Age: now.Sub(s.failedAt)}
		switch {
		case s.failedAt.IsZero():
			continue
		case now.Before(s.avoidUntil) || s.misses > 0:
			b.State = Avoided
		case b.Share >= failingShare:
			b.State = Failing
		}
		list = append(list, b)
	}
	for domain, way := range p.paths {
		b := Condition{Subject: Subject{FailureDomainSubject, domain}, Share: way.share(now), Age: now.Sub(way.seen)}
		if domain != p.cfg.FailureDomain && p.pathCost(now, domain) >= similar {
			// It is left alone if there is another path.
			b.State = Delayed
		}
		list = append(list, b)
	}
	return list
}

func (p *Pool) groupBelief(now time.Time, name string, g *group, targetGap time.Duration) Condition {
	b := Condition{Subject: Subject{GroupSubject, name}, Slowness: g.slow(now)}
	if !g.moved.IsZero() {
		b.Age = now.Sub(g.moved)
	}
	for _, svc := range p.services {
		for _, s := range svc.servers {
			if s.info.Group == name {
				slots := s.slots(svc)
				b.Limit = g.limit(now, svc.spec.Engine, slots, targetGap)
				if b.Limit < slots {
					b.State = Slow
				}
			}
		}
	}
	if g.rests(now, targetGap) {
		b.State = Unavailable
	}
	return b
}
