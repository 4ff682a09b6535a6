/*
Package runner is the agent: the process beside the backend servers of a host.

# Authority

The agent alone decides which requests its backend servers are sent. An entry
may use outdated load figures; a wrong choice costs it one refusal. Before each
call to a backend server the agent checks that it holds its lease, that nothing
on the path is drained, and that the admission grants a slot; see package
admission. It runs an attempt at most once and records refusals; see package
attempt.

# Outcome

A refusal reports ran "no" and is final. Once a byte may have reached a backend
server, an incomplete answer reports ran "unknown" and nothing is sent again,
except that a stream of an engine that resumes is continued where it stopped. A
call that may not be repeated continues without its caller until its outcome is
known. The outcome of a request with a key is recorded in the ledger before the
answer ends.

# Slow readers

At most one buffer of events is held for a stream. When it is full, the stream
is cancelled at the engine and resumed when the reader has caught up. If the
engine cannot resume, the agent stops reading from it.

# Use

	role, err := runner.New(ctx, settings, log)
	err = role.Run() // returns after ctx has ended and nothing is in flight
*/
package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/internal/transport/intake"
	"oleanderrack.example/oleanderrack/internal/transport/metrics"
	"oleanderrack.example/oleanderrack/internal/transport/server"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Session is the agent's lease and running configuration; see package
// membership.
type Session interface {
	// View returns the lease and the configuration at the same moment.
	View() membership.View
	// RenewSoon requests an early renewal, after a change in the report.
	RenewSoon()
}

// connectFunc connects to control. It returns a session that renews with the
// given report, and the ledger.
type connectFunc func(ctx context.Context, cfg membership.Config) (Session, Completer)

// sendBufferBytes is the size of the kernel's send buffer for a connection,
// which a slow reader occupies in addition to the agent's own buffer. The
// kernel doubles it for its own overhead.
const sendBufferBytes = 32 << 10

// tickInterval is the interval at which the timeouts of the backend servers are
// checked.
const tickInterval = 50 * time.Millisecond

// Role is an agent.
type Role struct {
	ctx          context.Context
	settings     Settings
	node         *peer.Node
	log          hclog.Logger
	scope        tally.Scope
	closer       func()
	server       *server.Server
	session      Session
	ledger       Completer
	client       *engine.Client
	attempts     *attempts
	backends     *backends
	orders       *orders
	bufferBudget *byteBudget
	inFlight     *inFlight
	now          func() time.Time
	// serveCtx ends when the drain is complete, ctx when the drain begins.
	serveCtx context.Context
	stop     context.CancelFunc
	// connected is closed when session and ledger are set.
	connected chan struct{}
}

// listenerShare is the listener's part of the host. Entries keep a
// connection for each request that they have sent.
var listenerShare = intake.Share{Headers: 0.05, Connections: 0.2, Descriptors: 0.45}

// controlHeaderTimeout bounds the wait for the header of a response from
// control.
const controlHeaderTimeout = 5 * time.Second

// New returns an agent that runs until ctx ends. It fails if the settings are
// invalid or the listen address is in use.
func New(ctx context.Context, s Settings, log hclog.Logger) (*Role, error) {
	token, err := auth.Load(s.TokenFile)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: auth.Client{Token: token, Base: http1.NewTransport(&http.Transport{
		ResponseHeaderTimeout: controlHeaderTimeout,
		IdleConnTimeout:       time.Minute,
		MaxIdleConnsPerHost:   4,
	})}}
	api := controlapi.New(s.Control, client)
	connect := func(ctx context.Context, cfg membership.Config) (Session, Completer) {
		cfg.Control = api
		return membership.New(ctx, cfg), api
	}
	return newRole(ctx, s, token, connect, log)
}

// newRole returns an agent that uses the given connection to control. token is
// the system token.
func newRole(ctx context.Context, s Settings, token auth.Token, connect connectFunc, log hclog.Logger) (*Role, error) {
	scope, reporter, closer := metrics.New("runner")
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	r := &Role{
		ctx: ctx, settings: s, log: log, scope: scope, closer: func() { closer.Close() },
		client: engine.New(), bufferBudget: &byteBudget{limit: int64(s.BufferBytesTotal)}, inFlight: newInFlight(),
		now: time.Now, serveCtx: serveCtx, stop: stop,
	}
	r.backends = newBackends(r.now)
	srv, err := server.New(server.Config{
		Listen: s.Listen, Name: "runner", Budget: intake.Host{MemoryMB: s.MemoryMB, FileDescriptors: s.FileDescriptors}.Budget(listenerShare), Scope: scope,
		Metrics: reporter, Log: log.Named("server"), Ready: r.ready, WriteBuffer: sendBufferBytes,
	})
	if err != nil {
		stop()
		return nil, err
	}
	r.server = srv
	r.node = &peer.Node{
		Id: s.Host, Incarnation: rand.Uint64() | 1, Role: peer.Role_ROLE_RUNNER,
		Address: s.Advertise, FailureDomain: s.FailureDomain, Region: s.Region,
	}
	if r.node.Address == "" {
		r.node.Address = srv.Address()
	}
	r.attempts = newAttempts(r.node.Incarnation, r.now)
	r.orders = &orders{
		client: r.client, log: log.Named("orders"), scope: scope,
		renewSoon: func() { r.session.RenewSoon() },
	}
	r.addRoutes(token)
	r.connected = make(chan struct{})
	r.session, r.ledger = connect(serveCtx, membership.Config{
		Node: r.node, Report: r.report, OnRenew: r.applyRenewal, Now: r.now, Log: log.Named("membership"), Scope: scope,
	})
	close(r.connected)
	return r, nil
}

