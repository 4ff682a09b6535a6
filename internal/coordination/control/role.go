/*
Package control implements a control replica: it serves the control API to
entries and agents, the operator API, and replication to other replicas.

# Concept

Durable state goes through the replicated log into the registry: intents,
idempotency keys, fencing numbers and expert map decisions. State that changes
all the time is held in the leader's memory for one term: leases and announced
backend servers. A new leader starts without it, and reports no revision as in
force until all leases of earlier leaders have expired.

Calls that only the current leader may answer wait for a quorum to confirm it;
all waiting calls share one round.

# Use

	role, err := control.New(ctx, settings, log)
	...
	err = role.Run() // until ctx has ended and the drain is complete

[NewHandler] serves the same requests on any [Log], without a server.
*/
package control

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/internal/transport/client"
	"oleanderrack.example/oleanderrack/internal/transport/intake"
	"oleanderrack.example/oleanderrack/internal/transport/metrics"
	"oleanderrack.example/oleanderrack/internal/transport/server"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Role is a control replica with its log and server. Use New.
type Role struct {
	ctx     context.Context
	handler *Handler
	log     *replica.Replica
	server  *server.Server
	logger  hclog.Logger
	closers []io.Closer
	// stopLog stops the log after the server has drained.
	stopLog func()
}

// New opens the data folder and the listener. The role serves once Run is
// called, and drains when ctx ends.
func New(ctx context.Context, s Settings, logger hclog.Logger) (*Role, error) {
	if problems := s.Check(); len(problems) > 0 {
		return nil, fault.New(fault.BadSettings, "control: %s", problems)
	}
	system, err := auth.Load(s.TokenFile)
	if err != nil {
		return nil, err
	}
	operator, err := auth.Load(s.OperatorTokenFile)
	if err != nil {
		return nil, err
	}
	scope, reporter, closer := metrics.New("control")
	r := &Role{ctx: ctx, logger: logger, closers: []io.Closer{closer}}
	r.server, err = server.New(server.Config{
		Listen: s.Listen, Name: "control", Budget: intake.Host{MemoryMB: s.MemoryMB, FileDescriptors: s.FileDescriptors}.Budget(listenerShare), Scope: scope,
		Metrics: reporter, Log: logger, Ready: r.ready,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, r.close())
	}
	// The log runs on after ctx has ended, since it must serve until the server
	// has drained. Run calls stopLog.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	r.stopLog = stopLog
	machine := registry.New()
	if err := r.openLog(logCtx, s, machine, system, scope); err != nil {
		stopLog()
		return nil, errors.CombineErrors(err, r.close())
	}
	r.handler = NewHandler(logCtx, HandlerConfig{
		Region: s.Region, Log: r.log, Registry: machine, LeaseTiming: lease.DefaultTiming(), Address: r.advertisedAddress(s),
		Now: time.Now, Logger: logger, Scope: scope, NewGroupCoordinator: ExpertMapCoordinator(expertmap.DefaultConfig()),
	}, ctx.Done())
	r.handler.Routes(r.server, system, operator)
	return r, nil
}

func (r *Role) openLog(ctx context.Context, s Settings, machine *registry.Registry, system auth.Token, scope tally.Scope) error {
	httpClient := &http.Client{Transport: auth.Client{Token: system, Base: client.NewTransport()}}
	transport := replica.NewTransport(s.Region, s.ID, httpClient, scope)
	r.closers = append(r.closers, transport)
	var err error
	r.log, err = replica.New(ctx, replica.Config{
		Cluster: s.Region, ID: s.ID, Folder: s.DataFolder, Bootstrap: s.Members(), StateMachine: machine,
		Transport: transport, Log: r.logger.Named("replica"), Scope: scope,
	})
	return err
}

// Address returns the host:port that the process listens on.
func (r *Role) Address() string { return r.server.Address() }

// Run serves until ctx ends, transfers leadership, drains the server and stops
// the log. It also returns when the log has stopped by itself, for example after
// a disk error.
func (r *Role) Run() error {
	defer func() {
		r.stopLog()
		<-r.log.Done()
		r.close()
	}()
	serverCtx, stop := context.WithCancel(context.WithoutCancel(r.ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.server.Run(serverCtx) }()
	select {
	case err := <-ended:
		return err
	case <-r.log.Done():
		stop()
		return errors.CombineErrors(errors.Wrap(r.log.Err(), "control: log stopped"), <-ended)
	case <-r.ctx.Done():
	}
	r.transferLeadership()
	stop()
	err := <-ended
	r.stopLog()
	<-r.log.Done()
	return errors.CombineErrors(err, r.log.Err())
}

// transferLeadership makes another replica the leader, so that nodes do not have
// to wait for one.
func (r *Role) transferLeadership() {
	if !r.log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), transferTimeout)
	defer cancel()
	if err := r.log.TransferLeadership(ctx); err != nil {
		r.logger.Warn("leadership was not handed over", "error", err)
	}
}

// close closes the metrics and the transport.
func (r *Role) close() error {
	var err error
	for _, c := range r.closers {
		err = errors.CombineErrors(err, c.Close())
	}
	return err
}

func (r *Role) ready() error {
	if r.handler == nil {
		return fault.New(fault.Unavailable, "starting")
	}
	return r.handler.Ready()
}

func (r *Role) advertisedAddress(s Settings) string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return r.server.Address()
}

// listenerShare is the listener's part of the host. Entries and agents
// keep up to 64 connections each.
var listenerShare = intake.Share{Headers: 0.05, Connections: 0.2, Descriptors: 0.6}

// transferTimeout bounds the leadership transfer at shutdown.
const transferTimeout = 3 * time.Second
