package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against an engine that holds more requests or tokens than it can
// handle, with wrong length estimates, growth, preemption, late figures, lost
// cancellations, restarts of either side and cold turns, also silent ones.
func TestNeverOverloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.announce(1)
		// The engine gets warm first.
		s.phase(phase{Steps: 300, Arrivals: 20, Event: noEvent})
		phases := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) phase {
			return phase{
				Steps:    rapid.IntRange(1, 150).Draw(t, "steps"),
				Arrivals: rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "arrivals"),
				Event:    rapid.IntRange(coldSilent, noEvent).Draw(t, "event"),
			}
		}), 1, 8).Draw(t, "phases")
		for _, p := range phases {
			s.phase(p)
		}
	})
}

// server returns a warm server of an engine with 1,000 tokens, whose lengths
// are known to be about 100 tokens.
func server(t *testing.T, now *time.Time) *Controller {
	t.Helper()
	s := New()
	announce := Announce{Incarnation: 1, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 2, MinBytesPerToken: 1}}
	s.Step(*now, announce)
	for round := uint64(1); s.limiter.limit < 8 || s.View(*now).Limit < 8; round++ {
		if round > 1000 {
			t.Fatal("the limit never grew")
		}
		first := round * 1000
		for id := first; len(s.Step(*now, Arrive{ID: id, PromptTokens: 1, MaxTokens: 100})) == 1 && s.running[id] != nil; id++ {
		}
		*now = now.Add(20 * time.Millisecond)
		s.Step(*now, Progress{ID: first, PromptTokens: 1, Tokens: 100, StepUS: 20_000})
		for id := range s.running {
			s.Step(*now, Release{ID: id, Finished: true})
		}
	}
	return s
}

// Guards against a request that is admitted although its bound can never fit,
// and against a wrong reason, which tells entries whether to come back.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		before []Input
		arrive Arrive
		want   []Effect
	}{
		"too large":    {nil, Arrive{ID: 1, PromptBytes: 900, MaxTokens: 101}, []Effect{Refuse{ID: 1, Reason: TooLarge}}},
		"fits exactly": {nil, Arrive{ID: 1, PromptBytes: 900, MaxTokens: 100}, []Effect{Admit{ID: 1}}},
		"memory": {[]Input{Arrive{ID: 7, PromptBytes: 500, MaxTokens: 100}}, Arrive{ID: 1, PromptBytes: 300, MaxTokens: 101},
			[]Effect{Refuse{ID: 1, Reason: Memory}}},
		"known prompt": {[]Input{Arrive{ID: 7, PromptBytes: 500, MaxTokens: 100}, Progress{ID: 7, PromptTokens: 125, Tokens: 1}},
			Arrive{ID: 1, PromptBytes: 300, MaxTokens: 101}, []Effect{Admit{ID: 1}}},
		"gone": {[]Input{AnnouncementExpired{}}, Arrive{ID: 1, PromptBytes: 1, MaxTokens: 1}, []Effect{Refuse{ID: 1, Reason: Unannounced}}},
		"new incarnation is cold": {[]Input{
			Announce{Incarnation: 2, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 1, MinBytesPerToken: 1}},
			Announce{Incarnation: 2, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 1, MinBytesPerToken: 1}},
			Arrive{ID: 7, PromptBytes: 1, MaxTokens: 1},
		}, Arrive{ID: 1, PromptBytes: 1, MaxTokens: 1}, []Effect{Refuse{ID: 1, Reason: Cold}}},
		"late announcement of an earlier incarnation": {[]Input{
			Announce{Incarnation: 2, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 8, MinBytesPerToken: 1}},
		}, Arrive{ID: 1, PromptBytes: 1, MaxTokens: 1}, []Effect{Refuse{ID: 1, Reason: Unannounced}}},
		"load of another agent": {[]Input{
			Announce{Incarnation: 2, Running: 1, TokensHeld: 10, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 1, MinBytesPerToken: 1}},
			Announce{Incarnation: 2, Running: 1, TokensHeld: 10, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 1, MinBytesPerToken: 1}},
		}, Arrive{ID: 1, PromptBytes: 1, MaxTokens: 1}, []Effect{Refuse{ID: 1, Reason: Cold}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := server(t, &now)
			for _, in := range test.before {
				s.Step(now, in)
			}
			got := s.Step(now, test.arrive)
			for i, e := range got {
				if r, ok := e.(Refuse); ok {
					r.RetryAfter, r.Transient = 0, false
					got[i] = r
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a preemption of the urgent or the nearly finished stream
// when one outgrows its reservation.
func TestPreemptionChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server(t, &now)
	s.lengths = lengths{}
	for range minLengths {
		s.lengths.add(40)
	}
	for _, a := range []Arrive{
		{ID: 1, PromptTokens: 300, MaxTokens: 600, Preemptible: true, Priority: 1},
		{ID: 2, PromptTokens: 250, MaxTokens: 600, Preemptible: true},
		{ID: 3, PromptTokens: 200, MaxTokens: 600, Preemptible: true},
	} {
		if diff := cmp.Diff([]Effect{Admit{ID: a.ID}}, s.Step(now, a)); diff != "" {
			t.Fatal(diff)
		}
	}
	var got []Effect
	for tokens := uint64(1); len(got) == 0 && tokens < 600; tokens++ {
		for id := uint64(1); id <= 3; id++ {
			prompt := map[uint64]uint64{1: 300, 2: 250, 3: 200}[id]
			got = append(got, s.Step(now, Progress{ID: id, PromptTokens: prompt, Tokens: tokens})...)
		}
	}
	if diff := cmp.Diff([]Effect{Preempt{ID: 3}}, got); diff != "" {
		t.Error(diff)
	}
	if got := s.Step(now, Release{ID: 3}); len(got) != 0 {
		t.Errorf("effects of a release: %v", got)
	}
}

// Guards against an engine that turned cold in silence and is sent more for
// longer than one step, and against a limit that comes back after one healthy
// step.
func TestSlowStepsLowerTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server(t, &now)
	for id := uint64(1); id <= 4; id++ {
		s.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 50, Preemptible: true})
	}
	step := func(us uint32) []Effect {
		now = now.Add(time.Duration(us) * time.Microsecond)
		return s.Step(now, Progress{ID: 1, PromptTokens: 10, Tokens: 1, StepUS: us})
	}
	step(50_000)
	if got := s.View(now).Limit; got != 2 {
		t.Errorf("limit after one slow step is %d, want 2", got)
	}
	for range restoreSteps {
		step(20_000)
	}
	if got := s.View(now).Limit; got != 8 {
		t.Errorf("limit after healthy steps is %d, want 8", got)
	}
	var effects []Effect
	for range confirmSteps {
		effects = append(effects, step(80_000)...)
	}
	if diff := cmp.Diff([]Effect{Preempt{ID: 4}, Preempt{ID: 3}}, effects); diff != "" {
		t.Error(diff)
	}
	for range restoreSteps {
		step(20_000)
	}
	if got := s.View(now).Limit; got != 2 {
		t.Errorf("limit after a confirmed cold turn is %d, want 2", got)
	}
}

