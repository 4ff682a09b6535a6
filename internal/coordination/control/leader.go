package control

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// leaderState is the leader's in-memory state of one term: the leases that it
// granted and the backend servers that were announced to it. None of it is
// durable. A new leader starts with an empty state and waits until leases of
// earlier leaders have expired.
type leaderState struct {
	term    uint64
	leases  *lease.Table
	servers *serverTable
	nodes   map[lease.Node]*peer.Node
}

func newLeaderState(term uint64, timing lease.Timing, since time.Time) *leaderState {
	return &leaderState{
		term:    term,
		leases:  lease.NewTable(timing, since),
		servers: newServerTable(),
		nodes:   map[lease.Node]*peer.Node{},
	}
}

// currentLeaderState returns the state of the term that this replica leads, or a
// not_leader fault. The caller holds h.mu.
func (h *Handler) currentLeaderState() (*leaderState, error) {
	st := h.log.Status()
	if !st.IsLeader {
		if h.leader != nil {
			h.leader.servers.wakeWatchers()
			h.leader = nil
		}
		return nil, notLeader(st)
	}
	if h.leader == nil || h.leader.term != st.Term {
		if h.leader != nil {
			h.leader.servers.wakeWatchers()
		}
		h.leader = newLeaderState(st.Term, h.leaseTiming, st.LeaderSince)
	}
	h.leader.refresh(h.now())
	return h.leader, nil
}

// leaderStateOfTerm is currentLeaderState for a caller whose quorum round
// confirmed the leader in the given term. The caller holds h.mu.
func (h *Handler) leaderStateOfTerm(term uint64) (*leaderState, error) {
	l, err := h.currentLeaderState()
	if err != nil {
		return nil, err
	}
	if l.term != term {
		return nil, fault.New(fault.Unavailable, "the leader's term changed from %d to %d during the call", term, l.term)
	}
	return l, nil
}

// refresh removes nodes whose lease has expired, and marks the server table
// complete once all leases of earlier leaders have expired.
func (l *leaderState) refresh(now time.Time) {
	for _, node := range l.leases.Expire(now) {
		l.servers.removeAgent(node.ID, node.Incarnation)
		delete(l.nodes, node)
	}
	if l.leases.EarlierLeasesExpired(now) {
		l.servers.markComplete()
	}
}

func notLeader(st replica.Status) error {
	err := fault.New(fault.NotLeader, "replica %d is not the leader", st.ID)
	err.Leader = st.LeaderAddress
	return err
}
