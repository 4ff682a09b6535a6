package replica

import (
	"slices"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// confirm asks once for all reads that wait.
func (w *worker) confirm(first *confirmation) {
	waiting := []*confirmation{first}
	for range queueLength {
		select {
		case c := <-w.replica.confirms:
			waiting = append(waiting, c)
			continue
		default:
		}
		break
	}
	w.confirmID++
	w.asked[w.confirmID] = waiting
	w.step(raft.ReadIndex{ID: w.confirmID})
}

// answerConfirmed releases the reads whose index is applied.
func (w *worker) answerConfirmed() {
	w.confirmed = slices.DeleteFunc(w.confirmed, func(c *confirmation) bool {
		if c.index > w.applied {
			return false
		}
		c.answer <- nil
		return true
	})
}

// loseProposals answers the proposals that are not committed when the leader
// steps down. They are in this log and perhaps in others, so they may still
// be committed by the next leader.
func (w *worker) loseProposals() {
	commit := w.raft.CommitIndex()
	lost := fault.New(fault.OutcomeUnknown, "replica: leadership was lost before the proposal was committed")
	for index, p := range w.pending {
		if index > commit {
			w.replica.metrics.refusal("leadership_lost").Inc(1)
			p.answer <- answer{err: lost}
			w.forget(index, p)
		}
	}
	for index, q := range w.changes {
		if index > commit {
			q.answer <- answer{err: lost}
			delete(w.changes, index)
		}
	}
}

func (w *worker) forget(index uint64, p *proposal) {
	delete(w.pending, index)
	w.pendingBytes -= len(p.command) + entryOverhead
}

// endTransfers answers transfers that have ended.
func (w *worker) endTransfers() {
	if len(w.transfers) == 0 || w.raft.IsTransferring() {
		return
	}
	var err error
	if w.raft.Role() == raft.Leader {
		err = fault.New(fault.NoQuorum, "replica: the other voter did not take over")
	}
	for _, q := range w.transfers {
		q.answer <- answer{err: err}
	}
	w.transfers = nil
}

// dispatch gives committed entries to the applier if it is free. The callers
// that wait go with their entries.
func (w *worker) dispatch() {
	commit := w.raft.CommitIndex()
	if w.applier.busy || w.dispatched >= commit {
		return
	}
	entries := w.raft.CommittedEntries(w.dispatched+1, applyBytes)
	if len(entries) == 0 {
		return
	}
	job := applyJob{entries: entries, waiting: make([]*proposal, len(entries))}
	for i, e := range entries {
		w.claimWaiting(&job, i, e)
	}
	w.dispatched = entries[len(entries)-1].Index
	if w.wantsSnapshot(entries) {
		meta := w.raft.SnapshotMetaAt(w.dispatched)
		job.snapshot = &meta
	}
	w.applier.begin(job)
}

func (w *worker) claimWaiting(job *applyJob, i int, e *peer.LogEntry) {
	if p := w.pending[e.Index]; p != nil {
		w.forget(e.Index, p)
		if p.term == e.Term {
			job.waiting[i] = p
		} else {
			p.answer <- answer{err: fault.New(fault.OutcomeUnknown, "replica: another entry took the proposal's place")}
		}
	}
	if q := w.changes[e.Index]; q != nil {
		delete(w.changes, e.Index)
		// Whoever is answered may look at the members at once.
		w.publish()
		q.answer <- answer{}
	}
}

// abandon answers everybody when the worker ends.
func (w *worker) abandon() {
	close(w.applier.jobs)
	close(w.saver.jobs)
	w.loseProposals()
	lost := fault.New(fault.OutcomeUnknown, "replica: ended before the result was known")
	for index, p := range w.pending {
		p.answer <- answer{err: lost}
		w.forget(index, p)
	}
	for index, q := range w.changes {
		q.answer <- answer{err: lost}
		delete(w.changes, index)
	}
	for _, q := range w.transfers {
		q.answer <- answer{err: lost}
	}
	ended := fault.New(fault.Unavailable, "replica: ended")
	for _, waiting := range w.asked {
		w.confirmed = append(w.confirmed, waiting...)
	}
	for _, c := range w.confirmed {
		c.answer <- ended
	}
}
