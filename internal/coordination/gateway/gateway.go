/*
Package gateway serves callers' requests by sending them directly to backend
servers.

# Concept

A call has four stages: admission (route, key, deadline, body), the wait for a
backend server, one or more attempts, and the answer. Package pool selects the
backend server and queues requests; this package executes its decisions and
upholds the guarantees to callers:

  - A request that must not run twice is sent again only after proof that it has
    not run: no byte of it was written, or the backend server says so. A write that
    fails later is no proof.
  - An answer says "not run" only if no attempt can have run.
  - An answer is forwarded only if a backend server produced it for this request,
    and short ones only once they are complete. A stream that breaks is resumed
    at another backend server. If that fails, or if a long answer breaks, the
    connection is aborted so that the caller sees the failure.
  - The work for a caller that has disconnected is cancelled at once.
  - A request with a part of its prompt that crashes backend servers is refused,
    also while it waits or before it is sent again; see package quarantine.

Each call writes one log line with the inputs of its decisions; successful calls
at the first attempt are sampled.

# Use

	g := gateway.New(ctx, cfg, log, scope)
	server := &http.Server{Handler: g}
*/
package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/intake"
	"oleanderrack.example/oleanderrack/internal/transport/logging"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times and limits of the gateway.
const (
	// queueCheckInterval is how often the queue is checked, in addition to each
	// end of an attempt. It bounds the delay of a refusal.
	queueCheckInterval = 20 * time.Millisecond
	// idleCheckInterval is how often idle connections are checked for expiry.
	idleCheckInterval = 500 * time.Millisecond
	// firstViewTimeout bounds the wait for the first view. After a start of all
	// hosts, registrars elect a leader in about a second, and callers of
	// streams disconnect after two.
	firstViewTimeout = 1600 * time.Millisecond
	// defaultBodyBytes bounds a request body if the catalog sets no limit.
	defaultBodyBytes = 4 << 20
	// DefaultSuccessSample is the number of successful calls for each log line: an
	// entry that serves 10 a second logs one every five seconds.
	DefaultSuccessSample = 50
)

// Config configures a Gateway.
type Config struct {
	HeaderNames backend.HeaderNames
	Pool        pool.Config
	// MaxStaleness is how long an entry without contact to a quorum of registrars
	// keeps serving from its last view; 0 sets no limit. LastQuorumContact returns
	// the time of the last contact.
	MaxStaleness      time.Duration
	LastQuorumContact func() time.Time
	// DeliveryTimeout is how long after it was sent a request may arrive at its backend
	// server: not after an evacuation, a drain or the revocation of a key that was
	// acknowledged meanwhile has taken effect. 0 sets no limit.
	DeliveryTimeout time.Duration
	// Bodies bounds the total bytes of buffered request bodies.
	Bodies *intake.Bodies
	// MaxBufferedAnswerBytes bounds the total bytes of answers that are buffered, but
	// for a few of each answer. An answer that does not fit is forwarded while it is
	// read, and a larger event breaks its stream. 0 sets no limit.
	MaxBufferedAnswerBytes int64
	// SuccessSample is the number of successful calls for each log line; 0 means
	// DefaultSuccessSample.
	SuccessSample int
	// CountRun is called once for each request of a client account when it begins to
	// run, with the account's name; nil if requests are not counted.
	CountRun func(account string)
}

