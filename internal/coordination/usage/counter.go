package usage

import (
	"sync"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// maxAccounts bounds the client accounts that are counted in a window; the largest
// catalogs list 7,900.
const maxAccounts = 1 << 15

// Counter counts the requests of one entry. It is safe for concurrent use. Use
// NewCounter.
type Counter struct {
	mu      sync.Mutex
	windows map[uint64]map[string]*cell
	// sequence is that of the latest change.
	sequence uint64
	dropped  uint64
}

// cell is the number of requests of a client account in a window.
type cell struct {
	count, changed uint64
}

// NewCounter returns a Counter without counts.
func NewCounter() *Counter { return &Counter{windows: map[uint64]map[string]*cell{}} }

// Add counts a request of a client account.
func (c *Counter) Add(window uint64, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accounts := c.windows[window]
	if accounts == nil {
		accounts = map[string]*cell{}
		c.windows[window] = accounts
	}
	counted := accounts[account]
	if counted == nil {
		if len(accounts) >= maxAccounts {
			c.dropped++
			return
		}
		counted = &cell{}
		accounts[account] = counted
	}
	c.sequence++
	counted.count++
	counted.changed = c.sequence
}

// Changed returns the counts that have changed after a sequence number, and the
// number of the latest change.
func (c *Counter) Changed(after uint64) ([]*peer.UsageCounts, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= c.sequence {
		return nil, c.sequence
	}
	var list []*peer.UsageCounts
	for window, accounts := range c.windows {
		var counts []*peer.AccountCount
		for account, counted := range accounts {
			if counted.changed > after {
				counts = append(counts, &peer.AccountCount{Account: account, Count: counted.count})
			}
		}
		if len(counts) > 0 {
			list = append(list, &peer.UsageCounts{Window: window, Counts: counts})
		}
	}
	return list, c.sequence
}

// Forget removes the windows before one.
func (c *Counter) Forget(before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.windows {
		if window < before {
			delete(c.windows, window)
		}
	}
}

// Dropped returns the number of requests that were not counted because a window had
// too many client accounts.
func (c *Counter) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
