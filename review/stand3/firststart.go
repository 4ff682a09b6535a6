package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// seedKilledAtFirstStart: a machine of the core is killed a second after the first start
// of the system and is back half a second later, with its disk and with first_start =
// false, as the platform writes it then.
func seedKilledAtFirstStart(ctx context.Context, s *system, trouble bool) (verdict, error) {
	const (
		killedAfter = time.Second
		down        = 500 * time.Millisecond
		// contactWindow and ackTimeout are bounds of the settings. The core is stable
		// from contactWindow after the last event on. A configuration has 3 ms more for
		// each of its three routes.
		contactWindow, ackTimeout = 3 * time.Second, 4*time.Second + 3*3*time.Millisecond
		// patience is how long the operator goes on, many times the bound.
		patience = 45 * time.Second
	)
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
	if err := sleep(ctx, killedAfter); err != nil {
		return verdict{}, err
	}
	if err := s.ownEnds(); err != nil {
		return verdict{}, err
	}
	if trouble {
		m := s.fronts[1]
		m.kill()
		s.rec.add("%s is killed (SIGKILL)", m.name)
		if err := sleep(ctx, down); err != nil {
			return verdict{}, err
		}
		m.firstStart = false
		if err := s.startMachine(m); err != nil {
			return verdict{}, err
		}
		s.rec.add("%s starts again, with its disk, first_start is false", m.name)
	}
	stable := time.Now().Add(contactWindow)
	err := newOperator(s).order(ctx, "/oleanderrack/configuration/replace", configurationVersion(1), patience)
	if err != nil && !errors.Is(err, errNoAck) {
		return verdict{}, err
	}
	waited := time.Since(stable)
	if endErr := s.ownEnds(); endErr != nil {
		return verdict{}, endErr
	}
	c, served, total := newClient(s), 0, 0
	if err := sleep(ctx, 2*time.Second); err != nil {
		return verdict{}, err
	}
	for _, kind := range []string{"draft", "order", "stock"} {
		for _, m := range s.fronts {
			total++
			if a := c.send(ctx, m, kind); a.status == 200 && a.err == nil {
				served++
			}
		}
	}
	text := fmt.Sprintf("first configuration: %v; %.1f s of a stable core, ack_timeout_ms allows %v; %d of %d requests served", err, waited.Seconds(), ackTimeout, served, total)
	return verdict{broken: waited > ackTimeout, text: text}, nil
}
