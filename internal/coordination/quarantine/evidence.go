/*
Package quarantine finds parts of prompts that crash backend servers, and keeps
requests with such a part away from them.

# Concept

A prompt is a list of parts, most of which it shares with other prompts. A part
that makes an engine crash takes down one backend server after the other: each
request with it is sent to another server once the first one has ended. The
requests have nothing in common but the part, and arrive at all entries.

When a backend server ends, the requests there whose answer had not got far are
suspect, and so are the parts of their prompts. Most of these parts are sound. A
request that is answered, or whose stream has gone on for a few events, clears
its parts of all crashes before. A part that is suspect in several crashes on
different occasions, and was not cleared since the first of them, is quarantined.
One that was ever sound needs more crashes, since it is common: common parts are
at any server that ends for another reason. A crash that a quarantined part
explains does not count against others.

Servers that end at the same moment may have a cause in common, such as a rack without
power, and then had requests with different parts. So crashes on one occasion count
each only against a part that was at nearly all of these servers and never sound.

[Evidence] makes this decision. Registrars keep the evidence of all entries, the
leader decides by it, and the decision goes through the replicated log, so that it
outlives any process. A [Guard] at each entry refuses requests with a quarantined
part, collects evidence, and decides by its own evidence as well, so that an entry
that has lost contact is protected too.

A quarantine ends by itself, as the fault will be repaired some day. If the part
crashes another server after that, the next quarantine lasts twice as long.

The package reads no clock and does no I/O: the time is an argument of each call.

# Use

	guard := quarantine.NewGuard()
	if until, refused := guard.Check(now, parts); refused { ... }
	guard.AddSound(now, parts)
	guard.AddCrash(now, quarantine.Incarnation{ID: id, StartedMS: ms}, parts)
	guard.SetDecided(parts) // as the registrars decide
*/
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of occasions on which a part is suspect before it is
	// quarantined, if it was never sound.
	minCrashes = 3
	// minCrashesOfSound is the same for a part that was sound before the first of
	// them, or that came with another one each time.
	minCrashesOfSound = 5
	// minServers is the number of servers that have ended, also on one occasion, after
	// which a part is quarantined that was at minShare of those that ended at the
	// same time and was never sound.
	minServers = 5
	minShare   = 0.8
	// occasionLength is the time within which crashes count as one occasion: hosts
	// that fail together end many backend servers at the same moment.
	occasionLength = 100 * time.Millisecond
	// maxEvidenceAge is how long a crash counts. Requests with a part may be rare.
	maxEvidenceAge = time.Hour
	// maxCrashes, maxMentions and maxPartsPerCrash bound the memory for crashes. A
	// head of 16 KiB has room for 5,461 ids of two bytes.
	maxCrashes       = 256
	maxMentions      = 1 << 16
	maxPartsPerCrash = maxMentions / 8
	// maxSoundParts bounds the memory for parts that were sound; the ones that were
	// not seen for longest are forgotten. Half of it has room for the longest prompt.
	maxSoundParts = 2 * maxPartsPerCrash
)

//go:generate go tool stringer -type=Status -linecomment -output=status_string.go

// Status says whether a part is quarantined.
type Status uint8

// The states of a part.
const (
	Free    Status = iota // free
	Active                // active
	Expired               // expired
)

// crash is the end of an incarnation while requests there had not got far.
type crash struct {
	server Incarnation
	at     time.Time
	parts  map[string]mention
	// explained is set once a quarantined part was among them.
	explained bool
	// hasSound is set by Decide if one of the parts was ever sound.
	hasSound bool
}

// mention is how a part occurred among the requests at a server that ended.
type mention struct {
	requests int
	position int // in the prompt, from 0
}

// Evidence holds crashes and sound answers by the parts of prompts. It is not safe
// for concurrent use. Use NewEvidence.
type Evidence struct {
	crashes  []*crash // in the order in which they were added
	mentions int      // in all crashes
	sound    recentTimes
	settled  recentTimes // when the quarantine of a part ended
}

// NewEvidence returns evidence without crashes.
func NewEvidence() *Evidence { return &Evidence{} }

