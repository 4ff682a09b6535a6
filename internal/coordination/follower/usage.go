package follower

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/suspend"
	"oleanderrack.example/oleanderrack/internal/coordination/usage"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// UsageConfig holds what a follower needs to send counts of requests.
type UsageConfig struct {
	Counter *usage.Counter
	// Clock is set from the readings of the registrars' clocks.
	Clock   *usage.Clock
	Windows usage.Windows

	// ended is set when the last counts are sent.
	ended atomic.Bool
}

// Now returns the window that requests are counted in.
func (u *UsageConfig) Now() uint64 { return u.Windows.At(u.now()) }

func (u *UsageConfig) now() time.Time { return u.Clock.Now(suspend.Clock(), time.Now()) }

// set sets the counts that have changed after a sequence number, and returns the
// number of the last change.
func (u *UsageConfig) set(req *peer.FollowRequest, after uint64) uint64 {
	if u == nil {
		return 0
	}
	now := u.now()
	u.Counter.Forget(u.Windows.Kept(now))
	// The window is read before the counts: what is counted afterwards in an earlier
	// one, on a clock that was set back a little, is sent with the next call.
	req.UsageWindow, req.UsageFinal = u.Windows.At(now), u.ended.Load()
	var last uint64
	req.Usage, last = u.Counter.Changed(after)
	return last
}

func (u *UsageConfig) observe(source string, clockMS uint64) {
	if u != nil {
		u.Clock.Observe(source, suspend.Clock(), clockMS)
	}
}

// SendLastCounts sends all counts to each registrar, before the entry ends. It
// returns when all have answered or ctx ends.
func (f *Follower) SendLastCounts(ctx context.Context) {
	if f.cfg.Usage == nil {
		return
	}
	f.cfg.Usage.ended.Store(true)
	f.mu.Lock()
	addresses := make([]string, 0, len(f.registrars))
	for address := range f.registrars {
		addresses = append(addresses, address)
	}
	f.mu.Unlock()
	slices.Sort(addresses)
	var (
		group  sync.WaitGroup
		mu     sync.Mutex
		failed []string
	)
	for _, address := range addresses {
		group.Go(func() {
			req := &peer.FollowRequest{Node: f.cfg.Node, WithoutLoads: true}
			f.setVersions(req)
			f.cfg.Usage.set(req, 0)
			if _, err := peer.NewDirectoryProtobufClient("http://"+address, f.cfg.Client).Follow(ctx, req); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, address)
			}
		})
	}
	group.Wait()
	f.log.Info("last counts of requests sent", "registrars", len(addresses), "failed", failed)
}
