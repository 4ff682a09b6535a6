package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// worker owns the raft state and the log on disk. It runs in one goroutine.
type worker struct {
	replica   *Replica
	cfg       Config
	log       hclog.Logger
	raft      *raft.Raft
	disk      *wal.Log
	applier   *applier
	saver     *saver
	startTime time.Time
	timer     *time.Timer

	outbox     outbox
	replies    []*peer.RaftMessage // sent after the next sync
	deliveries []*delivery         // whose senders wait for replies
	unsynced   bool                // appended data is not synced yet

	pending      map[uint64]*proposal // by index
	changes      map[uint64]*request  // member changes, by index
	transfers    []*request
	pendingBytes int

	confirmID        uint64
	unconfirmedReads map[uint64][]*confirmation // by the id of their raft.ReadIndex
	confirmedReads   []*confirmation            // until their index is applied

	dispatched   uint64 // index of the last entry submitted to the applier
	applied      uint64
	isCaughtUp   bool
	status       Status
	diskSnapshot snapshotInfo // the newest snapshot on disk
	err          error
}

func newWorker(r *Replica, cfg Config, disk *wal.Log, state *wal.State) (*worker, error) {
	w := &worker{
		replica: r, cfg: cfg, log: cfg.Log, disk: disk,
		startTime: time.Now(), timer: time.NewTimer(time.Hour),
		pending: map[uint64]*proposal{}, changes: map[uint64]*request{},
		unconfirmedReads: map[uint64][]*confirmation{},
		outbox:           outbox{transport: cfg.Transport, leaderAddresses: map[uint64]*peer.Member{}},
	}
	rc := raft.Config{
		ID: cfg.ID, Folder: state.Folder, Bootstrap: cfg.Bootstrap,
		Hard:    raft.HardState{Term: state.Hard.Term, Vote: state.Hard.Vote},
		Entries: state.Entries, Random: rand.Int64N,
	}
	size := 0
	if s := state.Snapshot; s != nil {
		if err := cfg.StateMachine.Restore(s.Data); err != nil {
			return nil, fault.Wrap(err, fault.CorruptData, "replica: snapshot %d cannot be restored", s.Index)
		}
		rc.Snapshot = raft.SnapshotMeta{Index: s.Index, Term: s.Term, Members: s.Members}
		w.diskSnapshot = newSnapshotInfo(s.Index, s.Data)
		w.dispatched, w.applied = s.Index, s.Index
		size = len(s.Data)
	}
	if state.TornBytes > 0 {
		w.log.Warn("dropped an incomplete batch at the end of the log", "bytes", state.TornBytes)
	}
	w.raft = raft.New(0, rc)
	w.applier = newApplier(cfg.StateMachine)
	w.saver = newSaver(disk)
	w.saver.lastSize = size
	w.saver.lastIndex = w.applied
	return w, nil
}

func (w *worker) now() time.Duration { return time.Since(w.startTime) }

func (w *worker) runFirstStep() {
	w.step(raft.Tick{})
	w.syncAndSend()
}

// run handles events until ctx ends or the disk fails.
func (w *worker) run(ctx context.Context) error {
	defer w.failAll()
	for w.err == nil {
		w.timer.Reset(max(0, w.raft.NextDeadline()-w.now()))
		proposals := w.replica.proposals
		if w.pendingBytes >= w.cfg.Limits.PendingBytes {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-w.timer.C:
			w.step(raft.Tick{})
		case d := <-w.replica.messages:
			w.receive(d)
		case p := <-proposals:
			w.propose(p)
		case c := <-w.replica.confirms:
			w.confirm(c)
		case q := <-w.replica.requests:
			w.request(q)
		case result := <-w.applier.results:
			w.onApplied(result)
		case s := <-w.saver.saved:
			w.onSaved(s)
		}
		w.drainMessages()
		w.syncAndSend()
	}
	w.log.Error("replica ends", "error", w.err)
	return w.err
}

// drainMessages receives the queued messages, so that they share one sync.
func (w *worker) drainMessages() {
	for range messageQueueLength {
		select {
		case d := <-w.replica.messages:
			w.receive(d)
		default:
			return
		}
	}
}

// propose appends a proposal together with the queued ones.
func (w *worker) propose(first *proposal) {
	var batch []*proposal
	var commands [][]byte
	bytes := 0
	for p := first; p != nil; p = w.nextProposal(len(batch), bytes) {
		if p.take() {
			batch, commands = append(batch, p), append(commands, p.command)
			bytes += len(p.command) + entryOverhead
		}
	}
	if len(batch) == 0 {
		return
	}
	effects := w.step(raft.Propose{Commands: commands})
	if effects.Refused != raft.Accepted {
		w.replica.metrics.refusal(effects.Refused.String()).Inc(int64(len(batch)))
		err := refusalFault(effects.Refused, w.leader())
		for _, p := range batch {
			p.answer <- answer{err: err}
		}
		return
	}
	for i, p := range batch {
		p.term = effects.Term
		w.pending[effects.FirstIndex+uint64(i)] = p
	}
	w.pendingBytes += bytes
}

func (w *worker) nextProposal(count, bytes int) *proposal {
	if count >= maxBatchCommands || w.pendingBytes+bytes >= w.cfg.Limits.PendingBytes {
		return nil
	}
	select {
	case p := <-w.replica.proposals:
		return p
	default:
		return nil
	}
}

