package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// playLateHold plays a small deployment in a quiet hour: short bursts of requests
// with pauses, in which the group of model runners is idle. One hold order to a
// rank gets no answer and is carried out some seconds later.
func playLateHold(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	for zone := range 3 {
		f.addFront(zone, true, "control", "entry")
		f.addFront(zone, false, "control", "entry")
	}
	var addresses, zones []string
	for i := range 8 {
		m := f.addSide(i % 3)
		addresses, zones = append(addresses, m.app), append(zones, m.zone)
	}
	g := newGroup(f.record, addresses, zones)
	if trouble {
		given := false
		g.late = func(operation string, idle bool) time.Duration {
			if given || operation != "hold" || !idle {
				return 0
			}
			given = true
			return lateBy
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := g.start(ctx, f.controls()); err != nil {
		return false, err
	}
	if err := newOperator(f.record, f.controls()).configure(ctx, configuration(engineSpec())); err != nil {
		return false, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return false, err
	}
	sleep(ctx, 3*time.Second) // until all ranks have announced themselves
	f.record.add("traffic begins")
	served, counts := playBursts(ctx, f, g)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	if served[0] == 0 {
		return false, fmt.Errorf("no request of the first burst was served")
	}
	refused := counts["sent"] - counts["served"]
	f.record.add("requests: %s; refused or failed: %.0f in 100, at most 60 are allowed", summary(counts), 100*float64(refused)/float64(counts["sent"]))
	return refused*100 <= 60*counts["sent"] && !g.violated, nil
}

const (
	// lateBy is in the 2 to 12 s of applied_late.
	lateBy      = 3 * time.Second
	bursts      = 9
	burstPeriod = 8 * time.Second
	// A burst of burstRequests requests of burstEvents events each is over in about
	// a second.
	burstRequests = 24
	burstEvents   = 12
)

// playBursts returns the number of served requests of each burst, and all counts.
func playBursts(ctx context.Context, f *fleet, g *group) ([]int, map[string]int) {
	c := newClient(f.record)
	served, counts := make([]int, bursts), map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for burst := range bursts {
		begin := time.Now()
		g.mu.Lock()
		g.hot = burst % 4 // other experts are in demand
		g.mu.Unlock()
		for i := range burstRequests {
			group.Go(func() {
				fronts := f.fronts()
				r := c.stream(ctx, f.address(fronts[i%len(fronts)], frontPort), burstEvents)
				ok := r.status == 200 && r.complete && len(r.events) == burstEvents
				f.record.add("client: burst %d request %s: status %d, %d events, complete %t, error %v", burst+1, r.id, r.status, len(r.events), r.complete, r.err)
				mu.Lock()
				defer mu.Unlock()
				counts["sent"]++
				counts[fmt.Sprintf("status %d", r.status)]++
				if ok {
					counts["served"]++
					served[burst]++
				}
			})
			sleep(ctx, 15*time.Millisecond)
		}
		sleep(ctx, burstPeriod-time.Since(begin))
	}
	group.Wait()
	f.record.add("served of %d in each burst: %v", burstRequests, served)
	return served, counts
}
