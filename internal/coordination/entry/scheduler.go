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
	// maxStreamWait and maxCompleteWait bound the wait for a backend server of
	// a request that states no deadline. The first token of a stream is
	// expected within 0.85 s, so a longer wait makes this answer and all queued
	// behind it late; an early refusal lets the caller go elsewhere. A caller
	// that states a deadline sets its own bound.
	maxStreamWait   = 500 * time.Millisecond
	maxCompleteWait = 2 * time.Second
	// queueCheckInterval is how often waiting requests are checked, in addition
	// to the events that free capacity.
	queueCheckInterval = 20 * time.Millisecond
	// lookAhead is the number of waiting requests that are compared when there
	// is capacity for one.
	lookAhead = 16
)

// scheduler shares the backend servers among the requests of this entry.
// Role.mu guards it.
type scheduler struct {
	limit      int
	queueLimit int
	running    int
	queues     map[string]*fairness.Queue
	waiters    map[*fairness.Item]*waiter
	limiter    *fairness.Limiter
	budget     *fairness.RetryBudget
	waiting    int
}

func newScheduler(s Settings) *scheduler {
	return &scheduler{
		limit: s.MaxInFlight, queueLimit: s.QueueLimit,
		queues: map[string]*fairness.Queue{}, waiters: map[*fairness.Item]*waiter{},
		limiter: fairness.NewLimiter(), budget: fairness.NewRetryBudget(),
	}
}

func (s *scheduler) queue(service string) *fairness.Queue {
	q := s.queues[service]
	if q == nil {
		q = fairness.NewQueue(s.queueLimit)
		s.queues[service] = q
	}
	return q
}

// waiter is a request for a backend server. It is queued if none is granted at
// once.
type waiter struct {
	item    fairness.Item
	request routing.Request
	granted chan grant
	// restricted is set if the request cannot use every backend server of its
	// service.
	restricted bool
	// waitReason is the last refusal for which the request has to wait.
	waitReason error
}

type grant struct {
	choice routing.Choice
	err    error
}

// newWaiter returns the waiter of the request, with the deadline of its wait.
func (a *activeRequest) newWaiter(now time.Time) *waiter {
	wait := maxCompleteWait
	if a.req.Stream {
		wait = maxStreamWait
	}
	// Half of the remaining time is reserved for the answer itself.
	left := a.req.Deadline.Sub(now) / 2
	if a.req.ExplicitDeadline {
		wait = left
	}
	wait = min(wait, left)
	return &waiter{
		item: fairness.Item{
			Account: a.req.ClientAccount, Weight: a.role.scheduler.limiter.Weight(a.req.ClientAccount),
			Priority: a.req.Priority, Cost: max(a.estimatedTokens, 1), Deadline: now.Add(wait),
		},
		request: routing.Request{
			Service: a.req.Service.Name, Prefix: a.prefix, Tokens: a.estimatedTokens, Excluded: a.tried, Regions: a.regions, Resume: a.w.Began(),
		},
		granted: make(chan grant, 1),
		restricted: len(a.tried) > 0 || a.w.Began() ||
			a.ledger != nil && len(a.req.Service.Regions) > 1,
	}
}

// acquire waits for the request's turn and returns a backend server, or a
// refusal.
func (a *activeRequest) acquire(ctx context.Context) (routing.Choice, error) {
	r := a.role
	if err := r.localRegion().session.CheckLease(); err != nil {
		return routing.Choice{}, err
	}
	r.mu.Lock()
	w := a.newWaiter(time.Now())
	choice, err := r.tryNow(w)
	if err == nil || !w.shouldWait(err) {
		r.mu.Unlock()
		return choice, err
	}
	err = r.enqueue(w, err)
	r.mu.Unlock()
	if err != nil {
		return routing.Choice{}, err
	}
	timer := time.NewTimer(time.Until(w.item.Deadline))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.choice, g.err
	case <-ctx.Done():
		return r.abandon(w, fault.New(fault.DeadlineExceeded, "the deadline passed while the request was queued").WithRan(fault.RanNo))
	case <-timer.C:
		return r.abandon(w, nil)
	}
}

// shouldWait reports whether a refusal can change while the request waits. If
// no backend server is available, one may be soon for a request that accepts
// any. A request that has tried some of them, or that needs certain ones, would
// block the requests behind it.
func (w *waiter) shouldWait(err error) bool {
	if fault.Is(err, fault.Unavailable) {
		return !w.restricted
	}
	return fault.Is(err, fault.Overloaded)
}

// tryNow chooses a backend server at once if no request is queued before w.
func (r *Role) tryNow(w *waiter) (routing.Choice, error) {
	r.refreshView()
	q := r.scheduler.queue(w.request.Service)
	if q.Len() > 0 {
		return routing.Choice{}, fault.New(fault.Overloaded, "other requests are queued before this one")
	}
	choice, err := r.grant(w)
	if err == nil {
		q.RecordBypass(time.Now(), &w.item)
	}
	return choice, err
}

// grant chooses a backend server for w and counts the dispatch.
func (r *Role) grant(w *waiter) (routing.Choice, error) {
	if r.scheduler.running >= r.scheduler.limit {
		return routing.Choice{}, fault.New(fault.Overloaded, "the entry is at its limit with %d requests in flight", r.scheduler.running)
	}
	now := time.Now()
	choice, err := r.view.Choose(now, w.request)
	if err == nil {
		r.recordStart(now, w, choice)
	}
	return choice, err
}

