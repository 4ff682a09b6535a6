/*
Package replica runs one member of a replicated state machine.

# Concept

A Replica combines the consensus algorithm of package raft, the write-ahead log
of package wal and a [StateMachine] that holds the replicated state. One
goroutine steps the algorithm and syncs the disk; input that arrives during a
sync shares the next one. A second goroutine applies committed commands in
order, and a third saves snapshots.

[Replica.Propose] returns once the command is on the disks of a majority and
applied here. [Replica.ConfirmLeadership] returns once a majority has confirmed
that this replica was still the leader after the call began, and everything that
was acknowledged before the call is applied; the caller may then read the state
machine.

# Use

	transport := replica.NewTransport(cluster, id, client, scope)
	r, err := replica.New(ctx, replica.Config{Cluster: cluster, ID: id, ...})
	result, err := r.Propose(ctx, command)
	...
	cancel()
	<-r.Done()

# Errors

not_leader carries the leader's address, and no_quorum means that there is no
leader; in both cases nothing was proposed. outcome_unknown means that the
command was appended to a log and may still be committed.
*/
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// StateMachine is the replicated state machine. Apply is deterministic and is
// called by one goroutine, in log order. Snapshot and Restore are called by
// the same goroutine; Restore is first called by New if there is a snapshot.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Transport sends raft messages; it may lose, delay or duplicate them. Send
// does not block and does not change the messages.
type Transport interface {
	Send(to *peer.Member, messages []*peer.RaftMessage)
}

// ReceivingTransport is a Transport that also receives messages, in the
// responses to those it sent. New sets the function that handles them.
type ReceivingTransport interface {
	Transport
	SetReceiver(func(messages []*peer.RaftMessage))
}

// Config configures a Replica.
type Config struct {
	Cluster      string // written into the data folder
	ID           uint64
	Folder       string
	Bootstrap    []*peer.Member // voters of a new cluster; empty to join as a learner
	StateMachine StateMachine
	Transport    Transport
	Log          hclog.Logger
	Scope        tally.Scope
	Limits       Limits   // zero values take the defaults
	Disk         wal.Disk // that of the host if nil
}

// Limits bound memory and disk space.
type Limits struct {
	SnapshotEntries uint64 // applied entries after which a snapshot is taken
	SnapshotBytes   int    // bytes of applied entries after which one is taken
	KeptEntries     uint64 // log entries kept before a snapshot for slow members
	ChunkBytes      int    // bytes of a snapshot in one message
	PendingBytes    int    // bytes of commands proposed and not yet committed
	SegmentBytes    int64  // size of a log segment on disk
}

// Defaults of Limits, and further limits.
const (
	DefaultSnapshotEntries = 16384
	DefaultSnapshotBytes   = 16 << 20
	DefaultKeptEntries     = 2048
	DefaultChunkBytes      = 512 << 10
	DefaultPendingBytes    = 16 << 20
	// MaxCommandBytes bounds one command; a longer one is refused.
	MaxCommandBytes = 8 << 20

	// entryOverhead is the memory in bytes that a command takes besides its data.
	entryOverhead = 64

	callQueueLength    = 1024
	messageQueueLength = 256
	maxBatchCommands   = 1024
)

func (l *Limits) setDefaults() {
	if l.SnapshotEntries == 0 {
		l.SnapshotEntries = DefaultSnapshotEntries
	}
	if l.SnapshotBytes == 0 {
		l.SnapshotBytes = DefaultSnapshotBytes
	}
	if l.KeptEntries == 0 {
		l.KeptEntries = DefaultKeptEntries
	}
	if l.ChunkBytes == 0 {
		l.ChunkBytes = DefaultChunkBytes
	}
	if l.PendingBytes == 0 {
		l.PendingBytes = DefaultPendingBytes
	}
}

// Status is the state of a replica as of its last step.
type Status struct {
	ID, Leader, Term, Commit, Applied uint64
	LeaderAddress                     string
	Members                           []*peer.Member
	IsLeader                          bool
	LeaderSince                       time.Time // zero unless IsLeader
	// RecentlyActive lists the other members that have replied to this leader
	// within an election timeout.
	RecentlyActive []uint64
}

