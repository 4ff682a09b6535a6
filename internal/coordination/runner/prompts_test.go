package runner

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// TestRecentPrompts guards against prompts that are told twice or to the entry that
// sent them, against prompts that are lost without being counted, and against
// memory that grows with entries and prompts.
func TestRecentPrompts(t *testing.T) {
	type step struct {
		add, ask string // entry
		block    uint64
		want     []uint64
		missed   uint64
	}
	var many []step
	many = append(many, step{add: "a", block: 100}, step{ask: "b", want: []uint64{100}})
	for i := range uint64(20) {
		many = append(many, step{add: "a", block: i})
	}
	many = append(many, step{ask: "b", want: []uint64{12, 13, 14, 15, 16, 17, 18, 19}, missed: 12})
	tests := map[string][]step{
		"nothing":        {{ask: "a"}},
		"own":            {{add: "a", block: 1}, {ask: "a"}},
		"others":         {{add: "a", block: 1}, {add: "b", block: 2}, {add: "c", block: 3}, {ask: "a", want: []uint64{2, 3}}, {ask: "b", want: []uint64{1, 3}}},
		"told once":      {{add: "a", block: 1}, {ask: "b", want: []uint64{1}}, {ask: "b"}, {add: "a", block: 2}, {ask: "b", want: []uint64{2}}},
		"without blocks": {{add: "a"}, {ask: "b"}},
		"missed":         many,
		// An entry that asks for the first time has missed nothing that it needs.
		"new entry": append(many[:len(many)-1:len(many)-1], step{ask: "c", want: []uint64{12, 13, 14, 15, 16, 17, 18, 19}}),
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			var p recentPrompts
			for i, s := range steps {
				if s.add != "" {
					var blocks []uint64
					if s.block > 0 || name == "missed" || name == "new entry" {
						blocks = []uint64{s.block}
					}
					p.add(s.add, blocks)
					continue
				}
				news := p.news(s.ask)
				var got []uint64
				for _, prompt := range news.GetPrompts() {
					got = append(got, prompt.Blocks...)
				}
				if diff := cmp.Diff(s.want, got); diff != "" || news.GetMissed() != s.missed {
					t.Errorf("step %d: missed %d, want %d; %s", i, news.GetMissed(), s.missed, diff)
				}
			}
		})
	}
	var p recentPrompts
	for i := range 3 * maxToldEntries {
		p.add(fmt.Sprint("e", i), make([]uint64, 10*maxPromptBlocks))
		p.news(fmt.Sprint("f", i))
	}
	if len(p.told) > maxToldEntries || len(p.ring[0].blocks) > maxPromptBlocks {
		t.Errorf("%d entries and %d blocks are kept", len(p.told), len(p.ring[0].blocks))
	}
}

// TestHeadTellsPrompts guards against prompts of other entries that do not arrive
// with the head of an answer, and against those of a process that has ended.
func TestHeadTellsPrompts(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: true})
	ask := func(id, entry string, block uint64) []uint64 {
		t.Helper()
		req := b.completion(id, "pool-1", "prompt "+id, 4)
		req.Entry, req.PromptBlocks = &peer.Node{Id: entry}, []uint64{block}
		body, err := b.open(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		defer body.Close()
		var told []uint64
		for reader := frame.NewReader(body, id, 1); ; {
			f, err := reader.Read()
			if err != nil {
				return told
			}
			if f.GetFailure() != nil {
				t.Fatalf("%s: %v", id, f.GetFailure())
			}
			for _, p := range f.RecentPrompts.GetPrompts() {
				told = append(told, p.Blocks...)
			}
		}
	}
	var got [][]uint64
	got = append(got, ask("r1", "e1", 1), ask("r2", "e2", 2), ask("r3", "e1", 3), ask("r4", "e2", 4))
	incarnation := e.Record().Incarnation
	e.Apply(standin.Control{ExitAfterTokens: 1, RestartAfterMS: 50})
	b.dispatch(context.Background(), b.completion("r5", "pool-1", "prompt", 4))
	b.waitFor("the new process", func() bool {
		info, announced := b.role.backends.get("pool-1").snapshot()
		return announced && info.Incarnation != incarnation && b.role.backends.get("pool-1").adm.Incarnation() == info.Incarnation
	})
	got = append(got, ask("r6", "e1", 6))
	if diff := cmp.Diff([][]uint64{nil, {1}, {2}, {3}, nil}, got); diff != "" {
		t.Error(diff)
	}
}
