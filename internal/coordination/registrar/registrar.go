/*
Package registrar replicates the state that a deployment shares and distributes
it to the entries.

# Concept

Backend servers announce themselves to any registrar, and operators submit
catalogs and drain failure domains there. Catalogs and drained failure domains
go through the replicated log and are acknowledged once a majority has them on
disk. The leader also quarantines parts of prompts there, by the evidence that
entries send with each call; see package quarantine. Announcements are kept in memory: each registrar forwards those that it
receives to the other registrars and to the entries that follow it. A change
that stops new work is forwarded before it is acknowledged.

A registrar whose disk fails continues to serve its last state and opens its
log again. One that has lost its disk joins as a new member, and the leader
replaces lost voters with members that have caught up.

# Use

	r, err := registrar.New(ctx, cfg, log, scope)
	r.Routes(echo)                     // for other processes
	err = r.Announce(ctx, announcement)
	err = r.ReplaceCatalog(ctx, version, data)
*/
package registrar

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/coordination/suspend"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/directory"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/internal/transport/client"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times of the registrar.
const (
	// callTimeout bounds a call to another registrar. Callers time out after a
	// second, so the result of a longer call would not be used.
	callTimeout = 800 * time.Millisecond
	// proposeTimeout bounds a proposal or a confirmed read.
	proposeTimeout = 900 * time.Millisecond
	// broadcastTimeout bounds how long an acknowledgement waits for registrars
	// that do not answer; announcers time out after a second.
	broadcastTimeout = 300 * time.Millisecond
	// expireInterval is the time between two removals of silent backend servers
	// and followers.
	expireInterval = time.Second
	// followerTimeout is how long an entry or registrar that has stopped following
	// is still counted. Shares of common limits are computed from the count, so the
	// timeout must be longer than a restart.
	followerTimeout = 15 * time.Second
	// standbyMaxAge is how long ago a standby may have sent its last Follow. A
	// standby sends one every second.
	standbyMaxAge = 1500 * time.Millisecond
)

// Config configures a Registrar.
type Config struct {
	// Cluster is the name of the group of registrars in its data folders.
	Cluster string
	// Address is host:port where other processes reach this one.
	Address       string
	FailureDomain string
	// Folder is the data folder. It is empty on a host without a disk: the
	// registrar then forwards requests to the leader, and serves entries with the
	// state that other registrars report.
	Folder string
	// Disk holds the folder; that of the host if nil.
	Disk wal.Disk
	// Seeds returns the addresses of some registrars. The result may change.
	Seeds func() []string
	// Bootstrap is set when the system starts for the first time, so that there
	// is no group yet.
	Bootstrap bool
	// Voters is the number of voters that the group should have.
	Voters int
	// Services returns the names of the services that a catalog lists. Backend
	// servers of others are not passed on.
	Services func(catalog []byte) ([]string, error)
	// Usage is set where the usage of client accounts is reported.
	Usage *UsageConfig
}

// Registrar is one registrar of a deployment. Its methods are safe for
// concurrent use.
type Registrar struct {
	ctx           context.Context
	cfg           Config
	log           hclog.Logger
	scope         tally.Scope
	client        *http.Client
	supervisor    *supervisor
	epoch         uint64
	interruptions *suspend.Detector
	// drainProposal holds an element while a drain order is checked and proposed.
	drainProposal chan struct{}
	// catalogReceived holds an element while received has not been published.
	catalogReceived chan struct{}
	// evidenceAdded holds an element while evidence has not been checked.
	evidenceAdded chan struct{}
	// counts is nil unless usage is reported.
	counts *counts

	mu      sync.Mutex
	table   *directory.Table
	changed chan struct{} // closed at the next change
	entries map[string]*entryState
	// received is the newest catalog seen, also while the log is closed, and catalog
	// the one that is handed out. table lists the services of the latter.
	received registry.Catalog
	catalog  registry.Catalog
	// drained is the newest seen.
	drained registry.DrainedDomains
	// quarantined is the newest seen, and evidence is what entries have observed.
	quarantined quarantinedParts
	evidence    *quarantine.Evidence
	clients     map[string]peer.Directory
	// followers holds the time of the last Follow of each registrar that follows
	// this one, by address. Those without a disk are not members; this registrar
	// follows them too, to receive the announcements made there.
	followers map[string]time.Time
	// members and leader were last reported by other registrars.
	members []*peer.Member
	leader  string
	// quorumAt is when another registrar last reported a quorum.
	quorumAt time.Time
	// founders holds the addresses of the registrars that have registered to
	// bootstrap the group.
	founders map[string]bool
}

// entryState is the state of an entry that follows this registrar.
type entryState struct {
	seen  time.Time
	loads map[string]uint32 // its requests in flight, by backend server
	entryReport
}

var (
	_ peer.Directory   = (*Registrar)(nil)
	_ peer.Replication = (*Registrar)(nil)
)

