/*
Package routing chooses the backend server for a request.

# Concept

An entry receives the list of backend servers as rows from control, and their
load in reports that are about half a second old. It cannot overload a backend
server, because the agent admits requests, but a wrong choice costs a refusal
and time. A [View] therefore evaluates only a few candidates: those selected by
rendezvous hashing of the prompt's prefix, those in the table of prefixes sent
before, and some at random. It returns the one with the lowest expected time to
the first token. The expected load is the reported load plus the entry's own
dispatches since the report, so that one low report does not attract all
requests.

# Use

	v := routing.New(routing.Config{Region: "maghreb", FailureDomain: "fes", Random: rnd})
	v.SetIntent("maghreb", in)
	v.Apply(now, "maghreb", response)
	choice, err := v.Choose(now, routing.Request{Service: "assistant-pool", Prefix: prefix, Tokens: 700})
	v.RecordStart(now, choice, prefix)
	...
	v.RecordEnd(now, choice)

A View does no I/O: the clock and the random source are passed in. It is not
safe for concurrent use.
*/
package routing

import (
	"math/rand/v2"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Config holds the parameters of a View.
type Config struct {
	Region        string
	FailureDomain string
	Random        *rand.Rand
	Weights       Weights
}

// serverKey identifies a backend server; names are unique within a region.
type serverKey struct {
	region string
	server string
}

// View is an entry's view of all backend servers.
type View struct {
	cfg       Config
	servers   []*server
	freeSlots []int32
	byName    map[serverKey]int32
	byService map[string][]int32
	regions   map[string]*region
	prefixes  *prefixTable
	// peers is the estimated number of entries that share the backend servers:
	// the ratio of all requests to this entry's own.
	peers float64
	// experiences are what the backend servers report about their caches, by
	// service.
	experiences map[string]*prefix.Experience
}

// region is the state received from the control of one region.
type region struct {
	epoch       uint64
	version     uint64
	rows        map[uint32]int32
	intent      intent.Intent
	hasIntent   bool
	unavailable bool
}

// server is one backend server and its expected load.
type server struct {
	key      serverKey
	slot     int32
	agent    *peer.Node
	row      *peer.BackendServer
	rowIndex uint32 // of row, in its region
	hash     uint64
	eligible bool
	distance float64
	window   uint64
	load     load
	// blockedUntil is the end of its exclusion after a refusal for another
	// reason than load.
	blockedUntil time.Time
	// fullUntil is the time until which it counts as full after a refusal for
	// lack of room.
	fullUntil time.Time
	// sharesPrompts is set once its agent has told what other entries send to it.
	sharesPrompts bool
	// generation distinguishes the backend servers that use a slot over time.
	generation uint32
}

// New returns an empty View.
func New(cfg Config) *View {
	if cfg.Weights == (Weights{}) {
		cfg.Weights = DefaultWeights()
	}
	return &View{
		cfg:       cfg,
		byName:    map[serverKey]int32{},
		byService: map[string][]int32{},
		regions:   map[string]*region{},
		prefixes:  newPrefixTable(),
		peers:     1,

		experiences: map[string]*prefix.Experience{},
	}
}

func (v *View) region(name string) *region {
	r := v.regions[name]
	if r == nil {
		r = &region{rows: map[uint32]int32{}}
		v.regions[name] = r
	}
	return r
}

// SetIntent sets the configuration that a region's backend servers follow.
func (v *View) SetIntent(regionName string, in intent.Intent) {
	r := v.region(regionName)
	r.intent, r.hasIntent = in, true
	v.updateRegion(regionName)
}

// SetAvailable sets whether new work may be sent to a region. It must be false
// without a lease from the region's control.
func (v *View) SetAvailable(regionName string, available bool) {
	r := v.region(regionName)
	if r.unavailable == available {
		r.unavailable = !available
		v.updateRegion(regionName)
	}
}

// updateRegion updates the eligibility of all backend servers of a region.
func (v *View) updateRegion(regionName string) {
	for _, s := range v.servers {
		if s != nil && s.key.region == regionName {
			v.updateEligibility(s)
		}
	}
}

// updateEligibility decides whether a backend server may be chosen at all.
func (v *View) updateEligibility(s *server) {
	r := v.region(s.key.region)
	s.eligible = false
	if r.unavailable || !r.hasIntent || s.row.Leaving {
		return
	}
	service, ok := r.intent.Service(s.row.Service)
	s.eligible = ok && service.AllowsFailureDomain(s.agent.FailureDomain) && !r.intent.IsDrained(s.agent.FailureDomain, s.key.server)
}

// Position returns the epoch and version from which the next Watch of a region
// continues.
func (v *View) Position(regionName string) (epoch, since uint64) {
	r := v.region(regionName)
	return r.epoch, r.version
}

// Window returns the newest dispatch window received from an agent's
// incarnation, or 0.
func (v *View) Window(agentID string, incarnation uint64) uint64 {
	newest := uint64(0)
	for _, s := range v.servers {
		if s != nil && s.agent.Id == agentID && s.agent.Incarnation == incarnation {
			newest = max(newest, s.window)
		}
	}
	return newest
}

// Len returns the number of backend servers in the view.
func (v *View) Len() int { return len(v.byName) }

// Apply applies the response to a Watch.
func (v *View) Apply(now time.Time, regionName string, w *peer.WatchResponse) {
	r := v.region(regionName)
	if w.Epoch != r.epoch {
		// Row numbers are valid only within one epoch.
		r.rows = map[uint32]int32{}
	}
	r.epoch, r.version = w.Epoch, w.Version
	if w.Full {
		clear(r.rows)
	}
	for _, row := range w.Rows {
		if row.GetAgent() != nil && row.GetBackendServer() != nil {
			r.rows[row.Index] = v.upsert(now, regionName, row)
		}
	}
	for _, index := range w.Removed {
		if slot, ok := r.rows[index]; ok {
			delete(r.rows, index)
			if v.isAtRow(slot, index) {
				v.remove(slot)
			}
		}
	}
	if w.Full {
		v.removeExcept(regionName, r.rows)
	}
	v.applyLoads(now, r, w)
	v.estimatePeers()
}

const (
	// maxPeers bounds the estimate, which is too high while this entry has few
	// requests in flight.
	maxPeers = 8
	// peersGain is the weight of a new sample in the moving average.
	peersGain = 0.2
)

func (v *View) estimatePeers() {
	all, own := 0.0, 0.0
	for _, s := range v.servers {
		if s != nil {
			all += s.load.running
			own += float64(s.load.inFlight)
		}
	}
	if own > 0 {
		v.peers += peersGain * (min(max(all/own, 1), maxPeers) - v.peers)
	}
}

func (v *View) applyLoads(now time.Time, r *region, w *peer.WatchResponse) {
	for i, index := range w.LoadIndex {
		slot, ok := r.rows[index]
		if !ok || i >= len(w.LoadLevel) || !v.isAtRow(slot, index) {
			continue
		}
		s := v.servers[slot]
		s.load.applyLevel(now, w.LoadLevel[i], v.cfg.Random.Float64())
		if i < len(w.Window) {
			s.window = max(s.window, w.Window[i])
		}
	}
}

// isAtRow reports whether the backend server in a slot is listed in a row. A
// backend server can move to another row, and its slot to another one.
func (v *View) isAtRow(slot int32, row uint32) bool {
	s := v.servers[slot]
	return s != nil && s.rowIndex == row
}

// upsert adds or updates the backend server of a row.
func (v *View) upsert(now time.Time, regionName string, row *peer.BackendServerRow) int32 {
	key := serverKey{region: regionName, server: row.BackendServer.Name}
	slot, known := v.byName[key]
	if known {
		s := v.servers[slot]
		if s.row.Incarnation != row.BackendServer.Incarnation || s.agent.Incarnation != row.Agent.Incarnation ||
			s.row.Service != row.BackendServer.Service {
			// A new process or service has an empty cache and its own window.
			v.remove(slot)
			known = false
		}
	}
	if !known {
		slot = v.add(key, row)
	}
	s := v.servers[slot]
	s.agent, s.row, s.rowIndex = row.Agent, row.BackendServer, row.Index
	s.distance = v.distance(s)
	if l := row.BackendServer.Load; l != nil {
		s.load.applyReport(now, l, v.cfg.Random.Float64())
		s.window = max(s.window, l.Window)
	}
	v.updateEligibility(s)
	return slot
}

func (v *View) add(key serverKey, row *peer.BackendServerRow) int32 {
	var slot int32
	if n := len(v.freeSlots); n > 0 {
		slot, v.freeSlots = v.freeSlots[n-1], v.freeSlots[:n-1]
	} else {
		slot = int32(len(v.servers))
		v.servers = append(v.servers, nil)
	}
	service := row.BackendServer.Service
	v.prefixes.invalidate(slot)
	v.servers[slot] = &server{
		key: key, slot: slot, agent: row.Agent, row: row.BackendServer,
		hash: hashText(key.server), generation: v.cfg.Random.Uint32(),
	}
	v.servers[slot].load.setLimits(row.BackendServer)
	v.byName[key] = slot
	v.byService[service] = append(v.byService[service], slot)
	return slot
}

func (v *View) remove(slot int32) {
	s := v.servers[slot]
	if s == nil {
		return
	}
	delete(v.byName, s.key)
	list := v.byService[s.row.Service]
	for i, other := range list {
		if other == slot {
			list[i] = list[len(list)-1]
			v.byService[s.row.Service] = list[:len(list)-1]
			break
		}
	}
	v.servers[slot] = nil
	v.freeSlots = append(v.freeSlots, slot)
}

func (v *View) removeExcept(regionName string, rows map[uint32]int32) {
	keep := make(map[int32]bool, len(rows))
	for _, slot := range rows {
		keep[slot] = true
	}
	for _, s := range v.servers {
		if s != nil && s.key.region == regionName && !keep[s.slot] {
			v.remove(s.slot)
		}
	}
}

// distance is 0 in the entry's failure domain, 1 in its region and 2 elsewhere.
func (v *View) distance(s *server) float64 {
	switch {
	case s.key.region != v.cfg.Region:
		return 2
	case s.agent.FailureDomain != v.cfg.FailureDomain:
		return 1
	}
	return 0
}
