package standin

import "time"

// unreportedTime bounds how long a turn to cold does not limit the engine
// although no figure reached a connection. An agent that has read no figure for
// 150 ms, or for six steps if they take longer, may assume no more than the
// cold capacity; the rest is for its requests on their way.
const (
	unreportedTime  = 250 * time.Millisecond
	unreportedSteps = 8
)

// turn is a turn from warm to cold. What the engine can handle falls with it,
// but nobody can know that before a figure of a step made since was written to
// a connection. Until one cold step after that the engine still takes what it
// could handle before, and for as long as requests take to reach it: a request
// that comes within this time may have been sent before the figure was read. A
// later one makes the engine fall over.
type turn struct {
	// number counts the turns. The figures of a step carry it.
	number uint64
	// open says that the turn does not limit the engine yet.
	open bool
	// before is what the engine could handle before the turn.
	before uint32
	// made and reported are the times of the first step that generated a token,
	// and of the first figure written, zero before.
	made, reported time.Time
}

// start begins a turn of an engine that is limited to a number of requests.
func (t *turn) start(before uint32) { *t = turn{number: t.number + 1, open: true, before: before} }

// settle ends a turn: the engine is limited by its present capacity.
func (t *turn) settle() { t.open = false }

// step takes note of a step that generated a token.
func (t *turn) step(now time.Time) {
	if t.made.IsZero() {
		t.made = now
	}
}

// written takes note of a figure that was written to a connection; number is
// that of the turn when its step was made.
func (t *turn) written(now time.Time, number uint64) {
	if number == t.number && t.reported.IsZero() {
		t.reported = now
	}
}

// limits says whether the engine is limited by its present capacity. The times
// are those of a warm and of a cold step, and what a request takes to reach the
// engine.
func (t *turn) limits(now time.Time, warm, cold, transit time.Duration) bool {
	reported := !t.reported.IsZero() && now.Sub(t.reported) >= cold+transit
	unreported := !t.made.IsZero() && now.Sub(t.made) >= max(unreportedTime, unreportedSteps*warm)+transit
	if reported || unreported {
		t.settle()
	}
	return !t.open
}
