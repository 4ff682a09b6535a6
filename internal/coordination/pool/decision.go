package pool

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Request is one caller's request that needs a backend server.
type Request struct {
	Service  string
	Priority int
	Arrived  time.Time
	// TargetStart is when work must begin for the caller to be served on time;
	// zero if there is no such time. Requests that can still be served on time go
	// before those that cannot.
	TargetStart time.Time
	// LatestStart is when the request is refused if work has not begun.
	LatestStart time.Time
	// TargetGap is the longest acceptable time between two events of a stream, or
	// 0 if there is no limit.
	TargetGap time.Duration
	// ID is the caller's id of the request, which a resend repeats, and Kind names
	// the route.
	ID, Kind string
	// ClientAccount is the account that the request is for, or empty.
	ClientAccount string
	// Size is what the caller says about the work.
	Size size.Hint
	// Deadline is when the caller gives up; zero if it never does.
	Deadline time.Time
	// Prompt holds the prefixes of the prompt that other prompts may share.
	Prompt prefix.Prompt
	// Tried holds the ids of backend servers that must not be chosen again.
	Tried []string
	// IsRetry reports whether the request was sent before.
	IsRetry bool

	sequence uint64
	late     bool // TargetStart has passed
	prepared bool // the figures below are set
	// latest is LatestStart, or the last start from which the answer can be complete by
	// the deadline if that is earlier.
	latest time.Time
	// work is the estimated time at a backend server relative to the mean of the
	// service, and tag the place among the client accounts.
	work, tag float64
	queued    bool // has been in the queue
	displaced bool // another request takes its place
	// returning says that a refused request comes back when it was told to, and due
	// when it should have come if it is too early.
	returning bool
	due       time.Time
}

// Decision is the answer to a request: Assign, Wait or Refuse.
type Decision interface{ isDecision() }

// Assign names the backend server that takes the request, with the figures
// behind the choice.
type Assign struct {
	Server follower.Server
	// Running is the number of requests there, and PeerLoad the part of it that
	// belongs to other entries.
	Running, PeerLoad int
	Cold              bool
	// Cost is the expected time to the first answer, multiplied by the cost factors
	// of failures, of the path and of a cold backend server.
	Cost time.Duration
	// Prefix says how a cached prefix of the prompt affected the choice.
	Prefix PrefixUse
}

// Wait reports that the request is queued.
type Wait struct {
	Ahead        int
	ExpectedWait time.Duration
}

// Refuse reports that the request cannot be served.
type Refuse struct {
	Kind       fault.Kind
	Reason     Reason
	RetryAfter time.Duration
	// Waiting and Running count this entry's requests for the service.
	// ExpectedWait is the estimated wait of the request, or with WaitTimedOut the
	// time since its arrival.
	Waiting, Running int
	ExpectedWait     time.Duration
	// NeverStarts says that no wait can be estimated, because others would always go
	// first. ExpectedWait is 0 then.
	NeverStarts bool
}

func (Assign) isDecision() {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// Reason says why a request was refused.
type Reason uint8

// The reasons.
const (
	NoServer     Reason = iota // no_server
	AllAvoided                 // all_avoided
	QueueTooLong               // queue_too_long
	WaitTimedOut               // waited_out
	RetryBudget                // retry_budget
	AllClosed                  // all_closed
	Displaced                  // displaced
)

// Result says how a request ended at a backend server.
type Result uint8

// The results.
const (
	Answered    Result = iota // answered
	Rejected                  // rejected
	Failed                    // failed
	Unreachable               // unreached
	NoAnswer                  // silent
	Abandoned                 // abandoned
)

// QueuedDecision is the decision, Assign or Refuse, that ends the wait of a
// request.
type QueuedDecision struct {
	Request  *Request
	Decision Decision
}
