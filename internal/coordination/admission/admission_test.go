package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against an engine that holds more requests or tokens than its capacity.
// The cases include wrong length estimates, growth, preemption, delayed reports,
// lost cancellations, restarts of the engine or the agent, and an engine that
// becomes cold, with or without announcing it.
func TestNeverOverloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.announce(1)
		// The engine warms up first.
		s.phase(phase{Steps: 300, Arrivals: 20, Event: noEvent})
		phases := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) phase {
			return phase{
				Steps:    rapid.IntRange(1, 150).Draw(t, "steps"),
				Arrivals: rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "arrivals"),
				Event:    rapid.IntRange(coldUnannounced, noEvent).Draw(t, "event"),
			}
		}), 1, 8).Draw(t, "phases")
		for _, p := range phases {
			s.phase(p)
		}
	})
}

// warmController returns the Controller of a warm engine with memory for 1,000
// tokens, after answers of about 100 tokens.
func warmController(t *testing.T, now *time.Time) *Controller {
	t.Helper()
	c := New()
	announce := Announce{Incarnation: 1, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 2, MinBytesPerToken: 1}}
	c.Step(*now, announce)
	for round := uint64(1); c.limiter.limit < 8 || c.View(*now).Limit < 8; round++ {
		if round > 1000 {
			t.Fatal("the limit never grew")
		}
		first := round * 1000
		for id := first; len(c.Step(*now, Arrive{ID: id, PromptTokens: 1, MaxTokens: 100})) == 1 && c.running[id] != nil; id++ {
		}
		*now = now.Add(20 * time.Millisecond)
		c.Step(*now, Progress{ID: first, PromptTokens: 1, Tokens: 100, StepUS: 20_000})
		for id := range c.running {
			c.Step(*now, Release{ID: id, Finished: true})
		}
	}
	return c
}

// Guards against a request that is admitted although its upper bound never fits,
// and against a wrong reason, by which entries decide whether to retry.
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
			c := warmController(t, &now)
			for _, in := range test.before {
				c.Step(now, in)
			}
			got := c.Step(now, test.arrive)
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

// Guards against the preemption of the stream with a higher priority or with more
// tokens when a stream exceeds its reservation.
func TestPreemptionChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	c := warmController(t, &now)
	c.lengths = lengthHistogram{}
	for range minLengthSamples {
		c.lengths.add(40)
	}
	for _, a := range []Arrive{
		{ID: 1, PromptTokens: 300, MaxTokens: 600, Preemptible: true, Priority: 1},
		{ID: 2, PromptTokens: 250, MaxTokens: 600, Preemptible: true},
		{ID: 3, PromptTokens: 200, MaxTokens: 600, Preemptible: true},
	} {
		if diff := cmp.Diff([]Effect{Admit{ID: a.ID}}, c.Step(now, a)); diff != "" {
			t.Fatal(diff)
		}
	}
	var got []Effect
	for tokens := uint64(1); len(got) == 0 && tokens < 600; tokens++ {
		for id := uint64(1); id <= 3; id++ {
			prompt := map[uint64]uint64{1: 300, 2: 250, 3: 200}[id]
			got = append(got, c.Step(now, Progress{ID: id, PromptTokens: prompt, Tokens: tokens})...)
		}
	}
	if diff := cmp.Diff([]Effect{Preempt{ID: 3}}, got); diff != "" {
		t.Error(diff)
	}
	if got := c.Step(now, Release{ID: 3}); len(got) != 0 {
		t.Errorf("effects of a release: %v", got)
	}
}

// Guards against an engine that became cold without announcing it and is sent
// more requests for longer than one step, and against a limit that is restored
// after a single healthy step.
func TestSlowStepsLowerTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	c := warmController(t, &now)
	for id := uint64(1); id <= 4; id++ {
		c.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 50, Preemptible: true})
	}
	step := func(us uint32) []Effect {
		now = now.Add(time.Duration(us) * time.Microsecond)
		return c.Step(now, Progress{ID: 1, PromptTokens: 10, Tokens: 1, StepUS: us})
	}
	step(50_000)
	if got := c.View(now).Limit; got != 2 {
		t.Errorf("limit after one slow step is %d, want 2", got)
	}
	for range restoreSteps {
		step(20_000)
	}
	if got := c.View(now).Limit; got != 8 {
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
	if got := c.View(now).Limit; got != 2 {
		t.Errorf("limit after confirmed slow steps is %d, want 2", got)
	}
}

// Guards against a limit that grows right after a time of slow steps, because that
// time counts towards the period of healthy steps.
func TestSlowTimeIsNoPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	c := warmController(t, &now)
	c.Step(now, Arrive{ID: 1, PromptTokens: 10, MaxTokens: 50})
	step := func(us uint32) {
		now = now.Add(time.Duration(us) * time.Microsecond)
		c.Step(now, Progress{ID: 1, PromptTokens: 10, Tokens: 1, StepUS: us})
	}
	for range 20 {
		step(80_000)
	}
	for range growSteps + restoreSteps {
		step(20_000)
	}
	if got := c.View(now).Limit; got != 2 {
		t.Errorf("limit is %d, want 2 until %v of healthy steps", got, growTime)
	}
}

// Guards against a lost cache that is mistaken for a new prompt.
func TestLostCache(t *testing.T) {
	now := time.Unix(1000, 0)
	c := warmController(t, &now)
	for id, cached := range map[uint64]uint64{1: 5} {
		c.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 5, Prefix: 9})
		c.Step(now, Progress{ID: id, PromptTokens: 10, CachedTokens: cached, Tokens: 1, StepUS: 20_000})
	}
	if got := c.limiter.limit; got != 8 {
		t.Fatalf("limit is %d, want 8", got)
	}
	c.Step(now, Arrive{ID: 2, PromptTokens: 10, MaxTokens: 5, Prefix: 9})
	c.Step(now, Progress{ID: 2, PromptTokens: 10, Tokens: 1, StepUS: 20_000})
	if got := c.limiter.limit; got != 2 {
		t.Errorf("limit after a lost cache is %d, want 2", got)
	}
}

// Guards against a prediction outside the range of the observed lengths.
func TestLengths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l lengthHistogram
		seen := rapid.SliceOfN(rapid.Uint64Range(1, 5000), minLengthSamples, 400).Draw(t, "lengths")
		longest := uint64(0)
		for _, n := range seen {
			l.add(n)
			longest = max(longest, n)
		}
		n := rapid.Uint64Range(0, 6000).Draw(t, "tokens")
		if got := l.predict(n); got > 2*longest+minGrowth {
			t.Errorf("predicted %d more after %d, longest observed %d", got, n, longest)
		}
	})
}

// Measures one progress report and one arrival with a full engine.
func BenchmarkStep(b *testing.B) {
	now := time.Unix(1000, 0)
	c := New()
	c.Step(now, Announce{Incarnation: 1, Limits: Limits{MemoryTokens: 1 << 20, MaxConcurrent: 64, ColdConcurrent: 64, MinBytesPerToken: 1}})
	for id := uint64(1); id <= 64; id++ {
		c.Step(now, Arrive{ID: id, PromptTokens: 100, MaxTokens: 4000, Preemptible: true})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := uint64(i)%64 + 1
		if id == 1 {
			now = now.Add(20 * time.Millisecond)
		}
		c.Step(now, Progress{ID: id, PromptTokens: 100, Tokens: uint64(i/64) % 3000, StepUS: 20_000})
		c.Step(now, Arrive{ID: 1 << 40, PromptTokens: 100, MaxTokens: 100})
	}
}
