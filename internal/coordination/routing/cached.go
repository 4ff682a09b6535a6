package routing

import (
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

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

// RecordCached records how many prompt tokens a backend server has reported as
// cached, for the process that was chosen. The service's experience corrects
// later estimates. If nothing was left of blocks that this entry had sent there,
// half of what the cache holds counts as evicted, so that a cache that was lost
// without a restart is forgotten after two such reports, and one late eviction
// is not taken for a loss.
func (v *View) RecordCached(c Choice, service string, cached uint64) {
	s := v.find(c)
	if s == nil {
		return
	}
	v.experience(service).Record(c.memory, c.knownTokens, float64(cached))
	if cached == 0 && c.CachedBytes > 0 {
		v.prefixes.clock[s.slot] += v.cacheCapacity(s) / 2
	}
}

func (v *View) experience(service string) *prefix.Experience {
	x := v.experiences[service]
	if x == nil {
		x = &prefix.Experience{}
		v.experiences[service] = x
	}
	return x
}
