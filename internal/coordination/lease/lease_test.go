package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a control group and its nodes with a common reference clock. The
// test chooses all delays, losses and freezes: a message that is not picked is
// delayed, and one that is never picked is lost.
type simulation struct {
	now      time.Duration
	revision uint64       // committed
	leaders  []*simLeader // by term; only the newest leads
	nodes    []*simNode
	requests []request
	pending  []confirmed
	answers  []response
}

type simLeader struct {
	clock float64
	table *Table
}

type simNode struct {
	node    Node
	clock   float64
	running uint64
	holder  Holder
}

// request is a renewal that has been sent and not yet received.
type request struct {
	node    *simNode
	sent    time.Time
	running uint64
}

// confirmed is a renewal that a quorum has confirmed and that the leader has not
// answered yet, for example because it is frozen.
type confirmed struct {
	request
	leader   *simLeader
	revision uint64 // committed when the leader was last confirmed
	deposed  bool
}

type response struct {
	request
	revision uint64
}

func at(clock float64, now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * clock))
}

// TestInForceIsTrue guards against a revision being reported as in force while a
// node may still accept work under an older one, for any order of lost and
// delayed messages, commits, leader changes, and freezes of nodes and leaders,
// with clocks whose rates differ by up to 5 %.
func TestInForceIsTrue(t *testing.T) {
	// One check runs 100 schedules. With a margin of 0, 16 to 20 of the 20
	// checks fail.
	for i := range 20 {
		t.Run(fmt.Sprint(i), rapid.MakeCheck(checkSchedule))
	}
}

func checkSchedule(t *rapid.T) {
	rate := rapid.SampledFrom([]float64{0.976, 1, 1.024})
	s := &simulation{revision: 1}
	for i := range 3 {
		s.nodes = append(s.nodes, &simNode{node: Node{ID: fmt.Sprint(i)}, clock: rate.Draw(t, "clock")})
	}
	elect := func(t *rapid.T) {
		clock := rate.Draw(t, "leader clock")
		for i := range s.pending {
			s.pending[i].deposed = true
		}
		s.leaders = append(s.leaders, &simLeader{clock: clock, table: NewTable(DefaultTiming(), at(clock, s.now))})
	}
	elect(t)
	t.Repeat(map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{1, 20, 150, 500, 3000}).Draw(t, "ms")
			s.now += time.Duration(ms) * time.Millisecond
		},
		"send": func(t *rapid.T) {
			n := rapid.SampledFrom(s.nodes).Draw(t, "node")
			s.requests = append(s.requests, request{node: n, sent: at(n.clock, s.now), running: n.running})
		},
		"confirm": func(t *rapid.T) {
			r := take(t, &s.requests)
			s.pending = append(s.pending, confirmed{request: r, leader: s.leaders[len(s.leaders)-1], revision: s.revision})
		},
		"grant": func(t *rapid.T) {
			c := take(t, &s.pending)
			if !c.deposed {
				c.revision = s.revision
			}
			c.leader.table.Grant(at(c.leader.clock, s.now), c.node.node, c.running, c.revision)
			s.answers = append(s.answers, response{request: c.request, revision: c.revision})
		},
		"answer": func(t *rapid.T) {
			r := take(t, &s.answers)
			if r.revision < r.node.running {
				return // as in package membership: a node never returns to a lower revision
			}
			r.node.running = r.revision
			r.node.holder.Granted(r.sent, DefaultDuration)
		},
		"commit": func(t *rapid.T) { s.revision++ },
		"elect":  elect,
		"expire": func(t *rapid.T) {
			l := s.leaders[len(s.leaders)-1]
			l.table.Expire(at(l.clock, s.now))
		},
		"": func(t *rapid.T) {
			l := s.leaders[len(s.leaders)-1]
			if !l.table.InForce(at(l.clock, s.now), s.revision) {
				return
			}
			for _, n := range s.nodes {
				if n.running < s.revision && n.holder.IsHeld(at(n.clock, s.now)) {
					t.Fatalf("revision %d is reported as in force, but node %s may accept work under %d for another %v",
						s.revision, n.node.ID, n.running, n.holder.Remaining(at(n.clock, s.now)))
				}
			}
		},
	})
}

// take removes and returns a message, which need not be the oldest one.
func take[T any](t *rapid.T, list *[]T) T {
	if len(*list) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	m := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return m
}

// TestInForceInTime guards against a revision being reported as in force never,
// or later than 3.15 s after the last lease on an older revision was granted.
func TestInForceInTime(t *testing.T) {
	const total = 3150 * time.Millisecond
	silent, alive := Node{ID: "silent"}, Node{ID: "alive"}
	table := NewTable(DefaultTiming(), epoch)
	table.Grant(epoch, silent, 1, 1)
	table.Grant(epoch.Add(4*time.Second), silent, 1, 1)
	table.Grant(epoch.Add(4*time.Second), alive, 1, 1)
	last := epoch.Add(4 * time.Second)
	// The leader answers with revision 2. The silent node never reports it, since
	// messages are lost.
	table.Grant(last.Add(500*time.Millisecond), silent, 1, 2)
	table.Grant(last.Add(500*time.Millisecond), alive, 1, 2)
	table.Grant(last.Add(time.Second), alive, 2, 2)
	tests := map[string]struct {
		at   time.Time
		want bool
	}{
		"one node may hold an old lease": {last.Add(total - time.Millisecond), false},
		"its last old lease has expired": {last.Add(total), true},
	}
	for name, test := range tests {
		if got := table.InForce(test.at, 2); got != test.want {
			t.Errorf("%s: in force %v, want %v", name, got, test.want)
		}
	}
	if NewTable(DefaultTiming(), epoch).InForce(epoch.Add(total-1), 1) {
		t.Error("a new leader reports a revision as in force before earlier leases have expired")
	}
	if !NewTable(DefaultTiming(), epoch).InForce(epoch.Add(total), 1) {
		t.Error("a new leader without nodes never reports a revision as in force")
	}
}

// TestHolderCountsWallClock guards against a lease that has expired by the wall
// clock and is still held after a suspended machine resumes: its monotonic clock
// stops while the wall clock continues.
func TestHolderCountsWallClock(t *testing.T) {
	now := time.Now()
	var h Holder
	if h.IsHeld(now) {
		t.Error("the zero value holds a lease")
	}
	h.Granted(now, DefaultDuration)
	if !h.IsHeld(now.Add(DefaultDuration - 1)) {
		t.Error("the lease ends too early")
	}
	if h.IsHeld(now.Add(DefaultDuration)) {
		t.Error("the lease ends too late")
	}
	if h.IsHeld(now.Round(0).Add(time.Hour)) {
		t.Error("the lease is held after it has expired by the wall clock")
	}
	h.Granted(now.Add(-time.Second), DefaultDuration)
	if !h.IsHeld(now.Add(DefaultDuration - 1)) {
		t.Error("an answer to an older renewal shortens the lease")
	}
}
