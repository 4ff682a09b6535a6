/*
Package routing chooses the backend server for a request.

# Concept

An entry knows the backend servers from rows that control sends, and their load
from figures that are about half a second old. It cannot overload a backend
server, because the agent decides, but a wrong choice costs a refusal and time.
A [View] therefore looks at a few candidates only: those that the prompt's
prefix points to, by rendezvous hash and by the table of prefixes sent before,
and some at random. It takes the one with the lowest expected time to the first
token. The expectation adds the entry's own dispatches since the last load
report to the reported load, so that one low figure does not draw all requests.

# Use

	v := routing.New(routing.Config{Region: "maghreb", FailureDomain: "fes", Random: rnd})
	v.SetIntent("maghreb", in)
	v.Apply(now, "maghreb", response)
	choice, err := v.Choose(now, routing.Request{Service: "assistant-pool", Prefix: prefix, Tokens: 700})
	v.RecordStart(now, choice, &prefix)
	...
	v.RecordEnd(now, choice)

A View is pure: the clock and the random source are passed in. It is used by
one goroutine at a time.
*/
package routing

import (
	"math/rand/v2"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Config holds what a View needs.
type Config struct {
	Region        string
	FailureDomain string
	Random        *rand.Rand
	Weights       Weights
}

// name identifies a backend server: names are unique in a region.
type name struct {
	region string
	server string
}

// View is what an entry knows of all backend servers.
type View struct {
	cfg       Config
	servers   []*server
	free      []int32
	byName    map[name]int32
	byService map[string][]int32
	regions   map[string]*region
	prefixes  *prefixTable
	// peers is the number of entries that share the backend servers, as the
	// ratio of all requests to the own ones shows it.
	peers float64
}

// region is what is particular to the rows of one region's control.
type region struct {
	epoch   uint64
	version uint64
	rows    map[uint32]int32
	intent  intent.Intent
	known   bool
	closed  bool
}

// server is one backend server with its expected state.
type server struct {
	name     name
	slot     int32
	agent    *peer.Node
	row      *peer.BackendServer
	hash     uint64
	open     bool
	distance float64
	window   uint64
	load     load
	// blocked is until when it is left out after a refusal.
	blocked time.Time
	// fullUntil is until when it has no room after a refusal.
	fullUntil time.Time
	// generation distinguishes the users of a slot over time.
	generation uint32
}

// New returns an empty View.
func New(cfg Config) *View {
	if cfg.Weights == (Weights{}) {
		cfg.Weights = DefaultWeights()
	}
	return &View{
		cfg:       cfg,
		byName:    map[name]int32{},
		byService: map[string][]int32{},
		regions:   map[string]*region{},
		prefixes:  newPrefixTable(),
		peers:     1,
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

// SetIntent tells the configuration that a region's backend servers follow.
func (v *View) SetIntent(regionName string, in intent.Intent) {
	r := v.region(regionName)
	r.intent, r.known = in, true
	v.reopen(regionName)
}

// SetAvailable says whether new work may be sent to a region: false without a lease
// from its control.
func (v *View) SetAvailable(regionName string, open bool) {
	r := v.region(regionName)
	if r.closed == open {
		r.closed = !open
		v.reopen(regionName)
	}
}

func (v *View) reopen(regionName string) {
	for _, s := range v.servers {
		if s != nil && s.name.region == regionName {
			v.open(s)
		}
	}
}

// open decides whether a backend server may be chosen at all.
func (v *View) open(s *server) {
	r := v.region(s.name.region)
	s.open = false
	if r.closed || !r.known || s.row.Leaving {
		return
	}
	service, ok := r.intent.Service(s.row.Service)
	s.open = ok && service.Serves(s.agent.FailureDomain) && !r.intent.IsDrained(s.agent.FailureDomain, s.name.server)
}

// Position returns what a Watch of a region asks for next.
func (v *View) Position(regionName string) (epoch, since uint64) {
	r := v.region(regionName)
	return r.epoch, r.version
}

// Window returns the newest dispatch window seen from an agent's incarnation,
// or 0.
func (v *View) Window(agentID string, incarnation uint64) uint64 {
	newest := uint64(0)
	for _, s := range v.servers {
		if s != nil && s.agent.Id == agentID && s.agent.Incarnation == incarnation {
			newest = max(newest, s.window)
		}
	}
	return newest
}

// Len returns the number of backend servers known.
func (v *View) Len() int { return len(v.byName) }

// Apply takes the answer to a Watch.
func (v *View) Apply(now time.Time, regionName string, w *peer.WatchResponse) {
	r := v.region(regionName)
	if w.Epoch != r.epoch {
		// Row numbers of another epoch mean other backend servers.
		r.rows = map[uint32]int32{}
	}
	r.epoch, r.version = w.Epoch, w.Version
	if w.Full {
		clear(r.rows)
	}
	for _, row := range w.Rows {
		if row.GetAgent() != nil && row.GetBackendServer() != nil {
			r.rows[row.Index] = v.put(now, regionName, row)
		}
	}
	for _, index := range w.Removed {
		if slot, ok := r.rows[index]; ok {
			delete(r.rows, index)
			v.remove(slot)
		}
	}
	if w.Full {
		v.keepOnly(regionName, r.rows)
	}
	v.applyLoads(now, r, w)
	v.countPeers()
}

const (
	// maxPeers bounds the estimate while this entry has little in flight.
	maxPeers = 8
	// peersGain is the weight of one estimate in the average.
	peersGain = 0.2
)

func (v *View) countPeers() {
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
		if !ok || i >= len(w.LoadLevel) {
			continue
		}
		s := v.servers[slot]
		s.load.level(now, w.LoadLevel[i], v.cfg.Random.Float64())
		if i < len(w.Window) {
			s.window = max(s.window, w.Window[i])
		}
	}
}

// put adds or changes a row.
func (v *View) put(now time.Time, regionName string, row *peer.BackendServerRow) int32 {
	key := name{region: regionName, server: row.BackendServer.Name}
	slot, known := v.byName[key]
	if known {
		s := v.servers[slot]
		if s.row.Incarnation != row.BackendServer.Incarnation || s.agent.Incarnation != row.Agent.Incarnation ||
			s.row.Service != row.BackendServer.Service {
			// Its cache and its window are those of another process.
			v.remove(slot)
			known = false
		}
	}
	if !known {
		slot = v.add(key, row)
	}
	s := v.servers[slot]
	s.agent, s.row = row.Agent, row.BackendServer
	s.distance = v.distance(s)
	if l := row.BackendServer.Load; l != nil {
		s.load.exact(now, l, v.cfg.Random.Float64())
		s.window = max(s.window, l.Window)
	}
	v.open(s)
	return slot
}

func (v *View) add(key name, row *peer.BackendServerRow) int32 {
	var slot int32
	if n := len(v.free); n > 0 {
		slot, v.free = v.free[n-1], v.free[:n-1]
	} else {
		slot = int32(len(v.servers))
		v.servers = append(v.servers, nil)
	}
	service := row.BackendServer.Service
	v.prefixes.forget(slot)
	v.servers[slot] = &server{
		name: key, slot: slot, agent: row.Agent, row: row.BackendServer,
		hash: hashText(key.server), generation: v.cfg.Random.Uint32(),
	}
	v.servers[slot].load.capacity(row.BackendServer)
	v.byName[key] = slot
	v.byService[service] = append(v.byService[service], slot)
	return slot
}

func (v *View) remove(slot int32) {
	s := v.servers[slot]
	if s == nil {
		return
	}
	delete(v.byName, s.name)
	list := v.byService[s.row.Service]
	for i, other := range list {
		if other == slot {
			list[i] = list[len(list)-1]
			v.byService[s.row.Service] = list[:len(list)-1]
			break
		}
	}
	v.servers[slot] = nil
	v.free = append(v.free, slot)
}

func (v *View) keepOnly(regionName string, rows map[uint32]int32) {
	keep := make(map[int32]bool, len(rows))
	for _, slot := range rows {
		keep[slot] = true
	}
	for _, s := range v.servers {
		if s != nil && s.name.region == regionName && !keep[s.slot] {
			v.remove(s.slot)
		}
	}
}

// distance is 0 in the own failure domain, 1 in the own region, 2 elsewhere.
func (v *View) distance(s *server) float64 {
	switch {
	case s.name.region != v.cfg.Region:
		return 2
	case s.agent.FailureDomain != v.cfg.FailureDomain:
		return 1
	}
	return 0
}
