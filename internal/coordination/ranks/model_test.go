package ranks

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/design/staged-map-changes.md")

// deployment holds the figures of a modelled deployment.
type deployment struct {
	spec  catalog.Experts
	ranks int
	// basePass is the time of a pass at a skew of 1, with prompts in prefill.
	basePass time.Duration
	// load is the part of the slots that are taken.
	load float64
	// shift is the least interval between two shifts, and shiftRange the range above
	// it in which intervals are uniform.
	shift, shiftRange time.Duration
	// sampledRequests is the number of requests a second that begin on the ranks
	// whose counts are read.
	sampledRequests float64
	// topicWeight is the part of the weight of experts that depends on the topic of
	// a request.
	topicWeight float64
}

const (
	targetGap = 120 * time.Millisecond
	tick      = 5 * time.Millisecond
	// streamTime is the duration of a stream: a stream is late if it meets one
	// pass over the target gap.
	streamTime = 2 * time.Second
)

func deployments() map[string]deployment {
	spec := func(sets, experts int, copyTime time.Duration) catalog.Experts {
		return catalog.Experts{
			Sets: sets, ExpertsPerSet: experts, Slots: 10, MaxExpertsPerRank: 5, MaxNewExperts: 2,
			ExpertBytes: copyTime.Seconds() * 5.5e9, CopyBytesPerSecond: 5.5e9, ExpertShare: 0.85,
		}
	}
	return map[string]deployment{
		"420 MB experts": {
			spec: spec(16, 96, 76*time.Millisecond), ranks: 24, basePass: 60 * time.Millisecond, load: 0.7,
			shift: 3800 * time.Millisecond, shiftRange: 2200 * time.Millisecond, sampledRequests: 90, topicWeight: 0.35,
		},
		"150 MB experts": {
			spec: spec(16, 96, 27*time.Millisecond), ranks: 24, basePass: 66 * time.Millisecond, load: 0.6,
			shift: 3400 * time.Millisecond, shiftRange: 1200 * time.Millisecond, sampledRequests: 79, topicWeight: 0.35,
		},
		"32 ranks": {
			spec: spec(12, 128, 8*time.Millisecond), ranks: 32, basePass: 60 * time.Millisecond, load: 0.7,
			shift: 3 * time.Second, shiftRange: time.Second, sampledRequests: 60, topicWeight: 0.35,
		},
	}
}

// topics is the popularity of experts by topic: topicWeight of the weight of the
// experts depends on the topic of a request.
type topics struct {
	rng    *rand.Rand
	shares [][][]float64 // topic, set, expert
	demand []float64     // by topic
}

const (
	topicCount = 9
	zipf       = 0.92
)

func newTopics(seed uint64, spec catalog.Experts, topicWeight float64) *topics {
	t := &topics{rng: rand.New(rand.NewPCG(seed, 3)), shares: make([][][]float64, topicCount), demand: make([]float64, topicCount)}
	for set := range spec.Sets {
		common := t.draw(spec.ExpertsPerSet)
		for topic := range topicCount {
			own := t.draw(spec.ExpertsPerSet)
			for e := range own {
				own[e] = (1-topicWeight)*common[e] + topicWeight*own[e]
			}
			if set == 0 {
				t.shares[topic] = make([][]float64, spec.Sets)
			}
			t.shares[topic][set] = own
		}
	}
	t.demand[0] = 1
	return t
}

// draw returns a Zipf-like distribution in random order.
func (t *topics) draw(experts int) []float64 {
	out, total := make([]float64, experts), 0.0
	for i, e := range t.rng.Perm(experts) {
		out[e] = math.Pow(float64(i+1), -zipf)
		total += out[e]
	}
	for e := range out {
		out[e] /= total
	}
	return out
}

