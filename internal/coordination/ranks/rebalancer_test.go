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

// lateHoldClient is a client of an idle group that leaves the first hold order
// unanswered and executes it once the group has been released.
type lateHoldClient struct {
	fakeClient
	late []RankOrder
}

func (f *lateHoldClient) Report(_ context.Context, to Rank) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.engine.reports()[f.index(to)]
	r.Requests = 12
	return r, nil
}

func (f *lateHoldClient) Order(_ context.Context, to Rank, _ uint64, order Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := RankOrder{Rank: f.index(to), Order: order}
	switch order.(type) {
	case Hold:
		if f.held.IsZero() {
			f.held, f.late = time.Now(), append(f.late, o)
			return Unanswered, errNoAnswer
		}
	case Go:
		result := f.engine.apply(o)
		for _, late := range f.late {
			f.engine.apply(late)
		}
		f.late = nil
		return result, nil
	}
	return f.engine.apply(o), nil
}

// TestLateHoldOfReleasedGroup guards against a hold order that is executed after its
// group was released and stops the group for good (review/2): the group was idle, so
// that the held pass had not begun.
func TestLateHoldOfReleasedGroup(t *testing.T) {
	f := &lateHoldClient{fakeClient: fakeClient{engine: &simulatedGroup{epoch: 1, pass: 100, ranks: make([]simulatedRank, 4)}}}
	group := Group{Name: "g", Service: "pool", Epoch: 1, Ranks: []Rank{{ID: "0"}, {ID: "1"}, {ID: "2"}, {ID: "3"}}}
	New(t.Context(), Config{
		Client: f,
		Groups: func() []Group { return []Group{group} },
		Spec: func(string) (catalog.Experts, bool) {
			return catalog.Experts{Sets: 1, ExpertsPerSet: 8, Slots: 12, MaxExpertsPerRank: 4, MaxNewExperts: 2}, true
		},
		ConfirmLeadership: func(context.Context) (uint64, error) { return 1, nil },
	}, hclog.NewNullLogger(), tally.NoopScope)
	isHeldAgain := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.held.IsZero() && f.late == nil
	}
	for deadline := time.Now().Add(20 * time.Second); !isHeldAgain(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no group was released within 20 s")
		}
	}
	// Requests arrive: the group starts passes up to the one that is held.
	const bound = 2 * time.Second // callers abandon a stream without events after it
	passes := func() uint64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.engine.advance()
		return f.engine.pass
	}
	for deadline := time.Now().Add(bound); passes() < 100+4*holdLead; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the group is still at pass %d after %v, ranks %+v", f.engine.pass, bound, f.engine.ranks)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engine.violation != "" || f.engine.ranks[0].version == 0 {
		t.Errorf("violation %q, map in use %d", f.engine.violation, f.engine.ranks[0].version)
	}
}
