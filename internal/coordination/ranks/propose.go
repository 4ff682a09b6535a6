package ranks

import (
	"context"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// planGroup starts a change of a group if the gain justifies it, and takes over a
// change that an earlier leader has left.
func (b *Rebalancer) planGroup(ctx context.Context, term uint64, g Group, s *groupState) {
	spec, ok := b.cfg.Spec(g.Service)
	if !ok {
		return
	}
	isSettling := time.Since(s.lastEnded) < settleTime
	if isSettling && !(hasCosts(spec) && s.hasSwitched && s.current.epoch == g.Epoch) || b.isBalanced(g, s, spec) {
		return
	}
	s.lastReportRead = time.Now()
	reports, ok := b.readReports(ctx, g, s)
	if !ok {
		return
	}
	if isSettling {
		// Older reports may show the last change as unfinished.
		if !allUse(reports, s.current.version) {
			return
		}
	} else if b.takeOver(ctx, g, s, reports) {
		return
	}
	p := b.popularity[g.Service]
	if !isSettled(reports) || !b.readMap(ctx, g, s, reports, spec) || p == nil {
		return
	}
	groupLoad := load(spec, reports)
	plan := b.plan(s, spec, p, groupLoad)
	if plan == nil {
		return
	}
	// The term makes versions unique across leaders.
	version := term<<24 | b.versionCount.Add(1)&(1<<24-1)
	b.startChange(g, s, Target{Version: version, Map: plan.improved}, reports)
	s.change.copying = time.Duration(plan.perRank) * spec.CopyTime()
	if hasCosts(spec) {
		s.change.PassTime = s.passes.passTime
	}
	b.scope.Counter("map_changes_begun").Inc(1)
	b.scope.Counter("experts_copied").Inc(int64(plan.copies))
	b.log.Info("map change begins", "group", g.Name, "epoch", g.Epoch, "version", version,
		"load", groupLoad, "skew_before", plan.before, "skew_after", plan.after, "copies", plan.copies,
		"copies_per_rank", plan.perRank, "expected_ms", plan.expected.Milliseconds(), "lifetime_ms", plan.lifetime.Milliseconds())
}

// allUse reports whether all ranks use a version.
func allUse(reports []Report, version uint64) bool {
	return !slices.ContainsFunc(reports, func(r Report) bool { return r.MapVersion != version })
}

// plan plans a change of a group, or returns nil if none is justified. Where the
// costs of copies are known, the change is the next step towards even loads.
func (b *Rebalancer) plan(s *groupState, spec catalog.Experts, p *popularity, load float64) *plan {
	if !hasCosts(spec) {
		return p.improve(spec, s.current.content, load)
	}
	plan := p.improveStep(spec, s.current.content, s.costs(spec, p, load))
	if plan == nil {
		b.scope.Counter("map_steps_declined").Inc(1)
		skew, _ := p.meanSkew(spec, s.current.content)
		s.declined = declinedStep{at: time.Now(), version: s.current.version, skew: skew}
	} else {
		b.scope.Counter("map_steps_planned").Inc(1)
	}
	return plan
}

// costs returns what a step of a change costs now.
func (s *groupState) costs(spec catalog.Experts, p *popularity, load float64) costs {
	return costs{
		copyTime: spec.CopyTime(), orderTime: s.orderTime, expertShare: spec.ExpertShare,
		lifetime: p.shifts.remaining(time.Now()), load: load,
	}
}

// isBalanced reports whether no change of the map in use is justified even if all
// slots are taken, without reading from the ranks. It returns false if the last
// read is older than maxReportAge, since an earlier leader may have left an
// unfinished change.
func (b *Rebalancer) isBalanced(g Group, s *groupState, spec catalog.Experts) bool {
	p := b.popularity[g.Service]
	if p == nil || s.current.content == nil || s.current.epoch != g.Epoch || time.Since(s.lastReportRead) >= maxReportAge {
		return false
	}
	if hasCosts(spec) {
		skew, ok := p.meanSkew(spec, s.current.content)
		if !ok || s.declined.applies(time.Now(), s.current.version, skew) {
			return ok
		}
		return !s.costs(spec, p, 1).canPay(rebalance.Stage{Skew: skew, SeenSkew: p.seenSkew(spec, s.current.content)})
	}
	return !p.canImprove(spec, s.current.content, 1)
}

// applies reports whether a plan would most likely be declined again.
func (d declinedStep) applies(now time.Time, version uint64, skew float64) bool {
	return now.Sub(d.at) < declineInterval && d.version == version && skew <= d.skew+declineGrowth
}

// takeOver continues an unfinished change of an earlier leader, or releases a group
// that a delayed order has held. It reports whether there was either.
func (b *Rebalancer) takeOver(ctx context.Context, g Group, s *groupState, reports []Report) bool {
	if IsReleased(reports) {
		return true
	}
	if version := UnfinishedVersion(reports); version > 0 {
		held := slices.IndexFunc(reports, func(r Report) bool { return r.IsHeld })
		b.log.Warn("map change taken over", "group", g.Name, "epoch", g.Epoch, "version", version, "held_rank", held,
			"pass", reports[0].Pass, "armed_ranks", countArmed(reports), "ranks", len(reports))
		b.startChange(g, s, Target{Version: version}, reports)
		return true
	}
	orders := ReleaseOrders(reports)
	if len(orders) == 0 {
		return false
	}
	b.log.Warn("releasing held group", "group", g.Name, "epoch", g.Epoch, "pass", reports[orders[0].Rank].HeldPass)
	release := &activeChange{Change: NewChange(g.Epoch, Target{}, len(g.Ranks))}
	b.sendOrders(ctx, g, release, orders)
	s.recordRelease(release)
	return true
}

func countArmed(reports []Report) int {
	armed := 0
	for _, r := range reports {
		if r.ArmedVersion > 0 {
			armed++
		}
	}
	return armed
}

// recordRelease keeps the latest pass of a group that was ordered to go, for its
// next change.
func (s *groupState) recordRelease(c *activeChange) {
	if s.released.epoch != c.Epoch {
		s.released = releasedPass{epoch: c.Epoch}
	}
	s.released.pass = max(s.released.pass, c.ReleasedPass)
}

// isSettled reports whether all ranks use the same map and none is held or armed.
func isSettled(reports []Report) bool {
	return !slices.ContainsFunc(reports, func(r Report) bool {
		return r.MapVersion != reports[0].MapVersion || r.ArmedVersion > 0 || r.IsHeld || !r.Open
	})
}
