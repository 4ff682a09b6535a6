package ranks

import (
	"context"
	"sync"
	"time"
)

// startChange starts a change from the latest reports of the ranks.
func (b *Rebalancer) startChange(g Group, s *groupState, target Target, reports []Report) {
	c := &activeChange{Change: NewChange(g.Epoch, target, len(g.Ranks)), started: time.Now(), lastReportRead: time.Now()}
	if s.released.epoch == g.Epoch {
		c.ReleasedPass = s.released.pass
	}
	c.Observe(reports)
	s.change = c
}

// advance takes the next steps of a change and returns the time until the next
// ones.
func (b *Rebalancer) advance(ctx context.Context, g Group, s *groupState) time.Duration {
	c := s.change
	if g.Epoch != c.Epoch {
		b.endChange(g, s, Lost)
		return planInterval
	}
	if c.untilReport(time.Now()) <= 0 {
		c.lastReportRead = time.Now()
		if reports, ok := b.readReports(ctx, g, s); ok {
			c.Observe(reports)
		}
	}
	for range maxOrderRounds {
		orders := c.Next(time.Now())
		if len(orders) == 0 || !b.sendOrders(ctx, g, c, orders) {
			break
		}
	}
	if c.Stage() != c.loggedStage {
		c.loggedStage = c.Stage()
		b.log.Info("map change", "group", g.Name, "version", c.Target.Version, "stage", c.loggedStage.String(), "ms", time.Since(c.started).Milliseconds())
	}
	switch {
	case c.Stage() == Lost, c.Stage() == Switched:
		b.endChange(g, s, c.Stage())
	case !c.MustComplete() && time.Since(c.started) > changeTimeout:
		b.endChange(g, s, c.Stage())
	case c.MustComplete():
		return stepInterval
	}
	return min(reportInterval, max(0, c.untilReport(time.Now())))
}

// untilReport returns the time until the reports are due. While copies of known
// duration are made, the reports are first read at their expected end.
func (c *activeChange) untilReport(now time.Time) time.Duration {
	interval := reportInterval
	if c.copying > 0 && c.Stage() == Preparing {
		if rest := c.started.Add(c.copying + copyMargin).Sub(now); rest > 0 {
			return rest
		}
		interval = lateCopyInterval
	}
	return interval - now.Sub(c.lastReportRead)
}

func (b *Rebalancer) endChange(g Group, s *groupState, stage Stage) {
	c := s.change
	s.change = nil
	s.recordRelease(c)
	s.lastEnded, s.hasSwitched = time.Now(), stage == Switched && c.Target.Map != nil
	if s.hasSwitched {
		s.current = mapState{epoch: c.Epoch, version: c.Target.Version, content: c.Target.Map}
		if c.copying > 0 {
			// The group reaches the held pass about one pass after the go order.
			measured := min(max(0, time.Since(c.started)-c.copying)+c.PassTime, maxOrderTime)
			s.orderTime += time.Duration(orderTimeWeight * float64(measured-s.orderTime))
		}
	}
	b.scope.Tagged(map[string]string{"stage": stage.String()}).Counter("map_changes_ended").Inc(1)
	b.log.Info("map change ended", "group", g.Name, "epoch", c.Epoch, "version", c.Target.Version,
		"stage", stage.String(), "ms", time.Since(c.started).Milliseconds())
}

// sendOrders sends orders after a quorum has confirmed the leadership again. It
// reports whether all were answered.
func (b *Rebalancer) sendOrders(ctx context.Context, g Group, c *activeChange, orders []RankOrder) bool {
	if _, err := b.cfg.ConfirmLeadership(ctx); err != nil {
		return false
	}
	timeout := orderTimeout
	if _, ok := orders[0].Order.(Prepare); ok {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make([]Result, len(orders))
	var group sync.WaitGroup
	for i, o := range orders {
		group.Go(func() {
			var err error
			results[i], err = b.cfg.Client.Order(ctx, g.Ranks[o.Rank], c.Epoch, o.Order)
			b.log.Debug("order", "group", g.Name, "backend_server", g.Ranks[o.Rank].ID, "order", orderName(o.Order),
				"version", c.Target.Version, "result", results[i].String(), "error", err)
		})
	}
	group.Wait()
	now, answered := time.Now(), true
	for i, o := range orders {
		c.HandleResult(now, o, results[i])
		answered = answered && results[i] != Unanswered
	}
	b.scope.Counter("rank_orders").Inc(int64(len(orders)))
	return answered
}

func orderName(o Order) string {
	switch o.(type) {
	case Prepare:
		return "prepare"
	case Arm:
		return "arm"
	case Hold:
		return "hold"
	case Go:
		return "go"
	case Probe:
		return "probe"
	}
	return "unknown"
}
