/*
Package follower keeps an entry's view of the catalog, the drained failure
domains and the backend servers up to date with the registrars.

# Concept

A follower polls every registrar it can reach and keeps the newest of each: the
catalog with the highest version, the drained failure domains and the quarantined
parts of prompts of the highest log index, and the newest announcement of each backend server. Its view never
goes back to an older state, whichever registrar answers, and stays unchanged
while none does.

# Use

	f := follower.New(ctx, cfg, log, scope)
	view := f.View() // nil until the first catalog has been received
	route, ok := view.Index.Route(host, path)
*/
package follower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/directory"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// Times of the follower.
const (
	// followWait is how long a registrar holds a call while there is nothing new.
	// Loads are sent with each call, so this is also their age.
	followWait = 400 * time.Millisecond
	// loadWait is the same for the registrar that sends the loads of other entries.
	// It is usually in the same failure domain, where bytes cost little.
	loadWait = 200 * time.Millisecond
	// callTimeout is the time limit of a call beyond followWait. A call on a
	// connection that hangs is aborted well within the gateway's MaxStaleness, which
	// is some seconds.
	callTimeout = 600 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// refreshInterval is how often the list of registrars is checked.
	refreshInterval = 100 * time.Millisecond
	// settleTime is how long a new follower waits for the other registrars
	// once one has answered: the first may be out of date.
	settleTime = 700 * time.Millisecond
	// peerLoadMaxAge is how long the loads of other entries are used.
	peerLoadMaxAge = 2 * time.Second
)

// Config holds the settings and dependencies of a Follower.
type Config struct {
	Node *peer.Node
	// Seeds returns the addresses of some registrars. It may change.
	Seeds  func() []string
	Client *http.Client
	// Decode decodes a catalog as registrars send it.
	Decode func([]byte) (catalog.Catalog, error)
	// Loads returns the requests in flight by backend server.
	Loads func() map[string]int
	// Report returns the demand of the entry and the outcomes of its requests; nil if
	// it reports none.
	Report func() Report
	// Observations returns what the entry has observed after a sequence number, and
	// the highest number; see quarantine.Guard.
	Observations func(after uint64) ([]quarantine.Observation, uint64)
	// Usage is set where requests are counted for usage reports.
	Usage *UsageConfig
	// OnChange is called with each new view, in order.
	OnChange func(*View)
}

// View is a snapshot of the state received from the registrars. It must not be
// changed.
type View struct {
	Index *catalog.Index
	// Drained holds the failure domains that get no new work.
	Drained map[string]bool
	// Quarantined holds the end of the quarantine of parts of prompts.
	Quarantined map[string]time.Time
	Servers     []Server
	// Entries is the number of entries that share common limits, at least 1, and
	// EntryIndex the position of this one among them, from 0.
	Entries    int
	EntryIndex int
}

// Server is one backend server that may get work.
type Server struct {
	ID            string
	StartedMS     uint64
	Sequence      uint64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	Received      time.Time
	ColdUntil     time.Time
	// Group is the expert-parallel group whose passes the backend server takes
	// part in, or empty; Epoch counts how often the group has formed, and Broken
	// says that it does no work.
	Group  string
	Epoch  uint64
	Broken bool
}

// Follower keeps the newest view. Use New.
type Follower struct {
	cfg   Config
	log   hclog.Logger
	scope tally.Scope
	view  atomic.Pointer[View]

	decoding       sync.Mutex
	decodedVersion uint64 // guarded by decoding

	mu                sync.Mutex
	table             *directory.Table
	index             *catalog.Index
	drained           map[string]bool
	drainIndex        uint64
	quarantined       map[string]time.Time
	quarantineIndex   uint64
	registrars        map[string]*registrar
	members           []string
	domains           map[string]string // failure domain of each member, by address
	loadSource        string            // the registrar that sends the loads of other entries
	firstAnswerAt     time.Time
	peerLoads         map[string]uint32
	peerLoadsAt       time.Time
	peerReport        PeerReport // received with peerLoads
	lastQuorumContact time.Time
}

