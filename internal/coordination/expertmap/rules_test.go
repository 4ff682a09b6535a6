package expertmap

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// bench drives a coordinator by hand, for a group of two ranks.
type bench struct {
	c   *Coordinator
	rec Record
	now time.Time
	end []Reason
}

func newBench() *bench {
	p := []*peer.RankPlacement{{Rank: 0}, {Rank: 1}}
	rec := Record{Group: "g", Version: 3, Fencing: 3, Current: Map{3, 100, p}, Previous: Map{2, 50, p}}
	return &bench{c: New(DefaultConfig(), []Record{rec}), rec: rec, now: time.Unix(9, 0)}
}

func (b *bench) step(in Input) {
	for _, e := range b.c.Step(b.now, in) {
		switch e := e.(type) {
		case Decide:
			b.rec, _ = b.rec.Apply(e.Decision)
		case Finished:
			b.end = append(b.end, e.Reason)
		case Refused:
			b.end = append(b.end, e.Reason)
		}
	}
}

func (b *bench) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(Tick{})
	b.step(Applied{Record: b.rec})
}

// ack reports a rank in its first incarnation with a map version and the
// newest change that it has staged.
func (b *bench) ack(rank uint32, incarnation, version, staged uint64, change func(*peer.GroupAck)) {
	a := &peer.GroupAck{
		Group: "g", Ranks: []uint32{rank}, Incarnation: incarnation, Step: 120,
		MapVersion: version, ResolvedVersion: b.rec.Version, StagedVersion: staged,
	}
	if change != nil {
		change(a)
	}
	b.step(Reported{Acks: []*peer.GroupAck{a}})
	b.step(Applied{Record: b.rec})
}

func (b *bench) order(rank uint32, incarnation uint64) *peer.GroupOrder {
	os := b.c.Orders([]*peer.BackendServer{{Group: "g", Ranks: []uint32{rank}, Incarnation: incarnation}})
	if len(os) == 0 {
		return &peer.GroupOrder{}
	}
	return os[0]
}

// It guards against a change that ends late or for another reason than the one
// counted: only its timeout would end it if its rule were missing.
func TestEndOfChange(t *testing.T) {
	place := Proposed{Group: "g", Placement: []*peer.RankPlacement{{Rank: 0}, {Rank: 1}}}
	for name, c := range map[string]struct {
		run  func(b *bench)
		want Reason
	}{
		"stage timeout": {func(b *bench) { b.tick(3 * time.Minute) }, StageTimeout},
		"promise timeout": {func(b *bench) {
			b.ack(0, 1, 3, 5, nil)
			b.ack(1, 1, 3, 5, nil)
			b.tick(3 * time.Second)
		}, PromiseTimeout},
		"refused promise": {func(b *bench) {
			b.ack(0, 1, 3, 5, nil)
			b.ack(1, 1, 3, 5, nil)
			b.ack(1, 1, 3, 5, func(a *peer.GroupAck) { a.RefusedVersion = 5 })
		}, StepPassed},
		"restart":            {func(b *bench) { b.ack(0, 1, 3, 0, nil); b.ack(0, 2, 0, 0, nil) }, RankRestarted},
		"rank without a map": {func(b *bench) { b.ack(0, 1, 0, 0, nil) }, RankRestarted},
		"second proposal":    {func(b *bench) { b.step(place) }, ChangeOpen},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			b.tick(0)
			b.step(place)
			c.run(b)
			if diff := cmp.Diff([]Reason{c.want}, b.end); diff != "" {
				t.Errorf("reasons (-want +got):\n%s", diff)
			}
		})
	}
}

// It guards against a change that is opened only to be abandoned: a proposal
// right after the first map came before the ranks had reported it, and each of
// them used up a map version.
func TestProposalWhileRankJoins(t *testing.T) {
	b := newBench()
	b.tick(0)
	b.ack(0, 1, 0, 0, nil)
	for _, e := range b.c.Step(b.now, Proposed{Group: "g", Placement: []*peer.RankPlacement{{Rank: 0}, {Rank: 1}}}) {
		if r, ok := e.(Refused); !ok || r.Reason != RankRestarted {
			t.Errorf("got %#v, want a refusal with rank_restarted", e)
		}
	}
}

// It guards against an answer to a restarted rank that an open change can
// overtake, and against one in two orders: a backend server that follows every
// order went back to the older map when that order was repeated
// (-rapid.seed=14480196822025215244 before the fix).
func TestAnswerToRestartedRank(t *testing.T) {
	b := newBench()
	joins := func(a *peer.GroupAck) { a.ResolvedVersion, a.Step = 0, 80 }
	b.step(Reported{Acks: []*peer.GroupAck{{Group: "g", Ranks: []uint32{0}, Incarnation: 7, Step: 80}}})
	if o := b.order(0, 7); o.Action != peer.GroupOrder_ACTION_UNSPECIFIED {
		t.Errorf("a new leader answers before it has settled: %v", o)
	}
	b.step(Applied{Record: b.rec})
	b.ack(0, 7, 0, 0, joins)
	o := b.order(0, 7)
	if o.Action != peer.GroupOrder_ACTION_SWITCH || o.MapVersion != 3 || o.Previous.GetMapVersion() != 2 {
		t.Errorf("got %v, want both maps", o)
	}
	e := Engine{Incarnation: 7}
	e.Join(80)
	e.HandleOrder(o)
	for step, want := range map[uint64]uint64{81: 2, 99: 2, 100: 3} {
		if v, ok := e.MayStart(step); !ok || v != want {
			t.Errorf("step %d: map %d, %v, want %d", step, v, ok, want)
		}
	}
	b.ack(0, 7, 0, 0, nil)
	if o := b.order(0, 7); o.Action == peer.GroupOrder_ACTION_SWITCH {
		t.Errorf("the decision is repeated after its acknowledgement: %v", o)
	}
}

