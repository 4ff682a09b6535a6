/*
Package admission decides what one backend server may be sent now.

# Limits

A request is admitted while three limits allow it.

Concurrency: the backend server holds no more requests than its limit. The
limit of a backend server that just started is its cold capacity and doubles
with each period of healthy steps; see limiter.

Memory: the reservations of all requests stay within the memory for tokens. A
reservation is the upper bound of prompt tokens plus a predicted rest of the
answer, and is corrected by the figures that the engine sends with each event.
Only a stream that the engine can resume is reserved by prediction. When such
a stream outgrows its reservation and there is no room, a stream is preempted:
the caller cancels it at the engine and it waits here until it can go on. All
other requests reserve their whole bound.

Foreign load: what the backend server holds without being known here, such as
requests of an agent that was killed, or a request whose cancellation was not
confirmed. It counts until announcements show that it is gone. Nothing is
admitted before the first announcement.

# Use

	s := admission.New()
	s.Step(now, admission.Announce{...})
	for _, effect := range s.Step(now, admission.Arrive{ID: 1, ...}) {
		switch e := effect.(type) {
		case admission.Admit:   // send it
		case admission.Refuse:  // answer with ran "no"
		case admission.Preempt: // cancel it at the engine, then Release
		}
	}

A Server is not safe for use by several goroutines.
*/
package admission

import (
	"math"
	"time"
)

//go:generate go tool stringer -type=Reason -linecomment -output=admission_string.go

// Reason says why a request was refused.
type Reason uint8

// The reasons.
const (
	// Unannounced: no announcement of this incarnation has come yet, or none
	// for too long.
	Unannounced Reason = iota // unannounced
	// TooLarge: the request can never fit into the memory.
	TooLarge // too_large
	// Concurrency: the backend server holds as many requests as it may.
	Concurrency // concurrency
	// Cold: the limit is lowered because the backend server is or may be cold.
	Cold // cold
	// Memory: the tokens do not fit now.
	Memory // memory
	// Queued: preempted streams of the same or a higher priority wait.
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

// Arrive asks for a place. The answer is Admit or Refuse at once, or, with
// Wait, Admit at some later time.
type Arrive struct {
	// ID names the request until its release. Each sending to the backend
	// server has its own.
	ID uint64
	// PromptBytes bounds the prompt; PromptTokens is set instead when the
	// engine has reported the number before.
	PromptBytes  uint64
	PromptTokens uint64
	// MaxTokens bounds the whole answer, of which Resumed tokens are there.
	MaxTokens uint64
	Resumed   uint64
	// Preemptible says that the stream can be cancelled and resumed.
	Preemptible bool
	// Priority: higher is more urgent.
	Priority int32
	// Prefix is a hash of the first part of the prompt, 0 if there is none.
	Prefix uint64
	Wait   bool
}

// Progress gives an engine's figures for a request.
type Progress struct {
	ID           uint64
	PromptTokens uint64
	CachedTokens uint64
	// Tokens counts the whole answer so far.
	Tokens uint64
	StepUS uint32
}

// Release says that the backend server holds the request no longer. Finished
// says that its answer is whole.
type Release struct {
	ID       uint64
	Finished bool
}

// Abandon says that it is not known whether the backend server still holds
// the request.
type Abandon struct{ ID uint64 }

// ConnectionFailed says that a connection to the backend server broke or could not be
// opened. It may have started anew without having announced itself yet.
type ConnectionFailed struct{}

// CancelWait ends the waiting of a request that was not admitted yet.
type CancelWait struct{ ID uint64 }

// Announce gives the contents of an announcement.
type Announce struct {
	Incarnation uint64
	// Model names what is loaded; step times of another one do not compare.
	Model      string
	Limits     Limits
	Cold       bool
	Running    uint32
	TokensHeld uint64
}

// AnnouncementExpired says that announcements stay away.
type AnnouncementExpired struct{}

// Tick lets time pass.
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
	// the backend server is still warm, and that there is room then. Waiting
	// for it costs less than another try.
	Transient bool
}

// Preempt asks to cancel a stream at the engine and to Release it then.
type Preempt struct{ ID uint64 }

func (Admit) effect()   {}
func (Refuse) effect()  {}
func (Preempt) effect() {}

// request is an admitted or waiting request.
type request struct {
	Arrive
	// prompt is the upper bound of prompt tokens, exact once known is set.
	prompt uint64
	known  bool
	tokens uint64
	// reserved is what counts for the memory limit.
	reserved uint64
	admitted time.Time
	// leaving says that its preemption was asked for.
	leaving bool
	// started says that the engine has sent a figure.
	started bool
	// seen is the number of announcements since its admission.
	seen int
	// steps is the limiter's count at its admission plus its figures since.
	steps uint64
}

// full is the largest number of tokens that the request can hold.
func (r *request) full() uint64 { return r.prompt + max(r.MaxTokens, r.tokens) }

func (r *request) held() uint64 { return r.prompt + r.tokens }

// Controller is the admission state of one backend server.
type Controller struct {
	limits      Limits
	incarnation uint64
	announced   bool
	// retired lists earlier incarnations; candidate has announced itself once.
	retired   []uint64
	candidate uint64
	running   map[uint64]*request
	waiting   []*request
	reserved  uint64
	foreign   []foreign
	// excess is what the backend server holds beyond all that is known here.
	// beyond is that figure of the last announcement alone.
	excess   uint64
	beyond   uint64
	limiter  limiter
	lengths  lengths
	prefixes prefixes
	// holdTime is a moving average of how long a request is held.
	holdTime time.Duration
}

