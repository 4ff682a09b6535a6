package raft

import (
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// entryLog holds the entries after index base. The term of base is kept for the
// consistency check of the first entry.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*peer.LogEntry
}

// newEntryLog builds the log from a snapshot and the entries on disk. Entries
// that conflict with the snapshot are dropped: they were replaced by a received
// snapshot, and the process crashed between saving it and resetting the log.
func newEntryLog(snapshot SnapshotMeta, entries []*peer.LogEntry) entryLog {
	l := entryLog{base: snapshot.Index, baseTerm: snapshot.Term}
	if len(entries) == 0 {
		return l
	}
	first := entries[0].Index
	if first == snapshot.Index+1 {
		l.entries = entries
		return l
	}
	at := snapshot.Index - first
	if first > snapshot.Index || at >= uint64(len(entries)) || entries[at].Term != snapshot.Term {
		return l
	}
	return entryLog{base: first, baseTerm: entries[0].Term, entries: entries[1:]}
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) entry(index uint64) *peer.LogEntry { return l.entries[index-l.base-1] }

// slice returns the entries from..to, limited to a number of bytes but not to
// less than one entry.
func (l *entryLog) slice(from, to uint64, bytes int) []*peer.LogEntry {
	to = min(to, l.lastIndex())
	if from <= l.base || from > to {
		return nil
	}
	end := from
	for size := 0; end <= to; end++ {
		size += proto.Size(l.entry(end))
		if size > bytes && end > from {
			break
		}
	}
	return l.entries[from-l.base-1 : end-l.base-1 : end-l.base-1]
}

func (l *entryLog) append(entries ...*peer.LogEntry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on. It limits the capacity so that the
// next append copies the array, since slices returned before may still be in use.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base || index > l.lastIndex() {
		return
	}
	term, _ := l.term(index)
	rest := l.entries[index-l.base:]
	// Copied so that the removed entries can be garbage collected.
	l.entries = append(make([]*peer.LogEntry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, term
}

// isUpToDate reports whether a log that ends with (index, term) is at least as
// up to date as l, which is required for a vote.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.lastIndex()
}