// It guards against a stale order that reaches a backend server which does not
// check it.
func TestFollowerDropsOrders(t *testing.T) {
	order := func(change func(*peer.GroupOrder)) OrderReceived {
		o := &peer.GroupOrder{Group: "g", Fencing: 5, Incarnation: 1, MapVersion: 9, Action: peer.GroupOrder_ACTION_STAGE}
		change(o)
		return OrderReceived{Order: o}
	}
	for name, c := range map[string]struct {
		order OrderReceived
		want  Reason
	}{
		"incarnation":   {order(func(o *peer.GroupOrder) { o.Incarnation = 2 }), WrongIncarnation},
		"fencing":       {order(func(o *peer.GroupOrder) { o.Fencing = 4 }), StaleFencing},
		"stage":         {order(func(o *peer.GroupOrder) { o.MapVersion = 3 }), StaleVersion},
		"older switch":  {order(func(o *peer.GroupOrder) { o.MapVersion, o.Action = 2, peer.GroupOrder_ACTION_SWITCH }), StaleVersion},
		"older promise": {order(func(o *peer.GroupOrder) { o.MapVersion, o.Action = 2, peer.GroupOrder_ACTION_PROMISE }), StaleVersion},
		"other group":   {order(func(o *peer.GroupOrder) { o.Group = "h" }), EngineUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFollower("g", []uint32{0})
			f.Step(Announced{Incarnation: 1, Step: 7, MapVersion: 3})
			fresh := f.Step(order(func(*peer.GroupOrder) {}))
			f.Step(FencingUpdated{Fencing: 5})
			got := f.Step(c.order)
			if diff := cmp.Diff([][]Action{{Drop{FencingUnknown}}, {Drop{c.want}}}, [][]Action{fresh, got}); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// It guards against a first map that never commits: a group that already runs
// with the map built into its engines is past a switch step without a margin.
func TestFirstMapOfRunningGroup(t *testing.T) {
	for name, c := range map[string]struct{ step, want uint64 }{"not started": {0, 1}, "running": {120, 220}} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			b.rec = Record{Group: "g"}
			b.c = New(DefaultConfig(), []Record{b.rec})
			b.tick(0)
			b.step(Proposed{Group: "g", Placement: []*peer.RankPlacement{{Rank: 0}}})
			b.ack(0, 1, 0, 2, func(a *peer.GroupAck) { a.Step = c.step })
			if o := b.order(0, 1); o.Action != peer.GroupOrder_ACTION_PROMISE || o.SwitchStep != c.want {
				t.Errorf("got %v, want a promise for step %d", o, c.want)
			}
		})
	}
}

// It guards against an agent that has restarted and passes an older order to
// abandon to a backend server that then releases its newer promise: step 223
// ran with maps 2 and 6 (-rapid.seed=15960490041475803942), and step 248 with
// maps 2 and 4 (-rapid.seed=2115827747709151118), before the fixes.
func TestRestartedAgentKeepsPromise(t *testing.T) {
	order := func(version uint64, action peer.GroupOrder_Action) *peer.GroupOrder {
		return &peer.GroupOrder{Group: "g", Fencing: 5, Incarnation: 1, MapVersion: version, SwitchStep: 223, Action: action}
	}
	for name, learn := range map[string]func(f *Follower){
		"from an announcement": func(f *Follower) {
			f.Step(Announced{Incarnation: 1, Step: 222, MapVersion: 2, PromisedVersion: 6, PromisedStep: 223})
		},
		"from an answer": func(f *Follower) {
			o := order(6, peer.GroupOrder_ACTION_PROMISE)
			f.Step(OrderReceived{Order: o})
			f.Step(Answered{Order: o, Answer: Answer{Accepted: true, Step: 222, MapVersion: 2}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFollower("g", []uint32{0})
			f.Step(Announced{Incarnation: 1, Step: 222, MapVersion: 2})
			f.Step(FencingUpdated{Fencing: 5})
			learn(f)
			if got := f.Step(OrderReceived{Order: order(5, peer.GroupOrder_ACTION_ABANDON)}); len(got) > 0 {
				t.Errorf("got %v, want nothing", got)
			}
			if f.Ack().PromisedVersion != 6 || f.Ack().PromisedStep != 223 || f.Ack().ResolvedVersion != 5 {
				t.Errorf("got %v", f.Ack())
			}
		})
	}
}
