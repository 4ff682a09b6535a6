package ranks

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// fakeClient is a client of a group whose last rank stops answering once it has
// reported that it is prepared.
type fakeClient struct {
	mu     sync.Mutex
	engine *simulatedGroup
	silent bool
	skewed uint64    // grows, so that the counts of two reads differ
	held   time.Time // when the group was first held
}

var errNoAnswer = errors.New("no answer")

func (f *fakeClient) index(to Rank) int { return int(to.ID[0] - '0') }

func (f *fakeClient) Report(_ context.Context, to Rank) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent && f.index(to) == 3 {
		return Report{}, errNoAnswer
	}
	r := f.engine.reports()[f.index(to)]
	r.Requests = 12
	f.silent = f.silent || (f.index(to) == 3 && r.PreparedVersion > 0)
	return r, nil
}

func (f *fakeClient) ExpertCounts(context.Context, Rank) (ExpertCounts, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skewed += 1000
	return ExpertCounts{Epoch: 1, Sets: [][]uint64{{f.skewed, 10, 10, 10, f.skewed, 10, 10, 10}}}, nil
}

func (f *fakeClient) Experts(_ context.Context, to Rank) (uint64, [][]int, error) {
	i := f.index(to)
	return 0, [][]int{{i, i + 4}}, nil
}

func (f *fakeClient) Order(_ context.Context, to Rank, _ uint64, order Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent && f.index(to) == 3 {
		return Unanswered, errNoAnswer
	}
	result := f.engine.apply(RankOrder{Rank: f.index(to), Order: order})
	if _, ok := order.(Prepare); ok && f.index(to) == 2 {
		result = Unanswered // although it is carried out
	}
	if f.engine.ranks[0].isHeld && f.held.IsZero() {
		f.held = time.Now()
	}
	return result, nil
}

// TestSilentRank guards against a group that is held while one of its ranks does not
// answer: only prepare orders may be sent then.
func TestSilentRank(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fakeClient{engine: &simulatedGroup{epoch: 1, pass: 100, ranks: make([]simulatedRank, 4)}}
	group := Group{Name: "g", Service: "pool", Epoch: 1, Ranks: []Rank{{ID: "0"}, {ID: "1"}, {ID: "2"}, {ID: "3"}}}
	New(ctx, Config{
		Client: f,
		Groups: func() []Group { return []Group{group} },
		Spec: func(string) (catalog.Experts, bool) {
			return catalog.Experts{Sets: 1, ExpertsPerSet: 8, Slots: 12, MaxExpertsPerRank: 4, MaxNewExperts: 2}, true
		},
		ConfirmLeadership: func(context.Context) (uint64, error) { return 1, nil },
	}, hclog.NewNullLogger(), tally.NoopScope)
	prepared := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.silent
	}
	for deadline := time.Now().Add(20 * time.Second); !prepared(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no change started within 20 s")
		}
	}
	// Wait longer than the time after which a group may be held.
	time.Sleep(stableTime + 2*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.held.IsZero() {
		t.Error("the group was held although a rank does not answer")
	}
}
