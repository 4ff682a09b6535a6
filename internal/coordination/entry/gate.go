package entry

import (
	"context"
	"math"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/fairness"
	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// The longest wait for a backend server of a request without a deadline of
	// its own. A stream is expected to have its first token within 0.85 s, so a longer
	// wait makes the answer late for its caller and for all behind it; refusing
	// early lets the caller go elsewhere. A caller that states a deadline has
	// said how long it can wait.
	maxStreamWait = 500 * time.Millisecond
	maxWholeWait  = 2 * time.Second
	// pumpInterval is how often waiting requests are looked at besides the
	// events that make room.
	pumpInterval = 20 * time.Millisecond
	// lookAhead is how many requests are compared when there is room for one.
	lookAhead = 16
)

// gate shares the backend servers among the requests that this entry holds.
// Role.mu guards it.
type gate struct {
	limit    int
	queueMax int
	running  int
	queues   map[string]*fairness.Queue
	turns    map[*fairness.Item]*turn
	limiter  *fairness.Limiter
	budget   *fairness.RetryBudget
	waiting  int
}

func newGate(s Settings) *gate {
	return &gate{
		limit: s.MaxInFlight, queueMax: s.QueueLimit,
		queues: map[string]*fairness.Queue{}, turns: map[*fairness.Item]*turn{},
		limiter: fairness.NewLimiter(), budget: fairness.NewRetryBudget(),
	}
}

func (g *gate) queue(service string) *fairness.Queue {
	q := g.queues[service]
	if q == nil {
		q = fairness.NewQueue(g.queueMax)
		g.queues[service] = q
	}
	return q
}

// turn is one request that waits for a backend server.
type turn struct {
	item    fairness.Item
	want    routing.Request
	granted chan grant
	// particular says that the request cannot take any backend server of its
	// service.
	particular bool
	// reason is why it has to wait.
	reason error
}

type grant struct {
	choice routing.Choice
	err    error
}

// turn returns what the gate needs of the arrival.
func (a *arrival) turn(now time.Time) *turn {
	wait := maxWholeWait
	if a.req.Stream {
		wait = maxStreamWait
	}
	// Half of the time left stays for the answer itself.
	left := a.req.Deadline.Sub(now) / 2
	if a.req.StatesDeadline {
		wait = left
	}
	wait = min(wait, left)
	return &turn{
		item: fairness.Item{
			Account: a.req.ClientAccount, Weight: a.role.gate.limiter.Weight(a.req.ClientAccount),
			Priority: a.req.Priority, Cost: max(a.tokens, 1), Deadline: now.Add(wait),
		},
		want: routing.Request{
			Service: a.req.Service.Name, Prefix: a.prefix, Tokens: a.tokens, Excluded: a.tried, Regions: a.regions, Resume: a.w.Began(),
		},
		granted: make(chan grant, 1),
		particular: len(a.tried) > 0 || a.w.Began() ||
			a.ledger != nil && len(a.req.Service.Regions) > 1,
	}
}

// acquire returns a backend server when it is the arrival's turn, or a refusal.
func (a *arrival) acquire(ctx context.Context) (routing.Choice, error) {
	r := a.role
	if err := r.own().session.CheckLease(); err != nil {
		return routing.Choice{}, err
	}
	r.mu.Lock()
	t := a.turn(time.Now())
	choice, err := r.tryNow(t)
	if err == nil || !t.isWaitable(err) {
		r.mu.Unlock()
		return choice, err
	}
	err = r.enqueue(t, err)
	r.mu.Unlock()
	if err != nil {
		return routing.Choice{}, err
	}
	timer := time.NewTimer(time.Until(t.item.Deadline))
	defer timer.Stop()
	select {
	case g := <-t.granted:
		return g.choice, g.err
	case <-ctx.Done():
		return r.giveUp(t, fault.New(fault.DeadlineExceeded, "the deadline passed in the queue").WithRan(fault.RanNo))
	case <-timer.C:
		return r.giveUp(t, nil)
	}
}

// isWaitable says whether a refusal can change while the request waits. That
// no backend server can be used changes soon for a request that takes any. One
// that has tried them, or needs one of a kind, would hold up those behind it.
func (t *turn) isWaitable(err error) bool {
	if fault.Is(err, fault.Unavailable) {
		return !t.particular
	}
	return fault.Is(err, fault.Overloaded)
}

// tryNow chooses at once if nobody waits before t.
func (r *Role) tryNow(t *turn) (routing.Choice, error) {
	r.refresh()
	q := r.gate.queue(t.want.Service)
	if q.Len() > 0 {
		return routing.Choice{}, fault.New(fault.Overloaded, "other requests are waiting")
	}
	choice, err := r.grant(t)
	if err == nil {
		q.RecordBypass(time.Now(), &t.item)
	}
	return choice, err
}

