package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// TestCachedTokens guards against reports of cached tokens that are ignored,
// against invalid ones and those of another process being believed, and against
// an effect where none are reported.
func TestCachedTokens(t *testing.T) {
	tests := map[string]struct {
		name    string // of the header
		headers string
		parts   string
		want    map[string]int64
	}{
		"reported":           {"X-Cached", signed + "X-Cached: 800\r\n", "a:800,b:200", map[string]int64{"prefix_tokens_saved": 2400, "prefix_tokens_expected": 800, "followed": 1}},
		"nothing cached":     {"X-Cached", signed + "X-Cached: 0\r\n", "a:800,b:200", map[string]int64{"prefix_tokens_saved": 0}},
		"no parts":           {"X-Cached", signed + "X-Cached: 800\r\n", "", map[string]int64{"prefix_tokens_saved": 2400}},
		"invalid":            {"X-Cached", signed + "X-Cached: -8\r\n", "a:800,b:200", map[string]int64{}},
		"too large":          {"X-Cached", signed + "X-Cached: 99999999999\r\n", "a:800,b:200", map[string]int64{}},
		"without signature":  {"X-Cached", "X-Cached: 800\r\n", "a:800,b:200", map[string]int64{}},
		"not reported":       {"X-Cached", signed, "a:800,b:200", map[string]int64{}},
		"header without use": {"", signed + "X-Cached: 800\r\n", "a:800,b:200", map[string]int64{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(c net.Conn, r *http.Request) bool { return reply(c, r, 200, test.headers, "done") })
			s := newTestGateway(t, server)
			s.gateway.cfg.HeaderNames.CachedTokens = test.name
			v := *s.gateway.view
			c := v.Index.Catalog
			c.Services = []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: 8, MemoryTokens: 100_000, PrefillTokensPerSecond: 1000}}}
			v.Index = catalog.NewIndex(c)
			s.gateway.Update(&v)
			for range 3 {
				s.send(t, "POST", "/once/1", "", "X-Prompt", test.parts)
			}
			got := map[string]int64{}
			for _, counter := range s.scope.Snapshot().Counters() {
				switch counter.Name() {
				case "prefix_tokens_saved", "prefix_tokens_expected":
					// The expectation falls with the age of the prefix, by less than ten tokens
					// in 0.3 s.
					got[counter.Name()] = (counter.Value() + 9) / 10 * 10
				case "prefix_decisions":
					got[counter.Tags()["reason"]] = counter.Value()
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
