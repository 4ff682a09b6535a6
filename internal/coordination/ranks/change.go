package ranks

import "time"

//go:generate go tool stringer -type=Stage,Result -linecomment -output=ranks_string.go

const (
	// holdLead is the number of passes between the latest one reported and the one
	// that a change holds. A pass takes 25 ms or more, and the probe, the hold and
	// the arm orders take about 10 ms each, so that the group rarely waits. Until
	// the held pass, passes are as slow as before the change.
	holdLead = 3
	// minHoldLead replaces holdLead as far as passes are known to be so long that
	// holdTime fits between. It leaves a whole pass for the orders, as holdLead does
	// with passes of 25 ms, and time to repeat one that is not answered.
	minHoldLead = 2
	holdTime    = 50 * time.Millisecond
	// holdLeadStep is added after each hold that was refused because its pass had
	// started. This occurs with reports from remote ranks, which are 200 ms old.
	holdLeadStep = 4
	// copyTimeout is the time after which an accepted prepare order is repeated. A
	// rank copies for up to two seconds.
	copyTimeout = 4 * time.Second
	// copyRetryDelay is the time after which an unanswered prepare order is
	// repeated. If both arrive, the rank refuses the second.
	copyRetryDelay = 100 * time.Millisecond
	// stableTime is the time between two probes of a rank that has left several
	// orders in a row unanswered. A hold lasts until all ranks are armed, so such
	// a rank would prolong it. While a group waits, its passes are slow.
	stableTime = 300 * time.Millisecond
	// probeValidity is how long the answer of a rank to a probe is valid. Within it,
	// the probes of other ranks can be repeated twice.
	probeValidity = 300 * time.Millisecond
	// maxMisses is the number of orders in a row that a rank may leave unanswered
	// before it is probed less often.
	maxMisses = 2
)

// Stage is the progress of a change.
type Stage uint8

// The stages.
const (
	Preparing Stage = iota // preparing
	Holding                // holding
	Arming                 // arming
	Going                  // going
	Switched               // switched
	Lost                   // lost
)

// Result is the answer to an order.
type Result uint8

// The results. An unanswered order may be executed later.
const (
	Unanswered Result = iota // unanswered
	Accepted                 // accepted
	Refused                  // refused
)

// Target is the map to which a group is to change. Map is nil if the change was
// taken over from another leader: reports carry the version only.
type Target struct {
	Version uint64
	Map     Map
}

// RankOrder is an order and the index of the rank that receives it.
type RankOrder struct {
	Rank  int
	Order Order
}

// Change switches one group to another map. Within an epoch, a rank never reverts
// what it has accepted or reported. A Change is not safe for concurrent use. Use
// NewChange.
type Change struct {
	Epoch        uint64
	Target       Target
	stage        Stage
	ranks        []rankState
	latestPass   uint64 // the latest reported
	refusedHolds uint64
	holdingRank  int // index of the rank that holds the group, or -1
	heldPass     uint64
	// armedPass is the pass for which a rank is armed, or 0.
	armedPass uint64
	// ReleasedPass is the latest pass that was ordered to go. No rank is armed for it
	// after that, even if it is reported as held: the report may be older, or a copy
	// of the go order may be executed later.
	ReleasedPass uint64
	// PassTime is the duration of a pass, or 0 if it is unknown.
	PassTime time.Duration
	// lateHold is the order that ends a reported hold of a pass up to ReleasedPass,
	// or nil.
	lateHold *RankOrder
	// canRelease says that no rank is armed, and that none has prepared a map that
	// a delayed arm order could refer to.
	canRelease bool
}

type rankState struct {
	prepared    bool
	armed       bool
	copyOrdered time.Time // the prepare order is repeated copyTimeout later
	answered    time.Time // when it last answered a probe
	probed      time.Time // when it was last probed
	misses      int       // orders in a row that it has not answered
}

// NewChange returns a change of a group with size ranks.
func NewChange(epoch uint64, target Target, size int) *Change {
	return &Change{Epoch: epoch, Target: target, ranks: make([]rankState, size), holdingRank: -1}
}

// Stage returns the progress of the change.
func (c *Change) Stage() Stage { return c.stage }

