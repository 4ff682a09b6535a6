package runner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

const (
	// maxOrders bounds the orders queued for one backend server. Control
	// repeats an order until it is acknowledged, so one that does not fit into
	// the queue is received again.
	maxOrders = 4
	// loadRetryInterval is the time between two orders to load.
	loadRetryInterval = 10 * time.Second
)

// engineOrder is an order for a backend server. For an order to a group, group
// is the order as it was received.
type engineOrder struct {
	order engine.Order
	group *peer.GroupOrder
}

// orders sends orders to backend servers, one at a time for each. Some engines
// accept orders with any fencing number, so the agent checks each order itself:
// a follower checks those to a group, orderLoad those to load. The numbers are
// received from control with each renewal, so no order is sent before the first
// renewal after a start.
type orders struct {
	client *engine.Client
	log    hclog.Logger
	scope  tally.Scope
	// renewSoon requests an early renewal, which reports the ranks to control.
	renewSoon func()
}

var actionNames = map[peer.GroupOrder_Action]string{
	peer.GroupOrder_ACTION_STAGE:   engine.ActionStage,
	peer.GroupOrder_ACTION_PROMISE: engine.ActionPromise,
	peer.GroupOrder_ACTION_SWITCH:  engine.ActionSwitch,
	peer.GroupOrder_ACTION_ABANDON: engine.ActionAbandon,
}

func orderOf(o *peer.GroupOrder) engine.Order {
	out := engine.Order{
		Fencing: o.Fencing, Action: actionNames[o.Action], Incarnation: o.Incarnation,
		Group: o.Group, MapVersion: o.MapVersion, SwitchStep: o.SwitchStep,
		Placement: placementOf(o.Placement),
	}
	if m := o.Previous; m != nil {
		out.Previous = &engine.ExpertMap{MapVersion: m.MapVersion, SwitchStep: m.SwitchStep, Placement: placementOf(m.Placement)}
	}
	return out
}

func placementOf(ranks []*peer.RankPlacement) []engine.RankPlacement {
	var out []engine.RankPlacement
	for _, p := range ranks {
		out = append(out, engine.RankPlacement{Rank: p.Rank, Experts: p.Experts})
	}
	return out
}

// applyRenewal passes the fencing numbers and orders of a renewal to the
// follower of a backend server. The numbers come first, so that an order of an
// earlier leader is rejected.
func (o *orders) applyRenewal(b *backend, resp *peer.RenewResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follower == nil {
		return
	}
	if n, ok := resp.Fencing[b.info.Group]; ok {
		o.apply(b, b.follower.Step(expertmap.FencingUpdated{Fencing: n}))
	}
	for _, g := range resp.GroupOrders {
		if g.Group == b.info.Group && g.Incarnation == b.info.Incarnation {
			o.apply(b, b.follower.Step(expertmap.OrderReceived{Order: g}))
		}
	}
}

// apply carries out the actions of a follower. The caller holds the backend
// server's mu.
func (o *orders) apply(b *backend, actions []expertmap.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case expertmap.Forward:
			select {
			case b.orders <- engineOrder{order: orderOf(a.Order), group: a.Order}:
			default:
				b.follower.Step(expertmap.Unanswered(a))
				o.count("queue_full")
			}
		case expertmap.Drop:
			o.count(a.Reason.String())
		case expertmap.RenewSoon:
			o.renewSoon()
		}
	}
}

func (o *orders) count(reason string) {
	o.scope.Tagged(map[string]string{"reason": reason}).Counter("order_refusals").Inc(1)
}

// run sends the orders for one backend server until ctx ends.
func (o *orders) run(ctx context.Context, b *backend) {
	for {
		select {
		case eo := <-b.orders:
			o.send(ctx, b, eo)
		case <-ctx.Done():
			return
		}
	}
}

