package runner

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// brokenAnswers are answers of backend servers that break the grammar of HTTP, with the
// part in which they do.
var brokenAnswers = map[string]struct{ text, part string }{
	"status 000":                    {"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nspam", "status_line"},
	"status 000, without a body":    {"HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", "status_line"},
	"status 700":                    {"HTTP/1.1 700 X\r\nContent-Length: 4\r\n\r\nspam", "status_line"},
	"blank in a name":               {"HTTP/1.1 200 X\r\nX Note: a\r\nContent-Length: 4\r\n\r\nspam", "field_name"},
	"control byte in a name":        {"HTTP/1.1 200 X\r\nX\x01Note: a\r\nContent-Length: 4\r\n\r\nspam", "field_name"},
	"blank after Transfer-Encoding": {"HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nspam\r\n0\r\n\r\n", "field_name"},
	"blank after Content-Length":    {"HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nspam", "field_name"},
	"control byte in a value":       {"HTTP/1.1 200 X\r\nX-Note: a\x01\r\nContent-Length: 4\r\n\r\nspam", "field_value"},
	"two ends":                      {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nspam\r\n0\r\n\r\n", "framing"},
	"blank in a trailer":            {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nspam\r\n0\r\nX Note: a\r\n\r\n", "field_name"},
}

// TestBrokenAnswers guards against an agent that passes on, or records in the ledger, an
// answer that breaks the grammar of HTTP, that says such a request has not run, or that
// does not report the failure in its metrics.
func TestBrokenAnswers(t *testing.T) {
	for name, test := range brokenAnswers {
		t.Run("order/"+name, func(t *testing.T) {
			b := newHarness(t, nil)
			p := b.plain(standin.PlainConfig{Name: "desk-1"})
			p.Apply(standin.PlainControl{RawAnswers: 1, RawAnswer: test.text})
			req := b.order("r", "desk-1", "POST", "/orders")
			req.Key = &peer.KeyRef{ClientAccount: "a", Service: "order-desk", Key: "key-r"}
			got := b.dispatch(context.Background(), req)
			outcome := ""
			for _, c := range b.control.completions() {
				outcome += describeOutcome(c)
			}
			want := []any{"backend_failed/unknown", "unknown", 1}
			if diff := cmp.Diff(want, []any{got.kind(), outcome, p.Record().Executions["key-r"]}); diff != "" {
				t.Error(diff)
			}
			b.checkBroken(test.part)
		})
		t.Run("stream/"+name, func(t *testing.T) {
			b := newHarness(t, nil)
			e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: true})
			e.Apply(standin.Control{RawAnswers: 1, RawAnswer: test.text})
			got := b.dispatch(context.Background(), b.completion("r", "pool-1", "prompt", 10))
			if diff := cmp.Diff([]any{"backend_failed/unknown", ""}, []any{got.kind(), got.body}); diff != "" {
				t.Error(diff)
			}
			if limit := b.role.backends.get("pool-1").currentLoad(1).Limit; limit != 2 {
				t.Errorf("limit after the failure is %d, want the cold limit, 2", limit)
			}
			b.checkBroken(test.part)
		})
	}
}

// checkBroken checks that the metrics of the agent count one broken answer.
func (b *harness) checkBroken(part string) {
	b.t.Helper()
	line := `oleanderrack_broken_answers{reason="` + part + `",role="runner"} 1`
	b.waitFor(line, func() bool {
		res, err := http.Get("http://" + b.role.Address() + "/metrics")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		return err == nil && strings.Contains(string(text), line)
	})
}
