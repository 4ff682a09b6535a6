package wal

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	segmentPrefix   = "log-"
	temporarySuffix = ".tmp"
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func (l *Log) segmentPath(sequence uint64) string {
	return filepath.Join(l.folder, segmentName(sequence))
}

// createSegment starts a segment. Its first record holds the current term and
// vote, so that earlier segments can be removed, and belongs to the next batch.
func (l *Log) createSegment(sequence uint64) error {
	path := l.segmentPath(sequence)
	f, err := l.disk.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: segment %s cannot be created", path)
	}
	if err := l.disk.SyncFolder(l.folder); err != nil {
		f.Close()
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.path, l.size = f, path, 0
	l.segments = append(l.segments, segment{sequence: sequence})
	l.staged = slices.Insert(l.staged, 0, stagedRecord{kind: recordHardState, hard: l.hard})
	return nil
}

func listSegments(folder string) ([]uint64, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "wal: folder %s cannot be read", folder)
	}
	var sequences []uint64
	for _, f := range files {
		name, ok := strings.CutPrefix(f.Name(), segmentPrefix)
		if !ok {
			continue
		}
		var sequence uint64
		if _, err := fmt.Sscanf(name, "%016x", &sequence); err != nil || len(name) != 16 {
			return nil, fault.New(fault.CorruptData, "wal: invalid segment name %s", f.Name())
		}
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences, nil
}

// replay reads all segments into the state and opens the last one for
// appending.
func (l *Log) replay(state *State) error {
	sequences, err := listSegments(l.folder)
	if err != nil {
		return err
	}
	if len(sequences) == 0 {
		return fault.New(fault.CorruptData, "wal: folder %s has an identity but no log segment", l.folder)
	}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return fault.New(fault.CorruptData, "wal: segments are missing: segment %d follows segment %d", sequence, sequences[i-1])
		}
		if err := l.replaySegment(state, sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) replaySegment(state *State, sequence uint64, last bool) error {
	path := l.segmentPath(sequence)
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: segment %s cannot be read", path)
	}
	records, size, err := decodeBatches(data, l.batch)
	if err != nil {
		return fault.Wrap(err, fault.CorruptData, "wal: segment %s is damaged", path)
	}
	torn := int64(len(data) - size)
	if torn > 0 && !last {
		return fault.New(fault.CorruptData, "wal: segment %s is damaged at byte %d and is not the last one", path, size)
	}
	current := segment{sequence: sequence}
	for _, r := range records {
		index, err := state.apply(r)
		if err != nil {
			return err
		}
		current.maxIndex = max(current.maxIndex, index)
		l.batch = r.batch
	}
	l.segments = append(l.segments, current)
	if !last {
		return nil
	}
	state.TornBytes = torn
	l.hard = state.Hard
	if err := l.makeDurable(path, data[:size], lastBatchBytes(records), torn > 0); err != nil {
		return err
	}
	return l.reopen(path, int64(size))
}

// lastBatchBytes returns the size of the last batch of records.
func lastBatchBytes(records []record) (size int) {
	for i := len(records) - 1; i >= 0 && records[i].batch == records[len(records)-1].batch; i-- {
		size += recordHeaderBytes + len(records[i].payload)
	}
	return size
}

// makeDurable makes the last segment durable as it was read, and cuts off what follows
// its last complete batch. The process may have ended, or the sync may have failed,
// after that batch was written; it is written again, since the kernel takes pages for
// clean once their sync has failed.
func (l *Log) makeDurable(path string, data []byte, lastBatch int, isTorn bool) error {
	f, err := l.disk.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: segment %s cannot be opened", path)
	}
	defer f.Close()
	if isTorn {
		if err := f.Truncate(int64(len(data))); err != nil {
			return fault.Wrap(err, fault.Internal, "wal: segment %s cannot be truncated", path)
		}
	}
	begin := len(data) - lastBatch
	if _, err := f.WriteAt(data[begin:], int64(begin)); err != nil {
		return fault.Wrap(err, fault.Internal, "wal: the last batch of %s cannot be written again", path)
	}
	if err := f.Sync(); err != nil {
		return fault.Wrap(err, fault.Internal, "wal: segment %s cannot be synced", path)
	}
	return l.disk.SyncFolder(l.folder)
}

// reopen opens a segment for appending.
func (l *Log) reopen(path string, size int64) error {
	f, err := l.disk.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: segment %s cannot be opened", path)
	}
	l.file, l.path, l.size = f, path, size
	if size == 0 {
		l.staged = append(l.staged, stagedRecord{kind: recordHardState, hard: l.hard})
	}
	return nil
}

// apply adds one record to the state. It returns the index of an entry, and 0
// for other records.
func (s *State) apply(r record) (index uint64, err error) {
	switch r.kind {
	case recordHardState:
		s.Hard, err = decodeHardState(r.payload)
		return 0, err
	case recordReset:
		if len(r.payload) != 8 {
			return 0, fault.New(fault.CorruptData, "wal: reset record has %d bytes, want 8", len(r.payload))
		}
		s.Entries, s.reset = nil, binary.LittleEndian.Uint64(r.payload)
		return 0, nil
	case recordEntry:
		e, err := decodeEntry(r.payload)
		if err != nil {
			return 0, err
		}
		if n := len(s.Entries); n > 0 {
			first := s.Entries[0].Index
			if e.Index > first+uint64(n) {
				return 0, fault.New(fault.CorruptData, "wal: entries are missing: entry %d follows entry %d", e.Index, first+uint64(n)-1)
			}
			if e.Index < first {
				s.Entries = nil
			} else {
				s.Entries = s.Entries[:e.Index-first]
			}
		}
		s.Entries = append(s.Entries, e)
		return e.Index, nil
	}
	return 0, fault.New(fault.CorruptData, "wal: record of unknown kind %d", r.kind)
}
