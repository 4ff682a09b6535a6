package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the model engine and of its service.
const (
	sets, experts, places, spare = 6, 64, 11, 4
	passTime                     = 35 * time.Millisecond
	copyTime                     = 50 * time.Millisecond // of one expert
	slots                        = 12
	heartbeatInterval            = 1200 * time.Millisecond
)

// engineSpec is the service's engine in the configuration.
func engineSpec() map[string]any {
	return map[string]any{
		"slots": slots, "kv_cache_tokens": 372000, "kv_token_bytes": 96256, "link_speed_mbps": 92000.0, "stride": 5,
		"models": []any{map[string]any{"name": "m"}}, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0,
		"pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 835, "answer": 100},
		"sets": sets, "experts": experts, "places": places, "spare": spare, "expert_mb": 580.0, "expert_share": 0.85, "form_ms": 600.0,
	}
}

// expertMap lists the experts by set and rank.
type expertMap [][][]int

// group is one expert-parallel group of model runners. All ranks execute each
// pass together.
type group struct {
	record *record
	// late decides on each order whether it gets no answer and is carried out
	// after the returned time.
	late func(operation string, idle bool) time.Duration

	mu       sync.Mutex
	pass     uint64 // the last that was begun
	ranks    []*rank
	wake     chan struct{}
	hot      int // first of the experts in demand
	running  int
	stalled  bool // a hold keeps the next pass from beginning
	violated bool // a pass has begun with different maps
}

// rank is one runner of the group.
type rank struct {
	group        *group
	id, address  string
	zone         string
	index        int
	sequence     int
	version      uint64
	placement    [][]int // experts by set
	highest      uint64  // of all versions that were prepared
	preparedAt   time.Time
	prepared     uint64
	preparedMap  [][]int
	armed        uint64
	armedStep    uint64
	held         uint64
	isHeld       bool
	counts       []uint64
	streams      map[*engineStream]bool
	startedMS    int64
	beatSequence int
}

// engineStream is one request that writes events, one a pass.
type engineStream struct {
	next, last int
	events     chan int
}

// newGroup returns a group with its initial map, in which experts are assigned in
// turn.
func newGroup(r *record, addresses, zones []string) *group {
	g := &group{record: r, wake: make(chan struct{}, 1)}
	for i, address := range addresses {
		k := &rank{
			group: g, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), address: address, zone: zones[i], index: i,
			counts: make([]uint64, sets*experts), streams: map[*engineStream]bool{}, startedMS: time.Now().UnixMilli(),
		}
		for range sets {
			var list []int
			for e := i; e < experts; e += len(addresses) {
				list = append(list, e)
			}
			k.placement = append(k.placement, list)
		}
		g.ranks = append(g.ranks, k)
	}
	return g
}

// start serves all ranks and sends their heartbeats until ctx ends.
func (g *group) start(ctx context.Context, controls []string) error {
	for _, k := range g.ranks {
		l, err := net.Listen("tcp", k.address)
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: k}
		go srv.Serve(l)
		context.AfterFunc(ctx, func() { srv.Close() })
		go announce(ctx, g.record, k.id, controls, k.heartbeat)
	}
	go g.run(ctx)
	return nil
}

// announce sends heartbeats to one control node, and to the next after a failure.
func announce(ctx context.Context, rec *record, id string, controls []string, body func() map[string]any) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for to := int(id[len(id)-1]); ctx.Err() == nil; {
		data, _ := json.Marshal(body()) // cannot fail, the values are plain
		url := "http://" + controls[to%len(controls)] + "/oleanderrack/instances/" + id + "/heartbeat"
		res, err := client.Post(url, "application/json", strings.NewReader(string(data)))
		status := 0
		if err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			status = res.StatusCode
		}
		rec.add("runner %s: heartbeat at %s: status %d, error %v", id, controls[to%len(controls)], status, err)
		if status/100 != 2 {
			to++
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		sleep(ctx, heartbeatInterval)
	}
}

func (k *rank) heartbeat() map[string]any {
	k.group.mu.Lock()
	defer k.group.mu.Unlock()
	k.beatSequence++
	return map[string]any{
		"service": "pool", "address": k.address, "zone": k.zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": k.beatSequence, "born": k.startedMS,
		"size": len(k.group.ranks), "group": k.place(),
	}
}

