package routing

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Weights are the coefficients of the cost of a candidate, which is the expected
// time to the first token in seconds.
type Weights struct {
	// BytesPerToken is the mean length of a token of text.
	BytesPerToken float64
	// PrefillSeconds is the prefill time of one prompt token that is not cached.
	PrefillSeconds float64
	// QueueSeconds is the queueing delay at full load. The delay grows with the
	// square of the share of capacity in use.
	QueueSeconds float64
	// DomainSeconds is added outside the entry's failure domain, and five times
	// outside its region.
	DomainSeconds float64
	// PreferredReuse is the share of the prompt expected in the cache of the
	// backend servers that the prefix hashes to, by rank. Peer entries send the
	// same prefix there, which this entry's prefix table does not record.
	PreferredReuse [preferredServers]float64
	// CacheShare is the share of the memory that holds cached prefixes.
	CacheShare float64
}

// DefaultWeights returns the weights given in docs/decisions/routing.md.
func DefaultWeights() Weights {
	return Weights{
		BytesPerToken: 4, PrefillSeconds: 0.0002, QueueSeconds: 0.2,
		DomainSeconds: 0.005, PreferredReuse: [preferredServers]float64{0.7, 0.4, 0.2}, CacheShare: 0.5,
	}
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Service string
	// Prefix may be nil.
	Prefix *Prefix
	// Tokens is the estimated number of tokens that the request will hold in
	// memory.
	Tokens float64
	// Excluded are the choices that were tried already.
	Excluded []Choice
	// Resume requires a backend server that can continue an answer that another
	// one began.
	Resume bool
	// Regions are the regions that may be used; empty means all.
	Regions []string
}

// Choice is a chosen backend server.
type Choice struct {
	Agent         *peer.Node
	BackendServer string
	Region        string
	Window        uint64
	// CachedBytes is the number of prompt bytes in the cache according to this
	// entry's prefix table. CachedShare is the share of the prompt expected
	// there, which also counts requests of peer entries.
	CachedBytes int
	CachedShare float64

	// Outcome says how cached prefixes affected the choice, and ExpectedTokens is
	// the number of prompt tokens that need not be read because of them.
	Outcome        prefix.Outcome
	ExpectedTokens float64

	slot       int32
	generation uint32
	tokens     float64
	// knownTokens is the number of cached tokens according to the prefix table
	// alone, before the correction by experience, and memory the share of the
	// memory in use, for RecordCached.
	knownTokens, memory float64
}

const (
	// preferredServers is the number of backend servers that a prefix hashes to.
	preferredServers = 3
	randomCandidates = 4
	maxCandidates    = preferredServers + maxHolders + randomCandidates
	// preferredBlocks is the number of leading blocks that are hashed to find
	// the preferred backend servers. Prompts that share them go to the same
	// backend servers.
	preferredBlocks = 4
)

// Choose returns the candidate with the lowest cost. The error is Unavailable if
// no backend server of the service may be used, and Overloaded if none has room.
func (v *View) Choose(now time.Time, req Request) (Choice, error) {
	list := v.byService[req.Service]
	var found [maxBlocks]*block
	foundBlocks := 0
	if req.Prefix != nil {
		foundBlocks = v.prefixes.lookup(req.Prefix, &found)
	}
	var candidates [maxCandidates]int32
	n := v.candidates(&candidates, list, req.Prefix, found[:foundBlocks])
	var estimates [maxCandidates]estimate
	var offers [maxCandidates]prefix.Offer
	usable := 0
	for i, slot := range candidates[:n] {
		if s := v.servers[slot]; v.usable(now, s, &req) {
			if e := v.estimate(now, s, i, &req, &found); !e.full {
				estimates[usable], offers[usable] = e, e.offer
				usable++
			}
		}
	}
	var best estimate
	outcome := prefix.Unknown
	if usable > 0 {
		chosen, o := prefix.Weigh(offers[:usable])
		best, outcome = estimates[chosen], o
	} else {
		s, err := v.scan(now, list, &req)
		if err != nil {
			return Choice{}, err
		}
		best = v.estimate(now, s, maxCandidates, &req, &found)
	}
	s := best.server
	return Choice{
		Agent: s.agent, BackendServer: s.key.server, Region: s.key.region, Window: s.window,
		CachedBytes: best.cachedBlocks * BlockBytes, CachedShare: best.cachedShare,
		Outcome: outcome, ExpectedTokens: best.offer.Tokens * best.offer.Held,
		knownTokens: best.knownTokens, memory: best.memory,
		slot: s.slot, generation: s.generation, tokens: req.Tokens,
	}, nil
}

// scan checks all backend servers when no candidate has room, and returns the
// one with the smallest share of capacity in use.
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
	return nil, fault.New(fault.Unavailable, "no backend server of %q is available", req.Service)
}

func (v *View) usable(now time.Time, s *server, req *Request) bool {
	if s == nil || s.row.Service != req.Service || !s.eligible || now.Before(s.blockedUntil) || req.Resume && !s.row.Resumes {
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
		if r == s.key.region {
			return true
		}
	}
	return false
}

// estimate describes a candidate: cachedBlocks is the number of cached blocks
// according to the prefix table, cachedShare the share of the prompt expected in
// the cache, knownTokens the expected tokens according to the prefix table, and
// memory the share of the memory in use.
type estimate struct {
	server       *server
	offer        prefix.Offer
	cachedShare  float64
	cachedBlocks int
	knownTokens  float64
	memory       float64
	full         bool
}