// MustComplete reports whether a rank holds the group or is armed, so that the
// change must not be abandoned.
func (c *Change) MustComplete() bool { return c.stage == Arming || c.stage == Going }

// Observe updates the change from the reports of all ranks, which may be some
// hundred milliseconds old.
func (c *Change) Observe(reports []Report) {
	switched := 0
	c.canRelease, c.lateHold = true, nil
	for i, r := range reports {
		if r.Epoch != c.Epoch || !r.Open {
			c.stage = Lost
			return
		}
		rank := &c.ranks[i]
		rank.prepared = rank.prepared || r.PreparedVersion == c.Target.Version || r.MapVersion == c.Target.Version
		if r.ArmedVersion == c.Target.Version {
			rank.armed, c.armedPass = true, r.ArmedPass
		}
		isOtherPrepared := r.PreparedVersion > 0 && r.PreparedVersion != r.MapVersion && r.PreparedVersion != c.Target.Version
		c.canRelease = c.canRelease && r.ArmedVersion == 0 && !isOtherPrepared
		c.latestPass = max(c.latestPass, r.Pass)
		if r.MapVersion == c.Target.Version {
			switched++
		}
		switch {
		case r.IsHeld && r.HeldPass <= c.ReleasedPass:
			c.lateHold = &RankOrder{Rank: i, Order: Go{Pass: r.HeldPass}}
		case r.IsHeld && c.holdingRank < 0:
			c.holdingRank, c.heldPass = i, r.HeldPass
		}
	}
	if switched == len(reports) {
		c.stage = Switched
	}
}

// Next returns the orders to send now.
func (c *Change) Next(now time.Time) []RankOrder {
	switch {
	case c.stage == Lost || c.stage == Switched:
		return nil
	case c.lateHold != nil && c.all(isArmed):
		c.stage = Going
		return []RankOrder{*c.lateHold}
	case c.lateHold != nil && c.canRelease && c.stage < Arming:
		return []RankOrder{*c.lateHold}
	case !c.all(func(s rankState) bool { return s.prepared }):
		c.stage = Preparing
		if c.holdingRank >= 0 && c.canRelease && c.armedPass == 0 {
			// A delayed hold, which would last until all ranks have copied.
			return []RankOrder{{Rank: c.holdingRank, Order: Go{Pass: c.heldPass}}}
		}
		return c.prepare(now)
	case c.holdingRank < 0 && c.armedPass > 0:
		return c.resumeArming()
	case c.holdingRank < 0:
		c.stage = Holding
		if orders := c.probe(now); len(orders) > 0 {
			return orders
		}
		if !c.all(func(s rankState) bool { return s.answersOrders(now) }) {
			return nil
		}
		pass := c.latestPass + c.holdLead() + c.refusedHolds*holdLeadStep
		return []RankOrder{{Rank: 0, Order: Hold{Pass: max(pass, c.ReleasedPass+1)}}}
	case !c.all(isArmed):
		c.stage = Arming
		return c.arm()
	}
	c.stage = Going
	return []RankOrder{{Rank: c.holdingRank, Order: Go{Pass: c.heldPass}}}
}

// holdLead returns the number of passes between the latest one reported and the one to
// hold.
func (c *Change) holdLead() uint64 {
	if c.PassTime <= 0 {
		return holdLead
	}
	return min(holdLead, max(minHoldLead, 1+uint64((holdTime+c.PassTime-1)/c.PassTime)))
}

// probe returns a probe for each rank that has not answered one recently. A
// group with a rank that does not answer would stay held until the rank answers.
// Ranks that have answered are not probed again: in a group of a hundred there is
// nearly always one that misses an order.
func (c *Change) probe(now time.Time) []RankOrder {
	var orders []RankOrder
	for i := range c.ranks {
		s := &c.ranks[i]
		if s.answersOrders(now) || (s.misses >= maxMisses && now.Sub(s.probed) < stableTime) {
			continue
		}
		s.probed = now
		orders = append(orders, RankOrder{Rank: i, Order: Probe{}})
	}
	return orders
}

