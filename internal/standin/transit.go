package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Times of the probes of a transit.
const (
	probeInterval = 5 * time.Millisecond
	// probeTime is how long a turn is accompanied by probes at most; the engine
	// is limited by then.
	probeTime = time.Second
)

// transit measures how long requests take to reach the engine on a machine that
// is busy: probes go the way of requests while a turn to cold is open.
type transit struct {
	mu      sync.Mutex
	begun   map[int]time.Time // probes that are under way
	next    int
	longest time.Duration
}

// start sends probes to an address until the time is over or done says so.
func (t *transit) start(ctx context.Context, address string, done func() bool) {
	t.mu.Lock()
	t.begun, t.longest = map[int]time.Time{}, 0
	t.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTime)
		defer cancel()
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		var group sync.WaitGroup
		defer group.Wait()
		for !done() {
			group.Go(func() { t.probe(ctx, client, address) })
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

// probe takes part in the measure until its answer comes; one that fails counts
// with the time until then.
func (t *transit) probe(ctx context.Context, client *http.Client, address string) {
	t.mu.Lock()
	number, begun := t.next, time.Now()
	t.next++
	t.begun[number] = begun
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.begun, number)
		t.longest = max(t.longest, time.Since(begun))
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", nil)
	if err != nil {
		return
	}
	res, err := client.Do(req)
	if err != nil {
		return
	}
	res.Body.Close()
}

// time returns the longest time that a probe has taken, also one that is still
// under way.
func (t *transit) time(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.longest
	for _, begun := range t.begun {
		longest = max(longest, now.Sub(begun))
	}
	return longest
}
