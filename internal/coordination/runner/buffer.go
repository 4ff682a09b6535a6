package runner

import (
	"context"
	"sync"
	"sync/atomic"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

const (
	// eventOverhead is the number of bytes counted for each event in addition
	// to its data and text.
	eventOverhead = 96
	// minStreamBytes may be buffered for a stream even if the budget is used up,
	// so that slow readers do not block the fast ones.
	minStreamBytes = 4 << 10
	// freeShareDivisor determines the share of one stream: the free bytes
	// divided by it.
	freeShareDivisor = 8
)

// byteBudget counts the bytes buffered for all callers of the process.
type byteBudget struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

// add counts n more bytes, or fewer if n is negative.
func (b *byteBudget) add(n int) {
	used := b.used.Add(int64(n))
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); peak = b.peak.Load() {
	}
}

func (b *byteBudget) isFull() bool { return b.used.Load() >= b.limit }

// share returns how many bytes one stream may buffer now, at most limit. It
// shrinks as the budget is used up, so that many slow readers leave room for
// others. A quarter of the budget is reserved for the minimum of each stream.
func (b *byteBudget) share(limit int) int {
	free := b.limit/4*3 - b.used.Load()
	return max(minStreamBytes, int(min(int64(limit), free/freeShareDivisor)))
}

// buffer holds the events between an engine and the reader of a stream. Its
// bound is kept by its writer: after a put that returns false, nothing more is
// put before the buffer has drained.
type buffer struct {
	budget *byteBudget
	limit  int

	mu     sync.Mutex
	events []engine.Event
	bytes  int
	closed bool
	err    error
	// ready has an element when there is something to take, drained when at
	// most limit/8 bytes are left.
	ready   chan struct{}
	drained chan struct{}
}

func newBuffer(budget *byteBudget, limit int) *buffer {
	return &buffer{budget: budget, limit: limit, ready: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sizeOf(ev engine.Event) int { return len(ev.Data) + len(ev.Text) + eventOverhead }

// put adds an event and returns whether there is room for another one.
func (b *buffer) put(ev engine.Event) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := sizeOf(ev)
	b.events = append(b.events, ev)
	b.bytes += n
	b.budget.add(n)
	signal(b.ready)
	return !b.isFull()
}

// isFull reports whether the next event could exceed the bound. The caller
// holds mu.
func (b *buffer) isFull() bool {
	return b.bytes > b.budget.share(b.limit-min(engine.MaxEventBytes, b.limit/2))
}

// close ends the buffer; err is nil if all events were put.
func (b *buffer) close(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed, b.err = true, err
	}
	signal(b.ready)
}

// take waits for events and returns all of them, and whether the buffer has
// ended after them.
func (b *buffer) take(ctx context.Context) (events []engine.Event, closed bool, err error) {
	for {
		b.mu.Lock()
		events, closed, err = b.events, b.closed, b.err
		b.events = nil
		b.mu.Unlock()
		if len(events) > 0 || closed {
			return events, closed, err
		}
		select {
		case <-b.ready:
		case <-ctx.Done():
			return nil, true, engine.ContextFault(ctx)
		}
	}
}

// release subtracts the bytes of an event that was sent.
func (b *buffer) release(ev engine.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= sizeOf(ev)
	b.budget.add(-sizeOf(ev))
	if b.bytes <= b.limit/8 {
		signal(b.drained)
	}
}

// waitDrained waits until at most limit/8 bytes are left, or ctx ends.
func (b *buffer) waitDrained(ctx context.Context) error {
	for {
		b.mu.Lock()
		low := b.bytes <= b.limit/8
		b.mu.Unlock()
		if low {
			return nil
		}
		select {
		case <-b.drained:
		case <-ctx.Done():
			return engine.ContextFault(ctx)
		}
	}
}

// discard removes all events and subtracts their bytes.
func (b *buffer) discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.add(-b.bytes)
	b.events, b.bytes = nil, 0
}
