package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playForeign sends idempotent requests while another writer sends one heartbeat
// for the address of each runner. Its service is not named in the configuration, so
// that it names no runner to use.
func playForeign(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	for zone := range 3 {
		f.addFront(zone, true, "control", "entry")
	}
	runners := f.addRunners("desk", 3)
	o, err := f.startPlain(ctx, runners)
	if err != nil {
		return false, err
	}
	c := newClient(f.record)
	counts := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range foreignRequests {
		if i == foreignRequests/10 && trouble {
			for n, r := range runners {
				if err := sendForeign(ctx, f, o, n, r); err != nil {
					return false, err
				}
			}
		}
		group.Go(func() {
			fronts := f.fronts()
			r := c.read(ctx, f.address(fronts[i%len(fronts)], frontPort))
			f.record.add("client: request %s: status %d, complete %t, error %v", r.id, r.status, r.complete, r.err)
			mu.Lock()
			defer mu.Unlock()
			counts["sent"]++
			counts[fmt.Sprintf("status %d", r.status)]++
			if r.status == http.StatusOK && r.complete {
				counts["served"]++
			}
		})
		sleep(ctx, 40*time.Millisecond)
	}
	group.Wait()
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	if counts["served"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	refused := counts["sent"] - counts["served"]
	f.record.add("requests: %s; refused or failed: %.0f in 100, at most 60 are allowed", summary(counts), 100*float64(refused)/float64(counts["sent"]))
	return refused*100 <= 60*counts["sent"], nil
}

const foreignRequests = 1500

// sendForeign sends a heartbeat of another writer once, and records the answer.
func sendForeign(ctx context.Context, f *fleet, o *operator, n int, r *runner) error {
	body, err := json.Marshal(map[string]any{
		"service": "unnamed", "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	to := o.controls[n%len(o.controls)]
	status, err := o.send(ctx, to, fmt.Sprintf("/oleanderrack/instances/x-%d/heartbeat", n), string(body))
	f.record.add("another writer: heartbeat for x-%d at %s, service unnamed: status %d, error %v", n, r.address, status, err)
	return nil
}