func (k *rank) place() map[string]any {
	return map[string]any{"name": "g-1", "epoch": 1, "rank": k.index, "state": "open"}
}

// run executes passes while there are requests. An idle group makes no passes.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		begun := g.beginPass()
		g.mu.Unlock()
		if !begun {
			select {
			case <-ctx.Done():
			case <-g.wake:
			case <-time.After(5 * time.Millisecond):
			}
			continue
		}
		sleep(ctx, passTime)
		g.mu.Lock()
		g.endPass()
		g.mu.Unlock()
	}
}

// beginPass begins the next pass, unless the group is idle or held.
func (g *group) beginPass() bool {
	if g.running == 0 {
		return false
	}
	next := g.pass + 1
	for _, k := range g.ranks {
		if k.isHeld && k.held == next {
			if !g.stalled {
				g.record.add("group: pass %d waits, it is held at rank %d", next, k.index)
			}
			g.stalled = true
			return false
		}
	}
	g.stalled = false
	g.pass = next
	for _, k := range g.ranks {
		if k.armed > 0 && k.armedStep == next {
			k.version, k.placement, k.armed = k.armed, k.preparedMap, 0
		}
	}
	for _, k := range g.ranks[1:] {
		if k.version != g.ranks[0].version {
			g.violated = true
			g.record.add("group: pass %d begins with map %d at rank 0 and %d at rank %d", next, g.ranks[0].version, k.version, k.index)
		}
	}
	for _, k := range g.ranks {
		for range k.streams {
			k.count()
		}
	}
	return true
}

// count adds what one request chooses in a pass: four experts that are hosted side
// by side in demand, and the others now and then.
func (k *rank) count() {
	for set := range sets {
		for i := range 4 {
			k.counts[set*experts+(k.group.hot+i*len(k.group.ranks))%experts] += 12
		}
		for e := range experts {
			k.counts[set*experts+e]++
		}
	}
}

func (g *group) endPass() {
	for _, k := range g.ranks {
		for s := range k.streams {
			s.events <- s.next // the channel holds all events
			if s.next++; s.next > s.last {
				close(s.events)
				delete(k.streams, s)
				g.running--
			}
		}
	}
}

// ServeHTTP serves requests, reports and orders.
func (k *rank) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("Oleanderrack-Expected-Instance"); expected != "" && expected != k.id {
		w.Header().Set("Oleanderrack-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/oleanderrack/report":
		writeJSON(w, k.report())
	case req.URL.Path == "/oleanderrack/picked":
		writeJSON(w, k.picked(req.URL.Query().Has("lists")))
	case req.URL.Path == "/oleanderrack/order":
		k.serveOrder(w, req)
	default:
		k.serveStream(w, req)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (k *rank) report() map[string]any {
	k.group.mu.Lock()
	defer k.group.mu.Unlock()
	r := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": k.sequence,
		"waiting": 0, "running": len(k.streams), "kv_cache_used": 0, "kv_cache_total": 372000, "handles": 0,
		"group": k.place(), "step": k.group.pass, "map": k.version, "prepared": nil, "armed": nil, "held": nil, "pace": 1.0,
	}
	if k.prepared > 0 && time.Now().After(k.preparedAt) {
		r["prepared"] = k.prepared
	}
	if k.armed > 0 {
		r["armed"] = map[string]any{"version": k.armed, "step": k.armedStep}
	}
	if k.isHeld {
		r["held"] = k.held
	}
	return r
}

func (k *rank) picked(lists bool) map[string]any {
	k.group.mu.Lock()
	defer k.group.mu.Unlock()
	if !lists {
		return map[string]any{"step": k.group.pass, "epoch": 1, "counts": slices.Clone(k.counts)}
	}
	return map[string]any{
		"step": k.group.pass, "epoch": 1,
		"map":      map[string]any{"version": k.version, "experts": k.placement},
		"prepared": map[string]any{"version": k.prepared, "experts": k.preparedMap},
	}
}

// order is the body of an order.
type order struct {
	Operation string    `json:"operation"`
	Version   uint64    `json:"version"`
	Epoch     *uint64   `json:"epoch"`
	Step      uint64    `json:"step"`
	Map       expertMap `json:"map"`
}

func (k *rank) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := k.group
	g.mu.Lock()
	idle := g.running == 0
	late := time.Duration(0)
	if g.late != nil {
		late = g.late(o.Operation, idle)
	}
	if late == 0 {
		status := k.apply(o, "")
		g.mu.Unlock()
		w.WriteHeader(status)
		return
	}
	g.record.add("rank %d: %s step %d gets no answer and is carried out %v later", k.index, o.Operation, o.Step, late)
	g.mu.Unlock()
	time.AfterFunc(late, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		k.apply(o, "late ")
	})
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

