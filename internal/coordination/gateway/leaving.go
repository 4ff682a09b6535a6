package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/pool"
)

// noteLeaving passes on to the pool that an answer says that its backend server is
// leaving.
func (a *attempt) noteLeaving(status int, header http.Header) {
	g, server := a.call.gateway, a.assigned.Server
	if header.Get(g.cfg.HeaderNames.Leaving) != "1" {
		return
	}
	g.mu.Lock()
	isNew := g.pool.MarkLeaving(time.Now(), server.ID, server.StartedMS)
	g.deliverDecisions()
	g.mu.Unlock()
	if isNew {
		g.metrics.count("backend_servers_leaving", "answer")
		g.log.Info("backend server says that it is leaving", "backend_server", server.ID, "born_ms", server.StartedMS, "request_id", a.call.id,
			"status", status, "announced_draining", server.Draining, "sequence", server.Sequence)
	}
}

// noteRetryAfter passes on to the pool that a backend server that turned a request
// away wants none for some time.
func (a *attempt) noteRetryAfter(status int, header http.Header) {
	values := header.Values("Retry-After")
	if status != http.StatusServiceUnavailable || len(values) == 0 {
		return
	}
	g, server := a.call.gateway, a.assigned.Server
	length, ok := parseRetryAfter(values)
	if !ok {
		g.metrics.count("retry_after_ignored", "unreadable")
		text := strings.Join(values, ",")
		g.log.Info("Retry-After of a backend server is ignored", "backend_server", server.ID, "request_id", a.call.id, "values", text[:min(maxLoggedValue, len(text))])
		return
	}
	g.mu.Lock()
	isNew := g.pool.Close(time.Now(), server.ID, server.StartedMS, length)
	g.deliverDecisions()
	g.mu.Unlock()
	if isNew {
		g.metrics.count("backend_servers_closed", "retry_after")
		g.log.Info("backend server wants no requests", "backend_server", server.ID, "born_ms", server.StartedMS, "request_id", a.call.id,
			"retry_after_ms", length.Milliseconds(), "capped", length > pool.MaxClosed, "running", a.assigned.Running)
	}
}

// isClosed reports whether a backend server wants no requests now.
func (g *Gateway) isClosed(server follower.Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.IsClosed(time.Now(), server.ID, server.StartedMS)
}

// maxLoggedValue bounds the bytes of a header value in a log line.
const maxLoggedValue = 64

// parseRetryAfter returns the longest of the times in values of a Retry-After header.
// A time is a number of seconds, possibly with a fraction. Dates, as in
// https://www.rfc-editor.org/rfc/rfc9110#field.retry-after, are not accepted: the
// clocks of hosts differ by seconds.
func parseRetryAfter(values []string) (longest time.Duration, ok bool) {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			seconds, err := strconv.ParseFloat(part, 64)
			if strings.Trim(part, "0123456789.") != "" || (err != nil && !errors.Is(err, strconv.ErrRange)) {
				continue
			}
			// More does not fit into a time.Duration, and the pool takes less.
			seconds = min(seconds, 2*pool.MaxClosed.Seconds())
			longest, ok = max(longest, time.Duration(seconds*float64(time.Second))), true
		}
	}
	return longest, ok
}
