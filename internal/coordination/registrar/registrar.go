/*
Package registrar is the process that keeps what a deployment agrees on and
tells the entries.

# Concept

Backend servers announce themselves to any registrar, and operators bring
catalogs and drain failure domains there. Catalogs and drained failure domains
go through the replicated log and are acknowledged once a majority has them on
disk. Announcements are kept in memory: each registrar passes what it hears to
the others and to the entries that follow it, and a change that ends new work
is passed on before it is acknowledged.

A registrar whose disk fails goes on serving what it knows and opens its log
again. One that has lost its disk joins as a new member, and the leader
replaces voters that are gone with members that have caught up.

# Use

	r, err := registrar.New(ctx, cfg, log, scope)
	r.Routes(echo)                     // for other processes
	err = r.Announce(ctx, announcement)
	version, err := r.Replace(ctx, version, data)
*/
package registrar

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/directory"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/internal/transport/client"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times of the registrar.
const (
	// callTimeout bounds a call to another registrar. Callers give up after a
	// second, so a call that takes longer helps nobody.
	callTimeout = 800 * time.Millisecond
	// proposeTimeout bounds a proposal or a confirmed read.
	proposeTimeout = 900 * time.Millisecond
	// tellTimeout bounds how long an acknowledgement waits for registrars that
	// do not answer; announcers wait for a second.
	tellTimeout = 300 * time.Millisecond
	// expireInterval is how often the directory forgets what is silent.
	expireInterval = time.Second
	// entryWindow is how long an entry or registrar that has stopped following
	// counts as one. Shares of common limits are computed from the count, so it must
	// outlast a restart.
	entryWindow = 15 * time.Second
	// standbyAge is how long ago a standby may have followed last; it does so
	// once a second.
	standbyAge = 1500 * time.Millisecond
)

// Config is what a registrar needs.
type Config struct {
	// Cluster names the group of registrars in its data folders.
	Cluster string
	// Address is host:port where other processes reach this one.
	Address       string
	FailureDomain string
	// Folder is empty on a host without a disk: the registrar then passes
	// orders on and tells entries what the others know.
	Folder string
	// Seeds returns the addresses of some registrars. It may change.
	Seeds func() []string
	// Bootstrap says that the system starts for the first time, so that there is
	// no group yet.
	Bootstrap bool
	// Voters is the number of voters that the group should have.
	Voters int
}

// Registrar is one member. Its methods are safe for use by several goroutines.
type Registrar struct {
	ctx    context.Context
	cfg    Config
	log    hclog.Logger
	scope  tally.Scope
	client *http.Client
	core   *core
	epoch  uint64

	mu      sync.Mutex
	table   *directory.Table
	changed chan struct{} // closed at the next change
	entries map[string]*follower
	// catalog and drained are the newest seen, also while the log is closed.
	catalog registry.Catalog
	drained registry.Drained
	peers   map[string]peer.Directory
	// followers are the registrars that follow this one, by address. Those
	// without a disk are no members, and what is announced to them is heard of
	// by following them too.
	followers map[string]time.Time
	// members and leader are what other registrars have told.
	members []*peer.Member
	leader  string
	// quorumAt is when another registrar last was on the side of the majority.
	quorumAt time.Time
	// founders are the registrars that have asked to found the group.
	founders map[string]bool
}

// follower is an entry that follows this registrar.
type follower struct {
	seen  time.Time
	loads map[string]uint32
}

var (
	_ peer.Directory   = (*Registrar)(nil)
	_ peer.Replication = (*Registrar)(nil)
)

// New starts a registrar. It ends with ctx.
func New(ctx context.Context, cfg Config, log hclog.Logger, scope tally.Scope) (*Registrar, error) {
	if cfg.Address == "" || cfg.Cluster == "" || cfg.Voters < 1 {
		return nil, fault.New(fault.BadSettings, "registrar: address, cluster and a number of voters are needed")
	}
	r := &Registrar{
		ctx: ctx, cfg: cfg, log: log, scope: scope,
		client:  &http.Client{Transport: client.NewTransport()},
		epoch:   newID(),
		table:   directory.New(),
		changed: make(chan struct{}),
		entries: map[string]*follower{},
		peers:   map[string]peer.Directory{},

		founders:  map[string]bool{},
		followers: map[string]time.Time{},
	}
	r.core = newCore(cfg, log.Named("core"), scope, r.client, r.onCommit)
	if cfg.Folder != "" {
		go func() {
			r.core.run(ctx, r.shouldFound(ctx))
		}()
		go r.keepMembers(ctx)
	}
	go r.expire(ctx)
	go r.followOthers(ctx)
	return r, nil
}