// AddCrash records that an incarnation ended at a time while requests with these
// parts were there. Entries that saw the same end add their parts to it.
func (e *Evidence) AddCrash(at time.Time, server Incarnation, parts []string) {
	i := slices.IndexFunc(e.crashes, func(c *crash) bool { return c.server == server })
	if i < 0 {
		if len(e.crashes) == maxCrashes {
			e.drop(0)
		}
		e.crashes = append(e.crashes, &crash{server: server, at: at, parts: map[string]mention{}})
		i = len(e.crashes) - 1
	}
	c := e.crashes[i]
	if at.Before(c.at) {
		c.at = at
	}
	// Where there is no room for all, those that were never sound go first.
	for _, sound := range []bool{false, true} {
		for position, part := range parts {
			if e.sound.get(part).IsZero() == sound {
				continue
			}
			m, known := c.parts[part]
			if !known && len(c.parts) >= maxPartsPerCrash {
				continue
			}
			if !known {
				e.mentions++
			}
			c.parts[part] = mention{requests: m.requests + 1, position: max(m.position, position)}
		}
	}
	for e.mentions > maxMentions {
		oldest := 0
		if e.crashes[oldest] == c {
			oldest++
		}
		e.drop(oldest)
	}
}

func (e *Evidence) drop(i int) {
	e.mentions -= len(e.crashes[i].parts)
	e.crashes = slices.Delete(e.crashes, i, i+1)
}

// dropBefore drops the crashes before a time.
func (e *Evidence) dropBefore(oldest time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool {
		if c.at.Before(oldest) {
			e.mentions -= len(c.parts)
			return true
		}
		return false
	})
}

// AddSound records that a request with these parts was sound at a time.
func (e *Evidence) AddSound(at time.Time, parts []string) {
	for _, part := range parts {
		e.sound.set(part, at)
	}
}

// Settle drops the crashes before a time for a part whose quarantine has ended.
func (e *Evidence) Settle(at time.Time, part string) { e.settled.set(part, at) }

// LastSound returns when a request with a part was last sound, or zero.
func (e *Evidence) LastSound(part string) time.Time { return e.sound.get(part) }

// IsRefuted reports whether a part was sound after crashes without which there is not
// enough evidence against it. Entries report some sound answers only after a part is
// quarantined.
func (e *Evidence) IsRefuted(part string) bool {
	sound := e.sound.get(part)
	if sound.IsZero() {
		return false
	}
	all, since := Suspicion{Part: part}, Suspicion{Part: part}
	crashes := e.ordered()
	for _, c := range crashes {
		if !c.has(part) {
			continue
		}
		all.add(c)
		if c.at.After(sound) {
			since.add(c)
		}
	}
	all.countServers(crashes)
	return (all.Occasions >= minCrashes || all.servers >= minServers) && since.Occasions < minCrashes
}

// ordered returns the crashes by their time.
func (e *Evidence) ordered() []*crash {
	return slices.SortedFunc(slices.Values(e.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
}

// Suspicion is the evidence against a part.
type Suspicion struct {
	Part string
	// Crashes is the number of backend servers that ended with the part, and
	// Occasions on how many occasions.
	Crashes, Occasions int
	First, Last        time.Time
	// LastSound is when a request with the part was last sound, or zero.
	LastSound time.Time

	crashes []*crash
	// servers is the number of crashes of which those on one occasion count once,
	// unless the part was at nearly all servers that ended then.
	servers int
	// requests and position add up the mentions of the part. One that crashes
	// servers is mentioned once, with parts that many requests share before it.
	requests, position int
}

// add adds a crash with the part, in the order of their times.
func (s *Suspicion) add(c *crash) {
	if s.Crashes == 0 {
		s.First = c.at
	}
	s.Crashes++
	s.crashes = append(s.crashes, c)
	if s.Occasions == 0 || c.at.Sub(s.Last) >= occasionLength {
		s.Occasions++
		s.Last = c.at
	}
	m := c.parts[s.Part]
	s.requests += m.requests
	s.position += m.position
}

// countServers sets servers. all holds the crashes that may have the same cause, by
// their time.
func (s *Suspicion) countServers(all []*crash) {
	s.servers = 0
	for rest := s.crashes; len(rest) > 0; {
		begin := rest[0].at
		with := countBefore(rest, begin.Add(occasionLength))
		together := countBefore(all, begin.Add(occasionLength)) - countBefore(all, begin.Add(-occasionLength))
		if float64(with) >= minShare*float64(together) {
			s.servers += with
		} else {
			s.servers++
		}
		rest = rest[with:]
	}
}

// countBefore returns how many of the crashes, which are in order, were before a time.
func countBefore(crashes []*crash, t time.Time) int {
	n, _ := slices.BinarySearchFunc(crashes, t, func(c *crash, t time.Time) int { return c.at.Compare(t) })
	return n
}

func (c *crash) has(part string) bool {
	_, ok := c.parts[part]
	return ok
}

// isAmbiguous reports whether another part that was never sound was suspect each
// time.
func (s *Suspicion) isAmbiguous(sound *recentTimes) bool {
	for other := range s.crashes[0].parts {
		if other == s.Part || !sound.get(other).IsZero() {
			continue
		}
		if !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.has(other) }) {
			return true
		}
	}
	return false
}

