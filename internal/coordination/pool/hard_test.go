package pool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hardEntry is an entry of the model of hard limits.
type hardEntry struct {
	id       int
	history  placeHistory
	joinedAt time.Duration
	lastNews time.Duration // when the newest numbering that it has heard of was valid
	staleAt  time.Duration // when its news were last older than placeDelay
	frozen   int           // steps that it stands still
	deaf     bool
	sends    []time.Duration
}

// TestHardLimits guards against parts of a hard limit that add up to more than the limit.
// Entries join, restart, leave, freeze and lose contact, and hear of each other at
// different times and in any order, and each uses its whole part at every moment. The
// entries whose news have been at most placeDelay old during the window stay within the
// limit together; any other one adds no more than the part that it knows. Without memory the sum is exceeded when
// the numbers of the entries shift.
func TestHardLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		limit := rapid.IntRange(1, 60).Draw(t, "limit")
		turn := rapid.Uint64().Draw(t, "turn")
		type numbering struct {
			from time.Duration
			ids  []int
		}
		var entries []*hardEntry
		nextID := 0
		newEntry := func(at time.Duration) *hardEntry {
			nextID++
			// New entries sort before, between and after the others.
			return &hardEntry{id: (nextID*7919 + 13) % 1009, joinedAt: at, lastNews: at, staleAt: at}
		}
		var numberings []numbering
		number := func(at time.Duration) {
			var ids []int
			for _, e := range entries {
				ids = append(ids, e.id)
			}
			slices.Sort(ids)
			numberings = append(numberings, numbering{at, ids})
		}
		const settled = -20 * time.Second // when the first entries joined
		for range rapid.IntRange(1, 24).Draw(t, "entries") {
			entries = append(entries, newEntry(settled))
		}
		number(settled)
		for _, e := range entries {
			index, _ := slices.BinarySearch(numberings[0].ids, e.id)
			e.history.record(start.Add(settled), place{index, len(entries)})
		}
		lastChange := settled
		var gone []*hardEntry // removed from the numbering while they send
		for at := time.Duration(0); at < 12*time.Second; at += step {
			now := start.Add(at)
			if at-lastChange > placeDelay && rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				victim := rapid.IntRange(0, len(entries)-1).Draw(t, "victim")
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					for range rapid.IntRange(1, 3).Draw(t, "joining") {
						entries = append(entries, newEntry(at))
					}
				case 1:
					if len(entries) > 1 {
						entries = slices.Delete(entries, victim, victim+1)
					}
				case 2: // it restarts with the same id and forgets what it has sent
					e := entries[victim]
					entries[victim] = &hardEntry{id: e.id, joinedAt: at, lastNews: at, staleAt: at, sends: e.sends}
				case 3: // it is cut off, and later removed
					if len(entries) > 1 {
						entries[victim].deaf = true
						gone = append(gone, entries[victim])
						entries = slices.Delete(entries, victim, victim+1)
					}
				}
				number(at)
				lastChange = at
			}
			if rapid.IntRange(0, 19).Draw(t, "freeze") == 0 {
				entries[rapid.IntRange(0, len(entries)-1).Draw(t, "frozen")].frozen = rapid.IntRange(1, 60).Draw(t, "steps")
			}
			regular, share := 0, 0.0
			for _, e := range slices.Concat(entries, gone) {
				if e.frozen > 0 {
					e.frozen--
					continue
				}
				if at-e.lastNews > placeDelay {
					e.staleAt = at
				}
				if !e.deaf && (at-e.lastNews > placeDelay/2 || rapid.Bool().Draw(t, "hears") || len(e.history.places) == 0) {
					// The numbering as it was up to placeDelay/2 ago.
					valid := at - time.Duration(rapid.IntRange(0, int(placeDelay/2/step)).Draw(t, "age"))*step
					for _, n := range slices.Backward(numberings) {
						index, ok := slices.BinarySearch(n.ids, e.id)
						if n.from <= valid && ok {
							e.history.record(now, place{index, len(n.ids)})
							break
						}
					}
					e.lastNews = max(e.lastNews, valid)
				}
				if len(e.history.places) == 0 {
					continue // it serves nothing yet
				}
				part := e.history.leastPart(now, limit, turn)
				e.sends = slices.DeleteFunc(e.sends, func(s time.Duration) bool { return at-s >= coldWindow })
				isRegular := !e.deaf && at-e.joinedAt > placeMemory && at-e.staleAt > coldWindow
				for len(e.sends) < part {
					e.sends = append(e.sends, at)
				}
				if isRegular {
					regular += len(e.sends)
					share += 1 / float64(e.history.mostEntries(now))
				}
			}
			if regular > limit {
				t.Fatalf("at %v: %d requests in a second, the limit is %d", at, regular, limit)
			}
			if share > 1+1e-9 {
				t.Fatalf("at %v: the shares add up to %v", at, share)
			}
		}
	})
}

// TestPlacesAtStart guards against cold backend servers that get no requests while all
// entries start, because each has had a place without a part among the many that it had.
func TestPlacesAtStart(t *testing.T) {
	const entries, limit = 19, 8
	var histories [entries]placeHistory
	at := start
	for n := 1; n <= entries; n++ {
		for i := range n {
			histories[i].record(at, place{i, n})
		}
		at = at.Add(50 * time.Millisecond)
	}
	sum := 0
	for i := range histories {
		sum += histories[i].leastPart(at, limit, 5)
	}
	if sum != limit {
		t.Errorf("the parts add up to %d, want %d", sum, limit)
	}
}
