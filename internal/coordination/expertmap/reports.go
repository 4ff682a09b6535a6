package expertmap

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// maxRank bounds the memory that a wrong acknowledgement can take.
const maxRank = 4095

// report merges an acknowledgement into the state of its ranks. Another
// incarnation of a rank abandons an open change, since the promise of the earlier
// one is void; so does a late message of the earlier incarnation, as the two
// cannot be distinguished.
func (g *group) report(now time.Time, ack *peer.GroupAck) {
	for _, id := range ack.Ranks {
		if id > maxRank {
			continue
		}
		r := g.ranks[id]
		if r == nil || r.incarnation != ack.Incarnation {
			if r != nil {
				g.abandonOnRestart(now)
			}
			r = &rankState{incarnation: ack.Incarnation}
			g.ranks[id] = r
		}
		r.merge(now, ack)
	}
}

// abandonOnRestart abandons an open change unless its decision may be in the log.
func (g *group) abandonOnRestart(now time.Time) {
	if g.phase == staging || g.phase == promising {
		g.decide(now, Decision{}, RankRestarted)
	}
}

func (r *rankState) merge(now time.Time, ack *peer.GroupAck) {
	if ack.Step > r.step || r.stepReportedAt.IsZero() {
		r.step, r.stepReportedAt = ack.Step, now
	}
	r.mapVersion = max(r.mapVersion, ack.MapVersion)
	r.resolved = max(r.resolved, ack.ResolvedVersion, ack.MapVersion)
	r.staged = max(r.staged, ack.StagedVersion)
	r.refused = max(r.refused, ack.RefusedVersion)
	if ack.PromisedVersion > r.promised {
		r.promised, r.promisedStep = ack.PromisedVersion, ack.PromisedStep
	}
	if ack.StepUs > 0 {
		r.stepTime = time.Duration(ack.StepUs) * time.Microsecond
	}
}