// grant chooses a backend server for t and counts it.
func (r *Role) grant(t *turn) (routing.Choice, error) {
	if r.gate.running >= r.gate.limit {
		return routing.Choice{}, fault.New(fault.Overloaded, "the entry has %d requests in flight", r.gate.running)
	}
	now := time.Now()
	choice, err := r.view.Choose(now, t.want)
	if err == nil {
		r.started(now, t, choice)
	}
	return choice, err
}

func (r *Role) enqueue(t *turn, reason error) error {
	t.reason = reason
	shed, err := r.gate.queue(t.want.Service).Push(time.Now(), &t.item)
	if shed != nil {
		r.deny(shed, "queue_full")
	}
	if err != nil {
		r.count("shed", "on_arrival")
		return err
	}
	r.gate.turns[&t.item] = t
	r.gate.waiting++
	return nil
}

// deny refuses a waiting request.
func (r *Role) deny(it *fairness.Item, reason string) {
	t := r.gate.turns[it]
	r.count("shed", reason)
	wait := r.gate.queue(t.want.Service).EstimateWait(it)
	r.leave(t)
	t.granted <- grant{err: fault.New(fault.Overloaded, "the queue is full").WithRetryAfter(fairness.RetryAfter(wait))}
}

func (r *Role) leave(t *turn) {
	delete(r.gate.turns, &t.item)
	r.gate.waiting--
}

// giveUp takes a request out of the queue, unless its turn has just come.
func (r *Role) giveUp(t *turn, err error) (routing.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case g := <-t.granted:
		return g.choice, g.err
	default:
	}
	q := r.gate.queue(t.want.Service)
	q.Remove(&t.item)
	r.leave(t)
	if err == nil {
		r.count("shed", "waited")
		f := fault.From(t.reason)
		return routing.Choice{}, f.WithRetryAfter(fairness.RetryAfter(q.EstimateWait(&t.item)))
	}
	r.count("shed", "deadline")
	return routing.Choice{}, err
}

// pump grants backend servers to waiting requests in their order. Callers hold
// r.mu.
func (r *Role) pump() {
	if r.gate.waiting == 0 {
		return
	}
	r.refresh()
	for _, q := range r.gate.queues {
		for r.grantNext(q) {
		}
	}
}

// grantNext lets one waiting request of a queue go, and says whether it found
// one that could. Of the requests whose turn is near it takes the one whose
// prompt is cached best where there is room: when all backend servers are busy,
// taking the first one would scatter prompts over whatever becomes free.
func (r *Role) grantNext(q *fairness.Queue) bool {
	if r.gate.running >= r.gate.limit {
		return false
	}
	now := time.Now()
	var best *turn
	var bestChoice routing.Choice
	smallest := math.Inf(1)
	for _, it := range q.Candidates(lookAhead) {
		t := r.gate.turns[it]
		if t.want.Tokens >= smallest && !t.particular {
			// A smaller one had no room.
			continue
		}
		choice, err := r.view.Choose(now, t.want)
		switch {
		case err == nil && (best == nil || choice.CachedShare > bestChoice.CachedShare):
			best, bestChoice = t, choice
		case err != nil && !t.isWaitable(err):
			r.pass(q, t, grant{err: err})
			return true
		case err != nil:
			t.reason = err
			if !t.particular {
				smallest = min(smallest, t.want.Tokens)
			}
		}
	}
	if best == nil {
		return false
	}
	r.started(now, best, bestChoice)
	r.pass(q, best, grant{choice: bestChoice})
	return true
}

// pass takes a request out of its queue and tells it the result.
func (r *Role) pass(q *fairness.Queue, t *turn, g grant) {
	q.Take(time.Now(), &t.item)
	r.leave(t)
	t.granted <- g
}

// started counts a dispatch that is about to begin.
func (r *Role) started(now time.Time, t *turn, c routing.Choice) {
	r.gate.running++
	r.view.RecordStart(now, c, t.want.Prefix)
}

// pumpAlways looks at the queues from time to time: room also comes with time,
// when load reports grow old or a lease returns.
func (r *Role) pumpAlways(ctx context.Context) {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.mu.Lock()
			r.pump()
			r.mu.Unlock()
		}
	}
}

// finished ends the count of a dispatch.
func (r *Role) finished(c routing.Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.running--
	r.view.RecordEnd(time.Now(), c)
	r.pump()
}

// observed takes a load that came with an answer.
func (r *Role) observed(c routing.Choice, l *peer.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RecordLoad(time.Now(), c, l)
}

// refused takes note that a backend server took nothing.
func (r *Role) refused(c routing.Choice, f *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RecordRefusal(time.Now(), c, f.Kind, f.RetryAfter)
}

// isGone says whether control has dropped a backend server since it was chosen.
func (r *Role) isGone(c routing.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.view.Contains(c)
}

// retry takes a retry from the budget.
func (r *Role) retry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.budget.TryRetry()
}

// first counts a first attempt.
func (r *Role) first() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.budget.RecordFirstAttempt()
}

// limit is the callers' Limit: the account's own limits.
func (r *Role) limit(account string) (func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.gate.limiter.Acquire(time.Now(), account); err != nil {
		return nil, err
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gate.limiter.Release(account)
	}, nil
}
