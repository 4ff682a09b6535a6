/*
Package controlapi is a client that calls a control group like a single process.

# Concept

Only the leader of a control group answers calls. A [Client] calls the replica
that answered last, follows the address in a not_leader fault, and tries the
other replicas if one does not respond or has no quorum. Each try has its own
short timeout, so a replica behind a silent network partition adds little
delay. Such a replica is tried last for some seconds.

Every call may be sent several times: claims, completions and confirmations
are idempotent. A call may have been executed even though all tries failed; the
fault is outcome_unknown then, unless no try can have had an effect.

# Use

	api := controlapi.New([]string{"10.0.0.1:7000", "10.0.0.2:7000"}, httpClient)
	res, err := api.Claim(ctx, req)

All errors are faults. A context without a deadline gets one per call.
*/
package controlapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Timeouts and delays of calls.
const (
	// tryTimeout bounds the first try of a small call. A commit takes a few
	// milliseconds; ten times that allows for a slow disk.
	tryTimeout = 300 * time.Millisecond
	// maxTimeoutIncreases bounds how often the timeout of a try grows by its
	// initial value: once per round over all replicas, so that a group with slow
	// disks can answer at all.
	maxTimeoutIncreases = 4
	// largeTryTimeout bounds one try of a call that carries an intent.
	largeTryTimeout = 3 * time.Second
	// callTimeout bounds a call whose context has no deadline. It is longer than
	// a leader change.
	callTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the delay after all replicas were tried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// avoidPeriod is how long an unresponsive replica is tried last.
	avoidPeriod = 10 * time.Second
)

// Client implements peer.Control and peer.Operator over several replicas. It is
// safe for concurrent use.
type Client struct {
	replicas *replicas
}

var (
	_ peer.Control  = (*Client)(nil)
	_ peer.Operator = (*Client)(nil)
)

// New returns a Client for replicas at host:port addresses. The HTTP client
// adds the token.
func New(addresses []string, client *http.Client) *Client {
	return &Client{replicas: newReplicas(addresses, client)}
}

// Leader returns the address of the replica that answered last, or "".
func (c *Client) Leader() string { return c.replicas.leaderAddress() }

// Renew renews a node's lease.
func (c *Client) Renew(ctx context.Context, req *peer.RenewRequest) (*peer.RenewResponse, error) {
	return call(ctx, c, readPolicy(tryTimeout), req, peer.Control.Renew, controlClient)
}

// Watch waits for changes of backend servers.
func (c *Client) Watch(ctx context.Context, req *peer.WatchRequest) (*peer.WatchResponse, error) {
	timeout := time.Duration(min(req.GetWaitMs(), 60_000))*time.Millisecond + 2*tryTimeout
	return call(ctx, c, callPolicy{tryTimeout: timeout, totalTimeout: timeout + callTimeout}, req, peer.Control.Watch, controlClient)
}

// Claim claims an idempotency key for an attempt.
func (c *Client) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return call(ctx, c, writePolicy(tryTimeout), req, peer.Control.Claim, controlClient)
}

// Reassign moves a key to its next attempt.
func (c *Client) Reassign(ctx context.Context, req *peer.ReassignRequest) (*peer.ClaimResponse, error) {
	return call(ctx, c, writePolicy(tryTimeout), req, peer.Control.Reassign, controlClient)
}

// Complete records the end of an attempt.
func (c *Client) Complete(ctx context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error) {
	return call(ctx, c, writePolicy(tryTimeout), req, peer.Control.Complete, controlClient)
}

// Lookup returns the state of a key.
func (c *Client) Lookup(ctx context.Context, req *peer.LookupRequest) (*peer.ClaimResponse, error) {
	return call(ctx, c, readPolicy(tryTimeout), req, peer.Control.Lookup, controlClient)
}

// Plan returns the plan of a change of the intent.
func (c *Client) Plan(ctx context.Context, req *peer.PlanRequest) (*peer.PlanResponse, error) {
	return call(ctx, c, readPolicy(largeTryTimeout), req, peer.Operator.Plan, operatorClient)
}

// Confirm executes a plan.
func (c *Client) Confirm(ctx context.Context, req *peer.ConfirmRequest) (*peer.ConfirmResponse, error) {
	return call(ctx, c, writePolicy(largeTryTimeout), req, peer.Operator.Confirm, operatorClient)
}

// Status returns the state of the region.
func (c *Client) Status(ctx context.Context, req *peer.StatusRequest) (*peer.StatusResponse, error) {
	return call(ctx, c, readPolicy(largeTryTimeout), req, peer.Operator.Status, operatorClient)
}

