package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
)

const (
	// BlockBytes is the length of a prefix block, about 64 tokens of text.
	BlockBytes = 256
	// maxBlocks is the maximum number of blocks of a prompt that are hashed; the
	// rest of a longer prompt is ignored.
	maxBlocks = 64
	// tableSets and ways are the size of the prefix table: 16,384 sets of 4 blocks.
	tableSets = 1 << 14
	ways      = 4
	// maxHolders is the number of backend servers recorded per block.
	maxHolders = 4
	// maxCacheBlocks is the maximum expected cache size of a backend server.
	maxCacheBlocks = 1 << 20
)

// Prefix is the chain of block hashes of a prompt: each one covers the prompt
// up to the end of its block.
type Prefix struct {
	hashes [maxBlocks]uint64
	n      int
	bytes  int
}

// NewPrefix hashes a prompt of a service.
func NewPrefix(service string, prompt []byte) Prefix {
	p := Prefix{bytes: len(prompt)}
	last := hashText(service)
	var buf [8]byte
	d := xxhash.New()
	for len(prompt) >= BlockBytes && p.n < maxBlocks {
		binary.LittleEndian.PutUint64(buf[:], last)
		d.Reset()
		d.Write(buf[:])
		d.Write(prompt[:BlockBytes])
		last = d.Sum64()
		p.hashes[p.n] = last
		p.n++
		prompt = prompt[BlockBytes:]
	}
	return p
}

// Blocks returns the number of complete blocks, at most maxBlocks.
func (p *Prefix) Blocks() int { return p.n }

// Hashes returns the hashes of the complete blocks.
func (p *Prefix) Hashes() []uint64 { return p.hashes[:p.n] }

func hashText(s string) uint64 { return xxhash.Sum64String(s) }

// mix spreads a hash over all bits (the finalizer of a 64-bit multiply-shift
// hash), so that one prompt ranks the backend servers independently.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// prefixTable records which backend servers were sent a block recently. Its size
// is fixed: a full set evicts its least recently used block.
type prefixTable struct {
	sets [][ways]block
	// clock counts the blocks sent to each backend server, by slot. A block is
	// assumed to be evicted from the cache once more later blocks were sent than
	// the cache holds.
	clock []uint32
	tick  uint32
}

type block struct {
	hash     uint64
	lastUsed uint32
	holders  [maxHolders]holder
}

type holder struct {
	slot  int32 // plus 1; 0 is none
	clock uint32
}

func newPrefixTable() *prefixTable {
	return &prefixTable{sets: make([][ways]block, tableSets)}
}

func (t *prefixTable) grow(slot int32) {
	for len(t.clock) <= int(slot) {
		t.clock = append(t.clock, 0)
	}
}

// invalidate makes the entries of a slot older than any cache can hold, because
// another backend server uses the slot now.
func (t *prefixTable) invalidate(slot int32) {
	t.grow(slot)
	t.clock[slot] += maxCacheBlocks + 1
}

func (t *prefixTable) find(hash uint64) *block {
	set := &t.sets[hash%tableSets]
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// cachedBlocks returns the number of leading blocks of p that the slot probably
// holds in its cache, and the expected number.
func (t *prefixTable) cachedBlocks(p *Prefix, slot int32, found *[maxBlocks]*block, capacity uint32) (n int, expected float64) {
	t.grow(slot)
	held := 1.0
	for i := 0; i < p.n && found[i] != nil; i++ {
		// A block is of use only if all blocks before it are held too.
		if held = min(held, t.holds(found[i], slot, capacity)); held == 0 {
			break
		}
		if held >= 0.5 {
			n++
		}
		expected += held
	}
	return n, expected
}

// holds returns the probability that a slot holds a block.
func (t *prefixTable) holds(b *block, slot int32, capacity uint32) float64 {
	for _, h := range b.holders {
		if h.slot == slot+1 {
			return prefix.Probability(float64(t.clock[slot]-h.clock), float64(capacity), 0, 0)
		}
	}
	return 0
}

// lookup finds the leading blocks of p that are in the table and returns their
// number.
func (t *prefixTable) lookup(p *Prefix, found *[maxBlocks]*block) int {
	for i := range p.n {
		if found[i] = t.find(p.hashes[i]); found[i] == nil {
			return i
		}
	}
	return p.n
}

// record records that p was sent to a slot that had reused blocks of it in its
// cache.
func (t *prefixTable) record(p *Prefix, slot int32, reused int) {
	t.grow(slot)
	t.tick++
	t.clock[slot] += uint32(max(p.n-reused, 0))
	for i := range p.n {
		t.insert(p.hashes[i], slot)
	}
}

func (t *prefixTable) insert(hash uint64, slot int32) {
	set := &t.sets[hash%tableSets]
	victim := &set[0]
	for i := range set {
		b := &set[i]
		if b.hash == hash {
			victim = b
			break
		}
		if t.tick-b.lastUsed > t.tick-victim.lastUsed || b.hash == 0 && victim.hash != 0 {
			victim = b
		}
	}
	if victim.hash != hash {
		*victim = block{hash: hash}
	}
	victim.lastUsed = t.tick
	oldest := 0
	for i, h := range victim.holders {
		if h.slot == slot+1 || h.slot == 0 {
			oldest = i
			break
		}
		o := victim.holders[oldest]
		if t.clock[h.slot-1]-h.clock > t.clock[o.slot-1]-o.clock {
			oldest = i
		}
	}
	victim.holders[oldest] = holder{slot: slot + 1, clock: t.clock[slot]}
}
