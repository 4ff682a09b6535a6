package pool

import "time"

// What answers say of their backend server binds the entry that received them,
// whatever else it hears: announcements are late by seconds.
const (
	// closedSpread is the longest random addition to the time for which a backend
	// server wants no requests, so that entries do not all return at the same moment.
	closedSpread = 250 * time.Millisecond
	// reopenPeriod is the time after that in which the requests to it are
	// reopenInterval apart.
	reopenPeriod   = time.Second
	reopenInterval = 100 * time.Millisecond
	// MaxClosed bounds the time for which a backend server can want no requests.
	MaxClosed = time.Hour
)

// MarkLeaving records that an answer of an incarnation said that it is leaving. It
// gets no requests where another backend server can take them, and none at all after
// Config.LeavingGrace. It reports whether that was not known before.
func (p *Pool) MarkLeaving(now time.Time, id string, startedMS uint64) bool {
	s := p.servers[id]
	if s == nil || s.info.StartedMS != startedMS || !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = now
	return true
}

// IsLeaving reports whether an answer of an incarnation has said that it is leaving.
func (p *Pool) IsLeaving(id string, startedMS uint64) bool {
	s := p.servers[id]
	return s != nil && s.info.StartedMS == startedMS && !s.leavingSince.IsZero()
}

// Close records that an incarnation wants no requests for some time, which is at most
// MaxClosed. It reports whether that is longer than was known before.
func (p *Pool) Close(now time.Time, id string, startedMS uint64, length time.Duration) bool {
	s := p.servers[id]
	if s == nil || s.info.StartedMS != startedMS || length <= 0 {
		return false
	}
	until := now.Add(min(length, MaxClosed))
	if !until.After(s.closedUntil) {
		return false
	}
	s.closedUntil = until.Add(time.Duration(p.cfg.Random.Int64N(int64(closedSpread))))
	return true
}

// IsClosed reports whether an incarnation wants no requests now.
func (p *Pool) IsClosed(now time.Time, id string, startedMS uint64) bool {
	s := p.servers[id]
	return s != nil && s.info.StartedMS == startedMS && now.Before(s.closedUntil)
}

// isLeaving reports whether an answer has said so, and mayStillServe whether requests
// that no other backend server takes may still be sent.
func (s *server) isLeaving(now time.Time, grace time.Duration) (leaving, mayStillServe bool) {
	if s.leavingSince.IsZero() {
		return false, true
	}
	return true, now.Sub(s.leavingSince) < grace
}

// reopensSlowly reports whether a backend server that wanted no requests until
// recently has just been sent one.
func (s *server) reopensSlowly(now time.Time) bool {
	return now.Before(s.closedUntil.Add(reopenPeriod)) && now.Sub(s.lastSent) < reopenInterval
}
