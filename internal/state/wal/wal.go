/*
Package wal keeps a replica's term, vote, log entries and snapshots on disk.

# Concept

A data folder holds an identity (cluster, replica id and the random number of
the folder), log segments and one snapshot. Appended records become durable
with the next [Log.Sync]. It writes all records since the last Sync as one
batch with one write and one sync. A batch is atomic: after a crash, either all
of its records are in the log or none.

Each record has a CRC-32C. A batch that was cut short by a crash can only be
the last one, and [Open] truncates it. A damaged record that is followed by a
later batch had been synced, so acknowledged state is lost and Open returns a
corrupt_data fault. It returns a foreign_data fault for a folder of another
cluster or replica, and a conflict fault if another process uses the folder. What Open
returns is durable, whether or not it was when the process that wrote it ended.

# Use

	log, state, err := wal.Open(folder, wal.Options{Cluster: "maghreb", ID: 1})
	log.Append(&wal.HardState{Term: 2, Vote: 1}, entries)
	err = log.Sync()

After a failed sync the content of the disk is unknown, so every later Sync
fails as well. [Log.SaveSnapshot] may run concurrently with the other methods,
which must be called from one goroutine.
*/
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"os"
	"path/filepath"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// DefaultSegmentBytes is the size after which a new segment is started. Disk
// space is freed by removing complete segments.
const DefaultSegmentBytes = 8 << 20

// HardState is a replica's term and its vote in that term.
type HardState struct {
	Term, Vote uint64
}

// Options hold the identity of a data folder, its limits, the source of
// randomness and the disk. SegmentBytes, Random and Disk may be zero.
type Options struct {
	Cluster      string
	ID           uint64
	SegmentBytes int64
	Random       io.Reader // source of the folder's random number; crypto/rand by default
	Disk         Disk      // HostDisk by default
}

// State is the content of a data folder when it is opened.
type State struct {
	Folder   uint64 // random number, chosen when the folder was created
	Created  bool   // the folder had no identity and got one
	Hard     HardState
	Entries  []*peer.LogEntry // in order, without gaps
	Snapshot *Snapshot        // nil if there is none
	// TornBytes is the size of an incomplete last batch that was dropped.
	TornBytes int64

	reset uint64 // index of the snapshot that replaced the log
}

// Log is an open data folder.
type Log struct {
	folder   string
	options  Options
	lock     *os.File
	disk     Disk
	file     File // the open segment
	path     string
	size     int64
	segments []segment // the last one is open
	hard     HardState
	batch    uint64 // number of the last batch
	buffer   []byte // encoded batch
	staged   []stagedRecord
	err      error
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	maxIndex uint64 // highest index of an entry in it
}

// stagedRecord is a record of the next batch. It is encoded when the batch is
// written.
type stagedRecord struct {
	kind  recordKind
	hard  HardState
	entry *peer.LogEntry
	reset uint64
}

