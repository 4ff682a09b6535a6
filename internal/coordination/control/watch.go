package control

import (
	"context"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times of Watch.
const (
	// maxWatch bounds how long a Watch waits.
	maxWatch = 30 * time.Second
	// loadInterval is the least time between two answers with nothing but
	// load, up to manyRows backend servers; beyond that it is twice as long, so
	// that an entry stays under 6 KB/s.
	loadInterval = 500 * time.Millisecond
	manyRows     = 300
)

// Watch answers as soon as a backend server or the revision has changed, and
// with changes of load alone after an interval.
func (c *Handler) Watch(ctx context.Context, req *peer.WatchRequest) (*peer.WatchResponse, error) {
	if err := c.checkNode(req.Node); err != nil {
		return nil, c.refuse("watch", err)
	}
	start, revision := c.now(), c.registry.Revision()
	wait := min(time.Duration(min(req.WaitMs, uint64(maxWatch.Milliseconds())))*time.Millisecond, maxWatch)
	for {
		res, wake, again, err := c.look(req, revision, c.now().Sub(start), wait)
		if err != nil {
			return nil, c.refuse("watch", err)
		}
		if res != nil {
			c.scope.Counter("watches").Inc(1)
			return res, nil
		}
		timer := time.NewTimer(again)
		select {
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, c.refuse("watch", fault.Wrap(ctx.Err(), fault.Cancelled, "watch ended"))
		case <-c.draining:
			timer.Stop()
			return nil, c.refuse("watch", fault.New(fault.Draining, "this replica is shutting down"))
		}
		timer.Stop()
	}
}

// look returns an answer if it is time for one. Otherwise it returns what to
// wait for and when to look again.
func (c *Handler) look(req *peer.WatchRequest, revision uint64, waited, wait time.Duration) (*peer.WatchResponse, <-chan struct{}, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := c.lead()
	if err != nil {
		return nil, nil, 0, err
	}
	same := req.Epoch == l.term
	current := c.registry.Revision()
	interval := loadInterval
	if len(l.board.rows) > manyRows {
		interval *= 2
	}
	hasLoad := l.board.version > req.Since
	if current == revision && !l.board.isUrgent(req.Since, same) && waited < wait && (!hasLoad || waited < interval) {
		again := loadInterval / 2
		if waited < interval {
			again = interval - waited
		}
		return nil, l.board.wake, min(again, wait-waited), nil
	}
	res := l.board.since(l.term, req.Since, same)
	res.Revision = current
	return res, nil, 0, nil
}
