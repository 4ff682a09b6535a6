package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
)

const (
	// soundEvents is the number of events after which the answer of a stream does
	// not crash its backend server any more. One that does ends it within a pass
	// or two.
	soundEvents = 8
	// endingMaxAge is how long the result is used that a backend server has ended.
	// Then another incarnation may have started at the address.
	endingMaxAge = time.Second
	// acceptedMaxAge is how long the result is used that it has not: the
	// connections of a stalled group break within a few milliseconds.
	acceptedMaxAge = 50 * time.Millisecond
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
)

// ending is a check whether a backend server has ended or has only broken a
// connection.
type ending struct {
	begun time.Time
	done  chan struct{} // closed with the result
	ended bool
}

// isUsable reports whether the result holds, or will, for a connection that broke
// now.
func (e *ending) isUsable(now time.Time) bool {
	select {
	case <-e.done:
	default:
		return true
	}
	if e.ended {
		return now.Sub(e.begun) < endingMaxAge
	}
	return now.Sub(e.begun) < acceptedMaxAge
}

// checkEnded checks whether the backend server has ended, after an attempt whose
// connection broke before its answer had got far.
func (a *attempt) checkEnded() {
	if a.sound || len(a.call.parts) == 0 {
		return
	}
	g := a.call.gateway
	server := quarantine.Incarnation{ID: a.assigned.Server.ID, StartedMS: a.assigned.Server.StartedMS}
	if g.isLeaving(server, a.assigned.Server.Address) || !g.hasEnded(a.call.request.Context(), server, a.assigned.Server.Address) {
		return
	}
	g.metrics.count("backend_servers_ended", "with_prompt")
	g.log.Info("backend server has ended", "backend_server", server.ID, "born_ms", server.StartedMS, "request_id", a.call.id,
		"prompt_parts", loggedParts(a.call.parts), "prompt_parts_count", len(a.call.parts), "events", a.events, "running", a.assigned.Running, "cold", a.assigned.Cold, "held_ms", time.Since(a.started).Milliseconds())
	for _, s := range g.guard.AddCrash(time.Now(), server, a.call.parts) {
		g.metrics.count("parts_quarantined", "own_evidence")
		g.log.Warn("part of prompts quarantined", "prompt_part", s.Part, "crashes", s.Crashes, "occasions", s.Occasions,
			"first_crash", s.First, "last_crash", s.Last, "last_sound", s.LastSound, "request_id", a.call.id)
	}
}

// errEndedWithServer says that an answer that ends with its connection may be
// incomplete, since nothing shows that its backend server has outlived it.
var errEndedWithServer = errors.New("the answer ended with its connection, and perhaps with its backend server")

const (
	// repeatableCheckTimeout bounds the wait for an answer of a witness if the request
	// may be repeated, which costs little. finalCheckTimeout does so if it may not: the
	// caller then gets a broken answer, so a busy backend server has time to answer.
	// Callers leave a silent stream after two seconds or more.
	repeatableCheckTimeout = 100 * time.Millisecond
	finalCheckTimeout      = time.Second
)

// isComplete decides whether an answer that has ended with its connection is complete.
// A crash looks the same, so its backend server has to be seen afterwards. That it had
// announced its end does not help: it may be taken away in the middle of its answers.
func isComplete(p backend.Presence) bool { return p == backend.Serving }

// checkComplete returns an error if an answer that was read to its end may be
// incomplete.
func (a *attempt) checkComplete(res *backend.Response) error {
	if !res.EndsWithConnection {
		return nil
	}
	g, server, repeatable := a.call.gateway, a.assigned.Server, a.call.mayRepeat()
	timeout, path := repeatableCheckTimeout, g.healthCheck(a.call.service)
	if !repeatable {
		timeout = finalCheckTimeout
	}
	begin := time.Now()
	first, health := a.consult(a.witness, timeout, path)
	presence := first
	if first == backend.Lost {
		second := g.client.Watch(a.ctx, server.Address)
		defer second.Close()
		presence, health = a.consult(second, timeout, path)
	}
	leaving := g.isLeaving(quarantine.Incarnation{ID: server.ID, StartedMS: server.StartedMS}, server.Address)
	complete := isComplete(presence)
	g.metrics.count("answers_without_length", completeness(complete))
	g.log.Info("answer without a length ended", "request_id", a.call.id, "backend_server", server.ID, "born_ms", server.StartedMS,
		"complete", complete, "events", a.events, "last_event", a.call.stream.lastID, "repeatable", repeatable, "leaving", leaving,
		"first_witness", first.String(), "presence", presence.String(), "health_status", health.Status,
		"held_ms", begin.Sub(a.started).Milliseconds(), "check_ms", time.Since(begin).Milliseconds())
	if complete {
		return nil
	}
	return errEndedWithServer
}

// consult asks a witness. A backend server that wants no requests gets no health check
// either; its open connection has to be enough, as it is without a health check.
func (a *attempt) consult(w *backend.Witness, timeout time.Duration, healthCheck string) (backend.Presence, backend.HealthAnswer) {
	g, server := a.call.gateway, a.assigned.Server
	if healthCheck == "" || g.isClosed(server) {
		return w.CheckConnection(a.ctx), backend.HealthAnswer{}
	}
	presence, health := w.Check(a.ctx, timeout, healthCheck, server.ID)
	a.noteBroken(health.Err)
	if presence == backend.Serving {
		a.noteLeaving(health.Status, health.Header)
		a.noteRetryAfter(health.Status, health.Header)
	}
	return presence, health
}

func completeness(complete bool) string {
	if complete {
		return "complete"
	}
	return "incomplete"
}

// healthCheck returns the path of a service's health check, or "".
func (g *Gateway) healthCheck(service string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.view.Index.Service(service); ok {
		return s.HealthCheck
	}
	return ""
}

// recordSound records that the answer has got far, which clears the parts of the
// prompt.
func (a *attempt) recordSound() {
	if a.sound {
		return
	}
	a.sound = true
	a.call.gateway.guard.AddSound(time.Now(), a.call.parts)
}

// isLeaving reports whether a backend server has announced that it will end, in its
// announcements or its answers, or is listed no more without a successor.
func (g *Gateway) isLeaving(server quarantine.Incarnation, address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool.IsLeaving(server.ID, server.StartedMS) {
		return true
	}
	for _, s := range g.view.Servers {
		if s.ID == server.ID && s.StartedMS == server.StartedMS {
			return s.Draining
		}
	}
	return !slices.ContainsFunc(g.view.Servers, func(s follower.Server) bool { return s.Address == address || s.ID == server.ID })
}

// hasEnded checks whether an incarnation has ended. Attempts whose connections break
// at the same time share one check.
func (g *Gateway) hasEnded(ctx context.Context, server quarantine.Incarnation, address string) bool {
	now := time.Now()
	g.mu.Lock()
	check := g.endings[server]
	if check == nil || !check.isUsable(now) {
		check = &ending{begun: now, done: make(chan struct{})}
		g.endings[server] = check
		g.mu.Unlock()
		check.ended = g.client.HasEnded(context.WithoutCancel(ctx), address)
		close(check.done)
		return check.ended
	}
	g.mu.Unlock()
	select {
	case <-check.done:
		return check.ended
	case <-ctx.Done():
		return false
	}
}

// forgetEndings removes results that are too old.
func (g *Gateway) forgetEndings(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for server, check := range g.endings {
		if now.Sub(check.begun) > endingMaxAge {
			delete(g.endings, server)
		}
	}
}

func loggedParts(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }
