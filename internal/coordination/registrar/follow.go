package registrar

import (
	"context"
	"math"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times of Follow.
const (
	// maxWait bounds how long a Follow waits.
	maxWait = 5 * time.Second
	// followWait is how long a registrar that follows another waits.
	followWait = time.Second
	// quorumMaxAge is how long a registrar without a disk passes on that another
	// one was on the side of the majority.
	quorumMaxAge = 1500 * time.Millisecond
	// followRetry is the pause after a Follow that failed.
	followRetry = 250 * time.Millisecond
)

// Follow answers with what is new to the caller, or after a wait.
func (r *Registrar) Follow(ctx context.Context, req *peer.FollowRequest) (*peer.FollowResponse, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	r.note(req)
	for {
		res, wake := r.news(req)
		if res != nil {
			return res, nil
		}
		select {
		case <-wake:
		case <-timer.C:
			return r.answer(req), nil
		case <-ctx.Done():
			return nil, r.refuse("follow", fault.Wrap(ctx.Err(), fault.Cancelled, "follow ended"))
		case <-r.ctx.Done():
			return nil, r.refuse("follow", fault.New(fault.Draining, "this registrar is shutting down"))
		}
	}
}

// note takes what the follower says of itself.
func (r *Registrar) note(req *peer.FollowRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.GetNode().GetRole() != peer.Role_ROLE_ENTRY {
		if address := req.GetNode().GetAddress(); address != "" {
			r.followers[address] = time.Now()
		}
		return
	}
	f := r.entries[req.Node.Id]
	if f == nil {
		f = &follower{}
		r.entries[req.Node.Id] = f
		r.log.Info("entry follows", "entry", req.Node.Id, "address", req.Node.Address, "catalog_version", req.CatalogVersion)
	}
	f.seen = time.Now()
	f.loads = make(map[string]uint32, len(req.Loads))
	for _, l := range req.Loads {
		f.loads[l.Id] = l.InFlight
	}
}

// news returns an answer if something is new to the caller, and otherwise a
// channel that is closed at the next change.
func (r *Registrar) news(req *peer.FollowRequest) (*peer.FollowResponse, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Epoch == r.epoch && req.Since >= r.table.Version() &&
		req.CatalogVersion >= r.catalog.Version && req.DrainIndex >= r.drained.Index {
		return nil, r.changed
	}
	return r.compose(req), nil
}

func (r *Registrar) answer(req *peer.FollowRequest) *peer.FollowResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.compose(req)
}

// compose makes the answer. The caller holds r.mu.
func (r *Registrar) compose(req *peer.FollowRequest) *peer.FollowResponse {
	since := req.Since
	if req.Epoch != r.epoch {
		since = 0
	}
	res := &peer.FollowResponse{
		Epoch: r.epoch, Version: r.table.Version(),
		Announcements:  r.table.Since(time.Now(), since),
		CatalogVersion: r.catalog.Version,
		DrainIndex:     r.drained.Index,
		Drained:        r.drained.FailureDomains,
		Members:        r.core.status().Members,
		Leader:         r.core.status().LeaderAddress,
		Entries:        uint32(len(r.entries)),
		Loads:          r.loads(req.GetNode().GetId()),
		// A leader steps down and followers forget theirs within an election
		// timeout of losing the majority.
		HasQuorum: r.core.status().Leader != 0 || time.Since(r.quorumAt) < quorumMaxAge,
	}
	if r.catalog.Version > req.CatalogVersion {
		res.Catalog = r.catalog.Data
	}
	if len(res.Members) == 0 {
		res.Members, res.Leader = r.members, r.leader
	}
	return res
}

// loads adds up what all entries but one have in flight.
func (r *Registrar) loads(except string) []*peer.ServerLoad {
	sums := map[string]uint32{}
	for id, f := range r.entries {
		if id == except {
			continue
		}
		for server, n := range f.loads {
			sums[server] += n
		}
	}
	list := make([]*peer.ServerLoad, 0, len(sums))
	for server, n := range sums {
		if n > 0 {
			list = append(list, &peer.ServerLoad{Id: server, InFlight: n})
		}
	}
	return list
}

// Tell takes announcements from another registrar.
func (r *Registrar) Tell(_ context.Context, req *peer.TellRequest) (*peer.TellResponse, error) {
	r.apply("registrar", req.Announcements...)
	return &peer.TellResponse{}, nil
}

// tell passes an announcement on and waits for the answers, so that it is not
// lost with this process after the acknowledgement.
func (r *Registrar) tell(ctx context.Context, a *peer.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range r.others() {
		group.Go(func() {
			if _, err := r.peer(address).Tell(ctx, &peer.TellRequest{Announcements: []*peer.Announcement{a}}); err != nil {
				r.log.Warn("announcement was not passed on", "backend_server", a.Id, "to", address, "error", err)
			}
		})
	}
	group.Wait()
}

// followOthers keeps one goroutine for each other registrar, which brings what
// backend servers announce there.
func (r *Registrar) followOthers(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		wanted := map[string]bool{}
		for _, address := range r.others() {
			wanted[address] = true
			if running[address] == nil {
				followCtx, cancel := context.WithCancel(ctx)
				running[address] = cancel
				go r.followOther(followCtx, address)
			}
		}
		for address, cancel := range running {
			if !wanted[address] {
				cancel()
				delete(running, address)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetry):
		}
	}
	for _, cancel := range running {
		cancel()
	}
}

func (r *Registrar) followOther(ctx context.Context, address string) {
	req := &peer.FollowRequest{
		Node:   &peer.Node{Id: r.cfg.Address, Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain},
		WaitMs: uint32(followWait.Milliseconds()),
	}
	connected := false
	for ctx.Err() == nil {
		req.CatalogVersion, req.DrainIndex = r.wanted()
		callCtx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
		res, err := r.peer(address).Follow(callCtx, req)
		cancel()
		if err != nil {
			if connected && ctx.Err() == nil {
				r.log.Warn("registrar is lost", "address", address, "error", err)
			}
			connected = false
			select {
			case <-ctx.Done():
			case <-time.After(followRetry):
			}
			continue
		}
		if !connected {
			r.log.Info("registrar is reached", "address", address)
			connected = true
		}
		req.Epoch, req.Since = res.Epoch, res.Version
		r.apply("registrar", res.Announcements...)
		r.hear(res)
	}
}

// wanted returns the catalog and drained failure domains that others need not
// send: with a disk they come through the log.
func (r *Registrar) wanted() (version, index uint64) {
	if r.cfg.Folder != "" {
		return math.MaxUint64, math.MaxUint64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.Version, r.drained.Index
}

// hear takes what another registrar knows of the group.
func (r *Registrar) hear(res *peer.FollowResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(res.Members) > 0 {
		r.members = res.Members
	}
	if res.Leader != "" {
		r.leader = res.Leader
	}
	if r.cfg.Folder != "" {
		return
	}
	if res.HasQuorum {
		r.quorumAt = time.Now()
	}
	news := false
	if res.CatalogVersion > r.catalog.Version && len(res.Catalog) > 0 {
		r.catalog, news = registry.Catalog{Version: res.CatalogVersion, Data: res.Catalog}, true
		r.log.Info("catalog heard of", "version", res.CatalogVersion)
	}
	if res.DrainIndex > r.drained.Index {
		r.drained, news = registry.Drained{Index: res.DrainIndex, FailureDomains: res.Drained}, true
		r.log.Info("drained failure domains heard of", "index", res.DrainIndex, "drained", res.Drained)
	}
	if news {
		r.alert()
	}
}