// Members returns the members of the control group.
func (c *Client) Members(ctx context.Context, req *peer.MembersRequest) (*peer.MembersResponse, error) {
	return call(ctx, c, readPolicy(tryTimeout), req, peer.Operator.Members, operatorClient)
}

// ChangeMember adds, promotes or removes a member of the control group.
func (c *Client) ChangeMember(ctx context.Context, req *peer.ChangeMemberRequest) (*peer.MembersResponse, error) {
	return call(ctx, c, writePolicy(largeTryTimeout), req, peer.Operator.ChangeMember, operatorClient)
}

// ProposeMap proposes an expert map for a group.
func (c *Client) ProposeMap(ctx context.Context, req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error) {
	return call(ctx, c, writePolicy(largeTryTimeout), req, peer.Operator.ProposeMap, operatorClient)
}

// callPolicy holds the timeouts of a call and whether it writes.
type callPolicy struct {
	tryTimeout   time.Duration
	totalTimeout time.Duration
	writes       bool
}

func readPolicy(try time.Duration) callPolicy {
	return callPolicy{tryTimeout: try, totalTimeout: callTimeout}
}

func writePolicy(try time.Duration) callPolicy {
	return callPolicy{tryTimeout: try, totalTimeout: callTimeout, writes: true}
}

func controlClient(r *replica) peer.Control { return r.control }

func operatorClient(r *replica) peer.Operator { return r.operator }

// call tries replicas until one gives a definite answer or the deadline expires.
func call[S any, Req, Res any](ctx context.Context, c *Client, policy callPolicy, req *Req,
	do func(S, context.Context, *Req) (*Res, error), clientOf func(*replica) S) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, policy.totalTimeout)
	defer cancel()
	selector := c.replicas.newSelector()
	result := callResult{writes: policy.writes}
	for {
		r, backoff := selector.next()
		if r == nil {
			return nil, result.fault(fault.New(fault.Unavailable, "no control address is configured"))
		}
		if !sleep(ctx, backoff) {
			return nil, result.fault(nil)
		}
		tryCtx, cancelTry := context.WithTimeout(ctx, policy.tryTimeout*time.Duration(1+min(selector.rounds, maxTimeoutIncreases)))
		res, err := do(clientOf(r), tryCtx, req)
		cancelTry()
		if err == nil {
			selector.recordAnswer(r)
			return res, nil
		}
		f := tryFault(err)
		result.add(f)
		if isDefinite(f) {
			selector.recordAnswer(r)
			return nil, result.fault(f)
		}
		if ctx.Err() != nil {
			return nil, result.fault(nil)
		}
		selector.recordFailure(r, f)
	}
}

// isDefinite reports whether every other replica would return the same fault.
func isDefinite(f *fault.Error) bool {
	switch f.Kind {
	case fault.NotLeader, fault.NoQuorum, fault.OutcomeUnknown, fault.Unavailable,
		fault.DeadlineExceeded, fault.Draining, fault.Cancelled, fault.Internal:
		return false
	}
	return true
}

// tryFault returns the fault of one try. If no connection could be opened,
// nothing was sent and the call has not run.
func tryFault(err error) *fault.Error {
	f := fault.From(peer.FromTwirp(err))
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return f.WithRan(fault.RanNo)
	}
	return f
}

// callResult collects the faults of the tries of one call.
type callResult struct {
	writes        bool
	maybeExecuted bool // a try may have been executed
	last          *fault.Error
}

func (c *callResult) add(f *fault.Error) {
	c.last = f
	if f.Ran == fault.RanUnknown {
		c.maybeExecuted = true
	}
}

// fault returns the error of the call over all its tries. A write of which a try
// may have been executed is not reported as not run, unless the answer comes
// from the state machine, which gives a resend the answer to the first try. A
// refusal by a replica, for example of the token, does not show that earlier
// tries had no effect.
func (c *callResult) fault(definite *fault.Error) error {
	switch {
	case definite != nil && (definite.Kind == fault.Conflict || !c.writes || !c.maybeExecuted):
		return definite
	case c.last == nil:
		return fault.New(fault.Unavailable, "no control replica could be called before the deadline")
	case c.writes && c.maybeExecuted:
		return fault.Wrap(c.last, fault.OutcomeUnknown, "control may have executed the call")
	case c.last.Kind == fault.DeadlineExceeded || c.last.Kind == fault.Cancelled:
		return fault.Wrap(c.last, fault.Unavailable, "no control replica answered before the deadline")
	}
	return c.last
}

// sleep waits for d and reports whether ctx is still valid then.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
