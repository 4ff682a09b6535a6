package registrar

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// reopenInterval is the time between attempts to open a log that failed. A
// full or stalled disk lasts for seconds.
const reopenInterval = 500 * time.Millisecond

// Limits of the log. The disks hold 64 MB, of which the log takes at most two
// segments and two snapshots.
const (
	segmentBytes    = 4 << 20
	snapshotBytes   = 8 << 20
	snapshotEntries = 4096
	keptEntries     = 256
)

// core is the replicated log, opened again whenever its disk fails.
type core struct {
	cfg      Config
	log      hclog.Logger
	scope    tally.Scope
	client   *http.Client
	onCommit func(*registry.Registry)

	mu      sync.Mutex
	replica *replica.Replica // nil while the log is closed
	state   *registry.Registry
	id      uint64
	last    replica.Status
}

func newCore(cfg Config, log hclog.Logger, scope tally.Scope, client *http.Client, onCommit func(*registry.Registry)) *core {
	return &core{cfg: cfg, log: log, scope: scope, client: client, onCommit: onCommit}
}

// run keeps the log open until ctx ends. The first time, a new folder founds the
// group if found says so.
func (c *core) run(ctx context.Context, found bool) {
	for ctx.Err() == nil {
		if err := c.serve(ctx, found); err != nil {
			c.log.Error("log is closed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenInterval):
		}
	}
}

// serve opens the log and returns when it has ended.
func (c *core) serve(ctx context.Context, found bool) error {
	id, founders, err := c.identity(found)
	if err != nil {
		return err
	}
	state := registry.New()
	transport := replica.NewTransport(c.cfg.Cluster, id, c.client, c.scope)
	defer transport.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := replica.New(ctx, replica.Config{
		Cluster: c.cfg.Cluster, ID: id, Folder: c.cfg.Folder, Bootstrap: founders,
		StateMachine: &machine{Registry: state, onApply: func() { c.onCommit(state) }},
		Transport:    transport, Log: c.log, Scope: c.scope,
		Limits: replica.Limits{
			SegmentBytes: segmentBytes, SnapshotBytes: snapshotBytes,
			SnapshotEntries: snapshotEntries, KeptEntries: keptEntries,
		},
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.replica, c.state, c.id = r, state, id
	c.mu.Unlock()
	c.onCommit(state)
	c.log.Info("log is open", "replica", id, "founding", len(founders) > 0)
	<-r.Done()
	c.mu.Lock()
	c.replica, c.state = nil, nil
	c.mu.Unlock()
	if fault.Is(r.Err(), fault.ForeignData) {
		return c.abandon(r.Err())
	}
	return r.Err()
}

// identity returns the replica's id, and itself as the only member if it founds
// the group or has founded it. A new folder gets an id of its own: the votes and
// entries of an earlier one are lost.
func (c *core) identity(found bool) (uint64, []*peer.Member, error) {
	id, err := wal.ReplicaID(c.cfg.Folder)
	if err != nil {
		return 0, nil, err
	}
	own := founderID(c.cfg.Address)
	if id == own || (id == 0 && found) {
		return own, []*peer.Member{{Id: own, Address: c.cfg.Address, FailureDomain: c.cfg.FailureDomain, Voter: true}}, nil
	}
	if id == 0 {
		id = newID()
	}
	return id, nil, nil
}

// founderID marks the folder of the registrar that has founded the group.
func founderID(address string) uint64 { return xxhash.Sum64String(address) | 1 }

// newID returns a random number that is not 0.
func newID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails, as its documentation says
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// abandon leaves a folder whose disk was replaced: the group knows its id with
// another folder. The next one joins under a new id.
func (c *core) abandon(cause error) error {
	if err := wal.Discard(c.cfg.Folder); err != nil {
		return err
	}
	return cause
}

// get returns the open log and its state.
func (c *core) get() (*replica.Replica, *registry.Registry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica == nil {
		return nil, nil, fault.New(fault.Unavailable, "the log is closed")
	}
	return c.replica, c.state, nil
}

// status returns the log's status; while it is closed, the members last known.
func (c *core) status() replica.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica == nil {
		return replica.Status{Members: c.last.Members}
	}
	c.last = c.replica.Status()
	return c.last
}

// machine tells of each command after it has been applied.
type machine struct {
	*registry.Registry
	onApply func()
}

// Apply applies a command.
func (m *machine) Apply(index uint64, command []byte) []byte {
	result := m.Registry.Apply(index, command)
	m.onApply()
	return result
}

// Restore replaces the state.
func (m *machine) Restore(snapshot []byte) error {
	err := m.Registry.Restore(snapshot)
	if err == nil {
		m.onApply()
	}
	return err
}
