package suspend

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRecent guards against an interruption that is not noticed by the first code
// that runs after it, or that is reported for too long.
func TestRecent(t *testing.T) {
	const within = time.Second
	tests := map[string]struct {
		steps []time.Duration // between calls of Recent
		want  []bool
	}{
		"runs all the time":  {[]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond}, []bool{false, false, false}},
		"stopped":            {[]time.Duration{3 * time.Second, 200 * time.Millisecond, 300 * time.Millisecond, 390 * time.Millisecond, 200 * time.Millisecond}, []bool{true, true, true, true, false}},
		"stopped twice":      {[]time.Duration{3 * time.Second, 300 * time.Millisecond, 2 * time.Second}, []bool{true, true, true}},
		"shorter than noted": {[]time.Duration{minLength - time.Millisecond}, []bool{false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // only Recent ticks
			d := New(ctx, func() time.Duration { return now })
			var got []bool
			for _, step := range test.steps {
				now += step
				_, ok := d.Recent(within)
				got = append(got, ok)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLastEnd guards against an interruption whose end is not known to the first code
// that runs after it.
func TestLastEnd(t *testing.T) {
	now := time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // only LastEnd ticks
	d := New(ctx, func() time.Duration { return now })
	var got []time.Duration
	for _, step := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 200 * time.Millisecond, minLength} {
		now += step
		got = append(got, d.LastEnd())
	}
	want := []time.Duration{-1, time.Hour + 3100*time.Millisecond, time.Hour + 3100*time.Millisecond, time.Hour + 3300*time.Millisecond + minLength}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestClock guards against a clock that stands still.
func TestClock(t *testing.T) {
	begin := Clock()
	time.Sleep(10 * time.Millisecond)
	if passed := Clock() - begin; passed < 10*time.Millisecond {
		t.Errorf("the clock advanced by %v in 10 ms", passed)
	}
}