// shift moves 0.5 to 0.8 of the demand to another topic.
func (t *topics) shift() {
	moved := 0.5 + 0.3*t.rng.Float64()
	popular := 0
	for i := range t.demand {
		t.demand[i] *= 1 - moved
		if t.demand[i] > t.demand[popular] {
			popular = i
		}
	}
	t.demand[(popular+1+t.rng.IntN(topicCount-1))%topicCount] += moved
}

// popularity returns the shares of the experts for a weight of each topic.
func (t *topics) popularity(weights []float64) [][]float64 {
	out := make([][]float64, len(t.shares[0]))
	for set := range out {
		out[set] = make([]float64, len(t.shares[0][set]))
		for topic, w := range weights {
			if w == 0 {
				continue
			}
			for e, s := range t.shares[topic][set] {
				out[set][e] += w * s
			}
		}
	}
	return out
}

// sample returns the counts of an interval in which a number of requests began.
func (t *topics) sample(requests int) [][]uint64 {
	const selections = 800 // for each request and set
	weights := make([]float64, topicCount)
	for range max(1, requests) {
		x := t.rng.Float64()
		for topic, d := range t.demand {
			x -= d
			if x < 0 || topic == topicCount-1 {
				weights[topic] += 1 / float64(max(1, requests))
				break
			}
		}
	}
	total := float64(selections * max(1, requests))
	out := make([][]uint64, len(t.shares[0]))
	for set, shares := range t.popularity(weights) {
		out[set] = make([]uint64, len(shares))
		for e, s := range shares {
			mean := s * total
			out[set][e] = uint64(max(0, mean+math.Sqrt(mean)*t.rng.NormFloat64()))
		}
	}
	return out
}

// protocol holds the times of the Rebalancer outside the plan and the copies.
type protocol struct {
	readInterval time.Duration // between two reads of the counts
	begin        time.Duration // reports, plan and prepare orders
	poll         time.Duration // between two reads of the reports
	orders       time.Duration // reports, probe, hold and arm orders
	lead         float64       // passes from the reported one to the held one
	settle       time.Duration // after the go order
	// ignoreShifts is set for the decision without costs, which does not depend on
	// shifts.
	ignoreShifts bool
}

func (p protocol) observed(spec catalog.Experts) catalog.Experts {
	if p.ignoreShifts {
		spec.ExpertShare = 0
	}
	return spec
}

// outcome sums up a simulated run.
type outcome struct {
	shifts, changes, copies int
	over                    time.Duration // with passes over the target gap
	late                    float64       // part of the streams with such a pass
	meanPass                float64       // over the pass at a skew of 1
	relieved                time.Duration // mean time from a shift to the end of the first change
	skewShifted             float64       // mean skew just after a shift
}

func (o outcome) overPerShift() time.Duration { return o.over / time.Duration(max(1, o.shifts)) }

// decide plans a change.
type decide func(p *popularity, now time.Time, current Map) *plan

