package control

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// leadership is the leader's memory of one term: the leases that it granted
// and the backend servers that were announced to it. Nothing of it is durable;
// a new leader begins with an empty one and knows for how long earlier leases
// may last.
type leadership struct {
	term  uint64
	table *lease.Table
	board *board
	nodes map[lease.Node]*peer.Node
}

func newLeadership(term uint64, terms lease.Timing, since time.Time) *leadership {
	return &leadership{
		term:  term,
		table: lease.NewTable(terms, since),
		board: newBoard(),
		nodes: map[lease.Node]*peer.Node{},
	}
}

// lead returns the memory of the term that this replica leads, or a not_leader
// fault. The caller holds c.mu.
func (c *Calls) lead() (*leadership, error) {
	st := c.log.Status()
	if !st.IsLeader {
		if c.leading != nil {
			c.leading.board.alert()
			c.leading = nil
		}
		return nil, notLeader(st)
	}
	if c.leading == nil || c.leading.term != st.Term {
		if c.leading != nil {
			c.leading.board.alert()
		}
		c.leading = newLeadership(st.Term, c.terms, st.LeaderSince)
	}
	c.leading.refresh(c.now())
	return c.leading, nil
}

// leadIn is lead for a caller that a quorum has confirmed in a term.
func (c *Calls) leadIn(term uint64) (*leadership, error) {
	l, err := c.lead()
	if err != nil {
		return nil, err
	}
	if l.term != term {
		return nil, fault.New(fault.Unavailable, "the leader's term changed from %d to %d during the call", term, l.term)
	}
	return l, nil
}

// refresh lets time pass: leases run out, and the term settles.
func (l *leadership) refresh(now time.Time) {
	for _, node := range l.table.Expire(now) {
		l.board.forget(node.ID, node.Incarnation)
		delete(l.nodes, node)
	}
	if l.table.EarlierLeasesExpired(now) {
		l.board.settle()
	}
}

func notLeader(st replica.Status) error {
	err := fault.New(fault.NotLeader, "replica %d does not lead", st.ID)
	err.Leader = st.LeaderAddress
	return err
}
