package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playPromise sends orders while, again and again for some seconds, one of eight
// runners fails a part of its requests: it runs them and answers 429, without
// Oleanderrack-Not-Executed. Clients repeat an
// order once after a promise that it has not run.
func playPromise(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	for zone := range 3 {
		f.addFront(zone, true, "control", "entry")
	}
	runners := f.addRunners("desk", 8)
	var mu sync.Mutex
	answers := 0
	troubled := window{begin: time.Now(), on: 6500 * time.Millisecond, off: time.Second}
	runners[0].spoil = func(*http.Request, int) spoiling {
		mu.Lock()
		defer mu.Unlock()
		if answers++; trouble && troubled.now() && answers%5 < 2 {
			return tooMany
		}
		return sound
	}
	if _, err := f.startPlain(ctx, runners); err != nil {
		return false, err
	}
	c := newClient(f.record)
	counts := map[string]int{}
	promised := map[string]bool{} // requests that were said not to have run
	var group sync.WaitGroup
	for i := range orderCount {
		group.Go(func() {
			fronts := f.fronts()
			order := fmt.Sprintf("order-%d", i)
			for attempt := range 2 {
				r := c.order(ctx, f.address(fronts[(i+attempt)%len(fronts)], frontPort), order)
				f.record.add("client: request %s for %s: status %d, complete %t, error %v", r.id, order, r.status, r.complete, r.err)
				mu.Lock()
				counts[fmt.Sprintf("status %d", r.status)]++
				isPromise := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
				if isPromise {
					promised[r.id] = true
				}
				mu.Unlock()
				if !isPromise {
					return
				}
			}
		})
		sleep(ctx, 50*time.Millisecond)
	}
	group.Wait()
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	ran, twice := 0, 0
	orders := map[string]int{}
	for _, r := range runners {
		for id := range r.ran {
			if promised[id] {
				ran++
			}
		}
		for order, n := range r.orders {
			orders[order] += n
		}
	}
	for _, n := range orders {
		if n > 1 {
			twice++
		}
	}
	f.record.add("orders: %d, answers: %s", orderCount, summary(counts))
	f.record.add("requests answered 429 or 503 that have run: %d; orders that ran more than once: %d", ran, twice)
	if counts["status 200"] == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return ran == 0, nil
}

const orderCount = 600
