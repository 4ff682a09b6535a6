/*
Package directory holds the backend servers that have announced themselves.

# Concept

Each announcement names an incarnation by its id and the time it was born, and
carries a sequence number that grows with each one. Whatever comes late or
twice changes nothing: the newest incarnation of an id and its highest sequence
stand, and an incarnation that is gone stays gone. An address belongs to the
incarnation born last.

The table numbers its changes, so that a follower gets only what is new to it.
A backend server that falls silent stays listed for a while: it may be cut off
from here and still serve.

# Use

	table := directory.New()
	changed := table.Apply(now, announcement)
	news := table.Since(now, version)
*/
package directory

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// goneFor is how long an incarnation that is gone is remembered, so that
	// announcements of it that come late change nothing. Announcements are late
	// by seconds.
	goneFor = 2 * time.Minute
	// silentFor is how long a backend server without announcements stays
	// listed. Requests find out much sooner that it is dead; this only bounds
	// the table.
	silentFor = time.Minute
	// refreshInterval is how often followers are told that a backend server was
	// heard of though nothing else changed, well within silentFor.
	refreshInterval = 15 * time.Second
	// coldStep is the least difference in the end of a cold period that
	// followers are told of. Announcements come about once a second and each
	// gives the rest in milliseconds.
	coldStep = 100 * time.Millisecond
)

// last is the sequence of an incarnation that has ended, above any other.
const last = math.MaxUint64

// Entry is one incarnation of a backend server. The announcement must not be
// changed.
type Entry struct {
	Announcement *peer.Announcement
	// Received is when the newest announcement came.
	Received time.Time
	// ColdUntil is when its cold period ends.
	ColdUntil time.Time
	changed   uint64
	// passedOn is when it was received as followers know it.
	passedOn time.Time
}

// Table is the state of a directory. It is not safe for use by several
// goroutines. Use New.
type Table struct {
	version   uint64
	entries   map[string]*Entry // by id
	addresses map[string]string // id by address
}

// New returns an empty table.
func New() *Table {
	// Versions start at 1, so that a follower's first request, since 0, gets
	// all.
	return &Table{version: 1, entries: map[string]*Entry{}, addresses: map[string]string{}}
}

// Version is the number of the last change.
func (t *Table) Version() uint64 { return t.version }

// Apply takes an announcement and says whether it changed more than the time
// at which the backend server was last heard of.
func (t *Table) Apply(now time.Time, a *peer.Announcement) bool {
	age := time.Duration(a.AgeMs) * time.Millisecond
	received := now.Add(-age)
	if a.State == peer.BackendState_BACKEND_STATE_GONE && a.Address == "" {
		a = copyOf(a)
		a.Sequence = last
	}
	old := t.entries[a.Id]
	if old != nil && !isNewer(a, old.Announcement) {
		return false
	}
	if a.State == peer.BackendState_BACKEND_STATE_GONE && a.Address == "" {
		// A farewell need not repeat what is known.
		if old == nil {
			return false
		}
		a = withState(old.Announcement, peer.BackendState_BACKEND_STATE_GONE, last)
	}
	if holder := t.holder(a); holder != nil && isAfter(holder.Announcement, a) {
		return false
	}
	e := &Entry{Announcement: a, Received: received}
	if a.ColdMs > 0 {
		e.ColdUntil = received.Add(time.Duration(a.ColdMs) * time.Millisecond)
	}
	if old != nil && isSame(old, e) {
		e.changed, e.passedOn = old.changed, old.passedOn
		if received.Sub(old.passedOn) >= refreshInterval {
			t.version++
			e.changed, e.passedOn = t.version, received
		}
		t.entries[a.Id] = e
		return false
	}
	t.version++
	e.changed, e.passedOn = t.version, received
	t.entries[a.Id] = e
	t.claim(now, e)
	return true
}

// holder returns another incarnation that holds the address of a.
func (t *Table) holder(a *peer.Announcement) *Entry {
	id, ok := t.addresses[a.Address]
	if !ok || id == a.Id {
		return nil
	}
	return t.entries[id]
}

// claim gives an address to an incarnation; the one that held it is gone.
func (t *Table) claim(now time.Time, e *Entry) {
	if e.Announcement.State == peer.BackendState_BACKEND_STATE_GONE {
		return
	}
	if holder := t.holder(e.Announcement); holder != nil && holder.Announcement.State != peer.BackendState_BACKEND_STATE_GONE {
		t.version++
		gone := withState(holder.Announcement, peer.BackendState_BACKEND_STATE_GONE, last)
		t.entries[gone.Id] = &Entry{Announcement: gone, Received: now, changed: t.version}
	}
	t.addresses[e.Announcement.Address] = e.Announcement.Id
}

// Since returns what has changed after a version, with the age of each
// announcement and the rest of each cold period.
func (t *Table) Since(now time.Time, version uint64) []*peer.Announcement {
	var news []*peer.Announcement
	for _, e := range t.entries {
		if e.changed > version {
			news = append(news, e.at(now))
		}
	}
	return news
}

// Entries calls f with each incarnation that is not gone.
func (t *Table) Entries(f func(*Entry)) {
	for _, e := range t.entries {
		if e.Announcement.State != peer.BackendState_BACKEND_STATE_GONE {
			f(e)
		}
	}
}

// Expire forgets what has not been heard of for long.
func (t *Table) Expire(now time.Time) (removed []string) {
	for id, e := range t.entries {
		silent := now.Sub(e.Received)
		switch {
		case e.Announcement.State == peer.BackendState_BACKEND_STATE_GONE && silent > goneFor:
			delete(t.entries, id)
			if t.addresses[e.Announcement.Address] == id {
				delete(t.addresses, e.Announcement.Address)
			}
		case e.Announcement.State != peer.BackendState_BACKEND_STATE_GONE && silent > silentFor:
			t.version++
			// Its next announcement, if it still serves, has a higher sequence.
			gone := withState(e.Announcement, peer.BackendState_BACKEND_STATE_GONE, e.Announcement.Sequence)
			t.entries[id] = &Entry{Announcement: gone, Received: now, changed: t.version}
			removed = append(removed, id)
		}
	}
	return removed
}

func (e *Entry) at(now time.Time) *peer.Announcement {
	a := copyOf(e.Announcement)
	a.AgeMs = uint32(max(0, now.Sub(e.Received)).Milliseconds())
	return a
}

// isNewer says whether a replaces old. Of equal sequences, the state that is
// further from ready stands.
func isNewer(a, old *peer.Announcement) bool {
	if a.BornMs != old.BornMs && a.BornMs != 0 {
		return a.BornMs > old.BornMs
	}
	return a.Sequence > old.Sequence || (a.Sequence == old.Sequence && a.State > old.State)
}

// isAfter says whether the incarnation of a was born after that of b.
func isAfter(a, b *peer.Announcement) bool { return a.BornMs > b.BornMs }

func isSame(a, b *Entry) bool {
	x, y := a.Announcement, b.Announcement
	difference := a.ColdUntil.Sub(b.ColdUntil).Abs()
	return x.BornMs == y.BornMs && x.Service == y.Service && x.Address == y.Address &&
		x.FailureDomain == y.FailureDomain && x.State == y.State && x.Slots == y.Slots && difference < coldStep && proto.Equal(x.Group, y.Group)
}

// withState returns an incarnation in another state.
func withState(a *peer.Announcement, state peer.BackendState, sequence uint64) *peer.Announcement {
	c := copyOf(a)
	c.State, c.Sequence = state, sequence
	return c
}

func copyOf(a *peer.Announcement) *peer.Announcement { return proto.CloneOf(a) }