// registrar is the state of the registrar at one address.
type registrar struct {
	cancel    context.CancelFunc
	reachable bool
	entries   uint32
	// entryIndex is the position of this entry among them.
	entryIndex uint32
}

// New starts a follower. It runs until ctx ends.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) *Follower {
	f := &Follower{
		cfg: cfg, log: log, scope: scope,
		table: directory.New(), registrars: map[string]*registrar{}, drained: map[string]bool{},
	}
	go func() {
		ticker := time.NewTicker(refreshInterval)
		defer ticker.Stop()
		for {
			f.refreshRegistrars(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return f
}

// View returns the newest view, or nil if none is complete yet.
func (f *Follower) View() *View { return f.view.Load() }

// PeerLoads returns the requests that other entries have in flight by backend
// server, or nil if there is no recent report.
func (f *Follower) PeerLoads(now time.Time) map[string]uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.peerLoadsAt) > peerLoadMaxAge {
		return nil
	}
	return f.peerLoads
}

// LastQuorumContact returns the start time of the latest call that a registrar in
// contact with a majority has answered.
func (f *Follower) LastQuorumContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastQuorumContact
}

// refreshRegistrars starts to follow new registrars and stops following those
// that are no longer listed.
func (f *Follower) refreshRegistrars(ctx context.Context) {
	wanted := f.cfg.Seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if !slices.Contains(wanted, m) {
			wanted = append(slices.Clip(wanted), m)
		}
	}
	for _, address := range wanted {
		if f.registrars[address] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		r := &registrar{cancel: cancel}
		f.registrars[address] = r
		go f.follow(followCtx, address, r)
	}
	for address, r := range f.registrars {
		if !slices.Contains(wanted, address) {
			r.cancel()
			delete(f.registrars, address)
		}
	}
	f.publishFirst()
}

// follow calls one registrar until ctx ends.
func (f *Follower) follow(ctx context.Context, address string, r *registrar) {
	client := peer.NewDirectoryProtobufClient("http://"+address, f.cfg.Client)
	req := &peer.FollowRequest{Node: f.cfg.Node}
	backoff := minBackoff
	reported := uint64(0) // sequence number of the last observation that the registrar has
	counted := uint64(0)  // that of the last change of counts
	for ctx.Err() == nil {
		f.setVersions(req)
		last := f.setEvidence(address, req, reported)
		f.setLoadExchange(address, req)
		lastCounted := f.cfg.Usage.set(req, counted)
		callCtx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
		begin := time.Now()
		res, err := client.Follow(callCtx, req)
		cancel()
		if err != nil {
			f.recordFailure(address, r, err)
			select {
			case <-ctx.Done():
			case <-time.After(backoff + rand.N(backoff)):
			}
			backoff = min(maxBackoff, backoff*2)
			continue
		}
		backoff = minBackoff
		reported, counted = last, lastCounted
		if req.Epoch != 0 && res.Epoch != req.Epoch {
			// It has started again and has lost what was reported before.
			reported, counted = 0, 0
		}
		f.cfg.Usage.observe(address, res.ClockMs)
		req.Epoch, req.Since = res.Epoch, res.Version
		f.merge(address, r, res, begin, !req.WithoutLoads)
	}
}

// setLoadExchange sets the loads that a registrar is sent and whether it sends
// those of other entries. Entries report to the members of the group only, and one
// of them, in their own failure domain if possible, answers with the sums.
func (f *Follower) setLoadExchange(address string, req *peer.FollowRequest) {
	f.mu.Lock()
	f.loadSource = chooseLoadSource(f.loadSource, f.members, f.domains, f.cfg.Node.GetFailureDomain(), func(member string) bool {
		return f.registrars[member] != nil && f.registrars[member].reachable
	})
	source, isMember := f.loadSource, len(f.members) == 0 || slices.Contains(f.members, address)
	f.mu.Unlock()
	req.Loads = nil
	if isMember {
		req.Loads = f.ownLoads()
	}
	f.setReport(req, isMember)
	req.WithoutLoads = source != "" && source != address || !isMember
	wait := followWait
	if source == address {
		wait = loadWait
	}
	req.WaitMs = uint32(wait.Milliseconds())
}

