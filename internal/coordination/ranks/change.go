package ranks

import "time"

//go:generate go tool stringer -type=Stage,Result -linecomment -output=ranks_string.go

const (
	// lead is the number of passes between the newest one known and the one
	// that a change holds. A pass takes 25 ms or more; the probe, the hold and
	// the arms take about 10 ms each, so that the group rarely has to wait. While
	// it lasts, passes are as slow as before the change.
	lead = 3
	// leadStep is added each time a hold was refused because its pass had begun,
	// as with reports from afar, which are 200 ms old.
	leadStep = 4
	// copyTimeout is the time after which a copy that was ordered is ordered
	// again. A rank copies for up to two seconds.
	copyTimeout = 4 * time.Second
	// copyRetry is the time after which a copy is ordered again whose order got no
	// answer. The one of them that comes late is refused.
	copyRetry = 100 * time.Millisecond
	// calmTime is how long every order must have been answered before a group
	// is held: a hold lasts until all ranks are armed, and orders without an
	// answer prolong it. While a group waits, its passes are slow.
	calmTime = 300 * time.Millisecond
	// probeTime is how long the answers to a probe count: the hold follows at
	// once.
	probeTime = 150 * time.Millisecond
)

// Stage says how far a change has come.
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

// The results. An order without an answer may be carried out later.
const (
	Unanswered Result = iota // unanswered
	Accepted                 // accepted
	Refused                  // refused
)

// Target is the map that a group should change to. A keeper that takes over a
// change that another one began knows its version only.
type Target struct {
	Version uint64
	Map     Map
}

// RankOrder is an order and the index of the rank that it is for.
type RankOrder struct {
	Rank  int
	Order Order
}

// Change brings one group to another map. What a rank has accepted or reported
// stands: within an epoch nothing is taken back. It is not safe for use by
// several goroutines. Use NewChange.
type Change struct {
	Epoch  uint64
	Target Target
	stage  Stage
	ranks  []rankState
	pass   uint64 // the newest known
	tries  uint64 // holds that were refused
	holder int    // the rank that holds, or -1
	held   uint64
	// armedFor is the pass that a rank is armed for, or 0.
	armedFor uint64
	missed   time.Time // of the last order without an answer
	probed   time.Time // of the last probe of all ranks
}

type rankState struct {
	prepared bool
	armed    bool
	ordered  time.Time // of the last prepare
}

// NewChange returns a change of a group with a number of ranks.
func NewChange(epoch uint64, target Target, size int) *Change {
	return &Change{Epoch: epoch, Target: target, ranks: make([]rankState, size), holder: -1}
}

// Stage returns how far the change has come.
func (c *Change) Stage() Stage { return c.stage }

// MustComplete says that a rank is held or armed, so that the change must be
// completed.
func (c *Change) MustComplete() bool { return c.stage == Arming || c.stage == Going }

// Observe takes the reports of all ranks, which may be some hundred
// milliseconds old.
func (c *Change) Observe(reports []Report) {
	switched := 0
	for i, r := range reports {
		if r.Epoch != c.Epoch || !r.Open {
			c.stage = Lost
			return
		}
		s := &c.ranks[i]
		s.prepared = s.prepared || r.PreparedVersion == c.Target.Version || r.MapVersion == c.Target.Version
		if r.ArmedVersion == c.Target.Version {
			s.armed, c.armedFor = true, r.ArmedPass
		}
		c.pass = max(c.pass, r.Pass)
		if r.MapVersion == c.Target.Version {
			switched++
		}
		if r.IsHeld && c.holder < 0 {
			c.holder, c.held = i, r.HeldPass
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
	case !c.all(func(s rankState) bool { return s.prepared }):
		c.stage = Preparing
		return c.prepare(now)
	case c.holder < 0 && c.armedFor > 0:
		return c.rejoin()
	case c.holder < 0:
		if now.Sub(c.missed) < calmTime {
			return nil
		}
		c.stage = Holding
		if now.Sub(c.probed) >= probeTime {
			return c.probe(now)
		}
		return []RankOrder{{Rank: 0, Order: Hold{Pass: c.pass + lead + c.tries*leadStep}}}
	case !c.all(func(s rankState) bool { return s.armed }):
		c.stage = Arming
		return c.arm()
	}
	c.stage = Going
	return []RankOrder{{Rank: c.holder, Order: Go{Pass: c.held}}}
}

// probe asks every rank for an answer. A group whose rank answers no orders
// would stay held until it does.
func (c *Change) probe(now time.Time) []RankOrder {
	c.probed = now
	orders := make([]RankOrder, len(c.ranks))
	for i := range c.ranks {
		orders[i] = RankOrder{Rank: i, Order: Probe{}}
	}
	return orders
}

// rejoin goes on with a change of another keeper whose ranks are armed. If all
// are, the group was let go and has not reached the pass yet.
func (c *Change) rejoin() []RankOrder {
	if c.all(func(s rankState) bool { return s.armed }) {
		return nil
	}
	c.stage = Arming
	return []RankOrder{{Rank: 0, Order: Hold{Pass: c.armedFor}}}
}

func (c *Change) all(holds func(rankState) bool) bool {
	for _, s := range c.ranks {
		if !holds(s) {
			return false
		}
	}
	return true
}

func (c *Change) prepare(now time.Time) []RankOrder {
	var orders []RankOrder
	for i, s := range c.ranks {
		if !s.prepared && c.Target.Map != nil && now.Sub(s.ordered) >= copyTimeout {
			orders = append(orders, RankOrder{Rank: i, Order: Prepare{Version: c.Target.Version, Map: c.Target.Map}})
		}
	}
	return orders
}

func (c *Change) arm() []RankOrder {
	var orders []RankOrder
	for i, s := range c.ranks {
		if !s.armed {
			orders = append(orders, RankOrder{Rank: i, Order: Arm{Version: c.Target.Version, Pass: c.held}})
		}
	}
	return orders
}

// HandleResult takes the answer to an order.
func (c *Change) HandleResult(now time.Time, d RankOrder, result Result) {
	s := &c.ranks[d.Rank]
	if result == Unanswered {
		c.missed = now
	}
	switch o := d.Order.(type) {
	case Prepare:
		switch result {
		case Accepted:
			s.ordered = now
		case Unanswered:
			s.ordered = now.Add(copyRetry - copyTimeout)
		case Refused: // a rank that is still armed for the last change
		}
	case Hold:
		switch result {
		case Accepted:
			c.holder, c.held = d.Rank, o.Pass
		case Refused:
			c.tries++
		}
	case Arm:
		s.armed = s.armed || result == Accepted
	case Go:
		if result == Accepted {
			c.stage = Switched
		}
	}
}

// UnfinishedVersion returns the version of a change that another keeper has begun and
// all ranks have prepared, or 0 if there is none.
func UnfinishedVersion(reports []Report) (version uint64) {
	begun := false
	for i, r := range reports {
		begun = begun || r.IsHeld || r.ArmedVersion > 0
		if r.PreparedVersion == 0 || r.PreparedVersion == r.MapVersion || (i > 0 && r.PreparedVersion != version) {
			return 0
		}
		version = r.PreparedVersion
	}
	if !begun {
		return 0
	}
	return version
}

// ReleaseOrders returns the orders that release a group which is held though no rank
// is armed, as after a hold that came late.
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
