package standin

import (
	"testing"
	"time"
)

// Guards against a turn to cold that limits the engine before an agent can know
// of it, and against one that never does.
func TestTurnLimits(t *testing.T) {
	const warm, cold = 4 * time.Millisecond, 16 * time.Millisecond
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		before  func(*turn)
		ms      int
		want    bool
		transit time.Duration
	}{
		"no turn":               {func(*turn) {}, 0, true, 0},
		"no step since":         {func(c *turn) { c.start(8) }, 1000, false, 0},
		"step not written":      {func(c *turn) { c.start(8); c.step(at(0)) }, 249, false, 0},
		"step never written":    {func(c *turn) { c.start(8); c.step(at(0)) }, 250, true, 0},
		"within one cold step":  {func(c *turn) { c.start(8); c.step(at(0)); c.written(at(1), 1) }, 16, false, 0},
		"after one cold step":   {func(c *turn) { c.start(8); c.step(at(0)); c.written(at(1), 1) }, 17, true, 0},
		"first figure counts":   {func(c *turn) { c.start(8); c.written(at(1), 1); c.written(at(16), 1) }, 17, true, 0},
		"figure before turning": {func(c *turn) { c.start(8); c.step(at(0)); c.written(at(1), 0) }, 100, false, 0},
		"second turn":           {func(c *turn) { c.start(8); c.written(at(1), 1); c.start(2); c.written(at(2), 1) }, 100, false, 0},
		"request on its way":    {func(c *turn) { c.start(8); c.step(at(0)); c.written(at(1), 1) }, 56, false, 40 * time.Millisecond},
		"none on its way":       {func(c *turn) { c.start(8); c.step(at(0)); c.written(at(1), 1) }, 57, true, 40 * time.Millisecond},
		"new incarnation":       {func(c *turn) { c.start(8); c.settle() }, 0, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c turn
			test.before(&c)
			if got := c.limits(at(test.ms), warm, cold, test.transit); got != test.want {
				t.Errorf("limits is %v, want %v", got, test.want)
			}
		})
	}
}
