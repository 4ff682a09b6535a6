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
	// maxOrders bounds the orders that wait for one backend server. Control
	// repeats an order until it is acknowledged, so one that finds no room
	// comes again.
	maxOrders = 4
	// loadRetry is the time from one order to load to the next.
	loadRetry = 10 * time.Second
)

// engineOrder is an order on its way to a backend server. For an order to a
// group, group is the order as it came.
type engineOrder struct {
	order engine.Order
	group *peer.GroupOrder
}

// orders passes orders to backend servers, one at a time for each. Some
// engines take orders with any fencing number, so the agent checks each order
// itself: a follower those to a group, loadOrder those to load. The numbers
// come from control with each renewal, so none is passed on before the first
// one after a start.
type orders struct {
	client *engine.Client
	log    hclog.Logger
	scope  tally.Scope
	// changed is called when control should hear of the ranks soon.
	changed func()
}

var actions = map[peer.GroupOrder_Action]string{
	peer.GroupOrder_ACTION_STAGE:   engine.ActionStage,
	peer.GroupOrder_ACTION_PROMISE: engine.ActionPromise,
	peer.GroupOrder_ACTION_SWITCH:  engine.ActionSwitch,
	peer.GroupOrder_ACTION_ABANDON: engine.ActionAbandon,
}

func orderOf(o *peer.GroupOrder) engine.Order {
	out := engine.Order{
		Fencing: o.Fencing, Action: actions[o.Action], Incarnation: o.Incarnation,
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

// renewed gives the numbers and orders of a renewal to the backend servers.
// The numbers come first: an order of an earlier leader must not pass.
func (o *orders) renewed(b *backend, resp *peer.RenewResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follower == nil {
		return
	}
	if n, ok := resp.Fencing[b.info.Group]; ok {
		o.act(b, b.follower.Step(expertmap.FencingUpdated{Fencing: n}))
	}
	for _, g := range resp.GroupOrders {
		if g.Group == b.info.Group && g.Incarnation == b.info.Incarnation {
			o.act(b, b.follower.Step(expertmap.OrderReceived{Order: g}))
		}
	}
}

// act carries out what a follower wants done. The caller holds the backend
// server's mu.
func (o *orders) act(b *backend, todo []expertmap.Action) {
	for _, action := range todo {
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
			o.changed()
		}
	}
}

func (o *orders) count(reason string) {
	o.scope.Tagged(map[string]string{"reason": reason}).Counter("order_refusals").Inc(1)
}

// work passes the orders for one backend server on until ctx ends.
func (o *orders) work(ctx context.Context, b *backend) {
	for {
		select {
		case eo := <-b.orders:
			o.pass(ctx, b, eo)
		case <-ctx.Done():
			return
		}
	}
}

func (o *orders) pass(ctx context.Context, b *backend, eo engineOrder) {
	info, there := b.snapshot()
	if !there || info.Incarnation != eo.order.Incarnation {
		o.count("wrong_incarnation")
		o.answered(b, eo, nil)
		return
	}
	reply, err := o.client.Order(ctx, info.Address, eo.order)
	if err != nil {
		o.count("no_answer")
		o.log.Warn("order was not answered", "backend_server", b.name, "action", eo.order.Action, "error", err)
		o.answered(b, eo, nil)
		return
	}
	if !reply.Accepted {
		o.count("engine")
		o.log.Info("order was not accepted", "backend_server", b.name, "action", eo.order.Action, "message", reply.Message)
	}
	o.answered(b, eo, &reply)
}

// answered tells the follower what became of an order; reply is nil without
// an answer.
func (o *orders) answered(b *backend, eo engineOrder, reply *engine.OrderReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if eo.group == nil || b.follower == nil {
		return
	}
	if reply == nil {
		o.act(b, b.follower.Step(expertmap.Unanswered{Order: eo.group}))
		return
	}
	answer := expertmap.Answer{Accepted: reply.Accepted, Step: reply.Step, MapVersion: reply.MapVersion, Message: reply.Message}
	o.act(b, b.follower.Step(expertmap.Answered{Order: eo.group, Answer: answer}))
}

// announceRanks tells the follower of an announcement. The caller holds mu and
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
	if b.gone || b.follower == nil || b.follower.Ack() == nil {
		return nil, false
	}
	return b.follower.Ack(), true
}

// load orders a backend server to load what the intent names for its service.
// The fencing number is that of the renewal which brought the intent or a
// later one, so an agent cut off from control cannot order an old version
// after a newer one. A backend server loads only while it holds nothing; until
// then it gets no new work, see job.check.
func (o *orders) load(b *backend, in intent.Intent, numbers map[string]uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, known := numbers[b.name]
	if !known || b.gone || !mustLoad(b.info, in) || now.Sub(b.loadTried) < loadRetry || b.adm.View(now).Running > 0 {
		return
	}
	service, _ := in.Service(b.info.Service)
	order := engine.Order{
		Fencing: n, Action: engine.ActionLoad, Incarnation: b.info.Incarnation,
		Model: service.Model, Version: service.Version, Adapters: service.Adapters,
	}
	select {
	case b.orders <- engineOrder{order: order}:
		b.loadTried = now
		o.log.Info("ordering to load", "backend_server", b.name, "model", service.Model, "version", service.Version)
	default:
		o.count("queue_full")
	}
}

// mustLoad says whether a model engine has something else loaded than the
// intent names. An intent that names no model leaves it as it is.
func mustLoad(a engine.Announcement, in intent.Intent) bool {
	service, ok := in.Service(a.Service)
	if !ok || a.Kind != engine.KindModel || service.Kind != intent.Model || service.Model == "" {
		return false
	}
	return a.Model != service.Model || a.Version != service.Version || !sameNames(a.Adapters, service.Adapters)
}

// sameNames compares lists without regard to order.
func sameNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Clone(a), slices.Clone(b)
	slices.SortFunc(a, strings.Compare)
	slices.SortFunc(b, strings.Compare)
	return slices.Equal(a, b)
}
