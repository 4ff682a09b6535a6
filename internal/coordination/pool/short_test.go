package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// TestShortRequests guards against refusals at a service whose only backend server is
// half free: with 23 entries each has a quota of 0 there, and a few requests of other
// entries, which ended long ago, closed it. Longer requests keep to the quota.
func TestShortRequests(t *testing.T) {
	const entries, slots, others = 23, 6, 3
	tests := map[string]struct {
		held time.Duration
		want string
	}{
		"30 ms, like a booking": {30 * time.Millisecond, "assign"},
		"2 s, like a stream":    {2 * time.Second, "refuse queue_too_long"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Config{FailureDomain: "fes", Random: rand.New(rand.NewPCG(1, 1))})
			v := &follower.View{Drained: map[string]bool{}, Entries: entries}
			v.Servers = append(v.Servers, follower.Server{ID: "s", StartedMS: 1, Service: "pool", FailureDomain: "fes", Slots: slots})
			v.Index = catalog.NewIndex(catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "pool"}}})
			p.Update(start, v)
			p.SetPeerLoads(start, map[string]uint32{})
			first, ok := p.Submit(start, request(0, start, time.Second)).(Assign)
			if !ok {
				t.Fatal("an idle backend server got no request")
			}
			now := start.Add(test.held)
			p.Done(now, "pool", first.Server.ID, first.Server.StartedMS, Answered, test.held, test.held)
			now = now.Add(exchangeInterval)
			p.SetPeerLoads(now, map[string]uint32{"s": others})
			p.servers["s"].quota = 0
			if got := kindOf(p.Submit(now, request(0, now, 150*time.Millisecond))); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}
