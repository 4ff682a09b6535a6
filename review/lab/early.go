package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// The load and its disruption last earlyTime. The pages have 5 s.
	earlyTime = 5 * time.Second
	// Short orders are earlyShort apart, and each earlyLong of them there is a long one.
	earlyShort = 15 * time.Millisecond
	earlyLong  = 16
	earlyBytes = bodyBytes - 1000
	// A runner answers at most one in earlyShare requests early, 0.02 as on the pages.
	earlyShare = 50
)

// earlyCase sends orders, some of them long. One of the three runners answers a few long
// ones before they are in, with a failure of its own.
func earlyCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	if err := s.serve(firstConfiguration()); err != nil {
		return nil, err
	}
	for i := range 3 {
		c := runnerConfig{service: deskName, slots: 6, work: 30 * time.Millisecond}
		if trouble && i == 0 {
			c.earlyShare = earlyShare
		}
		if _, err := s.startRunner(i, c); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	long, short := bytes.Repeat([]byte("b"), earlyBytes), bytes.Repeat([]byte("b"), 600)
	var group sync.WaitGroup
	for n, end := 0, time.Now().Add(earlyTime); time.Now().Before(end); n++ {
		body := short
		if n%earlyLong == earlyLong-1 {
			body = long
		}
		group.Go(func() { s.send(s.hosts[n%3], newRequest("POST", "/orders/a", body, time.Second)) })
		time.Sleep(earlyShort)
	}
	group.Wait()
	runs := map[string]int{}
	for _, line := range s.runnersLog() {
		s.record.add("runners", "%s", line)
		if f := strings.Fields(line); len(f) >= 4 && f[2] == "ran" {
			runs[f[3]]++
		}
	}
	s.record.add("result", "%d orders ran", len(runs))
	var broken []string
	for id, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: order %s ran %d times", id, n))
		}
	}
	return broken, nil
}
