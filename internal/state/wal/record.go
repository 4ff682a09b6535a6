package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// A record is: magic (4 bytes), CRC-32C of the rest (4), length of the payload
// (4), batch number (8), kind (1), 1 if it is the last of its batch (1), and
// the payload. Numbers are little endian.
const (
	recordHeaderBytes = 4 + 4 + 4 + 8 + 1 + 1
	crcOffset         = 4
	bodyOffset        = 8
	maxRecordBytes    = 64 << 20
)

type recordKind uint8

const (
	recordHardState recordKind = 1
	recordEntry     recordKind = 2
	recordReset     recordKind = 3
)

type record struct {
	kind    recordKind
	batch   uint64
	last    bool
	payload []byte
}

func recordMagic() []byte { return []byte{0x9e, 'o', 'r', 0xc5} }

func crc32c(data []byte) uint32 { return crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)) }

// beginRecord appends a record header. The caller appends the payload and calls
// finishRecord, which fills in the length and the checksum.
func beginRecord(out []byte, kind recordKind, batch uint64, isLast bool) []byte {
	out = append(out, recordMagic()...)
	out = append(out, make([]byte, 8)...)
	out = binary.LittleEndian.AppendUint64(out, batch)
	last := byte(0)
	if isLast {
		last = 1
	}
	return append(out, byte(kind), last)
}

func finishRecord(out []byte, start int) {
	binary.LittleEndian.PutUint32(out[start+bodyOffset:], uint32(len(out)-start-recordHeaderBytes))
	binary.LittleEndian.PutUint32(out[start+crcOffset:], crc32c(out[start+bodyOffset:]))
}

// readRecord decodes the record at the start of data and returns its size. It
// returns false if there is no complete and undamaged record.
func readRecord(data []byte) (record, int, bool) {
	if len(data) < recordHeaderBytes || !bytes.Equal(data[:crcOffset], recordMagic()) {
		return record{}, 0, false
	}
	length := binary.LittleEndian.Uint32(data[bodyOffset:])
	if length > maxRecordBytes || int(length) > len(data)-recordHeaderBytes {
		return record{}, 0, false
	}
	size := recordHeaderBytes + int(length)
	if crc32c(data[bodyOffset:size]) != binary.LittleEndian.Uint32(data[crcOffset:]) {
		return record{}, 0, false
	}
	return record{
		batch:   binary.LittleEndian.Uint64(data[12:]),
		kind:    recordKind(data[20]),
		last:    data[21] == 1,
		payload: data[recordHeaderBytes:size:size],
	}, size, true
}

// decodeBatches returns the records of all complete batches of a segment and the
// size in bytes up to the end of the last one. The first batch must have the
// number previous+1; a previous of 0 accepts any number. The rest of the segment
// must be a batch that was cut short by a crash: if it contains an undamaged
// record of a later batch, the damage has another cause and the error is
// corrupt_data.
func decodeBatches(data []byte, previous uint64) (records []record, size int, err error) {
	completeRecords, offset := 0, 0
	for {
		r, n, ok := readRecord(data[offset:])
		if !ok {
			break
		}
		startsBatch := len(records) == completeRecords
		switch {
		case startsBatch && previous != 0 && r.batch != previous+1, !startsBatch && r.batch != records[len(records)-1].batch:
			return nil, 0, fault.New(fault.CorruptData, "wal: batch %d follows batch %d at byte %d", r.batch, previous, offset)
		}
		records = append(records, r)
		offset += n
		if r.last {
			completeRecords, size, previous = len(records), offset, r.batch
		}
	}
	if len(records) > completeRecords {
		previous = records[completeRecords].batch - 1
	}
	if distance, batch, found := findLaterBatch(data[offset:], previous+1); found {
		return nil, 0, fault.New(fault.CorruptData,
			"wal: damaged record at byte %d is followed by an undamaged record of batch %d at byte %d", offset, batch, offset+distance)
	}
	return records[:completeRecords], size, nil
}

// findLaterBatch returns the position and the batch number of the first
// undamaged record of a batch after the given one.
func findLaterBatch(data []byte, batch uint64) (offset int, later uint64, ok bool) {
	for offset < len(data) {
		next := bytes.Index(data[offset:], recordMagic())
		if next < 0 {
			return 0, 0, false
		}
		offset += next
		if r, _, valid := readRecord(data[offset:]); valid && r.batch > batch {
			return offset, r.batch, true
		}
		offset++
	}
	return 0, 0, false
}

func appendHardState(out []byte, h HardState) []byte {
	out = binary.LittleEndian.AppendUint64(out, h.Term)
	return binary.LittleEndian.AppendUint64(out, h.Vote)
}

func decodeHardState(payload []byte) (HardState, error) {
	if len(payload) != 16 {
		return HardState{}, fault.New(fault.CorruptData, "wal: record of term and vote has %d bytes, want 16", len(payload))
	}
	return HardState{
		Term: binary.LittleEndian.Uint64(payload),
		Vote: binary.LittleEndian.Uint64(payload[8:]),
	}, nil
}

func marshalEntry(out []byte, e *peer.LogEntry) ([]byte, error) {
	out, err := proto.MarshalOptions{}.MarshalAppend(out, e)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "wal: entry %d cannot be encoded", e.Index)
	}
	return out, nil
}

func decodeEntry(payload []byte) (*peer.LogEntry, error) {
	e := &peer.LogEntry{}
	if err := proto.Unmarshal(payload, e); err != nil {
		return nil, fault.Wrap(err, fault.CorruptData, "wal: entry cannot be decoded")
	}
	if e.Index == 0 || e.Term == 0 {
		return nil, fault.New(fault.CorruptData, "wal: entry has index %d and term %d, both must be positive", e.Index, e.Term)
	}
	return e, nil
}
