package follower

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Report is what an entry reports beside its loads.
type Report struct {
	// Demand is the rate of first attempts per second, by service.
	Demand map[string]float64
	// Outcomes are those of the last second at backend servers where some requests went
	// wrong.
	Outcomes map[string]Outcomes
}

// Outcomes counts requests that have ended at one backend server. The bad ones failed or
// were much slower than at other backend servers.
type Outcomes struct{ Good, Bad int }

// PeerReport is the sum of the reports of other entries.
type PeerReport struct {
	// Demand is that of Reported entries, and DemandBefore the part of it that belongs
	// to entries with a lower position than this one.
	Demand, DemandBefore map[string]float64
	Reported             int
	Outcomes             map[string]Outcomes
}

// PeerReport returns the newest sum of the reports of other entries, which is empty if
// there is no recent one.
func (f *Follower) PeerReport(now time.Time) PeerReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.peerLoadsAt) > peerLoadMaxAge {
		return PeerReport{}
	}
	return f.peerReport
}

// setReport sets the report that a registrar is sent, if it is a member of the group.
func (f *Follower) setReport(req *peer.FollowRequest, isMember bool) {
	req.Demand, req.Outcomes = nil, nil
	if !isMember || f.cfg.Report == nil {
		return
	}
	report := f.cfg.Report()
	for service, d := range report.Demand {
		req.Demand = append(req.Demand, &peer.ServiceDemand{Service: service, MilliPerSecond: uint32(max(0, min(1000*d, math.MaxUint32)))})
	}
	for id, o := range report.Outcomes {
		req.Outcomes = append(req.Outcomes, &peer.ServerOutcomes{Id: id, Good: uint32(o.Good), Bad: uint32(o.Bad)})
	}
}

// recordPeerReport records a sum of reports. The caller holds f.mu.
func (f *Follower) recordPeerReport(r PeerReport) {
	if (r.Reported == 0) != (f.peerReport.Reported == 0) {
		f.log.Info("demand of other entries changed", "reported", r.Reported, "before", f.peerReport.Reported)
	}
	f.scope.Gauge("demand_entries").Update(float64(r.Reported))
	f.peerReport = r
}

func newPeerReport(res *peer.FollowResponse) PeerReport {
	report := PeerReport{
		Demand: make(map[string]float64, len(res.Demand)), DemandBefore: make(map[string]float64, len(res.Demand)),
		Reported: int(res.DemandEntries), Outcomes: make(map[string]Outcomes, len(res.Outcomes)),
	}
	for _, d := range res.Demand {
		report.Demand[d.Service] = float64(d.MilliPerSecond) / 1000
		report.DemandBefore[d.Service] = float64(d.Before) / 1000
	}
	for _, o := range res.Outcomes {
		report.Outcomes[o.Id] = Outcomes{Good: int(o.Good), Bad: int(o.Bad)}
	}
	return report
}