// Gateway is the HTTP handler of an entry. Use New.
type Gateway struct {
	cfg     Config
	log     hclog.Logger
	client  *backend.Client
	metrics *metrics
	bodies  *intake.Bodies
	answers byteBudget
	guard   *quarantine.Guard

	mu        sync.Mutex
	view      *follower.View
	pool      *pool.Pool
	firstView chan struct{} // closed with the first view
	// endings holds the checks of backend servers whose connections broke.
	endings   map[quarantine.Incarnation]*ending
	waiting   map[*pool.Request]chan pool.Decision
	successes uint64 // for sampling log lines
	// loggedConditions holds the last logged state of each subject. targetGap is
	// that of the latest stream.
	loggedConditions map[pool.Subject]pool.State
	targetGap        time.Duration
	random           *rand.Rand
	// invalidAttributes bounds the log lines about attributes that cannot be used.
	invalidAttributes invalidAttributes
	// drainEnd is when serving ends, zero unless the process drains. durations are
	// those of the requests of each route, by name.
	drainEnd  time.Time
	durations map[string]*durations
	// serving ends, by stopServing, when the process is about to end.
	serving     context.Context
	stopServing context.CancelFunc
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway that refuses requests until the first call of Update. Its
// background goroutine stops when ctx is done.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) *Gateway {
	if cfg.SuccessSample == 0 {
		cfg.SuccessSample = DefaultSuccessSample
	}
	if cfg.MaxBufferedAnswerBytes == 0 {
		cfg.MaxBufferedAnswerBytes = math.MaxInt64
	}
	g := &Gateway{
		cfg: cfg, log: log, client: backend.New(cfg.HeaderNames, cfg.DeliveryTimeout), metrics: newMetrics(scope),
		bodies:    cfg.Bodies,
		answers:   byteBudget{limit: cfg.MaxBufferedAnswerBytes},
		guard:     quarantine.NewGuard(),
		pool:      pool.New(cfg.Pool),
		firstView: make(chan struct{}),
		endings:   map[quarantine.Incarnation]*ending{},
		waiting:   map[*pool.Request]chan pool.Decision{}, loggedConditions: map[pool.Subject]pool.State{},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		durations: map[string]*durations{},
	}
	g.serving, g.stopServing = context.WithCancel(ctx)
	go func() {
		queue, idle := time.NewTicker(queueCheckInterval), time.NewTicker(idleCheckInterval)
		defer queue.Stop()
		defer idle.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-queue.C:
				g.tick()
			case now := <-idle.C:
				g.client.CloseExpired(now)
				// now is stale if the process was suspended after the tick.
				g.logConditions(time.Now())
				g.forgetEndings(time.Now())
			}
		}
	}()
	return g
}

// Update replaces the view.
func (g *Gateway) Update(v *follower.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil {
		close(g.firstView)
	}
	g.view = v
	now := time.Now()
	g.guard.SetDecided(now, v.Quarantined)
	g.pool.Update(now, v)
	g.forgetDurations()
	g.deliverDecisions()
}

// SetPeerLoads sets the requests that peer entries have in flight, by backend
// server.
func (g *Gateway) SetPeerLoads(loads map[string]uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetPeerLoads(time.Now(), loads)
}

// Report returns this entry's demand and the outcomes of its requests.
func (g *Gateway) Report() follower.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Report(time.Now())
}

// SetPeerReport sets the sum of the reports of peer entries.
func (g *Gateway) SetPeerReport(r follower.PeerReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetPeerReport(time.Now(), r)
}

// InFlight returns this entry's requests in flight by backend server.
func (g *Gateway) InFlight() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.InFlight()
}

// Observations returns the evidence about parts of prompts after a sequence number,
// and the highest number.
func (g *Gateway) Observations(after uint64) ([]quarantine.Observation, uint64) {
	return g.guard.Observations(after)
}

// Ready returns an error if callers should use another entry: this one has no
// catalog yet, or has lost contact with the registrars for too long.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil {
		return fault.New(fault.Unavailable, "no catalog received yet")
	}
	if g.isStale(time.Now()) {
		return fault.New(fault.NoLease, "no contact with a quorum of registrars")
	}
	return nil
}

