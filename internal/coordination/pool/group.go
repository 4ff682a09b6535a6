package pool

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Times and weights of groups.
const (
	// passWeight is the weight of a new pass in the mean, an average over about
	// seven passes, half a second.
	passWeight = 0.15
	// maxSlowness bounds what one pass says of the next ones: a group that is
	// held for a moment is not slow.
	maxSlowness = 5.0
	// newSlowness is assumed of a group that has just formed, that is, whose epoch
	// is new or whose ranks are still cold. It begins with a map that knows nothing
	// of what is liked, whose busiest rank has two to three times the mean, and
	// with all that waited meanwhile.
	newSlowness = 2.5
	// newFor is how long that is assumed unless passes show otherwise.
	newFor = 2 * time.Second
	// slownessFade is the time in which what is known of a group's passes loses
	// its weight once no events come.
	slownessFade = 2 * time.Second
	// gapMargin is the part of the target gap that the mean pass may take.
	// Passes in which prompts are read take up to half as long again.
	gapMargin = 0.8
	// minShare is the least part of the slots that is used, however slow the
	// passes are: fewer requests would hardly be faster.
	minShare = 0.5
	// stallGaps is the number of target gaps without an event after which a group
	// stands still.
	stallGaps = 4
	// groupAvoid is how long a group is avoided after a request there got no
	// answer and nothing else did. A group that has lost a rank stalls for
	// 1.5 s before it refuses.
	groupAvoid = 500 * time.Millisecond
)

// group is an expert-parallel group. All its ranks begin each pass together, and
// each pass brings an event to every stream.
type group struct {
	epoch  uint64
	broken bool
	// passModel is the time that a pass takes by the catalog with the requests
	// that are known of.
	passModel time.Duration
	// slowness is how much longer passes take than by the catalog.
	slowness float64
	moved    time.Time // of the last event
	streams  int       // of this entry, with an event
	silent   time.Time // when a request got no answer and nothing moved
	formed   time.Time // when the entry heard of its epoch, if it had just formed
}

// updateGroups takes the newest that any rank has announced of its group.
func (p *Pool) updateGroups(now time.Time) {
	newest := map[string]time.Time{}
	for _, s := range p.servers {
		name := s.info.Group
		if name == "" {
			continue
		}
		g := p.groups[name]
		if g == nil || s.info.Epoch > g.epoch {
			isNew := g != nil
			g = &group{epoch: s.info.Epoch}
			if isNew {
				g.formed = now
			}
			p.groups[name] = g
			delete(newest, name)
		}
		if s.info.Epoch == g.epoch && g.formed.IsZero() && now.Before(s.info.ColdUntil) {
			g.formed = now
		}
		if s.info.Epoch == g.epoch && s.info.Received.After(newest[name]) {
			newest[name], g.broken = s.info.Received, s.info.Broken
		}
	}
	for name := range p.groups {
		if _, ok := newest[name]; !ok {
			delete(p.groups, name)
		}
	}
}

// event notes an event of one of its streams.
func (g *group) event(now time.Time, gap time.Duration) {
	g.moved = now
	if gap == 0 {
		g.streams++
		return
	}
	if g.passModel == 0 {
		return
	}
	seen := min(maxSlowness, float64(gap)/float64(g.passModel))
	if g.slowness == 0 {
		g.slowness = seen
	}
	g.slowness += passWeight * (seen - g.slowness)
}

// end notes the end of a request. It says whether the request got no answer
// because the whole group gave none.
func (g *group) end(now time.Time, result Result, held time.Duration, begun bool) bool {
	if begun {
		g.streams = max(0, g.streams-1)
	}
	if result != NoAnswer || g.moved.After(now.Add(-held)) {
		return false
	}
	g.silent = now
	return true
}

// rests says that the group does no work now.
func (g *group) rests(now time.Time, targetGap time.Duration) bool {
	if g.broken || now.Sub(g.silent) < groupAvoid {
		return true
	}
	return targetGap > 0 && g.streams > 0 && now.Sub(g.moved) > stallGaps*targetGap
}

// slow returns how much longer passes take than by the catalog.
func (g *group) slow(now time.Time) float64 {
	if g.slowness == 0 {
		return 1
	}
	weight := math.Exp(-max(0, now.Sub(g.moved)).Seconds() / slownessFade.Seconds())
	return 1 + weight*(g.slowness-1)
}

// limit returns the number of requests at one rank with which passes take no
// longer than the target gap.
func (g *group) limit(now time.Time, e *catalog.Engine, slots int, targetGap time.Duration) int {
	if e == nil || targetGap == 0 || e.StepsPerPass == 0 || e.RequestStepTime == 0 {
		return slots
	}
	slowness := g.slow(now)
	if g.slowness == 0 && now.Sub(g.formed) < newFor {
		slowness = newSlowness
	}
	step := gapMargin * float64(targetGap) / slowness / float64(e.StepsPerPass)
	fitting := int((step - float64(e.StepTime)) / float64(e.RequestStepTime))
	return min(slots, max(fitting, int(math.Ceil(minShare*float64(slots)))))
}

// passTime is the time of a pass by the catalog with a number of requests at the
// busiest rank.
func passTime(e *catalog.Engine, requests int) time.Duration {
	return time.Duration(e.StepsPerPass) * (e.StepTime + time.Duration(requests)*e.RequestStepTime)
}

// modelPasses sets what passes should take with the requests of now.
func (p *Pool) modelPasses() {
	for _, g := range p.groups {
		g.passModel = 0
	}
	for _, svc := range p.services {
		if svc.spec.Engine == nil {
			continue
		}
		for _, s := range svc.servers {
			if g := p.groups[s.info.Group]; g != nil {
				g.passModel = max(g.passModel, passTime(svc.spec.Engine, s.inFlight+s.others))
			}
		}
	}
}
