package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// BenchmarkChoice is the choice of one of 72 backend servers, in groups, and the end of
// the request.
func BenchmarkChoice(b *testing.B) {
	p := New(Config{FailureDomain: "fes", RetryRatio: 0.2, RetrySlack: 132, RetryWindow: 10 * time.Second, ColdSlack: 5, Random: rand.New(rand.NewPCG(1, 2))})
	engine := &catalog.Engine{Slots: 10, StepsPerPass: 7, StepTime: 4840 * time.Microsecond, RequestStepTime: 400 * time.Microsecond, MeanAnswerTokens: 160}
	v := &follower.View{Drained: map[string]bool{}, Entries: 19, EntryIndex: 3, Index: catalog.NewIndex(catalog.Catalog{
		Version: 1, Services: []catalog.Service{{Name: "pool", Engine: engine, ColdRequestsPerSecond: 20}},
	})}
	loads := map[string]uint32{}
	for i := range 72 {
		s := follower.Server{ID: fmt.Sprintf("s%d", i), StartedMS: 1, Service: "pool", FailureDomain: simDomains[i%3], Slots: 10, Group: fmt.Sprintf("g%d", i%3), Epoch: 1}
		v.Servers = append(v.Servers, s)
		loads[s.ID] = uint32(i % 8)
	}
	now := start
	p.Update(now, v)
	p.SetPeerLoads(now, loads)
	r := request(1, now, time.Second)
	r.TargetGap = 120 * time.Millisecond
	b.ReportAllocs()
	for i := range b.N {
		if i%100 == 0 {
			now = now.Add(10 * time.Millisecond)
		}
		r.Arrived, r.LatestStart = now, now.Add(time.Second)
		if a, ok := p.Submit(now, r).(Assign); ok {
			p.Done(now, "pool", a.Server.ID, 1, Answered, 150*time.Millisecond, 2*time.Second)
		}
	}
}
