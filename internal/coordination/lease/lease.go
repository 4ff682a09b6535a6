/*
Package lease decides how long a node may accept new work without an answer
from control, and when a configuration is in force on all nodes.

# Concept

A node may accept new work while it holds a lease. The node counts a lease from
the time at which it sent the renewal. The leader counts it from the later time
of its answer, and adds a margin for clocks that run at different rates. So the
lease always ends first at the node.

A lease is granted together with a revision: the node uses the lease only after
it has adopted that revision. A revision is in force when every lease that was
granted with a lower revision has run out, or its node has reported a revision
at least as high; nodes never return to a lower one. A new leader has no record
of leases granted by an earlier leader. They all come from renewals that were
sent before the new leader was elected, so the new leader waits one lease time
plus the margin.

# Use

The leader uses a [Table], the node a [Holder]. Both get the time with each call
and read no clock.

	t := lease.NewTable(lease.DefaultTiming(), leaderSince)
	t.Grant(now, lease.Node{ID: "a", Incarnation: 7}, running, revision)
	if t.InForce(now, revision) { ... }
*/
package lease

import "time"

// Timing holds the durations that node and leader agree on.
type Timing struct {
	// Duration is how long a node may use a lease after it sent the renewal.
	Duration time.Duration
	// Margin is the largest difference between two clocks over Duration.
	Margin time.Duration
}

// Default durations. A leader change takes at most 1.5 s, so that a lease of 3 s
// outlasts it, and the last lease on an old revision ends within the 5 s that a
// drain may take.
const (
	DefaultDuration = 3 * time.Second
	// marginPercent covers clocks whose rates differ by up to 5 %.
	marginPercent = 5
)

// DefaultTiming returns the timing of the system.
func DefaultTiming() Timing {
	return Timing{Duration: DefaultDuration, Margin: DefaultDuration * marginPercent / 100}
}

// leaderDuration is how long the leader must assume that a node uses a lease.
func (t Timing) leaderDuration() time.Duration { return t.Duration + t.Margin }

// Node identifies one run of a node. Another incarnation counts as another node,
// since the old process may still be running.
type Node struct {
	ID          string
	Incarnation uint64
}

// Table records the leases that a leader has granted. Use NewTable.
type Table struct {
	timing Timing
	since  time.Time
	nodes  map[Node]*nodeLeases
}

type nodeLeases struct {
	running uint64
	grants  []grant // ascending by revision
}

// grant is the end of the last lease that was granted with a revision.
type grant struct {
	revision uint64
	until    time.Time
}

// NewTable returns an empty table for a leader elected at the time since.
func NewTable(timing Timing, since time.Time) *Table {
	return &Table{timing: timing, since: since, nodes: map[Node]*nodeLeases{}}
}

// EarlierLeasesExpired reports whether all leases granted by earlier leaders have
// run out.
func (t *Table) EarlierLeasesExpired(now time.Time) bool {
	return !now.Before(t.since.Add(t.timing.leaderDuration()))
}

// Grant records that a node was granted a lease at now. The node runs the revision
// running, and the response with the lease carries the revision current.
func (t *Table) Grant(now time.Time, node Node, running, current uint64) {
	n := t.nodes[node]
	if n == nil {
		n = &nodeLeases{}
		t.nodes[node] = n
	}
	n.running = max(n.running, running)
	n.removeExpired(now)
	until := now.Add(t.timing.leaderDuration())
	if last := len(n.grants) - 1; last >= 0 && n.grants[last].revision >= current {
		n.grants[last].until = until
		return
	}
	n.grants = append(n.grants, grant{revision: current, until: until})
}

// InForce reports whether no node can accept new work under a revision lower than
// the given one.
func (t *Table) InForce(now time.Time, revision uint64) bool {
	return t.EarlierLeasesExpired(now) && len(t.Behind(now, revision)) == 0
}

// Behind returns the nodes that may still accept new work under a revision lower
// than the given one, based on the leases that this leader granted.
func (t *Table) Behind(now time.Time, revision uint64) []Node {
	var behind []Node
	for node, n := range t.nodes {
		if n.running < revision && n.hasLeaseBelow(now, revision) {
			behind = append(behind, node)
		}
	}
	return behind
}

// Remaining returns how long a node may still use a lease, and the highest
// revision that it has reported.
func (t *Table) Remaining(now time.Time, node Node) (remaining time.Duration, running uint64) {
	n := t.nodes[node]
	if n == nil {
		return 0, 0
	}
	for _, g := range n.grants {
		remaining = max(remaining, g.until.Sub(now))
	}
	return remaining, n.running
}

// Expire removes the nodes whose leases have run out and returns them.
func (t *Table) Expire(now time.Time) []Node {
	var expired []Node
	for node, n := range t.nodes {
		if n.removeExpired(now); len(n.grants) == 0 {
			expired = append(expired, node)
			delete(t.nodes, node)
		}
	}
	return expired
}

// hasLeaseBelow reports whether a lease granted with a lower revision may still be
// used.
func (n *nodeLeases) hasLeaseBelow(now time.Time, revision uint64) bool {
	for _, g := range n.grants {
		if g.revision < revision && now.Before(g.until) {
			return true
		}
	}
	return false
}

func (n *nodeLeases) removeExpired(now time.Time) {
	kept := n.grants[:0]
	for _, g := range n.grants {
		if now.Before(g.until) {
			kept = append(kept, g)
		}
	}
	n.grants = kept
}
