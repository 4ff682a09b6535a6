package follower

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/testing/protocmp"

	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/coordination/usage"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// countingDirectory is a registrar that records the counts of requests. It fails the
// first calls.
type countingDirectory struct {
	peer.Directory

	mu       sync.Mutex
	failures int
	got      []*peer.FollowRequest
}

func (d *countingDirectory) Follow(_ context.Context, req *peer.FollowRequest) (*peer.FollowResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.got = append(d.got, req)
	if d.failures--; d.failures >= 0 {
		return nil, context.DeadlineExceeded
	}
	return &peer.FollowResponse{Epoch: 1, Version: 1, ClockMs: uint64(time.Now().UnixMilli())}, nil
}

// requests returns the requests that carry counts.
func (d *countingDirectory) requests() []*peer.FollowRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peer.FollowRequest
	for _, req := range d.got {
		if len(req.Usage) > 0 {
			list = append(list, req)
		}
	}
	return list
}

// TestSendCounts guards against counts that are lost with a call that failed, that are
// sent again though nothing has changed, and that an entry keeps when it ends.
func TestSendCounts(t *testing.T) {
	d := &countingDirectory{failures: 2}
	srv := httptest.NewServer(peer.NewDirectoryServer(d))
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u := &UsageConfig{Counter: usage.NewCounter(), Clock: usage.NewClock(false), Windows: usage.Windows{Length: time.Hour, Lateness: time.Hour}}
	u.Counter.Add(u.Now(), "a")
	f := New(ctx, Config{
		Node: &peer.Node{Id: "e", Incarnation: 1, Role: peer.Role_ROLE_ENTRY}, Seeds: func() []string { return []string{strings.TrimPrefix(srv.URL, "http://")} },
		Client: &http.Client{}, Loads: func() map[string]int { return nil }, Usage: u, OnChange: func(*View) {},
		Observations: func(after uint64) ([]quarantine.Observation, uint64) { return nil, after },
	}, hclog.NewNullLogger(), tally.NoopScope)
	for end := time.Now().Add(10 * time.Second); len(d.requests()) < 3 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	time.Sleep(100 * time.Millisecond) // some calls without a change
	u.Counter.Add(u.Now(), "a")
	u.Counter.Add(u.Now(), "b")
	f.SendLastCounts(ctx)
	requests := d.requests()
	counts := func(req *peer.FollowRequest) map[string]uint64 {
		byAccount := map[string]uint64{}
		for _, c := range req.Usage[0].Counts {
			byAccount[c.Account] = c.Count
		}
		return byAccount
	}
	for _, req := range requests[:min(3, len(requests))] {
		if diff := cmp.Diff(map[string]uint64{"a": 1}, counts(req)); diff != "" || req.UsageFinal || req.UsageWindow == 0 {
			t.Errorf("a call of an entry that runs, final %t, window %d: %s", req.UsageFinal, req.UsageWindow, diff)
		}
	}
	// The calls that go on may have sent the last counts too.
	last := requests[len(requests)-1]
	if diff := cmp.Diff(map[string]uint64{"a": 2, "b": 1}, counts(last)); diff != "" || !last.UsageFinal {
		t.Errorf("last call, final %t: %s", last.UsageFinal, diff)
	}
	if len(requests) < 4 || len(requests) > 6 {
		t.Errorf("%d calls have sent counts, want two that failed, one that has not, and the last ones", len(requests))
	}
}

// TestWithoutCounts guards against anything new in the calls of a deployment that does
// not report usage.
func TestWithoutCounts(t *testing.T) {
	var u *UsageConfig
	req := &peer.FollowRequest{}
	u.observe("r", 1)
	if last := u.set(req, 7); last != 0 {
		t.Errorf("last change %d", last)
	}
	if diff := cmp.Diff(&peer.FollowRequest{}, req, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}
