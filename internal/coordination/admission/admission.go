/*
Package admission decides which requests may be sent to one backend server.

# Limits

A request is admitted if three limits allow it.

Concurrency: the backend server holds no more requests than its limit. The
limit of a backend server that has just started is its cold capacity and doubles
with each period of healthy steps; see limiter.

Memory: the reservations of all requests stay within the memory for tokens. A
reservation is the upper bound of prompt tokens plus the predicted remaining
tokens of the answer, and is corrected by the progress reports that the engine
sends with each event. Only a stream that the engine can resume is reserved by
prediction. When such a stream exceeds its reservation and there is no room, a
stream is preempted: the caller cancels it at the engine and it waits here until
it can be resumed. All other requests reserve their upper bound.

Untracked load: what the backend server holds beyond the requests of this
Controller, such as requests of an agent that was killed, or a request whose
cancellation was not confirmed. It counts until announcements show that it has
ended. Nothing is admitted before the first announcement.

# Use

	c := admission.New()
	c.Step(now, admission.Announce{...})
	for _, effect := range c.Step(now, admission.Arrive{ID: 1, ...}) {
		switch e := effect.(type) {
		case admission.Admit:   // send it
		case admission.Refuse:  // answer with ran "no"
		case admission.Preempt: // cancel it at the engine, then Release
		}
	}

A Controller is not safe for concurrent use.
*/
package admission

import (
	"math"
	"time"
)

//go:generate go tool stringer -type=Reason -linecomment -output=admission_string.go

// Reason is the reason why a request was refused.
type Reason uint8

const (
	// Unannounced: no announcement of this incarnation has been received yet,
	// or none for too long.
	Unannounced Reason = iota // unannounced
	// TooLarge: the upper bound of the request exceeds the memory.
	TooLarge // too_large
	// Concurrency: the backend server holds as many requests as its limit.
	Concurrency // concurrency
	// Cold: the limit is lowered because the backend server is or may be cold.
	Cold // cold
	// Memory: the tokens do not fit into the free memory.
	Memory // memory
	// Queued: requests of the same or a higher priority wait.
	Queued // queued
)

// Limits of a backend server, from its announcement.
type Limits struct {
	// MemoryTokens is 0 for a plain service, which has no memory limit.
	MemoryTokens     uint64
	MaxConcurrent    uint32
	ColdConcurrent   uint32
	MinBytesPerToken float64
}

// Input is one of the inputs of Step.
type Input interface{ input() }

// Arrive requests admission. The effect is Admit or Refuse at once, or, with
// Wait, Admit at some later time.
type Arrive struct {
	// ID identifies the request until its release. Each attempt to send a
	// request to the backend server has its own.
	ID uint64
	// PromptBytes bounds the prompt; PromptTokens is set instead if the engine
	// has reported the number before.
	PromptBytes  uint64
	PromptTokens uint64
	// MaxTokens bounds the complete answer, of which Resumed tokens have been
	// generated before.
	MaxTokens uint64
	Resumed   uint64
	// Preemptible says that the stream can be cancelled and resumed.
	Preemptible bool
	// Priority is higher for more urgent requests.
	Priority int32
	// Prefix is a hash of the first part of the prompt, or 0 if there is none.
	Prefix uint64
	Wait   bool
}

// Progress is a progress report of the engine for a request.
type Progress struct {
	ID           uint64
	PromptTokens uint64
	CachedTokens uint64
	// Tokens counts the complete answer so far, with the resumed part.
	Tokens uint64
	StepUS uint32
}

// Release says that the backend server no longer holds the request. Finished
// says that its answer is complete.
type Release struct {
	ID       uint64
	Finished bool
}

// Abandon says that it is not known whether the backend server still holds
// the request.
type Abandon struct{ ID uint64 }

// ConnectionFailed says that a connection to the backend server broke or could
// not be opened. The backend server may have restarted without having announced
// its new incarnation yet.
type ConnectionFailed struct{}

// CancelWait removes a waiting request that has not been admitted yet.
type CancelWait struct{ ID uint64 }

// Announce is an announcement of the backend server.
type Announce struct {
	Incarnation uint64
	// Model names the loaded model. Step times of different models are not
	// comparable.
	Model      string
	Limits     Limits
	Cold       bool
	Running    uint32
	TokensHeld uint64
}

