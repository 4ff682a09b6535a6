package ranks

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// spoiledLists are lists of the experts of one rank, of 8 in one set, that it cannot
// host.
var spoiledLists = map[string][][]int{
	"beyond the last":  {{0, 9}},
	"far beyond":       {{0, 1 << 40}},
	"negative":         {{0, -1}},
	"another":          {{0, 5}}, // so that 4 is missing
	"twice":            {{4, 4, 0}},
	"none":             {{}},
	"more than exist":  {{0, 4, 1, 2, 3, 5, 6, 7, 0}},
	"null":             {nil},
	"no set":           {},
	"one set too many": {{0, 4}, {0, 4}},
}

// spoilingClient is a client of a group whose first rank spoils its first lists.
type spoilingClient struct {
	fakeClient
	spoiled [][][]int
}

func (f *spoilingClient) Experts(ctx context.Context, to Rank) (uint64, [][]int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.index(to) == 0 && len(f.spoiled) > 0 {
		list := f.spoiled[0]
		f.spoiled = f.spoiled[1:]
		return 0, list, nil
	}
	return f.fakeClient.Experts(ctx, to)
}

// TestSpoiledLists guards against a process that ends, or a group that is not balanced
// any more, because a rank has listed experts that it cannot host.
func TestSpoiledLists(t *testing.T) {
	for name, list := range spoiledLists {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &spoilingClient{fakeClient: fakeClient{engine: &simulatedGroup{epoch: 1, pass: 100, ranks: make([]simulatedRank, 4)}}, spoiled: [][][]int{list, list}}
			scope := tally.NewTestScope("", nil)
			New(t.Context(), Config{
				Client: f,
				Groups: func() []Group {
					return []Group{{Name: "g", Service: "pool", Epoch: 1, Ranks: []Rank{{ID: "0"}, {ID: "1"}, {ID: "2"}, {ID: "3"}}}}
				},
				Spec: func(string) (catalog.Experts, bool) {
					return catalog.Experts{Sets: 1, ExpertsPerSet: 8, Slots: 12, MaxExpertsPerRank: 4, MaxNewExperts: 2}, true
				},
				ConfirmLeadership: func(context.Context) (uint64, error) { return 1, nil },
			}, hclog.NewNullLogger(), scope)
			for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				if c := scope.Snapshot().Counters()["map_changes_begun+"]; c != nil && c.Value() > 0 {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("no change started within 20 s")
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.spoiled) > 0 {
				t.Errorf("a change started by a spoiled list, %d are left", len(f.spoiled))
			}
		})
	}
}

// FuzzCheckMap guards against a map that passes the check and cannot be planned with.
func FuzzCheckMap(f *testing.F) {
	f.Add([]byte{0, 4, 255, 1, 5, 255, 2, 6, 255, 3, 7})
	f.Add([]byte{0, 9, 255, 1, 5, 255, 2, 6, 255, 3, 7})
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 255, 255, 255, 4})
	spec := catalog.Experts{Sets: 1, ExpertsPerSet: 8, Slots: 12, MaxExpertsPerRank: 4, MaxNewExperts: 2}
	counts := func(n uint64) map[string]ExpertCounts {
		return map[string]ExpertCounts{"r": {Epoch: 1, Sets: [][]uint64{{9 * n, n, n, n, 9 * n, n, n, n}}}}
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		hosted := [][]int{{}}
		for _, b := range data {
			if b == 255 { // the next rank
				hosted = append(hosted, []int{})
				continue
			}
			hosted[len(hosted)-1] = append(hosted[len(hosted)-1], int(int8(b)))
		}
		content := Map{hosted}
		if checkMap(content, spec) != nil {
			return
		}
		for _, spec := range []catalog.Experts{spec, {Sets: 1, ExpertsPerSet: 8, Slots: 12, MaxExpertsPerRank: 4, MaxNewExperts: 2, ExpertBytes: 1e8, CopyBytesPerSecond: 1e10, ExpertShare: 0.5}} {
			p := newPopularity()
			for n := range uint64(3) {
				p.observe(time.Unix(int64(n), 0), spec, counts(1000*(n+1)))
			}
			p.improve(spec, content, 1)
			p.improveStep(spec, content, costs{copyTime: time.Millisecond, orderTime: time.Second, expertShare: 0.5, lifetime: time.Minute, load: 1})
		}
	})
}
