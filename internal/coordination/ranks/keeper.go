package ranks

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Times of the keeper.
const (
	// planInterval is the time between two looks at the experts chosen. What is
	// liked changes every few seconds, and until the map follows all passes take
	// up to twice as long.
	planInterval = 300 * time.Millisecond
	// stepInterval is the time between two tries of orders while a group may be
	// held.
	stepInterval = 20 * time.Millisecond
	// reportInterval is the time between two looks at the reports during a
	// change. A rank copies an expert in about 50 ms.
	reportInterval = 100 * time.Millisecond
	// settleTime is how long the reports of a group may not show a change: reports
	// from afar are 200 ms old.
	settleTime = 400 * time.Millisecond
	// reportAge is the longest time between two looks at the reports of a group.
	reportAge = time.Second
	// leadInterval is the time between two looks at whether this keeper leads, and
	// leadSettle the time for orders that the last leader may have on their way.
	leadInterval = 100 * time.Millisecond
	leadSettle   = 200 * time.Millisecond
	// callTimeout bounds a question to a rank, or an order to copy, which holds a
	// whole map. orderTimeout bounds any other order, which takes a few
	// milliseconds.
	callTimeout  = 250 * time.Millisecond
	orderTimeout = 100 * time.Millisecond
	// maxSteps bounds the rounds of orders without a look at the reports.
	maxSteps = 8
	// changeTimeout ends a change that has armed nothing by then.
	changeTimeout = 15 * time.Second
	// sampledRanks is the number of ranks of a group whose counts are read:
	// requests are spread evenly, so a few speak for all.
	sampledRanks = 8
)

// Config configures a Rebalancer.
type Config struct {
	Client EngineClient
	// Groups returns the groups that are complete now.
	Groups func() []Group
	// Spec describes the experts of a service; ok is false if it has none.
	Spec func(service string) (spec catalog.Experts, ok bool)
	// ConfirmLeadership returns an error unless this process may send orders, and otherwise
	// a number that no earlier leader had.
	ConfirmLeadership func(ctx context.Context) (term uint64, err error)
}

// Rebalancer keeps the maps of all groups even while it leads. Use New.
type Rebalancer struct {
	cfg   Config
	log   hclog.Logger
	scope tally.Scope

	popularity map[string]*popularity // by service
	maps       map[string]knownMap    // by group
	changes    map[string]*change     // by group
	ended      map[string]time.Time   // of the last change, by group
	reported   map[string]time.Time   // of the last look at its reports, by group
	versions   uint64
	term       uint64
	led        time.Time // since when this keeper leads
}

// change is a change that is open.
type change struct {
	*Change
	began   time.Time
	asked   time.Time // when reports were last asked for
	changed Stage
}

// New starts a keeper. It ends with ctx.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) *Rebalancer {
	k := &Rebalancer{
		cfg: cfg, log: log, scope: scope,
		popularity: map[string]*popularity{}, maps: map[string]knownMap{}, changes: map[string]*change{}, ended: map[string]time.Time{}, reported: map[string]time.Time{},
	}
	go func() {
		var planned time.Time
		timer := time.NewTimer(planInterval)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			timer.Reset(k.round(ctx, &planned))
		}
	}()
	return k
}

// round looks after all groups once and returns when to do so again.
func (k *Rebalancer) round(ctx context.Context, planned *time.Time) time.Duration {
	term, err := k.cfg.ConfirmLeadership(ctx)
	if err != nil {
		clear(k.changes)
		clear(k.maps)
		return leadInterval
	}
	if term != k.term {
		k.term = term
		k.led = time.Now()
	}
	if time.Since(k.led) < leadSettle {
		return leadSettle
	}
	groups := k.cfg.Groups()
	if time.Since(*planned) >= planInterval {
		*planned = time.Now()
		k.look(ctx, groups)
		k.planAll(ctx, term, groups)
	}
	wait := planInterval - time.Since(*planned)
	for _, g := range groups {
		if c := k.changes[g.Name]; c != nil {
			wait = min(wait, k.advance(ctx, g, c))
		}
	}
	return max(wait, stepInterval)
}

// planAll begins changes where one is worth it, and takes over those that
// another keeper has left.
func (k *Rebalancer) planAll(ctx context.Context, term uint64, groups []Group) {
	for _, g := range groups {
		spec, ok := k.cfg.Spec(g.Service)
		if !ok || k.changes[g.Name] != nil || time.Since(k.ended[g.Name]) < settleTime || k.isEven(g, spec) {
			continue
		}
		k.reported[g.Name] = time.Now()
		reports, ok := k.reports(ctx, g)
		if !ok || k.takeOver(ctx, g, reports) {
			continue
		}
		if !isSettled(reports) || !k.learn(ctx, g, reports, spec) {
			continue
		}
		p := k.popularity[g.Service]
		if p == nil {
			continue
		}
		taken := load(spec, reports)
		plan := p.improve(spec, k.maps[g.Name].content, taken)
		if plan == nil {
			continue
		}
		k.versions++
		// Later leaders have higher terms, so versions never repeat.
		version := term<<24 | k.versions&(1<<24-1)
		k.open(g, Target{Version: version, Map: plan.next}, reports)
		k.scope.Counter("map_changes_begun").Inc(1)
		k.log.Info("map change begins", "group", g.Name, "epoch", g.Epoch, "version", version,
			"load", taken, "skew_before", plan.before, "skew_after", plan.after, "copies", plan.copies)
	}
}

