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

A log whose disk fails, as when it is full, is closed with its server. The role opens
both again until that succeeds, and the others serve meanwhile.

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

// reopenInterval is the time between attempts to open a log that has failed. A disk
// stays full or stalled for seconds.
const reopenInterval = 500 * time.Millisecond

// errLog marks errors of the log, as of a disk that is full.
var errLog = errors.New("control: the log has failed")

// Role is a control replica. Use New.
type Role struct {
	ctx              context.Context
	settings         Settings
	system, operator auth.Token
	logger           hclog.Logger
	scope            tally.Scope
	reporter         *metrics.Reporter
	closeMetrics     io.Closer
	// instance is the first one; Run replaces it when its log fails.
	instance *instance
}

// instance is a log with the server that answers from it, from the opening of the data
// folder to the end of the log.
type instance struct {
	ctx       context.Context
	handler   *Handler
	log       *replica.Replica
	server    *server.Server
	transport io.Closer
	logger    hclog.Logger
	// stopLog stops the log after the server has drained, and drain ends calls that
	// wait for changes.
	stopLog, drain func()
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
	r := &Role{
		ctx: ctx, settings: s, system: system, operator: operator, logger: logger,
		scope: scope, reporter: reporter, closeMetrics: closer,
	}
	if r.instance, err = r.open(); err != nil {
		return nil, errors.CombineErrors(err, closer.Close())
	}
	// A log that is opened again is served at the same address.
	r.settings.Listen = r.instance.server.Address()
	return r, nil
}

// open opens the listener and the data folder. An error of the folder is marked with
// errLog.
func (r *Role) open() (*instance, error) {
	in := &instance{ctx: r.ctx, logger: r.logger}
	var err error
	in.server, err = server.New(server.Config{
		Listen: r.settings.Listen, Name: "control", Budget: intake.Host{MemoryMB: r.settings.MemoryMB, FileDescriptors: r.settings.FileDescriptors}.Budget(listenerShare),
		Scope: r.scope, Metrics: r.reporter, Log: r.logger, Ready: in.ready,
	})
	if err != nil {
		return nil, err
	}
	// The log runs on after ctx has ended, since it must serve until the server
	// has drained.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(r.ctx))
	drainCtx, drain := context.WithCancel(r.ctx)
	in.stopLog, in.drain = stopLog, drain
	machine := registry.New()
	if err := in.openLog(logCtx, r, machine); err != nil {
		stopLog()
		drain()
		return nil, errors.Mark(errors.CombineErrors(err, errors.CombineErrors(in.transport.Close(), in.server.Close())), errLog)
	}
	in.handler = NewHandler(logCtx, HandlerConfig{
		Region: r.settings.Region, Log: in.log, Registry: machine, LeaseTiming: lease.DefaultTiming(), Address: in.advertisedAddress(r.settings),
		Now: time.Now, Logger: r.logger, Scope: r.scope, NewGroupCoordinator: ExpertMapCoordinator(expertmap.DefaultConfig()),
	}, drainCtx.Done())
	in.handler.Routes(in.server, r.system, r.operator)
	return in, nil
}

func (in *instance) openLog(ctx context.Context, r *Role, machine *registry.Registry) error {
	s := r.settings
	httpClient := &http.Client{Transport: auth.Client{Token: r.system, Base: client.NewTransport()}}
	transport := replica.NewTransport(s.Region, s.ID, httpClient, r.scope)
	in.transport = transport
	var err error
	in.log, err = replica.New(ctx, replica.Config{
		Cluster: s.Region, ID: s.ID, Folder: s.DataFolder, Bootstrap: s.Members(), StateMachine: machine,
		Transport: transport, Log: r.logger.Named("replica"), Scope: r.scope,
	})
	return err
}

// Address returns the host:port that the process listens on.
func (r *Role) Address() string { return r.settings.Listen }

// Run serves until ctx ends, transfers leadership, drains the server and stops the log.
// When the log fails, as on a full disk, it is opened again until that succeeds. Run
// returns the error if its data is damaged or belongs to another replica, or if the
// server fails.
func (r *Role) Run() error {
	defer r.closeMetrics.Close()
	for {
		err := r.instance.run()
		if r.ctx.Err() != nil || !canReopen(err) {
			return err
		}
		if err := r.reopen(err); err != nil || r.ctx.Err() != nil {
			return err
		}
	}
}

// canReopen reports whether a log that failed with err may be sound once it is opened
// again.
func canReopen(err error) bool {
	if !errors.Is(err, errLog) {
		return false
	}
	kind := fault.From(err).Kind
	return kind != fault.CorruptData && kind != fault.ForeignData
}

// reopen opens the log, after it has failed with err, until that succeeds or the
// context of the role ends.
func (r *Role) reopen(err error) error {
	for {
		r.logger.Error("log is closed", "error", err)
		select {
		case <-r.ctx.Done():
			return nil
		case <-time.After(reopenInterval):
		}
		var in *instance
		if in, err = r.open(); err == nil {
			r.instance = in
			r.logger.Info("log is open again")
			return nil
		}
		if !canReopen(err) {
			return err
		}
	}
}

// run serves until ctx ends or the log has stopped by itself, whose error is marked with
// errLog.
func (in *instance) run() error {
	defer func() {
		in.drain()
		in.stopLog()
		<-in.log.Done()
		if err := in.transport.Close(); err != nil {
			in.logger.Warn("cannot close the transport", "error", err)
		}
	}()
	serverCtx, stop := context.WithCancel(context.WithoutCancel(in.ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- in.server.Run(serverCtx) }()
	select {
	case err := <-ended:
		return err
	case <-in.log.Done():
		in.drain()
		stop()
		return errors.Mark(errors.CombineErrors(errors.Wrap(in.log.Err(), "control: log stopped"), <-ended), errLog)
	case <-in.ctx.Done():
	}
	in.transferLeadership()
	stop()
	err := <-ended
	in.stopLog()
	<-in.log.Done()
	return errors.CombineErrors(err, in.log.Err())
}

// transferLeadership makes another replica the leader, so that nodes do not have
// to wait for one.
func (in *instance) transferLeadership() {
	if !in.log.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(in.ctx), transferTimeout)
	defer cancel()
	if err := in.log.TransferLeadership(ctx); err != nil {
		in.logger.Warn("leadership was not handed over", "error", err)
	}
}

func (in *instance) ready() error {
	if in.handler == nil {
		return fault.New(fault.Unavailable, "starting")
	}
	return in.handler.Ready()
}

func (in *instance) advertisedAddress(s Settings) string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return in.server.Address()
}

// listenerShare is the listener's part of the host. Entries and agents
// keep up to 64 connections each.
var listenerShare = intake.Share{Headers: 0.05, Connections: 0.2, Descriptors: 0.6}

// transferTimeout bounds the leadership transfer at shutdown.
const transferTimeout = 3 * time.Second
