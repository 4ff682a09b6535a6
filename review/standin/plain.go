package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a runner that belongs to no group.
type runner struct {
	record                     *record
	service, id, address, zone string
	startedMS                  int64
	// spoil decides on each run whether its answer is spoilt.
	spoil func(req *http.Request, last int) spoiling

	mu       sync.Mutex
	sequence int
	running  int
	// orders holds the number of runs of each order, by its key.
	orders map[string]int
	// ran holds the ids of all requests that were run.
	ran map[string]bool
	// arrivals counts the requests that were run since the last call of takeRuns.
	arrivals int
}

// spoiling says how an answer is spoilt.
type spoiling int

const (
	sound       spoiling = iota
	brokenOff            // in the middle of an event
	endless              // a failure with a body without end
	longFailure          // a failure with a body of longFailureBytes, which is complete
	tooMany              // 429 after the run, and no word that it was not run
)

const (
	eventPause       = 30 * time.Millisecond
	readWork         = 15 * time.Millisecond
	longFailureBytes = 3 << 19
)

// window is a disruption that comes again and again, for on at a time.
type window struct {
	begin   time.Time
	on, off time.Duration
}

func (w window) now() bool { return time.Since(w.begin)%(w.on+w.off) < w.on }

// start serves the runner and sends its heartbeats until ctx ends.
func (r *runner) start(ctx context.Context, controls []string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.startedMS = time.Now().UnixMilli()
	srv := &http.Server{Handler: r}
	go srv.Serve(l)
	context.AfterFunc(ctx, func() { srv.Close() })
	go announce(ctx, r.record, r.id, controls, r.heartbeat)
	return nil
}

func (r *runner) heartbeat() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": r.sequence, "born": r.startedMS,
	}
}

// ServeHTTP runs one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("Oleanderrack-Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Oleanderrack-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Oleanderrack-Request-Id")
	w.Header().Set("Oleanderrack-Request-Id", id)
	io.Copy(io.Discard, req.Body)
	if id == "" || !r.take(id, req.Header.Get("Review-Order")) {
		w.Header().Set("Oleanderrack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	w.Header().Set("Oleanderrack-Response-Signature", "sig."+r.id+"."+id)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	how := sound
	if r.spoil != nil {
		how = r.spoil(req, last)
	}
	if how != sound {
		r.record.add("runner %s: spoils the answer to %s after event %d, variant %d", r.id, id, last, how)
	}
	switch {
	case how == endless:
		r.writeEndless(w, id)
	case how == longFailure:
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, strings.Repeat("failure ", longFailureBytes/8))
	case how == tooMany:
		time.Sleep(readWork)
		w.WriteHeader(http.StatusTooManyRequests)
	case req.Header.Get("Oleanderrack-Token-Counts") != "":
		r.stream(w, req, last, how)
	default:
		time.Sleep(readWork)
		fmt.Fprintf(w, "done %s", id)
	}
}

// take begins a run, unless all slots are taken.
func (r *runner) take(id, order string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= slots {
		return false
	}
	r.running++
	r.arrivals++
	r.ran[id] = true
	if order != "" {
		r.orders[order]++
		r.record.add("runner %s: runs request %s for order %s", r.id, id, order)
	}
	return true
}

func (r *runner) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *runner) takeRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.arrivals
	r.arrivals = 0
	return n
}

// stream writes the events after the last one that the client has.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, last int, how spoiling) {
	_, tokens, _ := strings.Cut(req.Header.Get("Oleanderrack-Token-Counts"), ",")
	most, _ := strconv.Atoi(tokens)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= most/5; i++ {
		if !sleep(req.Context(), eventPause) {
			return
		}
		if how == brokenOff && i == most/10 {
			fmt.Fprintf(w, "id: %d\nda", i)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 60))
		w.(http.Flusher).Flush()
	}
}

// writeEndless writes bytes that are no answer until the caller closes.
func (r *runner) writeEndless(w http.ResponseWriter, id string) {
	w.WriteHeader(http.StatusInternalServerError)
	// At the speed of the runner's link, and bounded.
	block := []byte(strings.Repeat("no answer ", 1000))
	for n := 0; n < 64<<20; n += len(block) {
		time.Sleep(4 * time.Millisecond)
		if _, err := w.Write(block); err != nil {
			r.record.add("runner %s: the caller of %s has closed after about %d bytes", r.id, id, n)
			panic(http.ErrAbortHandler)
		}
	}
}

// addRunners adds the machines of count runners, spread over the zones.
func (f *fleet) addRunners(service string, count int) []*runner {
	var list []*runner
	for i := range count {
		m := f.addSide(i % 3)
		list = append(list, &runner{record: f.record, service: service, id: fmt.Sprintf("i-%s-%d", service, i), address: m.app, zone: m.zone, orders: map[string]int{}, ran: map[string]bool{}})
	}
	return list
}

// startPlain starts a deployment with runners that belong to no group, and returns
// its operator once all entries are ready.
func (f *fleet) startPlain(ctx context.Context, runners []*runner) (*operator, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for _, r := range runners {
		if err := r.start(ctx, f.controls()); err != nil {
			return nil, err
		}
	}
	o := newOperator(f.record, f.controls())
	if err := o.configure(ctx, configuration(nil)); err != nil {
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, 3*time.Second) // until all runners have announced themselves
	f.record.add("traffic begins")
	return o, nil
}
