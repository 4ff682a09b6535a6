package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// heartbeatWithoutField: a heartbeat from another writer lacks a field. It names no
// runner to use, but the runner that it names gets the requests of another service.
func heartbeatWithoutField(ctx context.Context, s *system, trouble bool) (verdict, error) {
	const requests = 60
	var runners []*runner
	for n := range 4 {
		service := "assistant-pool"
		if n >= 2 {
			service = "order-desk"
		}
		r := s.newRunner(n, service)
		runners = append(runners, r)
		if service == "assistant-pool" {
			s.addSide(r)
		}
	}
	if err := s.startAll(); err != nil {
		return verdict{}, err
	}
	for _, r := range runners {
		if err := r.start(ctx, "i-"+r.name); err != nil {
			return verdict{}, err
		}
		defer r.end()
	}
	o, c := newOperator(s), newClient(s)
	if err := o.order(ctx, "/oleanderrack/configuration/replace", configurationVersion(1), 30*time.Second); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return verdict{}, err
	}
	for n := range 2 * len(s.fronts) {
		kind := []string{"draft", "order"}[n%2]
		if a := c.send(ctx, s.fronts[n/2], kind); a.status != http.StatusOK || a.err != nil {
			return verdict{}, fmt.Errorf("%s is answered %d in calm, error %v", a.id, a.status, a.err)
		}
	}
	if trouble {
		r := runners[2]
		body, err := json.Marshal(map[string]any{
			"service": "assistant-pool", "address": r.address, "zone": r.zone, "slots": 12, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1000, "born": r.born,
		})
		if err != nil {
			return verdict{}, err
		}
		status, answer, err := o.call(ctx, http.MethodPost, s.controls()[0], "/oleanderrack/instances/"+r.id+"/heartbeat", body)
		s.rec.add("another writer: heartbeat of %s without the field version: %s; answer %d %s, error %v", r.id, body, status, answer, err)
	}
	if err := sleep(ctx, time.Second); err != nil {
		return verdict{}, err
	}
	for n := range requests {
		kind := []string{"draft", "order"}[n%2]
		c.send(ctx, s.fronts[n%len(s.fronts)], kind)
	}
	if err := s.ownEnds(); err != nil {
		return verdict{}, err
	}
	allowed := map[string]string{"/draft/": "assistant-pool", "/order/": "order-desk"}
	foreign := 0
	for _, r := range runners {
		for _, q := range r.ran() {
			for prefix, service := range allowed {
				if strings.HasPrefix(q.path, prefix) && r.service != service {
					foreign++
				}
			}
		}
	}
	return verdict{broken: foreign > 0, text: fmt.Sprintf("%d requests were run by a service to which no configuration allows them to go", foreign)}, nil
}
