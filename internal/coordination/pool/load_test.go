package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// kindLoad is the load of one kind of stream.
type kindLoad struct {
	name        string
	priority    int
	perSecond   float64
	meanPrompt  float64
	targetFirst time.Duration
	burst       float64 // factor of the rate from burstFrom to burstTo
	burstFrom   time.Duration
	burstTo     time.Duration
	worth       float64
}

// load is a deployment and what its callers do, played by play without a network.
type load struct {
	entries, groups, ranks int
	engine                 catalog.Engine
	kinds                  []kindLoad
	length                 time.Duration
	// shiftEvery is the mean time between two shifts of popularity, after which the
	// busiest rank has skew times the mean load for unevenFor.
	shiftEvery, unevenFor time.Duration
	skew                  float64
	// outage is when all groups stop, and its length.
	outageAt, outageFor time.Duration
	// leaveShare is the part of the callers that disconnect after leaveAfter without an
	// event.
	leaveShare float64
	leaveAfter time.Duration
	// ignoreShare is the part of the callers that resend at once, up to three times.
	ignoreShare float64
	seed        uint64
}

const (
	loadTick      = 5 * time.Millisecond
	loadGapTarget = 120 * time.Millisecond
	loadDeadline  = 8 * time.Second
	loadEvents    = 23
	// loadLateWorth is the worth of a late answer.
	loadLateWorth = 0.4
	evenSkew      = 1.2
	copyFactor    = 1.15
	expertShare   = 0.85
	loadAccounts  = 24
)

// threeGroups is a load of the size of the larger deployment on its heaviest day.
func threeGroups() load {
	return load{
		entries: 19, groups: 3, ranks: 24, length: 20 * time.Second, seed: 1,
		engine: catalog.Engine{
			Slots: 10, StepTime: 4840 * time.Microsecond, RequestStepTime: 355 * time.Microsecond, StepsPerPass: 7,
			PrefillTokensPerSecond: 74800, MeanAnswerTokens: 7 * loadEvents,
		},
		shiftEvery: 4800 * time.Millisecond, unevenFor: 1400 * time.Millisecond, skew: 2.4,
		kinds: []kindLoad{
			{name: "urgent", perSecond: 123, meanPrompt: 674, targetFirst: 400 * time.Millisecond, worth: 2.9},
			{name: "usual", priority: 1, perSecond: 94.1, meanPrompt: 960, targetFirst: 400 * time.Millisecond, worth: 1},
			{name: "patient", priority: 2, perSecond: 54.4, meanPrompt: 787, targetFirst: 800 * time.Millisecond, worth: 1},
		},
	}
}

// withBursts adds the bursts of the heaviest day.
func (l load) withBursts() load {
	l.kinds = slices.Clone(l.kinds)
	last := len(l.kinds) - 1
	l.kinds[last].burst, l.kinds[last].burstFrom, l.kinds[last].burstTo = 2.3, 3*time.Second, 9800*time.Millisecond
	l.kinds[0].burst, l.kinds[0].burstFrom, l.kinds[0].burstTo = 1.6, 12*time.Second, 15800*time.Millisecond
	return l
}

// loadCaller is one request of a caller, over all its tries.
type loadCaller struct {
	kind            int
	id              string
	account         int
	hint            size.Hint
	class           int
	arrived         time.Time
	deadline        time.Time
	events          int
	prompt          int
	ignores, leaves bool
	tries           int
	request         *Request
	entry           int
	done            bool
	late            bool
	unread          float64 // prompt tokens
	sentAt          time.Time
	firstAt, lastAt time.Time
	got             int
	server          *loadRank
	resendAt        time.Time
	resending       bool
}

// loadRank is one engine.
type loadRank struct {
	id      string
	group   *loadGroup
	running []*loadCaller
	waiting []*loadCaller
	prefill float64 // tokens read per step in the pass that runs
}

type loadGroup struct {
	ranks    []*loadRank
	passEnds time.Time
	passFrom time.Time
}

// player plays a load.
type player struct {
	load
	random   *rand.Rand // of the callers
	shifts   *rand.Rand // of the popularity of experts
	spread   *rand.Rand // of callers over entries
	pools    []*Pool
	groups   []*loadGroup
	ranks    map[string]*loadRank
	history  [][]map[string]int
	callers  []*loadCaller // that wait or resend
	requests map[*Request]*loadCaller
	tallies  []*tally
	shiftAt  time.Time
	evenAt   time.Time
	skewNow  float64
	slots    int
	// slowPasses are those above the target gap.
	passes, slowPasses int
	// taken sums the taken slots over time, usable all slots.
	taken, usable float64
}

