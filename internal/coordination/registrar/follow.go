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

// Times of Follow calls.
const (
	// maxFollowWait bounds how long a Follow waits.
	maxFollowWait = 5 * time.Second
	// peerFollowWait is the wait that a registrar requests of another one.
	peerFollowWait = time.Second
	// quorumMaxAge is how long a registrar without a disk reports a quorum after
	// another registrar last reported one.
	quorumMaxAge = 1500 * time.Millisecond
	// followRetry is the pause after a failed Follow, and the time between two
	// checks of the list of registrars to follow.
	followRetry = 250 * time.Millisecond
)

// Follow returns as soon as there are changes that the caller lacks, or at the
// end of its wait.
func (r *Registrar) Follow(ctx context.Context, req *peer.FollowRequest) (*peer.FollowResponse, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxFollowWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	r.recordFollower(req)
	r.recordEvidence(req)
	r.counts.record(req)
	for {
		res, wake := r.responseIfChanged(req)
		if res != nil {
			return res, nil
		}
		select {
		case <-wake:
		case <-timer.C:
			return r.response(req), nil
		case <-ctx.Done():
			return nil, r.refuse("follow", fault.Wrap(ctx.Err(), fault.Cancelled, "follow call cancelled"))
		case <-r.ctx.Done():
			return nil, r.refuse("follow", fault.New(fault.Draining, "this registrar is shutting down"))
		}
	}
}

// recordFollower records that the caller follows this registrar, and the load
// that an entry reports.
func (r *Registrar) recordFollower(req *peer.FollowRequest) {
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
		f = &entryState{}
		r.entries[req.Node.Id] = f
		r.log.Info("entry started following", "entry", req.Node.Id, "address", req.Node.Address, "catalog_version", req.CatalogVersion)
	}
	f.seen = time.Now()
	f.loads = make(map[string]uint32, len(req.Loads))
	for _, l := range req.Loads {
		f.loads[l.Id] = l.InFlight
	}
	f.entryReport = newEntryReport(req)
}

// responseIfChanged returns a response if there are changes that the caller
// lacks, and otherwise a channel that is closed at the next change.
func (r *Registrar) responseIfChanged(req *peer.FollowRequest) (*peer.FollowResponse, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Epoch == r.epoch && req.Since >= r.table.Version() &&
		req.CatalogVersion >= r.catalog.Version && req.DrainIndex >= r.drained.Index && req.QuarantineIndex >= r.quarantined.index {
		return nil, r.changed
	}
	return r.responseLocked(req), nil
}

func (r *Registrar) response(req *peer.FollowRequest) *peer.FollowResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responseLocked(req)
}

// responseLocked builds the response. The caller holds r.mu.
func (r *Registrar) responseLocked(req *peer.FollowRequest) *peer.FollowResponse {
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

		QuarantineIndex: r.quarantined.index,

		Members:    r.supervisor.status().Members,
		Leader:     r.supervisor.status().LeaderAddress,
		Entries:    uint32(len(r.entries)),
		EntryIndex: r.entryIndex(req.GetNode().GetId()),
		// Within an election timeout of losing the majority, a leader steps down
		// and a follower clears its leader.
		HasQuorum: r.supervisor.status().Leader != 0 || time.Since(r.quorumAt) < quorumMaxAge,
		ClockMs:   r.counts.clockMS(),
	}
	if req.GetNode().GetRole() == peer.Role_ROLE_ENTRY && !req.WithoutLoads {
		res.Loads = r.peerLoads(req.Node.Id)
		r.addPeerReports(res, req.Node.Id)
	}
	if r.quarantined.index > req.QuarantineIndex {
		res.Quarantined = r.quarantined.parts
	}
	if r.catalog.Version > req.CatalogVersion {
		res.Catalog = r.catalog.Data
	}
	if len(res.Members) == 0 {
		res.Members, res.Leader = r.members, r.leader
	}
	return res
}

