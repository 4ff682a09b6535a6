package follower

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// TestReport guards against a report that goes to a registrar outside the group, and
// against figures that do not survive the exchange.
func TestReport(t *testing.T) {
	f := &Follower{cfg: Config{Report: func() Report {
		return Report{Demand: map[string]float64{"pool": 16.5}, Outcomes: map[string]Outcomes{"s0": {Good: 1, Bad: 2}}}
	}}}
	req := &peer.FollowRequest{}
	f.setReport(req, true)
	got := newPeerReport(&peer.FollowResponse{Demand: req.Demand, DemandEntries: 1, Outcomes: req.Outcomes})
	want := PeerReport{
		Demand: map[string]float64{"pool": 16.5}, DemandBefore: map[string]float64{"pool": 0}, Reported: 1,
		Outcomes: map[string]Outcomes{"s0": {Good: 1, Bad: 2}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	f.setReport(req, false)
	if len(req.Demand)+len(req.Outcomes) > 0 {
		t.Errorf("a registrar outside the group is sent %v and %v", req.Demand, req.Outcomes)
	}
	f.cfg.Report = func() Report { return Report{Demand: map[string]float64{"a": math.Inf(1), "b": -1}} }
	f.setReport(req, true)
	for _, d := range req.Demand {
		if want := map[string]uint32{"a": math.MaxUint32, "b": 0}[d.Service]; d.MilliPerSecond != want {
			t.Errorf("demand of %s: %d, want %d", d.Service, d.MilliPerSecond, want)
		}
	}
}

// TestReportOfEarlierVersion guards against the response of a registrar that does not
// know the fields of the report being taken for entries without demand.
func TestReportOfEarlierVersion(t *testing.T) {
	if r := newPeerReport(&peer.FollowResponse{Entries: 19}); r.Reported != 0 || len(r.Demand) > 0 {
		t.Errorf("%+v, want no report", r)
	}
}
