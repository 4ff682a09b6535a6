package runner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// Guards against an answer with bytes of another request, out of order or
// missing, while many streams run at once.
func TestStreamsAreWhole(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: true})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			for try := range 400 {
				got := b.dispatch(context.Background(), b.completion(fmt.Sprintf("r-%d-%d", i, try), "pool-1", prompt, 40))
				if got.failure != nil && got.failure.Ran == "no" {
					b.pause(got.failure.RetryAfterMs)
					continue
				}
				if got.end == nil {
					t.Errorf("%d: %v %v", i, got.kind(), got.err)
					return
				}
				if diff := cmp.Diff(standin.Answer(prompt, got.end.Tokens), got.text); diff != "" {
					t.Error(diff)
				}
				return
			}
			t.Errorf("%d: never admitted", i)
		})
	}
	wg.Wait()
	if r := e.Record(); r.CrashReason != "" || r.Finished != 24 {
		t.Errorf("record %+v", r)
	}
}

// Guards against a wrong answer from an engine that crashes while it answers:
// its streams must end with a failure after the bytes received, and be
// continued from there elsewhere, byte for byte.
func TestEngineDies(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: true, MinAnswer: 60, MaxAnswer: 60})
	b.engine(standin.EngineConfig{Name: "pool-2", StartWarm: true, Resumes: true, MinAnswer: 60, MaxAnswer: 60})
	e.Apply(standin.Control{ExitAfterTokens: 20, RestartAfterMS: 50})
	got := b.dispatch(context.Background(), b.completion("r", "pool-1", "prompt", 100))
	if got.kind() != "backend_failed/unknown" || got.text == "" {
		t.Fatalf("got %s with %q", got.kind(), got.text)
	}
	next := b.completion("r", "pool-2", "prompt", 100)
	next.Attempt.Number = 2
	next.Resume = &peer.Resume{Text: got.text, Tokens: uint64(strings.Count(got.text, " "))}
	rest := b.dispatch(context.Background(), next)
	if diff := cmp.Diff(standin.Answer("prompt", 60), got.text+rest.text); diff != "" {
		t.Errorf("%s: %s", rest.kind(), diff)
	}
	b.waitFor("the restart", func() bool {
		r := b.dispatch(context.Background(), b.completion(fmt.Sprint("new-", time.Now().UnixNano()), "pool-1", "prompt", 10))
		return r.kind() == "end"
	})
	if load := b.role.backends.get("pool-1").currentLoad(1); load.Limit != 2 {
		t.Errorf("limit after a restart is %d, want the cold limit, 2", load.Limit)
	}
}

// Guards against a wrong answer, or an engine that crashes, when answers exceed
// the memory and streams are preempted.
func TestPreemption(t *testing.T) {
	t.Parallel()
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{
		Name: "pool-1", StartWarm: true, Resumes: true, MinAnswer: 400, MaxAnswer: 400,
		MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 8, StepTime: 4 * time.Millisecond,
	})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			prompt := fmt.Sprint("prompt ", i)
			for try := range 2000 {
				got := b.dispatch(context.Background(), b.completion(fmt.Sprintf("r-%d-%d", i, try), "pool-1", prompt, 400))
				if got.failure != nil && got.failure.Ran == "no" {
					b.pause(got.failure.RetryAfterMs)
					continue
				}
				if diff := cmp.Diff(standin.Answer(prompt, 400), got.text); diff != "" {
					t.Errorf("%d: %s %v: %s", i, got.kind(), got.failure, diff)
				}
				return
			}
			t.Errorf("%d: never admitted", i)
		})
	}
	wg.Wait()
	r := e.Record()
	if r.CrashReason != "" || r.MaxTokensHeld > 1000 || r.Cancelled == 0 {
		t.Errorf("crash reason %q, %d tokens at most, %d cancelled", r.CrashReason, r.MaxTokensHeld, r.Cancelled)
	}
}

