package acceptance

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// Guards against a call that ends without an answer and looks like a success, at the
// listeners of entries, control and agents, for callers that close their side of the
// connection after their request and read on.
func TestClosedSide(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{controls: 1, entries: 1, modelHosts: 1, plainHosts: 1})
	const chat, orders = "/v1/chat/completions", "/s/" + plainName + "/orders"
	head := func(method, path, token string, lines ...string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s\r\n", method, path, token, strings.Join(append(lines, ""), "\r\n"))
	}
	get := func(path, token string) [2]string { return [2]string{head("GET", path, token)} }
	post := func(path, token, body string, lines ...string) [2]string {
		return [2]string{head("POST", path, token, append(lines, fmt.Sprintf("Content-Length: %d", len(body)))...), body}
	}
	completion := func(stream bool) string {
		return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":40,"messages":[{"role":"user","content":"beeswax"}]}`, modelName, stream)
	}
	long := `{"note":"` + strings.Repeat("x", 1<<19) + `"}`
	const system, operator = "system-token-0123456789", "operator-token-0123456789"
	const stream = "stream"
	listeners := map[string]struct {
		address string
		// requests are heads and bodies. One with the name stream ends with [DONE] or
		// an error if it is whole.
		requests map[string][2]string
	}{
		"entry": {s.entries[0].address, map[string][2]string{
			"order":                 post(orders, accountKey, `{"tins":1}`),
			"long order":            post(orders, accountKey, long),
			"order with a key":      post(orders, accountKey, `{"tins":1}`, "Idempotency-Key: closed-side"),
			"order in chunks":       {head("POST", orders, accountKey, "Transfer-Encoding: chunked"), "2\r\n{}\r\n0\r\n\r\n"},
			"order that is awaited": post(orders, accountKey, `{"tins":1}`, "Expect: 100-continue"),
			"two orders":            {head("POST", orders, accountKey, "Content-Length: 2") + "{}" + head("POST", orders, accountKey, "Content-Length: 2"), "{}"},
			stream:                  post(chat, accountKey, completion(true)),
			"completion":            post(chat, accountKey, completion(false)),
			"models":                get("/v1/models", accountKey),
			"unknown account":       post(orders, "nobody", "{}"),
			"unknown path":          post("/none", accountKey, "{}"),
		}},
		"control": {s.controls[0].listen, map[string][2]string{
			"status":  post(peer.OperatorPathPrefix+"Status", operator, "{}"),
			"members": post(peer.OperatorPathPrefix+"Members", operator, "{}"),
			"plan":    post(peer.OperatorPathPrefix+"Plan", operator, "{}"),
			"lookup":  post(peer.ControlPathPrefix+"Lookup", system, "{}"),
			"watch":   post(peer.ControlPathPrefix+"Watch", system, "{}"),
		}},
		"agent": {s.hosts[1].link.upstream, map[string][2]string{
			"announcement": post("/announce", "", "{}"),
			"dispatch":     post("/peer/dispatch", system, "{}"),
			"load":         post(peer.AgentPathPrefix+"Load", system, "{}"),
			"cancel":       post(peer.AgentPathPrefix+"Cancel", system, "{}"),
		}},
	}
	for name, listener := range listeners {
		for _, path := range []string{"/healthz", "/readyz", "/metrics", "/none"} {
			listener.requests[path] = get(path, "")
		}
		for request, text := range listener.requests {
			for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond} {
				for _, first := range []string{"", get("/healthz", "")[0]} {
					answers, err := standin.ClosedSide{Address: listener.address, First: first, Requests: text[0], Body: text[1], Delay: delay}.Send()
					if err != nil {
						t.Errorf("%s, %s, closed after %v: %v", name, request, delay, err)
					}
					for _, a := range answers {
						ended := strings.Contains(a.Body, "[DONE]") || strings.Contains(a.Body, "event: error")
						if a.IsEmptySuccess() || request == stream && a.Status == 200 && a.Whole && !ended {
							t.Errorf("%s, %s, closed after %v, kept connection %t: %d with %d bytes", name, request, delay, first != "", a.Status, len(a.Body))
						}
					}
				}
			}
		}
	}
	if a := newCaller().do(context.Background(), s.entries[0].address, order("afterwards")); !a.isComplete() {
		t.Errorf("an ordinary request was not answered afterwards: %v", a)
	}
}
