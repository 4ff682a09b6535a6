package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends orders as the platform's operator does: to one node after the
// other, each with a second to answer, until one acknowledges.
type operator struct {
	record   *record
	controls []string
	client   *http.Client
}

func newOperator(r *record, controls []string) *operator {
	return &operator{record: r, controls: controls, client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// order sends an order, to the node with index first at first.
func (o *operator) order(ctx context.Context, first int, path, body string) error {
	for i := 0; ; i++ {
		to := o.controls[(first+i)%len(o.controls)]
		status, err := o.send(ctx, to, path, body)
		o.record.add("operator: %s at %s: status %d, error %v", path, to, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil && status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return fmt.Errorf("%s was refused with status %d", path, status)
		}
		if !sleep(ctx, min(time.Second, time.Duration(50*(i+1))*time.Millisecond)) {
			return ctx.Err()
		}
	}
}

func (o *operator) send(ctx context.Context, to, path, body string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body == "" {
		req.Body = http.NoBody
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode, nil
}

// read reads the configuration at the node with an index.
func (o *operator) read(ctx context.Context, at int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.controls[at]+"/oleanderrack/configuration/read", nil)
	if err != nil {
		return err
	}
	res, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	o.record.add("operator: reads the configuration at %s: status %d, error %v", o.controls[at], res.StatusCode, err)
	return err
}

// configure sends a configuration until it is acknowledged.
func (o *operator) configure(ctx context.Context, configuration map[string]any) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	return o.order(ctx, 0, "/oleanderrack/configuration/replace", string(body))
}

const (
	host = "review.example"
	key  = "reviewkey0123456789a"
)

// configuration returns version 1 with routes of streams, of idempotent and of
// non-idempotent requests. engine describes the runners of the streams, or is nil.
func configuration(engine map[string]any) map[string]any {
	pool := map[string]any{"name": "pool", "health_check_path": "/health", "max_connections": 218, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
	if engine != nil {
		pool["engine"] = engine
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "drafts", "host": host, "path_prefix": "/drafts/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1,
				"service": "pool", "max_attempts": 2, "public": false, "session_affinity": true, "stream_resumption": true, "target_gap_ms": 120,
			},
			map[string]any{
				"name": "stock", "host": host, "path_prefix": "/stock/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2,
				"service": "desk", "max_attempts": 2, "public": false,
			},
			map[string]any{
				"name": "orders", "host": host, "path_prefix": "/orders/", "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2,
				"service": "desk", "max_attempts": 1, "public": false,
			},
		},
		"services": []any{
			pool,
			map[string]any{"name": "desk", "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "review", "api_keys": []string{key}, "priority": 1}},
	}
}
