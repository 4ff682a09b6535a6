package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// fullLevel is the load level of a backend server without free capacity.
	fullLevel = 255
	// minLevelChange is the smallest change of a level that is reported to
	// entries, about 3 %. It keeps the load updates of 660 backend servers under
	// 6 KB/s per entry.
	minLevelChange = 8
	// limitChangeDivisor sets the smallest change of a limit that is reported:
	// more than a quarter. The complete row is sent, since levels are relative to
	// the limit.
	limitChangeDivisor = 4
)

// loadLevel returns the share of a backend server's capacity in use, by
// concurrency or by memory, whichever is higher, from 0 to 255. Any use is
// rounded up, so that 0 means idle, and 255 means that no capacity is free.
func loadLevel(s *peer.BackendServer) uint32 {
	l := s.GetLoad()
	level := loadShare(uint64(l.GetRunning()), uint64(l.GetLimit()))
	if l.GetTokensLimit() > 0 {
		level = max(level, loadShare(l.GetTokensReserved(), l.GetTokensLimit()))
	}
	return level
}

func loadShare(used, limit uint64) uint32 {
	if used >= limit {
		return fullLevel
	}
	// used < limit, and both are at most 2^63 after the check of the report.
	return uint32(min(fullLevel-1, (float64(used)*fullLevel+float64(limit)-1)/float64(limit)))
}

func isSignificantLoadChange(old, next uint32) bool {
	if old == next {
		return false
	}
	return next == 0 || next == fullLevel || old == 0 || old == fullLevel || max(old, next)-min(old, next) >= minLevelChange
}

func sameNode(a, b *peer.Node) bool { return proto.Equal(a, b) }

// sameServer reports whether two reports are equal except for load and small
// changes of limits.
func sameServer(a, b *peer.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Model == b.Model && a.Version == b.Version &&
		slices.Equal(a.Adapters, b.Adapters) && a.MemoryTokens == b.MemoryTokens && a.MaxConcurrent == b.MaxConcurrent &&
		a.Temperature == b.Temperature && a.ChecksFencing == b.ChecksFencing && a.Resumes == b.Resumes &&
		a.Group == b.Group && slices.Equal(a.Ranks, b.Ranks) && a.Leaving == b.Leaving &&
		sameLimit(uint64(a.GetLoad().GetLimit()), uint64(b.GetLoad().GetLimit())) &&
		sameLimit(a.GetLoad().GetTokensLimit(), b.GetLoad().GetTokensLimit())
}

func sameLimit(old, next uint64) bool {
	if (old == 0) != (next == 0) {
		return false
	}
	return max(old, next)-min(old, next) <= old/limitChangeDivisor
}

// reportWithWindow returns the latest report with the agent's dispatch window in
// its load.
func (r *serverRow) reportWithWindow() *peer.BackendServer {
	s := proto.CloneOf(r.server)
	if s.Load == nil {
		s.Load = &peer.Load{}
	}
	s.Load.Window = r.window
	return s
}
