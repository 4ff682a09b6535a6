package standin

import (
	"net/http"
	"time"
)

// Control changes the behavior of an engine. Absent fields change nothing.
type Control struct {
	// Cold makes the engine cold: with "announced" its announcements report
	// this, with "silent" they do not.
	Cold string `json:"cold,omitempty"`
	// Stall pauses all steps while it is true.
	Stall *bool `json:"stall,omitempty"`
	// Slow multiplies the duration of a step.
	Slow float64 `json:"slow,omitempty"`
	// ExitAfterTokens terminates the engine after this many more tokens.
	ExitAfterTokens int `json:"die_after_tokens,omitempty"`
	// RestartAfterMS is the delay until a terminated engine restarts. If it was
	// never set, the engine does not restart.
	RestartAfterMS int64 `json:"revive_ms,omitempty"`
	IgnoreFencing  *bool `json:"ignore_fencing,omitempty"`
	Leaving        *bool `json:"leaving,omitempty"`
	// RawAnswers is the number of completions that are answered with the bytes of
	// RawAnswer, before the connection is closed. They do not run.
	RawAnswers int    `json:"raw,omitempty"`
	RawAnswer  string `json:"raw_answer,omitempty"`
}

func (e *Engine) Apply(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Cold != "" {
		e.becomeCold(c.Cold == "silent")
	}
	if c.Stall != nil {
		e.stalled = *c.Stall
	}
	if c.Slow > 0 {
		e.slowFactor = c.Slow
	}
	if c.ExitAfterTokens > 0 {
		e.exitAfter = c.ExitAfterTokens
	}
	if c.RestartAfterMS > 0 {
		e.restartAfter = time.Duration(c.RestartAfterMS) * time.Millisecond
	}
	if c.IgnoreFencing != nil {
		e.expertMaps.ChecksFencing = !*c.IgnoreFencing
	}
	if c.Leaving != nil {
		e.leaving = *c.Leaving
	}
	if c.RawAnswers > 0 {
		e.rawAnswers, e.rawAnswer = c.RawAnswers, c.RawAnswer
	}
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := readJSON(r, &c); err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	e.Apply(c)
	writeJSON(w, http.StatusOK, e.Record())
}