// simulate runs one group with the counts of a service.
func simulate(d deployment, seed uint64, duration time.Duration, times protocol, plan decide) outcome {
	t := newTopics(seed, d.spec, d.topicWeight)
	noise := rand.New(rand.NewPCG(seed, 9))
	begin := time.Unix(1000, 0)
	current := startMap(d, t)
	var (
		out                           outcome
		p                             = newPopularity()
		truth                         = t.popularity(t.demand)
		nextShift, nextRead, idleFrom = d.shift, time.Duration(0), time.Duration(0)
		pending                       *pendingPlan
		skew                          = meanSkew(current, truth)
		pass                          float64 // passes since the beginning
		requests                      float64 // since the last read
		counts                        = emptyCounts(d.spec)
		shiftedAt                     time.Duration
		isRelieved                    = true
		passSum, late                 float64
		lateUntil                     time.Duration
		ticks                         int
	)
	for now := time.Duration(0); now < duration; now += tick {
		if now >= nextShift {
			t.shift()
			truth = t.popularity(t.demand)
			skew = meanSkew(current, truth)
			nextShift = now + d.shift + time.Duration(noise.Float64()*float64(d.shiftRange))
			out.shifts++
			shiftedAt, isRelieved = now, false
			out.skewShifted += skew
		}
		requests += d.sampledRequests * tick.Seconds()
		if requests >= 1 && noise.Float64() < 0.5 {
			n := int(requests)
			requests -= float64(n)
			addCounts(counts, t.sample(n))
		}
		passTime := float64(d.basePass) * (1 - d.spec.ExpertShare + d.spec.ExpertShare*skew)
		if pending != nil && now < pending.copied && now >= pending.ordered {
			passTime *= 1 + copySlowdown
		}
		pass += float64(tick) / passTime
		if out.shifts > 0 {
			passSum += passTime / float64(d.basePass)
			ticks++
			if passTime > float64(targetGap) {
				out.over += tick
				lateUntil = now + streamTime
			}
			if now < lateUntil {
				late++
			}
		}
		if now >= nextRead {
			nextRead = now + times.readInterval
			p.observe(begin.Add(now), times.observed(d.spec), map[string]ExpertCounts{"r": {Sets: clone(counts)}})
			if pending == nil && now >= idleFrom && out.shifts > 0 {
				if chosen := plan(p, begin.Add(now), current); chosen != nil {
					out.changes++
					out.copies += chosen.copies
					pending = newPlan2(chosen, current, now, times, d.spec)
				}
			}
		}
		if pending == nil {
			continue
		}
		switch {
		case pending.heldPass == 0 && now >= pending.heldAt:
			pending.heldPass = math.Floor(pass) + times.lead
			idleFrom = now + times.settle
		case pending.heldPass > 0 && pass >= pending.heldPass:
			current = pending.improved
			skew = meanSkew(current, truth)
			idleFrom = max(idleFrom, now+tick)
			pending = nil
			if !isRelieved {
				isRelieved = true
				out.relieved += now - shiftedAt
			}
		}
	}
	out.skewShifted /= float64(max(1, out.shifts))
	out.late = late / float64(max(1, ticks))
	out.meanPass = passSum / float64(max(1, ticks))
	out.relieved /= time.Duration(max(1, out.shifts))
	return out
}

// startMap returns a map for the demand at the beginning.
func startMap(d deployment, t *topics) Map {
	m := make(Map, d.spec.Sets)
	for set, shares := range t.popularity(t.demand) {
		m[set] = rebalance.FromScratch(shares, d.spec.ExpertsPerSet, d.ranks, d.spec.MaxExpertsPerRank)
	}
	return m
}

func emptyCounts(spec catalog.Experts) [][]uint64 {
	out := make([][]uint64, spec.Sets)
	for set := range out {
		out[set] = make([]uint64, spec.ExpertsPerSet)
	}
	return out
}

func addCounts(sum, counts [][]uint64) {
	for set := range counts {
		for e, n := range counts[set] {
			sum[set][e] += n
		}
	}
}

// pendingPlan is a change in progress.
type pendingPlan struct {
	*plan
	ordered, copied, heldAt time.Duration
	heldPass                float64
}

func newPlan2(chosen *plan, current Map, now time.Duration, times protocol, spec catalog.Experts) *pendingPlan {
	ordered := now + times.begin
	copied := ordered + time.Duration(newPerRank(current, chosen.improved))*spec.CopyTime()
	polls := (copied - ordered + times.poll - 1) / times.poll
	return &pendingPlan{plan: chosen, ordered: ordered, copied: copied, heldAt: ordered + polls*times.poll + times.orders}
}

// newPerRank returns the greatest number of new experts on any rank.
func newPerRank(current, next Map) int {
	most := 0
	for r := range current[0] {
		n := 0
		for set := range current {
			n += rebalance.Placement{current[set][r]}.Moved(rebalance.Placement{next[set][r]})
		}
		most = max(most, n)
	}
	return most
}

func meanSkew(m Map, shares [][]float64) float64 {
	skew := 0.0
	for set := range m {
		skew += rebalance.Placement(m[set]).Skew(shares[set]) / float64(len(m))
	}
	return skew
}

