package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// acks returns what the agent reports about its ranks.
func (b *harness) acks() []*peer.GroupAck {
	req := &peer.RenewRequest{}
	b.role.report(req)
	return req.GroupAcks
}

// renew simulates a renewal with orders for all backend servers of the group.
func (b *harness) renew(number uint64, action peer.GroupOrder_Action, version, step uint64) {
	resp := &peer.RenewResponse{Fencing: map[string]uint64{"g1": number}}
	for _, ack := range b.acks() {
		resp.GroupOrders = append(resp.GroupOrders, &peer.GroupOrder{
			Group: "g1", Fencing: number, Action: action, MapVersion: version, SwitchStep: step, Incarnation: ack.Incarnation,
			Placement: []*peer.RankPlacement{{Rank: 0, Experts: []uint32{1, 2}}},
		})
	}
	b.role.applyRenewal(resp)
}

// all returns a function that reports whether both backend servers have
// acknowledged a state.
func (b *harness) all(holds func(*peer.GroupAck) bool) func() bool {
	return func() bool {
		acks := b.acks()
		for _, a := range acks {
			if !holds(a) {
				return false
			}
		}
		return len(acks) == 2
	}
}

// Guards against ranks of one group that use two maps in one step, against a
// promise after which the group does not wait for the switch, and against an
// order of an earlier leader that reaches engines which ignore fencing numbers.
func TestGroupOrders(t *testing.T) {
	b := newHarness(t, nil)
	group := standin.NewGroup("g1")
	var members []*standin.Engine
	for i := range 2 {
		members = append(members, b.engine(standin.EngineConfig{Name: fmt.Sprint("pool-", i), Group: group, Ranks: []uint32{uint32(i)}, AnnounceInterval: 20 * time.Millisecond}))
	}
	b.waitFor("steps without a map", b.all(func(a *peer.GroupAck) bool { return a.Step > 2 }))
	b.renew(5, peer.GroupOrder_ACTION_STAGE, 1, 0)
	b.waitFor("staging", b.all(func(a *peer.GroupAck) bool { return a.StagedVersion == 1 }))
	switchStep := b.acks()[0].Step + 100
	b.renew(5, peer.GroupOrder_ACTION_PROMISE, 1, switchStep)
	b.waitFor("promises", b.all(func(a *peer.GroupAck) bool { return a.PromisedVersion == 1 && a.PromisedStep == switchStep }))
	b.waitFor("hold", b.all(func(a *peer.GroupAck) bool { return a.Step == switchStep-1 }))
	b.renew(4, peer.GroupOrder_ACTION_ABANDON, 1, 0)
	b.renew(5, peer.GroupOrder_ACTION_SWITCH, 1, switchStep)
	b.waitFor("switch", b.all(func(a *peer.GroupAck) bool { return a.MapVersion == 1 && a.Step > switchStep+5 }))
	var used [][]standin.MapUse
	for _, m := range members {
		r := m.Record()
		for _, o := range r.Orders {
			if o.Fencing < 5 {
				t.Errorf("order of an earlier leader reached the engine: %+v", o)
			}
		}
		use := r.Maps
		// The second member joined a step later, and the group continues meanwhile.
		use[0].FirstStep, use[len(use)-1].LastStep = 0, 0
		used = append(used, use)
	}
	want := []standin.MapUse{{Group: "g1", LastStep: switchStep - 1}, {Group: "g1", Version: 1, FirstStep: switchStep}}
	if diff := cmp.Diff([][]standin.MapUse{want, want}, used); diff != "" {
		t.Error(diff)
	}
}

// Guards against an order that a new agent forwards before it has received the
// fencing numbers, and against an order to load while requests are held.
func TestOrdersAfterStart(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{Name: "pool-1", Group: standin.NewGroup("g1"), Ranks: []uint32{0}})
	incarnation := b.acks()[0].Incarnation
	order := &peer.GroupOrder{Group: "g1", Fencing: 9, Action: peer.GroupOrder_ACTION_STAGE, MapVersion: 1, Incarnation: incarnation}
	b.role.applyRenewal(&peer.RenewResponse{GroupOrders: []*peer.GroupOrder{order}})
	in := testIntent()
	in.Services[0].Model, in.Services[0].Version = "m", "2"
	b.control.set(func(v *membership.View) { v.Intent = in })
	b.role.applyRenewal(&peer.RenewResponse{})
	b.role.applyRenewal(&peer.RenewResponse{Fencing: map[string]uint64{"pool-1": 7}})
	b.waitFor("loading", func() bool { return len(e.Record().Orders) > 0 })
	want := []standin.OrderRecord{{Action: engine.ActionLoad, Fencing: 7, Accepted: true}}
	if diff := cmp.Diff(want, e.Record().Orders); diff != "" {
		t.Error(diff)
	}
	b.waitFor("the new version", func() bool {
		info, _ := b.role.backends.get("pool-1").snapshot()
		return info.Version == "2" && !mustLoad(info, in)
	})
}
