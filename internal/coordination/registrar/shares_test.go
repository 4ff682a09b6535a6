package registrar

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// TestPeerReports guards against an entry that is told its own demand or outcomes, which
// it would count twice, against an entry of an earlier version being taken to have no
// demand, and against sums that overflow.
func TestPeerReports(t *testing.T) {
	r := &Registrar{entries: map[string]*entryState{}}
	add := func(id string, req *peer.FollowRequest) {
		r.entries[id] = &entryState{entryReport: newEntryReport(req)}
	}
	add("a", &peer.FollowRequest{Demand: []*peer.ServiceDemand{{Service: "pool", MilliPerSecond: 1500}}, Outcomes: []*peer.ServerOutcomes{{Id: "s0", Good: 1, Bad: 2}}})
	add("b", &peer.FollowRequest{Demand: []*peer.ServiceDemand{{Service: "pool", MilliPerSecond: 7000}}, Outcomes: []*peer.ServerOutcomes{{Id: "s0", Good: 50, Bad: 50}}})
	add("c", &peer.FollowRequest{Demand: []*peer.ServiceDemand{{Service: "pool", MilliPerSecond: math.MaxUint32}}, Outcomes: []*peer.ServerOutcomes{{Id: "s0", Good: 3}}})
	add("old", &peer.FollowRequest{})
	type sums struct {
		Entries, Demand, Before, Good, Bad uint32
	}
	tests := map[string]sums{
		"a":   {2, math.MaxUint32, 0, 53, 50},
		"b":   {2, math.MaxUint32, 1500, 4, 2},
		"c":   {2, 8500, 8500, 51, 52},
		"old": {3, math.MaxUint32, math.MaxUint32, 54, 52},
	}
	for id, want := range tests {
		res := &peer.FollowResponse{}
		r.addPeerReports(res, id)
		if len(res.Demand) != 1 || len(res.Outcomes) != 1 {
			t.Fatalf("%s: %v", id, res)
		}
		got := sums{res.DemandEntries, res.Demand[0].MilliPerSecond, res.Demand[0].Before, res.Outcomes[0].Good, res.Outcomes[0].Bad}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", id, diff)
		}
	}
}
