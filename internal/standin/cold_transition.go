package standin

import "time"

// unreportedTime and unreportedSteps bound how long the cold capacity does not
// apply although no statistics were written to a connection. An agent that has
// read no statistics for 150 ms, or for six steps if they take longer, may
// assume no more than the cold capacity; the rest of the time allows for its
// requests in flight.
const (
	unreportedTime  = 250 * time.Millisecond
	unreportedSteps = 8
)

// coldTransition is a transition from warm to cold. It reduces the engine's
// capacity, but clients cannot detect that before the statistics of a later step
// were written to a connection. Until one cold step plus the request latency
// after that, the engine still accepts requests up to its previous limit, because
// a request that arrives in this time may have been sent before the statistics
// were read. Later requests above the cold capacity crash the engine.
type coldTransition struct {
	// number counts the transitions. Each token records it.
	number uint64
	// open means that the engine is not limited to its present capacity yet.
	open bool
	// limitBefore is the engine's limit before the transition.
	limitBefore uint32
	// firstStep is the time of the first step that generated a token, and
	// firstReport that of the first statistics written; zero if there is none.
	firstStep, firstReport time.Time
}

// start begins a transition; before is the engine's limit at this time.
func (t *coldTransition) start(before uint32) {
	*t = coldTransition{number: t.number + 1, open: true, limitBefore: before}
}

// end ends a transition, so that the engine is limited to its present capacity.
func (t *coldTransition) end() { t.open = false }

// recordStep records a step that generated a token.
func (t *coldTransition) recordStep(now time.Time) {
	if t.firstStep.IsZero() {
		t.firstStep = now
	}
}

// recordWritten records that statistics were written to a connection; number is
// that of the latest transition when their step ran.
func (t *coldTransition) recordWritten(now time.Time, number uint64) {
	if number == t.number && t.firstReport.IsZero() {
		t.firstReport = now
	}
}

// isLimiting reports whether the engine is limited to its present capacity. warm
// and cold are the durations of a warm and a cold step, and latency is the time
// that a request takes to reach the engine.
func (t *coldTransition) isLimiting(now time.Time, warm, cold, latency time.Duration) bool {
	reported := !t.firstReport.IsZero() && now.Sub(t.firstReport) >= cold+latency
	unreported := !t.firstStep.IsZero() && now.Sub(t.firstStep) >= max(unreportedTime, unreportedSteps*warm)+latency
	if reported || unreported {
		t.end()
	}
	return !t.open
}
