/*
Package standin provides small HTTP stand-ins for backend servers: a model
engine and a plain service. They are used by tests, measurements and the dev
role.

# Model engine

An [Engine] runs completions in simulated steps with continuous batching. The
tokens of an answer depend on the prompt alone, so an answer that was started on
one engine can be continued byte for byte on another. The engine has a limited
memory for tokens and a prefix cache. It starts cold and warms up with the steps
that it runs.

Like a real engine, it crashes when it is overloaded: by a request beyond its
cold or warm capacity, or by more tokens than fit in its memory. From then on it
refuses all requests, and its record holds the reason. After a transition to
cold, the cold capacity applies one cold step after the engine has written the
first statistics of a later step, because clients cannot detect the transition
before. Without such statistics, it applies 250 ms or eight warm steps after that
step, whichever is longer. Both times are extended by the request latency.

# Plain service

A [Plain] accepts any path and counts executions for each idempotency key. It
can be configured to delay requests, reset connections and drop answers.

# Use

Both announce themselves to an agent once per second, accept changes by POST
/control and return what they received and ran by GET /record:

	e, err := standin.StartEngine(ctx, standin.EngineConfig{Name: "pool-1", Agent: agent, ...})
	...
	fmt.Println(e.Record().CrashReason)
*/
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// Defaults of the stand-ins.
const (
	DefaultStepTime         = 20 * time.Millisecond
	DefaultAnnounceInterval = time.Second
	maxBodyBytes            = 16 << 20
	announceTimeout         = 2 * time.Second
)

// process runs the HTTP server and the announcements of a stand-in. It can be
// terminated and restarted on the same address.
type process struct {
	ctx      context.Context
	agent    string
	interval time.Duration
	address  string
	handler  http.Handler
	client   *http.Client

	mu     sync.Mutex
	server *http.Server
	// done is closed when the current server has ended.
	done chan struct{}
}

// start opens the listener and serves until ctx ends.
func (p *process) start(listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	p.address = l.Addr().String()
	p.client = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	p.serve(l)
	return nil
}

func (p *process) serve(l net.Listener) {
	srv := &http.Server{Handler: p.handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan struct{})
	p.mu.Lock()
	p.server, p.done = srv, done
	p.mu.Unlock()
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	go func() {
		select {
		case <-p.ctx.Done():
			srv.Close()
		case <-done:
		}
	}()
}

// terminate closes the listener and all connections, as when a process exits.
func (p *process) terminate() {
	p.mu.Lock()
	srv, done := p.server, p.done
	p.mu.Unlock()
	srv.Close()
	<-done
}

// restart listens on the previous address again.
func (p *process) restart() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "standin: listen after restart")
	}
	p.serve(l)
	return nil
}

// announce sends an announcement at each interval until ctx ends.
func (p *process) announce(make func() (engine.Announcement, bool)) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		if a, ok := make(); ok && p.agent != "" {
			p.sendAnnouncement(a)
		}
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *process) sendAnnouncement(a engine.Announcement) {
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+p.agent+"/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err == nil {
		io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
		resp.Body.Close()
	}
}

type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

func readJSON(r *http.Request, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
}
