package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retries and the requests to a cold backend server must not exceed their limits at all
// entries together, so that their parts are even and not by demand; see
// docs/design/shares-by-demand.md.

const (
	// placeDelay bounds how late an entry hears of a change in the number of entries: a
	// call that hangs is aborted after a second, and another registrar answers within
	// another one.
	placeDelay = 2 * time.Second
	// coldPlaceMemory and placeMemory are how long a place counts after it has been
	// replaced: the window of the limit, which is 1 s for cold backend servers and 10 s
	// for retries, and placeDelay.
	coldPlaceMemory = coldWindow + placeDelay
	placeMemory     = 10*time.Second + placeDelay
	// minPlaceTime is how long a place must have been held to count after it has been
	// replaced. While all entries start, the number changes faster; the least part of
	// all of these places would be 0 for most entries.
	minPlaceTime = 500 * time.Millisecond
)

// place is the position of an entry among a number of entries, which share hard limits.
type place struct{ index, entries int }

// part is this place's part of a limit. The parts of all places add up to the limit: what
// does not divide evenly goes to entries that differ from one turn to the next, so that
// none is without a part of every limit where there are more entries than units.
func (p place) part(limit int, turn uint64) int {
	entries := max(1, p.entries)
	// The sum must not overflow: two places would have the same turn.
	part := limit / entries
	if (uint64(p.index)+turn%uint64(entries))%uint64(entries) < uint64(limit%entries) {
		part++
	}
	return part
}

// placeHistory holds the places of an entry in the last placeMemory. Entries hear of a
// change at different times, and a registrar that has started again knows few of them. An
// entry takes the least part that it had at any of its places: the sum over all entries
// that have had a place in one and the same numbering then stays within the limit.
type placeHistory struct {
	places []recordedPlace // the newest one last
}

type recordedPlace struct {
	place
	since      time.Time
	replacedAt time.Time // zero for the newest
}

func (h *placeHistory) record(now time.Time, p place) {
	if n := len(h.places); n > 0 {
		if h.places[n-1].place == p {
			return
		}
		h.places[n-1].replacedAt = now
	}
	h.expire(now)
	h.places = append(h.places, recordedPlace{place: p, since: now})
}

func (h *placeHistory) expire(now time.Time) {
	for len(h.places) > 1 && now.Sub(h.places[0].replacedAt) > placeMemory {
		h.places = h.places[1:]
	}
}

// mostEntries returns the highest number of entries in the last placeMemory.
func (h *placeHistory) mostEntries(now time.Time) int {
	h.expire(now)
	most := 1
	for _, p := range h.places {
		most = max(most, p.entries)
	}
	return most
}

// leastPart returns the least part of a limit at any place in the last coldPlaceMemory
// that counts.
func (h *placeHistory) leastPart(now time.Time, limit int, turn uint64) int {
	h.expire(now)
	least := limit
	for _, p := range h.places {
		counts := now.Sub(p.replacedAt) <= coldPlaceMemory && p.replacedAt.Sub(p.since) >= minPlaceTime
		if p.replacedAt.IsZero() || counts {
			least = min(least, p.part(limit, turn))
		}
	}
	return least
}

// coldLimit is this entry's part of the requests per second that a cold backend server
// can take.
func (p *Pool) coldLimit(now time.Time, perSecond float64, id string) int {
	return p.places.leastPart(now, int(coldMargin*(perSecond+p.cfg.ColdSlack)), xxhash.Sum64String(id))
}
