package ranks

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Intervals and limits of a Rebalancer.
const (
	// planInterval is the time between two plans from new expert counts. Expert
	// popularity changes every few seconds, and until the map is adapted, all
	// passes take up to twice as long.
	planInterval = 300 * time.Millisecond
	// stepInterval is the time between two rounds of orders while a group may be
	// held.
	stepInterval = 20 * time.Millisecond
	// reportInterval is the time between two reads of the reports during a change.
	// A rank copies an expert in about 50 ms.
	reportInterval = 100 * time.Millisecond
	// settleTime is the time after the end of a change during which the reports of
	// the group may not show it yet: reports from remote ranks are 200 ms old.
	settleTime = 400 * time.Millisecond
	// maxReportAge is the longest time between two reads of a group's reports.
	maxReportAge = time.Second
	// leadershipCheckInterval is the time between two checks for leadership.
	// leadershipSettleTime is how long a new leader waits for orders of the
	// previous one that may still be in flight.
	leadershipCheckInterval = 100 * time.Millisecond
	leadershipSettleTime    = 200 * time.Millisecond
	// callTimeout bounds a read from a rank, or a prepare order, which contains a
	// complete map. orderTimeout bounds any other order, which takes a few
	// milliseconds.
	callTimeout  = 250 * time.Millisecond
	orderTimeout = 100 * time.Millisecond
	// maxOrderRounds bounds the rounds of orders between two reads of the reports.
	maxOrderRounds = 8
	// changeTimeout is the time after which a change is abandoned if no rank is
	// held or armed.
	changeTimeout = 15 * time.Second
	// sampledRanks is the number of ranks of a group whose counts are read.
	// Requests are spread evenly, so a few ranks are representative.
	sampledRanks = 8
	// defaultOrderTime is the time of a change without its copies before any has
	// ended: reports, orders, and the passes up to the one that is held.
	// orderTimeWeight is the weight of a new measurement in its mean, and
	// maxOrderTime bounds a measurement: a rank that does not answer for a while
	// must not end all changes.
	defaultOrderTime = 250 * time.Millisecond
	orderTimeWeight  = 0.2
	maxOrderTime     = 500 * time.Millisecond
)

// Config configures a Rebalancer.
type Config struct {
	Client EngineClient
	// Groups returns the groups all of whose ranks are present.
	Groups func() []Group
	// Spec describes the experts of a service; ok is false if it has none.
	Spec func(service string) (spec catalog.Experts, ok bool)
	// ConfirmLeadership returns the term in which this process may send orders, or
	// an error if it is not the leader. Later leaders have higher terms.
	ConfirmLeadership func(ctx context.Context) (term uint64, err error)
}

// Rebalancer balances the expert maps of all groups while its process is the
// leader. Use New.
type Rebalancer struct {
	cfg   Config
	log   hclog.Logger
	scope tally.Scope

	popularity     map[string]*popularity   // by service
	maps           map[string]mapState      // by group
	changes        map[string]*activeChange // by group
	lastEnded      map[string]time.Time     // end of the last change, by group
	lastReportRead map[string]time.Time     // last read of the reports outside a change, by group
	released       map[string]releasedPass  // by group
	orderTime      time.Duration            // mean duration of a change without its copies
	versionCount   uint64
	term           uint64
	leaderSince    time.Time
}

// releasedPass is the latest pass of an epoch that was ordered to go.
type releasedPass struct{ epoch, pass uint64 }

// activeChange is a change in progress.
type activeChange struct {
	*Change
	started        time.Time
	copying        time.Duration // expected time of its copies; 0 if unknown
	lastReportRead time.Time
	loggedStage    Stage
}

// New starts a Rebalancer. Its goroutine stops when ctx is done.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) *Rebalancer {
	b := &Rebalancer{
		cfg: cfg, log: log, scope: scope,
		popularity: map[string]*popularity{}, maps: map[string]mapState{}, changes: map[string]*activeChange{}, lastEnded: map[string]time.Time{}, lastReportRead: map[string]time.Time{},
		released: map[string]releasedPass{}, orderTime: defaultOrderTime,
	}
	go func() {
		var lastPlanned time.Time
		timer := time.NewTimer(planInterval)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			timer.Reset(b.runOnce(ctx, &lastPlanned))
		}
	}()
	return b
}