func (r *Role) addRoutes(token auth.Token) {
	requireToken := echo.WrapMiddleware(func(next http.Handler) http.Handler { return auth.Require(next, token) })
	r.server.Echo.POST("/announce", r.announce)
	r.server.Echo.POST(dispatchPath, r.dispatch, requireToken)
	twirp := peer.NewAgentServer(&agentAPI{role: r})
	r.server.Echo.POST(twirp.PathPrefix()+"*", echo.WrapHandler(twirp), requireToken)
}

// Address returns the host:port that the agent listens on.
func (r *Role) Address() string { return r.server.Address() }

// Incarnation returns the incarnation of this start.
func (r *Role) Incarnation() uint64 { return r.node.Incarnation }

// Run serves until the context given to New has ended and nothing is in
// flight.
func (r *Role) Run() error {
	var g run.Group
	g.Add(func() error { return r.server.Run(r.serveCtx) }, func(error) { r.stop() })
	g.Add(func() error { r.tick(); return nil }, func(error) { r.stop() })
	g.Add(func() error { return r.drain() }, func(error) { r.stop() })
	err := g.Run()
	r.closer()
	return err
}

// drainSettle is how long a draining agent still answers with refusals. In this
// time control reports to the entries that the agent is leaving. Without it, a
// dispatch on a kept-alive connection is lost when the connection closes, and
// its outcome is unknown.
const drainSettle = time.Second

// drain waits for the end of ctx, for drainSettle, and then until nothing is in
// flight. Meanwhile new work is refused, and the agent reports to control that
// the backend servers are leaving.
func (r *Role) drain() error {
	select {
	case <-r.ctx.Done():
	case <-r.serveCtx.Done():
		return nil
	}
	r.log.Info("draining")
	empty := r.inFlight.close()
	r.session.RenewSoon()
	timer := time.NewTimer(drainSettle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.serveCtx.Done():
	}
	select {
	case <-empty:
	case <-r.serveCtx.Done():
	}
	r.log.Info("drained")
	return nil
}

// tick checks the timeouts of the backend servers, and renews early when an
// announcement has expired.
func (r *Role) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.backends.tick() {
				r.session.RenewSoon()
			}
		case <-r.serveCtx.Done():
			return
		}
	}
}

func (r *Role) ready() error {
	if r.inFlight.isClosed() {
		return fault.New(fault.Draining, "agent is shutting down")
	}
	return r.session.View().LeaseErr
}

// report adds the backend servers to a renewal.
func (r *Role) report(req *peer.RenewRequest) {
	req.Window = r.attempts.window()
	leaving := r.inFlight.isClosed()
	for _, b := range r.backends.all() {
		if row, ok := b.report(req.Window, leaving); ok {
			req.BackendServers = append(req.BackendServers, row)
		}
		if ack, ok := b.groupAck(); ok {
			req.GroupAcks = append(req.GroupAcks, ack)
		}
	}
}

// applyRenewal applies the fencing numbers and orders of a renewal.
func (r *Role) applyRenewal(resp *peer.RenewResponse) {
	<-r.connected
	in := r.session.View().Intent
	for _, b := range r.backends.all() {
		r.orders.applyRenewal(b, resp)
		r.orders.orderLoad(b, in, resp.Fencing, r.now())
	}
}

func (r *Role) countRefusal(kind fault.Kind) {
	r.scope.Tagged(map[string]string{"reason": kind.String()}).Counter("refusals").Inc(1)
}

// noteBroken logs and counts an answer of a backend server that breaks the protocol.
func (r *Role) noteBroken(err error, requestID, backendServer string) {
	if broken, ok := http1.Broken(err); ok {
		r.scope.Tagged(map[string]string{"reason": broken.Part.String()}).Counter("broken_answers").Inc(1)
		r.log.Info("answer breaks the protocol", "request", requestID, "backend_server", backendServer, "part", broken.Part.String(), "error", broken.Reason)
	}
}

func (r *Role) countResult(err error) {
	if err == nil {
		r.scope.Counter("answers").Inc(1)
		return
	}
	r.scope.Tagged(map[string]string{"reason": fault.From(err).Kind.String()}).Counter("failures").Inc(1)
}
