package ranks

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedGroup is a group of ranks that executes orders as the engines do. The
// answer to an order may be lost, and the order may be executed later.
type simulatedGroup struct {
	epoch     uint64
	pass      uint64
	ranks     []simulatedRank
	delayed   []RankOrder
	violation string // describes a pass that ran with two maps
	trace     []string
}

type simulatedRank struct {
	version, prepared, armed, armedPass, heldPass uint64
	highest                                       uint64 // the highest version prepared
	isHeld                                        bool
}

func (g *simulatedGroup) apply(order RankOrder) Result {
	result := g.execute(order)
	if _, ok := order.Order.(Probe); !ok {
		g.trace = append(g.trace, fmt.Sprintf("pass %d: rank %d: %T%+v: %v", g.pass, order.Rank, order.Order, order.Order, result))
	}
	return result
}

func (g *simulatedGroup) execute(order RankOrder) Result {
	r := &g.ranks[order.Rank]
	switch o := order.Order.(type) {
	case Prepare:
		if o.Version <= r.highest || r.armed > 0 {
			return Refused
		}
		r.prepared, r.highest = o.Version, o.Version
	case Hold:
		if o.Pass <= g.pass || (r.isHeld && r.heldPass != o.Pass) {
			return Refused
		}
		r.heldPass, r.isHeld = o.Pass, true
	case Arm:
		if r.prepared != o.Version || o.Pass <= g.pass {
			return Refused
		}
		r.armed, r.armedPass = o.Version, o.Pass
	case Probe:
		return Refused
	case Go:
		if !r.isHeld || r.heldPass != o.Pass {
			return Refused
		}
		r.isHeld = false
	}
	return Accepted
}

// advance starts the next pass unless a rank holds it.
func (g *simulatedGroup) advance() {
	for _, r := range g.ranks {
		if r.isHeld && r.heldPass == g.pass+1 {
			return
		}
	}
	g.pass++
	for i := range g.ranks {
		r := &g.ranks[i]
		if r.armed > 0 && r.armedPass == g.pass {
			r.version, r.armed, r.prepared = r.armed, 0, 0
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.violation = fmt.Sprintf("pass %d: maps %d and %d", g.pass, r.version, g.ranks[0].version)
		}
	}
}

func (g *simulatedGroup) reports() []Report {
	var out []Report
	for _, r := range g.ranks {
		out = append(out, Report{
			Epoch: g.epoch, Open: true, Pass: g.pass, MapVersion: r.version, PreparedVersion: r.prepared,
			ArmedVersion: r.armed, ArmedPass: r.armedPass, HeldPass: r.heldPass, IsHeld: r.isHeld,
		})
	}
	return out
}

// TestOneMapPerPass guards against two maps in one pass and against a group that
// stays held. Answers to orders are lost, orders are executed late, reports are
// stale, and the leader changes at any time.
func TestOneMapPerPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &simulatedGroup{epoch: 1, ranks: make([]simulatedRank, 4)}
		now := time.Unix(1000, 0)
		var history [][]Report
		firstReport := 0 // the first report that the current leader may use
		l := &simulatedLeader{}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			history = append(history, g.reports())
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				g.advance()
			case 3:
				if len(g.delayed) > 0 {
					i := rapid.IntRange(0, len(g.delayed)-1).Draw(t, "late")
					g.apply(g.delayed[i])
					g.delayed = append(g.delayed[:i], g.delayed[i+1:]...)
				}
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "replaced") == 0 {
					l, firstReport = &simulatedLeader{version: l.version}, len(history) // the leader changes
					g.trace = append(g.trace, "the leader changes")
				}
			default:
				at := len(history) - 1 - rapid.IntRange(0, 3).Draw(t, "age")
				if at < firstReport {
					continue
				}
				if l.runStep(t, g, history[at], now, true) {
					firstReport = len(history) // after settleTime
				}
			}
			if g.violation != "" {
				t.Fatalf("%s\n%s", g.violation, strings.Join(g.trace, "\n"))
			}
		}
		// Once orders are answered again, any started change ends and passes continue.
		for range 20 {
			now = now.Add(stableTime)
			l.runStep(t, g, g.reports(), now, false)
			g.advance()
		}
		before := g.pass
		for range 3 {
			now = now.Add(stableTime)
			g.advance()
			l.runStep(t, g, g.reports(), now, false)
		}
		if g.violation != "" || g.pass == before {
			t.Fatalf("pass %d, was %d before the last 3 rounds, violation %q, ranks %+v, version %d", g.pass, before, g.violation, g.ranks, l.version)
		}
	})
}

