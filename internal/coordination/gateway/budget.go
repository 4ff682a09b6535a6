package gateway

import "sync"

// byteBudget bounds the bytes reserved at the same time.
type byteBudget struct {
	mu    sync.Mutex
	used  int64
	limit int64
}

func (b *byteBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// reservation is what one answer has taken from a budget, beyond bytes of its own.
type reservation struct {
	budget *byteBudget
	own    int
	taken  int64
}

// resize changes the size to n bytes in all. It reports whether the budget has them.
func (r *reservation) resize(n int) bool {
	want := max(0, int64(n-r.own))
	if want <= r.taken {
		r.budget.release(r.taken - want)
	} else if !r.budget.reserve(want - r.taken) {
		return false
	}
	r.taken = want
	return true
}

// release returns all bytes.
func (r *reservation) release() { r.resize(0) }
