package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Completer records the outcome of an attempt in the ledger of control.
type Completer interface {
	Complete(ctx context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error)
}

// Time limits and retry delays for recording an outcome.
const (
	// completeTimeout is how long the agent tries to record an outcome. By then
	// a majority of the control hosts has returned to service or needs an
	// operator.
	completeTimeout     = 10 * time.Minute
	completeCallTimeout = 2 * time.Second
	minCompleteBackoff  = 50 * time.Millisecond
	maxCompleteBackoff  = 2 * time.Second
)

// answerOutcome and unknownOutcome set the outcomes that an agent records.
func answerOutcome(answer *peer.StoredAnswer) func(*peer.CompleteRequest) {
	return func(r *peer.CompleteRequest) { r.Outcome = &peer.CompleteRequest_Answer{Answer: answer} }
}

func unknownOutcome(r *peer.CompleteRequest) {
	r.Outcome = &peer.CompleteRequest_Unknown{Unknown: true}
}

// transientKinds lists the kinds after which the same call may succeed later.
var transientKinds = []fault.Kind{
	fault.Unavailable, fault.NoQuorum, fault.NotLeader, fault.OutcomeUnknown, fault.DeadlineExceeded,
	fault.Overloaded, fault.RateLimited, fault.Cancelled, fault.Internal, fault.NoLease,
}

func isTransient(err error) bool {
	for _, kind := range transientKinds {
		if fault.Is(err, kind) {
			return true
		}
	}
	return false
}

// complete records the outcome of an attempt with a key. It must succeed before
// the answer ends, so that nothing is lost if the entry fails in between. A
// repeated call for the same attempt has the same effect, so it is retried
// after transient errors.
func (j *job) complete(setOutcome func(*peer.CompleteRequest)) error {
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	req := &peer.CompleteRequest{Key: j.req.Key, Attempt: j.req.Attempt}
	setOutcome(req)
	for backoff := minCompleteBackoff; ; backoff = min(2*backoff, maxCompleteBackoff) {
		err := j.completeOnce(ctx, req)
		if err == nil {
			return nil
		}
		if !isTransient(err) {
			j.role.log.Error("outcome was not recorded", "request", j.key.RequestID, "error", err)
			return fault.Wrap(err, fault.OutcomeUnknown, "request ran, but its outcome could not be recorded").WithRan(fault.RanYes)
		}
		j.role.scope.Counter("complete_retries").Inc(1)
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return fault.Wrap(err, fault.OutcomeUnknown, "request ran, but its outcome could not be recorded").WithRan(fault.RanYes)
		}
	}
}

func (j *job) completeOnce(ctx context.Context, req *peer.CompleteRequest) error {
	ctx, cancel := context.WithTimeout(ctx, completeCallTimeout)
	defer cancel()
	_, err := j.role.ledger.Complete(ctx, req)
	var e *fault.Error
	if errors.As(err, &e) {
		return e
	}
	return peer.FromTwirp(err)
}