// New starts a registrar, which runs until ctx ends.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) (*Registrar, error) {
	if cfg.Address == "" || cfg.Cluster == "" || cfg.Voters < 1 || cfg.Services == nil {
		return nil, fault.New(fault.BadSettings, "registrar: address, cluster, at least one voter and a decoder of services are required")
	}
	if cfg.Disk == nil {
		cfg.Disk = wal.HostDisk{}
	}
	r := &Registrar{
		ctx: ctx, cfg: cfg, log: log, scope: scope,
		client:  &http.Client{Transport: client.NewTransport()},
		epoch:   newID(),
		table:   directory.New(),
		changed: make(chan struct{}),
		entries: map[string]*entryState{},
		clients: map[string]peer.Directory{},

		interruptions: suspend.New(ctx, suspend.Clock),
		drainProposal: make(chan struct{}, 1),

		catalogReceived: make(chan struct{}, 1),

		evidence:      quarantine.NewEvidence(),
		evidenceAdded: make(chan struct{}, 1),

		founders:  map[string]bool{},
		followers: map[string]time.Time{},
	}
	if cfg.Usage != nil {
		r.counts = newCounts(cfg.Usage.Windows)
	}
	r.supervisor = newSupervisor(cfg, log.Named("core"), scope, r.client, r.onCommit)
	if cfg.Folder != "" {
		go func() {
			r.supervisor.run(ctx, r.shouldBootstrap(ctx))
		}()
		go r.maintainMembership(ctx)
		go r.maintainQuarantine(ctx)
	}
	if cfg.Usage != nil {
		go r.reportUsage(ctx)
	}
	go r.expire(ctx)
	go r.publishCatalogs(ctx)
	go r.followPeers(ctx)
	return r, nil
}

// TransferLeadership makes another registrar the leader before this one ends, so
// that requests need not wait for an election.
func (r *Registrar) TransferLeadership(ctx context.Context) {
	log, _, err := r.supervisor.get()
	if err != nil || !log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err = log.TransferLeadership(ctx)
	r.log.Info("leadership transfer", "error", err)
}

// Ready returns an error while the registrar cannot handle requests because no
// leader is known.
func (r *Registrar) Ready() error {
	if r.leaderAddress() == "" {
		return fault.New(fault.NoQuorum, "no leader is known")
	}
	return nil
}

// Announce applies the announcement of a backend server. A change that stops new
// work is forwarded to the other registrars before Announce returns.
func (r *Registrar) Announce(ctx context.Context, a *peer.Announcement) error {
	if err := checkAnnouncement(a); err != nil {
		r.scope.Counter("announcements_refused").Inc(1)
		return err
	}
	changed := r.apply("announcer", a)
	// Another registrar may know a newer catalog, which lists the service.
	if a.State != peer.BackendState_BACKEND_STATE_READY && (changed || !r.isListed(a.Service)) {
		r.broadcast(ctx, a)
	}
	return nil
}

func (r *Registrar) isListed(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return service == "" || r.table.IsListed(service)
}

// receiveCatalog records a catalog that is newer than the last one. The caller holds
// r.mu.
func (r *Registrar) receiveCatalog(catalog registry.Catalog) {
	if catalog.Version <= r.received.Version {
		return
	}
	r.received = catalog
	select {
	case r.catalogReceived <- struct{}{}:
	default: // the newest one is published next
	}
}

// publishCatalogs makes the newest catalog received the one that is handed out. The
// backend servers of its services are listed at the same time: an entry that has the
// catalog without them refuses requests. Large catalogs take long to decode, so that
// this is not done where they are received.
func (r *Registrar) publishCatalogs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.catalogReceived:
		}
		r.mu.Lock()
		catalog := r.received
		r.mu.Unlock()
		names, err := r.cfg.Services(catalog.Data)
		if err != nil {
			r.log.Error("services of a catalog cannot be decoded", "version", catalog.Version, "error", err)
		}
		r.mu.Lock()
		if err == nil {
			r.table.SetServices(time.Now(), names)
		}
		r.catalog = catalog
		r.wakeFollowers()
		r.mu.Unlock()
		r.log.Info("catalog published", "version", catalog.Version, "bytes", len(catalog.Data), "services", len(names))
	}
}

func checkAnnouncement(a *peer.Announcement) error {
	if !utf8.ValidString(a.Id) {
		return fault.New(fault.BadRequest, "announcement with an id that is not UTF-8")
	}
	if a.Id == "" || a.State == peer.BackendState_BACKEND_STATE_UNSPECIFIED {
		return fault.New(fault.BadRequest, "announcement without id or state")
	}
	if a.State == peer.BackendState_BACKEND_STATE_GONE {
		return nil
	}
	host, port, err := net.SplitHostPort(a.Address)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || number == 0 || host == "" {
		return fault.New(fault.BadRequest, "announcement of %q: %q is no host:port", a.Id, a.Address)
	}
	if a.Service == "" || a.FailureDomain == "" {
		return fault.New(fault.BadRequest, "announcement of %q needs service and failure domain", a.Id)
	}
	if a.Sequence > maxSequence || a.BornMs > maxSequence {
		return fault.New(fault.BadRequest, "announcement of %q: sequence %d and start time %d ms must be at most %d", a.Id, a.Sequence, a.BornMs, uint64(maxSequence))
	}
	return nil
}

