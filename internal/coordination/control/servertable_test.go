package control

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// entryView is the state of an entry after a series of Watch responses.
type entryView struct {
	epoch, version uint64
	rows           map[uint32]*peer.BackendServerRow
	levels         map[uint32]uint32
}

func (v *entryView) apply(res *peer.WatchResponse) {
	if res.Full || res.Epoch != v.epoch {
		v.rows, v.levels = map[uint32]*peer.BackendServerRow{}, map[uint32]uint32{}
	}
	v.epoch, v.version = res.Epoch, res.Version
	for _, r := range res.Rows {
		v.rows[r.Index], v.levels[r.Index] = r, loadLevel(r.BackendServer)
	}
	for _, i := range res.Removed {
		delete(v.rows, i)
		delete(v.levels, i)
	}
	for i, index := range res.LoadIndex {
		v.levels[index] = res.LoadLevel[i]
	}
}

// Guards against an entry that keeps a removed backend server, misses one, or has
// a load that is off by minLevelChange or more, whichever responses it skipped
// and however often agents restart.
func TestEntriesSeeTheBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newServerTable()
		views := []*entryView{{}, {}}
		node := func(t *rapid.T) *peer.Node {
			n := runnerNode(fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "agent")))
			n.Incarnation = rapid.Uint64Range(1, 2).Draw(t, "incarnation")
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				var servers []*peer.BackendServer
				for i := range rapid.IntRange(0, 3).Draw(t, "servers") {
					s := backendServer(fmt.Sprint("b", i), 0)
					s.MaxConcurrent, s.Load.Limit = 64, rapid.SampledFrom([]uint32{0, 2, 60, 64}).Draw(t, "limit")
					s.Load.Running = rapid.Uint32Range(0, 64).Draw(t, "running")
					servers = append(servers, s)
				}
				table.applyReport(node(t), rapid.Uint64Range(1, 3).Draw(t, "window"), servers)
			},
			"remove agent": func(t *rapid.T) {
				n := node(t)
				table.removeAgent(n.Id, n.Incarnation)
			},
			"mark complete": func(*rapid.T) { table.markComplete() },
			"watch": func(t *rapid.T) {
				v := rapid.SampledFrom(views).Draw(t, "entry")
				res := table.changesSince(7, v.version, v.epoch == 7)
				if res.Full && table.completeVersion == 0 {
					t.Fatal("a full response before the leases of earlier leaders have expired")
				}
				v.apply(res)
				checkView(t, table, v)
			},
		})
	})
}

func checkView(t *rapid.T, table *serverTable, v *entryView) {
	want, got := map[uint32]string{}, map[uint32]string{}
	for _, r := range table.liveRows() {
		want[r.index] = fmt.Sprint(r.agent.Id, r.agent.Incarnation, r.server.Name)
		gotLevel, wantLevel := v.levels[r.index], loadLevel(r.server)
		if max(gotLevel, wantLevel)-min(gotLevel, wantLevel) >= minLevelChange || (gotLevel == fullLevel) != (wantLevel == fullLevel) {
			t.Fatalf("load level of row %d is %d, the entry has %d", r.index, wantLevel, gotLevel)
		}
	}
	for i, r := range v.rows {
		got[i] = fmt.Sprint(r.Agent.Id, r.Agent.Incarnation, r.BackendServer.Name)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a backend server at its limit that is reported as having free
// capacity.
func TestLoadLevel(t *testing.T) {
	tests := map[string]struct {
		load *peer.Load
		want uint32
	}{
		"idle":                 {&peer.Load{Limit: 64}, 0},
		"one of many":          {&peer.Load{Running: 1, Limit: 1000}, 1},
		"almost full":          {&peer.Load{Running: 999, Limit: 1000}, 254},
		"full":                 {&peer.Load{Running: 64, Limit: 64}, 255},
		"over a smaller limit": {&peer.Load{Running: 64, Limit: 2}, 255},
		"no limit yet":         {&peer.Load{}, 255},
		"memory is full":       {&peer.Load{Running: 1, Limit: 64, TokensReserved: 100, TokensLimit: 100}, 255},
	}
	for name, test := range tests {
		if got := loadLevel(&peer.BackendServer{Load: test.load}); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
}