// Guards against a slow reader that occupies the engine's memory or more than
// its buffer, or that gets another answer than a fast one.
func TestSlowReaders(t *testing.T) {
	t.Parallel()
	tests := map[string]bool{"engine resumes": true, "engine does not resume": false}
	for name, resumes := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, func(s *Settings) { s.BufferBytesPerStream = 16 << 10 })
			e := b.engine(standin.EngineConfig{
				Name: "pool-1", StartWarm: true, Resumes: resumes, MinAnswer: 6_000, MaxAnswer: 6_000,
				MemoryTokens: 100_000, StepTime: 50 * time.Microsecond,
			})
			req := b.completion("slow", "pool-1", "prompt", 6_000)
			body, err := b.open(context.Background(), req)
			if err != nil {
				t.Fatal(err)
			}
			defer body.Close()
			if resumes {
				b.waitFor("the cancellation", func() bool { return e.Record().Cancelled > 0 })
				b.waitFor("free memory", func() bool { return b.role.backends.get("pool-1").currentLoad(1).TokensReserved == 0 })
			} else {
				last := uint64(0)
				b.waitFor("the engine to stall", func() bool {
					now := e.Record().Tokens
					same := now == last && now > 0
					last = now
					b.pause(100)
					return same
				})
			}
			if peak := b.role.bufferBudget.peak.Load(); peak > 16<<10+int64(len(standin.Answer("prompt", 6_000))) {
				t.Errorf("held %d bytes", peak)
			}
			got := readAll(body, req)
			if got.text != standin.Answer("prompt", 6_000) {
				t.Errorf("got %s with %d bytes of text: %v", got.kind(), len(got.text), got.failure)
			}
			b.waitFor("free buffer", func() bool { return b.role.bufferBudget.used.Load() == 0 })
		})
	}
}

// Guards against an engine that becomes cold without announcing it, under load
// or idle, and gets more than its cold capacity before it is announced as cold.
func TestSilentCold(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{
		Name: "pool-1", Resumes: true, MinAnswer: 20, MaxAnswer: 60, MaxConcurrent: 16, ColdConcurrent: 2,
		StepTime: 10 * time.Millisecond, WarmSteps: 20,
	})
	load := func(phase string) (stop func()) {
		done, end := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				for n := 0; done.Err() == nil; n++ {
					prompt := fmt.Sprint(phase, " prompt ", i, " ", n)
					got := b.dispatch(context.Background(), b.completion(prompt, "pool-1", prompt, 60))
					switch {
					case got.end != nil && got.text != standin.Answer(prompt, got.end.Tokens):
						t.Errorf("%s: answer differs", prompt)
					case got.failure != nil && got.failure.Ran == "no":
						b.pause(5)
					case got.failure != nil:
						t.Errorf("%s: %s", prompt, got.kind())
					}
				}
			})
		}
		return func() { end(); wg.Wait() }
	}
	defer func() { t.Log(e.Record().Crashes) }()
	limit := func() uint32 { return b.role.backends.get("pool-1").currentLoad(1).Limit }
	stop := load("first")
	defer func() { stop() }()
	b.waitFor("full limit", func() bool { return limit() == 16 })
	e.Apply(standin.Control{Cold: "silent"})
	b.waitFor("cold limit", func() bool { return limit() == 2 })
	b.waitFor("full limit again", func() bool { return limit() == 16 })
	stop()
	e.Apply(standin.Control{Cold: "silent"})
	b.waitIdle(e)
	stop = load("idle")
	b.pause(300)
	stop()
	if r := e.Record(); r.CrashReason != "" || r.ColdTransitions != 2 {
		t.Errorf("crash reason %q; became cold %d times, want 2", r.CrashReason, r.ColdTransitions)
	}
}

// Guards against the refusal of a burst by an idle warm engine, and against a
// burst that reaches it before a step has shown that it is still warm.
func TestBurstAfterIdle(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{
		Name: "pool-1", Resumes: true, MinAnswer: 50, MaxAnswer: 50, MaxConcurrent: 8, ColdConcurrent: 2,
		StepTime: 10 * time.Millisecond, WarmSteps: 20,
	})
	limit := func() uint32 { return b.role.backends.get("pool-1").currentLoad(1).Limit }
	burst := func(phase string) (refused int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 8 {
			wg.Go(func() {
				prompt := fmt.Sprint(phase, i)
				if got := b.dispatch(context.Background(), b.completion(prompt, "pool-1", prompt, 50)); got.text != standin.Answer(prompt, 50) {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return refused
	}
	n := 0
	b.waitFor("a warm limit", func() bool { n++; burst(fmt.Sprint("warm ", n, " ")); return limit() == 8 })
	b.waitIdle(e)
	if refused := burst("after idle "); refused > 0 {
		t.Errorf("%d of 8 were refused", refused)
	}
	if r := e.Record(); r.CrashReason != "" {
		t.Errorf("engine crashed: %s", r.CrashReason)
	}
}
