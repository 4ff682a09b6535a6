package standin

import (
	"testing"
	"time"
)

// Guards against a transition to cold that limits the engine before an agent can
// detect it, and against one that never limits it.
func TestTurnLimits(t *testing.T) {
	const warm, cold = 4 * time.Millisecond, 16 * time.Millisecond
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		setup   func(*coldTransition)
		ms      int
		want    bool
		latency time.Duration
	}{
		"no transition":                 {func(*coldTransition) {}, 0, true, 0},
		"no step after it":              {func(c *coldTransition) { c.start(8) }, 1000, false, 0},
		"statistics not written yet":    {func(c *coldTransition) { c.start(8); c.recordStep(at(0)) }, 249, false, 0},
		"statistics never written":      {func(c *coldTransition) { c.start(8); c.recordStep(at(0)) }, 250, true, 0},
		"within one cold step":          {func(c *coldTransition) { c.start(8); c.recordStep(at(0)); c.recordWritten(at(1), 1) }, 16, false, 0},
		"after one cold step":           {func(c *coldTransition) { c.start(8); c.recordStep(at(0)); c.recordWritten(at(1), 1) }, 17, true, 0},
		"first statistics count":        {func(c *coldTransition) { c.start(8); c.recordWritten(at(1), 1); c.recordWritten(at(16), 1) }, 17, true, 0},
		"statistics of an earlier step": {func(c *coldTransition) { c.start(8); c.recordStep(at(0)); c.recordWritten(at(1), 0) }, 100, false, 0},
		"second transition":             {func(c *coldTransition) { c.start(8); c.recordWritten(at(1), 1); c.start(2); c.recordWritten(at(2), 1) }, 100, false, 0},
		"request may be in flight":      {func(c *coldTransition) { c.start(8); c.recordStep(at(0)); c.recordWritten(at(1), 1) }, 56, false, 40 * time.Millisecond},
		"no request in flight":          {func(c *coldTransition) { c.start(8); c.recordStep(at(0)); c.recordWritten(at(1), 1) }, 57, true, 40 * time.Millisecond},
		"new incarnation":               {func(c *coldTransition) { c.start(8); c.end() }, 0, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c coldTransition
			test.setup(&c)
			if got := c.isLimiting(at(test.ms), warm, cold, test.latency); got != test.want {
				t.Errorf("isLimiting is %v, want %v", got, test.want)
			}
		})
	}
}
