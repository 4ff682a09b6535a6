package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// playResume sends streams while, again and again for some seconds, five of twelve
// runners spoil at most 28 in a thousand of their answers: they break off streams, and where a stream that was
// broken off is resumed at one of them, it fails, in turn with a body without end
// and with a long one that is complete.
func playResume(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	for zone := range 3 {
		f.addFront(zone, true, "control", "entry")
	}
	runners := f.addRunners("pool", 12)
	var mu sync.Mutex
	broken := map[string]bool{}
	failures := 0
	troubled := window{begin: time.Now(), on: 5500 * time.Millisecond, off: time.Second}
	for _, r := range runners[:spoilers] {
		answers, spoilt := 0, 0
		r.spoil = func(req *http.Request, last int) spoiling {
			id := req.Header.Get("Oleanderrack-Request-Id")
			mu.Lock()
			defer mu.Unlock()
			if !trouble || !troubled.now() {
				return sound
			}
			answers++
			switch {
			case (spoilt+1)*1000 > 28*answers:
			case broken[id] && last > 0:
				spoilt++
				if failures++; failures%2 == 1 {
					return longFailure
				}
				return endless
			case last == 0 && (spoilt+1)*1000 <= 18*answers:
				spoilt++
				broken[id] = true
				return brokenOff
			}
			return sound
		}
	}
	if _, err := f.startPlain(ctx, runners); err != nil {
		return false, err
	}
	c := newClient(f.record)
	counts := map[string]int{}
	var group sync.WaitGroup
	for i := range resumeRequests {
		group.Go(func() {
			fronts := f.fronts()
			r := c.stream(ctx, f.address(fronts[i%len(fronts)], frontPort), resumeEvents)
			inOrder := slices.IsSorted(r.events) && len(slices.Compact(slices.Clone(r.events))) == len(r.events)
			f.record.add("client: request %s: status %d, %d events, in order %t, complete %t, %d bytes that belong to no event, beginning with %q, error %v",
				r.id, r.status, len(r.events), inOrder, r.complete, len(r.foreign), r.foreign[:min(20, len(r.foreign))], r.err)
			mu.Lock()
			defer mu.Unlock()
			counts["sent"]++
			switch {
			case r.status == http.StatusOK && len(r.foreign) > 0:
				counts["streams with bytes of no event"]++
				if r.complete {
					counts["of these, ended as complete"]++
				}
			case r.status == http.StatusOK && r.complete && len(r.events) == resumeEvents:
				counts["served"]++
			default:
				counts["failed or refused"]++
			}
		})
		sleep(ctx, 10*time.Millisecond)
	}
	group.Wait()
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	f.record.add("requests: %s", summary(counts))
	if counts["served"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return counts["streams with bytes of no event"] == 0, nil
}

const (
	spoilers       = 5
	resumeRequests = 8800
	resumeEvents   = 20
)
