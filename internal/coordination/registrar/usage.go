package registrar

import (
	"context"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/suspend"
	"oleanderrack.example/oleanderrack/internal/coordination/usage"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// countsTimeout bounds the wait for the counts of another registrar. One that does
	// not answer in time holds up a report by no more.
	countsTimeout = 300 * time.Millisecond
	// windowsAhead is how many windows ahead of this registrar's time counts are
	// accepted: clocks of hosts differ by less than one.
	windowsAhead = 1
)

// counts are the counts of requests that entries have sent, and the clock by which
// windows are told.
type counts struct {
	windows usage.Windows
	clock   *usage.Clock

	mu    sync.Mutex
	table *usage.Table
}

func newCounts(windows usage.Windows) *counts {
	return &counts{windows: windows, clock: usage.NewClock(true), table: usage.NewTable()}
}

// now returns the time by the median of the registrars' clocks.
func (c *counts) now() time.Time { return c.clock.Now(suspend.Clock(), time.Now()) }

// record merges what an entry has sent.
func (c *counts) record(req *peer.FollowRequest) {
	if c == nil || req.UsageWindow == 0 {
		return
	}
	now, steady := c.now(), suspend.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	source := usage.Source{Entry: req.Node.GetId(), Incarnation: req.Node.GetIncarnation()}
	c.table.Merge(source, req.Usage, c.windows.Kept(now), c.windows.At(now)+windowsAhead)
	if req.UsageFinal {
		c.table.Leave(source.Entry)
		return
	}
	c.table.Advance(source.Entry, req.UsageWindow, steady)
}

// clockMS returns the reading of the wall clock that followers get, or 0 if no
// requests are counted.
func (c *counts) clockMS() uint64 {
	if c == nil {
		return 0
	}
	return uint64(max(0, time.Now().UnixMilli()))
}

func (c *counts) observe(source string, wallMS uint64) {
	if c != nil {
		c.clock.Observe(source, suspend.Clock(), wallMS)
	}
}

// forget removes what is no longer needed, and returns the number of counts that were
// not kept.
func (c *counts) forget() (dropped uint64) {
	now, steady := c.now(), suspend.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Forget(c.windows.Kept(now), steady)
	return c.table.Dropped()
}

func (c *counts) waits(window uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Waits(window)
}

func (c *counts) isComplete(window uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.IsComplete(window)
}

func (c *counts) sum(window uint64) []*peer.AccountCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Sum(window)
}

// merge adds the counts of another registrar.
func (c *counts) merge(res *peer.UsageResponse) {
	now, steady := c.now(), suspend.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Import(res, steady, c.windows.Kept(now), c.windows.At(now)+windowsAhead)
}

// Usage returns the counts that entries have sent to this registrar.
func (r *Registrar) Usage(_ context.Context, req *peer.UsageRequest) (*peer.UsageResponse, error) {
	c := r.counts
	if c == nil {
		return nil, r.refuse("usage", fault.New(fault.NotFound, "this registrar has no counts of requests"))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Export(req.Windows, suspend.Clock()), nil
}

// fetchCounts merges the counts of a window from all other registrars that answer.
func (r *Registrar) fetchCounts(ctx context.Context, window uint64) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range r.peerAddresses() {
		group.Go(func() {
			res, err := r.directoryClient(address).Usage(ctx, &peer.UsageRequest{Windows: []uint64{window}})
			if err != nil {
				r.scope.Counter("usage_counts_unreachable").Inc(1)
				r.log.Debug("counts of requests were not received", "from", address, "window", window, "error", err)
				return
			}
			r.counts.merge(res)
		})
	}
	group.Wait()
}
