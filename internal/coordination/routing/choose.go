package routing

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Weights turn what is known of a candidate into expected seconds to the first
// token.
type Weights struct {
	// BytesPerToken is the length of a token of text.
	BytesPerToken float64
	// PrefillSeconds is the time to read one prompt token that is not cached.
	PrefillSeconds float64
	// QueueSeconds is the delay at full load; it grows with the square of the
	// share in use.
	QueueSeconds float64
	// DomainSeconds is added outside the own failure domain, and five times
	// outside the region.
	DomainSeconds float64
	// PreferredReuse is the share of the prompt expected in the cache of the
	// backend servers that the prefix hashes to, by rank. Other entries send
	// the same prefix there, which the own table cannot know.
	PreferredReuse [homes]float64
	// CacheShare is the part of the memory that holds cached prefixes.
	CacheShare float64
}

// DefaultWeights are those of docs/decisions/routing.md.
func DefaultWeights() Weights {
	return Weights{
		BytesPerToken: 4, PrefillSeconds: 0.0002, QueueSeconds: 0.2,
		DomainSeconds: 0.005, PreferredReuse: [homes]float64{0.7, 0.4, 0.2}, CacheShare: 0.5,
	}
}

// Request is what the choice depends on.
type Request struct {
	Service string
	// Prefix may be nil.
	Prefix *Prefix
	// Tokens is the memory that the request will hold, an estimate.
	Tokens float64
	// Excluded are choices that were tried already.
	Excluded []Choice
	// Resume asks for a backend server that can go on with an answer that
	// another one began.
	Resume bool
	// Regions are those that may be used; empty means all.
	Regions []string
}

// Choice is a chosen backend server.
type Choice struct {
	Agent         *peer.Node
	BackendServer string
	Region        string
	Window        uint64
	// CachedBytes is the number of prompt bytes that this entry knows to be in the
	// cache, Match the share that is expected there.
	CachedBytes int
	CachedShare float64

	slot       int32
	generation uint32
	tokens     float64
}

// Counts of candidates.
const (
	// homes is how many backend servers a prefix hashes to.
	homes            = 3
	randomCandidates = 4
	maxCandidates    = homes + holders + randomCandidates
	// homeBlocks is the length of the beginning that decides on the homes.
	// Prompts that share it go to the same backend servers.
	homeBlocks = 4
)

// Choose returns the best candidate. The error is UnknownService if no backend
// server of the service is known or open, and Overloaded if none has room.
func (v *View) Choose(now time.Time, req Request) (Choice, error) {
	list := v.byService[req.Service]
	var found [maxBlocks]*block
	known := 0
	if req.Prefix != nil {
		known = v.prefixes.lookup(req.Prefix, &found)
	}
	var candidates [maxCandidates]int32
	n := v.candidates(&candidates, list, req.Prefix, found[:known])
	var best estimate
	for i, slot := range candidates[:n] {
		if s := v.servers[slot]; v.usable(now, s, &req) {
			if e := v.estimate(now, s, i, &req, &found); !e.full && (best.server == nil || e.cost < best.cost) {
				best = e
			}
		}
	}
	if best.server == nil {
		s, err := v.scan(now, list, &req)
		if err != nil {
			return Choice{}, err
		}
		best = v.estimate(now, s, maxCandidates, &req, &found)
	}
	s := best.server
	return Choice{
		Agent: s.agent, BackendServer: s.name.server, Region: s.name.region, Window: s.window,
		CachedBytes: best.reuse * BlockBytes, CachedShare: best.match,
		slot: s.slot, generation: s.generation, tokens: req.Tokens,
	}, nil
}

// scan looks at all backend servers when no candidate has room, and takes the
// one with the smallest share in use.
func (v *View) scan(now time.Time, list []int32, req *Request) (*server, error) {
	var best *server
	bestShare, usable := 0.0, false
	for _, slot := range list {
		s := v.servers[slot]
		if !v.usable(now, s, req) {
			continue
		}
		usable = true
		share, full := v.share(now, s, req.Tokens)
		if share += s.distance * 0.01; !full && (best == nil || share < bestShare) {
			best, bestShare = s, share
		}
	}
	switch {
	case best != nil:
		return best, nil
	case usable:
		return nil, fault.New(fault.Overloaded, "no backend server of %q has room", req.Service)
	}
	return nil, fault.New(fault.Unavailable, "no backend server of %q can be used now", req.Service)
}

func (v *View) usable(now time.Time, s *server, req *Request) bool {
	if s == nil || !s.open || now.Before(s.blocked) || req.Resume && !s.row.Resumes {
		return false
	}
	for i := range req.Excluded {
		if req.Excluded[i].slot == s.slot && req.Excluded[i].generation == s.generation {
			return false
		}
	}
	if len(req.Regions) == 0 {
		return true
	}
	for _, r := range req.Regions {
		if r == s.name.region {
			return true
		}
	}
	return false
}

// estimate is what is expected of a candidate: cost is the time to the first
// token in seconds, reuse the blocks known to be cached, and match the share of
// the prompt expected in the cache.
type estimate struct {
	server *server
	cost   float64
	match  float64
	reuse  int
	full   bool
}

