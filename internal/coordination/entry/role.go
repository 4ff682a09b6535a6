/*
Package entry implements the role that serves callers: it accepts requests,
shares the backend servers among the client accounts, chooses a backend server
for each request, and forwards the answer.

# Concept

An entry holds no durable state. It receives the configuration through a
membership session and the backend servers through a Watch of each region's
control, and it serves nothing without a lease. A choice based on outdated load
costs a refusal at most, because the agent beside the backend servers decides.

Each request is driven by a [dispatch.Plan]: this package performs the effects
of the plan, one after the other, in the goroutine of the request. A second
goroutine reads the agent's answer into a bounded buffer while the first one
writes to the caller.

# Use

	role, err := entry.New(ctx, settings, log)
	...
	err = role.Run() // returns when ctx has ended and all requests are answered
*/
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/protocol/caller"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/intake"
	"oleanderrack.example/oleanderrack/internal/transport/metrics"
	"oleanderrack.example/oleanderrack/internal/transport/server"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Session is the part of a membership session that an entry uses.
type Session interface {
	CheckLease() error
	Revision() uint64
	Intent() intent.Intent
}

// Connect returns the control API of a region and a session with it. New uses
// it to reach other processes; tests replace it.
type Connect func(ctx context.Context, region string, addresses []string, node *peer.Node, scope tally.Scope) (peer.Control, Session)

// Role is an entry process.
type Role struct {
	settings     Settings
	node         *peer.Node
	server       *server.Server
	log          hclog.Logger
	scope        tally.Scope
	closer       io.Closer
	regions      map[string]*region
	agents       *agentClient
	bufferBudget *byteBudget

	ctx  context.Context
	stop context.CancelFunc

	directory directoryCache

	// mu guards view and scheduler.
	mu        sync.Mutex
	view      *routing.View
	scheduler *scheduler
}

// maxBufferedBodyBytes bounds the request bodies that an entry holds. 810
// requests per second of about 10 KB over the longest wait of 2 s take a
// quarter of it.
const maxBufferedBodyBytes = 64 << 20

// listenerShare is the listener's part of the host. Of 512 MB, which
// is assumed if the settings give none, it allows 4,369 connections, more than the
// requests in flight and waiting by default.
var listenerShare = intake.Share{Headers: 0.05, Connections: 0.2, Descriptors: 0.45}

// dependencies holds what a Role needs besides its settings.
type dependencies struct {
	connect   Connect
	transport http.RoundTripper
	now       func() time.Time
}

func newRole(ctx context.Context, s Settings, log hclog.Logger, d dependencies) (*Role, error) {
	scope, reporter, closer := metrics.New("entry")
	r := &Role{
		settings:     s,
		log:          log,
		scope:        scope,
		closer:       closer,
		regions:      map[string]*region{},
		agents:       newAgentClient(d.transport),
		bufferBudget: newByteBudget(s.BufferBytesTotal),
		ctx:          ctx,
		scheduler:    newScheduler(s),
		view: routing.New(routing.Config{
			Region: s.Region, FailureDomain: s.FailureDomain,
			Random: mathrand.New(mathrand.NewPCG(randomUint64(), randomUint64())),
		}),
	}
	var err error
	r.server, err = server.New(server.Config{
		Listen: s.Listen, Name: "entry", Budget: intake.Host{MemoryMB: s.MemoryMB, FileDescriptors: s.FileDescriptors}.Budget(listenerShare), Scope: scope,
		Metrics: reporter, Log: log.Named("server"), Ready: r.ready, Settle: s.DrainSettle.Duration,
	})
	if err != nil {
		return nil, err
	}
	address := s.Advertise
	if address == "" {
		address = r.server.Address()
	}
	r.node = &peer.Node{
		Id: s.Host, Incarnation: randomUint64(), Role: peer.Role_ROLE_ENTRY,
		Address: address, FailureDomain: s.FailureDomain, Region: s.Region,
	}
	api := caller.New(caller.Config{Directory: r.currentDirectory, Handle: r.serve, Limit: r.acquireAccount, MaxBufferedBodyBytes: maxBufferedBodyBytes, Now: d.now, Log: log.Named("caller"), Scope: scope})
	api.Register(r.server.Echo)
	// Sessions outlive ctx, because requests in flight need them during the
	// drain.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stop = stop
	r.connect(background, d.connect)
	return r, nil
}

// connect starts a session and a Watch for each region.
func (r *Role) connect(ctx context.Context, connect Connect) {
	addresses := map[string][]string{r.settings.Region: r.settings.Control}
	for name, list := range r.settings.ControlRegions {
		addresses[name] = list
	}
	for name, list := range addresses {
		control, session := connect(ctx, name, list, r.node, r.scope)
		reg := &region{name: name, control: control, session: session}
		r.regions[name] = reg
	}
	for _, reg := range r.regions {
		go r.watch(ctx, reg)
	}
	go r.grantPeriodically(ctx)
}

// Address returns the host:port that the entry listens on.
func (r *Role) Address() string { return r.server.Address() }

// Run serves until the context of New ends, and returns when all requests in
// flight are answered.
func (r *Role) Run() error {
	r.log.Info("serving", "address", r.Address(), "region", r.settings.Region)
	err := r.server.Run(r.ctx)
	r.stop()
	r.closer.Close()
	return err
}

// ready returns why the platform's load balancer should not route callers here,
// or nil. A lease is granted before there is a configuration, but without
// client accounts every caller would be refused as unauthenticated.
func (r *Role) ready() error {
	session := r.localRegion().session
	if err := session.CheckLease(); err != nil {
		return err
	}
	if session.Revision() == 0 {
		return errNoConfiguration()
	}
	return nil
}

func errNoConfiguration() *fault.Error {
	return fault.New(fault.Unavailable, "there is no configuration yet")
}

func (r *Role) localRegion() *region { return r.regions[r.settings.Region] }

// count increments a counter with a reason as its tag.
func (r *Role) count(name, reason string) {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}

func randomUint64() uint64 {
	var raw [8]byte
	rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:])
}