// New returns a Server that refuses everything until it is announced.
func New() *Controller {
	return &Controller{running: map[uint64]*request{}, prefixes: prefixes{hits: map[uint64]time.Time{}}}
}

// Step takes an input at a time and decides.
func (s *Controller) Step(now time.Time, in Input) []Effect {
	if s.foreignRunning() > 0 && s.limiter.isProbing(now) {
		// Foreign load makes steps that are not seen here: the backend server
		// may have become cold and be warming up again.
		s.limiter.fall(now)
	}
	effects := s.decide(now, in)
	s.limiter.unseen.note(now, s.holding())
	return effects
}

func (s *Controller) decide(now time.Time, in Input) []Effect {
	switch in := in.(type) {
	case Arrive:
		return s.arrive(now, in)
	case Progress:
		return s.progress(now, in)
	case Release:
		s.release(now, in)
	case Abandon:
		s.abandon(in)
	case ConnectionFailed:
		s.limiter.doubt()
	case CancelWait:
		s.withdraw(in)
	case Announce:
		return s.announce(now, in)
	case AnnouncementExpired:
		s.announced = false
	}
	return s.fill(now, nil)
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

// View returns the figures that entries choose by. An idle backend server shows
// the limit that it will have after a few steps.
func (s *Controller) View(now time.Time) View {
	limit := s.limit(now)
	if s.announced && s.limiter.isProbing(now) {
		limit = s.limiter.limit
	}
	return View{
		Running:        s.holding(),
		Waiting:        len(s.waiting),
		Limit:          limit,
		TokensReserved: s.used(),
		TokensLimit:    s.limits.MemoryTokens,
		StepUS:         s.limiter.lastUS,
	}
}

// holding is the number of requests at the backend server.
func (s *Controller) holding() uint32 { return uint32(len(s.running)) + s.foreignRunning() }

// used is the number of tokens reserved or held by others.
func (s *Controller) used() uint64 { return s.reserved + s.foreignTokens() + s.excess }

func (s *Controller) limit(now time.Time) uint32 {
	if !s.announced {
		return 0
	}
	return s.limiter.allowed(now)
}

func (s *Controller) isModel() bool { return s.limits.MemoryTokens > 0 }

// promptBound is the upper bound of the prompt's tokens.
func (s *Controller) promptBound(in Arrive) uint64 {
	if in.PromptTokens > 0 {
		return in.PromptTokens
	}
	return uint64(math.Ceil(float64(in.PromptBytes) / max(s.limits.MinBytesPerToken, minBytesPerToken)))
}

// minBytesPerToken guards the division against a limit of zero.
const minBytesPerToken = 1.0 / 16

func (s *Controller) arrive(now time.Time, in Arrive) []Effect {
	r := &request{Arrive: in, prompt: s.promptBound(in), known: in.PromptTokens > 0, tokens: in.Resumed}
	if s.announced && s.isModel() && r.full() > s.limits.MemoryTokens {
		return []Effect{Refuse{ID: in.ID, Reason: TooLarge}}
	}
	if in.Wait {
		s.enqueue(r)
		return s.fill(now, nil)
	}
	if reason, ok := s.refusal(now, r); !ok {
		brief := (reason == Cold || reason == Queued) && s.isBrief(now)
		return []Effect{Refuse{ID: in.ID, Reason: reason, RetryAfter: s.retryAfter(reason), Transient: brief}}
	}
	return []Effect{s.admit(now, r)}
}

// refusal says whether a new request can be admitted, and if not, why.
func (s *Controller) refusal(now time.Time, r *request) (Reason, bool) {
	if !s.announced {
		return Unannounced, false
	}
	if len(s.waiting) > 0 && s.waiting[0].Priority >= r.Priority {
		return Queued, false
	}
	return s.room(now, r)
}

// room says whether concurrency and memory have room for a request.
func (s *Controller) room(now time.Time, r *request) (Reason, bool) {
	if limit := s.limit(now); s.holding() >= limit {
		if limit < s.limits.MaxConcurrent {
			return Cold, false
		}
		return Concurrency, false
	}
	if s.isModel() && s.used()+s.initial(r) > s.limits.MemoryTokens {
		return Memory, false
	}
	return 0, true
}

// isBrief says whether the limit is lowered only for want of a recent step, and
// has room for those that wait besides one more.
func (s *Controller) isBrief(now time.Time) bool {
	return s.announced && s.limiter.isProbing(now) && s.holding()+uint32(len(s.waiting)) < s.limiter.limit
}

func (s *Controller) admit(now time.Time, r *request) Effect {
	r.reserved, r.admitted, r.steps = s.initial(r), now, s.limiter.steps
	s.reserved += r.reserved
	s.running[r.ID] = r
	return Admit{ID: r.ID}
}

// Bounds of the advice on when to try again.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter estimates when a place is free: a lowered limit is looked at
// again after a few steps, a full one when the next request ends.
func (s *Controller) retryAfter(reason Reason) time.Duration {
	wait := s.holdTime / time.Duration(max(1, s.holding()))
	switch reason {
	case Unannounced:
		wait = time.Second
	case Cold:
		wait = restoreSteps * time.Duration(s.limiter.lastUS) * time.Microsecond
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