// AnnouncementExpired says that no announcement has arrived for too long.
type AnnouncementExpired struct{}

// Tick only advances the time.
type Tick struct{}

func (Arrive) input()              {}
func (Progress) input()            {}
func (Release) input()             {}
func (Abandon) input()             {}
func (ConnectionFailed) input()    {}
func (CancelWait) input()          {}
func (Announce) input()            {}
func (AnnouncementExpired) input() {}
func (Tick) input()                {}

// Effect is one of the effects of Step.
type Effect interface{ effect() }

// Admit says that a request may be sent.
type Admit struct{ ID uint64 }

// Refuse says that a request may not be sent.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
	// Transient says that the limit is lowered only until a few steps show that
	// the backend server is still warm, and that there will be room then.
	// Waiting for that costs less than another attempt.
	Transient bool
}

// Preempt asks the caller to cancel a stream at the engine and then to Release
// it.
type Preempt struct{ ID uint64 }

func (Admit) effect()   {}
func (Refuse) effect()  {}
func (Preempt) effect() {}

// request is an admitted or waiting request.
type request struct {
	Arrive
	// prompt is the upper bound of prompt tokens, exact once promptKnown is set.
	prompt      uint64
	promptKnown bool
	tokens      uint64
	// reserved is the number of tokens that count towards the memory limit.
	reserved uint64
	admitted time.Time
	// preempting says that Preempt was returned for it.
	preempting bool
	// reported says that the engine has sent a progress report.
	reported bool
	// announcements counts the announcements since its admission.
	announcements int
	// steps is the limiter's count at its admission plus its reports since.
	steps uint64
}

// upperBound returns the largest number of tokens that the request can hold.
func (r *request) upperBound() uint64 { return r.prompt + max(r.MaxTokens, r.tokens) }

func (r *request) tokensHeld() uint64 { return r.prompt + r.tokens }

// Controller makes the admission decisions for one backend server.
type Controller struct {
	limits      Limits
	incarnation uint64
	announced   bool
	// earlierIncarnations have been replaced. candidateIncarnation has been
	// announced once since the last announcement of the current one.
	earlierIncarnations  []uint64
	candidateIncarnation uint64
	running              map[uint64]*request
	waiting              []*request
	reserved             uint64
	untracked            []untrackedLoad
	// excess is the number of tokens that the backend server holds beyond all
	// that is reserved or untracked; see updateExcess. announcedExcess is that
	// number in the last announcement alone.
	excess          uint64
	announcedExcess uint64
	limiter         limiter
	lengths         lengthHistogram
	prefixes        prefixHits
	// holdTime is a moving average of how long a request is held.
	holdTime time.Duration
}

// New returns a Controller that refuses all requests until the first Announce.
func New() *Controller {
	return &Controller{running: map[uint64]*request{}, prefixes: prefixHits{hits: map[uint64]time.Time{}}}
}

// Step processes an input at a time and returns its effects.
func (c *Controller) Step(now time.Time, in Input) []Effect {
	if c.untrackedRunning() > 0 && c.limiter.isProbing(now) {
		// No progress reports arrive for untracked load: the backend server may
		// have become cold and be warming up again.
		c.limiter.resetToCold(now)
	}
	effects := c.decide(now, in)
	c.limiter.busy.setHeld(now, c.requestsHeld())
	return effects
}

func (c *Controller) decide(now time.Time, in Input) []Effect {
	switch in := in.(type) {
	case Arrive:
		return c.arrive(now, in)
	case Progress:
		return c.progress(now, in)
	case Release:
		c.release(now, in)
	case Abandon:
		c.abandon(in)
	case ConnectionFailed:
		c.limiter.markSuspect()
	case CancelWait:
		c.cancelWait(in)
	case Announce:
		return c.announce(now, in)
	case AnnouncementExpired:
		c.announced = false
	}
	return c.admitWaiting(now, nil)
}

// View is a summary for load reports.
type View struct {
	Running        uint32
	Waiting        int
	Limit          uint32
	TokensReserved uint64
	TokensLimit    uint64
	StepUS         uint32
}

