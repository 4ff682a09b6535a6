package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	workTime          = 30 * time.Millisecond
	eventInterval     = 20 * time.Millisecond
	eventCount        = 28
)

// runner is a sound runner as the users' page describes it.
type runner struct {
	name, service, ip, address, zone string
	slots                            int
	rec                              *record
	controls                         []string

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	running  int
	runs     []ranRequest
	server   *http.Server
	cancel   context.CancelFunc
}

// ranRequest is a request that a runner has begun to work on.
type ranRequest struct {
	id, path string
	at       time.Time
}

// newRunner returns the runner number n, at an address of its own.
func (s *system) newRunner(n int, service string) *runner {
	r := &runner{
		name: fmt.Sprintf("%s-%d", service, n), service: service, ip: fmt.Sprintf("%s.%d", s.net, 100+n), zone: zones[n%len(zones)],
		slots: 12, rec: s.rec, controls: s.controls(),
	}
	r.address = s.address(r.ip, appPort)
	return r
}

// start begins an incarnation.
func (r *runner) start(ctx context.Context, id string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.id, r.born, r.sequence, r.running = id, time.Now().UnixMilli(), 0, 0
	r.server, r.cancel = &http.Server{Handler: r}, cancel
	server := r.server
	r.mu.Unlock()
	go server.Serve(l)
	go r.announce(ctx)
	r.rec.add("runner %s of %s starts at %s, born %d", id, r.service, r.address, r.born)
	return nil
}

// end ends the incarnation as a crash does.
func (r *runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		r.cancel()
		r.server.Close()
	}
}

// announce sends heartbeats, each to one machine that answers.
func (r *runner) announce(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		for try := range r.controls {
			if r.beat(ctx, client, r.controls[(n+try)%len(r.controls)]) {
				break
			}
		}
		if sleep(ctx, heartbeatInterval) != nil {
			return
		}
	}
}

func (r *runner) beat(ctx context.Context, client *http.Client, control string) bool {
	r.mu.Lock()
	r.sequence++
	body, _ := json.Marshal(map[string]any{ // cannot fail: plain values
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	id := r.id
	r.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/oleanderrack/instances/"+id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode >= 200 && res.StatusCode < 300
}

// ran returns the requests that the runner has begun to work on.
func (r *runner) ran() []ranRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ranRequest{}, r.runs...)
}

// ServeHTTP answers one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Oleanderrack-Request-Id")
	r.mu.Lock()
	own := r.id
	r.mu.Unlock()
	if id != "" {
		w.Header().Set("Oleanderrack-Request-Id", id)
	}
	if expected := req.Header.Get("Oleanderrack-Expected-Instance"); expected != "" && expected != own {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		w.Header().Set("Oleanderrack-Instance-Id", own)
		return
	}
	if !r.begin(w, id, req.URL.Path) {
		return
	}
	defer r.finish()
	w.Header().Set("Oleanderrack-Response-Signature", own+"."+id)
	if req.Header.Get("Oleanderrack-Token-Counts") == "" {
		time.Sleep(workTime)
		fmt.Fprintf(w, "done %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if there is none
	for n := last + 1; n <= eventCount; n++ {
		select {
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(eventInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		w.(http.Flusher).Flush()
	}
}

// begin takes a slot, or answers that the request has not run.
func (r *runner) begin(w http.ResponseWriter, id, path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" || r.running >= r.slots {
		w.Header().Set("Oleanderrack-Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if id == "" {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		return false
	}
	r.running++
	r.runs = append(r.runs, ranRequest{id: id, path: path, at: time.Now()})
	r.rec.add("runner %s of %s runs request %s, path %s", r.id, r.service, id, path)
	return true
}

func (r *runner) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
