/*
Package standin holds small HTTP stand-ins for backend servers: a model engine
and a plain service. They serve tests, measurements and the dev role.

# Model engine

An [Engine] runs completions in fake steps with continuous batching. The
tokens of an answer depend on the prompt alone, so an answer that one engine
began can be continued on another byte for byte. It holds tokens in a limited
memory, keeps prompt prefixes in a cache, starts cold and warms up with the
steps it runs.

It crashes, as real engines do, when it gets more than it can handle: a
request beyond its cold or warm capacity, or more tokens than its memory. From
then on it refuses everything, and its record says why. An engine that turned
cold is limited by its cold capacity one cold step after it wrote the first
figure of a step made since, because before that nobody can know; without such
a figure, the time since that step limits it.

# Plain service

A [Plain] takes any path and counts executions for each idempotency key. It
can be told to delay, to reset connections and to lose answers.

# Use

Both announce themselves to an agent once a second, take changes by POST
/control and give what they received and ran at GET /record:

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

// host runs the HTTP server and the announcements of a stand-in. It can die
// and come back on the same address.
type host struct {
	ctx     context.Context
	agent   string
	every   time.Duration
	address string
	handler http.Handler
	client  *http.Client

	mu     sync.Mutex
	server *http.Server
	// done is closed when the server that runs has ended.
	done chan struct{}
}

// start opens the listener and serves until ctx ends.
func (h *host) start(listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	h.address = l.Addr().String()
	h.client = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	h.serve(l)
	return nil
}

func (h *host) serve(l net.Listener) {
	srv := &http.Server{Handler: h.handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan struct{})
	h.mu.Lock()
	h.server, h.done = srv, done
	h.mu.Unlock()
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	go func() {
		select {
		case <-h.ctx.Done():
			srv.Close()
		case <-done:
		}
	}()
}

// kill closes the listener and all connections, as the end of a process does.
func (h *host) kill() {
	h.mu.Lock()
	srv, done := h.server, h.done
	h.mu.Unlock()
	srv.Close()
	<-done
}

// revive listens on the old address again.
func (h *host) revive() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return errors.Wrap(err, "standin: listen again")
	}
	h.serve(l)
	return nil
}

// announce sends one announcement after another until ctx ends.
func (h *host) announce(make func() (engine.Announcement, bool)) {
	ticker := time.NewTicker(h.every)
	defer ticker.Stop()
	for {
		if a, ok := make(); ok && h.agent != "" {
			h.sendAnnouncement(a)
		}
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *host) sendAnnouncement(a engine.Announcement) {
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, "http://"+h.agent+"/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err == nil {
		io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
		resp.Body.Close()
	}
}

// problem is the body of an error answer.
type problem struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, problem{Error: fmt.Sprintf(format, args...)})
}

func readJSON(r *http.Request, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
}
