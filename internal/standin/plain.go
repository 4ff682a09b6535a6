package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// PlainConfig describes a plain service. Zero values get defaults.
type PlainConfig struct {
	Name          string
	Service       string
	Listen        string
	Agent         string
	MaxConcurrent uint32
	// Delay is the time of one execution.
	Delay            time.Duration
	AnnounceInterval time.Duration
}

// Plain is a stand-in for a plain service. Any path is executed; the query
// parameter bytes asks for a body of that size.
type Plain struct {
	cfg  PlainConfig
	host host

	mu          sync.Mutex
	incarnation uint64
	running     uint32
	control     PlainControl
	record      PlainRecord
}

// PlainControl changes how a plain service behaves. It replaces the setting
// before it; counts go down by one with each use.
type PlainControl struct {
	DelayMS int64 `json:"delay_ms"`
	// ResetConnections closes so many connections before the request is executed.
	ResetConnections int `json:"reset"`
	// DropAnswers executes so many requests and closes the connection without an
	// answer.
	DropAnswers int `json:"lose"`
	// TruncateAnswers executes so many requests and breaks off the answer half way.
	TruncateAnswers int `json:"cut"`
	// SwapRequestIDs answers so many requests with the id of another one.
	SwapRequestIDs int  `json:"swap"`
	Leaving        bool `json:"leaving"`
}

// headerKey names the idempotency key.
const headerKey = "Idempotency-Key"

// StartPlain starts a plain service that runs until ctx ends.
func StartPlain(ctx context.Context, cfg PlainConfig) (*Plain, error) {
	setDefault(&cfg.Name, "plain-1")
	setDefault(&cfg.Service, "order-desk")
	setDefault(&cfg.Listen, "127.0.0.1:0")
	setDefault(&cfg.MaxConcurrent, 32)
	setDefault(&cfg.AnnounceInterval, DefaultAnnounceInterval)
	p := &Plain{cfg: cfg, incarnation: rand.Uint64() | 1}
	p.control.DelayMS = cfg.Delay.Milliseconds()
	p.record = PlainRecord{Name: cfg.Name, Incarnation: p.incarnation, Executions: map[string]int{}, Paths: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", p.change)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Record()) })
	mux.HandleFunc("/", p.serve)
	p.host = host{ctx: ctx, agent: cfg.Agent, every: cfg.AnnounceInterval, handler: mux}
	if err := p.host.start(cfg.Listen); err != nil {
		return nil, err
	}
	go p.host.announce(p.announcement)
	return p, nil
}

// Address returns host:port of the service.
func (p *Plain) Address() string { return p.host.address }

// Record returns what the service received and ran.
func (p *Plain) Record() PlainRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.copy()
}

// Apply changes how the service behaves.
func (p *Plain) Apply(c PlainControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
}

func (p *Plain) change(w http.ResponseWriter, r *http.Request) {
	var c PlainControl
	if err := readJSON(r, &c); err != nil {
		writeProblem(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	p.Apply(c)
	writeJSON(w, http.StatusOK, p.Record())
}

func (p *Plain) announcement() (engine.Announcement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return engine.Announcement{
		Name: p.cfg.Name, Incarnation: p.incarnation, Service: p.cfg.Service, Kind: engine.KindPlain,
		Address: p.host.address, MaxConcurrent: p.cfg.MaxConcurrent, ColdConcurrent: p.cfg.MaxConcurrent,
		Temperature: engine.TemperatureWarm, Leaving: p.control.Leaving,
		Load: engine.Load{Running: p.running},
	}, true
}

// use takes one from a count.
func use(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// plainAnswer is the body of an answer.
type plainAnswer struct {
	Path      string `json:"path"`
	Key       string `json:"key"`
	Execution int    `json:"execution"`
	BodyBytes int    `json:"body_bytes"`
}

// plan is what happens to one request.
type plan struct {
	delay                  time.Duration
	reset, lose, cut, swap bool
	refused                bool
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	todo := p.enter()
	if todo.refused {
		writeProblem(w, http.StatusServiceUnavailable, "service has crashed")
		return
	}
	defer p.leave()
	if todo.reset {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get(headerKey)
	execution := p.execute(key, r.Method+" "+r.URL.Path)
	if todo.delay > 0 {
		time.Sleep(todo.delay)
	}
	if todo.lose {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if todo.swap {
		id = "another-request"
	}
	w.Header().Set(engine.HeaderRequestID, id)
	p.answer(w, r, todo, plainAnswer{Path: r.URL.Path, Key: key, Execution: execution, BodyBytes: len(body)})
}

// enter counts a request in and plans its course.
func (p *Plain) enter() plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Received++
	if p.running >= p.cfg.MaxConcurrent && p.record.CrashReason == "" {
		p.record.CrashReason = fmt.Sprintf("held %d requests, could handle %d", p.running+1, p.cfg.MaxConcurrent)
	}
	if p.record.CrashReason != "" {
		return plan{refused: true}
	}
	p.running++
	p.record.MaxInFlight = max(p.record.MaxInFlight, p.running)
	p.record.LastAccepted = time.Now()
	todo := plan{delay: time.Duration(p.control.DelayMS) * time.Millisecond}
	switch {
	case use(&p.control.ResetConnections):
		p.record.Resets++
		todo.reset = true
	case use(&p.control.DropAnswers):
		p.record.DroppedAnswers++
		todo.lose = true
	case use(&p.control.TruncateAnswers):
		todo.cut = true
	case use(&p.control.SwapRequestIDs):
		todo.swap = true
	}
	return todo
}

func (p *Plain) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// execute counts one execution and returns its number for the key.
func (p *Plain) execute(key, path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Ran++
	if len(p.record.Paths) < maxRecorded {
		p.record.Paths[path]++
	}
	if key == "" || len(p.record.Executions) >= maxRecorded {
		return 1
	}
	p.record.Executions[key]++
	return p.record.Executions[key]
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, todo plan, a plainAnswer) {
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	if size <= 0 && !todo.cut {
		writeJSON(w, http.StatusOK, a)
	} else {
		size = min(max(size, 2), maxBodyBytes)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		send := size
		if todo.cut {
			send = size / 2
		}
		w.Write(fill(send))
		if todo.cut {
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	p.mu.Lock()
	p.record.Answered++
	p.mu.Unlock()
}

// fill returns n bytes of a fixed pattern.
func fill(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + i%26)
	}
	return b
}
