package ranks

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// groupsClient is a client of several groups whose popularity shifts with each switch,
// so that there is always a step that pays. A pass begins with each read of a report.
type groupsClient struct {
	mu       sync.Mutex
	engines  map[string]*simulatedGroup // by group
	prepared map[string]map[uint64]Map
	counts   []uint64
	unsafe   int // prepare orders while a rank was armed or held
}

func (f *groupsClient) Report(_ context.Context, to Rank) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[to.ID[:1]]
	if to.ID[1] == '0' {
		e.advance()
	}
	r := e.reports()[to.ID[1]-'0']
	r.Requests = 10
	return r, nil
}

func (f *groupsClient) ExpertCounts(context.Context, Rank) (ExpertCounts, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	popular := int(f.engines["a"].ranks[0].version+f.engines["b"].ranks[0].version) % len(f.counts)
	for e := range f.counts {
		f.counts[e] += 100
	}
	f.counts[popular] += 5000
	return ExpertCounts{Epoch: 1, Sets: [][]uint64{append([]uint64(nil), f.counts...)}}, nil
}

func (f *groupsClient) Experts(_ context.Context, to Rank) (uint64, [][]int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := int(to.ID[1] - '0')
	version := f.engines[to.ID[:1]].ranks[rank].version
	if m := f.prepared[to.ID[:1]][version]; m != nil {
		return version, [][]int{m[0][rank]}, nil
	}
	return version, [][]int{{rank, rank + 4}}, nil
}

func (f *groupsClient) Order(_ context.Context, to Rank, _ uint64, order Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := to.ID[:1]
	if p, ok := order.(Prepare); ok {
		for _, r := range f.engines[name].ranks {
			if r.isHeld || r.armed > 0 {
				f.unsafe++
			}
		}
		if f.prepared[name] == nil {
			f.prepared[name] = map[uint64]Map{}
		}
		f.prepared[name][p.Version] = p.Map
	}
	return f.engines[name].apply(RankOrder{Rank: int(to.ID[1] - '0'), Order: order}), nil
}

// TestConcurrentGroups guards against steps of one group that disturb those of another,
// against a step prepared while a rank is armed or held, and against a Rebalancer that
// makes no second step.
func TestConcurrentGroups(t *testing.T) {
	const steps = 2
	f := &groupsClient{engines: map[string]*simulatedGroup{}, prepared: map[string]map[uint64]Map{}, counts: make([]uint64, 8)}
	var groups []Group
	for _, name := range []string{"a", "b"} {
		f.engines[name] = &simulatedGroup{epoch: 1, pass: 100, ranks: make([]simulatedRank, 4)}
		groups = append(groups, Group{Name: name, Service: "pool", Epoch: 1, Ranks: []Rank{{ID: name + "0"}, {ID: name + "1"}, {ID: name + "2"}, {ID: name + "3"}}})
	}
	New(t.Context(), Config{
		Client: f,
		Groups: func() []Group { return groups },
		Spec: func(string) (catalog.Experts, bool) {
			return catalog.Experts{
				Sets: 1, ExpertsPerSet: 8, Slots: 10, MaxExpertsPerRank: 4, MaxNewExperts: 2,
				ExpertBytes: 1e6, CopyBytesPerSecond: 1e9, ExpertShare: 0.85,
			}, true
		},
		ConfirmLeadership: func(context.Context) (uint64, error) { return 1, nil },
	}, hclog.NewNullLogger(), tally.NoopScope)
	isDone := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, g := range groups {
			if f.engines[g.Name].ranks[0].version&(1<<24-1) == 0 || len(f.prepared[g.Name]) < steps {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(20 * time.Second); !isDone(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.mu.Lock()
			defer f.mu.Unlock()
			t.Fatalf("fewer than %d steps of a group within 20 s: %+v, %+v", steps, f.engines["a"].ranks, f.engines["b"].ranks)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.engines {
		if e.violation != "" {
			t.Errorf("group %s: %s", name, e.violation)
		}
	}
	if f.unsafe > 0 {
		t.Errorf("%d prepare orders while a rank of the group was armed or held", f.unsafe)
	}
}
