package registrar

import (
	"math"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// entryReport is what an entry has last reported beside its loads.
type entryReport struct {
	demand   map[string]uint32 // thousandths of a request per second, by service
	outcomes map[string]serverOutcomes
}

// serverOutcomes counts requests that have ended at one backend server.
type serverOutcomes struct{ good, bad uint32 }

func newEntryReport(req *peer.FollowRequest) entryReport {
	report := entryReport{demand: make(map[string]uint32, len(req.Demand))}
	for _, d := range req.Demand {
		report.demand[d.Service] = d.MilliPerSecond
	}
	if len(req.Outcomes) > 0 {
		report.outcomes = make(map[string]serverOutcomes, len(req.Outcomes))
	}
	for _, o := range req.Outcomes {
		report.outcomes[o.Id] = serverOutcomes{o.Good, o.Bad}
	}
	return report
}

// addPeerReports adds the sums of what all entries except one have reported. An entry
// without any demand is of a version that does not report it. The caller holds r.mu.
func (r *Registrar) addPeerReports(res *peer.FollowResponse, except string) {
	demand := map[string]*peer.ServiceDemand{}
	outcomes := map[string]*peer.ServerOutcomes{}
	for id, f := range r.entries {
		if id == except {
			continue
		}
		if len(f.demand) > 0 {
			res.DemandEntries++
		}
		for service, n := range f.demand {
			d := demand[service]
			if d == nil {
				d = &peer.ServiceDemand{Service: service}
				demand[service] = d
				res.Demand = append(res.Demand, d)
			}
			d.MilliPerSecond = addBounded(d.MilliPerSecond, n)
			if id < except {
				d.Before = addBounded(d.Before, n)
			}
		}
		for server, n := range f.outcomes {
			o := outcomes[server]
			if o == nil {
				o = &peer.ServerOutcomes{Id: server}
				outcomes[server] = o
				res.Outcomes = append(res.Outcomes, o)
			}
			o.Good, o.Bad = addBounded(o.Good, n.good), addBounded(o.Bad, n.bad)
		}
	}
}

// addBounded returns the sum, or the highest value if it does not fit.
func addBounded(a, b uint32) uint32 {
	return uint32(min(uint64(a)+uint64(b), math.MaxUint32))
}
