package usage

import (
	"maps"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// maxCells bounds the counts that a table holds. 19 entries with 24 client
	// accounts each fill some 2,000 in four windows.
	maxCells = 1 << 18
	// maxEntries bounds the entries whose progress is known.
	maxEntries = 1 << 10
	// entryMaxAge is how long a window waits for an entry that has stopped calling,
	// within its bound.
	entryMaxAge = 15 * time.Second
)

// Source is one incarnation of an entry.
type Source struct {
	Entry       string
	Incarnation uint64
}

// Table holds the counts of all entries. It is not safe for concurrent use. Use
// NewTable.
type Table struct {
	windows map[uint64]map[Source]map[string]uint64
	entries map[string]progress
	cells   int
	dropped uint64
}

// progress is the window that an entry counted in when it last called.
type progress struct {
	window uint64
	seen   time.Duration
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{windows: map[uint64]map[Source]map[string]uint64{}, entries: map[string]progress{}}
}

// Merge adds cumulative counts, of windows from first to last only. Of two counts for
// the same source, window and client account the larger one is the newer one.
func (t *Table) Merge(source Source, counts []*peer.UsageCounts, first, last uint64) {
	for _, w := range counts {
		if w.Window < first || w.Window > last {
			t.dropped += uint64(len(w.Counts))
			continue
		}
		sources := t.windows[w.Window]
		if sources == nil {
			sources = map[Source]map[string]uint64{}
			t.windows[w.Window] = sources
		}
		accounts := sources[source]
		if accounts == nil {
			accounts = map[string]uint64{}
			sources[source] = accounts
		}
		for _, c := range w.Counts {
			old, known := accounts[c.Account]
			if !known {
				if t.cells >= maxCells {
					t.dropped++
					continue
				}
				t.cells++
			}
			accounts[c.Account] = max(old, c.Count)
		}
	}
}

// Advance records that an entry counts in a window now. An entry that is seen at an
// earlier time than before is not newer.
func (t *Table) Advance(entry string, window uint64, seen time.Duration) {
	old, known := t.entries[entry]
	if !known && len(t.entries) >= maxEntries || known && old.seen > seen {
		return
	}
	t.entries[entry] = progress{window: window, seen: seen}
}

// Leave records that an entry has sent its last counts.
func (t *Table) Leave(entry string) { delete(t.entries, entry) }

// IsComplete reports whether all entries are past a window. It is false while no
// entry is known.
func (t *Table) IsComplete(window uint64) bool { return len(t.entries) > 0 && !t.Waits(window) }

// Waits reports whether an entry that is known is not past a window.
func (t *Table) Waits(window uint64) bool {
	for _, p := range t.entries {
		if p.window <= window {
			return true
		}
	}
	return false
}

// Sum returns the counts of a window by client account.
func (t *Table) Sum(window uint64) []*peer.AccountCount {
	sums := map[string]uint64{}
	for _, accounts := range t.windows[window] {
		for account, n := range accounts {
			sums[account] += n
		}
	}
	list := make([]*peer.AccountCount, 0, len(sums))
	for _, account := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, &peer.AccountCount{Account: account, Count: sums[account]})
	}
	return list
}

// Export returns the counts of some windows, and the progress of the entries.
func (t *Table) Export(windows []uint64, now time.Duration) *peer.UsageResponse {
	res := &peer.UsageResponse{}
	bySource := map[Source]*peer.UsageSource{}
	for _, window := range windows {
		for source, accounts := range t.windows[window] {
			s := bySource[source]
			if s == nil {
				s = &peer.UsageSource{Entry: source.Entry, Incarnation: source.Incarnation}
				bySource[source] = s
				res.Sources = append(res.Sources, s)
			}
			counts := &peer.UsageCounts{Window: window}
			for account, n := range accounts {
				counts.Counts = append(counts.Counts, &peer.AccountCount{Account: account, Count: n})
			}
			s.Windows = append(s.Windows, counts)
		}
	}
	for entry, p := range t.entries {
		res.Entries = append(res.Entries, &peer.UsageProgress{Entry: entry, Window: p.window, AgeMs: uint32((now - p.seen).Milliseconds())})
	}
	return res
}

// Import merges what another registrar has exported.
func (t *Table) Import(res *peer.UsageResponse, now time.Duration, first, last uint64) {
	for _, s := range res.Sources {
		t.Merge(Source{Entry: s.Entry, Incarnation: s.Incarnation}, s.Windows, first, last)
	}
	for _, e := range res.Entries {
		if age := time.Duration(e.AgeMs) * time.Millisecond; age <= entryMaxAge {
			t.Advance(e.Entry, e.Window, now-age)
		}
	}
}

// Forget removes the windows before one, and entries that have not called for long.
func (t *Table) Forget(before uint64, now time.Duration) {
	for window, sources := range t.windows {
		if window >= before {
			continue
		}
		for _, accounts := range sources {
			t.cells -= len(accounts)
		}
		delete(t.windows, window)
	}
	for entry, p := range t.entries {
		if now-p.seen > entryMaxAge {
			delete(t.entries, entry)
		}
	}
}

// Dropped returns the number of counts that were not kept: their window was over or
// far ahead, or the table was full.
func (t *Table) Dropped() uint64 { return t.dropped }
