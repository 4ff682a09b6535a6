package control

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/internal/transport/server"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times and limits of the role.
const (
	// roundTimeout bounds one quorum round.
	roundTimeout = time.Second
	// proposeTimeout bounds a proposal. It is longer than callers wait, so that
	// the first copy is still being proposed when they send it again.
	proposeTimeout = 5 * time.Second
	// refreshInterval is how often leases are checked while no calls arrive.
	refreshInterval = 250 * time.Millisecond
	// maxControlBytes bounds a request to the control API, whose largest content
	// is an answer, and maxLargeBytes one that carries an intent or log entries.
	// An answer that is too large to store is reduced to its status only after it
	// was read.
	maxControlBytes = 20 << 20
	maxLargeBytes   = 64 << 20
)

// GroupCoordinator holds the functions of the expert map coordinator. Each may
// be nil.
type GroupCoordinator struct {
	// ObserveRenewal is called with each renewal of an agent before leadership
	// is confirmed, and returns the term of the coordinator that processed it.
	ObserveRenewal func(*peer.RenewRequest) (term uint64)
	// Orders returns the orders for the ranks that a renewal reports. It is
	// called only if a quorum has confirmed the leader in the same term, in a
	// round that began after ObserveRenewal.
	Orders func(term uint64, req *peer.RenewRequest) []*peer.GroupOrder
	// Propose starts a change of a group's map.
	Propose func(context.Context, *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error)
}

// HandlerConfig is what a Handler needs.
type HandlerConfig struct {
	Region   string
	Log      Log
	Registry *registry.Registry
	// NewGroupCoordinator creates the coordinator, which proposes decisions
	// with Handler.Decide; nil if there is none.
	NewGroupCoordinator func(context.Context, *Handler) GroupCoordinator
	LeaseTiming         lease.Timing
	// Address is where other processes reach this replica.
	Address string
	Now     func() time.Time
	Logger  hclog.Logger
	Scope   tally.Scope
}

// Handler serves the requests of nodes, operators and other replicas. It
// implements peer.Control, peer.Operator and peer.Replication. Use NewHandler.
type Handler struct {
	region      string
	log         Log
	registry    *registry.Registry
	groups      GroupCoordinator
	leaseTiming lease.Timing
	address     string
	now         func() time.Time
	logger      hclog.Logger
	scope       tally.Scope
	confirmer   *confirmer
	draining    <-chan struct{}

	mu     sync.Mutex
	leader *leaderState // nil unless this replica was the leader at the last check
}

var (
	_ peer.Control     = (*Handler)(nil)
	_ peer.Operator    = (*Handler)(nil)
	_ peer.Replication = (*Handler)(nil)
)

// NewHandler returns a Handler that works until ctx ends. Watch calls that wait
// end as soon as draining is closed.
func NewHandler(ctx context.Context, cfg HandlerConfig, draining <-chan struct{}) *Handler {
	h := &Handler{
		region: cfg.Region, log: cfg.Log, registry: cfg.Registry, leaseTiming: cfg.LeaseTiming,
		address: cfg.Address, now: cfg.Now, logger: cfg.Logger, scope: cfg.Scope, draining: draining,
		confirmer: newConfirmer(ctx, cfg.Log.ConfirmLeadership),
	}
	if cfg.NewGroupCoordinator != nil {
		h.groups = cfg.NewGroupCoordinator(ctx, h)
	}
	go h.refreshLoop(ctx)
	return h
}

// refreshLoop expires leases while no calls arrive, and updates the gauges.
func (h *Handler) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		l, err := h.currentLeaderState()
		nodes := 0
		if err == nil {
			nodes = len(l.nodes)
		}
		h.mu.Unlock()
		h.scope.Gauge("nodes").Update(float64(nodes))
		stats := h.registry.Stats()
		h.scope.Gauge("ledger_keys").Update(float64(stats.LedgerKeys))
		h.scope.Gauge("ledger_unresolved").Update(float64(stats.LedgerUnresolved))
		h.scope.Gauge("ledger_answer_bytes").Update(float64(stats.LedgerAnswerBytes))
	}
}

// Deliver accepts raft messages of another replica.
func (h *Handler) Deliver(ctx context.Context, req *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	res, err := h.log.Deliver(ctx, req)
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		err = peer.FromTwirp(err)
	}
	if err != nil {
		return nil, h.refuse("deliver", err)
	}
	return res, nil
}

// Decide proposes the outcome of an expert map change and returns the record in
// effect, and whether this decision won. A repeated decision wins again.
func (h *Handler) Decide(ctx context.Context, d *registry.GroupDecision) (*registry.GroupRecord, bool, error) {
	result, err := h.propose(ctx, registry.GroupCommand(h.now(), d))
	if err != nil {
		return nil, false, err
	}
	return registry.DecodeGroupResult(result)
}

// GroupRecords returns the records of all groups, for a leader's coordinator,
// and the term in which a quorum confirmed the leader.
func (h *Handler) GroupRecords(ctx context.Context) (uint64, []*registry.GroupRecord, error) {
	term, err := h.confirmer.wait(ctx)
	if err != nil {
		return 0, nil, err
	}
	return term, h.registry.Groups(), nil
}

// Ready returns an error if the replica cannot answer because it knows of no
// leader.
func (h *Handler) Ready() error {
	if h.log.Status().Leader == 0 {
		return fault.New(fault.NoQuorum, "no leader is known")
	}
	return nil
}

// Routes registers the RPC services on a server. Operators have a token of their
// own, so that the processes of the system cannot act as operators.
func (h *Handler) Routes(s *server.Server, system, operator auth.Token) {
	add := func(service interface {
		http.Handler
		PathPrefix() string
	}, limit int64, token auth.Token) {
		limited := http.MaxBytesHandler(service, limit)
		s.Echo.POST(strings.TrimSuffix(service.PathPrefix(), "/")+"/*", echo.WrapHandler(auth.Require(limited, token)))
	}
	add(peer.NewControlServer(h), maxControlBytes, system)
	add(peer.NewReplicationServer(h), maxLargeBytes, system)
	add(peer.NewOperatorServer(h), maxLargeBytes, operator)
}

// refuse counts a refused call and returns its error in Twirp form. Internal
// errors are also logged.
func (h *Handler) refuse(call string, err error) error {
	f := fault.From(err)
	h.scope.Tagged(map[string]string{"call": call, "reason": f.Kind.String()}).Counter("refusals").Inc(1)
	if f.Kind == fault.Internal {
		h.logger.Error("call failed", "call", call, "error", err)
	}
	return peer.ToTwirp(f)
}
