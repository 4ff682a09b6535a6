/*
Package lease decides how long a node may take new work without news from
control, and when a configuration is in force everywhere.

# Concept

A node may take new work while it holds a lease. The node counts a lease from
the moment it sent the renewal, the leader from the later moment at which it
answered, plus a margin for clocks that run at different rates. So the node's
lease always ends first.

A lease is granted together with a revision: the node uses the lease only after
it has adopted that revision. A revision is in force when every lease that was
granted with a lower revision has run out, or its node has reported a revision
at least as high; nodes never go back. Leases granted by an earlier leader are
unknown to a new one. They all come from renewals that were sent before the new
leader was elected, so the new leader waits one lease time plus the margin.

# Use

[Table] is the leader's side, [Holder] the node's. Both get the time with each
call and read no clock.

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

// Default times. A leader change takes at most 1.5 s, so that a lease of 3 s
// outlasts it, and the end of the last old lease comes before the 5 s that a
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

// total is how long the leader must assume that a node uses a lease.
func (t Timing) total() time.Duration { return t.Duration + t.Margin }

// Node names one run of a node. Another incarnation is another node: the old
// process may still live.
type Node struct {
	ID          string
	Incarnation uint64
}

// Table is the leader's record of the leases that it granted. Use NewTable.
type Table struct {
	terms Timing
	since time.Time
	nodes map[Node]*held
}

type held struct {
	running uint64
	grants  []grant // ascending by revision
}

// grant is the end of the last lease that was granted with a revision.
type grant struct {
	revision uint64
	until    time.Time
}

// NewTable returns an empty table for a leader elected at the time since.
func NewTable(terms Timing, since time.Time) *Table {
	return &Table{terms: terms, since: since, nodes: map[Node]*held{}}
}

// EarlierLeasesExpired says whether all leases of earlier leaders have run out.
func (t *Table) EarlierLeasesExpired(now time.Time) bool {
	return !now.Before(t.since.Add(t.terms.total()))
}

// Grant records that a node which runs one revision got a lease together with
// the current one.
func (t *Table) Grant(now time.Time, node Node, running, current uint64) {
	h := t.nodes[node]
	if h == nil {
		h = &held{}
		t.nodes[node] = h
	}
	h.running = max(h.running, running)
	h.prune(now)
	until := now.Add(t.terms.total())
	if last := len(h.grants) - 1; last >= 0 && h.grants[last].revision >= current {
		h.grants[last].until = until
		return
	}
	h.grants = append(h.grants, grant{revision: current, until: until})
}

// InForce says whether no node can take new work under a revision lower than
// the given one.
func (t *Table) InForce(now time.Time, revision uint64) bool {
	return t.EarlierLeasesExpired(now) && len(t.Behind(now, revision)) == 0
}

// Behind returns the nodes that may still take new work under a revision lower
// than the given one, as far as this leader granted their leases.
func (t *Table) Behind(now time.Time, revision uint64) []Node {
	var behind []Node
	for node, h := range t.nodes {
		if h.running < revision && h.mayUse(now, revision) {
			behind = append(behind, node)
		}
	}
	return behind
}

// Remaining returns how long a node may still use a lease, and the revision that it
// reported last.
func (t *Table) Remaining(now time.Time, node Node) (left time.Duration, running uint64) {
	h := t.nodes[node]
	if h == nil {
		return 0, 0
	}
	for _, g := range h.grants {
		left = max(left, g.until.Sub(now))
	}
	return left, h.running
}

// Expire removes the nodes whose leases have run out and returns them.
func (t *Table) Expire(now time.Time) []Node {
	var expired []Node
	for node, h := range t.nodes {
		if h.prune(now); len(h.grants) == 0 {
			expired = append(expired, node)
			delete(t.nodes, node)
		}
	}
	return expired
}

// mayUse says whether a lease granted with a lower revision is left.
func (h *held) mayUse(now time.Time, revision uint64) bool {
	for _, g := range h.grants {
		if g.revision < revision && now.Before(g.until) {
			return true
		}
	}
	return false
}

func (h *held) prune(now time.Time) {
	kept := h.grants[:0]
	for _, g := range h.grants {
		if now.Before(g.until) {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}
