/*
Package gateway serves callers' requests by sending them to backend servers
directly.

# Concept

A call passes four stages: admission (route, key, deadline, body), the wait for
a backend server, one or more attempts, and the answer. Package pool decides
where a request goes and whether it waits; this package carries it out and
keeps the promises towards callers:

  - A request that must not be repeated is sent again only after the proof that
    it has not run.
  - An answer that says "not run" is given only if no attempt can have run.
  - An answer is passed on only if a backend server made it for this request,
    and whole; a stream that breaks goes on elsewhere or ends visibly broken.
  - Work for a caller that is gone is cancelled at once.

Every call ends with one log line that tells the inputs of its decisions.

# Use

	g := gateway.New(ctx, cfg, log, scope)
	server := &http.Server{Handler: g}
*/
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/logging"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times and limits of the gateway.
const (
	// queueInterval is how often waiting requests are looked at besides each
	// end of a request. It bounds how late a refusal comes.
	queueInterval = 20 * time.Millisecond
	// expireInterval is how often idle connections are looked at.
	expireInterval = 500 * time.Millisecond
	// firstViewWait bounds the wait for the first view. After a start of all
	// hosts, registrars elect a leader in about a second, and callers of
	// streams leave after two.
	firstViewWait = 1600 * time.Millisecond
	// defaultBodyBytes bounds a body while no catalog says otherwise.
	defaultBodyBytes = 4 << 20
	// DefaultSuccessSample is the number of successful calls for one log line: an
	// entry that serves 10 a second logs one every five seconds.
	DefaultSuccessSample = 50
)

// Config is what a Gateway needs.
type Config struct {
	Dialect backend.Dialect
	Pool    pool.Config
	// MaxStaleness is how long an entry that is cut off from the majority of
	// registrars goes on; 0 lets it go on with what it knows. Confirmed returns
	// when it last heard from the majority.
	MaxStaleness      time.Duration
	LastQuorumContact func() time.Time
	// MaxBufferedBodyBytes bounds the bytes of request bodies held at once.
	MaxBufferedBodyBytes int64
	// SuccessSample is the number of successful calls for one log line; 0 stands
	// for DefaultSuccessSample.
	SuccessSample int
}

// Gateway is the HTTP handler of an entry. Use New.
type Gateway struct {
	cfg     Config
	log     hclog.Logger
	client  *backend.Client
	metrics *metrics
	bodies  budget

	mu      sync.Mutex
	view    *follower.View
	pool    *pool.Pool
	known   chan struct{} // closed with the first view
	waiting map[*pool.Request]chan pool.Decision
	served  uint64 // successful calls, for the sample
	// believed is what the log has told of the pool's beliefs, by subject, and
	// targetGap that of the last stream.
	believed  map[pool.Subject]pool.State
	targetGap time.Duration
	random    *rand.Rand
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway without a view: it refuses until Update has been
// called. It ends with ctx.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) *Gateway {
	if cfg.SuccessSample == 0 {
		cfg.SuccessSample = DefaultSuccessSample
	}
	g := &Gateway{
		cfg: cfg, log: log, client: backend.New(cfg.Dialect), metrics: newMetrics(scope),
		bodies:  budget{limit: cfg.MaxBufferedBodyBytes},
		pool:    pool.New(cfg.Pool),
		known:   make(chan struct{}),
		waiting: map[*pool.Request]chan pool.Decision{}, believed: map[pool.Subject]pool.State{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	go func() {
		queue, idle := time.NewTicker(queueInterval), time.NewTicker(expireInterval)
		defer queue.Stop()
		defer idle.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-queue.C:
				g.tick()
			case now := <-idle.C:
				g.client.Expire(now)
				// The tick may be from before a time in which the process stood still.
				g.tellBeliefs(time.Now())
			}
		}
	}()
	return g
}

// Update takes a new view.
func (g *Gateway) Update(v *follower.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil {
		close(g.known)
	}
	g.view = v
	g.pool.Update(time.Now(), v)
	g.grant()
}