// entryIndex returns the position of an entry among all entries in the order of
// their ids. The caller holds r.mu.
func (r *Registrar) entryIndex(id string) uint32 {
	index := uint32(0)
	for other := range r.entries {
		if other < id {
			index++
		}
	}
	return index
}

// peerLoads returns the requests that all entries except one have in flight,
// summed up by backend server.
func (r *Registrar) peerLoads(except string) []*peer.ServerLoad {
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

// Tell applies announcements received from another registrar.
func (r *Registrar) Tell(_ context.Context, req *peer.TellRequest) (*peer.TellResponse, error) {
	r.apply("registrar", req.Announcements...)
	return &peer.TellResponse{}, nil
}

// broadcast sends an announcement to the other registrars and waits for their
// answers, so that it is not lost with this process after the acknowledgement.
func (r *Registrar) broadcast(ctx context.Context, a *peer.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range r.peerAddresses() {
		group.Go(func() {
			if _, err := r.directoryClient(address).Tell(ctx, &peer.TellRequest{Announcements: []*peer.Announcement{a}}); err != nil {
				r.log.Warn("announcement was not forwarded", "backend_server", a.Id, "to", address, "error", err)
			}
		})
	}
	group.Wait()
}

// followPeers runs one goroutine for each other registrar, which receives the
// announcements made there.
func (r *Registrar) followPeers(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		wanted := map[string]bool{}
		for _, address := range r.peerAddresses() {
			wanted[address] = true
			if running[address] == nil {
				followCtx, cancel := context.WithCancel(ctx)
				running[address] = cancel
				go r.followPeer(followCtx, address)
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

func (r *Registrar) followPeer(ctx context.Context, address string) {
	req := &peer.FollowRequest{
		Node:   &peer.Node{Id: r.cfg.Address, Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain},
		WaitMs: uint32(peerFollowWait.Milliseconds()),
	}
	connected := false
	for ctx.Err() == nil {
		req.CatalogVersion, req.DrainIndex, req.QuarantineIndex = r.heldVersions()
		callCtx, cancel := context.WithTimeout(ctx, peerFollowWait+callTimeout)
		res, err := r.directoryClient(address).Follow(callCtx, req)
		cancel()
		if err != nil {
			if connected && ctx.Err() == nil {
				r.log.Warn("registrar is unreachable", "address", address, "error", err)
			}
			connected = false
			select {
			case <-ctx.Done():
			case <-time.After(followRetry):
			}
			continue
		}
		if !connected {
			r.log.Info("registrar is reachable", "address", address)
			connected = true
		}
		r.counts.observe(address, res.ClockMs)
		req.Epoch, req.Since = res.Epoch, res.Version
		r.apply("registrar", res.Announcements...)
		r.recordResponse(res)
	}
}

// heldVersions returns the catalog version and the indexes of drained failure
// domains and quarantined parts up to which other registrars need not send data. A
// registrar with a disk needs none: it receives them through the log.
func (r *Registrar) heldVersions() (version, drainIndex, quarantineIndex uint64) {
	if r.cfg.Folder != "" {
		return math.MaxUint64, math.MaxUint64, math.MaxUint64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received.Version, r.drained.Index, r.quarantined.index
}

// recordResponse records the state of the group that another registrar reported.
func (r *Registrar) recordResponse(res *peer.FollowResponse) {
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
	changed := false
	if len(res.Catalog) > 0 {
		r.receiveCatalog(registry.Catalog{Version: res.CatalogVersion, Data: res.Catalog})
	}
	if res.DrainIndex > r.drained.Index {
		r.drained, changed = registry.DrainedDomains{Index: res.DrainIndex, FailureDomains: res.Drained}, true
		r.log.Info("drained failure domains received", "index", res.DrainIndex, "drained", res.Drained)
	}
	if res.QuarantineIndex > r.quarantined.index {
		r.quarantined, changed = quarantinedParts{index: res.QuarantineIndex, parts: res.Quarantined}, true
		r.log.Info("quarantined parts received", "index", res.QuarantineIndex, "parts", len(res.Quarantined))
	}
	if changed {
		r.wakeFollowers()
	}
}
