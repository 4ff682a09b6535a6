package peer

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Names of the meta entries that encode a fault in a twirp error.
const (
	metaKind       = "kind"
	metaRan        = "ran"
	metaLeader     = "leader"
	metaRetryAfter = "retry_after_ms"
)

// ToTwirp converts an error to a twirp error that keeps kind, run state,
// leader and retry delay. It returns nil for nil.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	e := fault.From(err)
	return twirp.NewError(errorCode(e.Kind), e.Message).
		WithMeta(metaKind, e.Kind.String()).
		WithMeta(metaRan, e.Ran.String()).
		WithMeta(metaLeader, e.Leader).
		WithMeta(metaRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
}

// FromTwirp converts an error of a twirp client to a fault. An error without a
// kind means that the response was lost in transit, so the outcome of the call
// is unknown.
func FromTwirp(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return fault.Wrap(err, fault.Unavailable, "call failed").WithRan(fault.RanUnknown)
	}
	kind, ok := fault.ParseKind(te.Meta(metaKind))
	if !ok {
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return fault.Wrap(err, fault.DeadlineExceeded, "call timed out").WithRan(fault.RanUnknown)
		}
		return fault.Wrap(err, fault.Unavailable, "call failed").WithRan(fault.RanUnknown)
	}
	e := fault.New(kind, "%s", te.Msg()).WithRan(fault.ParseRan(te.Meta(metaRan)))
	e.Leader = te.Meta(metaLeader)
	if ms, err := strconv.ParseInt(te.Meta(metaRetryAfter), 10, 64); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return e
}

func errorCode(kind fault.Kind) twirp.ErrorCode {
	switch kind {
	case fault.BadRequest:
		return twirp.InvalidArgument
	case fault.Unauthenticated:
		return twirp.Unauthenticated
	case fault.Forbidden:
		return twirp.PermissionDenied
	case fault.NotFound, fault.UnknownService:
		return twirp.NotFound
	case fault.Conflict, fault.StaleFencing, fault.StaleIncarnation, fault.StaleWindow:
		return twirp.FailedPrecondition
	case fault.DeadlineExceeded:
		return twirp.DeadlineExceeded
	case fault.Cancelled:
		return twirp.Canceled
	case fault.RateLimited, fault.Overloaded:
		return twirp.ResourceExhausted
	case fault.Internal, fault.CorruptData:
		return twirp.Internal
	}
	return twirp.Unavailable
}