// chooseLoadSource returns the member that sends the loads of other entries, or ""
// if none can be reached: one in the entry's own failure domain, else the current
// one, else any.
func chooseLoadSource(current string, members []string, domains map[string]string, own string, reachable func(string) bool) string {
	chosen := ""
	for _, m := range members {
		switch {
		case !reachable(m):
		case domains[m] == own:
			return m
		case chosen == "" || m == current:
			chosen = m
		}
	}
	return chosen
}

// setEvidence sets the observations after a sequence number, for a member of the
// group, and returns the number of the last one.
func (f *Follower) setEvidence(address string, req *peer.FollowRequest, after uint64) uint64 {
	f.mu.Lock()
	isMember := len(f.members) == 0 || slices.Contains(f.members, address)
	f.mu.Unlock()
	req.Evidence = nil
	if !isMember {
		return after
	}
	now := time.Now()
	observations, last := f.cfg.Observations(after)
	for _, o := range observations {
		req.Evidence = append(req.Evidence, &peer.PromptEvidence{
			AgeMs: uint32(o.Age(now).Milliseconds()), Parts: o.Parts, Crashed: o.Crashed.ID, BornMs: o.Crashed.StartedMS,
		})
	}
	return last
}

// setVersions sets the versions that are in use.
func (f *Follower) setVersions(req *peer.FollowRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	req.CatalogVersion, req.DrainIndex, req.QuarantineIndex = f.catalogVersion(), f.drainIndex, f.quarantineIndex
}

// catalogVersion returns the version of the catalog in use, or 0. The caller holds
// f.mu.
func (f *Follower) catalogVersion() uint64 {
	if f.index == nil {
		return 0
	}
	return f.index.Catalog.Version
}

func (f *Follower) ownLoads() []*peer.ServerLoad {
	var list []*peer.ServerLoad
	for id, n := range f.cfg.Loads() {
		list = append(list, &peer.ServerLoad{Id: id, InFlight: uint32(n)})
	}
	return list
}

func (f *Follower) recordFailure(address string, r *registrar, err error) {
	f.scope.Counter("follow_failures").Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.reachable {
		f.log.Warn("registrar is unreachable", "address", address, "error", err)
	}
	r.reachable = false
}

// merge applies the response of a registrar.
func (f *Follower) merge(address string, r *registrar, res *peer.FollowResponse, begin time.Time, withLoads bool) {
	index := f.decode(address, res)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.reachable {
		f.log.Info("registrar is reachable", "address", address, "catalog_version", res.CatalogVersion, "entries", res.Entries)
		r.reachable = true
	}
	if f.firstAnswerAt.IsZero() {
		f.firstAnswerAt = now
	}
	changed := r.entries != res.Entries || r.entryIndex != res.EntryIndex
	r.entries, r.entryIndex = res.Entries, res.EntryIndex
	if index != nil && (f.index == nil || index.Catalog.Version > f.index.Catalog.Version) {
		f.index, changed = index, true
		f.table.SetServices(now, index.ServiceNames())
		f.log.Info("catalog adopted", "version", index.Catalog.Version, "routes", len(index.Catalog.Routes), "from", address)
	}
	if res.DrainIndex > f.drainIndex {
		f.drainIndex, changed = res.DrainIndex, true
		f.drained = map[string]bool{}
		for _, d := range res.Drained {
			f.drained[d] = true
		}
		f.log.Info("drained failure domains adopted", "index", res.DrainIndex, "drained", res.Drained, "from", address)
	}
	if res.QuarantineIndex > f.quarantineIndex {
		f.quarantineIndex, changed = res.QuarantineIndex, true
		f.quarantined = map[string]time.Time{}
		for _, q := range res.Quarantined {
			f.quarantined[q.Part] = time.UnixMilli(int64(q.UntilMs))
		}
		f.log.Info("quarantined parts adopted", "index", res.QuarantineIndex, "parts", len(res.Quarantined), "from", address)
	}
	for _, a := range res.Announcements {
		changed = f.table.Apply(now, a) || changed
	}
	f.members, f.domains = f.members[:0:0], make(map[string]string, len(res.Members))
	for _, m := range res.Members {
		f.members = append(f.members, m.Address)
		f.domains[m.Address] = m.FailureDomain
	}
	if withLoads && f.knowsEntries(r) {
		f.mergeLoads(now, res)
	}
	if res.HasQuorum && begin.After(f.lastQuorumContact) {
		f.lastQuorumContact = begin
	}
	if changed && f.view.Load() != nil {
		f.publish()
	}
	f.publishFirst()
}