// apply carries out an order. The caller holds the group's lock.
func (k *rank) apply(o order, note string) int {
	status := k.decide(o)
	if status == http.StatusAccepted {
		k.sequence++
	}
	if o.Step > 0 || o.Operation == "prepare" {
		k.group.record.add("rank %d: %s%s version %d step %d: status %d (last pass begun %d)", k.index, note, o.Operation, o.Version, o.Step, status, k.group.pass)
	}
	return status
}

func (k *rank) decide(o order) int {
	g := k.group
	if o.Epoch != nil && *o.Epoch != 1 {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return k.prepare(o)
	case "arm":
		switch {
		case k.armed == o.Version && k.armedStep == o.Step:
			return http.StatusOK
		case k.prepared != o.Version || time.Now().Before(k.preparedAt) || o.Step <= g.pass || k.armed > 0:
			return http.StatusConflict
		}
		k.armed, k.armedStep = o.Version, o.Step
		return http.StatusAccepted
	case "hold":
		switch {
		case k.isHeld && k.held == o.Step:
			return http.StatusOK
		case k.isHeld || o.Step <= g.pass:
			return http.StatusConflict
		}
		k.isHeld, k.held = true, o.Step
		return http.StatusAccepted
	case "go":
		if !k.isHeld || k.held != o.Step {
			return http.StatusConflict
		}
		k.isHeld = false
		g.wakeUp()
		return http.StatusAccepted
	case "disarm":
		if k.armed != o.Version {
			return http.StatusConflict
		}
		k.armed = 0
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (k *rank) prepare(o order) int {
	if k.prepared == o.Version && k.highest == o.Version {
		return http.StatusOK
	}
	if o.Version <= k.highest || k.armed > 0 || len(o.Map) != sets {
		return http.StatusConflict
	}
	var placement [][]int
	copies := 0
	for set := range sets {
		if len(o.Map[set]) != len(k.group.ranks) || len(o.Map[set][k.index]) > places {
			return http.StatusConflict
		}
		list := o.Map[set][k.index]
		added := 0
		for _, e := range list {
			if !slices.Contains(k.placement[set], e) {
				added++
			}
		}
		if added > spare {
			return http.StatusConflict
		}
		copies += added
		placement = append(placement, list)
	}
	k.highest, k.prepared, k.preparedMap = o.Version, o.Version, placement
	k.preparedAt = time.Now().Add(time.Duration(copies) * copyTime)
	return http.StatusAccepted
}

func (g *group) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (k *rank) serveStream(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Oleanderrack-Request-Id")
	io.Copy(io.Discard, req.Body)
	w.Header().Set("Oleanderrack-Request-Id", id)
	g := k.group
	_, tokens, _ := strings.Cut(req.Header.Get("Oleanderrack-Token-Counts"), ",")
	most, _ := strconv.Atoi(tokens)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	s := &engineStream{next: last + 1, last: most / 5, events: make(chan int, max(1, most/5-last))}
	if id == "" || s.next > s.last {
		w.Header().Set("Oleanderrack-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	if len(k.streams) >= slots {
		g.mu.Unlock()
		w.Header().Set("Oleanderrack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.streams[s] = true
	g.running++
	g.wakeUp()
	g.mu.Unlock()
	g.record.add("rank %d: takes request %s", k.index, id)
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if k.streams[s] {
			delete(k.streams, s)
			g.running--
		}
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Oleanderrack-Response-Signature", "sig."+k.id+"."+id)
	for {
		select {
		case <-req.Context().Done():
			g.record.add("rank %d: request %s has been left", k.index, id)
			panic(http.ErrAbortHandler)
		case event, ok := <-s.events:
			if !ok {
				g.record.add("rank %d: request %s ends", k.index, id)
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 60))
			w.(http.Flusher).Flush()
		}
	}
}

// summary returns counts in a fixed order.
func summary(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
