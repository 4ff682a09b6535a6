package pool

import "time"

// Condition is the pool's estimate of the health of a group, backend server or
// failure domain, with the figures behind it.
type Condition struct {
	Subject Subject
	State   State
	// Slowness is the ratio of the pass time of a group to the one given by the
	// catalog, and Limit the number of requests that it gets at one rank.
	Slowness float64
	Limit    int
	// Share is the share of failures at a backend server, or of delayed events
	// from a failure domain.
	Share float64
	// Age is the time since the last observation, or 0 if there was none.
	Age time.Duration
}

// Subject names what a condition applies to.
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

// State is the health state of a subject.
type State uint8

// The states.
const (
	Healthy     State = iota // sound
	Slow                     // slow
	Unavailable              // resting
	Avoided                  // avoided
	Failing                  // failing
	Delayed                  // delayed
	Closed                   // closed
	Leaving                  // leaving
	Suspect                  // suspect
)

// failingShare is the share of failures from which on a backend server is
// reported as failing. Two failures in a row of a healthy one reach about this
// share.
const failingShare = 0.35

// Conditions returns the conditions of all groups, backend servers and failure
// domains. targetGap is that of the streams whose limit is reported.
func (p *Pool) Conditions(now time.Time, targetGap time.Duration) []Condition {
	var list []Condition
	for name, g := range p.groups {
		list = append(list, p.groupCondition(now, name, g, targetGap))
	}
	for id, s := range p.servers {
		c := Condition{Subject: Subject{ServerSubject, id}, Share: s.currentFailureShare(now), Age: now.Sub(s.failuresUpdatedAt)}
		switch {
		case !s.leavingSince.IsZero():
			c.State, c.Age = Leaving, now.Sub(s.leavingSince)
		case now.Before(s.closedUntil):
			c.State = Closed
		case s.failuresUpdatedAt.IsZero() && s.trust.level == 0:
			continue
		case now.Before(s.avoidUntil) || s.misses > 0:
			c.State = Avoided
		case c.Share >= failingShare:
			c.State = Failing
		case s.trust.level > 0:
			c.State, c.Age = Suspect, now.Sub(s.trust.steppedAt)
		}
		list = append(list, c)
	}
	for domain, domainPath := range p.paths {
		c := Condition{Subject: Subject{FailureDomainSubject, domain}, Share: domainPath.currentShare(now), Age: now.Sub(domainPath.updatedAt)}
		if domain != p.cfg.FailureDomain && p.pathCost(now, domain) >= similarCostFactor {
			// From this cost on, pick leaves the domain out if another path is usable.
			c.State = Delayed
		}
		list = append(list, c)
	}
	return list
}

func (p *Pool) groupCondition(now time.Time, name string, g *group, targetGap time.Duration) Condition {
	c := Condition{Subject: Subject{GroupSubject, name}, Slowness: g.currentSlowness(now)}
	if !g.lastEvent.IsZero() {
		c.Age = now.Sub(g.lastEvent)
	}
	for _, svc := range p.services {
		for _, s := range svc.servers {
			if s.info.Group == name {
				slots := s.slots(svc)
				c.Limit = g.limit(now, svc.spec.Engine, slots, targetGap)
				if c.Limit < slots {
					c.State = Slow
				}
			}
		}
	}
	if g.isStalled(now, targetGap) {
		c.State = Unavailable
	}
	return c
}
