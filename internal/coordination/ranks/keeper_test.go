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

// fakeEngines is a group whose last rank falls silent once it has reported its
// copy.
type fakeEngines struct {
	mu     sync.Mutex
	engine *engine
	silent bool
	skewed uint64 // grows, so that counts differ
	held   time.Time
}

var errSilent = errors.New("no answer")

func (f *fakeEngines) index(to Rank) int { return int(to.ID[0] - '0') }

func (f *fakeEngines) Report(_ context.Context, to Rank) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent && f.index(to) == 3 {
		return Report{}, errSilent
	}
	r := f.engine.reports()[f.index(to)]
	r.Requests = 12
	f.silent = f.silent || (f.index(to) == 3 && r.PreparedVersion > 0)
	return r, nil
}

func (f *fakeEngines) ExpertCounts(context.Context, Rank) (ExpertCounts, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skewed += 1000
	return ExpertCounts{Epoch: 1, Sets: [][]uint64{{f.skewed, 10, 10, 10, f.skewed, 10, 10, 10}}}, nil
}

func (f *fakeEngines) Experts(_ context.Context, to Rank) (uint64, [][]int, error) {
	i := f.index(to)
	return 0, [][]int{{i, i + 4}}, nil
}

func (f *fakeEngines) Order(_ context.Context, to Rank, _ uint64, order Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent && f.index(to) == 3 {
		return Unanswered, errSilent
	}
	result := f.engine.apply(RankOrder{Rank: f.index(to), Order: order})
	if _, ok := order.(Prepare); ok && f.index(to) == 2 {
		result = Unanswered // a group is held only after a calm time
	}
	if f.engine.ranks[0].isHeld && f.held.IsZero() {
		f.held = time.Now()
	}
	return result, nil
}

// TestSilentRank guards against a group that is held while one of its ranks
// does not answer: nothing but the copy may be ordered then.
func TestSilentRank(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fakeEngines{engine: &engine{epoch: 1, pass: 100, ranks: make([]engineRank, 4)}}
	group := Group{Name: "g", Service: "pool", Epoch: 1, Ranks: []Rank{{ID: "0"}, {ID: "1"}, {ID: "2"}, {ID: "3"}}}
	New(ctx, Config{
		Client: f,
		Groups: func() []Group { return []Group{group} },
		Spec: func(string) (catalog.Experts, bool) {
			return catalog.Experts{Sets: 1, PerSet: 8, Slots: 12, Places: 4, MaxNew: 2}, true
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
			t.Fatal("no change was begun")
		}
	}
	// Longer than the calm time after which a group may be held.
	time.Sleep(calmTime + 2*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.held.IsZero() {
		t.Error("the group was held though a rank does not answer")
	}
}
