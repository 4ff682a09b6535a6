package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// PlainConfig configures a plain service. Zero values get defaults.
type PlainConfig struct {
	Name          string
	Service       string
	Listen        string
	Agent         string
	MaxConcurrent uint32
	// Delay is the duration of one execution.
	Delay            time.Duration
	AnnounceInterval time.Duration
}

// Plain is a stand-in for a plain service. It accepts any path; the query
// parameter bytes sets the size of the response body.
type Plain struct {
	cfg     PlainConfig
	process process

	mu          sync.Mutex
	incarnation uint64
	running     uint32
	control     PlainControl
	record      PlainRecord
}

// PlainControl changes the behavior of a plain service. It replaces the previous
// one; each count is decremented when it is used.
type PlainControl struct {
	DelayMS int64 `json:"delay_ms"`
	// ResetConnections is the number of requests whose connection is closed
	// before execution.
	ResetConnections int `json:"reset"`
	// DropAnswers is the number of requests that are executed, but whose
	// connection is closed without an answer.
	DropAnswers int `json:"lose"`
	// TruncateAnswers is the number of requests that are executed, but whose
	// connection is closed after half of the answer.
	TruncateAnswers int `json:"cut"`
	// UnframedAnswers is the number of requests that are answered with neither a
	// length nor chunks, and CrashAnswers the number of those in the middle of which
	// the service ends.
	UnframedAnswers int `json:"unframed"`
	CrashAnswers    int `json:"crash"`
	// SwapRequestIDs is the number of requests that are answered with the id of
	// another request.
	SwapRequestIDs int `json:"swap"`
	// RawAnswers is the number of requests that are executed and answered with the
	// bytes of RawAnswer, before the connection is closed.
	RawAnswers int    `json:"raw"`
	RawAnswer  string `json:"raw_answer"`
	// ResetUploads is the number of requests whose connection is reset after ResetPart
	// of an answer without a length, before their body is read. They are executed.
	ResetUploads int  `json:"reset_uploads"`
	Leaving      bool `json:"leaving"`
}

// ResetPart is the part of the body that precedes a reset.
const ResetPart = "part"

// resetUploadDelay is long enough for an upload to fill the buffers of its connection.
const resetUploadDelay = 20 * time.Millisecond

const headerIdempotencyKey = "Idempotency-Key"

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
	mux.HandleFunc("POST /control", p.handleControl)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Record()) })
	mux.HandleFunc("/", p.handleRequest)
	p.process = process{ctx: ctx, agent: cfg.Agent, interval: cfg.AnnounceInterval, handler: mux}
	if err := p.process.start(cfg.Listen); err != nil {
		return nil, err
	}
	go p.process.announce(p.announcement)
	return p, nil
}

// Address returns the service's host:port.
func (p *Plain) Address() string { return p.process.address }

// Record returns what the service received and ran.
func (p *Plain) Record() PlainRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.copy()
}

// Apply replaces the control settings.
func (p *Plain) Apply(c PlainControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
}

func (p *Plain) handleControl(w http.ResponseWriter, r *http.Request) {
	var c PlainControl
	if err := readJSON(r, &c); err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
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
		Address: p.process.address, MaxConcurrent: p.cfg.MaxConcurrent, ColdConcurrent: p.cfg.MaxConcurrent,
		Temperature: engine.TemperatureWarm, Leaving: p.control.Leaving,
		Load: engine.Load{Running: p.running},
	}, true
}

// consume decrements a count and reports whether it was positive.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

type plainAnswer struct {
	Path      string `json:"path"`
	Key       string `json:"key"`
	Execution int    `json:"execution"`
	BodyBytes int    `json:"body_bytes"`
}

// requestPlan determines how one request is handled.
type requestPlan struct {
	delay                         time.Duration
	reset, drop, truncate, swapID bool
	unframed, crash               bool
	refused                       bool
	raw                           string
}

