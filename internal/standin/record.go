package standin

import (
	"maps"
	"slices"
	"time"
)

// maxRecorded bounds the runs, executions, paths, orders and maps of a record.
const maxRecorded = 1 << 17

// EngineRecord is what an engine received and ran since its process started.
type EngineRecord struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// CrashReason is the reason why the engine refuses all requests; empty if it
	// has not crashed.
	CrashReason string `json:"crash_reason"`
	// Crashes lists the reasons of all crashes, including those of earlier
	// incarnations.
	Crashes         []string `json:"crashes"`
	Received        uint64   `json:"received"`
	Ran             uint64   `json:"ran"`
	Finished        uint64   `json:"finished"`
	Cancelled       uint64   `json:"cancelled"`
	Refused         uint64   `json:"refused"`
	Steps           uint64   `json:"steps"`
	Tokens          uint64   `json:"tokens"`
	Exits           uint64   `json:"deaths"`
	ColdTransitions uint64   `json:"cold_turns"`
	// MaxInFlight, MaxInFlightCold and MaxTokensHeld are the highest values
	// reached so far.
	MaxInFlight     uint32 `json:"max_held"`
	MaxInFlightCold uint32 `json:"max_held_cold"`
	MaxTokensHeld   uint64 `json:"max_tokens"`
	// LastAccepted is the time when the last request was accepted.
	LastAccepted time.Time `json:"last_new_work"`
	// Runs counts the runs of each request id.
	Runs   map[string]int `json:"runs"`
	Orders []OrderRecord  `json:"orders"`
	// Maps lists the expert maps used, by range of steps.
	Maps []MapUse `json:"maps"`
}

// OrderRecord is one order with its reply.
type OrderRecord struct {
	Action     string `json:"action"`
	Fencing    uint64 `json:"fencing"`
	MapVersion uint64 `json:"map_version"`
	Accepted   bool   `json:"accepted"`
	Message    string `json:"message"`
}

// MapUse is a range of steps, both ends included, in which a group used one map.
type MapUse struct {
	Group     string `json:"group"`
	Version   uint64 `json:"version"`
	FirstStep uint64 `json:"first_step"`
	LastStep  uint64 `json:"last_step"`
}

func (r *EngineRecord) count(id string) {
	if r.Runs == nil {
		r.Runs = map[string]int{}
	}
	if len(r.Runs) < maxRecorded {
		r.Runs[id]++
	}
}

func (r *EngineRecord) copy() EngineRecord {
	c := *r
	c.Runs = maps.Clone(r.Runs)
	c.Crashes = slices.Clone(r.Crashes)
	c.Orders = slices.Clone(r.Orders)
	c.Maps = slices.Clone(r.Maps)
	return c
}

// useMap records the map that a step used.
func (r *EngineRecord) useMap(group string, step, version uint64) {
	if n := len(r.Maps); n > 0 && r.Maps[n-1].Version == version && r.Maps[n-1].LastStep+1 == step {
		r.Maps[n-1].LastStep = step
		return
	}
	if len(r.Maps) < maxRecorded {
		r.Maps = append(r.Maps, MapUse{Group: group, Version: version, FirstStep: step, LastStep: step})
	}
}

// PlainRecord is what a plain service received and ran.
type PlainRecord struct {
	Name           string `json:"name"`
	Incarnation    uint64 `json:"incarnation"`
	CrashReason    string `json:"crash_reason"`
	Received       uint64 `json:"received"`
	Ran            uint64 `json:"ran"`
	Answered       uint64 `json:"answered"`
	Resets         uint64 `json:"resets"`
	DroppedAnswers uint64 `json:"lost"`
	MaxInFlight    uint32 `json:"max_held"`
	// Executions counts executions for each idempotency key.
	Executions map[string]int `json:"executions"`
	// Paths counts executions for each method and path.
	Paths        map[string]int `json:"paths"`
	LastAccepted time.Time      `json:"last_new_work"`
}

func (r *PlainRecord) copy() PlainRecord {
	c := *r
	c.Executions = maps.Clone(r.Executions)
	c.Paths = maps.Clone(r.Paths)
	return c
}
