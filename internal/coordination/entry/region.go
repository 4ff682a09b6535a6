package entry

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/fairness"
	"oleanderrack.example/oleanderrack/internal/protocol/caller"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

const (
	// watchWait is how long control may hold a Watch without news.
	watchWait = time.Second
	// watchTimeout bounds a Watch with its wait.
	watchTimeout = watchWait + 2*time.Second
	// watchPause is the time between Watches. It bounds the traffic to one
	// answer per load report.
	watchPause = 250 * time.Millisecond
)

// region is one region's control as the entry uses it.
type region struct {
	name    string
	control peer.Control
	session Session
	// applied is the revision whose intent the view has; guarded by Role.mu.
	applied uint64
}

// watch keeps the view of a region's backend servers up to date.
func (r *Role) watch(ctx context.Context, g *region) {
	log := r.log.Named("watch").With("region", g.name)
	for ctx.Err() == nil {
		r.mu.Lock()
		epoch, since := r.view.Position(g.name)
		r.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		response, err := g.control.Watch(callCtx, &peer.WatchRequest{
			Node: r.node, Epoch: epoch, Since: since, WaitMs: uint64(watchWait.Milliseconds()),
		})
		cancel()
		if err != nil {
			r.count("watch_failures", g.name)
			log.Debug("watch failed", "error", err)
		} else {
			r.mu.Lock()
			r.view.Apply(time.Now(), g.name, response)
			r.pump()
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// refresh brings leases and intents of all regions into the view. Callers hold
// r.mu.
func (r *Role) refresh() {
	for _, g := range r.regions {
		r.view.SetAvailable(g.name, g.session.CheckLease() == nil)
		if revision := g.session.Revision(); revision != g.applied {
			r.view.SetIntent(g.name, g.session.Intent())
			g.applied = revision
		}
	}
}

func (r *Role) window(a *peer.AttemptRef) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Window(a.AgentId, a.AgentIncarnation)
}

// homeRegion returns the region whose ledger has a key: the same one at every
// entry, by a hash over the service's regions.
func homeRegion(service intent.Service, own string, key *peer.KeyRef) string {
	if len(service.Regions) == 0 {
		return own
	}
	regions := slices.Clone(service.Regions)
	slices.Sort(regions)
	h := fnv.New64a()
	for _, part := range []string{key.ClientAccount, key.Service, key.Key} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return regions[h.Sum64()%uint64(len(regions))]
}

// directoryCache keeps the directory of the running revision.
type directoryCache struct {
	mu        sync.Mutex
	revision  uint64
	directory *caller.Directory
}

// current returns the directory of the running revision, or a no_lease fault.
func (r *Role) current() (*caller.Directory, error) {
	session := r.own().session
	if err := session.CheckLease(); err != nil {
		return nil, err
	}
	c := &r.directory
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision := session.Revision(); c.directory == nil || revision != c.revision {
		in := session.Intent()
		c.directory, c.revision = caller.NewDirectory(in), revision
		r.mu.Lock()
		r.gate.limiter.SetLimits(limitsOf(in))
		r.mu.Unlock()
	}
	return c.directory, nil
}

// limitsOf returns the accounts' limits of an intent.
func limitsOf(in intent.Intent) map[string]fairness.Limit {
	limits := make(map[string]fairness.Limit, len(in.ClientAccounts))
	for _, a := range in.ClientAccounts {
		limits[a.Name] = fairness.Limit{
			Weight: float64(a.Weight), PerSecond: a.RequestsPerSecond, Burst: int(a.Burst), MaxConcurrent: int(a.MaxConcurrent),
		}
	}
	return limits
}