// SetPeerLoads takes the requests that other entries have in flight.
func (g *Gateway) SetPeerLoads(loads map[string]uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetPeerLoads(time.Now(), loads)
}

// InFlight returns this entry's requests in flight by backend server.
func (g *Gateway) InFlight() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.InFlight()
}

// Ready says why callers should go elsewhere: there is no catalog yet.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil {
		return fault.New(fault.Unavailable, "no catalog is known yet")
	}
	if g.isCutOff(time.Now()) {
		return fault.New(fault.NoLease, "this entry is cut off from the registrars")
	}
	return nil
}

// current returns the newest view. An entry that has just started waits for its
// first one for a while: callers cannot know that it is about to come.
func (g *Gateway) current(ctx context.Context) *follower.View {
	ctx, cancel := context.WithTimeout(ctx, firstViewWait)
	defer cancel()
	select {
	case <-g.known:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// isCutOff says whether the entry may no longer trust what it knows.
func (g *Gateway) isCutOff(now time.Time) bool {
	return g.cfg.MaxStaleness > 0 && now.Sub(g.cfg.LastQuorumContact()) > g.cfg.MaxStaleness
}

// tick lets waits end that nothing else ends.
func (g *Gateway) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) > 0 {
		g.grant()
	}
	waiting, inFlight := g.pool.Counts()
	g.metrics.waiting.Update(float64(waiting))
	g.metrics.inFlight.Update(float64(inFlight))
}

// tellBeliefs logs what the pool believes of groups, backend servers and failure
// domains whenever that has changed since the last look.
func (g *Gateway) tellBeliefs(now time.Time) {
	g.mu.Lock()
	beliefs := g.pool.Conditions(now, g.targetGap)
	g.mu.Unlock()
	told := make(map[pool.Subject]pool.State, len(beliefs))
	for _, b := range beliefs {
		told[b.Subject] = b.State
		if b.State == g.believed[b.Subject] {
			continue
		}
		g.metrics.count("beliefs_changed", b.State.String())
		g.log.Info(logging.BeliefChanged, b.Subject.Kind.String(), b.Subject.ID, "state", b.State.String(), "before", g.believed[b.Subject].String(),
			"slowness", b.Slowness, "limit", b.Limit, "share", b.Share, "age_ms", b.Age.Milliseconds())
	}
	g.believed = told
}

// grant tells waiting calls what was decided. The caller holds g.mu.
func (g *Gateway) grant() {
	for _, grant := range g.pool.DecideQueued(time.Now()) {
		if answer := g.waiting[grant.Request]; answer != nil {
			delete(g.waiting, grant.Request)
			answer <- grant.Decision
		}
	}
}

// acquire returns Assign or Refuse for a request, after a wait if need be, or
// nil if ctx has ended first.
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
	answer := make(chan pool.Decision, 1)
	g.waiting[r] = answer
	g.mu.Unlock()
	select {
	case decision = <-answer:
		return decision
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, r)
	g.pool.CancelWait(r)
	select {
	case decision = <-answer:
		if a, ok := decision.(pool.Assign); ok {
			g.pool.Done(time.Now(), r.Service, a.Server.ID, pool.Abandoned, 0, 0)
			g.grant()
		}
	default:
	}
	return nil
}

// done reports the end of an attempt.
func (g *Gateway) done(service, id string, result pool.Result, first, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Done(time.Now(), service, id, result, first, held)
	g.grant()
}

// event reports an event of a stream.
func (g *Gateway) event(now time.Time, id string, first, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.RecordEvent(now, id, first, gap)
}

// firstAnswer is the mean time in which a service first answers now.
func (g *Gateway) firstAnswer(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.MeanTimeToFirstAnswer(service)
}

func (g *Gateway) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// budget bounds bytes in use.
type budget struct {
	mu    sync.Mutex
	used  int64
	limit int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *budget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}
