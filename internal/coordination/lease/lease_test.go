package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a control group and its nodes under a true clock. All delays,
// losses and freezes are choices of the test: a message that is not picked is
// late, and one that is never picked is lost.
type world struct {
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

// request is a renewal on its way, confirmed one that a quorum has confirmed
// and that the leader has not answered yet, for example because it is frozen.
type request struct {
	node    *simNode
	sent    time.Time
	running uint64
}

type confirmed struct {
	request
	leader   *simLeader
	revision uint64 // committed when the leader was last known to lead
	deposed  bool
}

type response struct {
	request
	revision uint64
}

func at(clock float64, now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * clock))
}

// Guards against a revision that is reported as in force while a node may
// still work under an older one, for any order of lost and late messages,
// commits, leader changes, and freezes of nodes and leaders, with clocks whose
// rates differ by up to 5 %.
func TestInForceIsTrue(t *testing.T) {
	// One check makes 100 schedules. With a margin of 0, 16 to 20 of the 20
	// checks fail.
	for i := range 20 {
		t.Run(fmt.Sprint(i), rapid.MakeCheck(checkSchedule))
	}
}

func checkSchedule(t *rapid.T) {
	rate := rapid.SampledFrom([]float64{0.976, 1, 1.024})
	w := &world{revision: 1}
	for i := range 3 {
		w.nodes = append(w.nodes, &simNode{node: Node{ID: fmt.Sprint(i)}, clock: rate.Draw(t, "clock")})
	}
	elect := func(t *rapid.T) {
		clock := rate.Draw(t, "leader clock")
		for i := range w.pending {
			w.pending[i].deposed = true
		}
		w.leaders = append(w.leaders, &simLeader{clock: clock, table: NewTable(DefaultTiming(), at(clock, w.now))})
	}
	elect(t)
	t.Repeat(map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{1, 20, 150, 500, 3000}).Draw(t, "ms")
			w.now += time.Duration(ms) * time.Millisecond
		},
		"send": func(t *rapid.T) {
			n := rapid.SampledFrom(w.nodes).Draw(t, "node")
			w.requests = append(w.requests, request{node: n, sent: at(n.clock, w.now), running: n.running})
		},
		"confirm": func(t *rapid.T) {
			r := take(t, &w.requests)
			w.pending = append(w.pending, confirmed{request: r, leader: w.leaders[len(w.leaders)-1], revision: w.revision})
		},
		"grant": func(t *rapid.T) {
			c := take(t, &w.pending)
			if !c.deposed {
				c.revision = w.revision
			}
			c.leader.table.Grant(at(c.leader.clock, w.now), c.node.node, c.running, c.revision)
			w.answers = append(w.answers, response{request: c.request, revision: c.revision})
		},
		"answer": func(t *rapid.T) {
			r := take(t, &w.answers)
			if r.revision < r.node.running {
				return // as membership does: the node never goes back
			}
			r.node.running = r.revision
			r.node.holder.Granted(r.sent, DefaultDuration)
		},
		"commit": func(t *rapid.T) { w.revision++ },
		"elect":  elect,
		"expire": func(t *rapid.T) {
			l := w.leaders[len(w.leaders)-1]
			l.table.Expire(at(l.clock, w.now))
		},
		"": func(t *rapid.T) {
			l := w.leaders[len(w.leaders)-1]
			if !l.table.InForce(at(l.clock, w.now), w.revision) {
				return
			}
			for _, n := range w.nodes {
				if n.running < w.revision && n.holder.IsHeld(at(n.clock, w.now)) {
					t.Fatalf("revision %d is said to be in force, node %s works under %d for %v more",
						w.revision, n.node.ID, n.running, n.holder.Remaining(at(n.clock, w.now)))
				}
			}
		},
	})
}

// take removes a message, which need not be the oldest one.
func take[T any](t *rapid.T, list *[]T) T {
	if len(*list) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	m := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return m
}

// Guards against a revision that is never reported as in force, or later than
// the bound of 3.15 s after the last lease on an older one.
func TestInForceInTime(t *testing.T) {
	const total = 3150 * time.Millisecond
	silent, alive := Node{ID: "silent"}, Node{ID: "alive"}
	table := NewTable(DefaultTiming(), epoch)
	table.Grant(epoch, silent, 1, 1)
	table.Grant(epoch.Add(4*time.Second), silent, 1, 1)
	table.Grant(epoch.Add(4*time.Second), alive, 1, 1)
	last := epoch.Add(4 * time.Second)
	// The node is told of revision 2 but its answers are lost.
	table.Grant(last.Add(500*time.Millisecond), silent, 1, 2)
	table.Grant(last.Add(500*time.Millisecond), alive, 1, 2)
	table.Grant(last.Add(time.Second), alive, 2, 2)
	tests := map[string]struct {
		at   time.Time
		want bool
	}{
		"one node may hold an old lease": {last.Add(total - time.Millisecond), false},
		"its last old lease is over":     {last.Add(total), true},
	}
	for name, test := range tests {
		if got := table.InForce(test.at, 2); got != test.want {
			t.Errorf("%s: in force %v, want %v", name, got, test.want)
		}
	}
	if NewTable(DefaultTiming(), epoch).InForce(epoch.Add(total-1), 1) {
		t.Error("a new leader reports before earlier leases are over")
	}
	if !NewTable(DefaultTiming(), epoch).InForce(epoch.Add(total), 1) {
		t.Error("a new leader without nodes never reports")
	}
}

// Guards against a lease that outlasts a suspended machine: the monotonic clock
// stands still there while the wall clock goes on.
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
		t.Error("the lease outlasts the wall clock")
	}
	h.Granted(now.Add(-time.Second), DefaultDuration)
	if !h.IsHeld(now.Add(DefaultDuration - 1)) {
		t.Error("an answer to an older renewal shortens the lease")
	}
}
