package replica

import "github.com/uber-go/tally/v4"

// metrics are the counters of a replica.
type metrics struct {
	scope     tally.Scope
	syncs     tally.Counter
	syncTime  tally.Timer
	entries   tally.Counter
	elections tally.Counter
	snapshots tally.Counter
	term      tally.Gauge
	commit    tally.Gauge
	lag       tally.Gauge // committed entries that are not applied
	leading   tally.Gauge // 1 on the leader
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:     scope,
		syncs:     scope.Counter("raft_syncs"),
		syncTime:  scope.Timer("raft_sync"),
		entries:   scope.Counter("raft_entries_appended"),
		elections: scope.Counter("raft_leader_changes"),
		snapshots: scope.Counter("raft_snapshots"),
		term:      scope.Gauge("raft_term"),
		commit:    scope.Gauge("raft_commit_index"),
		lag:       scope.Gauge("raft_apply_lag_entries"),
		leading:   scope.Gauge("raft_leading"),
	}
}

func (m *metrics) update(s Status) {
	m.term.Update(float64(s.Term))
	m.commit.Update(float64(s.Commit))
	m.lag.Update(float64(s.Commit - s.Applied))
	leading := 0.0
	if s.IsLeader {
		leading = 1
	}
	m.leading.Update(leading)
}

// ignored counts messages that were ignored, by reason.
func (m *metrics) ignored(reason string) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": reason}).Counter("raft_messages_ignored")
}

// refusal counts calls that were refused, by reason.
func (m *metrics) refusal(reason string) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": reason}).Counter("raft_refusals")
}
