package replica

import (
	"slices"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// confirm requests one confirmation for all queued reads.
func (w *worker) confirm(first *confirmation) {
	waiting := []*confirmation{first}
	for range callQueueLength {
		select {
		case c := <-w.replica.confirms:
			waiting = append(waiting, c)
			continue
		default:
		}
		break
	}
	w.confirmID++
	w.unconfirmedReads[w.confirmID] = waiting
	w.step(raft.ReadIndex{ID: w.confirmID})
}

// answerConfirmedReads answers the reads whose index is applied.
func (w *worker) answerConfirmedReads() {
	w.confirmedReads = slices.DeleteFunc(w.confirmedReads, func(c *confirmation) bool {
		if c.index > w.applied {
			return false
		}
		c.answer <- nil
		return true
	})
}

// failUncommitted answers the proposals and member changes that are not
// committed when the leader steps down. They are in this log and perhaps in
// others, so they may still be committed by the next leader.
func (w *worker) failUncommitted() {
	commit := w.raft.CommitIndex()
	unknown := fault.New(fault.OutcomeUnknown, "replica: leadership was lost before the proposal was committed")
	for index, p := range w.pending {
		if index > commit {
			w.replica.metrics.refusal("leadership_lost").Inc(1)
			p.answer <- answer{err: unknown}
			w.removePending(index, p)
		}
	}
	for index, q := range w.changes {
		if index > commit {
			q.answer <- answer{err: unknown}
			delete(w.changes, index)
		}
	}
}

func (w *worker) removePending(index uint64, p *proposal) {
	delete(w.pending, index)
	w.pendingBytes -= len(p.command) + entryOverhead
}

// completeTransfers answers the transfers when the algorithm has ended them.
func (w *worker) completeTransfers() {
	if len(w.transfers) == 0 || w.raft.IsTransferring() {
		return
	}
	var err error
	if w.raft.Role() == raft.Leader {
		err = fault.New(fault.NoQuorum, "replica: the other voter did not become leader")
	}
	for _, q := range w.transfers {
		q.answer <- answer{err: err}
	}
	w.transfers = nil
}

// dispatch submits committed entries, with the callers that wait for them, to
// the applier if it is idle.
func (w *worker) dispatch() {
	commit := w.raft.CommitIndex()
	if w.applier.busy || w.dispatched >= commit {
		return
	}
	entries := w.raft.CommittedEntries(w.dispatched+1, maxApplyBytes)
	if len(entries) == 0 {
		return
	}
	job := applyJob{entries: entries, callers: make([]*proposal, len(entries))}
	for i, e := range entries {
		w.attachCallers(&job, i, e)
	}
	w.dispatched = entries[len(entries)-1].Index
	if w.isSnapshotDue(entries) {
		meta := w.raft.SnapshotMetaAt(w.dispatched)
		job.snapshot = &meta
	}
	w.applier.submit(job)
}

func (w *worker) attachCallers(job *applyJob, i int, e *peer.LogEntry) {
	if p := w.pending[e.Index]; p != nil {
		w.removePending(e.Index, p)
		if p.term == e.Term {
			job.callers[i] = p
		} else {
			p.answer <- answer{err: fault.New(fault.OutcomeUnknown, "replica: another entry was committed at the index of the proposal")}
		}
	}
	if q := w.changes[e.Index]; q != nil {
		delete(w.changes, e.Index)
		// The caller may read the member list as soon as it is answered.
		w.publish()
		q.answer <- answer{}
	}
}

// failAll answers all pending calls when the worker stops.
func (w *worker) failAll() {
	close(w.applier.jobs)
	close(w.saver.jobs)
	w.failUncommitted()
	unknown := fault.New(fault.OutcomeUnknown, "replica: stopped before the result was known")
	for index, p := range w.pending {
		p.answer <- answer{err: unknown}
		w.removePending(index, p)
	}
	for index, q := range w.changes {
		q.answer <- answer{err: unknown}
		delete(w.changes, index)
	}
	for _, q := range w.transfers {
		q.answer <- answer{err: unknown}
	}
	stopped := fault.New(fault.Unavailable, "replica: stopped")
	for _, waiting := range w.unconfirmedReads {
		w.confirmedReads = append(w.confirmedReads, waiting...)
	}
	for _, c := range w.confirmedReads {
		c.answer <- stopped
	}
}