// TransferLeadership makes another registrar the leader before this one ends, so that
// orders need not wait for an election.
func (r *Registrar) TransferLeadership(ctx context.Context) {
	log, _, err := r.core.get()
	if err != nil || !log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err = log.TransferLeadership(ctx)
	r.log.Info("leadership handed over", "error", err)
}

// Ready says why the registrar cannot take orders: it knows no leader.
func (r *Registrar) Ready() error {
	if r.leaderAddress() == "" {
		return fault.New(fault.NoQuorum, "no leader is known")
	}
	return nil
}

// Announce takes what a backend server says of itself. A change that ends new
// work is passed on to the other registrars first.
func (r *Registrar) Announce(ctx context.Context, a *peer.Announcement) error {
	if err := checkAnnouncement(a); err != nil {
		r.scope.Counter("announcements_refused").Inc(1)
		return err
	}
	changed := r.apply("announcer", a)
	if changed && a.State != peer.BackendState_BACKEND_STATE_READY {
		r.tell(ctx, a)
	}
	return nil
}

func checkAnnouncement(a *peer.Announcement) error {
	if a.Id == "" || a.State == peer.BackendState_BACKEND_STATE_UNSPECIFIED {
		return fault.New(fault.BadRequest, "announcement without id or state")
	}
	if a.State == peer.BackendState_BACKEND_STATE_GONE {
		return nil
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil || a.Service == "" || a.FailureDomain == "" {
		return fault.New(fault.BadRequest, "announcement of %q needs service, failure domain and an address", a.Id)
	}
	return nil
}

// apply takes announcements into the table and says whether one changed it.
func (r *Registrar) apply(source string, announcements ...*peer.Announcement) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, a := range announcements {
		if !r.table.Apply(now, a) {
			continue
		}
		changed = true
		r.log.Info("backend server changed", "backend_server", a.Id, "service", a.Service, "address", a.Address,
			"state", stateName(a.State), "cold_ms", a.ColdMs, "born_ms", a.BornMs, "sequence", a.Sequence, "age_ms", a.AgeMs, "source", source,
			"group", a.GetGroup().GetName(), "epoch", a.GetGroup().GetEpoch(), "broken", a.GetGroup().GetBroken())
	}
	if changed {
		r.alert()
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

// alert wakes all followers. The caller holds r.mu.
func (r *Registrar) alert() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// onCommit is called after commands have been applied.
func (r *Registrar) onCommit(state *registry.Registry) {
	catalog, drained := state.Catalog(), state.Drained()
	r.mu.Lock()
	defer r.mu.Unlock()
	news := false
	if catalog.Version > r.catalog.Version {
		r.catalog, news = catalog, true
		r.log.Info("catalog committed", "version", catalog.Version, "bytes", len(catalog.Data))
	}
	if drained.Index > r.drained.Index {
		r.drained, news = drained, true
		r.log.Info("drained failure domains committed", "index", drained.Index, "drained", drained.FailureDomains)
	}
	if news {
		r.alert()
	}
}

// expire forgets silent backend servers and entries that stopped following.
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
			r.log.Info("backend server is silent", "backend_server", id)
			r.alert()
		}
		for id, f := range r.entries {
			if now.Sub(f.seen) > entryWindow {
				delete(r.entries, id)
				r.log.Info("entry stopped following", "entry", id)
			}
		}
		for address, seen := range r.followers {
			if now.Sub(seen) > entryWindow {
				delete(r.followers, address)
			}
		}
		r.scope.Gauge("entries").Update(float64(len(r.entries)))
		r.mu.Unlock()
	}
}

// peer returns the client of another registrar.
func (r *Registrar) peer(address string) peer.Directory {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[address]
	if p == nil {
		p = peer.NewDirectoryProtobufClient("http://"+address, r.client)
		r.peers[address] = p
	}
	return p
}

// others returns the addresses of the other registrars.
func (r *Registrar) others() []string {
	seen := map[string]bool{r.cfg.Address: true}
	var list []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for _, m := range r.core.status().Members {
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

// Standbys returns the registrars that hold no part of the log, so that nothing is
// lost with their hosts.
func (r *Registrar) Standbys() []string {
	holders := map[string]bool{}
	for _, m := range r.core.status().Members {
		holders[m.Address] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for address, seen := range r.followers {
		if !holders[address] && time.Since(seen) < standbyAge {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// leaderAddress returns the leader that this registrar's log knows, or else the
// one that others have told of.
func (r *Registrar) leaderAddress() string {
	if st := r.core.status(); st.LeaderAddress != "" {
		return st.LeaderAddress
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}
