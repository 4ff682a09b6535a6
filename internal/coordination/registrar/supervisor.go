package registrar

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
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

// reopenInterval is the time between attempts to open a log that failed. A disk
// stays full or stalled for seconds.
const reopenInterval = 500 * time.Millisecond

// Limits of the log. The disks have 64 MB, of which the log uses at most two
// segments and two snapshots.
const (
	segmentBytes    = 4 << 20
	snapshotBytes   = 8 << 20
	snapshotEntries = 4096
	keptEntries     = 256
)

// supervisor runs this registrar's replica of the log, and opens the log again
// whenever its disk fails.
type supervisor struct {
	cfg      Config
	log      hclog.Logger
	scope    tally.Scope
	client   *http.Client
	onCommit func(*registry.Registry)

	mu         sync.Mutex
	replica    *replica.Replica // nil while the log is closed
	state      *registry.Registry
	id         uint64
	lastStatus replica.Status
}

func newSupervisor(cfg Config, log hclog.Logger, scope tally.Scope, client *http.Client, onCommit func(*registry.Registry)) *supervisor {
	return &supervisor{cfg: cfg, log: log, scope: scope, client: client, onCommit: onCommit}
}

// run keeps the log open until ctx ends. If bootstrap is set, a replica with a
// new folder starts the group.
func (s *supervisor) run(ctx context.Context, bootstrap bool) {
	for ctx.Err() == nil {
		if err := s.serve(ctx, bootstrap); err != nil {
			s.log.Error("log is closed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenInterval):
		}
	}
}

// serve opens the log and returns when its replica has stopped.
func (s *supervisor) serve(ctx context.Context, bootstrap bool) error {
	id, founders, err := s.identity(bootstrap)
	if err != nil {
		return err
	}
	state := registry.New()
	transport := replica.NewTransport(s.cfg.Cluster, id, s.client, s.scope)
	defer transport.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	machine := &notifyingRegistry{Registry: state, onApply: func() { s.onCommit(state) }}
	r, err := replica.New(ctx, replica.Config{
		Cluster: s.cfg.Cluster, ID: id, Folder: s.cfg.Folder, Bootstrap: founders,
		StateMachine: machine,
		Transport:    transport, Log: s.log, Scope: s.scope, Disk: s.cfg.Disk,
		Limits: replica.Limits{
			SegmentBytes: segmentBytes, SnapshotBytes: snapshotBytes,
			SnapshotEntries: snapshotEntries, KeptEntries: keptEntries,
		},
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.replica, s.state, s.id = r, state, id
	s.mu.Unlock()
	s.log.Info("log is open", "replica", id, "founding", len(founders) > 0)
	select {
	case <-r.CaughtUp():
		machine.isCurrent.Store(true)
		s.onCommit(state)
	case <-r.Done():
	}
	<-r.Done()
	s.mu.Lock()
	s.replica, s.state = nil, nil
	s.mu.Unlock()
	if fault.Is(r.Err(), fault.ForeignData) {
		return s.discardFolder(r.Err())
	}
	return r.Err()
}

// identity returns the replica's id. For the replica that bootstraps the group,
// or did so in an earlier run, it also returns that replica as the only initial
// member. A new folder gets a new id, since the votes and entries of an earlier
// folder are lost.
func (s *supervisor) identity(bootstrap bool) (uint64, []*peer.Member, error) {
	id, err := wal.ReplicaID(s.cfg.Folder)
	if err != nil {
		return 0, nil, err
	}
	own := bootstrapID(s.cfg.Address)
	if id == own || (id == 0 && bootstrap) {
		return own, []*peer.Member{{Id: own, Address: s.cfg.Address, FailureDomain: s.cfg.FailureDomain, Voter: true}}, nil
	}
	if id == 0 {
		id = newID()
	}
	return id, nil, nil
}

// bootstrapID returns the id of the replica that bootstraps the group. It marks
// the folder of that replica for later starts.
func bootstrapID(address string) uint64 { return xxhash.Sum64String(address) | 1 }

// newID returns a random number that is not 0.
func newID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails, as its documentation says
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// discardFolder deletes the data of a folder whose disk was replaced: the group
// has recorded another folder for the replica's id. The replica then joins under
// a new id.
func (s *supervisor) discardFolder(cause error) error {
	if err := wal.Discard(s.cfg.Disk, s.cfg.Folder); err != nil {
		return err
	}
	return cause
}

// get returns the replica and its state, or an error while the log is closed.
func (s *supervisor) get() (*replica.Replica, *registry.Registry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil {
		return nil, nil, fault.New(fault.Unavailable, "the log is closed")
	}
	return s.replica, s.state, nil
}

// status returns the replica's status. While the log is closed, it returns only
// the members of the last status.
func (s *supervisor) status() replica.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil {
		return replica.Status{Members: s.lastStatus.Members}
	}
	s.lastStatus = s.replica.Status()
	return s.lastStatus
}

// notifyingRegistry calls onApply after each applied command and each restored
// snapshot once it is current. Before that it repeats changes that others have
// followed long ago.
type notifyingRegistry struct {
	*registry.Registry
	isCurrent atomic.Bool
	onApply   func()
}

func (m *notifyingRegistry) Apply(index uint64, command []byte) []byte {
	result := m.Registry.Apply(index, command)
	if m.isCurrent.Load() {
		m.onApply()
	}
	return result
}

func (m *notifyingRegistry) Restore(snapshot []byte) error {
	err := m.Registry.Restore(snapshot)
	if err == nil && m.isCurrent.Load() {
		m.onApply()
	}
	return err
}
