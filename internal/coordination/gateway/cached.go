package gateway

import (
	"strconv"

	"oleanderrack.example/oleanderrack/internal/coordination/prefix"
)

// recordPrefix counts how a cached prefix affected the choice of this attempt.
// Without a backend server that may hold one, nothing is counted.
func (a *attempt) recordPrefix() {
	use := a.assigned.Prefix
	if use.Outcome == prefix.Unknown {
		return
	}
	m := a.call.gateway.metrics
	m.count("prefix_decisions", use.Outcome.String())
	m.scope.Counter("prefix_tokens_expected").Inc(int64(use.ExpectedTokens))
}

// recordCached passes the number of cached prompt tokens that a backend server
// reports, if it does, to the pool.
func (a *attempt) recordCached(value string) {
	if value == "" {
		return
	}
	// 32 bits are more than any prompt has.
	tokens, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return
	}
	g := a.call.gateway
	g.metrics.scope.Counter("prefix_tokens_saved").Inc(int64(tokens))
	g.mu.Lock()
	first := g.pool.RecordCachedTokens(a.call.service, a.assigned, float64(tokens))
	g.mu.Unlock()
	if first {
		g.log.Info("backend servers keep prompts", "service", a.call.service, "backend_server", a.assigned.Server.ID, "cached_tokens", tokens)
	}
}
