package standin

import (
	"net/http"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := readJSON(r, &o); err != nil {
		writeProblem(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	e.mu.Lock()
	reply := e.follow(o)
	if len(e.record.Orders) < maxRecorded {
		e.record.Orders = append(e.record.Orders, OrderRecord{
			Action: o.Action, Fencing: o.Fencing, MapVersion: o.MapVersion, Accepted: reply.Accepted, Message: reply.Message,
		})
	}
	e.mu.Unlock()
	status := http.StatusOK
	if !reply.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, reply)
}

// follow carries out an order or says why not.
func (e *Engine) follow(o engine.Order) engine.OrderReply {
	if o.Action == engine.ActionLoad {
		return e.load(o)
	}
	action, ok := groupActions[o.Action]
	if !ok {
		return engine.OrderReply{Message: "unknown action"}
	}
	if e.cfg.Group == nil || o.Group != e.cfg.Group.Name {
		return engine.OrderReply{Message: "not a rank of this group"}
	}
	order := &peer.GroupOrder{
		Group: o.Group, Fencing: o.Fencing, Action: action, Incarnation: o.Incarnation,
		MapVersion: o.MapVersion, SwitchStep: o.SwitchStep, Placement: ranksOf(o.Placement),
	}
	if m := o.Previous; m != nil {
		order.Previous = &peer.GroupMap{MapVersion: m.MapVersion, SwitchStep: m.SwitchStep, Placement: ranksOf(m.Placement)}
	}
	a := e.rules.HandleOrder(order)
	return engine.OrderReply{Accepted: a.Accepted, Step: a.Step, MapVersion: a.MapVersion, Message: a.Message}
}

func ranksOf(placement []engine.RankPlacement) []*peer.RankPlacement {
	var out []*peer.RankPlacement
	for _, p := range placement {
		out = append(out, &peer.RankPlacement{Rank: p.Rank, Experts: p.Experts})
	}
	return out
}

var groupActions = map[string]peer.GroupOrder_Action{
	engine.ActionStage:   peer.GroupOrder_ACTION_STAGE,
	engine.ActionPromise: peer.GroupOrder_ACTION_PROMISE,
	engine.ActionSwitch:  peer.GroupOrder_ACTION_SWITCH,
	engine.ActionAbandon: peer.GroupOrder_ACTION_ABANDON,
}

// load changes the model. The engine is cold then.
func (e *Engine) load(o engine.Order) engine.OrderReply {
	if e.rules.ChecksFencing && o.Fencing < e.fencing {
		return engine.OrderReply{Message: "stale fencing number"}
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.model, e.version, e.adapters = o.Model, o.Version, o.Adapters
	e.turnCold(false)
	return engine.OrderReply{Accepted: true}
}
