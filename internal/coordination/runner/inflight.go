package runner

import "sync"

// inFlight counts the work that a shutdown waits for.
type inFlight struct {
	mu     sync.Mutex
	n      int
	closed bool
	// empty is closed when the count is zero after close.
	empty chan struct{}
}

func newInFlight() *inFlight { return &inFlight{empty: make(chan struct{})} }

// enter counts new work, unless the agent is shutting down.
func (f *inFlight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

// add counts work that is part of work in flight, also during a shutdown.
func (f *inFlight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.closed {
		close(f.empty)
	}
}

// close refuses new work from now on and returns a channel that is closed
// when none is left. It is called once.
func (f *inFlight) close() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.n == 0 {
		close(f.empty)
	}
	return f.empty
}

func (f *inFlight) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}