// estimate evaluates one candidate. The candidates of rank 0 to
// preferredServers-1 are the preferred backend servers of the prefix.
func (v *View) estimate(now time.Time, s *server, rank int, req *Request, found *[maxBlocks]*block) estimate {
	w := &v.cfg.Weights
	share, full := v.share(now, s, req.Tokens)
	e := estimate{server: s, full: full, offer: prefix.Offer{Wait: w.QueueSeconds*share*share + w.DomainSeconds*domainFactor(s.distance)}}
	if req.Prefix == nil || req.Prefix.bytes == 0 {
		return e
	}
	total := float64(req.Prefix.bytes)
	blocks, expected := v.prefixes.cachedBlocks(req.Prefix, s.slot, found, v.cacheCapacity(s))
	e.cachedBlocks, e.cachedShare, e.knownTokens = blocks, expected*BlockBytes/total, expected*BlockBytes/w.BytesPerToken
	if rank < preferredServers && req.Prefix.n > 0 {
		e.cachedShare = max(e.cachedShare, w.PreferredReuse[rank])
	}
	e.memory = s.load.memory()
	e.offer.Tokens = e.cachedShare * total / w.BytesPerToken
	e.offer.Held = v.experience(req.Service).Trust(e.memory)
	e.offer.TokensPerSecond = 1 / w.PrefillSeconds
	e.cachedShare *= e.offer.Held
	return e
}

// redrawInterval is how long a draw is used when no load report arrives. The
// load of an idle backend server does not change and is not reported again, so
// one high draw would keep it idle indefinitely.
const redrawInterval = 50 * time.Millisecond

// share returns the share of capacity in use with one more request, and whether
// there is no room for the request.
func (v *View) share(now time.Time, s *server, tokens float64) (share float64, full bool) {
	if now.Sub(s.load.drawnAt) > redrawInterval {
		s.load.draw, s.load.drawnAt = v.cfg.Random.Float64(), now
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

// cacheCapacity is the number of blocks in the prefix table that the cache of a
// backend server is expected to hold. Unless its agent tells what peer entries send,
// these are this entry's own, and the blocks of peers use the rest.
func (v *View) cacheCapacity(s *server) uint32 {
	blocks := float64(s.row.MemoryTokens) * v.cfg.Weights.CacheShare * v.cfg.Weights.BytesPerToken / BlockBytes
	if s.sharesPrompts {
		return uint32(min(blocks, maxCacheBlocks))
	}
	return uint32(min(blocks/max(v.peers, 1), maxCacheBlocks))
}

// candidates collects the distinct slots of the candidates and returns their
// number.
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
		for _, slot := range v.preferred(list, p.hashes[min(p.n, preferredBlocks)-1]) {
			if slot >= 0 {
				add(slot)
			}
		}
	}
	if len(found) > 0 {
		for _, h := range found[len(found)-1].holders {
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

// preferred returns the eligible slots with the highest hashes for key, by rank;
// -1 means none.
func (v *View) preferred(list []int32, key uint64) [preferredServers]int32 {
	var slots [preferredServers]int32
	var hashes [preferredServers]uint64
	for i := range slots {
		slots[i] = -1
	}
	for _, slot := range list {
		s := v.servers[slot]
		if !s.eligible {
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

// RecordStart records the start of a dispatch and, if p is not nil, the prefix
// sent.
func (v *View) RecordStart(now time.Time, c Choice, p *Prefix) {
	if s := v.find(c); s != nil {
		s.load.add(now, 1, c.tokens)
		if p != nil {
			v.prefixes.record(p, c.slot, c.CachedBytes/BlockBytes)
		}
	}
}

// RecordEnd records the end of a dispatch.
func (v *View) RecordEnd(now time.Time, c Choice) {
	if s := v.find(c); s != nil {
		s.load.add(now, -1, -c.tokens)
	}
}

// RecordLoad records a load that an agent sent with an answer.
func (v *View) RecordLoad(now time.Time, c Choice, l *peer.Load) {
	if s := v.find(c); s != nil && l != nil {
		s.load.applyReport(now.Add(reportLag), l, v.cfg.Random.Float64())
		// The load includes this entry's starts and ends so far. The ring counts
		// per span, and an end left in the current span would be subtracted
		// twice and show free capacity that does not exist.
		s.load.ring = [ringSpans]delta{}
		s.window = max(s.window, l.Window)
	}
}

const (
	// blockPeriod is how long a backend server is excluded after it refused a
	// dispatch for another reason than load. Control removes a failed agent
	// after about 3 s.
	blockPeriod = time.Second
	// Bounds of the time for which a backend server counts as full after a
	// refusal for lack of room. Afterwards the load sent with the refusal
	// decides. The limit of a cold backend server rises within some tens of
	// milliseconds, and a longer period would shed requests that it could serve.
	minFullPeriod = 10 * time.Millisecond
	maxFullPeriod = reportLag
)

// RecordRefusal records that an agent refused a dispatch or could not be reached.
// If the kind is Overloaded, the backend server counts as full for retryAfter,
// within minFullPeriod and maxFullPeriod; otherwise it is excluded for
// blockPeriod.
func (v *View) RecordRefusal(now time.Time, c Choice, kind fault.Kind, retryAfter time.Duration) {
	s := v.find(c)
	switch {
	case s == nil:
	case kind == fault.Overloaded:
		s.fullUntil = now.Add(min(max(retryAfter, minFullPeriod), maxFullPeriod))
	default:
		s.blockedUntil = now.Add(blockPeriod)
	}
}

// Contains reports whether the chosen process is still in the view.
func (v *View) Contains(c Choice) bool { return v.find(c) != nil }

func (v *View) find(c Choice) *server {
	if int(c.slot) >= len(v.servers) {
		return nil
	}
	s := v.servers[c.slot]
	if s == nil || s.generation != c.generation {
		return nil
	}
	return s
}
