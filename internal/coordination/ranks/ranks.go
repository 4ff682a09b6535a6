/*
Package ranks changes the expert maps of groups of model engines. Each rank of a
group receives its own orders.

# Concept

All ranks of a group must start each pass with the same map, and an order may
get no answer and yet be executed seconds later. A change therefore proceeds
only on what ranks have accepted or reported:

 1. prepare: each rank copies the experts that it lacks.
 2. hold: one rank keeps the group from starting a future pass S. Each rank must
    have answered an order just before.
 3. arm: each rank is ordered to switch at the start of S. An order that arrives
    after S has started is refused.
 4. go: once every rank is known to be armed for S, the group may start S.

No step is rolled back: once a group is held, every rank is armed, and only then
the group is released. After a change of leader, the new one reads the state
from the reports and completes the change. A group that loses a rank forms again
in a new epoch, with its initial map and nothing prepared, armed or held; orders
name the epoch.

[Change] selects the orders; it does no I/O and reads no clock. [Rebalancer] reads
the reports, plans with package rebalance, and sends the orders while its process
is the leader.
*/
package ranks

import "context"

// Rank identifies one rank of a group and its address.
type Rank struct {
	ID      string
	Service string
	Address string
}

// Group is an expert-parallel group with all its ranks.
type Group struct {
	Name    string
	Service string
	Epoch   uint64
	Ranks   []Rank
}

// Map is an expert map: it lists the experts by set and rank.
type Map [][][]int

// Report is the state that a rank reports.
type Report struct {
	Epoch uint64
	// Open says that the group is complete and serves requests.
	Open bool
	// Requests is the number of running and waiting requests.
	Requests int
	// Pass is the latest pass that was started.
	Pass uint64
	// MapVersion is the version in use; 0 is the initial map of a group.
	MapVersion uint64
	// PreparedVersion is the version that is ready, or 0.
	PreparedVersion uint64
	// ArmedVersion is the version to which the rank switches at the start of
	// ArmedPass, or 0.
	ArmedVersion uint64
	ArmedPass    uint64
	// HeldPass is the pass that the rank keeps from starting, if IsHeld.
	HeldPass uint64
	IsHeld   bool
}

// ExpertCounts is how often each expert was selected since a rank started, by set.
type ExpertCounts struct {
	Epoch uint64
	Sets  [][]uint64
}

// Order is one of Prepare, Probe, Hold, Arm or Go.
type Order interface{ isOrder() }

type (
	// Prepare has a rank copy the experts of a map.
	Prepare struct {
		Version uint64
		Map     Map
	}
	// Arm has a rank switch to a prepared map at the start of a pass.
	Arm struct {
		Version uint64
		Pass    uint64
	}
	// Hold keeps the group from starting a pass.
	Hold struct{ Pass uint64 }
	// Go releases a held pass.
	Go struct{ Pass uint64 }
	// Probe changes nothing; it checks that the rank answers orders.
	Probe struct{}
)

func (Prepare) isOrder() {}
func (Arm) isOrder()     {}
func (Hold) isOrder()    {}
func (Go) isOrder()      {}
func (Probe) isOrder()   {}

// EngineClient calls ranks. An error means that the outcome is unknown.
type EngineClient interface {
	Report(ctx context.Context, to Rank) (Report, error)
	ExpertCounts(ctx context.Context, to Rank) (ExpertCounts, error)
	// Experts returns the experts that a rank hosts in the map in use, by set,
	// and the map's version.
	Experts(ctx context.Context, to Rank) (version uint64, sets [][]int, err error)
	// Order sends an order. If it returns an error, the result is Unanswered.
	Order(ctx context.Context, to Rank, epoch uint64, order Order) (Result, error)
}
