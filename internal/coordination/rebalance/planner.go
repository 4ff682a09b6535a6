package rebalance

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the cause for keeping a placement. Its string is meant as the
// value of a counter's reason tag.
type Reason uint8

const (
	Balanced   Reason = iota // balanced
	ChangeOpen               // change_open
	NoPayback                // no_payback
	NoMove                   // no_move
	NoBudget                 // no_budget
	BadInput                 // bad_input
)

// Config holds the limits and costs of a planner.
type Config struct {
	Experts int
	Ranks   int
	// Slots is the number of experts that fit on a rank.
	Slots int
	// SmoothingFactor is the weight of a new measurement in the average
	// popularity, in (0, 1].
	SmoothingFactor float64
	// HighSkew is the skew above which a plan is made; LowSkew is the skew that
	// the plan aims for.
	HighSkew, LowSkew float64
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes uint64
	// StoreBytesPerSecond is the share of the weight store's rate that the
	// group may use; BurstBytes is the greatest unused allowance.
	StoreBytesPerSecond uint64
	BurstBytes          uint64
	// ExpertTime is the fraction of the step time that grows with the load of
	// the busiest rank, at a skew of 1.
	ExpertTime float64
	// HoldSteps is the number of steps that a group holds at a switch.
	HoldSteps float64
	// LoadSlowdown is the fraction by which loading weights lengthens a step.
	LoadSlowdown float64
	// Horizon is the time within which a new placement must recover its cost.
	Horizon time.Duration
}

// DefaultConfig returns the configuration for 128 experts per layer.
func DefaultConfig(ranks int) Config {
	return Config{
		Experts: 128, Ranks: ranks, Slots: max(4, 256/max(ranks, 1)),
		SmoothingFactor: 0.8,
		HighSkew:        1.05, LowSkew: 1.02,
		ExpertBytes:         44 << 20,
		StoreBytesPerSecond: 200 << 20, BurstBytes: 4 << 30,
		ExpertTime: 0.5, HoldSteps: 2, LoadSlowdown: 0.02,
		Horizon: 2 * time.Minute,
	}
}

// Check returns a bad_settings fault for a configuration that cannot work.
func (c Config) Check() error {
	switch {
	case c.Experts < 1 || c.Ranks < 1 || c.Slots < 1:
		return fault.New(fault.BadSettings, "rebalance: experts, ranks and slots must be positive")
	case c.Slots > c.Experts:
		return fault.New(fault.BadSettings, "rebalance: %d slots per rank are more than %d experts", c.Slots, c.Experts)
	case c.Ranks*c.Slots < c.Experts:
		return fault.New(fault.BadSettings, "rebalance: %d slots in total are too few for %d experts", c.Ranks*c.Slots, c.Experts)
	case c.LowSkew < 1 || c.HighSkew < c.LowSkew:
		return fault.New(fault.BadSettings, "rebalance: low skew %g must be at least 1 and at most the high skew %g", c.LowSkew, c.HighSkew)
	case c.SmoothingFactor <= 0 || c.SmoothingFactor > 1:
		return fault.New(fault.BadSettings, "rebalance: smoothing factor %g is not in (0, 1]", c.SmoothingFactor)
	case c.StoreBytesPerSecond == 0 || c.ExpertBytes == 0:
		return fault.New(fault.BadSettings, "rebalance: the size of an expert and the rate of the store must be positive")
	}
	return nil
}

// Input is an event for a planner: Measured or Settled.
type Input interface{ input() }

// Measured reports the tokens routed to each expert since the last measurement
// and the current time of a step.
type Measured struct {
	Tokens   []uint64
	StepTime time.Duration
}

// Settled reports how the proposed change ended.
type Settled struct{ Committed bool }

func (Measured) input() {}
func (Settled) input()  {}

// Effect is what a planner decides: Propose or Keep.
type Effect interface{ effect() }

// Propose asks for a change of the group's map.
type Propose struct {
	Placement Placement
	// Weights is the number of experts whose weights are loaded, Bytes their
	// size.
	Weights int
	Bytes   uint64
	// SkewBefore and SkewAfter are computed from the averaged popularity.
	SkewBefore, SkewAfter float64
	// Gain is the step time saved over the horizon, Cost the time lost by the
	// change.
	Gain, Cost time.Duration
}

// Keep leaves the placement as it is, for Reason.
type Keep struct {
	Reason Reason
	Skew   float64
}

func (Propose) effect() {}
func (Keep) effect()    {}

// Planner decides on the placement of one layer of a group. It is not safe for
// concurrent use.
type Planner struct {
	cfg        Config
	popularity Popularity
	current    Placement
	proposed   Placement // nil unless a change is open
	allowance  float64   // bytes
	refilled   time.Time
}