// answersOrders reports whether the rank has answered a probe recently, and its
// latest order.
func (s rankState) answersOrders(now time.Time) bool {
	return s.misses == 0 && now.Sub(s.answered) < probeValidity
}

// resumeArming continues a change of an earlier leader that has armed some ranks.
// If all are armed, the group was released and has not reached the pass yet.
func (c *Change) resumeArming() []RankOrder {
	if c.all(isArmed) {
		return nil
	}
	c.stage = Arming
	return []RankOrder{{Rank: 0, Order: Hold{Pass: c.armedPass}}}
}

func isArmed(s rankState) bool { return s.armed }

func (c *Change) all(condition func(rankState) bool) bool {
	for _, s := range c.ranks {
		if !condition(s) {
			return false
		}
	}
	return true
}

func (c *Change) prepare(now time.Time) []RankOrder {
	var orders []RankOrder
	for i, s := range c.ranks {
		if !s.prepared && c.Target.Map != nil && now.Sub(s.copyOrdered) >= copyTimeout {
			orders = append(orders, RankOrder{Rank: i, Order: Prepare{Version: c.Target.Version, Map: c.Target.Map}})
		}
	}
	return orders
}

func (c *Change) arm() []RankOrder {
	var orders []RankOrder
	for i, s := range c.ranks {
		if !s.armed {
			orders = append(orders, RankOrder{Rank: i, Order: Arm{Version: c.Target.Version, Pass: c.heldPass}})
		}
	}
	return orders
}

// HandleResult updates the change from the result of an order.
func (c *Change) HandleResult(now time.Time, order RankOrder, result Result) {
	s := &c.ranks[order.Rank]
	if result == Unanswered {
		s.misses++
	} else {
		s.misses = 0
	}
	switch o := order.Order.(type) {
	case Probe:
		if result != Unanswered {
			s.answered = now
		}
	case Prepare:
		switch result {
		case Accepted:
			s.copyOrdered = now
		case Unanswered:
			s.copyOrdered = now.Add(copyRetryDelay - copyTimeout)
		case Refused: // the rank is still armed for the last change
		}
	case Hold:
		switch result {
		case Accepted:
			c.holdingRank, c.heldPass = order.Rank, o.Pass
		case Refused:
			c.refusedHolds++
		}
	case Arm:
		s.armed = s.armed || result == Accepted
	case Go:
		c.ReleasedPass = max(c.ReleasedPass, o.Pass)
		c.lateHold = nil
		switch {
		case result == Unanswered:
		case c.stage == Going && result == Accepted:
			c.stage = Switched
		default:
			// The rank no longer holds this pass. Reports show whether it holds
			// another one.
			if c.holdingRank == order.Rank && c.heldPass == o.Pass {
				c.holdingRank = -1
			}
		}
	}
}

// UnfinishedVersion returns the version of a change that an earlier leader left
// unfinished, or 0 if there is none: all ranks have prepared it, and a rank holds the
// group or is armed.
func UnfinishedVersion(reports []Report) (version uint64) {
	started := false
	for i, r := range reports {
		started = started || r.IsHeld || r.ArmedVersion > 0
		if r.PreparedVersion == 0 || r.PreparedVersion == r.MapVersion || (i > 0 && r.PreparedVersion != version) {
			return 0
		}
		version = r.PreparedVersion
	}
	if !started {
		return 0
	}
	return version
}

// IsReleased reports whether all ranks are armed for the same pass and none is held,
// so that the group switches at that pass without further orders. A hold that is
// executed late makes this false again.
func IsReleased(reports []Report) bool {
	for _, r := range reports {
		if r.IsHeld || r.ArmedVersion == 0 || r.ArmedVersion != reports[0].ArmedVersion || r.ArmedPass != reports[0].ArmedPass {
			return false
		}
	}
	return true
}

// ReleaseOrders returns the orders that release a group that is held while no rank
// is armed, such as after a delayed hold.
func ReleaseOrders(reports []Report) []RankOrder {
	var orders []RankOrder
	for i, r := range reports {
		if r.ArmedVersion > 0 {
			return nil
		}
		if r.IsHeld {
			orders = append(orders, RankOrder{Rank: i, Order: Go{Pass: r.HeldPass}})
		}
	}
	return orders
}