func (r *Role) enqueue(w *waiter, reason error) error {
	w.waitReason = reason
	shed, err := r.scheduler.queue(w.request.Service).Push(time.Now(), &w.item)
	if shed != nil {
		r.shed(shed, "queue_full")
	}
	if err != nil {
		r.count("shed", "on_arrival")
		return err
	}
	r.scheduler.waiters[&w.item] = w
	r.scheduler.waiting++
	return nil
}

// shed refuses a waiting request.
func (r *Role) shed(it *fairness.Item, reason string) {
	w := r.scheduler.waiters[it]
	r.count("shed", reason)
	wait := r.scheduler.queue(w.request.Service).EstimateWait(it)
	r.removeWaiter(w)
	w.granted <- grant{err: fault.New(fault.Overloaded, "the queue is full").WithRetryAfter(fairness.RetryAfter(wait))}
}

func (r *Role) removeWaiter(w *waiter) {
	delete(r.scheduler.waiters, &w.item)
	r.scheduler.waiting--
}

// abandon removes a request from the queue, unless its result has just been
// sent.
func (r *Role) abandon(w *waiter, err error) (routing.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.choice, g.err
	default:
	}
	q := r.scheduler.queue(w.request.Service)
	q.Remove(&w.item)
	r.removeWaiter(w)
	if err == nil {
		r.count("shed", "waited")
		f := fault.From(w.waitReason)
		return routing.Choice{}, f.WithRetryAfter(fairness.RetryAfter(q.EstimateWait(&w.item)))
	}
	r.count("shed", "deadline")
	return routing.Choice{}, err
}

// grantWaiting grants backend servers to waiting requests in the order of their
// queues. Callers hold r.mu.
func (r *Role) grantWaiting() {
	if r.scheduler.waiting == 0 {
		return
	}
	r.refreshView()
	for _, q := range r.scheduler.queues {
		for r.grantNext(q) {
		}
	}
}

// grantNext grants or refuses one waiting request of a queue, and reports
// whether it found one. Among the next lookAhead requests it selects the one
// with the largest cached share of its prompt at a backend server with
// capacity: when all backend servers are busy, always serving the first request
// would scatter prompts over whichever backend server becomes free.
func (r *Role) grantNext(q *fairness.Queue) bool {
	if r.scheduler.running >= r.scheduler.limit {
		return false
	}
	now := time.Now()
	var best *waiter
	var bestChoice routing.Choice
	smallest := math.Inf(1)
	for _, it := range q.Candidates(lookAhead) {
		w := r.scheduler.waiters[it]
		if w.request.Tokens >= smallest && !w.restricted {
			// A request of at most this size did not fit.
			continue
		}
		choice, err := r.view.Choose(now, w.request)
		switch {
		case err == nil && (best == nil || choice.CachedShare > bestChoice.CachedShare):
			best, bestChoice = w, choice
		case err != nil && !w.shouldWait(err):
			r.dequeue(q, w, grant{err: err})
			return true
		case err != nil:
			w.waitReason = err
			if !w.restricted {
				smallest = min(smallest, w.request.Tokens)
			}
		}
	}
	if best == nil {
		return false
	}
	r.recordStart(now, best, bestChoice)
	r.dequeue(q, best, grant{choice: bestChoice})
	return true
}

// dequeue takes a request out of its queue and sends it the result.
func (r *Role) dequeue(q *fairness.Queue, w *waiter, g grant) {
	q.Take(time.Now(), &w.item)
	r.removeWaiter(w)
	w.granted <- g
}

// recordStart counts a dispatch that is about to start.
func (r *Role) recordStart(now time.Time, w *waiter, c routing.Choice) {
	r.scheduler.running++
	r.view.RecordStart(now, c, w.request.Prefix)
	if w.request.Prefix != nil {
		r.count("prefix_decisions", c.Outcome.String())
		r.scope.Counter("prefix_tokens_expected").Inc(int64(c.ExpectedTokens))
	}
}

// grantPeriodically checks the queues at intervals, because capacity can also
// become available without an event: load reports expire and leases are
// regained.
func (r *Role) grantPeriodically(ctx context.Context) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.mu.Lock()
			r.grantWaiting()
			r.mu.Unlock()
		}
	}
}

// recordEnd records the end of a dispatch and grants waiting requests.
func (r *Role) recordEnd(c routing.Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.running--
	r.view.RecordEnd(time.Now(), c)
	r.grantWaiting()
}

// recordLoad records a load that was received with an answer.
func (r *Role) recordLoad(c routing.Choice, l *peer.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RecordLoad(time.Now(), c, l)
}

// recordRefusal records that a backend server did not accept a request.
func (r *Role) recordRefusal(c routing.Choice, f *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RecordRefusal(time.Now(), c, f.Kind, f.RetryAfter)
}

// isRemoved reports whether control has removed a backend server since it was
// chosen.
func (r *Role) isRemoved(c routing.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.view.Contains(c)
}

// tryRetry takes a retry from the retry budget, if one is left.
func (r *Role) tryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scheduler.budget.TryRetry()
}

// recordFirstAttempt adds a first attempt to the retry budget.
func (r *Role) recordFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.budget.RecordFirstAttempt()
}

// acquireAccount applies the limits of a client account to a request. It is the
// Limit of [caller.Config].
func (r *Role) acquireAccount(account string) (func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.scheduler.limiter.Acquire(time.Now(), account); err != nil {
		return nil, err
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.scheduler.limiter.Release(account)
	}, nil
}
