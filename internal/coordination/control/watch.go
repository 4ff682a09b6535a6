package control

import (
	"context"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times of Watch.
const (
	// maxWatchWait bounds how long a Watch waits.
	maxWatchWait = 30 * time.Second
	// loadInterval is the minimum time between two responses that contain only
	// load changes, up to manyServers backend servers. Above that it is twice
	// as long, which keeps an entry under 6 KB/s.
	loadInterval = 500 * time.Millisecond
	manyServers  = 300
)

// Watch responds as soon as a backend server or the revision has changed, and
// after loadInterval if only load has changed.
func (h *Handler) Watch(ctx context.Context, req *peer.WatchRequest) (*peer.WatchResponse, error) {
	if err := h.checkNode(req.Node); err != nil {
		return nil, h.refuse("watch", err)
	}
	start, revision := h.now(), h.registry.Revision()
	wait := min(time.Duration(min(req.WaitMs, uint64(maxWatchWait.Milliseconds())))*time.Millisecond, maxWatchWait)
	for {
		res, wake, recheck, err := h.poll(req, revision, h.now().Sub(start), wait)
		if err != nil {
			return nil, h.refuse("watch", err)
		}
		if res != nil {
			h.scope.Counter("watches").Inc(1)
			return res, nil
		}
		timer := time.NewTimer(recheck)
		select {
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, h.refuse("watch", fault.Wrap(ctx.Err(), fault.Cancelled, "watch cancelled by the caller"))
		case <-h.draining:
			timer.Stop()
			return nil, h.refuse("watch", fault.New(fault.Draining, "this replica is shutting down"))
		}
		timer.Stop()
	}
}

// poll returns a response if one is due. Otherwise it returns the channel to
// wait for and the time after which to poll again.
func (h *Handler) poll(req *peer.WatchRequest, revision uint64, waited, wait time.Duration) (*peer.WatchResponse, <-chan struct{}, time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, err := h.currentLeaderState()
	if err != nil {
		return nil, nil, 0, err
	}
	sameEpoch := req.Epoch == l.term
	current := h.registry.Revision()
	interval := loadInterval
	if len(l.servers.rows) > manyServers {
		interval *= 2
	}
	hasLoad := l.servers.version > req.Since
	if current == revision && !l.servers.hasUrgentChange(req.Since, sameEpoch) && waited < wait && (!hasLoad || waited < interval) {
		recheck := loadInterval / 2
		if waited < interval {
			recheck = interval - waited
		}
		return nil, l.servers.wake, min(recheck, wait-waited), nil
	}
	res := l.servers.changesSince(l.term, req.Since, sameEpoch)
	res.Revision = current
	return res, nil, 0, nil
}
