/*
Package directory holds the backend servers that have announced themselves.

# Concept

Each announcement identifies an incarnation by its id and start time, and
carries a sequence number that increases with each one. Late and duplicate
announcements change nothing: the newest incarnation of an id and its highest
sequence number take precedence, and an incarnation that is gone stays gone. An
address belongs to the incarnation that started last, unless that one has fallen
silent while an earlier one still announces itself.

Announcements may come from other writers. One of a service that the catalog does
not list displaces nothing; it is kept apart until the catalog lists the service,
since a backend server may announce itself before.

The table numbers its changes, so that a follower receives only those that it
lacks. A backend server that stops announcing stays listed for a while: it may
be partitioned from the registrar and still serve requests.

# Use

	table := directory.New()
	changed := table.SetServices(now, names)
	changed := table.Apply(now, announcement)
	changes := table.Since(now, version)
*/
package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// goneRetention is how long an incarnation that is gone is kept, so that late
	// announcements of it change nothing. Announcements are late by seconds.
	goneRetention = 2 * time.Minute
	// silenceTimeout is how long a backend server without announcements stays
	// listed. If it has crashed, requests to it fail much sooner; this only
	// bounds the size of the table.
	silenceTimeout = time.Minute
	// refreshInterval is how often followers receive the time of the last
	// announcement though nothing else changed. It is well below
	// silenceTimeout.
	refreshInterval = 15 * time.Second
	// minColdChange is the smallest change in the end of a cold period that
	// followers receive. Announcements arrive about once a second and each gives
	// the remaining time in milliseconds.
	minColdChange = 100 * time.Millisecond
	// maxUnlisted bounds the announcements of services that are not listed. At a
	// start, those of all backend servers arrive before the catalog.
	maxUnlisted = 4096
)

// finalSequence is the sequence number of an incarnation that has ended, above any
// other.
const finalSequence = math.MaxUint64

// Entry is one incarnation of a backend server. The announcement must not be
// modified.
type Entry struct {
	Announcement *peer.Announcement
	// Received is when the newest announcement arrived.
	Received time.Time
	// ColdUntil is when its cold period ends.
	ColdUntil time.Time
	changed   uint64
	// sentReceived is the value of Received that followers were last sent.
	sentReceived time.Time
}

// Table is the state of a directory. It is not safe for concurrent use. Create
// it with New.
type Table struct {
	version   uint64
	entries   map[string]*Entry // by id
	addresses map[string]string // id by address
	services  map[string]bool
	unlisted  map[unlistedKey]*Entry
}

// unlistedKey names an incarnation of a service that is not listed. An id of which
// two services are announced has two keys.
type unlistedKey struct{ id, service string }

// New returns an empty table, in which no service is listed.
func New() *Table {
	// Versions start at 1, so that a follower's first request, with version 0,
	// gets all entries.
	return &Table{version: 1, entries: map[string]*Entry{}, addresses: map[string]string{}, unlisted: map[unlistedKey]*Entry{}}
}

// SetServices sets the services that the catalog lists, applies the announcements
// of them that were kept apart, and reports whether one changed the table. Backend
// servers of a service that is no longer listed stay until they end or are silent.
func (t *Table) SetServices(now time.Time, names []string) bool {
	t.services = make(map[string]bool, len(names))
	for _, name := range names {
		t.services[name] = true
	}
	var kept []*Entry
	for key, e := range t.unlisted {
		if t.services[key.service] {
			kept = append(kept, e)
			delete(t.unlisted, key)
		}
	}
	slices.SortFunc(kept, func(a, b *Entry) int { return cmp.Compare(a.Announcement.BornMs, b.Announcement.BornMs) })
	changed := false
	for _, e := range kept {
		changed = t.Apply(now, e.announcementAt(now)) || changed
	}
	return changed
}

// IsListed reports whether the catalog lists a service.
func (t *Table) IsListed(service string) bool { return t.services[service] }

