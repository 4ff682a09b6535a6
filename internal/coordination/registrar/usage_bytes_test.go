package registrar

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/coordination/usage"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
)

// TestUsageBytes guards against messages of usage reports that grow beyond the figures
// of docs/CAPACITY.md. It is computed for 19 entries, 24 client accounts that all send
// requests, 6 registrars, and windows of 5 s.
func TestUsageBytes(t *testing.T) {
	const (
		entries  = 19
		accounts = 24
		window   = 353445120
	)
	counter, table := usage.NewCounter(), usage.NewTable()
	for account := range accounts {
		for range 60 { // 300 requests per second of all entries
			counter.Add(window, fmt.Sprintf("hule%03d", account))
		}
	}
	counts, _ := counter.Changed(0)
	for entry := range uint64(entries) {
		table.Merge(usage.Source{Entry: fmt.Sprintf("front-fes-%02d", entry), Incarnation: 1<<63 + entry}, counts, 0, window)
		table.Advance(fmt.Sprintf("front-fes-%02d", entry), window+1, 0)
	}
	sum := table.Sum(window)
	now := time.Unix(1767225600, 0)
	state := registry.New()
	state.Apply(1000, registry.GrantDutyCommand(now, "front-fes-01", 0, 0, window))
	before, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	closeCommand := registry.CloseUsageCommand(now, 1000, window, sum)
	state.Apply(1001, closeCommand)
	after, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sizes := []struct {
		what      string
		got, most int
	}{
		{"FollowRequest, all accounts of a window", proto.Size(&peer.FollowRequest{Usage: counts, UsageWindow: window}), 360},
		{"FollowRequest, nothing new", proto.Size(&peer.FollowRequest{UsageWindow: window}), 7},
		{"FollowResponse", proto.Size(&peer.FollowResponse{ClockMs: 1767225600000}), 8},
		{"UsageRequest", proto.Size(&peer.UsageRequest{Windows: []uint64{window}}), 7},
		{"UsageResponse, 19 entries", proto.Size(table.Export([]uint64{window}, 400*time.Millisecond)), 7500},
		{"log entry, renewal", len(registry.RenewDutyCommand(now, 1000)), 14},
		{"log entry, closed window", len(closeCommand), 380},
		{"log entry, reported window", len(registry.SettleUsageCommand(now, 1000, window)), 20},
		{"snapshot, without closed windows", len(before), 40},
		{"snapshot, each closed window", len(after) - len(before), 380},
	}
	for _, s := range sizes {
		t.Logf("%s: %d bytes", s.what, s.got)
		if s.got > s.most {
			t.Errorf("%s: %d bytes, want %d at most", s.what, s.got, s.most)
		}
	}
}
