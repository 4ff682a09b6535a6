package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Actions of orders.
const (
	ActionLoad    = "load"
	ActionStage   = "stage"
	ActionPromise = "promise"
	ActionSwitch  = "switch"
	ActionAbandon = "abandon"
)

// Order instructs a model engine to load a model or to carry out one step of an
// expert map change.
type Order struct {
	// Fencing is a token that increases with each new source of orders; an
	// engine that checks it rejects orders with a lower one.
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	// Incarnation is that of the backend server that the order is for.
	Incarnation uint64          `json:"incarnation"`
	Model       string          `json:"model,omitempty"`
	Version     string          `json:"version,omitempty"`
	Adapters    []string        `json:"adapters,omitempty"`
	Group       string          `json:"group,omitempty"`
	MapVersion  uint64          `json:"map_version,omitempty"`
	SwitchStep  uint64          `json:"switch_step,omitempty"`
	Placement   []RankPlacement `json:"placement,omitempty"`
	// Previous is the map of the steps before SwitchStep, for ranks without a
	// map.
	Previous *ExpertMap `json:"previous,omitempty"`
}

// ExpertMap is the expert map of a group from SwitchStep on.
type ExpertMap struct {
	MapVersion uint64          `json:"map_version"`
	SwitchStep uint64          `json:"switch_step"`
	Placement  []RankPlacement `json:"placement"`
}

// RankPlacement lists the experts that are placed on a rank.
type RankPlacement struct {
	Rank    uint32   `json:"rank"`
	Experts []uint32 `json:"experts"`
}

// OrderReply is a model engine's reply to an order.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// Step is the current step of the group.
	Step       uint64 `json:"step"`
	MapVersion uint64 `json:"map_version"`
	Message    string `json:"message"`
}

// Order sends an order. A rejected order is not an error.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderReply, error) {
	status, data, err := c.post(ctx, address, "/orders", o)
	if err != nil {
		return OrderReply{}, err
	}
	var reply OrderReply
	if err := json.Unmarshal(data, &reply); err != nil || (status != http.StatusOK && status != http.StatusConflict) {
		return OrderReply{}, fault.New(fault.BackendFailed, "invalid reply to an order, status %d", status)
	}
	return reply, nil
}

// MapState is the state of the expert maps on the ranks of a backend server.
type MapState struct {
	// Step is the newest step that the ranks have started.
	Step uint64 `json:"step"`
	// Version is the map in use; 0 before the first one.
	Version uint64 `json:"version"`
	// PromisedVersion and PromisedStep are the pending promise: the ranks do
	// not start that step before they receive the decision on that version.
	PromisedVersion uint64 `json:"promised_version,omitempty"`
	PromisedStep    uint64 `json:"promised_step,omitempty"`
}
