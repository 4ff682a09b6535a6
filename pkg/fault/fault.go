/*
Package fault defines the closed set of error kinds that callers, operators
and the processes of the system receive.

# Kinds

Each [Kind] has one row in a table that gives its HTTP status and the default
value of the ran field. A caller decides on a resend by the ran field alone:
"no" means that the request did not run and will not run later, so a resend is
safe; "unknown" means that it may have run or may still run.

# Use

	return fault.New(fault.Overloaded, "no backend server of %q has capacity left", service).
		WithRetryAfter(250 * time.Millisecond)

[Wrap] adds a kind to an error of another package, and [From] finds the kind of
any error; one without a kind is [Internal] with an unknown outcome.
*/
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type=Kind,Ran -linecomment -output=fault_string.go

// Kind is one of the closed set of error kinds.
type Kind uint8

// The kinds. Their names in messages and metrics are in snake case.
const (
	Internal          Kind = iota // internal
	BadRequest                    // bad_request
	Unauthenticated               // unauthenticated
	Forbidden                     // forbidden
	UnknownService                // unknown_service
	NotFound                      // not_found
	TooLarge                      // too_large
	DeadlineExceeded              // deadline_exceeded
	Cancelled                     // cancelled
	RateLimited                   // rate_limited
	Overloaded                    // overloaded
	Unavailable                   // unavailable
	Draining                      // draining
	NoLease                       // no_lease
	NoQuorum                      // no_quorum
	NotLeader                     // not_leader
	RegionUnreachable             // region_unreachable
	Conflict                      // conflict
	KeyInProgress                 // key_in_progress
	KeyReused                     // key_reused
	AlreadyRun                    // already_run
	OutcomeUnknown                // outcome_unknown
	DuplicateAttempt              // duplicate_attempt
	StaleIncarnation              // stale_incarnation
	StaleWindow                   // stale_window
	StaleFencing                  // stale_fencing
	BackendFailed                 // backend_failed
	StreamBroken                  // stream_broken
	ChecksumMismatch              // checksum_mismatch
	RetryBudgetSpent              // retry_budget_spent
	BufferLimit                   // buffer_limit
	Quarantined                   // quarantined
	BadSettings                   // bad_settings
	CorruptData                   // corrupt_data
	ForeignData                   // foreign_data
	RequestTimeout                // request_timeout
	kindCount         = iota
)

// Ran is the run state of a request: whether it ran.
type Ran uint8

// The run states. The zero value does not say whether the request ran.
const (
	RanUnknown Ran = iota // unknown
	RanNo                 // no
	RanYes                // yes
)

type kindInfo struct {
	status int
	ran    Ran
}

// kindTable maps each kind to its HTTP status and default run state. Code with
// more exact information overrides the run state with WithRan.
var kindTable = [kindCount]kindInfo{
	Internal:          {http.StatusInternalServerError, RanUnknown},
	BadRequest:        {http.StatusBadRequest, RanNo},
	Unauthenticated:   {http.StatusUnauthorized, RanNo},
	Forbidden:         {http.StatusForbidden, RanNo},
	UnknownService:    {http.StatusNotFound, RanNo},
	NotFound:          {http.StatusNotFound, RanNo},
	TooLarge:          {http.StatusRequestEntityTooLarge, RanNo},
	DeadlineExceeded:  {http.StatusGatewayTimeout, RanUnknown},
	Cancelled:         {499, RanUnknown},
	RateLimited:       {http.StatusTooManyRequests, RanNo},
	Overloaded:        {http.StatusServiceUnavailable, RanNo},
	Unavailable:       {http.StatusServiceUnavailable, RanNo},
	Draining:          {http.StatusServiceUnavailable, RanNo},
	NoLease:           {http.StatusServiceUnavailable, RanNo},
	NoQuorum:          {http.StatusServiceUnavailable, RanNo},
	NotLeader:         {http.StatusMisdirectedRequest, RanNo},
	RegionUnreachable: {http.StatusServiceUnavailable, RanNo},
	Conflict:          {http.StatusConflict, RanNo},
	KeyInProgress:     {http.StatusConflict, RanUnknown},
	KeyReused:         {http.StatusUnprocessableEntity, RanNo},
	AlreadyRun:        {http.StatusConflict, RanYes},
	OutcomeUnknown:    {http.StatusBadGateway, RanUnknown},
	DuplicateAttempt:  {http.StatusConflict, RanUnknown},
	StaleIncarnation:  {http.StatusConflict, RanNo},
	StaleWindow:       {http.StatusConflict, RanNo},
	StaleFencing:      {http.StatusConflict, RanNo},
	BackendFailed:     {http.StatusBadGateway, RanUnknown},
	StreamBroken:      {http.StatusBadGateway, RanUnknown},
	ChecksumMismatch:  {http.StatusBadGateway, RanUnknown},
	RetryBudgetSpent:  {http.StatusServiceUnavailable, RanUnknown},
	BufferLimit:       {http.StatusServiceUnavailable, RanNo},
	Quarantined:       {http.StatusServiceUnavailable, RanNo},
	BadSettings:       {http.StatusInternalServerError, RanNo},
	CorruptData:       {http.StatusInternalServerError, RanUnknown},
	ForeignData:       {http.StatusInternalServerError, RanNo},
	RequestTimeout:    {http.StatusRequestTimeout, RanNo},
}

// Status returns the HTTP status of a kind.
func (k Kind) Status() int {
	if int(k) >= len(kindTable) {
		return http.StatusInternalServerError
	}
	return kindTable[k].status
}

// Ran returns the default run state of a kind.
func (k Kind) Ran() Ran {
	if int(k) >= len(kindTable) {
		return RanUnknown
	}
	return kindTable[k].ran
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// ParseKind returns the kind with a name, and false if there is none.
func ParseKind(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.String() == name {
			return k, true
		}
	}
	return Internal, false
}

// ParseRan returns the run state with a name, and RanUnknown for other names.
func ParseRan(name string) Ran {
	switch name {
	case RanNo.String():
		return RanNo
	case RanYes.String():
		return RanYes
	}
	return RanUnknown
}

// Error is an error with a kind.
type Error struct {
	Kind       Kind
	Message    string
	Ran        Ran
	RetryAfter time.Duration
	// Leader is the address of the leader, for NotLeader.
	Leader string
	cause  error
}

// New returns an error of a kind with the kind's default run state.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Ran: kind.Ran()}
}

// Wrap returns an error of a kind that keeps its cause.
func Wrap(cause error, kind Kind, format string, args ...any) *Error {
	err := New(kind, format, args...)
	err.cause = cause
	return err
}

// Error returns the kind, the message and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Kind.String() + ": " + e.Message
	}
	return e.Kind.String() + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// WithRan returns a copy with another run state.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy with the delay after which to try again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the first Error in err's chain, or an Internal one that wraps
// err. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}

// Is reports whether the first Error in err's chain has the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
