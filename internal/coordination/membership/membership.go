/*
Package membership keeps a node's lease and configuration up to date.

# Concept

A [Session] renews its lease with control every 0.5 s. The response grants a
lease and, if there is a newer revision, carries its configuration. The session
adopts higher revisions only, and uses the lease only if the node runs the
revision that the lease was granted with. [Session.CheckLease] compares the
clock with the lease at each call, so a process that was frozen detects an
expired lease before it accepts any work.

# Use

	s := membership.New(ctx, membership.Config{Node: node, Control: api, ...})
	if err := s.CheckLease(); err != nil {
		return err // a no_lease fault
	}
	in := s.Intent()

A check that needs lease and configuration of the same moment uses
[Session.View].
*/
package membership

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Times of the session.
const (
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
	// callTimeout bounds one renewal with all its attempts. A lease outlasts two
	// lost renewals.
	callTimeout = 1200 * time.Millisecond
	// minInterval bounds how often RenewSoon can cause a renewal.
	minInterval = 50 * time.Millisecond
	// retryInterval is the time to the next renewal after a failed one. A
	// leader change takes up to half a lease, so the rest of the lease must
	// not be spent waiting.
	retryInterval = 150 * time.Millisecond
	// maxLease is the longest lease that a node accepts.
	maxLease = time.Minute
)

// Config configures a Session.
type Config struct {
	Node    *peer.Node
	Control peer.Control
	// Report adds backend servers and the dispatch window to a renewal; it may
	// be nil.
	Report func(*peer.RenewRequest)
	// OnRenew is called in order with each response that was accepted, after a
	// new configuration is adopted; it may be nil.
	OnRenew func(*peer.RenewResponse)
	// Now reads the clock, with its monotonic part.
	Now   func() time.Time
	Log   hclog.Logger
	Scope tally.Scope
}

// Session is a node's membership. Use New. All methods are safe for concurrent
// use.
type Session struct {
	cfg            Config
	renewRequested chan struct{}
	done           chan struct{}

	mu       sync.RWMutex
	holder   lease.Holder
	revision uint64
	intent   intent.Intent
	// accountsDigest is the digest of the intent's client accounts.
	accountsDigest []byte
}

// View is the state of a Session at one moment.
type View struct {
	Revision uint64
	Intent   intent.Intent
	// LeaseErr is nil, or a no_lease fault.
	LeaseErr error
}

// New starts a session, which ends with ctx. It holds no lease until the first
// renewal has succeeded.
func New(ctx context.Context, cfg Config) *Session {
	s := &Session{cfg: cfg, renewRequested: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.run(ctx)
	}()
	return s
}

// CheckLease returns nil if the node may accept new work now, or a no_lease
// fault.
func (s *Session) CheckLease() error { return s.View().LeaseErr }

// Revision returns the running revision.
func (s *Session) Revision() uint64 { return s.View().Revision }

// Intent returns the intent of the running revision. It is shared and must not
// be changed.
func (s *Session) Intent() intent.Intent { return s.View().Intent }

// View returns lease, revision and intent of the same moment.
func (s *Session) View() View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := View{Revision: s.revision, Intent: s.intent}
	if !s.holder.IsHeld(s.cfg.Now()) {
		v.LeaseErr = fault.New(fault.NoLease, "node %s has no lease from control", s.cfg.Node.GetId()).
			WithRetryAfter(RenewInterval)
	}
	return v
}

// RenewSoon asks for a renewal soon, for example after a change in the report.
func (s *Session) RenewSoon() {
	select {
	case s.renewRequested <- struct{}{}:
	default:
	}
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

func (s *Session) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		interval := RenewInterval
		if !s.renew(ctx) {
			interval = retryInterval
		}
		if !s.waitForRenewal(ctx, interval) {
			return
		}
		timer.Reset(0)
	}
}

// waitForRenewal waits for the interval, or until a renewal is requested, but at
// least for minInterval. It reports false once ctx has ended.
func (s *Session) waitForRenewal(ctx context.Context, interval time.Duration) bool {
	first := time.NewTimer(minInterval)
	defer first.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-first.C:
	}
	rest := time.NewTimer(interval - minInterval)
	defer rest.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-rest.C:
	case <-s.renewRequested:
	}
	return true
}

// renew makes one renewal and reports whether its response was accepted.
func (s *Session) renew(ctx context.Context) bool {
	req := s.renewRequest()
	if s.cfg.Report != nil {
		s.cfg.Report(req)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.cfg.Now()
	res, err := s.cfg.Control.Renew(ctx, req)
	if err == nil {
		err = s.accept(sent, res)
	}
	if err != nil {
		kind := fault.From(err).Kind.String()
		s.cfg.Scope.Tagged(map[string]string{"reason": kind}).Counter("renewals_failed").Inc(1)
		s.cfg.Log.Debug("renewal failed", "reason", kind, "error", err)
		return false
	}
	s.cfg.Scope.Counter("renewals").Inc(1)
	if s.cfg.OnRenew != nil {
		s.cfg.OnRenew(res)
	}
	return true
}

func (s *Session) renewRequest() *peer.RenewRequest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &peer.RenewRequest{Node: s.cfg.Node, RunningRevision: s.revision, ClientAccountsDigest: s.accountsDigest}
}

// accept adopts the configuration and records the lease, in one step. A response
// whose revision the node cannot adopt grants no lease.
func (s *Session) accept(sent time.Time, res *peer.RenewResponse) error {
	next, err := s.parseIntent(res)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Revision < s.revision {
		return fault.New(fault.Conflict, "control answered with revision %d, but this node runs revision %d", res.Revision, s.revision)
	}
	if res.Revision > s.revision {
		s.revision, s.intent, s.accountsDigest = res.Revision, next, res.Config.ClientAccountsDigest
		s.cfg.Log.Info("adopted configuration", "revision", s.revision)
		s.cfg.Scope.Gauge("revision").Update(float64(s.revision))
	}
	s.holder.Granted(sent, min(time.Duration(min(res.LeaseMs, uint64(maxLease.Milliseconds())))*time.Millisecond, maxLease))
	return nil
}

// parseIntent returns the intent of a response with a higher revision, and an
// empty one otherwise.
func (s *Session) parseIntent(res *peer.RenewResponse) (intent.Intent, error) {
	if res.Revision <= s.Revision() {
		return intent.Intent{}, nil
	}
	if res.Config.GetRevision() != res.Revision {
		return intent.Intent{}, fault.New(fault.Conflict, "control answered with revision %d, but with the configuration of revision %d",
			res.Revision, res.Config.GetRevision())
	}
	in, err := intent.Parse(res.Config.Intent)
	if err != nil {
		return intent.Intent{}, fault.Wrap(err, fault.CorruptData, "configuration of revision %d cannot be read", res.Revision)
	}
	if !res.Config.SameClientAccounts {
		return in, nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !bytes.Equal(res.Config.ClientAccountsDigest, s.accountsDigest) {
		return intent.Intent{}, fault.New(fault.Conflict, "configuration of revision %d refers to client accounts that this node does not have", res.Revision)
	}
	in.ClientAccounts = s.intent.ClientAccounts
	return in, nil
}