// keepUnlisted keeps an announcement of a service that is not listed.
func (t *Table) keepUnlisted(received time.Time, a *peer.Announcement) {
	key := unlistedKey{id: a.Id, service: a.Service}
	old := t.unlisted[key]
	if old != nil && !isNewer(a, old.Announcement) {
		return
	}
	if old == nil && len(t.unlisted) >= maxUnlisted {
		t.dropOldestUnlisted()
	}
	e := &Entry{Announcement: a, Received: received}
	t.unlisted[key] = e
}

func (t *Table) dropOldestUnlisted() {
	var oldest unlistedKey
	var received time.Time
	for key, e := range t.unlisted {
		if received.IsZero() || e.Received.Before(received) {
			oldest, received = key, e.Received
		}
	}
	delete(t.unlisted, oldest)
}

// endUnlisted applies a deregistration to what is kept apart.
func (t *Table) endUnlisted(received time.Time, a *peer.Announcement) {
	for key, e := range t.unlisted {
		if key.id == a.Id && isNewer(a, e.Announcement) {
			ended := withState(e.Announcement, peer.BackendState_BACKEND_STATE_GONE, finalSequence)
			t.unlisted[key] = &Entry{Announcement: ended, Received: received}
		}
	}
}

// Version returns the number of the last change.
func (t *Table) Version() uint64 { return t.version }

// Apply applies an announcement and reports whether it changed more than the
// time of the last announcement.
func (t *Table) Apply(now time.Time, a *peer.Announcement) bool {
	age := time.Duration(a.AgeMs) * time.Millisecond
	received := now.Add(-age)
	if a.State == peer.BackendState_BACKEND_STATE_GONE && a.Address == "" {
		a = clone(a)
		a.Sequence = finalSequence
		t.endUnlisted(received, a)
	}
	old := t.entries[a.Id]
	// A backend server whose service was removed from the catalog may still get
	// requests by an older one, and its drain must be known.
	isKnown := a.Address == "" || t.services[a.Service] || (old != nil && old.Announcement.Service == a.Service)
	if !isKnown {
		t.keepUnlisted(received, a)
		return false
	}
	if old != nil && !isNewer(a, old.Announcement) && !(old.isSilent() && a.BornMs != old.Announcement.BornMs) {
		return false
	}
	if a.State == peer.BackendState_BACKEND_STATE_GONE && a.Address == "" {
		// A deregistration need not repeat the other fields.
		if old == nil {
			return false
		}
		a = withState(old.Announcement, peer.BackendState_BACKEND_STATE_GONE, finalSequence)
	}
	if owner := t.addressOwner(a); owner != nil && startedAfter(owner.Announcement, a) && !owner.isSilent() {
		return false
	}
	e := &Entry{Announcement: a, Received: received}
	if a.ColdMs > 0 {
		e.ColdUntil = received.Add(time.Duration(a.ColdMs) * time.Millisecond)
	}
	if old != nil && hasSameContent(old, e) {
		e.changed, e.sentReceived = old.changed, old.sentReceived
		if received.Sub(old.sentReceived) >= refreshInterval {
			t.version++
			e.changed, e.sentReceived = t.version, received
		}
		t.entries[a.Id] = e
		return false
	}
	t.version++
	e.changed, e.sentReceived = t.version, received
	t.entries[a.Id] = e
	t.takeAddress(now, e)
	return true
}

// addressOwner returns the other incarnation that owns the address of a, or nil.
func (t *Table) addressOwner(a *peer.Announcement) *Entry {
	id, ok := t.addresses[a.Address]
	if !ok || id == a.Id {
		return nil
	}
	return t.entries[id]
}

// isSilent reports whether an incarnation is gone because it has fallen silent or
// lost its address, and not because it has deregistered.
func (e *Entry) isSilent() bool {
	return e.Announcement.State == peer.BackendState_BACKEND_STATE_GONE && e.Announcement.Sequence != finalSequence
}