// Replica is one running member. Its methods are safe for use by several
// goroutines.
type Replica struct {
	cluster   string
	proposals chan *proposal
	confirms  chan *confirmation
	requests  chan *request
	messages  chan *delivery
	caughtUp  chan struct{}
	done      chan struct{}
	metrics   *metrics

	mu     sync.Mutex
	status Status
	err    error
}

// New opens the data folder and starts a replica. The replica stops when ctx is
// done or when the disk fails.
func New(ctx context.Context, cfg Config) (*Replica, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	cfg.Limits.setDefaults()
	disk, state, err := wal.Open(cfg.Folder, wal.Options{
		Cluster: cfg.Cluster, ID: cfg.ID, SegmentBytes: cfg.Limits.SegmentBytes, Disk: cfg.Disk,
	})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cluster:   cfg.Cluster,
		proposals: make(chan *proposal, callQueueLength),
		confirms:  make(chan *confirmation, callQueueLength),
		requests:  make(chan *request, callQueueLength),
		messages:  make(chan *delivery, messageQueueLength),
		caughtUp:  make(chan struct{}),
		done:      make(chan struct{}),
		metrics:   newMetrics(cfg.Scope),
	}
	w, err := newWorker(r, cfg, disk, state)
	if err != nil {
		disk.Close()
		return nil, err
	}
	// A group of one voter elects its leader in this step, before New returns.
	w.runFirstStep()
	if t, ok := cfg.Transport.(ReceivingTransport); ok {
		t.SetReceiver(r.enqueueReplies)
	}
	r.run(ctx, w)
	return r, nil
}

func validate(cfg Config) error {
	switch {
	case cfg.ID == 0:
		return fault.New(fault.BadSettings, "replica: id 0 is not allowed")
	case cfg.Cluster == "":
		return fault.New(fault.BadSettings, "replica: the cluster name is empty")
	case cfg.StateMachine == nil || cfg.Transport == nil || cfg.Log == nil || cfg.Scope == nil:
		return fault.New(fault.BadSettings, "replica: state machine, transport, log and scope are required")
	}
	seen := map[uint64]bool{}
	includesSelf := len(cfg.Bootstrap) == 0
	for _, m := range cfg.Bootstrap {
		if m.Id == 0 || seen[m.Id] || !m.Voter {
			return fault.New(fault.BadSettings, "replica: bootstrap requires voters with distinct ids other than 0, got id %d", m.Id)
		}
		seen[m.Id] = true
		includesSelf = includesSelf || m.Id == cfg.ID
	}
	if !includesSelf {
		return fault.New(fault.BadSettings, "replica: bootstrap does not list replica %d", cfg.ID)
	}
	return nil
}

// run starts the goroutines and closes done when all have returned.
func (r *Replica) run(ctx context.Context, w *worker) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { w.applier.run() })
	group.Go(func() { w.saver.run() })
	group.Go(func() {
		defer cancel()
		r.setStopped(w.run(ctx))
	})
	go func() {
		group.Wait()
		w.close()
		close(r.done)
	}()
}

func (r *Replica) setStopped(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	r.status.IsLeader, r.status.LeaderSince = false, time.Time{}
	r.status.Leader, r.status.LeaderAddress = 0, ""
}

// CaughtUp is closed once all entries are applied that were committed when the
// replica was opened. Before that, the state machine passes through older states.
func (r *Replica) CaughtUp() <-chan struct{} { return r.caughtUp }

// Done is closed when all goroutines have returned and the data folder is
// released.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica stopped, for example a disk error. It is nil
// while the replica runs and after its context was cancelled.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Status returns the state as of the last step.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

func (r *Replica) publish(s Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
}

// electionTimeout is the longest time for which a partitioned leader stays
// leader, and the longest time for which a confirmed read is valid.
const electionTimeout = raft.DefaultElectionTimeoutMax