// currentView returns the newest view. After a start it waits up to
// firstViewTimeout for the first one, so that requests are not refused while the
// view is still loading.
func (g *Gateway) currentView(ctx context.Context) *follower.View {
	ctx, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	select {
	case <-g.firstView:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// isStale reports whether the last contact with a quorum of registrars is too long
// ago to serve requests.
func (g *Gateway) isStale(now time.Time) bool {
	return g.cfg.MaxStaleness > 0 && now.Sub(g.cfg.LastQuorumContact()) > g.cfg.MaxStaleness
}

// tick decides on queued requests whose wait ends without an event, such as by
// timeout, and updates the gauges.
func (g *Gateway) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) > 0 {
		g.deliverDecisions()
	}
	waiting, inFlight := g.pool.Counts()
	g.metrics.waiting.Update(float64(waiting))
	g.metrics.inFlight.Update(float64(inFlight))
}

// logConditions logs each group, backend server and failure domain whose condition
// has changed since the last call.
func (g *Gateway) logConditions(now time.Time) {
	g.mu.Lock()
	conditions, estimates := g.pool.Conditions(now, g.targetGap), g.pool.SizeEstimates()
	g.mu.Unlock()
	g.metrics.updateSizes(estimates)
	states := make(map[pool.Subject]pool.State, len(conditions))
	for _, condition := range conditions {
		states[condition.Subject] = condition.State
		if condition.State == g.loggedConditions[condition.Subject] {
			continue
		}
		g.metrics.count("beliefs_changed", condition.State.String())
		g.log.Info(logging.ConditionChanged, condition.Subject.Kind.String(), condition.Subject.ID, "state", condition.State.String(), "before", g.loggedConditions[condition.Subject].String(),
			"slowness", condition.Slowness, "limit", condition.Limit, "share", condition.Share, "age_ms", condition.Age.Milliseconds())
	}
	g.loggedConditions = states
}

// deliverDecisions sends the pool's decisions to waiting calls. The caller holds
// g.mu.
func (g *Gateway) deliverDecisions() {
	for _, decided := range g.pool.DecideQueued(time.Now()) {
		if decisions := g.waiting[decided.Request]; decisions != nil {
			delete(g.waiting, decided.Request)
			decisions <- decided.Decision
		}
	}
}

// acquire returns Assign or Refuse for a request, after a wait if necessary, or
// nil if ctx ends first.
func (g *Gateway) acquire(ctx context.Context, r *pool.Request) pool.Decision {
	g.mu.Lock()
	if r.TargetGap > 0 {
		g.targetGap = r.TargetGap
	}
	decision := g.pool.Submit(time.Now(), r)
	if _, wait := decision.(pool.Wait); !wait {
		g.mu.Unlock()
		return decision
	}
	decisions := make(chan pool.Decision, 1)
	g.waiting[r] = decisions
	g.mu.Unlock()
	select {
	case decision = <-decisions:
		return decision
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, r)
	g.pool.CancelWait(r)
	select {
	case decision = <-decisions:
		if a, ok := decision.(pool.Assign); ok {
			g.pool.Done(time.Now(), r.Service, a.Server.ID, a.Server.StartedMS, pool.Abandoned, 0, 0)
			g.deliverDecisions()
		}
	default:
	}
	return nil
}

// canRetry reports whether another backend server would take a request now.
func (g *Gateway) canRetry(r *pool.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.CanRetry(time.Now(), r)
}

// finishAttempt reports the end of an attempt to the pool.
func (g *Gateway) finishAttempt(service string, hint size.Hint, to follower.Server, result pool.Result, timeToFirst, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Done(time.Now(), service, to.ID, to.StartedMS, result, timeToFirst, held)
	if result == pool.Answered {
		g.pool.RecordWork(service, hint, held)
	}
	g.deliverDecisions()
}

// recordEvent reports an event of a stream, or the first bytes of another answer,
// to the pool.
func (g *Gateway) recordEvent(now time.Time, id string, timeToFirst, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.RecordEvent(now, id, timeToFirst, gap)
}

// meanTimeToFirstAnswer returns the recent mean time to a service's first answer.
func (g *Gateway) meanTimeToFirstAnswer(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.MeanTimeToFirstAnswer(service)
}

func (g *Gateway) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}
