package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// orderPeriod is the time between two orders of a client. Clients send at the same
// moments and never sooner, so that the number of clients is the dose of a burst.
const orderPeriod = time.Second

// burstOfLongBodies: clients that keep their connections send orders with bodies as long
// as the limits allow, and six times for some seconds 1.7 times as many clients do so at once.
// Afterwards the clients that were there before send short orders.
func burstOfLongBodies(ctx context.Context, s *system, trouble bool) (verdict, error) {
	const (
		// clients have 64 MiB of bodies together, which an entry of 284 MB has room for.
		clients = 16
		// moreClients make it 1.7 times as many, the largest burst of the site.
		moreClients = 11
		longBody    = 4194304 // body_bytes
		shortBody   = 600
		calm        = 3 * time.Second
		burst       = 3 * time.Second
		bursts      = 6
		after       = 6 * time.Second
	)
	var runners []*runner
	for n := range 5 {
		service := "assistant-pool"
		if n >= 2 {
			service = "order-desk"
		}
		r := s.newRunner(n, service)
		runners = append(runners, r)
		if service == "assistant-pool" {
			s.addSide(r)
		} else {
			r.slots = 6
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
	if err := newOperator(s).order(ctx, "/oleanderrack/configuration/replace", configurationVersion(1), 30*time.Second); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return verdict{}, err
	}
	var bodiesAreShort atomic.Bool
	k := &keptClients{system: s, begun: time.Now(), front: s.fronts[0], long: make([]byte, longBody), short: make([]byte, shortBody)}
	ctx, cancel := context.WithTimeout(ctx, bursts*(calm+burst)+after)
	defer cancel()
	var group sync.WaitGroup
	add := func(ctx context.Context, n int) {
		for range n {
			group.Go(func() { k.run(ctx, &bodiesAreShort) })
		}
	}
	add(ctx, clients)
	for range bursts {
		sleep(ctx, calm)
		s.rec.add("calm so far: %s", k.counts())
		burstCtx, end := context.WithTimeout(ctx, burst)
		if trouble {
			s.rec.add("%d more clients come at once", moreClients)
			add(burstCtx, moreClients)
		}
		<-burstCtx.Done()
		end()
		s.rec.add("the burst is over: %s", k.counts())
	}
	s.rec.add("from now on all bodies are short")
	bodiesAreShort.Store(true)
	group.Wait()
	s.rec.add("after the burst: %s", k.counts())
	if err := s.ownEnds(); err != nil {
		return verdict{}, err
	}
	ran := map[string]bool{}
	for _, r := range runners {
		for _, q := range r.ran() {
			ran[q.id] = true
		}
	}
	notRun := 0
	for _, id := range k.unsigned {
		if !ran[id] {
			notRun++
		}
	}
	return verdict{
		broken: len(k.unsigned) > 0,
		text:   fmt.Sprintf("%d orders were answered 200 without a signature of a runner, %d of these have not run", len(k.unsigned), notRun),
	}, nil
}

// keptClients are clients that keep their connections to one front machine.
type keptClients struct {
	system      *system
	begun       time.Time
	front       *machine
	long, short []byte

	mu                sync.Mutex
	sent, good, other int
	unsigned          []string // ids of the requests with a success that no runner has signed
}

func (k *keptClients) counts() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprintf("%d orders sent, %d answered 200 with a signature, %d answered 200 without one, %d refused or failed", k.sent, k.good, len(k.unsigned), k.other)
}

// run sends one order in each period on one connection.
func (k *keptClients) run(ctx context.Context, bodiesAreShort *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	for ctx.Err() == nil {
		sleep(ctx, orderPeriod-time.Since(k.begun)%orderPeriod)
		body := k.long
		if bodiesAreShort.Load() {
			body = k.short
		}
		k.order(ctx, client, body)
	}
}

func (k *keptClients) order(ctx context.Context, client *http.Client, body []byte) {
	k.mu.Lock()
	k.sent++
	id := fmt.Sprintf("order%08x", k.sent)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.system.address(k.front.ip, frontPort)+"/order/2f", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Host = clientHost
	req.Header.Set("Oleanderrack-Request-Id", id)
	req.Header.Set("Oleanderrack-Key", apiKey)
	req.Header.Set("Oleanderrack-Deadline-Remaining", "1000")
	res, err := client.Do(req)
	signature, text, status := "", []byte(nil), 0
	if err == nil {
		status, signature = res.StatusCode, res.Header.Get("Oleanderrack-Response-Signature")
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	k.system.rec.add("client: %s with %d bytes gets %d, signature %q, %d bytes, error %v", id, len(body), status, signature, len(text), err)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case status == http.StatusOK && err == nil && signature == "":
		k.unsigned = append(k.unsigned, id)
	case status == http.StatusOK && err == nil:
		k.good++
	default:
		k.other++
	}
}
