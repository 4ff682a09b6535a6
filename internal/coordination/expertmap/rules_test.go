package expertmap

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// harness runs a coordinator of a group of two ranks, without a network.
type harness struct {
	c   *Coordinator
	rec Record
	now time.Time
	end []Reason
}

func newHarness() *harness {
	p := []*peer.RankPlacement{{Rank: 0}, {Rank: 1}}
	rec := Record{Group: "g", Version: 3, Fencing: 3, Current: Map{3, 100, p}, Previous: Map{2, 50, p}}
	return &harness{c: New(DefaultConfig(), []Record{rec}), rec: rec, now: time.Unix(9, 0)}
}

func (b *harness) step(in Input) {
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

func (b *harness) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(Tick{})
	b.step(Applied{Record: b.rec})
}

// ack reports a rank at step 120 with its incarnation, its map version and the
// newest change that it has staged.
func (b *harness) ack(rank uint32, incarnation, version, staged uint64, change func(*peer.GroupAck)) {
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

func (b *harness) order(rank uint32, incarnation uint64) *peer.GroupOrder {
	os := b.c.Orders([]*peer.BackendServer{{Group: "g", Ranks: []uint32{rank}, Incarnation: incarnation}})
	if len(os) == 0 {
		return &peer.GroupOrder{}
	}
	return os[0]
}

// Guards against a change that ends late or for another reason than the one
// counted: without its rule, only the timeout would end it.
func TestEndOfChange(t *testing.T) {
	proposal := Proposed{Group: "g", Placement: []*peer.RankPlacement{{Rank: 0}, {Rank: 1}}}
	for name, c := range map[string]struct {
		run  func(b *harness)
		want Reason
	}{
		"stage timeout": {func(b *harness) { b.tick(3 * time.Minute) }, StageTimeout},
		"promise timeout": {func(b *harness) {
			b.ack(0, 1, 3, 5, nil)
			b.ack(1, 1, 3, 5, nil)
			b.tick(3 * time.Second)
		}, PromiseTimeout},
		"refused promise": {func(b *harness) {
			b.ack(0, 1, 3, 5, nil)
			b.ack(1, 1, 3, 5, nil)
			b.ack(1, 1, 3, 5, func(a *peer.GroupAck) { a.RefusedVersion = 5 })
		}, StepPassed},
		"restart":            {func(b *harness) { b.ack(0, 1, 3, 0, nil); b.ack(0, 2, 0, 0, nil) }, RankRestarted},
		"rank without a map": {func(b *harness) { b.ack(0, 1, 0, 0, nil) }, RankRestarted},
		"second proposal":    {func(b *harness) { b.step(proposal) }, ChangeOpen},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness()
			b.tick(0)
			b.step(proposal)
			c.run(b)
			if diff := cmp.Diff([]Reason{c.want}, b.end); diff != "" {
				t.Errorf("reasons of ends (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a change that is opened only to be abandoned: a proposal right
// after the first map came before the ranks had reported that map, and each such
// proposal used up a map version.
func TestProposalWhileRankJoins(t *testing.T) {
	b := newHarness()
	b.tick(0)
	b.ack(0, 1, 0, 0, nil)
	for _, e := range b.c.Step(b.now, Proposed{Group: "g", Placement: []*peer.RankPlacement{{Rank: 0}, {Rank: 1}}}) {
		if r, ok := e.(Refused); !ok || r.Reason != RankRestarted {
			t.Errorf("got %#v, want a refusal with rank_restarted", e)
		}
	}
}

// Guards against an answer to a restarted rank that an open change can overtake,
// and against one in two orders: a backend server that follows every order went
// back to the older map when that order was repeated
// (-rapid.seed=14480196822025215244 before the fix).
func TestAnswerToRestartedRank(t *testing.T) {
	b := newHarness()
	joins := func(a *peer.GroupAck) { a.ResolvedVersion, a.Step = 0, 80 }
	b.step(Reported{Acks: []*peer.GroupAck{{Group: "g", Ranks: []uint32{0}, Incarnation: 7, Step: 80}}})
	if o := b.order(0, 7); o.Action != peer.GroupOrder_ACTION_UNSPECIFIED {
		t.Errorf("a new leader answers before its first decision: %v", o)
	}
	b.step(Applied{Record: b.rec})
	b.ack(0, 7, 0, 0, joins)
	o := b.order(0, 7)
	if o.Action != peer.GroupOrder_ACTION_SWITCH || o.MapVersion != 3 || o.Previous.GetMapVersion() != 2 {
		t.Errorf("got %v, want a switch to map 3 with map 2 as the previous one", o)
	}
	e := Engine{Incarnation: 7}
	e.Join(80)
	e.HandleOrder(o)
	for step, want := range map[uint64]uint64{81: 2, 99: 2, 100: 3} {
		if v, ok := e.MayStart(step); !ok || v != want {
			t.Errorf("step %d: map %d, may start %v, want map %d", step, v, ok, want)
		}
	}
	b.ack(0, 7, 0, 0, nil)
	if o := b.order(0, 7); o.Action == peer.GroupOrder_ACTION_SWITCH {
		t.Errorf("the decision is repeated after its acknowledgement: %v", o)
	}
}

// Guards against a stale order that reaches a backend server which does not
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
			beforeFencing := f.Step(order(func(*peer.GroupOrder) {}))
			f.Step(FencingUpdated{Fencing: 5})
			got := f.Step(c.order)
			if diff := cmp.Diff([][]Action{{Drop{FencingUnknown}}, {Drop{c.want}}}, [][]Action{beforeFencing, got}); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a first map that is never committed: a group that already runs
// with the map built into its engines is past a switch step without a margin.
func TestFirstMapOfRunningGroup(t *testing.T) {
	for name, c := range map[string]struct{ step, want uint64 }{"not started": {0, 1}, "running": {120, 220}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness()
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

// Guards against a restarted agent that forwards an older order to abandon to a
// backend server, which then releases its newer promise. Before the fixes, step
// 223 ran with maps 2 and 6 (-rapid.seed=15960490041475803942), and step 248 with
// maps 2 and 4 (-rapid.seed=2115827747709151118).
func TestRestartedAgentKeepsPromise(t *testing.T) {
	order := func(version uint64, action peer.GroupOrder_Action) *peer.GroupOrder {
		return &peer.GroupOrder{Group: "g", Fencing: 5, Incarnation: 1, MapVersion: version, SwitchStep: 223, Action: action}
	}
	for name, reportPromise := range map[string]func(f *Follower){
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
			reportPromise(f)
			if got := f.Step(OrderReceived{Order: order(5, peer.GroupOrder_ACTION_ABANDON)}); len(got) > 0 {
				t.Errorf("got actions %v, want none", got)
			}
			if f.Ack().PromisedVersion != 6 || f.Ack().PromisedStep != 223 || f.Ack().ResolvedVersion != 5 {
				t.Errorf("got %v, want promise 6 for step 223 and resolved version 5", f.Ack())
			}
		})
	}
}
