package standin

import "github.com/cespare/xxhash/v2"

// prefixBytes is the length of a cached prompt block.
const prefixBytes = 256

// prefixCache holds blocks of prompts. The key of a block is the hash of the
// prompt up to the end of the block. The oldest blocks are evicted first.
type prefixCache struct {
	limit  uint64
	blocks map[uint64]uint64 // tokens of a block
	order  []uint64
	tokens uint64
}

func newPrefixCache(limit uint64) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]uint64{}}
}

// match returns the number of tokens of a prompt that are in the cache.
func (p *prefixCache) match(prompt string, tokens uint64) uint64 {
	var found uint64
	for end := prefixBytes; end <= len(prompt); end += prefixBytes {
		n, ok := p.blocks[xxhash.Sum64String(prompt[:end])]
		if !ok {
			break
		}
		found += n
	}
	return min(found, tokens)
}

// add puts the complete blocks of a prompt into the cache and evicts blocks that
// exceed the limit.
func (p *prefixCache) add(prompt string, tokens uint64) {
	if len(prompt) == 0 {
		return
	}
	size := max(1, tokens*prefixBytes/uint64(len(prompt)))
	for end := prefixBytes; end <= len(prompt); end += prefixBytes {
		hash := xxhash.Sum64String(prompt[:end])
		if _, ok := p.blocks[hash]; ok {
			continue
		}
		p.blocks[hash] = size
		p.order = append(p.order, hash)
		p.tokens += size
	}
	for p.tokens > p.limit && len(p.order) > 0 {
		p.tokens -= p.blocks[p.order[0]]
		delete(p.blocks, p.order[0])
		p.order = p.order[1:]
	}
}
