package ledger

import (
	"encoding/binary"
	"math"
)

// id is a truncated SHA-256 over client account, service and key.
type id [16]byte

// record is the stored state of a key. It has a fixed size and no pointers, so
// that the garbage collector does not scan millions of them.
type record struct {
	id      id
	digest  uint64 // first 8 bytes of the SHA-256 of the request
	attempt uint64 // hash of the current or last attempt
	time    uint32 // ledger's time of the last change, in seconds
	number  uint16 // number of the current or last attempt, for reports
	state   state
}

const (
	recordBytes     = 39 // encoded size of a record
	recordsPerChunk = 4096
	// indexGrowNum / indexGrowDen is the load factor above which the index
	// doubles.
	indexGrowNum, indexGrowDen = 4, 5
	minIndexSlots              = 1024
)

// table holds records in the order in which they were appended, with an index
// by id. Records are removed at the head only. A record that is replaced before
// is marked as free and removed when it reaches the head.
type table struct {
	chunks [][]record
	first  uint32   // position of the first record of chunks[0]
	head   uint32   // position of the oldest record
	tail   uint32   // position after the newest record
	index  []uint32 // position+1 of a record; 0 means empty
	used   int      // index slots that are not empty
}

// at returns the record at a position. Positions wrap at 2^32, which is safe
// as fewer records than that are stored at a time.
func (t *table) at(pos uint32) *record {
	offset := pos - t.first
	return &t.chunks[offset/recordsPerChunk][offset%recordsPerChunk]
}

func (t *table) len() int { return int(t.tail - t.head) }

// find returns the position of a record.
func (t *table) find(key id) (uint32, bool) {
	slot, ok := t.findSlot(key)
	if !ok {
		return 0, false
	}
	return t.index[slot] - 1, true
}

// append adds a record at the tail and indexes it. It frees an earlier record
// of the same id.
func (t *table) append(r record) *record {
	if t.tail-t.first == uint32(len(t.chunks)*recordsPerChunk) {
		t.chunks = append(t.chunks, make([]record, recordsPerChunk))
	}
	pos := t.tail
	t.tail++
	if pos == math.MaxUint32 {
		// The index stores position+1, and 0 means empty.
		t.at(pos).state = free
		return t.append(r)
	}
	*t.at(pos) = r
	if slot, ok := t.findSlot(r.id); ok {
		t.at(t.index[slot] - 1).state = free
		t.index[slot] = pos + 1
		return t.at(pos)
	}
	if (t.used+1)*indexGrowDen > len(t.index)*indexGrowNum {
		t.resize(max(minIndexSlots, 2*len(t.index)))
	}
	t.insert(r.id, pos)
	return t.at(pos)
}

// dropHead removes the oldest record.
func (t *table) dropHead() {
	r := t.at(t.head)
	if r.state != free {
		t.remove(r.id)
	}
	t.head++
	for t.head-t.first >= recordsPerChunk {
		t.chunks[0] = nil
		t.chunks = t.chunks[1:]
		t.first += recordsPerChunk
	}
}

// homeSlot returns the index slot at which the search for an id starts. An id is
// a hash, so it is not hashed again.
func (t *table) homeSlot(key id) int {
	return int(binary.LittleEndian.Uint64(key[:8]) & uint64(len(t.index)-1))
}

func (t *table) findSlot(key id) (int, bool) {
	if len(t.index) == 0 {
		return 0, false
	}
	mask := len(t.index) - 1
	for i := t.homeSlot(key); t.index[i] != 0; i = (i + 1) & mask {
		if t.at(t.index[i]-1).id == key {
			return i, true
		}
	}
	return 0, false
}

func (t *table) insert(key id, pos uint32) {
	mask := len(t.index) - 1
	i := t.homeSlot(key)
	for t.index[i] != 0 {
		i = (i + 1) & mask
	}
	t.index[i] = pos + 1
	t.used++
}

// remove removes an id from the index and shifts later ids back into the gap, so
// that searches need no markers for removed ids.
func (t *table) remove(key id) {
	gap, ok := t.findSlot(key)
	if !ok {
		return
	}
	mask := len(t.index) - 1
	for i := (gap + 1) & mask; t.index[i] != 0; i = (i + 1) & mask {
		home := t.homeSlot(t.at(t.index[i] - 1).id)
		if (i-home)&mask >= (i-gap)&mask {
			t.index[gap] = t.index[i]
			gap = i
		}
	}
	t.index[gap] = 0
	t.used--
	if len(t.index) > minIndexSlots && t.used*8 < len(t.index) {
		t.resize(len(t.index) / 2)
	}
}

func (t *table) resize(size int) {
	old := t.index
	t.index, t.used = make([]uint32, size), 0
	for _, p := range old {
		if p != 0 {
			t.insert(t.at(p-1).id, p-1)
		}
	}
}

func (r *record) appendTo(b []byte) []byte {
	b = append(b, r.id[:]...)
	b = binary.LittleEndian.AppendUint64(b, r.digest)
	b = binary.LittleEndian.AppendUint64(b, r.attempt)
	b = binary.LittleEndian.AppendUint32(b, r.time)
	b = binary.LittleEndian.AppendUint16(b, r.number)
	return append(b, byte(r.state))
}

func decodeRecord(b []byte) record {
	return record{
		id:      id(b[:16]),
		digest:  binary.LittleEndian.Uint64(b[16:]),
		attempt: binary.LittleEndian.Uint64(b[24:]),
		time:    binary.LittleEndian.Uint32(b[32:]),
		number:  binary.LittleEndian.Uint16(b[36:]),
		state:   state(b[38]),
	}
}
