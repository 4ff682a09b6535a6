package admission

import (
	"testing"
	"time"
)

// Guards against a first slow report that is mistaken for another event of the
// step before it, so that the limit of an engine that became cold stays the warm
// one. The times are those of a trace of an engine with steps of 4 ms, 16 ms when
// cold.
func TestFirstSlowFigureCounts(t *testing.T) {
	now := time.Unix(0, 0)
	l := limiter{cold: 2, max: 8, limit: 8, isModel: true}
	r := &request{}
	for range 2 * medianSamples {
		now = now.Add(4 * time.Millisecond)
		l.step(now, r, 6, 4000)
	}
	if got := l.allowed(now); got != 8 {
		t.Fatalf("warm limit is %d, want 8", got)
	}
	now = now.Add(5600 * time.Microsecond)
	l.step(now, r, 6, 16000)
	if got := l.allowed(now); got != 2 {
		t.Errorf("limit after the first slow report is %d, want the cold one, 2", got)
	}
}
