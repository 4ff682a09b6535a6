package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// checker verifies the invariants that hold across all replicas.
type checker struct {
	fail              func(format string, args ...any)
	leaders           map[uint64]uint64 // folder of the leader by term
	committed         []*peer.LogEntry  // committed[i] has index i+1
	acked             map[uint64]string // by index
	maxAcked          uint64
	refused           map[string]bool
	reads             map[uint64]uint64 // lowest index a read may see, by id
	confirmed         int
	confirmedCommits  int
	snapshotsReceived int
	readID            uint64
}

func newChecker(fail func(string, ...any)) checker {
	return checker{
		fail: fail, leaders: map[uint64]uint64{}, acked: map[uint64]string{},
		refused: map[string]bool{}, reads: map[uint64]uint64{},
	}
}

func (c *checker) observe(n *simNode, wasLeader bool, e *Effects) {
	if n.r.Role() == Leader {
		c.observeLeader(n, wasLeader)
	}
	c.observeCommit(n)
	c.observeConfirmedCommit(n)
	for _, read := range e.ConfirmedReads {
		minIndex, ok := c.reads[read.ID]
		if !ok || read.Index < minIndex {
			c.fail("node %d confirmed read %d at index %d, but %d was acknowledged before it began", n.id, read.ID, read.Index, minIndex)
		}
		delete(c.reads, read.ID)
		c.confirmed++
	}
	for _, id := range e.UnconfirmedReads {
		delete(c.reads, id)
	}
	if len(e.Messages) > 0 && n.r.awaitingSync {
		c.fail("node %d sends %d messages before its term is synced", n.id, len(e.Messages))
	}
}

// observeLeader checks that a term has one leader and that a new leader has all
// committed entries.
func (c *checker) observeLeader(n *simNode, wasLeader bool) {
	if folder, ok := c.leaders[n.r.Term()]; ok && folder != n.folder {
		c.fail("term %d has a second leader, node %d", n.r.Term(), n.id)
	}
	c.leaders[n.r.Term()] = n.folder
	if wasLeader {
		return
	}
	for _, e := range c.committed {
		// A candidate of an old term may still win by replies in flight, so
		// only entries of earlier terms are checked.
		if e.Index <= n.r.log.base || e.Term >= n.r.Term() {
			continue
		}
		if term, ok := n.r.EntryTerm(e.Index); !ok || term != e.Term {
			c.fail("leader %d of term %d lacks committed entry %d of term %d", n.id, n.r.Term(), e.Index, e.Term)
		}
	}
}

// observeCommit checks that no two replicas commit different entries.
func (c *checker) observeCommit(n *simNode) {
	for i := max(n.applied, n.r.log.base) + 1; i <= n.r.CommitIndex(); i++ {
		e := n.r.log.entry(i)
		if i > uint64(len(c.committed))+1 {
			c.fail("node %d commits entry %d, but only %d entries have been committed", n.id, i, len(c.committed))
			return
		}
		if i == uint64(len(c.committed))+1 {
			c.committed = append(c.committed, e)
			if c.refused[string(e.Data)] {
				c.fail("refused command %q is committed", e.Data)
			}
			continue
		}
		if !proto.Equal(c.committed[i-1], e) {
			c.fail("node %d commits %v at %d, another node committed %v", n.id, e, i, c.committed[i-1])
		}
	}
}

// observeConfirmedCommit checks that a confirmed commit index includes all entries
// that were committed in earlier terms.
func (c *checker) observeConfirmedCommit(n *simNode) {
	index, ok := n.r.ConfirmedCommit()
	if !ok {
		return
	}
	last := uint64(0)
	for _, e := range c.committed {
		if e.Term < n.r.Term() {
			last = e.Index
		}
	}
	if index < last {
		c.fail("node %d confirms the commit index %d in term %d, entry %d of an earlier term is committed", n.id, index, n.r.Term(), last)
	}
	c.confirmedCommits++
}

// checkState checks that a node's state follows from the committed commands.
func (c *checker) checkState(n *simNode) {
	if want := c.commands(n.applied); !slices.Equal(want, n.state) {
		c.fail("node %d has state %q at index %d, want %q", n.id, n.state, n.applied, want)
	}
}

func (c *checker) commands(upTo uint64) []string {
	var commands []string
	for _, e := range c.committed[:upTo] {
		if e.Type == peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND {
			commands = append(commands, string(e.Data))
		}
	}
	return commands
}

func (c *checker) acknowledge(index uint64, command string) {
	c.acked[index] = command
	c.maxAcked = max(c.maxAcked, index)
}

func (c *checker) beginRead() uint64 {
	c.readID++
	c.reads[c.readID] = c.maxAcked
	return c.readID
}

// checkFinal checks the final state of all replicas.
func (c *checker) checkFinal(nodes []*simNode) {
	for index, command := range c.acked {
		if index > uint64(len(c.committed)) || string(c.committed[index-1].Data) != command {
			c.fail("acknowledged command %q at %d is lost", command, index)
		}
	}
	seen := map[string]bool{}
	for _, command := range c.commands(uint64(len(c.committed))) {
		if seen[command] {
			c.fail("command %q is committed twice", command)
		}
		seen[command] = true
	}
	for _, n := range nodes {
		if n.r != nil {
			c.checkState(n)
		}
	}
}