// Guards against a limit that grows right after a slow time, because the time
// since the last growth has passed meanwhile.
func TestSlowTimeIsNoPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server(t, &now)
	s.Step(now, Arrive{ID: 1, PromptTokens: 10, MaxTokens: 50})
	step := func(us uint32) {
		now = now.Add(time.Duration(us) * time.Microsecond)
		s.Step(now, Progress{ID: 1, PromptTokens: 10, Tokens: 1, StepUS: us})
	}
	for range 20 {
		step(80_000)
	}
	for range growSteps + restoreSteps {
		step(20_000)
	}
	if got := s.View(now).Limit; got != 2 {
		t.Errorf("limit is %d, want 2 until %v of healthy steps", got, growTime)
	}
}

// Guards against a lost cache that is taken for a new prompt.
func TestLostCache(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server(t, &now)
	for id, cached := range map[uint64]uint64{1: 5} {
		s.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 5, Prefix: 9})
		s.Step(now, Progress{ID: id, PromptTokens: 10, CachedTokens: cached, Tokens: 1, StepUS: 20_000})
	}
	if got := s.limiter.limit; got != 8 {
		t.Fatalf("limit is %d, want 8", got)
	}
	s.Step(now, Arrive{ID: 2, PromptTokens: 10, MaxTokens: 5, Prefix: 9})
	s.Step(now, Progress{ID: 2, PromptTokens: 10, Tokens: 1, StepUS: 20_000})
	if got := s.limiter.limit; got != 2 {
		t.Errorf("limit after a lost cache is %d, want 2", got)
	}
}

// Guards against a prediction outside of the lengths seen.
func TestLengths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l lengths
		seen := rapid.SliceOfN(rapid.Uint64Range(1, 5000), minLengths, 400).Draw(t, "lengths")
		longest := uint64(0)
		for _, n := range seen {
			l.add(n)
			longest = max(longest, n)
		}
		n := rapid.Uint64Range(0, 6000).Draw(t, "tokens")
		if got := l.predict(n); got > 2*longest+growBlock {
			t.Errorf("predicted %d more after %d, longest seen %d", got, n, longest)
		}
	})
}

// Measures one figure and one arrival with a full engine.
func BenchmarkStep(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New()
	s.Step(now, Announce{Incarnation: 1, Limits: Limits{MemoryTokens: 1 << 20, MaxConcurrent: 64, ColdConcurrent: 64, MinBytesPerToken: 1}})
	for id := uint64(1); id <= 64; id++ {
		s.Step(now, Arrive{ID: id, PromptTokens: 100, MaxTokens: 4000, Preemptible: true})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := uint64(i)%64 + 1
		if id == 1 {
			now = now.Add(20 * time.Millisecond)
		}
		s.Step(now, Progress{ID: id, PromptTokens: 100, Tokens: uint64(i/64) % 3000, StepUS: 20_000})
		s.Step(now, Arrive{ID: 1 << 40, PromptTokens: 100, MaxTokens: 100})
	}
}
