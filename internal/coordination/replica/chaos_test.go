package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// history records the results that callers received.
type history struct {
	mu         sync.Mutex
	acked      []string
	notRun     []string // refused with ran "no"
	missedRead string   // an acknowledged command that a later read did not return
}

// call proposes a command and then reads, at a replica that may not be the
// leader.
func (h *history) call(g *group, id uint64, command string) {
	g.mu.Lock()
	r := g.running[id]
	g.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := r.Propose(ctx, []byte(command))
	h.mu.Lock()
	if err == nil {
		h.acked = append(h.acked, command)
	} else if fault.From(err).Ran == fault.RanNo {
		h.notRun = append(h.notRun, command)
	}
	before := slices.Clone(h.acked)
	h.mu.Unlock()
	if _, err := r.ConfirmLeadership(ctx); err != nil {
		return
	}
	seen := map[string]bool{}
	for _, c := range r.machine.all() {
		seen[c] = true
	}
	for _, c := range before {
		if !seen[c] {
			h.mu.Lock()
			h.missedRead = c
			h.mu.Unlock()
		}
	}
}

// Guards against a worker that violates the guarantees of the algorithm: answers
// before the sync, answers of another proposal, "not run" for a command that
// runs, stale reads, and replicas that do not recover. Replicas are isolated or
// restarted at random under load.
func TestChaos(t *testing.T) {
	g := newGroup(t)
	g.limits = Limits{SnapshotEntries: 50, KeptEntries: 10, ChunkBytes: 200, SegmentBytes: 2000}
	for id := uint64(1); id <= 3; id++ {
		g.start(id, members(3))
	}
	g.propose("first")
	h := &history{}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				h.call(g, uint64(caller%3)+1, fmt.Sprint("c", caller, "-", i))
			}
		})
	}
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 8 {
		id := random.Uint64N(3) + 1
		if random.IntN(2) == 0 {
			g.isolate(id, true)
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			g.isolate(id, false)
		} else {
			g.stop(id)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			g.start(id, members(3))
		}
		g.propose(fmt.Sprint("round ", round))
	}
	cancel()
	callers.Wait()
	g.propose("last")
	commands := g.leader().machine.all()
	for id, r := range g.running {
		eventually(t, fmt.Sprint("replica ", id, " has the same log"), func() bool { return slices.Equal(commands, r.machine.all()) })
	}
	count := map[string]int{}
	for _, c := range commands {
		if count[c]++; count[c] > 1 {
			t.Errorf("%q ran twice", c)
		}
	}
	for _, c := range h.acked {
		if count[c] == 0 {
			t.Errorf("acknowledged %q is lost", c)
		}
	}
	for _, c := range h.notRun {
		if count[c] != 0 {
			t.Errorf("%q ran, but was refused as not run", c)
		}
	}
	if h.missedRead != "" || len(h.acked) == 0 {
		t.Errorf("a confirmed read did not return %q; %d acknowledged", h.missedRead, len(h.acked))
	}
	t.Logf("%d acknowledged, %d refused, %d ran", len(h.acked), len(h.notRun), len(commands))
}
