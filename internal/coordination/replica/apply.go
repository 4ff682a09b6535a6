package replica

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxApplyBytes bounds the entries of one job, so that a read does not wait for
// a long job that was running when the read was confirmed.
const maxApplyBytes = 1 << 20

// applyJob is a range of entries to apply, or a snapshot to restore.
type applyJob struct {
	entries  []*peer.LogEntry
	callers  []*proposal        // by entry; nil for an entry without a caller
	snapshot *raft.SnapshotMeta // take a snapshot after the entries
	restore  *raft.Snapshot
}

// applyResult is the result of a job.
type applyResult struct {
	applied  uint64
	snapshot *wal.Snapshot
	err      error
}

// applier owns the state machine. It has one job at a time.
type applier struct {
	machine StateMachine
	jobs    chan applyJob
	results chan applyResult
	busy    bool // used by the worker only
}

func newApplier(machine StateMachine) *applier {
	return &applier{machine: machine, jobs: make(chan applyJob, 1), results: make(chan applyResult, 1)}
}

func (a *applier) submit(job applyJob) {
	a.busy = true
	a.jobs <- job
}

// run returns when the worker closes jobs, so that each submitted job has a
// result.
func (a *applier) run() {
	for job := range a.jobs {
		a.results <- a.execute(job)
	}
}

func (a *applier) execute(job applyJob) applyResult {
	if job.restore != nil {
		err := a.machine.Restore(job.restore.Data)
		return applyResult{applied: job.restore.Index, err: err}
	}
	var result applyResult
	for i, e := range job.entries {
		var value []byte
		if e.Type == peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND {
			value = a.machine.Apply(e.Index, e.Data)
		}
		if p := job.callers[i]; p != nil {
			p.answer <- answer{result: value}
		}
		result.applied = e.Index
	}
	if job.snapshot != nil {
		data, err := a.machine.Snapshot()
		result.err = err
		result.snapshot = &wal.Snapshot{
			Index: job.snapshot.Index, Term: job.snapshot.Term, Members: job.snapshot.Members, Data: data,
		}
	}
	return result
}

func (w *worker) onApplied(result applyResult) {
	w.applier.busy = false
	if result.err != nil {
		w.err = fault.Wrap(result.err, fault.Internal, "replica: the state machine failed")
		return
	}
	w.applied = max(w.applied, result.applied)
	if result.snapshot != nil {
		w.saver.submit(result.snapshot)
	}
}

// saver writes snapshots, one at a time.
type saver struct {
	disk  *wal.Log
	jobs  chan *wal.Snapshot
	saved chan savedSnapshot

	// The fields below are used by the worker only.
	busy      bool
	lastIndex uint64 // of the last snapshot
	lastSize  int
	bytes     int // of entries since then
}

type savedSnapshot struct {
	snapshotInfo
	err error
}

// snapshotInfo describes the complete snapshot in the messages with its chunks.
type snapshotInfo struct {
	index    uint64
	size     uint64
	checksum uint64
}

func newSnapshotInfo(index uint64, data []byte) snapshotInfo {
	return snapshotInfo{index: index, size: uint64(len(data)), checksum: xxhash.Sum64(data)}
}

func newSaver(disk *wal.Log) *saver {
	return &saver{disk: disk, jobs: make(chan *wal.Snapshot, 1), saved: make(chan savedSnapshot, 1)}
}

func (s *saver) submit(snapshot *wal.Snapshot) { s.jobs <- snapshot }

func (s *saver) run() {
	for job := range s.jobs {
		err := s.disk.SaveSnapshot(job)
		s.saved <- savedSnapshot{snapshotInfo: newSnapshotInfo(job.Index, job.Data), err: err}
	}
}

// sendingFactor delays the next snapshot while one is being sent. A new one
// would make the receiver start over, and under load it would never finish.
const sendingFactor = 4

// isSnapshotDue reports whether to take a snapshot after entries, and if so
// marks it as begun. It is not due before the entries since the last snapshot
// are as large as that snapshot, so that writing snapshots costs no more than
// writing the log.
func (w *worker) isSnapshotDue(entries []*peer.LogEntry) bool {
	s := w.saver
	for _, e := range entries {
		s.bytes += proto.Size(e) + entryOverhead
	}
	factor := 1
	if w.raft.IsSendingSnapshot() {
		factor = sendingFactor
	}
	count := w.dispatched - s.lastIndex
	due := s.bytes >= factor*s.lastSize &&
		(count >= uint64(factor)*w.cfg.Limits.SnapshotEntries || s.bytes >= factor*w.cfg.Limits.SnapshotBytes)
	if s.busy || !due {
		return false
	}
	s.busy, s.lastIndex, s.bytes = true, w.dispatched, 0
	return true
}

// onSaved compacts the log once a snapshot is durable.
func (w *worker) onSaved(s savedSnapshot) {
	w.saver.busy = false
	if s.err != nil {
		w.err = s.err
		return
	}
	w.saver.lastSize = int(s.size)
	if s.index <= w.raft.Snapshot().Index {
		return
	}
	compactIndex := w.raft.CompactIndex(s.index, w.cfg.Limits.KeptEntries, w.cfg.Limits.SnapshotBytes)
	w.diskSnapshot = s.snapshotInfo
	w.step(raft.Compact{SnapshotIndex: s.index, CompactIndex: compactIndex})
	w.replica.metrics.snapshots.Inc(1)
	if err := w.disk.Compact(compactIndex); err != nil {
		w.err = err
	}
}

// installSnapshot makes a received snapshot durable before the log that it
// replaces is dropped, and submits it to the applier.
func (w *worker) installSnapshot(s *raft.Snapshot) {
	err := w.disk.SaveSnapshot(&wal.Snapshot{Index: s.Index, Term: s.Term, Members: s.Members, Data: s.Data})
	if err != nil {
		w.err = err
		return
	}
	w.log.Info("installed a snapshot", "index", s.Index, "bytes", len(s.Data))
	w.disk.Reset(s.Index)
	w.unsynced = true
	w.diskSnapshot = newSnapshotInfo(s.Index, s.Data)
	if w.applier.busy {
		w.onApplied(<-w.applier.results)
	}
	w.dispatched = s.Index
	w.saver.lastIndex, w.saver.lastSize, w.saver.bytes = s.Index, len(s.Data), 0
	w.applier.submit(applyJob{restore: s})
}
