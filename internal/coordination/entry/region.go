package entry

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/fairness"
	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/caller"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

const (
	// watchWait is how long control may hold a Watch without changes.
	watchWait = time.Second
	// watchTimeout bounds a Watch, including its wait.
	watchTimeout = watchWait + 2*time.Second
	// watchPause is the time between two Watches. It limits the traffic to one
	// answer for each load report.
	watchPause = 250 * time.Millisecond
)

// region holds the control client and the session of one region.
type region struct {
	name    string
	control peer.Control
	session Session
	// appliedRevision is the revision of the intent in the view; guarded by
	// Role.mu.
	appliedRevision uint64
}

// watch keeps the view of a region's backend servers up to date.
func (r *Role) watch(ctx context.Context, reg *region) {
	log := r.log.Named("watch").With("region", reg.name)
	for ctx.Err() == nil {
		r.mu.Lock()
		epoch, since := r.view.Position(reg.name)
		r.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		response, err := reg.control.Watch(callCtx, &peer.WatchRequest{
			Node: r.node, Epoch: epoch, Since: since, WaitMs: uint64(watchWait.Milliseconds()),
		})
		cancel()
		if err != nil {
			r.count("watch_failures", reg.name)
			log.Debug("watch failed", "error", err)
		} else {
			r.mu.Lock()
			r.view.Apply(time.Now(), reg.name, response)
			r.scope.Gauge("known_backend_servers").Update(float64(r.view.Len()))
			r.grantWaiting()
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// refreshView updates the leases and intents of all regions in the view.
// Callers hold r.mu.
func (r *Role) refreshView() {
	for _, reg := range r.regions {
		r.view.SetAvailable(reg.name, reg.session.CheckLease() == nil)
		if revision := reg.session.Revision(); revision != reg.appliedRevision {
			r.view.SetIntent(reg.name, reg.session.Intent())
			reg.appliedRevision = revision
		}
	}
}

func (r *Role) window(a *peer.AttemptRef) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Window(a.AgentId, a.AgentIncarnation)
}

// homeRegion returns the region whose ledger holds a key. All entries select
// the same one, by a hash over the service's regions.
func homeRegion(service intent.Service, local string, key *peer.KeyRef) string {
	if len(service.Regions) == 0 {
		return local
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

// directoryCache caches the directory of the running revision.
type directoryCache struct {
	mu        sync.Mutex
	revision  uint64
	directory *caller.Directory
}

// currentDirectory returns the directory of the running revision, a no_lease fault,
// or unavailable before the first configuration, which lists no client accounts: a
// valid key must not be refused as unknown.
func (r *Role) currentDirectory() (*caller.Directory, error) {
	session := r.localRegion().session
	if err := session.CheckLease(); err != nil {
		return nil, err
	}
	c := &r.directory
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := session.Revision()
	if revision == 0 {
		return nil, errNoConfiguration().WithRetryAfter(membership.RenewInterval)
	}
	if c.directory == nil || revision != c.revision {
		in := session.Intent()
		c.directory, c.revision = caller.NewDirectory(in), revision
		r.mu.Lock()
		r.scheduler.limiter.SetLimits(accountLimits(in))
		r.mu.Unlock()
	}
	return c.directory, nil
}

// accountLimits returns the limits of the client accounts in an intent.
func accountLimits(in intent.Intent) map[string]fairness.Limit {
	limits := make(map[string]fairness.Limit, len(in.ClientAccounts))
	for _, a := range in.ClientAccounts {
		limits[a.Name] = fairness.Limit{
			Weight: float64(a.Weight), PerSecond: a.RequestsPerSecond, Burst: int(a.Burst), MaxConcurrent: int(a.MaxConcurrent),
		}
	}
	return limits
}
