package control

import (
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// serverTable holds the announced backend servers of a region, as reported by
// the nodes that renewed with this leader. Changes are numbered by versions, so
// that an entry gets only the changes that it does not have yet.
type serverTable struct {
	version     uint64
	rows        []*serverRow // by index, including removed ones
	byKey       map[serverKey]*serverRow
	rowsByAgent map[string][]*serverRow // by node id
	// urgentVersion is the version of the last change other than load.
	urgentVersion uint64
	// completeVersion is the first version at which the table is complete; 0
	// while nodes may still hold leases of earlier leaders and not be listed.
	completeVersion uint64
	wake            chan struct{} // closed and replaced by wakeWatchers
}

type serverKey struct {
	agent string
	name  string
}

// serverRow is one backend server. Its index stays the same within a term.
type serverRow struct {
	index          uint32
	agent          *peer.Node
	server         *peer.BackendServer // the latest report
	published      *peer.BackendServer // the report as of changedVersion
	level          uint32
	window         uint64
	changedVersion uint64 // version of the last change other than load
	loadVersion    uint64 // version of the last change of load
	removed        bool
}

func newServerTable() *serverTable {
	// Versions start at 1, so that an entry's first request, since 0, gets all.
	return &serverTable{version: 1, byKey: map[serverKey]*serverRow{}, rowsByAgent: map[string][]*serverRow{}, wake: make(chan struct{})}
}

// applyReport updates the rows of an agent to a report that lists all its
// backend servers.
func (t *serverTable) applyReport(node *peer.Node, window uint64, servers []*peer.BackendServer) {
	named := make(map[string]bool, len(servers))
	for _, s := range servers {
		named[s.Name] = true
		t.update(node, window, s)
	}
	for _, r := range t.rowsByAgent[node.Id] {
		if !r.removed && !named[r.server.Name] {
			t.remove(r)
		}
	}
}

// removeAgent removes all backend servers of an agent.
func (t *serverTable) removeAgent(agent string, incarnation uint64) {
	for _, r := range t.rowsByAgent[agent] {
		if !r.removed && r.agent.Incarnation == incarnation {
			t.remove(r)
		}
	}
}

// markComplete records that no leases of earlier leaders are left, so that the
// table lists every backend server.
func (t *serverTable) markComplete() {
	if t.completeVersion == 0 {
		t.completeVersion = t.nextUrgentVersion()
	}
}

func (t *serverTable) update(node *peer.Node, window uint64, s *peer.BackendServer) {
	key := serverKey{agent: node.Id, name: s.Name}
	r := t.byKey[key]
	if r == nil {
		r = &serverRow{index: uint32(len(t.rows))}
		t.rows = append(t.rows, r)
		t.byKey[key] = r
		t.rowsByAgent[node.Id] = append(t.rowsByAgent[node.Id], r)
		r.removed = true
	}
	level := loadLevel(s)
	if r.removed || !sameNode(r.agent, node) || !sameServer(r.published, s) {
		r.agent, r.server, r.published, r.level, r.window, r.removed = node, s, s, level, window, false
		r.changedVersion = t.nextUrgentVersion()
		r.loadVersion = r.changedVersion
		return
	}
	r.server = s
	if isSignificantLoadChange(r.level, level) || r.window != window {
		t.version++
		r.level, r.window, r.loadVersion = level, window, t.version
	}
}

func (t *serverTable) remove(r *serverRow) {
	r.removed = true
	r.changedVersion = t.nextUrgentVersion()
}

// nextUrgentVersion returns the version of an urgent change and wakes all
// waiting Watch calls.
func (t *serverTable) nextUrgentVersion() uint64 {
	t.version++
	t.urgentVersion = t.version
	t.wakeWatchers()
	return t.version
}

func (t *serverTable) wakeWatchers() {
	close(t.wake)
	t.wake = make(chan struct{})
}

// changesSince returns the changes after a version. The response is full if the
// table is complete and the version is older than completeVersion or of another
// epoch.
func (t *serverTable) changesSince(epoch, version uint64, sameEpoch bool) *peer.WatchResponse {
	res := &peer.WatchResponse{Epoch: epoch, Version: t.version}
	if !sameEpoch || version > t.version {
		version = 0
	}
	if t.completeVersion > 0 && version < t.completeVersion {
		version, res.Full = 0, true
	}
	for _, r := range t.rows {
		switch {
		case r.removed:
			if r.changedVersion > version && version > 0 {
				res.Removed = append(res.Removed, r.index)
			}
		case r.changedVersion > version:
			res.Rows = append(res.Rows, &peer.BackendServerRow{Index: r.index, Agent: r.agent, BackendServer: r.reportWithWindow()})
		case r.loadVersion > version:
			res.LoadIndex = append(res.LoadIndex, r.index)
			res.LoadLevel = append(res.LoadLevel, r.level)
			res.Window = append(res.Window, r.window)
		}
	}
	return res
}

// hasUrgentChange reports whether an entry at the given version must get a
// response at once.
func (t *serverTable) hasUrgentChange(version uint64, sameEpoch bool) bool {
	return !sameEpoch || version > t.version || t.urgentVersion > version
}

// liveRows returns the rows that are not removed.
func (t *serverTable) liveRows() []*serverRow {
	rows := make([]*serverRow, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.removed {
			rows = append(rows, r)
		}
	}
	return rows
}
