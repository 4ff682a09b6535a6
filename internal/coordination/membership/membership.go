/*
Package membership keeps a node's lease and configuration up to date.

# Concept

A [Session] renews with control every 0.5 s. The answer brings a lease and, if
there is a newer revision, its configuration. The session adopts higher
revisions only, and counts the lease only if the node runs the revision that
the lease was granted with. [Session.CheckLease] compares the clock with the lease
at each call, so a process that was frozen finds its lease over before it takes
any work.

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
	// callTimeout bounds one renewal with all its tries. A lease outlasts two
	// renewals that are lost.
	callTimeout = 1200 * time.Millisecond
	// minInterval bounds how often RenewSoon can cause a renewal.
	minInterval = 50 * time.Millisecond
	// retryInterval is the time to the next renewal after a failed one. A
	// leader change takes up to half a lease, so the rest must not be waited
	// away.
	retryInterval = 150 * time.Millisecond
	// maxLease bounds what a node accepts as a lease.
	maxLease = time.Minute
)

// Config holds what a Session needs.
type Config struct {
	Node    *peer.Node
	Control peer.Control
	// Report adds backend servers and the dispatch window to a renewal; it may
	// be nil.
	Report func(*peer.RenewRequest)
	// OnRenew is called in order with each answer that was accepted, after a
	// new configuration is adopted; it may be nil.
	OnRenew func(*peer.RenewResponse)
	// Now reads the clock, with its monotonic part.
	Now   func() time.Time
	Log   hclog.Logger
	Scope tally.Scope
}

// Session is a node's membership. Use New. All methods may be called by any
// goroutine.
type Session struct {
	cfg  Config
	soon chan struct{}
	done chan struct{}

	mu       sync.RWMutex
	holder   lease.Holder
	revision uint64
	intent   intent.Intent
	// accounts is the digest of the intent's client accounts.
	accounts []byte
}

// View is the state of a Session at one moment.
type View struct {
	Revision uint64
	Intent   intent.Intent
	// LeaseErr is nil, or a no_lease fault.
	LeaseErr error
}

// New starts a session, which ends with ctx. It holds no lease until the first
// renewal has been answered.
func New(ctx context.Context, cfg Config) *Session {
	s := &Session{cfg: cfg, soon: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.run(ctx)
	}()
	return s
}

// CheckLease returns nil if the node may take new work now, or a no_lease fault.
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
	case s.soon <- struct{}{}:
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
		if !s.pause(ctx, interval) {
			return
		}
		timer.Reset(0)
	}
}

// pause waits for the next renewal, or less if one is asked for.
func (s *Session) pause(ctx context.Context, interval time.Duration) bool {
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
	case <-s.soon:
	}
	return true
}

// renew makes one renewal and says whether it gave a lease.
func (s *Session) renew(ctx context.Context) bool {
	req := s.request()
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

func (s *Session) request() *peer.RenewRequest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &peer.RenewRequest{Node: s.cfg.Node, RunningRevision: s.revision, ClientAccountsDigest: s.accounts}
}

// accept adopts the configuration and counts the lease, in one step. An answer
// that leaves the node on a lower revision than the one it was granted with
// gives no lease.
func (s *Session) accept(sent time.Time, res *peer.RenewResponse) error {
	next, err := s.read(res)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Revision < s.revision {
		return fault.New(fault.Conflict, "control answers with revision %d, this node runs %d", res.Revision, s.revision)
	}
	if res.Revision > s.revision {
		s.revision, s.intent, s.accounts = res.Revision, next, res.Config.ClientAccountsDigest
		s.cfg.Log.Info("adopted configuration", "revision", s.revision)
		s.cfg.Scope.Gauge("revision").Update(float64(s.revision))
	}
	s.holder.Granted(sent, min(time.Duration(min(res.LeaseMs, uint64(maxLease.Milliseconds())))*time.Millisecond, maxLease))
	return nil
}

// read returns the intent of an answer with a higher revision.
func (s *Session) read(res *peer.RenewResponse) (intent.Intent, error) {
	if res.Revision <= s.Revision() {
		return intent.Intent{}, nil
	}
	if res.Config.GetRevision() != res.Revision {
		return intent.Intent{}, fault.New(fault.Conflict, "control answers with revision %d but the configuration of %d",
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
	if !bytes.Equal(res.Config.ClientAccountsDigest, s.accounts) {
		return intent.Intent{}, fault.New(fault.Conflict, "configuration of revision %d is for other client accounts", res.Revision)
	}
	in.ClientAccounts = s.intent.ClientAccounts
	return in, nil
}