// runOnce plans and advances the changes of all groups and returns the time until
// the next run.
func (b *Rebalancer) runOnce(ctx context.Context, lastPlanned *time.Time) time.Duration {
	term, err := b.cfg.ConfirmLeadership(ctx)
	if err != nil {
		clear(b.changes)
		clear(b.maps)
		return leadershipCheckInterval
	}
	if term != b.term {
		b.term = term
		b.leaderSince = time.Now()
	}
	if time.Since(b.leaderSince) < leadershipSettleTime {
		return leadershipSettleTime
	}
	groups := b.cfg.Groups()
	if time.Since(*lastPlanned) >= planInterval {
		*lastPlanned = time.Now()
		b.observePopularity(ctx, groups)
		b.planAll(ctx, term, groups)
	}
	wait := planInterval - time.Since(*lastPlanned)
	for _, g := range groups {
		if c := b.changes[g.Name]; c != nil {
			wait = min(wait, b.advance(ctx, g, c))
		}
	}
	return max(wait, stepInterval)
}

// planAll starts a change for each group where the gain justifies it, and takes
// over changes that an earlier leader has left.
func (b *Rebalancer) planAll(ctx context.Context, term uint64, groups []Group) {
	for _, g := range groups {
		spec, ok := b.cfg.Spec(g.Service)
		if !ok || b.changes[g.Name] != nil || time.Since(b.lastEnded[g.Name]) < settleTime || b.isBalanced(g, spec) {
			continue
		}
		b.lastReportRead[g.Name] = time.Now()
		reports, ok := b.readReports(ctx, g)
		if !ok || b.takeOver(ctx, g, reports) {
			continue
		}
		if !isSettled(reports) || !b.readMap(ctx, g, reports, spec) {
			continue
		}
		p := b.popularity[g.Service]
		if p == nil {
			continue
		}
		groupLoad := load(spec, reports)
		plan := b.plan(g, spec, p, groupLoad)
		if plan == nil {
			continue
		}
		b.versionCount++
		// The term makes versions unique across leaders.
		version := term<<24 | b.versionCount&(1<<24-1)
		b.startChange(g, Target{Version: version, Map: plan.improved}, reports)
		b.changes[g.Name].copying = time.Duration(plan.perRank) * spec.CopyTime()
		b.scope.Counter("map_changes_begun").Inc(1)
		b.scope.Counter("experts_copied").Inc(int64(plan.copies))
		b.log.Info("map change begins", "group", g.Name, "epoch", g.Epoch, "version", version,
			"load", groupLoad, "skew_before", plan.before, "skew_after", plan.after, "copies", plan.copies,
			"copies_per_rank", plan.perRank, "expected_ms", plan.expected.Milliseconds(), "lifetime_ms", plan.lifetime.Milliseconds())
	}
}

// plan plans a change of a group, or returns nil if none is justified. Where the
// costs of copies are known, the change is the next step towards even loads.
func (b *Rebalancer) plan(g Group, spec catalog.Experts, p *popularity, load float64) *plan {
	current := b.maps[g.Name].content
	if !hasCosts(spec) {
		return p.improve(spec, current, load)
	}
	plan := p.improveStep(spec, current, b.costs(spec, p, load))
	if plan == nil {
		b.scope.Counter("map_steps_declined").Inc(1)
	} else {
		b.scope.Counter("map_steps_planned").Inc(1)
	}
	return plan
}

// costs returns what a step of a change costs now.
func (b *Rebalancer) costs(spec catalog.Experts, p *popularity, load float64) costs {
	return costs{
		copyTime: spec.CopyTime(), orderTime: b.orderTime, expertShare: spec.ExpertShare,
		lifetime: p.shifts.remaining(time.Now()), load: load,
	}
}

