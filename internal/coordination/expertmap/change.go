package expertmap

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// phase is the progress of a change.
type phase uint8

const (
	idle phase = iota
	// proposed: waits until the change of an earlier leader is abandoned.
	proposed
	staging
	promising
	// deciding: a decision may be in the log; only the record shows its result.
	deciding
)

// rankState is what one rank has reported. Within an incarnation the step and
// the versions only increase.
type rankState struct {
	incarnation    uint64
	step           uint64
	mapVersion     uint64
	resolved       uint64
	staged         uint64
	promised       uint64
	promisedStep   uint64
	refused        uint64
	stepTime       time.Duration
	stepReportedAt time.Time // when step was first received
}

// group is the coordinator's state of one group.
type group struct {
	record Record
	// established: this leader has decided a version itself, so that no change
	// of an earlier leader is undecided.
	established bool
	ranks       map[uint32]*rankState

	phase      phase
	placement  []*peer.RankPlacement
	switchStep uint64
	phaseStart time.Time
	decision   Decision
	proposedAt time.Time // last proposal of decision
	reason     Reason
	// marginFactor multiplies the margin; it doubles after a change that a rank
	// refused because it had already started the switch step.
	marginFactor uint64
}

const maxMarginFactor = 16

func newGroup(r Record) *group {
	return &group{record: r, ranks: map[uint32]*rankState{}, marginFactor: 1}
}

// version returns the version of the open change.
func (g *group) version() uint64 { return g.record.Version + 1 }

// propose begins a change to a placement if no other is open.
func (g *group) propose(now time.Time, placement []*peer.RankPlacement) []Effect {
	if g.placement != nil {
		return []Effect{Refused{Group: g.record.Group, Reason: ChangeOpen}}
	}
	if g.hasJoiningRank() {
		// The change would be abandoned at once and use up a map version.
		return []Effect{Refused{Group: g.record.Group, Reason: RankRestarted}}
	}
	if !validPlacement(placement) {
		return []Effect{Refused{Group: g.record.Group, Reason: BadPlacement}}
	}
	if g.record.Current.Version != 0 && !sameRanks(placement, g.record.Current.Placement) {
		return []Effect{Refused{Group: g.record.Group, Reason: RanksDiffer}}
	}
	g.placement = placement
	if g.phase == idle {
		g.enter(proposed, now)
	}
	return nil
}

func (g *group) enter(p phase, now time.Time) {
	g.phase, g.phaseStart = p, now
}

// tick advances the change as far as the ranks' reports allow.
func (g *group) tick(cfg Config, now time.Time) []Effect {
	var effects []Effect
	if !g.established && g.phase != deciding {
		g.decide(now, Decision{}, LeaderChange)
	}
	if g.phase == proposed {
		g.enter(staging, now)
		effects = append(effects, Opened{Group: g.record.Group, Version: g.version(), Fencing: g.record.Fencing})
	}
	g.abandonFailed(cfg, now)
	if g.phase == staging && g.allRanks(func(r *rankState) bool { return r.staged == g.version() }) {
		g.switchStep = g.chooseSwitchStep(cfg, now)
		g.enter(promising, now)
	}
	if g.phase == promising && g.allRanks(func(r *rankState) bool {
		return r.promised == g.version() && r.promisedStep == g.switchStep
	}) {
		g.decide(now, Decision{Commit: true, SwitchStep: g.switchStep, Placement: g.placement}, Committed)
	}
	if g.phase == deciding && (g.proposedAt.IsZero() || now.Sub(g.proposedAt) >= cfg.DecideRetry) {
		g.proposedAt = now
		effects = append(effects, Decide{Decision: g.decision})
	}
	return effects
}

// abandonFailed abandons a change that cannot succeed.
func (g *group) abandonFailed(cfg Config, now time.Time) {
	switch g.phase {
	case staging:
		if g.hasJoiningRank() {
			g.decide(now, Decision{}, RankRestarted)
		} else if now.Sub(g.phaseStart) >= cfg.StageTimeout {
			g.decide(now, Decision{}, StageTimeout)
		}
	case promising:
		for _, r := range g.ranks {
			if r.refused == g.version() {
				g.marginFactor = min(2*g.marginFactor, maxMarginFactor)
				g.decide(now, Decision{}, StepPassed)
				return
			}
		}
		if now.Sub(g.phaseStart) >= cfg.PromiseTimeout {
			g.decide(now, Decision{}, PromiseTimeout)
		}
	}
}

// hasJoiningRank reports whether a restarted rank has no map yet. It gets none
// while a change is open.
func (g *group) hasJoiningRank() bool {
	for _, r := range g.ranks {
		if r.mapVersion == 0 && g.record.Current.Version != 0 {
			return true
		}
	}
	return false
}

func (g *group) decide(now time.Time, d Decision, reason Reason) {
	d.Group, d.Version = g.record.Group, g.version()
	g.decision, g.reason, g.proposedAt = d, reason, time.Time{}
	g.enter(deciding, now)
}

// applied stores a newer record, which ends the open change. A proposal that
// waited for the first decision of this leader stays pending.
func (g *group) applied(r Record) []Effect {
	if r.Version <= g.record.Version {
		return nil
	}
	g.record = r
	if g.phase == idle {
		return nil
	}
	reason := g.reason
	committed := r.Current.Version == r.Version
	switch {
	case committed:
		reason = Committed
	case reason == Committed:
		reason = LeaderChange
	}
	firstDecision := !g.established
	g.established = true
	pending := g.placement
	g.phase, g.placement, g.switchStep, g.decision = idle, nil, 0, Decision{}
	if firstDecision {
		if pending != nil {
			g.placement, g.phase = pending, proposed
		}
		return nil
	}
	if committed {
		g.marginFactor = 1
	}
	return []Effect{Finished{Group: r.Group, Version: r.Version, Reason: reason}}
}

// allRanks reports whether a condition holds for every rank of the placement.
func (g *group) allRanks(satisfied func(*rankState) bool) bool {
	for _, p := range g.placement {
		r := g.ranks[p.Rank]
		if r == nil || !satisfied(r) {
			return false
		}
	}
	return len(g.placement) > 0
}

// chooseSwitchStep returns a switch step above the step that the ranks will have
// reached when the decision arrives, estimated from the reports and their age.
func (g *group) chooseSwitchStep(cfg Config, now time.Time) uint64 {
	stepTime := time.Duration(0)
	for _, r := range g.ranks {
		if r.stepTime > 0 && (stepTime == 0 || r.stepTime < stepTime) {
			stepTime = r.stepTime
		}
	}
	if stepTime == 0 {
		stepTime = cfg.DefaultStepTime
	}
	running := g.record.Current.Version != 0
	reached := g.record.Current.SwitchStep
	for _, r := range g.ranks {
		running = running || r.step > 0
		reached = max(reached, r.step+uint64(now.Sub(r.stepReportedAt)/stepTime))
	}
	if !running {
		return 1
	}
	margin := max(uint64(cfg.Margin/stepTime), cfg.MinMarginSteps)
	return reached + margin*g.marginFactor
}

func validPlacement(placement []*peer.RankPlacement) bool {
	seen := map[uint32]bool{}
	for _, p := range placement {
		if seen[p.Rank] {
			return false
		}
		seen[p.Rank] = true
	}
	return len(placement) > 0
}

func sameRanks(a, b []*peer.RankPlacement) bool {
	in := map[uint32]bool{}
	for _, p := range a {
		in[p.Rank] = true
	}
	for _, p := range b {
		if !in[p.Rank] {
			return false
		}
	}
	return len(a) == len(b)
}