func (p *Plain) handleRequest(w http.ResponseWriter, r *http.Request) {
	if p.resetsUpload() {
		p.execute(r.Header.Get(headerIdempotencyKey), r.Method+" "+r.URL.Path)
		resetUpload(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	plan := p.admit()
	if plan.refused {
		writeError(w, http.StatusServiceUnavailable, "service has crashed")
		return
	}
	defer p.release()
	if plan.reset {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get(headerIdempotencyKey)
	execution := p.execute(key, r.Method+" "+r.URL.Path)
	if plan.delay > 0 {
		time.Sleep(plan.delay)
	}
	if plan.drop {
		panic(http.ErrAbortHandler)
	}
	if plan.raw != "" {
		writeRaw(w, plan.raw)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if plan.swapID {
		id = "another-request"
	}
	w.Header().Set(engine.HeaderRequestID, id)
	p.writeAnswer(w, r, plan, plainAnswer{Path: r.URL.Path, Key: key, Execution: execution, BodyBytes: len(body)})
}

// admit counts a request and returns its plan. The service crashes if the request
// exceeds its limit.
func (p *Plain) admit() requestPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Received++
	if p.running >= p.cfg.MaxConcurrent && p.record.CrashReason == "" {
		p.record.CrashReason = fmt.Sprintf("held %d requests, limit is %d", p.running+1, p.cfg.MaxConcurrent)
	}
	if p.record.CrashReason != "" {
		return requestPlan{refused: true}
	}
	p.running++
	p.record.MaxInFlight = max(p.record.MaxInFlight, p.running)
	p.record.LastAccepted = time.Now()
	plan := requestPlan{delay: time.Duration(p.control.DelayMS) * time.Millisecond}
	switch {
	case consume(&p.control.ResetConnections):
		p.record.Resets++
		plan.reset = true
	case consume(&p.control.DropAnswers):
		p.record.DroppedAnswers++
		plan.drop = true
	case consume(&p.control.TruncateAnswers):
		plan.truncate = true
	case consume(&p.control.UnframedAnswers):
		plan.unframed, plan.crash = true, consume(&p.control.CrashAnswers)
	case consume(&p.control.SwapRequestIDs):
		plan.swapID = true
	case consume(&p.control.RawAnswers):
		plan.raw = p.control.RawAnswer
	}
	return plan
}

// resetsUpload reports whether the connection of a request is reset during its upload.
func (p *Plain) resetsUpload() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !consume(&p.control.ResetUploads) {
		return false
	}
	p.record.Received++
	p.record.Resets++
	return true
}

func (p *Plain) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// execute records one execution and returns the number of executions for the
// key.
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

func (p *Plain) writeAnswer(w http.ResponseWriter, r *http.Request, plan requestPlan, a plainAnswer) {
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	if plan.unframed {
		p.writeUnframed(w, max(size, 2), plan.crash)
	} else if size <= 0 && !plan.truncate {
		writeJSON(w, http.StatusOK, a)
	} else {
		size = min(max(size, 2), maxBodyBytes)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		send := size
		if plan.truncate {
			send = size / 2
		}
		w.Write(patternBytes(send))
		if plan.truncate {
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	p.mu.Lock()
	p.record.Answered++
	p.mu.Unlock()
}

// writeUnframed writes an answer that ends with its connection, or half of it before
// the service ends.
func (p *Plain) writeUnframed(w http.ResponseWriter, size int, crash bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
	w.Header().Write(conn)
	fmt.Fprint(conn, "\r\n")
	if crash {
		size /= 2
	}
	conn.Write(patternBytes(size))
	if crash {
		conn.Close()
		p.process.terminate()
	}
}

// writeRaw writes bytes in place of an answer and closes the connection.
func writeRaw(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	io.WriteString(conn, answer)
}

// resetUpload writes a part of an answer that ends with its connection, and resets it.
func resetUpload(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+ResetPart)
	time.Sleep(resetUploadDelay)
	conn.(*net.TCPConn).SetLinger(0)
}

// patternBytes returns n bytes of a repeating pattern.
func patternBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + i%26)
	}
	return b
}