// knowsEntries reports whether a registrar knows most of the entries. One that has
// just started has the loads of few. The caller holds f.mu.
func (f *Follower) knowsEntries(r *registrar) bool {
	for _, other := range f.registrars {
		if other.reachable && other.entries >= 2*r.entries {
			return false
		}
	}
	return true
}

func (f *Follower) mergeLoads(now time.Time, res *peer.FollowResponse) {
	f.peerLoads = make(map[string]uint32, len(res.Loads))
	for _, l := range res.Loads {
		f.peerLoads[l.Id] = l.InFlight
	}
	f.peerLoadsAt = now
	f.recordPeerReport(newPeerReport(res))
}

// decode decodes the catalog of a response if it is newer than the one in use.
func (f *Follower) decode(address string, res *peer.FollowResponse) *catalog.Index {
	if len(res.Catalog) == 0 {
		return nil
	}
	// All registrars send the same catalog at about the same time.
	f.decoding.Lock()
	defer f.decoding.Unlock()
	f.mu.Lock()
	current := max(f.catalogVersion(), f.decodedVersion)
	f.mu.Unlock()
	if res.CatalogVersion <= current {
		return nil
	}
	c, err := f.cfg.Decode(res.Catalog)
	if err != nil {
		f.scope.Counter("catalogs_unreadable").Inc(1)
		f.log.Error("catalog cannot be decoded", "version", res.CatalogVersion, "from", address, "error", err)
		return nil
	}
	f.decodedVersion = res.CatalogVersion
	return catalog.NewIndex(c)
}

// publishFirst publishes the first view once more than half of the registrars
// are reachable, or settleTime after the first answer. The caller holds f.mu.
func (f *Follower) publishFirst() {
	if f.view.Load() != nil || f.index == nil {
		return
	}
	reachable := 0
	for _, r := range f.registrars {
		if r.reachable {
			reachable++
		}
	}
	if reachable*2 > len(f.registrars) || time.Since(f.firstAnswerAt) >= settleTime {
		f.publish()
	}
}

// publish builds and publishes a new view. The caller holds f.mu.
func (f *Follower) publish() {
	v := &View{Index: f.index, Drained: f.drained, Quarantined: f.quarantined, Entries: 1}
	for _, r := range f.registrars {
		// A registrar that has just started does not know all entries yet.
		if int(r.entries) >= v.Entries {
			v.Entries, v.EntryIndex = int(r.entries), max(v.EntryIndex, int(r.entryIndex))
		}
	}
	f.table.Entries(func(e *directory.Entry) {
		a := e.Announcement
		v.Servers = append(v.Servers, Server{
			ID: a.Id, StartedMS: a.BornMs, Sequence: a.Sequence, Service: a.Service, Address: a.Address, FailureDomain: a.FailureDomain,
			Slots: int(a.Slots), Draining: a.State != peer.BackendState_BACKEND_STATE_READY,
			Received: e.Received, ColdUntil: e.ColdUntil,
			Group: a.GetGroup().GetName(), Epoch: a.GetGroup().GetEpoch(), Broken: a.GetGroup().GetBroken(),
		})
	})
	slices.SortFunc(v.Servers, func(a, b Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.view.Store(v)
	f.cfg.OnChange(v)
}