// maxSequence bounds the numbers by which announcements are ordered. Those of
// backend servers are far below; one near the largest integer would be newer than
// all that follow.
const maxSequence = 1 << 53

// apply adds announcements to the table and reports whether one changed it.
func (r *Registrar) apply(source string, announcements ...*peer.Announcement) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, a := range announcements {
		if !r.table.Apply(now, a) {
			if a.Service != "" && !r.table.IsListed(a.Service) {
				r.scope.Counter("announcements_unlisted").Inc(1)
				r.log.Debug("announcement of a service that the catalog does not list", "backend_server", a.Id, "service", a.Service, "address", a.Address,
					"catalog_version", r.catalog.Version, "source", source)
			}
			continue
		}
		changed = true
		r.log.Info("backend server changed", "backend_server", a.Id, "service", a.Service, "address", a.Address,
			"state", stateName(a.State), "cold_ms", a.ColdMs, "born_ms", a.BornMs, "sequence", a.Sequence, "age_ms", a.AgeMs, "source", source,
			"group", a.GetGroup().GetName(), "epoch", a.GetGroup().GetEpoch(), "broken", a.GetGroup().GetBroken())
	}
	if changed {
		r.wakeFollowers()
	}
	return changed
}

func stateName(s peer.BackendState) string {
	switch s {
	case peer.BackendState_BACKEND_STATE_READY:
		return "ready"
	case peer.BackendState_BACKEND_STATE_DRAINING:
		return "draining"
	case peer.BackendState_BACKEND_STATE_GONE:
		return "gone"
	}
	return "unknown"
}

// wakeFollowers wakes all waiting Follow calls. The caller holds r.mu.
func (r *Registrar) wakeFollowers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// onCommit is called after commands have been applied.
func (r *Registrar) onCommit(state *registry.Registry) {
	catalog, drained, quarantined := state.Catalog(), state.Drained(), state.Quarantine()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	r.receiveCatalog(catalog)
	if drained.Index > r.drained.Index {
		r.drained, changed = drained, true
		r.log.Info("drained failure domains committed", "index", drained.Index, "drained", drained.FailureDomains)
	}
	if quarantined.Index > r.quarantined.index {
		previous := r.quarantined
		r.quarantined, changed = activeParts(quarantined), true
		r.settleEnded(time.Now(), previous)
		r.log.Info("quarantined parts committed", "index", quarantined.Index, "parts", len(r.quarantined.parts))
	}
	if changed {
		r.wakeFollowers()
	}
}

// expire removes silent backend servers, and followers that stopped following.
func (r *Registrar) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.mu.Lock()
		for _, id := range r.table.Expire(now) {
			r.log.Info("backend server expired", "backend_server", id)
			r.wakeFollowers()
		}
		for id, f := range r.entries {
			if now.Sub(f.seen) > followerTimeout {
				delete(r.entries, id)
				r.log.Info("entry stopped following", "entry", id)
			}
		}
		for address, seen := range r.followers {
			if now.Sub(seen) > followerTimeout {
				delete(r.followers, address)
			}
		}
		r.scope.Gauge("entries").Update(float64(len(r.entries)))
		r.mu.Unlock()
	}
}

// directoryClient returns the client of the registrar at an address.
func (r *Registrar) directoryClient(address string) peer.Directory {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.clients[address]
	if p == nil {
		p = peer.NewDirectoryProtobufClient("http://"+address, r.client)
		r.clients[address] = p
	}
	return p
}

// peerAddresses returns the addresses of the other registrars.
func (r *Registrar) peerAddresses() []string {
	seen := map[string]bool{r.cfg.Address: true}
	var list []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for _, m := range r.supervisor.status().Members {
		add(m.Address)
	}
	r.mu.Lock()
	for _, m := range r.members {
		add(m.Address)
	}
	for address := range r.followers {
		add(address)
	}
	r.mu.Unlock()
	for _, s := range r.cfg.Seeds() {
		add(s)
	}
	return list
}

// Standbys returns the registrars that hold no part of the log. Nothing is lost
// with their hosts.
func (r *Registrar) Standbys() []string {
	holders := map[string]bool{}
	for _, m := range r.supervisor.status().Members {
		holders[m.Address] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for address, seen := range r.followers {
		if !holders[address] && time.Since(seen) < standbyMaxAge {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// leaderAddress returns the leader according to this registrar's log, or else the
// one that other registrars reported.
func (r *Registrar) leaderAddress() string {
	if st := r.supervisor.status(); st.LeaderAddress != "" {
		return st.LeaderAddress
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}