// Decide returns the parts that are to be quarantined, the most certain one first.
// status returns the present state of a part.
func (e *Evidence) Decide(now time.Time, status func(part string) Status) []Suspicion {
	e.dropBefore(now.Add(-maxEvidenceAge))
	for _, c := range e.crashes {
		for part := range c.parts {
			if status(part) == Active {
				c.explained = true
			}
		}
	}
	var decided []Suspicion
	for {
		suspicions := e.suspicions(func(c *crash) bool {
			return !c.explained && !slices.ContainsFunc(decided, func(s Suspicion) bool { return c.has(s.Part) })
		})
		next, ok := e.mostCertain(suspicions, status)
		if !ok {
			return decided
		}
		decided = append(decided, next)
	}
}

// suspicions returns the evidence of the crashes that count against each part.
func (e *Evidence) suspicions(counts func(*crash) bool) []Suspicion {
	byPart := map[string]*Suspicion{}
	crashes := slices.DeleteFunc(e.ordered(), func(c *crash) bool { return !counts(c) })
	for _, c := range crashes {
		c.hasSound = false
		for part := range c.parts {
			sound := e.sound.get(part)
			c.hasSound = c.hasSound || !sound.IsZero()
			if !c.at.After(latest(sound, e.settled.get(part))) {
				continue
			}
			s := byPart[part]
			if s == nil {
				s = &Suspicion{Part: part, LastSound: sound}
				byPart[part] = s
			}
			s.add(c)
		}
	}
	list := make([]Suspicion, 0, len(byPart))
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		s := byPart[part]
		if s.Crashes >= minServers {
			s.countServers(crashes)
		}
		list = append(list, *s)
	}
	return list
}

// isAtManyServers reports whether a part that was never sound was at enough servers
// that have ended, on however few occasions. On a single one, some other part has to
// be sound: else so little is known that the part may be a common one.
func (s *Suspicion) isAtManyServers() bool {
	if !s.LastSound.IsZero() || s.servers < minServers {
		return false
	}
	return s.Occasions > 1 || !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.hasSound })
}

// mostCertain returns the part that is most likely the cause of crashes, if the
// evidence against it is enough.
func (e *Evidence) mostCertain(suspicions []Suspicion, status func(string) Status) (Suspicion, bool) {
	slices.SortStableFunc(suspicions, func(a, b Suspicion) int {
		if a.LastSound.IsZero() != b.LastSound.IsZero() {
			if a.LastSound.IsZero() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Occasions, a.Occasions), cmp.Compare(b.servers, a.servers), cmp.Compare(a.requests, b.requests), cmp.Compare(b.position, a.position))
	})
	for _, s := range suspicions {
		needed := minCrashes
		switch {
		case status(s.Part) == Expired, s.isAtManyServers():
			needed = 1
		case !s.LastSound.IsZero() || s.isAmbiguous(&e.sound):
			needed = minCrashesOfSound
		}
		if s.Occasions >= needed {
			return s, true
		}
	}
	return Suspicion{}, false
}

// recentTimes maps a bounded number of parts to a time. The parts that were not set
// for longest are forgotten.
type recentTimes struct {
	current, previous map[string]time.Time
}

func (r *recentTimes) set(part string, at time.Time) {
	if at.Before(r.get(part)) {
		return
	}
	if _, known := r.current[part]; !known {
		part = strings.Clone(part) // which may be a piece of a long list
	}
	if len(r.current) >= maxSoundParts/2 || r.current == nil {
		r.previous, r.current = r.current, map[string]time.Time{}
	}
	r.current[part] = at
}

func (r *recentTimes) get(part string) time.Time {
	if at, ok := r.current[part]; ok {
		return at
	}
	return r.previous[part]
}
