package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 5 * time.Millisecond
	// probeDuration bounds how long probes are sent after a transition to cold.
	// The cold capacity applies by then.
	probeDuration = time.Second
)

// latencyProbe measures how long requests take to reach the engine on a busy
// machine. It sends probes over the same path as requests while a transition to
// cold is open.
type latencyProbe struct {
	mu      sync.Mutex
	started map[int]time.Time // start times of the probes in flight
	next    int
	longest time.Duration
}

// start sends probes to an address until done returns true or probeDuration has
// passed.
func (p *latencyProbe) start(ctx context.Context, address string, done func() bool) {
	p.mu.Lock()
	p.started, p.longest = map[int]time.Time{}, 0
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeDuration)
		defer cancel()
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		var group sync.WaitGroup
		defer group.Wait()
		for !done() {
			group.Go(func() { p.probe(ctx, client, address) })
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

// probe sends one probe and records its latency. For a failed probe this is the
// time until the failure.
func (p *latencyProbe) probe(ctx context.Context, client *http.Client, address string) {
	p.mu.Lock()
	number, start := p.next, time.Now()
	p.next++
	p.started[number] = start
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.started, number)
		p.longest = max(p.longest, time.Since(start))
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

// latency returns the longest time that a probe has taken, including probes in
// flight.
func (p *latencyProbe) latency(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest
	for _, start := range p.started {
		longest = max(longest, now.Sub(start))
	}
	return longest
}