func (o *orders) send(ctx context.Context, b *backend, eo engineOrder) {
	info, announced := b.snapshot()
	if !announced || info.Incarnation != eo.order.Incarnation {
		o.count("wrong_incarnation")
		o.reportAnswer(b, eo, nil)
		return
	}
	reply, err := o.client.Order(ctx, info.Address, eo.order)
	if err != nil {
		o.count("no_answer")
		o.log.Warn("order was not answered", "backend_server", b.name, "action", eo.order.Action, "error", err)
		o.reportAnswer(b, eo, nil)
		return
	}
	if !reply.Accepted {
		o.count("engine")
		o.log.Info("order was not accepted", "backend_server", b.name, "action", eo.order.Action, "message", reply.Message)
	}
	o.reportAnswer(b, eo, &reply)
}

// reportAnswer passes the answer to an order to the follower; reply is nil if
// there was no answer.
func (o *orders) reportAnswer(b *backend, eo engineOrder, reply *engine.OrderReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if eo.group == nil || b.follower == nil {
		return
	}
	if reply == nil {
		o.apply(b, b.follower.Step(expertmap.Unanswered{Order: eo.group}))
		return
	}
	answer := expertmap.Answer{Accepted: reply.Accepted, Step: reply.Step, MapVersion: reply.MapVersion, Message: reply.Message}
	o.apply(b, b.follower.Step(expertmap.Answered{Order: eo.group, Answer: answer}))
}

// announceRanks passes an announcement to the follower. The caller holds mu and
// has not replaced info yet.
func (b *backend) announceRanks(a engine.Announcement) {
	if a.Group == "" {
		b.follower = nil
		return
	}
	if b.follower == nil || a.Group != b.info.Group || !slices.Equal(a.Ranks, b.info.Ranks) {
		b.follower = expertmap.NewFollower(a.Group, a.Ranks)
	}
	state := engine.MapState{}
	if a.Map != nil {
		state = *a.Map
	}
	b.follower.Step(expertmap.Announced{
		Incarnation: a.Incarnation, Step: state.Step, MapVersion: state.Version,
		PromisedVersion: state.PromisedVersion, PromisedStep: state.PromisedStep, StepUs: a.Load.StepUS,
	})
}

// groupAck returns the state of the backend server's ranks for a renewal.
func (b *backend) groupAck() (*peer.GroupAck, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired || b.follower == nil || b.follower.Ack() == nil {
		return nil, false
	}
	return b.follower.Ack(), true
}

// orderLoad orders a backend server to load what the intent specifies for its
// service. The fencing number is that of the renewal which brought the intent
// or a later one, so an agent that is partitioned from control cannot order an
// old version after a newer one. A backend server loads only while it holds no
// requests; until then it gets no new work, see job.check.
func (o *orders) orderLoad(b *backend, in intent.Intent, fencing map[string]uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, known := fencing[b.name]
	if !known || b.expired || !mustLoad(b.info, in) || now.Sub(b.loadOrderedAt) < loadRetryInterval || b.adm.View(now).Running > 0 {
		return
	}
	service, _ := in.Service(b.info.Service)
	order := engine.Order{
		Fencing: n, Action: engine.ActionLoad, Incarnation: b.info.Incarnation,
		Model: service.Model, Version: service.Version, Adapters: service.Adapters,
	}
	select {
	case b.orders <- engineOrder{order: order}:
		b.loadOrderedAt = now
		o.log.Info("ordering backend server to load model", "backend_server", b.name, "model", service.Model, "version", service.Version)
	default:
		o.count("queue_full")
	}
}

// mustLoad reports whether a model engine has loaded something other than the
// intent specifies. An intent that names no model leaves the engine unchanged.
func mustLoad(a engine.Announcement, in intent.Intent) bool {
	service, ok := in.Service(a.Service)
	if !ok || a.Kind != engine.KindModel || service.Kind != intent.Model || service.Model == "" {
		return false
	}
	return a.Model != service.Model || a.Version != service.Version || !sameNames(a.Adapters, service.Adapters)
}

// sameNames compares two lists, ignoring the order.
func sameNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Clone(a), slices.Clone(b)
	slices.SortFunc(a, strings.Compare)
	slices.SortFunc(b, strings.Compare)
	return slices.Equal(a, b)
}
