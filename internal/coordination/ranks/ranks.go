/*
Package ranks changes the expert maps of groups of model engines whose ranks
take orders one by one.

# Concept

All ranks of a group must begin each pass with the same map, and an order may
get no answer and yet be carried out seconds later. A change therefore goes on
only by what ranks have accepted or reported:

 1. prepare: each rank copies the experts that are new to it.
 2. hold: one rank keeps the group from beginning a pass S that lies ahead. Each
    rank must have answered an order just before.
 3. arm: each rank is told to switch as S begins. An order that comes late finds
    that S has begun, and is refused.
 4. go: once every rank is known to be armed for S, the group may begin S.

Nothing is ever taken back: once a group is held, every rank is armed, and only
then it goes on. A keeper that takes over finds the state in the reports and
completes it. A group that loses a rank forms anew with its first map and
nothing prepared, armed or held, and orders name the group's epoch.

[Change] decides on the orders and is pure. [Rebalancer] reads the reports, plans with
package rebalance, and sends the orders while it leads.
*/
package ranks

import "context"

// Rank is where one rank of a group is reached.
type Rank struct {
	ID      string
	Service string
	Address string
}

// Group is an expert-parallel group whose ranks are all known.
type Group struct {
	Name    string
	Service string
	Epoch   uint64
	Ranks   []Rank
}

// Map lists the experts by set and rank.
type Map [][][]int

// Report is what a rank says of itself.
type Report struct {
	Epoch uint64
	// Open says that the group is complete and works.
	Open bool
	// Requests is the number of requests that it holds.
	Requests int
	// Pass is the last pass that was begun.
	Pass uint64
	// MapVersion is the version in use; 0 is the map that groups form with.
	MapVersion uint64
	// PreparedVersion is the version that is ready, or 0.
	PreparedVersion uint64
	// ArmedVersion is the version that the rank is to switch to as ArmedPass begins, or
	// 0.
	ArmedVersion uint64
	ArmedPass    uint64
	// HeldPass is the pass that is held back, if IsHeld.
	HeldPass uint64
	IsHeld   bool
}

// ExpertCounts tells how often each expert was chosen since a rank started, by set.
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
	// Arm has a rank switch to a prepared map as a pass begins.
	Arm struct {
		Version uint64
		Pass    uint64
	}
	// Hold keeps the group from beginning a pass.
	Hold struct{ Pass uint64 }
	// Go lets the group begin a pass that is held.
	Go struct{ Pass uint64 }
	// Probe changes nothing: its answer shows that the rank answers orders.
	Probe struct{}
)

func (Prepare) isOrder() {}
func (Arm) isOrder()     {}
func (Hold) isOrder()    {}
func (Go) isOrder()      {}
func (Probe) isOrder()   {}

// EngineClient speaks with ranks. Errors mean that the outcome is unknown.
type EngineClient interface {
	Report(ctx context.Context, to Rank) (Report, error)
	ExpertCounts(ctx context.Context, to Rank) (ExpertCounts, error)
	// Experts returns the experts that a rank carries in the map in use, by
	// set, and the map's version.
	Experts(ctx context.Context, to Rank) (version uint64, sets [][]int, err error)
	// Order sends an order. An error goes with Unanswered.
	Order(ctx context.Context, to Rank, epoch uint64, order Order) (Result, error)
}
