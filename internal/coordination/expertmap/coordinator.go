package expertmap

import (
	"maps"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason says why a change ended or was not begun, or why an order was not
// forwarded. Its string is the value of the counters' reason tag.
type Reason uint8

const (
	Committed        Reason = iota // committed
	LeaderChange                   // leader_change
	StageTimeout                   // stage_timeout
	PromiseTimeout                 // promise_timeout
	StepPassed                     // step_passed
	RankRestarted                  // rank_restarted
	ChangeOpen                     // change_open
	BadPlacement                   // bad_placement
	RanksDiffer                    // ranks_differ
	WrongIncarnation               // wrong_incarnation
	FencingUnknown                 // fencing_unknown
	StaleFencing                   // stale_fencing
	StaleVersion                   // stale_version
	EngineUnknown                  // engine_unknown
	MissedSwitch                   // missed_switch
)

// Config holds the timeouts and margins of a coordinator. All are positive.
type Config struct {
	// StageTimeout bounds the loading of weights.
	StageTimeout time.Duration
	// PromiseTimeout bounds the wait for promises, and with it the time that
	// a group holds at the switch step for a change that fails.
	PromiseTimeout time.Duration
	// Margin is the time by which the switch step lies ahead of the steps that
	// the ranks have reached. They do not hold if the decision arrives within it.
	Margin time.Duration
	// MinMarginSteps is the lower bound of the margin, in steps.
	MinMarginSteps uint64
	// DefaultStepTime is used when no rank reports a step time.
	DefaultStepTime time.Duration
	// DecideRetry is the interval at which an undecided decision is proposed
	// again.
	DecideRetry time.Duration
}

// DefaultConfig returns the times for renewals every 0.5 s. A change then
// needs up to two renewals between the choice of the switch step and its
// decision, and a third one to announce the decision.
func DefaultConfig() Config {
	return Config{
		StageTimeout:    2 * time.Minute,
		PromiseTimeout:  2 * time.Second,
		Margin:          2 * time.Second,
		MinMarginSteps:  4,
		DefaultStepTime: 20 * time.Millisecond,
		DecideRetry:     time.Second,
	}
}

// Input is an event for a coordinator: Tick, Applied, Proposed or Reported.
type Input interface{ input() }

// Tick triggers the checks of timeouts and retries.
type Tick struct{}

// Applied gives the record of a group after a decision was applied from the
// log, whether or not it changed the record.
type Applied struct{ Record Record }

// Proposed requests a change to a new map.
type Proposed struct {
	Group     string
	Placement []*peer.RankPlacement
}

// Reported gives the acknowledgements of a renewal.
type Reported struct{ Acks []*peer.GroupAck }

func (Tick) input()     {}
func (Applied) input()  {}
func (Proposed) input() {}
func (Reported) input() {}

// Effect is an output of a coordinator: Decide, Opened, Finished or Refused.
type Effect interface{ effect() }

// Decide requests that a decision be proposed to the log. It is repeated until
// the record shows that the version is decided.
type Decide struct{ Decision Decision }

// Opened reports that a proposed change has begun.
type Opened struct {
	Group            string
	Version, Fencing uint64
}

// Finished reports that a change was decided.
type Finished struct {
	Group   string
	Version uint64
	// Reason is Committed, or why the change was abandoned.
	Reason Reason
}

// Refused reports that a proposal was rejected.
type Refused struct {
	Group  string
	Reason Reason
}

func (Decide) effect()   {}
func (Opened) effect()   {}
func (Finished) effect() {}
func (Refused) effect()  {}

// Coordinator runs the map changes of all groups of a region during one
// leadership. It is not safe for concurrent use.
type Coordinator struct {
	cfg    Config
	groups map[string]*group
}

// New returns a coordinator for a replica that has become leader. The records
// are those of all groups, read after the leader has applied every entry of
// earlier terms.
func New(cfg Config, records []Record) *Coordinator {
	c := &Coordinator{cfg: cfg, groups: map[string]*group{}}
	for _, r := range records {
		c.groups[r.Group] = newGroup(r)
	}
	return c
}

// Step processes an input and returns the resulting effects.
func (c *Coordinator) Step(now time.Time, in Input) []Effect {
	var effects []Effect
	switch in := in.(type) {
	case Tick:
		for _, name := range slices.Sorted(maps.Keys(c.groups)) {
			effects = append(effects, c.groups[name].tick(c.cfg, now)...)
		}
	case Applied:
		g := c.group(in.Record.Group)
		effects = g.applied(in.Record)
		effects = append(effects, g.tick(c.cfg, now)...)
	case Proposed:
		g := c.group(in.Group)
		effects = g.propose(now, in.Placement)
		effects = append(effects, g.tick(c.cfg, now)...)
	case Reported:
		for _, ack := range in.Acks {
			g := c.group(ack.Group)
			g.report(now, ack)
			effects = append(effects, g.tick(c.cfg, now)...)
		}
	}
	return effects
}

// Orders returns the orders for backend servers that run ranks. Leadership
// must have been confirmed with a quorum after the last report of these
// backend servers was passed to Step.
func (c *Coordinator) Orders(servers []*peer.BackendServer) []*peer.GroupOrder {
	var orders []*peer.GroupOrder
	for _, s := range servers {
		if s.Group == "" {
			continue
		}
		if o := c.group(s.Group).order(s.Ranks, s.Incarnation); o != nil {
			orders = append(orders, o)
		}
	}
	return orders
}

// Record returns the newest record of a group passed to the coordinator.
func (c *Coordinator) Record(name string) Record { return c.group(name).record }

func (c *Coordinator) group(name string) *group {
	g := c.groups[name]
	if g == nil {
		g = newGroup(Record{Group: name})
		c.groups[name] = g
	}
	return g
}
