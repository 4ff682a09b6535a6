package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	apiKey     = "n2ctnfzs989anu6wsjnb"
	clientHost = "ficu95.example"
	// patienceAfterDeadline is how long a client waits beyond its deadline, so that the
	// record shows a late answer.
	patienceAfterDeadline = time.Second
)

// configuration has a route of each kind. The model service has no engine, so that
// there are no groups.
const configuration = `{"version":%d,"routes":[
{"name":"r-draft","host":"ficu95.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"target_gap_ms":120,"priority":1,"service":"assistant-pool","max_attempts":2,"public":false,"session_affinity":true,"stream_resumption":true},
{"name":"r-order","host":"ficu95.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"order-desk","max_attempts":1,"public":false},
{"name":"r-stock","host":"ficu95.example","path_prefix":"/stock/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"order-desk","max_attempts":2,"public":false}],
"services":[{"name":"assistant-pool","health_check_path":"/health","max_connections":438,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},{"name":"order-desk","health_check_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

func configurationVersion(version int) []byte { return fmt.Appendf(nil, configuration, version) }

// client sends requests, each on a new connection.
type client struct {
	system *system
	http   *http.Client
	count  atomic.Int64
}

func newClient(s *system) *client {
	return &client{system: s, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// answer is what a client got. Status is 0 if it got none.
type answer struct {
	id     string
	status int
	body   string
	err    error // that ended the answer early
}

// send sends a request of a kind (draft, order or stock) to a front machine.
func (c *client) send(ctx context.Context, m *machine, kind string) answer {
	a := answer{id: fmt.Sprintf("%s%08x", kind, c.count.Add(1))}
	deadline, method := time.Second, http.MethodPost
	switch kind {
	case "draft":
		deadline = 8 * time.Second
	case "stock":
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+patienceAfterDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.system.address(m.ip, frontPort)+"/"+kind+"/2f", nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = clientHost
	req.Header.Set("Oleanderrack-Request-Id", a.id)
	req.Header.Set("Oleanderrack-Key", apiKey)
	req.Header.Set("Oleanderrack-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	if kind == "draft" {
		req.Header.Set("Oleanderrack-Model", "m")
		req.Header.Set("Oleanderrack-Token-Counts", "1460,80")
		req.Header.Set("Oleanderrack-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%x:660", c.count.Load()))
	}
	res, err := c.http.Do(req)
	if err != nil {
		a.err = err
		c.system.rec.add("client: %s at %s gets no answer: %v", a.id, m.name, err)
		return a
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a.status, a.body, a.err = res.StatusCode, string(body), err
	c.system.rec.add("client: %s at %s gets %d, signature %q, %d bytes, error %v", a.id, m.name, a.status, res.Header.Get("Oleanderrack-Response-Signature"), len(body), err)
	return a
}
