package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// event is a progress report of a request, some time after the previous one.
type event struct {
	after time.Duration
	id    uint64
	us    uint32
}

// repeated returns n events of request 1, one per step.
func repeated(n int, us uint32) []event {
	events := make([]event, n)
	for i := range events {
		events[i] = event{time.Duration(us) * time.Microsecond, 1, us}
	}
	return events
}

// Guards against a limit above the cold capacity after the engine became cold,
// when the slow steps are reported early, late, several times or not at all.
func TestLimitAfterColdSigns(t *testing.T) {
	const warm, cold = 20_000, 80_000
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := map[string]struct {
		events   [][]event
		limit    uint32
		preempts int
	}{
		"slow report shortly after a healthy one": {[][]event{repeated(1, warm), {{ms(25), 1, cold}}}, 2, 0},
		"slow report of a request that lags behind": {[][]event{
			repeated(5, warm), {{ms(1), 2, cold}}}, 2, 0},
		"one slow step of several requests, then healthy steps": {[][]event{
			repeated(1, warm), {{ms(50), 1, 50_000}, {ms(26), 2, 50_000}, {ms(1), 3, 50_000}}, repeated(restoreSteps, warm)}, 8, 0},
		"slow steps that are reported at once": {[][]event{
			repeated(1, warm), {{ms(240), 1, cold}, {0, 1, cold}, {0, 1, cold}}}, 2, 2},
		"slow step, a gap, then healthy steps": {[][]event{
			repeated(1, warm), {{ms(80), 1, cold}, {ms(600), 1, warm}}, repeated(restoreSteps, warm)}, 2, 0},
		"requests without reports for long": {[][]event{
			repeated(1, warm), {{ms(900), 1, warm}}, repeated(restoreSteps, warm)}, 2, 0},
		"few healthy steps after a long cold time": {[][]event{
			repeated(1, warm), repeated(40, cold), repeated(growSteps+1, warm)}, 2, 0},
		"a period of healthy steps after a cold time": {[][]event{
			repeated(1, warm), repeated(40, cold), repeated(int(growTime/ms(20))+2, warm)}, 4, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := warmController(t, &now)
			for id := uint64(1); id <= 4; id++ {
				c.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 90, Preemptible: true})
			}
			tokens, preempts := map[uint64]uint64{}, 0
			for _, events := range test.events {
				for _, e := range events {
					now = now.Add(e.after)
					tokens[e.id]++
					preempts += len(c.Step(now, Progress{ID: e.id, PromptTokens: 10, Tokens: tokens[e.id], StepUS: e.us}))
				}
			}
			if got := c.View(now).Limit; got != test.limit {
				t.Errorf("limit is %d, want %d", got, test.limit)
			}
			if test.preempts > 0 {
				if diff := cmp.Diff(test.preempts, preempts); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// Guards against a warm limit of a backend server that became cold and warm again
// unannounced while it held only requests without progress reports, and against a
// limit that has to grow again after a time without any request.
func TestLimitAfterTimeWithoutFigures(t *testing.T) {
	tests := map[string]struct {
		loaded bool
		want   uint32
	}{
		"requests without reports": {true, 2},
		"no request":               {false, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := warmController(t, &now)
			for id := uint64(1); id <= 10; id++ {
				if test.loaded {
					c.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 50})
				}
				now = now.Add(100 * time.Millisecond)
				c.Step(now, Release{ID: id, Finished: true})
			}
			c.Step(now, Arrive{ID: 20, PromptTokens: 10, MaxTokens: 50})
			for tokens := uint64(1); tokens <= restoreSteps; tokens++ {
				now = now.Add(20 * time.Millisecond)
				c.Step(now, Progress{ID: 20, PromptTokens: 10, Tokens: tokens, StepUS: 20_000})
			}
			if got := c.View(now).Limit; got != test.want {
				t.Errorf("limit is %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a limit above the cold capacity after a new agent has taken the
// steps of a backend server that is cold without announcing it as the baseline,
// when the backend server warms up and its capacity starts to double.
func TestLimitAfterLearningColdSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	c.Step(now, Announce{Incarnation: 1, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 2, MinBytesPerToken: 1}})
	for id := uint64(1); id <= 2; id++ {
		c.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 400})
	}
	tokens := uint64(0)
	step := func(us uint32) {
		now = now.Add(time.Duration(us) * time.Microsecond)
		tokens++
		c.Step(now, Progress{ID: 1, PromptTokens: 10, Tokens: tokens, StepUS: us})
	}
	const cold, warm = 240_000, 60_000
	for range int(calibrationTime/(cold*time.Microsecond)) + growSteps {
		step(cold)
	}
	for range growSteps {
		step(warm)
		if got := c.View(now).Limit; got != 2 {
			t.Fatalf("limit is %d before a period of warm steps, want 2", got)
		}
	}
	for range 2 {
		step(warm)
	}
	if got := c.View(now).Limit; got != 4 {
		t.Errorf("limit after a period of warm steps is %d, want 4", got)
	}
}

// Guards against a calibration that adds up the steps of two cold times with a
// warm step or a delayed announcement in between.
func TestLearningOfTwoColdTimes(t *testing.T) {
	// announcedSteps is an announcement of the temperature and the n steps after
	// it.
	type announcedSteps struct {
		cold bool
		n    int
		us   uint32
	}
	const cold, warm = 240_000, 60_000
	tests := map[string][]announcedSteps{
		"warm step":         {{true, 10, cold}, {false, 10, cold}, {false, 1, warm}, {false, 20, cold}},
		"late announcement": {{true, 0, cold}, {false, 9, cold}, {true, 9, cold}, {true, 1, warm}, {false, 20, cold}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c, tokens := New(), uint64(0)
			in := Announce{Incarnation: 1, Limits: Limits{MemoryTokens: 1000, MaxConcurrent: 8, ColdConcurrent: 2, MinBytesPerToken: 1}}
			for _, part := range test {
				in.Cold = part.cold
				c.Step(now, in)
				for id := uint64(1); id <= 2 && tokens == 0; id++ {
					c.Step(now, Arrive{ID: id, PromptTokens: 10, MaxTokens: 400})
				}
				for range part.n {
					now = now.Add(time.Duration(part.us) * time.Microsecond)
					tokens++
					c.Step(now, Progress{ID: 1, PromptTokens: 10, Tokens: tokens, StepUS: part.us})
				}
			}
			if got := c.View(now).Limit; got != 2 {
				t.Errorf("limit is %d, want 2", got)
			}
		})
	}
}