// View returns the figures that entries use to choose a backend server. For an
// idle backend server, the limit is the one that it will have after a few steps.
func (c *Controller) View(now time.Time) View {
	limit := c.limit(now)
	if c.announced && c.limiter.isProbing(now) {
		limit = c.limiter.limit
	}
	return View{
		Running:        c.requestsHeld(),
		Waiting:        len(c.waiting),
		Limit:          limit,
		TokensReserved: c.tokensUsed(),
		TokensLimit:    c.limits.MemoryTokens,
		StepUS:         c.limiter.lastUS,
	}
}

// requestsHeld returns the number of requests at the backend server.
func (c *Controller) requestsHeld() uint32 { return uint32(len(c.running)) + c.untrackedRunning() }

// tokensUsed returns the number of tokens that are reserved or held by untracked
// load.
func (c *Controller) tokensUsed() uint64 { return c.reserved + c.untrackedTokens() + c.excess }

func (c *Controller) limit(now time.Time) uint32 {
	if !c.announced {
		return 0
	}
	return c.limiter.allowed(now)
}

func (c *Controller) isModel() bool { return c.limits.MemoryTokens > 0 }

// promptBound returns the upper bound of the prompt's tokens.
func (c *Controller) promptBound(in Arrive) uint64 {
	if in.PromptTokens > 0 {
		return in.PromptTokens
	}
	return uint64(math.Ceil(float64(in.PromptBytes) / max(c.limits.MinBytesPerToken, minBytesPerToken)))
}

// minBytesPerToken avoids a division by zero.
const minBytesPerToken = 1.0 / 16

func (c *Controller) arrive(now time.Time, in Arrive) []Effect {
	r := &request{Arrive: in, prompt: c.promptBound(in), promptKnown: in.PromptTokens > 0, tokens: in.Resumed}
	if c.announced && c.isModel() && r.upperBound() > c.limits.MemoryTokens {
		return []Effect{Refuse{ID: in.ID, Reason: TooLarge}}
	}
	if in.Wait {
		c.enqueue(r)
		return c.admitWaiting(now, nil)
	}
	if reason, ok := c.checkAdmission(now, r); !ok {
		transient := (reason == Cold || reason == Queued) && c.isTransient(now)
		return []Effect{Refuse{ID: in.ID, Reason: reason, RetryAfter: c.retryAfter(reason), Transient: transient}}
	}
	return []Effect{c.admit(now, r)}
}

// checkAdmission reports whether a new request can be admitted, and if not, why.
func (c *Controller) checkAdmission(now time.Time, r *request) (Reason, bool) {
	if !c.announced {
		return Unannounced, false
	}
	if len(c.waiting) > 0 && c.waiting[0].Priority >= r.Priority {
		return Queued, false
	}
	return c.checkRoom(now, r)
}

// checkRoom reports whether concurrency and memory have room for a request, and
// if not, the reason.
func (c *Controller) checkRoom(now time.Time, r *request) (Reason, bool) {
	if limit := c.limit(now); c.requestsHeld() >= limit {
		if limit < c.limits.MaxConcurrent {
			return Cold, false
		}
		return Concurrency, false
	}
	if c.isModel() && c.tokensUsed()+c.initialReservation(r) > c.limits.MemoryTokens {
		return Memory, false
	}
	return 0, true
}

// isTransient reports whether the limit is lowered only because there was no
// recent step, and otherwise has room for the waiting requests and one more.
func (c *Controller) isTransient(now time.Time) bool {
	return c.announced && c.limiter.isProbing(now) && c.requestsHeld()+uint32(len(c.waiting)) < c.limiter.limit
}

func (c *Controller) admit(now time.Time, r *request) Effect {
	r.reserved, r.admitted, r.steps = c.initialReservation(r), now, c.limiter.steps
	c.reserved += r.reserved
	c.running[r.ID] = r
	return Admit{ID: r.ID}
}

// Bounds of the retry delay of a refusal.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter estimates when a request can be admitted: for a lowered limit after
// a few steps, for a full one when the next request ends.
func (c *Controller) retryAfter(reason Reason) time.Duration {
	wait := c.holdTime / time.Duration(max(1, c.requestsHeld()))
	switch reason {
	case Unannounced:
		wait = time.Second
	case Cold:
		wait = restoreSteps * time.Duration(c.limiter.lastUS) * time.Microsecond
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
