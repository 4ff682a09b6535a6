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
	// their resends meet the first copy.
	proposeTimeout = 5 * time.Second
	// refreshInterval is how often leases are looked at while nobody calls.
	refreshInterval = 250 * time.Millisecond
	// maxControlBytes bounds a call to the control API, which carries an answer
	// at most, and maxLargeBytes one that carries an intent or log entries. An
	// answer that is too large to keep is cut off only after it was read.
	maxControlBytes = 20 << 20
	maxLargeBytes   = 64 << 20
)

// Groups connects the coordinator of expert maps. All functions may be nil.
type Groups struct {
	// Reported gets each renewal of an agent before leadership is confirmed,
	// and returns the term of the coordinator that took it.
	Reported func(*peer.RenewRequest) (term uint64)
	// Orders returns the orders for the ranks that a renewal reports. It is
	// called only if a quorum has confirmed the leader in the same term, in a
	// round that began after Reported.
	Orders func(term uint64, req *peer.RenewRequest) []*peer.GroupOrder
	// Propose begins a change of a group's map.
	Propose func(context.Context, *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error)
}

// Parts are what Calls are made of.
type Parts struct {
	Region   string
	Log      Log
	Registry *registry.Registry
	// Groups makes the coordinator, which decides through Calls.Decide; nil if
	// there is none.
	Groups func(context.Context, *Calls) Groups
	Terms  lease.Timing
	// Address is where other processes reach this replica.
	Address string
	Now     func() time.Time
	Logger  hclog.Logger
	Scope   tally.Scope
}

// Calls answers what nodes, operators and other replicas ask. It implements
// peer.Control, peer.Operator and peer.Replication. Use NewCalls.
type Calls struct {
	region   string
	log      Log
	registry *registry.Registry
	groups   Groups
	terms    lease.Timing
	address  string
	now      func() time.Time
	logger   hclog.Logger
	scope    tally.Scope
	confirms *confirmer
	draining <-chan struct{}

	mu      sync.Mutex
	leading *leadership // nil unless this replica led when it last looked
}

var (
	_ peer.Control     = (*Calls)(nil)
	_ peer.Operator    = (*Calls)(nil)
	_ peer.Replication = (*Calls)(nil)
)

// NewCalls returns Calls that work until ctx ends. Calls that wait end as soon
// as draining is closed.
func NewCalls(ctx context.Context, p Parts, draining <-chan struct{}) *Calls {
	c := &Calls{
		region: p.Region, log: p.Log, registry: p.Registry, terms: p.Terms,
		address: p.Address, now: p.Now, logger: p.Logger, scope: p.Scope, draining: draining,
		confirms: newConfirmer(ctx, p.Log.ConfirmLeadership),
	}
	if p.Groups != nil {
		c.groups = p.Groups(ctx, c)
	}
	go c.refresh(ctx)
	return c
}

// refresh lets leases run out while nobody calls.
func (c *Calls) refresh(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		l, err := c.lead()
		nodes := 0
		if err == nil {
			nodes = len(l.nodes)
		}
		c.mu.Unlock()
		c.scope.Gauge("nodes").Update(float64(nodes))
		stats := c.registry.Stats()
		c.scope.Gauge("ledger_keys").Update(float64(stats.LedgerKeys))
		c.scope.Gauge("ledger_unresolved").Update(float64(stats.LedgerUnresolved))
		c.scope.Gauge("ledger_answer_bytes").Update(float64(stats.LedgerAnswerBytes))
	}
}

// Deliver takes raft messages of another replica.
func (c *Calls) Deliver(ctx context.Context, req *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	res, err := c.log.Deliver(ctx, req)
	var sent twirp.Error
	if errors.As(err, &sent) {
		err = peer.FromTwirp(err)
	}
	if err != nil {
		return nil, c.refuse("deliver", err)
	}
	return res, nil
}

// Decide proposes the end of an expert map change and returns the record that
// stands, and whether the decision won. A repeated decision wins again.
func (c *Calls) Decide(ctx context.Context, d *registry.GroupDecision) (*registry.GroupRecord, bool, error) {
	result, err := c.propose(ctx, registry.GroupCommand(c.now(), d))
	if err != nil {
		return nil, false, err
	}
	return registry.GroupAnswer(result)
}

// GroupRecords returns what is decided on all groups, for a leader's
// coordinator, together with the term in which a quorum confirmed the leader.
func (c *Calls) GroupRecords(ctx context.Context) (uint64, []*registry.GroupRecord, error) {
	term, err := c.confirms.wait(ctx)
	if err != nil {
		return 0, nil, err
	}
	return term, c.registry.Groups(), nil
}

// Ready says why the replica cannot answer: it knows no leader.
func (c *Calls) Ready() error {
	if c.log.Status().Leader == 0 {
		return fault.New(fault.NoQuorum, "no leader is known")
	}
	return nil
}

// Routes adds the role's services to a server. Operators have a token of their
// own; the processes of the system cannot act as operators.
func (c *Calls) Routes(s *server.Server, system, operator auth.Token) {
	add := func(h interface {
		http.Handler
		PathPrefix() string
	}, limit int64, token auth.Token) {
		limited := http.MaxBytesHandler(h, limit)
		s.Echo.POST(strings.TrimSuffix(h.PathPrefix(), "/")+"/*", echo.WrapHandler(auth.Require(limited, token)))
	}
	add(peer.NewControlServer(c), maxControlBytes, system)
	add(peer.NewReplicationServer(c), maxLargeBytes, system)
	add(peer.NewOperatorServer(c), maxLargeBytes, operator)
}

// refuse counts a refusal and gives it the form in which it travels.
func (c *Calls) refuse(call string, err error) error {
	f := fault.From(err)
	c.scope.Tagged(map[string]string{"call": call, "reason": f.Kind.String()}).Counter("refusals").Inc(1)
	if f.Kind == fault.Internal {
		c.logger.Error("call failed", "call", call, "error", err)
	}
	return peer.ToTwirp(f)
}
