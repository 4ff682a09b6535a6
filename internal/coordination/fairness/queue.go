package fairness

import (
	"container/heap"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// rateSpan is the time over which the speed of the queue is averaged.
	rateSpan = 2 * time.Second
	// Bounds of the advice when to come again.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// sweepSlack is how many idle accounts are kept before they are looked
	// through.
	sweepSlack = 64
	// maxPassed bounds how often others may go before the item whose turn it
	// is.
	maxPassed = 8
)

// Item is one waiting request.
type Item struct {
	Account string
	// Weight is the account's share, above 0.
	Weight float64
	// Priority orders the items of one account; higher goes first.
	Priority int32
	// Cost is the work of the request in any unit, above 0.
	Cost float64
	// Deadline is when the item must be taken out to be of use.
	Deadline time.Time

	flow     *flow
	sequence uint64
	passed   int
}

// Queue shares a service among client accounts. It holds at most limit items,
// and memory only for accounts that wait or were served lately.
type Queue struct {
	limit    int
	length   int
	sequence uint64
	// virtual is the virtual time: the start of the item that went last; latest
	// is the last finish of all accounts.
	virtual float64
	latest  float64
	flows   map[string]*flow
	active  flowHeap
	speed   speed
}

// flow is one account's part of the queue.
type flow struct {
	account string
	weight  float64
	items   []*Item
	cost    float64
	// start is the virtual time at which the first item may go; finish that of
	// the last one that went.
	start, finish float64
	index         int
}

// NewQueue returns an empty queue for at most limit items.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: map[string]*flow{}}
}

// Len returns the number of items.
func (q *Queue) Len() int { return q.length }

// Push adds an item. It is refused if its turn is not expected before its
// Deadline. When the queue is full, the account that holds the most for its
// weight gives up the item that would go last: shed returns it, or the fault
// says that it is the new one.
func (q *Queue) Push(now time.Time, it *Item) (shed *Item, err error) {
	if it.Weight <= 0 {
		it.Weight = 1
	}
	wait := q.EstimateWait(it)
	if now.Add(wait).After(it.Deadline) {
		return nil, refusal(wait, "its turn would come after %v", wait.Round(time.Millisecond))
	}
	if q.length >= q.limit {
		if shed = q.victim(it); shed == nil {
			return nil, refusal(wait, "the queue holds %d requests", q.length)
		}
		q.Remove(shed)
	}
	q.insert(it)
	return shed, nil
}

func refusal(wait time.Duration, format string, args ...any) error {
	return fault.New(fault.Overloaded, "no room: "+format, args...).WithRetryAfter(RetryAfter(wait))
}

// RetryAfter bounds an expected wait for use as advice.
func RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (q *Queue) insert(it *Item) {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow{account: it.Account, index: -1}
		q.flows[it.Account] = f
	}
	q.sequence++
	it.flow, it.sequence = f, q.sequence
	f.weight = it.Weight
	at, _ := slices.BinarySearchFunc(f.items, it, before)
	f.items = slices.Insert(f.items, at, it)
	f.cost += it.Cost
	q.length++
	if f.index < 0 {
		f.start = max(q.virtual, f.finish)
		heap.Push(&q.active, f)
		return
	}
	heap.Fix(&q.active, f.index)
}

// before orders the items of one account.
func before(a, b *Item) int {
	switch {
	case a.Priority != b.Priority:
		return int(b.Priority) - int(a.Priority)
	case a.sequence < b.sequence:
		return -1
	case a.sequence > b.sequence:
		return 1
	}
	return 0
}

// Peek returns the item whose turn it is, or nil.
func (q *Queue) Peek() *Item {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items[0]
}

// Candidates returns up to n items that may go now: the one whose turn it is
// first, then the first ones of other accounts and the next ones of its own. It
// returns only the first when that has been passed over often enough.
func (q *Queue) Candidates(n int) []*Item {
	first := q.Peek()
	if first == nil || n <= 0 {
		return nil
	}
	out := make([]*Item, 1, n)
	out[0] = first
	if first.passed >= maxPassed {
		return out
	}
	for _, f := range q.active[1:] {
		if len(out) == n {
			return out
		}
		out = append(out, f.items[0])
	}
	for _, it := range first.flow.items[1:] {
		if len(out) == n || it.Priority != first.Priority {
			break
		}
		out = append(out, it)
	}
	return out
}

// Pop takes out the item whose turn it is, or returns nil.
func (q *Queue) Pop(now time.Time) *Item {
	it := q.Peek()
	if it != nil {
		q.Take(now, it)
	}
	return it
}

// Take takes out an item that Candidates returned. Its account pays for it, so that
// an account that goes early waits longer afterwards.
func (q *Queue) Take(now time.Time, it *Item) {
	first := q.Peek()
	if it.flow == nil || first == nil {
		return
	}
	if it != first {
		first.passed++
	}
	q.virtual = max(q.virtual, first.flow.start)
	f := it.flow
	f.finish = f.start + it.Cost/f.weight
	f.start = f.finish
	q.latest = max(q.latest, f.finish)
	if at, ok := slices.BinarySearchFunc(f.items, it, before); ok {
		q.take(f, at)
	}
	if q.length == 0 {
		// With nobody waiting there is nobody to be fair to, and no account
		// owes anything.
		q.virtual = q.latest
	}
	q.speed.add(now, it.Cost, q.length > 0)
	q.sweep()
}

// RecordBypass counts work that went past an empty queue, so that the account pays
// for it and the speed is known before the queue fills.
func (q *Queue) RecordBypass(now time.Time, it *Item) {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow{account: it.Account, index: -1}
		q.flows[it.Account] = f
	}
	f.finish = max(q.virtual, f.finish) + it.Cost/max(it.Weight, 1e-9)
	q.latest = max(q.latest, f.finish)
	if q.length == 0 {
		q.virtual = q.latest
	}
	q.speed.add(now, it.Cost, false)
	q.sweep()
}

// Remove takes out an item that gave up; it does nothing if the item is not in
// the queue.
func (q *Queue) Remove(it *Item) {
	if it.flow == nil {
		return
	}
	if at, ok := slices.BinarySearchFunc(it.flow.items, it, before); ok {
		q.take(it.flow, at)
	}
}

// take removes the item at a place of a flow.
func (q *Queue) take(f *flow, at int) {
	it := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	f.cost -= it.Cost
	it.flow = nil
	q.length--
	if len(f.items) == 0 {
		f.cost, f.items = 0, nil
		heap.Remove(&q.active, f.index)
		return
	}
	heap.Fix(&q.active, f.index)
}

// victim returns the item that makes room for it, or nil if that is it itself.
func (q *Queue) victim(it *Item) *Item {
	var most *flow
	mostShare := 0.0
	for _, f := range q.active {
		share := f.cost / f.weight
		if f.account == it.Account {
			share += it.Cost / f.weight
		}
		if most == nil || share > mostShare {
			most, mostShare = f, share
		}
	}
	if most == nil || it.Cost/it.Weight > mostShare {
		return nil
	}
	last := most.items[len(most.items)-1]
	if most.account == it.Account && last.Priority >= it.Priority {
		return nil
	}
	return last
}

// sweep forgets idle accounts that owe nothing any more.
func (q *Queue) sweep() {
	if len(q.flows) <= 2*len(q.active)+sweepSlack {
		return
	}
	for name, f := range q.flows {
		if f.index < 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// flowHeap orders flows by the virtual time of their first item; the older one
// goes first at the same time.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].items[0].sequence < h[j].items[0].sequence
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
