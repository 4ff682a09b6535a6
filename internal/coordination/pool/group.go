package pool

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Times and weights of groups.
const (
	// passWeight is the weight of a new pass in the mean slowness, an average over
	// about seven passes, half a second.
	passWeight = 0.15
	// maxPassSlowness bounds the slowness taken from a single pass: a group that
	// is paused for a moment is not slow.
	maxPassSlowness = 5.0
	// newGroupSlowness is assumed of a group that has just formed, that is, whose
	// epoch is new or whose ranks are still cold. It starts with a map that has no
	// data on expert popularity, so that its busiest rank has two to three times
	// the mean load, and with a backlog of requests that waited meanwhile.
	newGroupSlowness = 2.5
	// newGroupPeriod is how long newGroupSlowness is assumed unless passes show
	// otherwise.
	newGroupPeriod = 2 * time.Second
	// slownessDecay is the time constant with which the observed slowness loses
	// its weight once no events arrive.
	slownessDecay = 2 * time.Second
	// gapMargin is the part of the target gap that the mean pass may take. Passes
	// that process prompts take up to half as long again.
	gapMargin = 0.8
	// minSlotShare is the least part of the slots that is used, however slow the
	// passes are: fewer requests would hardly make them faster.
	minSlotShare = 0.5
	// stallGaps is the number of target gaps without an event after which a group
	// counts as stalled.
	stallGaps = 4
	// groupAvoidTime is how long a group is avoided after a request there got no
	// answer and no other request had an event. A group that has lost a rank
	// stalls for 1.5 s before it refuses requests.
	groupAvoidTime = 500 * time.Millisecond
)

// group is an expert-parallel group. All its ranks begin each pass together,
// and each pass produces an event for every stream.
type group struct {
	epoch  uint64
	broken bool
	// expectedPass is the pass time given by the catalog for the requests
	// currently known.
	expectedPass time.Duration
	// slowness is the moving average of the ratio of pass time to expectedPass, or
	// 0 before the first pass.
	slowness   float64
	passModel  passModel
	lastEvent  time.Time
	streams    int       // streams of this entry that have had an event
	noAnswerAt time.Time // when a request got no answer and no other had an event
	formedAt   time.Time // when its epoch was first seen, if it had just formed
}

// updateGroups applies the newest state that any rank has announced of its
// group.
func (p *Pool) updateGroups(now time.Time) {
	newest := map[string]time.Time{}
	for _, s := range p.servers {
		name := s.info.Group
		if name == "" {
			continue
		}
		g := p.groups[name]
		if g == nil || s.info.Epoch > g.epoch {
			isNewEpoch := g != nil
			g = &group{epoch: s.info.Epoch}
			if isNewEpoch {
				g.formedAt = now
			}
			p.groups[name] = g
			delete(newest, name)
		}
		if s.info.Epoch == g.epoch && g.formedAt.IsZero() && now.Before(s.info.ColdUntil) {
			g.formedAt = now
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

// recordEvent records an event of one of the group's streams: gap is the time
// since the stream's previous event, or 0 for its first.
func (g *group) recordEvent(now time.Time, gap time.Duration) {
	g.lastEvent = now
	if gap == 0 {
		g.streams++
		g.passModel.unread = max(0, g.passModel.unread-1)
		return
	}
	if g.expectedPass == 0 {
		return
	}
	g.passModel.observe(gap)
	observed := min(maxPassSlowness, float64(gap)/float64(g.expectedPass))
	if g.slowness == 0 {
		g.slowness = observed
	}
	g.slowness += passWeight * (observed - g.slowness)
}

// recordEnd records the end of a request. It reports whether the request got no
// answer because the whole group had no events.
func (g *group) recordEnd(now time.Time, result Result, held time.Duration, begun bool) bool {
	if begun {
		g.streams = max(0, g.streams-1)
	} else {
		g.passModel.unread = max(0, g.passModel.unread-1)
	}
	if result != NoAnswer || g.lastEvent.After(now.Add(-held)) {
		return false
	}
	g.noAnswerAt = now
	return true
}

// isUnavailable reports whether the group takes no request now.
func (g *group) isUnavailable(now time.Time, targetGap time.Duration) bool {
	return g.isStalled(now, targetGap) || (targetGap > 0 && !g.passModel.mayRead(targetGap))
}

// isStalled reports whether the group does no work now.
func (g *group) isStalled(now time.Time, targetGap time.Duration) bool {
	if g.broken || now.Sub(g.noAnswerAt) < groupAvoidTime {
		return true
	}
	return targetGap > 0 && g.streams > 0 && now.Sub(g.lastEvent) > stallGaps*targetGap
}

// currentSlowness returns the ratio of the pass time to the one given by the
// catalog. It decays to 1 without events.
func (g *group) currentSlowness(now time.Time) float64 {
	if g.slowness == 0 {
		return 1
	}
	weight := math.Exp(-max(0, now.Sub(g.lastEvent)).Seconds() / slownessDecay.Seconds())
	return 1 + weight*(g.slowness-1)
}

// assumedSlowness is currentSlowness, or newGroupSlowness for a group that has just
// formed and whose passes are not known yet.
func (g *group) assumedSlowness(now time.Time) float64 {
	if g.slowness == 0 && now.Sub(g.formedAt) < newGroupPeriod {
		return newGroupSlowness
	}
	return g.currentSlowness(now)
}

// limit returns the number of requests at one rank up to which passes stay
// within the target gap.
func (g *group) limit(now time.Time, e *catalog.Engine, slots int, targetGap time.Duration) int {
	if e == nil || targetGap == 0 || e.StepsPerPass == 0 || e.RequestStepTime == 0 {
		return slots
	}
	if g.passModel.engine != nil && g.passModel.factor > 0 {
		return g.passModel.limit(slots, targetGap)
	}
	maxStepTime := gapMargin * float64(targetGap) / g.assumedSlowness(now) / float64(e.StepsPerPass)
	fitting := int((maxStepTime - float64(e.StepTime)) / float64(e.RequestStepTime))
	return min(slots, max(fitting, int(math.Ceil(minSlotShare*float64(slots)))))
}

// passTime returns the pass time given by the catalog for a number of requests
// at the busiest rank.
func passTime(e *catalog.Engine, requests int) time.Duration {
	return time.Duration(e.StepsPerPass) * (e.StepTime + time.Duration(requests)*e.RequestStepTime)
}

// updateExpectedPasses sets the expected pass time of each group for the
// current number of requests.
func (p *Pool) updateExpectedPasses() {
	for _, g := range p.groups {
		g.expectedPass = 0
		g.passModel.reset()
	}
	for _, svc := range p.services {
		if svc.spec.Engine == nil {
			continue
		}
		for _, s := range svc.servers {
			if g := p.groups[s.info.Group]; g != nil {
				g.passModel.add(svc, s.inFlight+s.peerLoad, p.entries)
				g.expectedPass = max(g.expectedPass, passTime(svc.spec.Engine, s.inFlight+s.peerLoad))
			}
		}
	}
}