// Open opens or creates a data folder and reads its state.
func Open(folder string, options Options) (*Log, *State, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if options.Random == nil {
		options.Random = rand.Reader
	}
	if options.Disk == nil {
		options.Disk = HostDisk{}
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, fault.Wrap(err, fault.BadSettings, "wal: data folder %s cannot be created", folder)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{folder: folder, options: options, lock: lock, disk: options.Disk}
	state, err := l.open()
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, state, nil
}

func (l *Log) open() (*State, error) {
	state := &State{}
	id, created, err := l.openIdentity()
	if err != nil {
		return nil, err
	}
	state.Folder, state.Created = id.Folder, created
	if err := removeTemporaryFiles(l.disk, l.folder); err != nil {
		return nil, err
	}
	if state.Snapshot, err = loadSnapshot(l.folder); err != nil {
		return nil, err
	}
	if err := l.replay(state); err != nil {
		return nil, err
	}
	if err := l.reconcile(state); err != nil {
		return nil, err
	}
	l.hard = state.Hard
	return state, nil
}

// reconcile checks that the log continues the snapshot. It discards a log that
// ends before the snapshot or has another term at the snapshot's index: the
// snapshot replaced that log, and the process crashed between SaveSnapshot and
// the Sync of the Reset.
func (l *Log) reconcile(state *State) error {
	var snapshot Snapshot
	if state.Snapshot != nil {
		snapshot = *state.Snapshot
	}
	if state.reset > snapshot.Index {
		return fault.New(fault.CorruptData, "wal: the log was replaced by snapshot %d, but the newest snapshot is %d", state.reset, snapshot.Index)
	}
	if len(state.Entries) == 0 {
		return nil
	}
	first := state.Entries[0].Index
	if first > snapshot.Index+1 {
		return fault.New(fault.CorruptData, "wal: the log begins at entry %d but the snapshot ends at entry %d", first, snapshot.Index)
	}
	if first == snapshot.Index+1 {
		return nil
	}
	offset := snapshot.Index - first
	if offset >= uint64(len(state.Entries)) || state.Entries[offset].Term != snapshot.Term {
		state.Entries = nil
		l.Reset(snapshot.Index)
	}
	return nil
}

// Append adds the term and vote, if not nil, and entries to the next batch.
// An entry whose index is not the next one replaces the log from that index on.
func (l *Log) Append(hard *HardState, entries []*peer.LogEntry) {
	if hard != nil {
		l.hard = *hard
		l.staged = append(l.staged, stagedRecord{kind: recordHardState, hard: *hard})
	}
	for _, e := range entries {
		l.staged = append(l.staged, stagedRecord{kind: recordEntry, entry: e})
	}
}

// Reset adds to the next batch a record that discards the log on disk. The
// snapshot at the index replaces the log and must already be saved.
func (l *Log) Reset(index uint64) {
	l.staged = append(l.staged, stagedRecord{kind: recordReset, reset: index})
}

// Sync writes everything appended since the last call as one batch and syncs
// it. After an error every later call fails.
func (l *Log) Sync() error {
	if l.err != nil || len(l.staged) == 0 {
		return l.err
	}
	if l.size >= l.options.SegmentBytes {
		if l.err = l.createSegment(l.segments[len(l.segments)-1].sequence + 1); l.err != nil {
			return l.err
		}
	}
	l.err = l.writeBatch()
	return l.err
}

func (l *Log) writeBatch() error {
	l.batch++
	l.buffer = l.buffer[:0]
	current := &l.segments[len(l.segments)-1]
	for i, s := range l.staged {
		start := len(l.buffer)
		l.buffer = beginRecord(l.buffer, s.kind, l.batch, i == len(l.staged)-1)
		switch s.kind {
		case recordHardState:
			l.buffer = appendHardState(l.buffer, s.hard)
		case recordReset:
			l.buffer = binary.LittleEndian.AppendUint64(l.buffer, s.reset)
		case recordEntry:
			var err error
			if l.buffer, err = marshalEntry(l.buffer, s.entry); err != nil {
				return err
			}
			current.maxIndex = max(current.maxIndex, s.entry.Index)
		}
		finishRecord(l.buffer, start)
	}
	clear(l.staged)
	l.staged = l.staged[:0]
	n, err := l.file.Write(l.buffer)
	l.size += int64(n)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: write to %s failed", l.path)
	}
	if err := l.file.Sync(); err != nil {
		return fault.Wrap(err, fault.Internal, "wal: sync of %s failed", l.path)
	}
	if cap(l.buffer) > maxRetainedBuffer {
		l.buffer = nil
	}
	return nil
}

// maxRetainedBuffer is the largest write buffer in bytes that is retained for
// the next batch.
const maxRetainedBuffer = 1 << 20

// Compact removes the segments whose entries are all at or below an index
// that a saved snapshot covers.
func (l *Log) Compact(index uint64) error {
	removed := 0
	for len(l.segments)-removed > 1 && l.segments[removed].maxIndex <= index {
		if err := l.disk.Remove(l.segmentPath(l.segments[removed].sequence)); err != nil {
			return fault.Wrap(err, fault.Internal, "wal: a segment cannot be removed")
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.segments = append([]segment(nil), l.segments[removed:]...)
	return l.disk.SyncFolder(l.folder)
}

// Close closes the log and releases the lock of the folder. Appended records
// that were not synced are lost.
func (l *Log) Close() error {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	if l.err == nil {
		l.err = fault.New(fault.Internal, "wal: the log is closed")
	}
	return l.lock.Close()
}

// writeFile writes a file under a temporary name, syncs it, renames it and
// syncs the folder, so that the name always refers to a complete file.
func writeFile(disk Disk, folder, name string, parts ...[]byte) error {
	path := filepath.Join(folder, name)
	f, err := disk.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: %s cannot be created", path)
	}
	for _, part := range parts {
		if _, err = f.Write(part); err != nil {
			break
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = disk.Rename(path+temporarySuffix, path)
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: %s cannot be written", path)
	}
	return disk.SyncFolder(folder)
}
