package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// A snapshot file is: magic (8 bytes), length of the header (4), CRC-32C of
// the header (4), the header as a peer.SnapshotChunk without data, length of
// the data (8), CRC-32C of the data (4), the data.
const (
	snapshotPrefix          = "snapshot-"
	snapshotMagic           = "olrsnap1"
	snapshotFixedBytes      = len(snapshotMagic) + 4 + 4
	snapshotDataHeaderBytes = 8 + 4
)

// Snapshot is the state of the state machine after the entry at Index, whose
// term is Term.
type Snapshot struct {
	Index, Term uint64
	Members     []*peer.Member
	Data        []byte
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// SaveSnapshot makes a snapshot durable and removes older ones. It may run
// concurrently with the other methods.
func (l *Log) SaveSnapshot(s *Snapshot) error {
	head, dataHeader, err := encodeSnapshotHeaders(s)
	if err != nil {
		return err
	}
	if err := writeFile(l.disk, l.folder, snapshotName(s.Index), head, dataHeader, s.Data); err != nil {
		return err
	}
	names, err := listSnapshots(l.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name < snapshotName(s.Index) {
			if err := l.disk.Remove(filepath.Join(l.folder, name)); err != nil {
				return fault.Wrap(err, fault.Internal, "wal: %s cannot be removed", name)
			}
		}
	}
	return nil
}

// ReadSnapshot returns up to length bytes, starting at offset, of the data of
// the snapshot at an index, and the total size of the data. It does not verify
// the checksum: a receiver verifies that of the complete data. The error is an
// Unavailable fault if the snapshot cannot be opened.
func (l *Log) ReadSnapshot(index, offset uint64, length int) (data []byte, total uint64, err error) {
	path := filepath.Join(l.folder, snapshotName(index))
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, fault.Wrap(err, fault.Unavailable, "wal: snapshot %d cannot be opened", index)
	}
	defer f.Close()
	var fixed [snapshotFixedBytes]byte
	if _, err := f.ReadAt(fixed[:], 0); err != nil {
		return nil, 0, fault.Wrap(err, fault.CorruptData, "wal: snapshot %s cannot be read", path)
	}
	start := int64(snapshotFixedBytes) + int64(binary.LittleEndian.Uint32(fixed[len(snapshotMagic):]))
	var dataHeader [snapshotDataHeaderBytes]byte
	if _, err := f.ReadAt(dataHeader[:], start); err != nil {
		return nil, 0, fault.Wrap(err, fault.CorruptData, "wal: snapshot %s cannot be read", path)
	}
	total = binary.LittleEndian.Uint64(dataHeader[:])
	if offset >= total {
		return nil, total, nil
	}
	data = make([]byte, min(uint64(length), total-offset))
	if _, err := f.ReadAt(data, start+snapshotDataHeaderBytes+int64(offset)); err != nil {
		return nil, 0, fault.Wrap(err, fault.CorruptData, "wal: snapshot %s cannot be read", path)
	}
	return data, total, nil
}

// encodeSnapshotHeaders returns the parts of a snapshot file that precede the
// data: head is everything up to the end of the header, dataHeader the length and
// the checksum of the data.
func encodeSnapshotHeaders(s *Snapshot) (head, dataHeader []byte, err error) {
	header, err := proto.Marshal(&peer.SnapshotChunk{
		LastIndex: s.Index, LastTerm: s.Term, Members: &peer.Members{Members: s.Members},
	})
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Internal, "wal: snapshot header cannot be encoded")
	}
	head = append(head, snapshotMagic...)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(header)))
	head = binary.LittleEndian.AppendUint32(head, crc32c(header))
	head = append(head, header...)
	dataHeader = binary.LittleEndian.AppendUint64(dataHeader, uint64(len(s.Data)))
	dataHeader = binary.LittleEndian.AppendUint32(dataHeader, crc32c(s.Data))
	return head, dataHeader, nil
}

func decodeSnapshot(data []byte) (*Snapshot, error) {
	corrupt := func(part string) (*Snapshot, error) {
		return nil, fault.New(fault.CorruptData, "wal: snapshot has a damaged %s", part)
	}
	if len(data) < snapshotFixedBytes || !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		return corrupt("beginning")
	}
	length := uint64(binary.LittleEndian.Uint32(data[len(snapshotMagic):]))
	sum := binary.LittleEndian.Uint32(data[len(snapshotMagic)+4:])
	rest := data[snapshotFixedBytes:]
	if length > uint64(len(rest)) || crc32c(rest[:length]) != sum {
		return corrupt("header")
	}
	var header peer.SnapshotChunk
	if err := proto.Unmarshal(rest[:length], &header); err != nil || header.LastIndex == 0 {
		return corrupt("header")
	}
	rest = rest[length:]
	if len(rest) < snapshotDataHeaderBytes {
		return corrupt("length")
	}
	body := rest[snapshotDataHeaderBytes:]
	if binary.LittleEndian.Uint64(rest) != uint64(len(body)) || crc32c(body) != binary.LittleEndian.Uint32(rest[8:]) {
		return corrupt("body")
	}
	return &Snapshot{
		Index: header.LastIndex, Term: header.LastTerm, Members: header.Members.GetMembers(), Data: body,
	}, nil
}

func listSnapshots(folder string) ([]string, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "wal: folder %s cannot be read", folder)
	}
	var names []string
	for _, f := range files {
		if strings.HasPrefix(f.Name(), snapshotPrefix) && !strings.HasSuffix(f.Name(), temporarySuffix) {
			names = append(names, f.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// loadSnapshot reads the newest snapshot. Its file was complete before it was
// renamed, so damage does not come from a crash. An older snapshot cannot
// replace it, because the log between the two may have been removed.
func loadSnapshot(folder string) (*Snapshot, error) {
	names, err := listSnapshots(folder)
	if err != nil || len(names) == 0 {
		return nil, err
	}
	newest := names[len(names)-1]
	data, err := os.ReadFile(filepath.Join(folder, newest))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "wal: %s cannot be read", newest)
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if snapshotName(s.Index) != newest {
		return nil, fault.New(fault.CorruptData, "wal: %s holds the snapshot of entry %d", newest, s.Index)
	}
	return s, nil
}
