package ranks

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Intervals and limits of a Rebalancer.
const (
	// planInterval is the time between two plans from new expert counts. Expert
	// popularity changes every few seconds, and until the map is adapted, all
	// passes take up to twice as long.
	planInterval = 300 * time.Millisecond
	// quickPlanInterval is planInterval where the costs of copies are known: the
	// time until a shift is noticed then is a large part of that until the first
	// step is in force.
	quickPlanInterval = 150 * time.Millisecond
	// declineInterval is the time after a plan in which no step paid until the next
	// one, unless the mean skew has grown by more than declineGrowth: a plan takes
	// several milliseconds of processor time and reads all reports.
	declineInterval = 600 * time.Millisecond
	declineGrowth   = 0.08
	// stepInterval is the time between two rounds of orders while a group may be
	// held.
	stepInterval = 20 * time.Millisecond
	// reportInterval is the time between two reads of the reports during a change.
	// A rank copies an expert in about 50 ms.
	reportInterval = 100 * time.Millisecond
	// copyMargin is the time after the expected end of the copies at which the
	// reports are read for the first time: the prepare orders take about that long.
	// lateCopyInterval is reportInterval from then on.
	copyMargin       = 30 * time.Millisecond
	lateCopyInterval = 40 * time.Millisecond
	// settleTime is the time after the end of a change during which the reports of
	// the group may not show it yet: reports from remote ranks are 200 ms old. Where
	// the costs of copies are known, the next step begins earlier if all reports
	// show the version of the last one.
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

	popularity   map[string]*popularity // by service
	lastPlanned  map[string]time.Time   // by service
	groups       map[string]*groupState // by name
	versionCount atomic.Uint64
	term         uint64
	leaderSince  time.Time
}

// groupState is what the leader knows of one group. At most one goroutine uses it at a
// time: groups are handled concurrently, since each call to a rank takes milliseconds
// and all groups of a service change their maps after the same shift.
type groupState struct {
	current        mapState
	change         *activeChange // nil outside a change
	lastEnded      time.Time     // end of the last change
	hasSwitched    bool          // the last change ended with a switch to current
	lastReportRead time.Time     // last read of the reports outside a change
	released       releasedPass
	orderTime      time.Duration // mean duration of a change without its copies
	passes         passClock
	declined       declinedStep
	invalidMap     string // why the lists of the ranks were last not used
}

// declinedStep is a plan in which no step paid.
type declinedStep struct {
	at      time.Time
	version uint64  // of the map in use
	skew    float64 // mean skew
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
		popularity: map[string]*popularity{}, lastPlanned: map[string]time.Time{}, groups: map[string]*groupState{},
	}
	go func() {
		timer := time.NewTimer(planInterval)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			timer.Reset(b.runOnce(ctx))
		}
	}()
	return b
}

// runOnce plans and advances the changes of all groups and returns the time until
// the next run.
func (b *Rebalancer) runOnce(ctx context.Context) time.Duration {
	term, err := b.cfg.ConfirmLeadership(ctx)
	if err != nil {
		for _, s := range b.groups {
			s.change, s.current = nil, mapState{}
		}
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
	due, wake := b.dueGroups(groups)
	var mu sync.Mutex
	var running sync.WaitGroup
	advance := func(g Group, s *groupState) {
		next := time.Now().Add(b.advance(ctx, g, s))
		mu.Lock()
		defer mu.Unlock()
		if next.Before(wake) {
			wake = next
		}
	}
	isChanging := map[string]bool{}
	for _, g := range groups {
		if s := b.state(g.Name); s.change != nil {
			isChanging[g.Name] = true
			running.Go(func() { advance(g, s) })
		}
	}
	// A group may be held: its orders do not wait for counts that are late.
	b.observePopularity(ctx, due)
	for _, g := range due {
		if isChanging[g.Name] {
			continue
		}
		s := b.state(g.Name)
		running.Go(func() {
			if b.planGroup(ctx, term, g, s); s.change != nil {
				advance(g, s)
			}
		})
	}
	running.Wait()
	return max(time.Until(wake), stepInterval)
}

// state returns the state of a group.
func (b *Rebalancer) state(name string) *groupState {
	if b.groups[name] == nil {
		b.groups[name] = &groupState{orderTime: defaultOrderTime}
	}
	return b.groups[name]
}

// dueGroups returns the groups of services that are due for a plan, and when the next
// service is.
func (b *Rebalancer) dueGroups(groups []Group) (due []Group, wake time.Time) {
	now := time.Now()
	wake = now.Add(planInterval)
	isDue := map[string]bool{}
	for _, g := range groups {
		if _, ok := isDue[g.Service]; ok {
			continue
		}
		interval := planInterval
		if spec, ok := b.cfg.Spec(g.Service); ok && hasCosts(spec) {
			interval = quickPlanInterval
		}
		next := b.lastPlanned[g.Service].Add(interval)
		isDue[g.Service] = !next.After(now)
		if isDue[g.Service] {
			b.lastPlanned[g.Service], next = now, now.Add(interval)
		}
		if next.Before(wake) {
			wake = next
		}
	}
	for _, g := range groups {
		if isDue[g.Service] {
			due = append(due, g)
		}
	}
	return due, wake
}