// request passes a member change or a leadership transfer to the algorithm.
func (w *worker) request(q *request) {
	if !q.take() {
		return
	}
	effects := w.step(q.input)
	if effects.Refused != raft.Accepted {
		w.replica.metrics.refusal(effects.Refused.String()).Inc(1)
		q.answer <- answer{
			unchanged: effects.Refused == raft.Unchanged,
			err:       refusalFault(effects.Refused, w.leader()),
		}
		return
	}
	if _, ok := q.input.(raft.TransferLeadership); ok {
		w.transfers = append(w.transfers, q)
		return
	}
	w.log.Info("member change appended", "index", effects.FirstIndex)
	w.changes[effects.FirstIndex] = q
}

// step passes an input to the algorithm, queues the messages that need no sync
// and collects the replies that have to wait for the next sync.
func (w *worker) step(in raft.Input) raft.Effects {
	effects := w.raft.Step(w.now(), in)
	w.outbox.add(w, effects.Messages)
	if effects.Snapshot != nil {
		w.installSnapshot(effects.Snapshot)
	}
	if effects.Hard != nil || len(effects.Entries) > 0 {
		var hard *wal.HardState
		if effects.Hard != nil {
			hard = &wal.HardState{Term: effects.Hard.Term, Vote: effects.Hard.Vote}
		}
		w.disk.Append(hard, effects.Entries)
		w.replica.metrics.entries.Inc(int64(len(effects.Entries)))
		w.unsynced = true
	}
	w.replies = append(w.replies, effects.Replies...)
	w.resolveCalls(&effects)
	return effects
}

// resolveCalls answers the calls whose outcome a step has determined.
func (w *worker) resolveCalls(effects *raft.Effects) {
	if effects.Ignored != raft.NotIgnored {
		w.replica.metrics.ignored(effects.Ignored.String()).Inc(1)
	}
	if effects.FolderMismatch && w.err == nil {
		w.err = fault.New(fault.ForeignData,
			"replica: replica %d is a member of the group with another data folder; join again with a new id", w.cfg.ID)
	}
	for _, c := range effects.ConfirmedReads {
		for _, waiting := range w.unconfirmedReads[c.ID] {
			waiting.index, waiting.term = c.Index, c.Term
			w.confirmedReads = append(w.confirmedReads, waiting)
		}
		delete(w.unconfirmedReads, c.ID)
	}
	for _, id := range effects.UnconfirmedReads {
		w.replica.metrics.refusal("unconfirmed").Inc(int64(len(w.unconfirmedReads[id])))
		for _, waiting := range w.unconfirmedReads[id] {
			waiting.answer <- notLeader(w.leader())
		}
		delete(w.unconfirmedReads, id)
	}
	if effects.SteppedDown {
		w.log.Info("stepped down", "term", w.raft.Term())
		w.failUncommitted()
	}
}

// syncAndSend syncs the log, sends the messages that depend on the sync, and
// submits committed entries to the applier.
func (w *worker) syncAndSend() {
	w.outbox.flush()
	for w.err == nil && w.unsynced {
		w.unsynced = false
		w.replica.metrics.syncs.Inc(1)
		begin := time.Now()
		if err := w.disk.Sync(); err != nil {
			w.err = err
			return
		}
		w.replica.metrics.syncTime.Record(time.Since(begin))
		replies := w.replies
		w.replies = nil
		w.outbox.add(w, replies)
		w.step(raft.Synced{})
		w.answerDeliveries()
	}
	if w.err != nil {
		return
	}
	w.outbox.add(w, w.replies)
	w.replies = nil
	w.answerDeliveries()
	w.dispatch()
	// The status is published first, so that callers that get an answer see the
	// status that includes it.
	w.publish()
	w.completeTransfers()
	w.answerConfirmedReads()
}

func (w *worker) member(id uint64) *peer.Member {
	for _, m := range w.raft.Members() {
		if m.Id == id {
			return m
		}
	}
	return w.outbox.leaderAddresses[id]
}

// leader returns the current leader, or nil if none is known.
func (w *worker) leader() *peer.Member {
	if w.raft.Leader() == 0 {
		return nil
	}
	return w.member(w.raft.Leader())
}

func (w *worker) publish() {
	s := Status{
		ID: w.cfg.ID, Leader: w.raft.Leader(), Term: w.raft.Term(), Commit: w.raft.CommitIndex(),
		Applied: w.applied, Members: w.raft.Members(), IsLeader: w.raft.Role() == raft.Leader,
		LeaderAddress: w.leader().GetAddress(),
	}
	if s.IsLeader {
		s.RecentlyActive = w.raft.RecentlyActive()
		s.LeaderSince = w.status.LeaderSince
		if !w.status.IsLeader || w.status.Term != s.Term {
			s.LeaderSince = time.Now()
		}
	}
	if s.Leader != w.status.Leader || s.Term != w.status.Term {
		w.replica.metrics.leaderChanges.Inc(1)
		w.log.Info("leader changed", "leader", s.Leader, "term", s.Term)
	}
	w.status = s
	w.replica.metrics.update(s)
	w.replica.publish(s)
	w.checkCaughtUp()
}

// checkCaughtUp closes the replica's caughtUp channel once all entries are applied
// that were committed when the replica was opened.
func (w *worker) checkCaughtUp() {
	index, ok := w.raft.ConfirmedCommit()
	if w.isCaughtUp || !ok || w.applied < index {
		return
	}
	w.isCaughtUp = true
	w.log.Info("caught up", "applied", w.applied, "commit", index, "term", w.raft.Term(), "ms", w.now().Milliseconds())
	close(w.replica.caughtUp)
}

func (w *worker) close() {
	w.timer.Stop()
	if err := w.disk.Close(); err != nil {
		w.log.Warn("cannot close the data folder", "error", err)
	}
}