func newPlayer(l load) *player {
	p := &player{
		load: l, random: rand.New(rand.NewPCG(l.seed, 7)), ranks: map[string]*loadRank{}, requests: map[*Request]*loadCaller{},
		shifts: rand.New(rand.NewPCG(l.seed, 8)), spread: rand.New(rand.NewPCG(l.seed, 9)),
		shiftAt: start.Add(time.Second), skewNow: evenSkew, slots: l.groups * l.ranks * l.engine.Slots,
	}
	engine := l.engine
	v := &follower.View{Drained: map[string]bool{}, Entries: l.entries}
	v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool", Engine: &engine}}})
	domains := []string{"a", "b", "c"}
	for g := range l.groups {
		group := &loadGroup{passEnds: start, passFrom: start}
		for i := range l.ranks {
			rank := &loadRank{id: fmt.Sprintf("g%dr%d", g, i), group: group}
			group.ranks = append(group.ranks, rank)
			p.ranks[rank.id] = rank
			v.Servers = append(v.Servers, follower.Server{
				ID: rank.id, StartedMS: 1, Sequence: 1, Service: "pool", Slots: engine.Slots, Received: start,
				FailureDomain: domains[g%len(domains)], Group: fmt.Sprintf("g%d", g), Epoch: 1,
			})
		}
		p.groups = append(p.groups, group)
	}
	for i := range l.entries {
		q := New(Config{FailureDomain: domains[i%len(domains)], Random: rand.New(rand.NewPCG(l.seed, uint64(i)))})
		q.Update(start, v)
		q.SetPeerLoads(start, map[string]uint32{})
		p.pools = append(p.pools, q)
	}
	for range l.kinds {
		p.tallies = append(p.tallies, &tally{byAccount: map[int][2]int{}})
	}
	return p
}

// play plays the load and returns what callers of each kind got.
func play(l load) *player {
	p := newPlayer(l)
	end := l.length + loadDeadline
	for at := time.Duration(0); at < end; at += loadTick {
		now := start.Add(at)
		p.shift(now)
		for _, g := range p.groups {
			for !g.passEnds.After(now) {
				p.endPass(g, g.passEnds)
				p.beginPass(g, at)
			}
		}
		if at%(100*time.Millisecond) == 0 {
			p.exchange(now)
		}
		if at%(20*time.Millisecond) == 0 {
			for i := range p.pools {
				p.decide(now, i)
			}
		}
		p.resend(now)
		if at < l.length {
			p.arrive(now, at)
		}
	}
	return p
}

// shift changes the skew of the expert load.
func (p *player) shift(now time.Time) {
	if p.shiftEvery == 0 {
		return
	}
	if !now.Before(p.shiftAt) {
		p.skewNow = 1.4 + (p.skew-1.4)*2*p.shifts.Float64()
		p.evenAt = now.Add(time.Duration((0.6 + 0.8*p.shifts.Float64()) * float64(p.unevenFor)))
		p.shiftAt = now.Add(time.Duration((0.8 + 0.4*p.shifts.Float64()) * float64(p.shiftEvery)))
	}
	if p.skewNow > evenSkew && !now.Before(p.evenAt) {
		p.skewNow = evenSkew
	}
}

// beginPass starts the next pass of a group: all ranks run it together, and it lasts
// as long as the own part of the slowest rank and the part of the most loaded one of
// each set.
func (p *player) beginPass(g *loadGroup, at time.Duration) {
	e := &p.engine
	g.passFrom = g.passEnds
	if p.outageFor > 0 && at >= p.outageAt && at < p.outageAt+p.outageFor {
		g.passEnds = g.passEnds.Add(20 * time.Millisecond)
		for _, r := range g.ranks {
			r.prefill = -1
		}
		return
	}
	slowest, total := 0.0, 0.0
	for _, r := range g.ranks {
		for len(r.waiting) > 0 && len(r.running) < e.Slots {
			r.running, r.waiting = append(r.running, r.waiting[0]), r.waiting[1:]
		}
		unread := 0.0
		decoding := 0
		for _, c := range r.running {
			unread += c.unread
			if c.unread == 0 {
				decoding++
			}
		}
		r.prefill = min(512, unread/float64(e.StepsPerPass))
		work := float64(decoding)*e.RequestStepTime.Seconds() + r.prefill/e.PrefillTokensPerSecond
		slowest, total = max(slowest, work), total+work
	}
	step := e.StepTime.Seconds() + (1-expertShare)*slowest + expertShare*p.skewNow*total/float64(len(g.ranks))
	if p.skewNow > evenSkew {
		step *= copyFactor
	}
	length := time.Duration(float64(e.StepsPerPass) * step * float64(time.Second))
	p.passes++
	if length > loadGapTarget {
		p.slowPasses++
	}
	g.passEnds = g.passEnds.Add(length)
	if at < p.length {
		for _, r := range g.ranks {
			p.taken += length.Seconds() * float64(len(r.running))
			p.usable += length.Seconds() * float64(e.Slots)
		}
	}
}