// simulatedLeader is a leader that changes the map of one group over and over.
type simulatedLeader struct {
	change   *Change
	version  uint64
	released uint64 // the latest pass that this leader has ordered to go
}

// runStep acts as the leader does in one round: it takes over, starts or continues a
// change. It reports whether it has released the group.
func (l *simulatedLeader) runStep(t *rapid.T, g *simulatedGroup, reports []Report, now time.Time, lossy bool) bool {
	if l.change == nil {
		target := Target{Version: UnfinishedVersion(reports)}
		release := ReleaseOrders(reports)
		switch {
		case IsReleased(reports):
			return false
		case target.Version > 0:
		case len(release) > 0:
			for _, order := range release {
				l.released = max(l.released, order.Order.(Go).Pass)
				g.send(t, order, lossy)
			}
			return true
		case isSettled(reports):
			l.version++
			target = Target{Version: l.version, Map: Map{}}
		default:
			return false
		}
		l.change = NewChange(g.epoch, target, len(g.ranks))
		l.change.ReleasedPass = l.released
	}
	c := l.change
	c.Observe(reports)
	for range maxOrderRounds {
		orders := c.Next(now)
		if len(orders) == 0 {
			break
		}
		answered := true
		for _, order := range orders {
			result := g.send(t, order, lossy)
			c.HandleResult(now, order, result)
			answered = answered && result != Unanswered
		}
		if !answered {
			break
		}
	}
	l.released = max(l.released, c.ReleasedPass)
	if c.Stage() == Switched || c.Stage() == Lost {
		l.change = nil
	}
	return l.change == nil
}

// send has a rank execute an order. If lossy is set, the order may be executed later,
// or its answer be lost.
func (g *simulatedGroup) send(t *rapid.T, order RankOrder, lossy bool) Result {
	switch {
	case !lossy || rapid.IntRange(0, 3).Draw(t, "answer") > 0:
		return g.apply(order)
	case rapid.Bool().Draw(t, "executed later"):
		g.delayed = append(g.delayed, order)
		g.trace = append(g.trace, fmt.Sprintf("pass %d: rank %d: %T%+v: will be executed later", g.pass, order.Rank, order.Order, order.Order))
	default:
		g.apply(order) // only the answer is lost
	}
	return Unanswered
}

// TestManyRanks guards against a change of a large group that waits until all ranks
// answer the same round of orders: with 96 ranks that leave one order in twenty
// unanswered, that takes a hundred rounds.
func TestManyRanks(t *testing.T) {
	const (
		size  = 96
		round = 100 * time.Millisecond
		bound = 2 * time.Second
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := &simulatedGroup{epoch: 1, pass: 1, ranks: make([]simulatedRank, size)}
		c := NewChange(1, Target{Version: 1, Map: Map{}}, size)
		now := time.Unix(1000, 0)
		end := now.Add(bound)
		for c.Stage() != Switched && now.Before(end) {
			c.Observe(g.reports())
			for range maxOrderRounds {
				answered := true
				orders := c.Next(now)
				for _, order := range orders {
					result := Unanswered
					if random.IntN(20) > 0 {
						result = g.apply(order)
					}
					c.HandleResult(now, order, result)
					answered = answered && result != Unanswered
				}
				if len(orders) == 0 || !answered {
					break
				}
			}
			now = now.Add(round)
			g.advance()
		}
		if c.Stage() != Switched || g.violation != "" {
			t.Errorf("seed %d: stage %v after %v, %s", seed, c.Stage(), bound, g.violation)
		}
	}
}
