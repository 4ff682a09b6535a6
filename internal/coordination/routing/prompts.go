package routing

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// RecordPrompts records what other entries have sent to a backend server, as its
// agent tells with an answer. Prompts that the agent no longer knew count as
// arrivals of the same mean length, less this entry's own share of them.
func (v *View) RecordPrompts(c Choice, recent *peer.RecentPrompts) {
	s := v.find(c)
	if s == nil {
		return
	}
	s.sharesPrompts = true
	arrived := v.prefixes.clock[s.slot]
	for _, prompt := range recent.Prompts {
		var p Prefix
		p.n = copy(p.hashes[:], prompt.GetBlocks())
		var found [maxBlocks]*block
		v.prefixes.lookup(&p, &found)
		reused, _ := v.prefixes.cachedBlocks(&p, s.slot, &found, v.cacheCapacity(s))
		v.prefixes.record(&p, s.slot, reused)
	}
	if n := len(recent.Prompts); n > 0 && recent.Missed > 0 {
		mean := float64(v.prefixes.clock[s.slot]-arrived) / float64(n)
		missed := float64(recent.Missed) * (1 - 1/max(v.peers, 1)) * mean
		// Beyond this, the cache has been replaced in any case.
		v.prefixes.clock[s.slot] += uint32(min(missed, maxCacheBlocks))
	}
}