// endPass gives each stream of a group its event.
func (p *player) endPass(g *loadGroup, now time.Time) {
	for _, r := range g.ranks {
		if r.prefill < 0 {
			continue
		}
		budget := r.prefill * float64(p.engine.StepsPerPass)
		for _, c := range slices.Clone(r.running) {
			if c.unread > 0 {
				read := min(budget, c.unread)
				budget -= read
				if c.unread -= read; c.unread > 0.5 {
					continue
				}
				c.unread = 0
			}
			p.event(now, r, c)
		}
	}
}

func (p *player) event(now time.Time, r *loadRank, c *loadCaller) {
	q := p.pools[c.entry]
	kind := &p.kinds[c.kind]
	if c.got++; c.got == 1 {
		c.firstAt = now
		c.late = now.Sub(c.arrived) > kind.targetFirst
		q.SetServerLoad(now, r.id, len(r.running)+len(r.waiting))
		q.RecordEvent(now, r.id, now.Sub(c.sentAt), 0)
	} else {
		gap := now.Sub(c.lastAt)
		c.late = c.late || gap > loadGapTarget
		q.RecordEvent(now, r.id, 0, gap)
	}
	c.lastAt = now
	if c.got < c.events && now.Before(c.deadline) {
		return
	}
	r.running = slices.DeleteFunc(r.running, func(o *loadCaller) bool { return o == c })
	held := now.Sub(c.sentAt)
	q.Done(now, "pool", r.id, 1, Answered, c.firstAt.Sub(c.sentAt), held)
	recordWork(q, c.hint, held)
	t := p.tallies[c.kind]
	worth := 1.0
	switch {
	case c.got < c.events:
		t.gaveUp++
		worth = 0
	case c.late:
		t.late++
		if c.firstAt.Sub(c.arrived) > kind.targetFirst {
			t.lateFirst++
			if c.tries > 1 {
				t.lateResent++
			}
		}
		worth = loadLateWorth
	default:
		t.onTime++
	}
	p.finish(c, worth)
	p.decide(now, c.entry)
}

func (p *player) finish(c *loadCaller, worth float64) {
	c.done = true
	t := p.tallies[c.kind]
	if c.ignores {
		t.ignoredCredit += worth
	} else {
		t.obeyingCredit += worth
	}
	if worth > 0 {
		t.servedBySize[c.class]++
		n := t.byAccount[c.account]
		t.byAccount[c.account] = [2]int{n[0], n[1] + 1}
	}
}

// exchange gives each entry the counts of the others, 0.4 s old.
func (p *player) exchange(now time.Time) {
	var counts []map[string]int
	total := map[string]int{}
	for _, q := range p.pools {
		counts = append(counts, q.InFlight())
	}
	p.history = append(p.history, counts)
	old := p.history[max(0, len(p.history)-1-countAgeTicks)]
	for _, c := range old {
		for id, n := range c {
			total[id] += n
		}
	}
	for i, q := range p.pools {
		loads := make(map[string]uint32, len(total))
		for id, n := range total {
			loads[id] = uint32(n - old[i][id])
		}
		q.SetPeerLoads(now, loads)
	}
}

// lognormal returns a value with a mean, spread by a factor of about e^sigma.
func (p *player) lognormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2)
}

// heavy makes passes as uneven as they are on the heaviest day.
func heavy(l *load) {
	l.engine.RequestStepTime = 600 * time.Microsecond
	l.skew, l.unevenFor = 2.6, 1800*time.Millisecond
}

// onePriority is a load of the size of the smaller deployment, whose streams have one
// priority, on groups of a number of ranks.
func onePriority(groups, ranks int) load {
	l := threeGroups()
	scale := float64(groups*ranks) / 72
	l.groups, l.ranks, l.entries = groups, ranks, 12
	l.engine.StepTime, l.engine.RequestStepTime, l.engine.StepsPerPass = 5850*time.Microsecond, 426*time.Microsecond, 6
	l.engine.PrefillTokensPerSecond, l.engine.MeanAnswerTokens = 61200, 6*loadEvents
	l.kinds = []kindLoad{
		{name: "first", priority: 1, perSecond: 107 * scale, meanPrompt: 674, targetFirst: 400 * time.Millisecond, worth: 1},
		{name: "second", priority: 1, perSecond: 81.6 * scale, meanPrompt: 960, targetFirst: 500 * time.Millisecond, worth: 1},
		{name: "third", priority: 1, perSecond: 47.3 * scale, meanPrompt: 787, targetFirst: 400 * time.Millisecond, worth: 1},
	}
	return l
}

// scaled returns the kinds with a multiple of their rates.
func (l *load) scaled(factor float64) []kindLoad {
	kinds := slices.Clone(l.kinds)
	for i := range kinds {
		kinds[i].perSecond *= factor
	}
	return kinds
}