// isEven says that no change of the map in use is worth it even if all slots are
// taken, as far as is known without asking the ranks. They are asked now and then
// all the same: another keeper may have left something.
func (k *Rebalancer) isEven(g Group, spec catalog.Experts) bool {
	known, p := k.maps[g.Name], k.popularity[g.Service]
	return p != nil && known.content != nil && known.epoch == g.Epoch &&
		time.Since(k.reported[g.Name]) < reportAge && !p.mayGain(spec, known.content, 1)
}

// takeOver completes what another keeper, or an order that came late, has left.
// It says whether there was anything.
func (k *Rebalancer) takeOver(ctx context.Context, g Group, reports []Report) bool {
	if version := UnfinishedVersion(reports); version > 0 {
		if known := k.maps[g.Name]; known.epoch == g.Epoch && known.version == version {
			// The group was let go and has not reached the pass yet.
			return true
		}
		k.log.Warn("map change taken over", "group", g.Name, "epoch", g.Epoch, "version", version)
		k.open(g, Target{Version: version}, reports)
		return true
	}
	orders := ReleaseOrders(reports)
	if len(orders) == 0 {
		return false
	}
	k.log.Warn("group is released", "group", g.Name, "epoch", g.Epoch, "pass", reports[orders[0].Rank].HeldPass)
	k.send(ctx, g, &change{Change: NewChange(g.Epoch, Target{}, len(g.Ranks))}, orders)
	return true
}

// isSettled says that all ranks use one map and none is held or armed.
func isSettled(reports []Report) bool {
	return !slices.ContainsFunc(reports, func(r Report) bool {
		return r.MapVersion != reports[0].MapVersion || r.ArmedVersion > 0 || r.IsHeld || !r.Open
	})
}

// open begins a change by what the ranks have just reported.
func (k *Rebalancer) open(g Group, target Target, reports []Report) {
	c := &change{Change: NewChange(g.Epoch, target, len(g.Ranks)), began: time.Now(), asked: time.Now()}
	c.Observe(reports)
	k.changes[g.Name] = c
}

// advance takes the next steps of a change and returns when to look again.
func (k *Rebalancer) advance(ctx context.Context, g Group, c *change) time.Duration {
	if g.Epoch != c.Epoch {
		k.end(g, c, Lost)
		return planInterval
	}
	if time.Since(c.asked) >= reportInterval {
		c.asked = time.Now()
		if reports, ok := k.reports(ctx, g); ok {
			c.Observe(reports)
		}
	}
	for range maxSteps {
		orders := c.Next(time.Now())
		if len(orders) == 0 || !k.send(ctx, g, c, orders) {
			break
		}
	}
	if c.Stage() != c.changed {
		c.changed = c.Stage()
		k.log.Info("map change", "group", g.Name, "version", c.Target.Version, "stage", c.changed.String(), "ms", time.Since(c.began).Milliseconds())
	}
	switch {
	case c.Stage() == Lost, c.Stage() == Switched:
		k.end(g, c, c.Stage())
	case !c.MustComplete() && time.Since(c.began) > changeTimeout:
		k.end(g, c, c.Stage())
	case c.MustComplete():
		return stepInterval
	}
	return reportInterval
}

func (k *Rebalancer) end(g Group, c *change, stage Stage) {
	delete(k.changes, g.Name)
	k.ended[g.Name] = time.Now()
	if stage == Switched && c.Target.Map != nil {
		k.maps[g.Name] = knownMap{epoch: c.Epoch, version: c.Target.Version, content: c.Target.Map}
	}
	k.scope.Tagged(map[string]string{"stage": stage.String()}).Counter("map_changes_ended").Inc(1)
	k.log.Info("map change ended", "group", g.Name, "epoch", c.Epoch, "version", c.Target.Version,
		"stage", stage.String(), "ms", time.Since(c.began).Milliseconds())
}

// send sends orders after a quorum has confirmed the leader once more. It says
// whether all were answered.
func (k *Rebalancer) send(ctx context.Context, g Group, c *change, orders []RankOrder) bool {
	if _, err := k.cfg.ConfirmLeadership(ctx); err != nil {
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
			results[i], err = k.cfg.Client.Order(ctx, g.Ranks[o.Rank], c.Epoch, o.Order)
			k.log.Debug("order", "group", g.Name, "backend_server", g.Ranks[o.Rank].ID, "order", name(o.Order),
				"version", c.Target.Version, "result", results[i].String(), "error", err)
		})
	}
	group.Wait()
	now, answered := time.Now(), true
	for i, o := range orders {
		c.HandleResult(now, o, results[i])
		answered = answered && results[i] != Unanswered
	}
	k.scope.Counter("rank_orders").Inc(int64(len(orders)))
	return answered
}

func name(o Order) string {
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
