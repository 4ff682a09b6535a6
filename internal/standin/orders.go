package standin

import (
	"net/http"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := readJSON(r, &o); err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	e.mu.Lock()
	reply := e.executeOrder(o)
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

// executeOrder executes an order or returns the reason for refusing it.
func (e *Engine) executeOrder(o engine.Order) engine.OrderReply {
	if o.Action == engine.ActionLoad {
		return e.loadModel(o)
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
	a := e.expertMaps.HandleOrder(order)
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

// loadModel changes the model, which makes the engine cold.
func (e *Engine) loadModel(o engine.Order) engine.OrderReply {
	if e.expertMaps.ChecksFencing && o.Fencing < e.loadFencing {
		return engine.OrderReply{Message: "stale fencing number"}
	}
	e.loadFencing = max(e.loadFencing, o.Fencing)
	e.model, e.version, e.adapters = o.Model, o.Version, o.Adapters
	e.becomeCold(false)
	return engine.OrderReply{Accepted: true}
}
