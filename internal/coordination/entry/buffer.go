package entry

import (
	"context"
	"sync"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// byteBudget limits the bytes buffered for all streams of the process.
type byteBudget struct {
	mu        sync.Mutex
	available int64
	// freed is closed and replaced when bytes are released.
	freed chan struct{}
}

func newByteBudget(total int64) *byteBudget {
	return &byteBudget{available: total, freed: make(chan struct{})}
}

// tryReserve reserves n bytes. If fewer are available, it returns a channel
// that is closed when some are released.
func (b *byteBudget) tryReserve(n int64) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false, b.freed
	}
	b.available -= n
	return true, nil
}

func (b *byteBudget) release(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
	close(b.freed)
	b.freed = make(chan struct{})
}

// item is one frame for the caller, or the error that ended the frames.
type item struct {
	frame    *peer.AnswerFrame
	err      error
	reserved int64
}

// buffer holds the frames of one stream between the reader of the agent's
// answer and the writer to the caller. When it is full the reader stops, which
// applies backpressure to the agent through the connection.
type buffer struct {
	budget *byteBudget
	limit  int64

	mu    sync.Mutex
	items []item
	bytes int64
	// removed is signalled when an item is removed, added when one is added.
	removed chan struct{}
	added   chan struct{}
}

func newBuffer(budget *byteBudget, limit int64) *buffer {
	return &buffer{budget: budget, limit: limit, removed: make(chan struct{}, 1), added: make(chan struct{}, 1)}
}

// put adds an item, and waits while the stream or the process is at its limit.
// An empty buffer accepts any frame: the frame has been read already, and a
// stream whose caller reads must continue when slow readers have used up the
// byte budget.
func (b *buffer) put(ctx context.Context, it item) error {
	size := int64(len(it.frame.GetChunk().GetData()) + len(it.frame.GetChunk().GetText()))
	for {
		ok, wait := b.tryPut(it, size)
		if ok {
			signal(b.added)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.removed:
		case <-wait:
		}
	}
}

func (b *buffer) tryPut(it item, size int64) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 {
		b.items = append(b.items, it)
		b.bytes += size
		return true, nil
	}
	if b.bytes+size > b.limit {
		return false, nil
	}
	ok, freed := b.budget.tryReserve(size)
	if !ok {
		return false, freed
	}
	it.reserved = size
	b.items = append(b.items, it)
	b.bytes += size
	return true, nil
}

// get returns the next item, and whether more are waiting.
func (b *buffer) get(ctx context.Context) (it item, more bool, err error) {
	for {
		if it, more, ok := b.tryGet(); ok {
			signal(b.removed)
			return it, more, nil
		}
		select {
		case <-ctx.Done():
			return item{}, false, ctx.Err()
		case <-b.added:
		}
	}
}

func (b *buffer) tryGet() (it item, more, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 {
		return item{}, false, false
	}
	it = b.items[0]
	b.items[0] = item{}
	b.items = b.items[1:]
	b.bytes -= int64(len(it.frame.GetChunk().GetData()) + len(it.frame.GetChunk().GetText()))
	b.budget.release(it.reserved)
	return it, len(b.items) > 0, true
}

// close releases the bytes that are still reserved. put must not be called
// afterwards.
func (b *buffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, it := range b.items {
		b.budget.release(it.reserved)
	}
	b.items = nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
