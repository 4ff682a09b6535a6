package standin

import (
	"net/http"
	"time"
)

// Control changes how an engine behaves. Absent fields change nothing.
type Control struct {
	// Cold is "silent" or "announced"; the engine turns cold.
	Cold string `json:"cold,omitempty"`
	// Stall stops all steps while it is true.
	Stall *bool `json:"stall,omitempty"`
	// Slow multiplies the time of a step.
	Slow float64 `json:"slow,omitempty"`
	// ExitAfterTokens kills the engine when it has generated so many more.
	ExitAfterTokens int `json:"die_after_tokens,omitempty"`
	// RestartAfterMS brings a dead engine back after a time; 0 leaves it dead.
	RestartAfterMS int64 `json:"revive_ms,omitempty"`
	IgnoreFencing  *bool `json:"ignore_fencing,omitempty"`
	Leaving        *bool `json:"leaving,omitempty"`
}

// Apply changes how the engine behaves.
func (e *Engine) Apply(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Cold != "" {
		e.turnCold(c.Cold == "silent")
	}
	if c.Stall != nil {
		e.stalled = *c.Stall
	}
	if c.Slow > 0 {
		e.slow = c.Slow
	}
	if c.ExitAfterTokens > 0 {
		e.dieAfter = c.ExitAfterTokens
	}
	if c.RestartAfterMS > 0 {
		e.reviveAfter = time.Duration(c.RestartAfterMS) * time.Millisecond
	}
	if c.IgnoreFencing != nil {
		e.rules.ChecksFencing = !*c.IgnoreFencing
	}
	if c.Leaving != nil {
		e.leaving = *c.Leaving
	}
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := readJSON(r, &c); err != nil {
		writeProblem(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	e.Apply(c)
	writeJSON(w, http.StatusOK, e.Record())
}