// estimate looks at one candidate. The first candidates are the homes of the
// prefix, by rank.
func (v *View) estimate(now time.Time, s *server, rank int, req *Request, found *[maxBlocks]*block) estimate {
	w := &v.cfg.Weights
	share, full := v.share(now, s, req.Tokens)
	e := estimate{server: s, full: full, cost: w.QueueSeconds*share*share + w.DomainSeconds*domainFactor(s.distance)}
	if req.Prefix == nil || req.Prefix.bytes == 0 {
		return e
	}
	total := float64(req.Prefix.bytes)
	e.reuse = v.prefixes.depth(req.Prefix, s.slot, found, v.cacheBlocks(s))
	e.match = float64(e.reuse*BlockBytes) / total
	if rank < homes && req.Prefix.n > 0 {
		e.match = max(e.match, w.PreferredReuse[rank])
	}
	e.cost += w.PrefillSeconds * total * (1 - e.match) / w.BytesPerToken
	return e
}

// redrawAfter is how long a draw holds when no report comes. An idle backend
// server sends no news, and one unlucky draw would leave it idle forever.
const redrawAfter = 50 * time.Millisecond

// share is the share in use with one more request, and whether there is no room
// for it.
func (v *View) share(now time.Time, s *server, tokens float64) (share float64, full bool) {
	if now.Sub(s.load.drawn) > redrawAfter {
		s.load.chance, s.load.drawn = v.cfg.Random.Float64(), now
	}
	share, full = s.load.share(now, tokens, v.peers)
	return share, full || now.Before(s.fullUntil)
}

func domainFactor(distance float64) float64 {
	if distance > 1 {
		return 5
	}
	return distance
}

// cacheBlocks is the number of this entry's blocks that a backend server is
// expected to keep: the peers' blocks take their part of its cache.
func (v *View) cacheBlocks(s *server) uint32 {
	blocks := float64(s.row.MemoryTokens) * v.cfg.Weights.CacheShare * v.cfg.Weights.BytesPerToken / BlockBytes
	return uint32(min(blocks/max(v.peers, 1), maxCacheBlocks))
}

// candidates collects slots without repetition.
func (v *View) candidates(out *[maxCandidates]int32, list []int32, p *Prefix, found []*block) int {
	n := 0
	add := func(slot int32) {
		for _, have := range out[:n] {
			if have == slot {
				return
			}
		}
		if n < len(out) {
			out[n] = slot
			n++
		}
	}
	if p != nil && p.n > 0 {
		for _, slot := range v.home(list, p.hashes[min(p.n, homeBlocks)-1]) {
			if slot >= 0 {
				add(slot)
			}
		}
	}
	if len(found) > 0 {
		for _, h := range found[len(found)-1].at {
			if h.slot > 0 && v.servers[h.slot-1] != nil {
				add(h.slot - 1)
			}
		}
	}
	if len(list) <= randomCandidates {
		for _, slot := range list {
			add(slot)
		}
		return n
	}
	for range randomCandidates {
		add(list[v.cfg.Random.IntN(len(list))])
	}
	return n
}

// home returns the open slots with the highest hashes for key, by rank; -1
// stands for none.
func (v *View) home(list []int32, key uint64) [homes]int32 {
	var slots [homes]int32
	var hashes [homes]uint64
	for i := range slots {
		slots[i] = -1
	}
	for _, slot := range list {
		s := v.servers[slot]
		if !s.open {
			continue
		}
		h := mix(s.hash ^ key)
		for i := range slots {
			if slots[i] < 0 || h > hashes[i] {
				slots[i], slot = slot, slots[i]
				hashes[i], h = h, hashes[i]
				if slot < 0 {
					break
				}
			}
		}
	}
	return slots
}

// RecordStart counts a dispatch.
func (v *View) RecordStart(now time.Time, c Choice, p *Prefix) {
	if s := v.at(c); s != nil {
		s.load.add(now, 1, c.tokens)
		if p != nil {
			v.prefixes.record(p, c.slot, c.CachedBytes/BlockBytes)
		}
	}
}

// RecordEnd counts the end of a dispatch.
func (v *View) RecordEnd(now time.Time, c Choice) {
	if s := v.at(c); s != nil {
		s.load.add(now, -1, -c.tokens)
	}
}

// RecordLoad takes a load that an agent sent with an answer.
func (v *View) RecordLoad(now time.Time, c Choice, l *peer.Load) {
	if s := v.at(c); s != nil && l != nil {
		s.load.exact(now.Add(reportLag), l, v.cfg.Random.Float64())
		// Own starts and ends so far are in it. The ring counts in spans, and
		// an end left in the present one would show a place that there is not.
		s.load.ring = [slots]delta{}
		s.window = max(s.window, l.Window)
	}
}

const (
	// blockedFor is how long a backend server that took nothing for another
	// reason than load is left out. Control drops a dead agent after about 3 s.
	blockedFor = time.Second
	// Bounds of the time for which a refusal without room is believed. The
	// load that came with it holds afterwards; a cold limit rises in some tens
	// of milliseconds, and a longer wait would shed what could be served.
	minFull = 10 * time.Millisecond
	maxFull = reportLag
)

// RecordRefusal takes note that an agent refused a dispatch or could not be reached.
// It has no room for a time of its own advice if the kind is Overloaded;
// otherwise it is left out for a moment.
func (v *View) RecordRefusal(now time.Time, c Choice, kind fault.Kind, retryAfter time.Duration) {
	s := v.at(c)
	switch {
	case s == nil:
	case kind == fault.Overloaded:
		s.fullUntil = now.Add(min(max(retryAfter, minFull), maxFull))
	default:
		s.blocked = now.Add(blockedFor)
	}
}

// Contains says whether the chosen process is still known.
func (v *View) Contains(c Choice) bool { return v.at(c) != nil }

func (v *View) at(c Choice) *server {
	if int(c.slot) >= len(v.servers) {
		return nil
	}
	s := v.servers[c.slot]
	if s == nil || s.generation != c.generation {
		return nil
	}
	return s
}
