package ranks

import (
	"fmt"
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
}

type simulatedRank struct {
	version, prepared, armed, armedPass, held uint64
	highest                                   uint64
	isHeld                                    bool
}

func (e *simulatedGroup) apply(d RankOrder) Result {
	r := &e.ranks[d.Rank]
	switch o := d.Order.(type) {
	case Prepare:
		if o.Version <= r.highest || r.armed > 0 {
			return Refused
		}
		r.prepared, r.highest = o.Version, o.Version
	case Hold:
		if o.Pass <= e.pass || (r.isHeld && r.held != o.Pass) {
			return Refused
		}
		r.held, r.isHeld = o.Pass, true
	case Arm:
		if r.prepared != o.Version || o.Pass <= e.pass {
			return Refused
		}
		r.armed, r.armedPass = o.Version, o.Pass
	case Probe:
		return Refused
	case Go:
		if !r.isHeld || r.held != o.Pass {
			return Refused
		}
		r.isHeld = false
	}
	return Accepted
}

// advance starts the next pass unless a rank holds it.
func (e *simulatedGroup) advance() {
	for _, r := range e.ranks {
		if r.isHeld && r.held == e.pass+1 {
			return
		}
	}
	e.pass++
	for i := range e.ranks {
		r := &e.ranks[i]
		if r.armed > 0 && r.armedPass == e.pass {
			r.version, r.armed, r.prepared = r.armed, 0, 0
		}
	}
	for _, r := range e.ranks {
		if r.version != e.ranks[0].version {
			e.violation = fmt.Sprintf("pass %d: maps %d and %d", e.pass, r.version, e.ranks[0].version)
		}
	}
}

func (e *simulatedGroup) reports() []Report {
	var out []Report
	for _, r := range e.ranks {
		out = append(out, Report{
			Epoch: e.epoch, Open: true, Pass: e.pass, MapVersion: r.version, PreparedVersion: r.prepared,
			ArmedVersion: r.armed, ArmedPass: r.armedPass, HeldPass: r.held, IsHeld: r.isHeld,
		})
	}
	return out
}

// TestOneMapPerPass guards against two maps in one pass and against a group that
// stays held. Answers to orders are lost, orders are executed late, reports are
// stale, and the leader changes at any time.
func TestOneMapPerPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &simulatedGroup{epoch: 1, ranks: make([]simulatedRank, 4)}
		now := time.Unix(1000, 0)
		var history [][]Report
		firstReport := 0 // the first report that the current leader may use
		version := uint64(0)
		var c *Change
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			history = append(history, e.reports())
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				e.advance()
			case 3:
				if len(e.delayed) > 0 {
					i := rapid.IntRange(0, len(e.delayed)-1).Draw(t, "late")
					e.apply(e.delayed[i])
					e.delayed = append(e.delayed[:i], e.delayed[i+1:]...)
				}
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "replaced") == 0 {
					c, firstReport = nil, len(history) // the leader changes
				}
			default:
				at := len(history) - 1 - rapid.IntRange(0, 3).Draw(t, "age")
				if at < firstReport {
					continue
				}
				reports := history[at]
				c, version = runStep(t, e, c, reports, version, now, true)
			}
			if e.violation != "" {
				t.Fatal(e.violation)
			}
		}
		// Once orders are answered again, any started change ends and passes continue.
		for range 20 {
			now = now.Add(stableTime)
			c, version = runStep(t, e, c, e.reports(), version, now, false)
			e.advance()
		}
		before := e.pass
		for range 3 {
			e.advance()
			c, version = runStep(t, e, c, e.reports(), version, now.Add(stableTime), false)
		}
		if e.violation != "" || (e.pass == before && c == nil) {
			t.Fatalf("pass %d, was %d before the last 3 rounds, violation %q, ranks %+v, version %d", e.pass, before, e.violation, e.ranks, version)
		}
	})
}

// runStep acts as the leader does in one round: it takes over, starts or continues a
// change.
func runStep(t *rapid.T, e *simulatedGroup, c *Change, reports []Report, version uint64, now time.Time, lossy bool) (*Change, uint64) {
	if c == nil {
		if v := UnfinishedVersion(reports); v > 0 {
			c = NewChange(e.epoch, Target{Version: v}, len(e.ranks))
		} else if left := ReleaseOrders(reports); len(left) > 0 {
			for _, d := range left {
				e.apply(d)
			}
			return nil, version
		} else if isSettled(reports) {
			version++
			c = NewChange(e.epoch, Target{Version: version, Map: Map{}}, len(e.ranks))
		} else {
			return nil, version
		}
	}
	c.Observe(reports)
	for range maxOrderRounds {
		orders := c.Next(now)
		if len(orders) == 0 {
			break
		}
		answered := true
		for _, d := range orders {
			result := Unanswered
			if !lossy || rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
				result = e.apply(d)
			} else if rapid.Bool().Draw(t, "executed later") {
				e.delayed = append(e.delayed, d)
			} else {
				e.apply(d) // only the answer is lost
			}
			c.HandleResult(now, d, result)
			answered = answered && result != Unanswered
		}
		if !answered {
			break
		}
	}
	if c.Stage() == Switched || c.Stage() == Lost {
		return nil, version
	}
	return c, version
}