// takeAddress makes an incarnation the owner of its address and marks the
// previous owner as gone. Its sequence number stays: if the new owner falls silent
// and the previous one still announces itself, the new one was no backend server.
func (t *Table) takeAddress(now time.Time, e *Entry) {
	if e.Announcement.State == peer.BackendState_BACKEND_STATE_GONE {
		return
	}
	if owner := t.addressOwner(e.Announcement); owner != nil && owner.Announcement.State != peer.BackendState_BACKEND_STATE_GONE {
		t.version++
		gone := withState(owner.Announcement, peer.BackendState_BACKEND_STATE_GONE, owner.Announcement.Sequence)
		t.entries[gone.Id] = &Entry{Announcement: gone, Received: now, changed: t.version}
	}
	t.addresses[e.Announcement.Address] = e.Announcement.Id
}

// Since returns the announcements that changed after a version, with their age.
// The cold period in each is counted from the time of the announcement.
func (t *Table) Since(now time.Time, version uint64) []*peer.Announcement {
	var changes []*peer.Announcement
	for _, e := range t.entries {
		if e.changed > version {
			changes = append(changes, e.announcementAt(now))
		}
	}
	// An incarnation that is gone may free the address of another one.
	slices.SortFunc(changes, func(a, b *peer.Announcement) int { return cmp.Compare(b.State, a.State) })
	return changes
}

// Entries calls f with each incarnation that is not gone.
func (t *Table) Entries(f func(*Entry)) {
	for _, e := range t.entries {
		if e.Announcement.State != peer.BackendState_BACKEND_STATE_GONE {
			f(e)
		}
	}
}

// Expire marks incarnations as gone that have not announced for silenceTimeout,
// and returns their ids. It deletes those that have been gone for goneRetention.
func (t *Table) Expire(now time.Time) (removed []string) {
	for key, e := range t.unlisted {
		if now.Sub(e.Received) > silenceTimeout {
			delete(t.unlisted, key)
		}
	}
	for id, e := range t.entries {
		silent := now.Sub(e.Received)
		switch {
		case e.Announcement.State == peer.BackendState_BACKEND_STATE_GONE && silent > goneRetention:
			delete(t.entries, id)
			if t.addresses[e.Announcement.Address] == id {
				delete(t.addresses, e.Announcement.Address)
			}
		case e.Announcement.State != peer.BackendState_BACKEND_STATE_GONE && silent > silenceTimeout:
			t.version++
			// The sequence number stays, so that the next announcement of a
			// backend server that still serves is accepted.
			gone := withState(e.Announcement, peer.BackendState_BACKEND_STATE_GONE, e.Announcement.Sequence)
			t.entries[id] = &Entry{Announcement: gone, Received: now, changed: t.version}
			removed = append(removed, id)
		}
	}
	return removed
}

func (e *Entry) announcementAt(now time.Time) *peer.Announcement {
	a := clone(e.Announcement)
	a.AgeMs = uint32(max(0, now.Sub(e.Received)).Milliseconds())
	return a
}

// isNewer reports whether a replaces old. If the sequence numbers are equal, the
// state further from ready takes precedence.
func isNewer(a, old *peer.Announcement) bool {
	if a.BornMs != old.BornMs && a.BornMs != 0 {
		return a.BornMs > old.BornMs
	}
	return a.Sequence > old.Sequence || (a.Sequence == old.Sequence && a.State > old.State)
}

// startedAfter reports whether the incarnation of a started after that of b.
func startedAfter(a, b *peer.Announcement) bool { return a.BornMs > b.BornMs }

func hasSameContent(a, b *Entry) bool {
	x, y := a.Announcement, b.Announcement
	difference := a.ColdUntil.Sub(b.ColdUntil).Abs()
	return x.BornMs == y.BornMs && x.Service == y.Service && x.Address == y.Address &&
		x.FailureDomain == y.FailureDomain && x.State == y.State && x.Slots == y.Slots && difference < minColdChange && proto.Equal(x.Group, y.Group)
}

// withState returns a copy of a with another state and sequence number.
func withState(a *peer.Announcement, state peer.BackendState, sequence uint64) *peer.Announcement {
	c := clone(a)
	c.State, c.Sequence = state, sequence
	return c
}

func clone(a *peer.Announcement) *peer.Announcement { return proto.CloneOf(a) }
