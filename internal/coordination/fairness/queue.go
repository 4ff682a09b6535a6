package fairness

import (
	"container/heap"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// rateWindow is the time over which the throughput of the queue is averaged.
	rateWindow = 2 * time.Second
	// Bounds of the retry time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// sweepThreshold is the number of idle accounts that are kept without a
	// sweep.
	sweepThreshold = 64
	// maxSkips is how often other items may be taken before the first item.
	maxSkips = 8
)

// Item is one waiting request.
type Item struct {
	Account string
	// Weight is the account's weight, above 0.
	Weight float64
	// Priority orders the items of one account; higher goes first.
	Priority int32
	// Cost is the work of the request in any unit, above 0.
	Cost float64
	// Deadline is the time until which the item must be taken out; later it is of
	// no use.
	Deadline time.Time

	flow     *flow
	sequence uint64
	skips    int
}

// Queue shares the capacity of a service among client accounts. It holds at most
// limit items, and keeps state only for accounts that have waiting items or were
// served recently.
type Queue struct {
	limit    int
	length   int
	sequence uint64
	// virtualTime is the virtual start time of the item taken last; maxFinish is
	// the latest virtual finish time of all accounts.
	virtualTime float64
	maxFinish   float64
	flows       map[string]*flow
	active      flowHeap
	throughput  throughput
}

// flow is one account's part of the queue.
type flow struct {
	account string
	weight  float64
	items   []*Item
	cost    float64
	// start is the virtual start time of the first item; finish is the virtual
	// finish time of the item taken last.
	start, finish float64
	index         int
}

// NewQueue returns an empty queue for at most limit items.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, flows: map[string]*flow{}}
}

// Len returns the number of items.
func (q *Queue) Len() int { return q.length }

// Push adds an item. It refuses the item if the expected wait ends after its
// Deadline. When the queue is full, it removes the item that would be taken last
// from the account with the largest queued cost per weight: shed is the removed
// item, or a fault is returned if that is the new one.
func (q *Queue) Push(now time.Time, it *Item) (shed *Item, err error) {
	if it.Weight <= 0 {
		it.Weight = 1
	}
	wait := q.EstimateWait(it)
	if now.Add(wait).After(it.Deadline) {
		return nil, refusal(wait, "the expected wait in the queue is %v", wait.Round(time.Millisecond))
	}
	if q.length >= q.limit {
		if shed = q.victim(it); shed == nil {
			return nil, refusal(wait, "the queue is full with %d requests", q.length)
		}
		q.Remove(shed)
	}
	q.insert(it)
	return shed, nil
}

func refusal(wait time.Duration, format string, args ...any) error {
	return fault.New(fault.Overloaded, "no room: "+format, args...).WithRetryAfter(RetryAfter(wait))
}

// RetryAfter returns the retry time for an expected wait: the wait within its
// bounds.
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
	at, _ := slices.BinarySearchFunc(f.items, it, compareItems)
	f.items = slices.Insert(f.items, at, it)
	f.cost += it.Cost
	q.length++
	if f.index < 0 {
		f.start = max(q.virtualTime, f.finish)
		heap.Push(&q.active, f)
		return
	}
	heap.Fix(&q.active, f.index)
}

// compareItems orders the items of one account by priority and arrival.
func compareItems(a, b *Item) int {
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

// Peek returns the first item, or nil.
func (q *Queue) Peek() *Item {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items[0]
}

// Candidates returns up to n items that may be taken now: the first item, the
// first items of other accounts, and the next items of its own account with the
// same priority. It returns only the first item once that was skipped maxSkips
// times.
func (q *Queue) Candidates(n int) []*Item {
	first := q.Peek()
	if first == nil || n <= 0 {
		return nil
	}
	out := make([]*Item, 1, n)
	out[0] = first
	if first.skips >= maxSkips {
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

// Pop takes out the first item, or returns nil.
func (q *Queue) Pop(now time.Time) *Item {
	it := q.Peek()
	if it != nil {
		q.Take(now, it)
	}
	return it
}

// Take takes out an item that Candidates returned. Its cost is charged to its
// account, so that an account that is served early waits longer afterwards.
func (q *Queue) Take(now time.Time, it *Item) {
	first := q.Peek()
	if it.flow == nil || first == nil {
		return
	}
	if it != first {
		first.skips++
	}
	q.virtualTime = max(q.virtualTime, first.flow.start)
	f := it.flow
	f.finish = f.start + it.Cost/f.weight
	f.start = f.finish
	q.maxFinish = max(q.maxFinish, f.finish)
	if at, ok := slices.BinarySearchFunc(f.items, it, compareItems); ok {
		q.removeAt(f, at)
	}
	if q.length == 0 {
		// No account is waiting, so the charges of all accounts are cleared.
		q.virtualTime = q.maxFinish
	}
	q.throughput.add(now, it.Cost, q.length > 0)
	q.sweep()
}

// RecordBypass records work that bypassed an empty queue. It is charged to the
// account and counts for the throughput, which is then known before the queue
// fills.
func (q *Queue) RecordBypass(now time.Time, it *Item) {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow{account: it.Account, index: -1}
		q.flows[it.Account] = f
	}
	f.finish = max(q.virtualTime, f.finish) + it.Cost/max(it.Weight, 1e-9)
	q.maxFinish = max(q.maxFinish, f.finish)
	if q.length == 0 {
		q.virtualTime = q.maxFinish
	}
	q.throughput.add(now, it.Cost, false)
	q.sweep()
}

// Remove takes out an item that was cancelled. It does nothing if the item is not
// in the queue.
func (q *Queue) Remove(it *Item) {
	if it.flow == nil {
		return
	}
	if at, ok := slices.BinarySearchFunc(it.flow.items, it, compareItems); ok {
		q.removeAt(it.flow, at)
	}
}

// removeAt removes the item at an index of a flow.
func (q *Queue) removeAt(f *flow, at int) {
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

// victim returns the queued item to shed from a full queue in favor of it, or nil
// if it must be refused.
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

// sweep removes idle accounts whose virtual finish time has passed.
func (q *Queue) sweep() {
	if len(q.flows) <= 2*len(q.active)+sweepThreshold {
		return
	}
	for name, f := range q.flows {
		if f.index < 0 && f.finish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// flowHeap is a heap of flows ordered by the virtual start time of their first
// item, and by the arrival of that item if the times are equal.
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
