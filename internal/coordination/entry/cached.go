package entry

import (
	"encoding/json"

	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// cachedTokens returns the number of cached prompt tokens that an event of a
// stream reports. Engines that report none are no evidence.
func cachedTokens(event []byte) (tokens uint64, ok bool) {
	var chunk struct {
		Engine struct {
			CachedTokens *uint64 `json:"cached_tokens"`
		} `json:"engine"`
	}
	if json.Unmarshal(event, &chunk) != nil || chunk.Engine.CachedTokens == nil {
		return 0, false
	}
	return *chunk.Engine.CachedTokens, true
}

// recordCached passes the cached tokens that the first event of a stream reports
// to the view. A resumed stream is left out, since its prompt was read before.
func (d *delivery) recordCached(event []byte) {
	a := d.request
	if d.cachedRead || a.prefix == nil || a.sent.tokens > 0 {
		return
	}
	d.cachedRead = true
	if tokens, ok := cachedTokens(event); ok {
		a.role.recordCached(d.choice, a.req.Service.Name, tokens)
	}
}

func (r *Role) recordCached(c routing.Choice, service string, tokens uint64) {
	// The number comes from a backend server; a wrong one must not wrap the counter.
	r.scope.Counter("prefix_tokens_saved").Inc(int64(min(tokens, 1<<32)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RecordCached(c, service, tokens)
}

// recordPrompts passes what other entries have sent to a backend server to the view.
func (r *Role) recordPrompts(c routing.Choice, recent *peer.RecentPrompts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.RecordPrompts(c, recent)
}