// New returns a planner with a placement for equal popularity.
func New(cfg Config) (*Planner, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Planner{
		cfg:        cfg,
		popularity: Popularity{SmoothingFactor: cfg.SmoothingFactor},
		current:    FromScratch(nil, cfg.Experts, cfg.Ranks, cfg.Slots),
		allowance:  float64(cfg.BurstBytes),
	}, nil
}

// Resume sets the placement in use when a new leader takes over. It returns a
// bad_request fault and changes nothing if the placement does not fit the
// configuration.
func (p *Planner) Resume(current Placement) error {
	if len(current) != p.cfg.Ranks || !current.Valid(p.cfg.Experts, p.cfg.Slots) {
		return fault.New(fault.BadRequest, "rebalance: the placement does not fit %d ranks with %d slots", p.cfg.Ranks, p.cfg.Slots)
	}
	p.current, p.proposed = current.Clone(), nil
	return nil
}

// Placement returns the placement in use. The caller must not change it.
func (p *Planner) Placement() Placement { return p.current }

// Step applies an input that arrived at time now and returns the decision.
func (p *Planner) Step(now time.Time, in Input) []Effect {
	switch in := in.(type) {
	case Settled:
		if in.Committed && p.proposed != nil {
			p.current = p.proposed
		}
		p.proposed = nil
		return nil
	case Measured:
		if len(in.Tokens) != p.cfg.Experts || in.StepTime <= 0 {
			return []Effect{Keep{Reason: BadInput}}
		}
		p.popularity.Observe(in.Tokens)
		p.refill(now)
		return []Effect{p.plan(in.StepTime)}
	}
	return nil
}

func (p *Planner) refill(now time.Time) {
	if !p.refilled.IsZero() {
		p.allowance += now.Sub(p.refilled).Seconds() * float64(p.cfg.StoreBytesPerSecond)
		p.allowance = min(p.allowance, float64(p.cfg.BurstBytes))
	}
	p.refilled = now
}

func (p *Planner) plan(stepTime time.Duration) Effect {
	shares := p.popularity.Shares()
	if shares == nil {
		return Keep{Reason: BadInput}
	}
	skew := p.current.Skew(shares)
	budget := int(p.allowance / float64(p.cfg.ExpertBytes))
	switch {
	case p.proposed != nil:
		return Keep{Reason: ChangeOpen, Skew: skew}
	case skew <= p.cfg.HighSkew:
		return Keep{Reason: Balanced, Skew: skew}
	case budget < 1:
		return Keep{Reason: NoBudget, Skew: skew}
	}
	moves, points := Improve(p.current, shares, p.cfg.Slots, budget, p.cfg.LowSkew)
	if len(moves) == 0 {
		return Keep{Reason: NoMove, Skew: skew}
	}
	best, net := points[0], 0.0
	for _, pt := range points[1:] {
		if n := p.gain(skew, pt.Skew) - p.cost(pt.Weights, stepTime); n > net {
			best, net = pt, n
		}
	}
	if best.Moves == 0 {
		return Keep{Reason: NoPayback, Skew: skew}
	}
	return p.propose(moves[:best.Moves], skew, stepTime)
}

func (p *Planner) propose(moves []Move, skew float64, stepTime time.Duration) Effect {
	next := p.current.Apply(moves)
	weights := p.current.Moved(next)
	after := next.Skew(p.popularity.Shares())
	p.proposed = next
	p.allowance -= float64(weights) * float64(p.cfg.ExpertBytes)
	return Propose{
		Placement: next, Weights: weights, Bytes: uint64(weights) * p.cfg.ExpertBytes,
		SkewBefore: skew, SkewAfter: after,
		Gain: seconds(p.gain(skew, after)), Cost: seconds(p.cost(weights, stepTime)),
	}
}

// gain returns the seconds saved over the horizon when the skew falls from before
// to after. Only the fraction ExpertTime of a step grows with the skew.
func (p *Planner) gain(before, after float64) float64 {
	x := p.cfg.ExpertTime
	return p.cfg.Horizon.Seconds() * x * (before - after) / (1 - x + x*before)
}

// cost returns the seconds lost by a change: steps for which the group holds at
// the switch, and slower steps while weights load.
func (p *Planner) cost(weights int, stepTime time.Duration) float64 {
	load := float64(weights) * float64(p.cfg.ExpertBytes) / float64(p.cfg.StoreBytesPerSecond)
	return p.cfg.HoldSteps*stepTime.Seconds() + p.cfg.LoadSlowdown*load
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