func clone(counts [][]uint64) [][]uint64 {
	out := make([][]uint64, len(counts))
	for i := range counts {
		out[i] = append([]uint64(nil), counts[i]...)
	}
	return out
}

// Times of the Rebalancer without and with known costs of copies.
var (
	oldTimes = protocol{
		readInterval: planInterval, begin: 60 * time.Millisecond, poll: reportInterval,
		orders: 60 * time.Millisecond, lead: holdLead, settle: settleTime, ignoreShifts: true,
	}
	newTimes = protocol{
		readInterval: quickPlanInterval, begin: 50 * time.Millisecond, poll: lateCopyInterval,
		orders: 50 * time.Millisecond, lead: minHoldLead, settle: 50 * time.Millisecond,
	}
	newTimesOnce  = newTimes.ignoringShifts(true)
	oldTimesSteps = oldTimes.ignoringShifts(false)
)

func (p protocol) ignoringShifts(ignore bool) protocol {
	p.ignoreShifts = ignore
	return p
}

// decideOnce is the decision without costs, which makes the whole change at once.
func decideOnce(d deployment) decide {
	return func(p *popularity, _ time.Time, current Map) *plan { return p.improve(d.spec, current, d.load) }
}

// decideStep is the decision on steps.
func decideStep(d deployment, orderTime time.Duration) decide {
	return func(p *popularity, now time.Time, current Map) *plan {
		return p.improveStep(d.spec, current, costs{
			copyTime: d.spec.CopyTime(), orderTime: orderTime, expertShare: d.spec.ExpertShare,
			lifetime: p.shifts.remaining(now), load: d.load,
		})
	}
}

// decideStepWithoutMemory is decideStep without the popularities seen earlier.
func decideStepWithoutMemory(d deployment, orderTime time.Duration) decide {
	step := decideStep(d, orderTime)
	return func(p *popularity, now time.Time, current Map) *plan {
		p.seen = seen{}
		return step(p, now, current)
	}
}

// TestMeasureShifts measures, for docs/design/staged-map-changes.md, what callers get
// in a minute that begins without any knowledge of popularities.
func TestMeasureShifts(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const seeds = 3
	for _, weight := range []float64{0.35, 0.65} {
		for _, name := range []string{"420 MB experts", "150 MB experts", "32 ranks"} {
			d := deployments()[name]
			d.topicWeight = weight
			for _, way := range []struct {
				name  string
				times protocol
				plan  decide
			}{
				{"once", oldTimes, decideOnce(d)},
				{"once, new times", newTimesOnce, decideOnce(d)},
				{"steps, old times", oldTimesSteps, decideStep(d, 350*time.Millisecond)},
				{"steps, no memory", newTimes, decideStepWithoutMemory(d, 200*time.Millisecond)},
				{"steps", newTimes, decideStep(d, 200*time.Millisecond)},
			} {
				var sum outcome
				for seed := range uint64(seeds) {
					sum.add(simulate(d, seed, time.Minute, way.times, way.plan))
				}
				n := float64(sum.shifts)
				fmt.Printf("| %.2f | %s | %s | %.1f | %d | %.3f | %.2f | %d | %.1f | %.0f | %.1f |\n",
					weight, name, way.name, 100*sum.late/seeds, sum.overPerShift().Milliseconds(), sum.meanPass/seeds, sum.skewShifted/seeds,
					sum.relieved.Milliseconds()/seeds, float64(sum.changes)/n, float64(sum.copies)/n, float64(sum.copies)/n*d.spec.ExpertBytes/1e9)
			}
		}
	}
}

func (o *outcome) add(other outcome) {
	o.shifts += other.shifts
	o.changes += other.changes
	o.copies += other.copies
	o.over += other.over
	o.late += other.late
	o.meanPass += other.meanPass
	o.relieved += other.relieved
	o.skewShifted += other.skewShifted
}