// isBalanced reports whether no change of the map in use is justified even if all
// slots are taken, without reading from the ranks. It returns false if the last
// read is older than maxReportAge, since an earlier leader may have left an
// unfinished change.
func (b *Rebalancer) isBalanced(g Group, spec catalog.Experts) bool {
	cached, p := b.maps[g.Name], b.popularity[g.Service]
	if p == nil || cached.content == nil || cached.epoch != g.Epoch || time.Since(b.lastReportRead[g.Name]) >= maxReportAge {
		return false
	}
	if hasCosts(spec) {
		skew, ok := p.meanSkew(spec, cached.content)
		return ok && !b.costs(spec, p, 1).canPay(rebalance.Stage{Skew: skew, SeenSkew: p.seenSkew(spec, cached.content)})
	}
	return !p.canImprove(spec, cached.content, 1)
}

// takeOver continues an unfinished change of an earlier leader, or releases a group
// that a delayed order has held. It reports whether there was either.
func (b *Rebalancer) takeOver(ctx context.Context, g Group, reports []Report) bool {
	if IsReleased(reports) {
		return true
	}
	if version := UnfinishedVersion(reports); version > 0 {
		held := slices.IndexFunc(reports, func(r Report) bool { return r.IsHeld })
		b.log.Warn("map change taken over", "group", g.Name, "epoch", g.Epoch, "version", version, "held_rank", held,
			"pass", reports[0].Pass, "armed_ranks", countArmed(reports), "ranks", len(reports))
		b.startChange(g, Target{Version: version}, reports)
		return true
	}
	orders := ReleaseOrders(reports)
	if len(orders) == 0 {
		return false
	}
	b.log.Warn("releasing held group", "group", g.Name, "epoch", g.Epoch, "pass", reports[orders[0].Rank].HeldPass)
	release := &activeChange{Change: NewChange(g.Epoch, Target{}, len(g.Ranks))}
	b.sendOrders(ctx, g, release, orders)
	b.recordRelease(g, release)
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
func (b *Rebalancer) recordRelease(g Group, c *activeChange) {
	last := b.released[g.Name]
	if last.epoch != c.Epoch {
		last = releasedPass{epoch: c.Epoch}
	}
	last.pass = max(last.pass, c.ReleasedPass)
	b.released[g.Name] = last
}

// isSettled reports whether all ranks use the same map and none is held or armed.
func isSettled(reports []Report) bool {
	return !slices.ContainsFunc(reports, func(r Report) bool {
		return r.MapVersion != reports[0].MapVersion || r.ArmedVersion > 0 || r.IsHeld || !r.Open
	})
}

// startChange starts a change from the latest reports of the ranks.
func (b *Rebalancer) startChange(g Group, target Target, reports []Report) {
	c := &activeChange{Change: NewChange(g.Epoch, target, len(g.Ranks)), started: time.Now(), lastReportRead: time.Now()}
	if last := b.released[g.Name]; last.epoch == g.Epoch {
		c.ReleasedPass = last.pass
	}
	c.Observe(reports)
	b.changes[g.Name] = c
}

// advance takes the next steps of a change and returns the time until the next
// ones.
func (b *Rebalancer) advance(ctx context.Context, g Group, c *activeChange) time.Duration {
	if g.Epoch != c.Epoch {
		b.endChange(g, c, Lost)
		return planInterval
	}
	if time.Since(c.lastReportRead) >= reportInterval {
		c.lastReportRead = time.Now()
		if reports, ok := b.readReports(ctx, g); ok {
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
		b.endChange(g, c, c.Stage())
	case !c.MustComplete() && time.Since(c.started) > changeTimeout:
		b.endChange(g, c, c.Stage())
	case c.MustComplete():
		return stepInterval
	}
	return reportInterval
}

func (b *Rebalancer) endChange(g Group, c *activeChange, stage Stage) {
	delete(b.changes, g.Name)
	b.recordRelease(g, c)
	b.lastEnded[g.Name] = time.Now()
	if stage == Switched && c.copying > 0 {
		measured := max(0, time.Since(c.started)-c.copying)
		b.orderTime += time.Duration(orderTimeWeight * float64(min(measured, maxOrderTime)-b.orderTime))
	}
	if stage == Switched && c.Target.Map != nil {
		b.maps[g.Name] = mapState{epoch: c.Epoch, version: c.Target.Version, content: c.Target.Map}
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
