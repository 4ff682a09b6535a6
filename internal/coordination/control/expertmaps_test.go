package control

import (
	"testing"
	"testing/synctest"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Guards against ranks that are ordered to switch before the decision is in the
// log, a change that never ends, and a repeated proposal that starts another
// change.
func TestExpertMapChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		time.Sleep(time.Second) // the coordinator has started
		ack := &peer.GroupAck{Group: "g", Ranks: []uint32{0, 1}, Incarnation: 3, StepUs: 20_000}
		renew := func() *peer.GroupOrder {
			server := backendServer("b", 0)
			server.Group, server.Ranks = "g", ack.Ranks
			ack.Step += 25
			res, err := r.Renew(t.Context(), &peer.RenewRequest{
				Node: runnerNode("n"), BackendServers: []*peer.BackendServer{server}, GroupAcks: []*peer.GroupAck{ack},
			})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
			if len(res.GroupOrders) == 0 {
				return nil
			}
			return res.GroupOrders[0]
		}
		renew()
		propose := func() *peer.ProposeMapResponse {
			t.Helper()
			res, err := r.ProposeMap(t.Context(), &peer.ProposeMapRequest{Group: "g", OperationId: "o", Placement: []*peer.RankPlacement{
				{Rank: 0, Experts: []uint32{0, 1}}, {Rank: 1, Experts: []uint32{2, 3}},
			}})
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		version := propose().MapVersion
		if again := propose().MapVersion; again != version {
			t.Fatalf("a repeated proposal starts version %d, the first one %d", again, version)
		}
		seen := map[peer.GroupOrder_Action]bool{}
		for range 20 {
			o := renew()
			if o == nil {
				continue
			}
			seen[o.Action] = true
			switch o.Action {
			case peer.GroupOrder_ACTION_STAGE:
				ack.StagedVersion = o.MapVersion
			case peer.GroupOrder_ACTION_PROMISE:
				ack.PromisedVersion, ack.PromisedStep = o.MapVersion, o.SwitchStep
			case peer.GroupOrder_ACTION_ABANDON:
				ack.ResolvedVersion = o.MapVersion
			case peer.GroupOrder_ACTION_SWITCH:
				record, ok := r.registry.Group("g")
				if !ok || record.Current.GetVersion() != o.MapVersion || record.Current.SwitchStep != o.SwitchStep || record.Fencing != o.Fencing {
					t.Fatalf("order %v does not match the record %v", o, record)
				}
				ack.MapVersion, ack.ResolvedVersion = o.MapVersion, o.MapVersion
			}
		}
		if ack.MapVersion != version || !seen[peer.GroupOrder_ACTION_STAGE] || !seen[peer.GroupOrder_ACTION_PROMISE] {
			t.Errorf("the ranks run version %d, want %d; orders seen: %v", ack.MapVersion, version, seen)
		}
	})
}
