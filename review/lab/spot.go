package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	spotEvents = 28
	spotGap    = 160 * time.Millisecond
	spotNotice = 2 * time.Second
	// One of spotRunners is a share of 0.14, where the pages have 0.15.
	spotRunners = 7
	spotStreams = 63
)

// spotCase takes a runner away two seconds after its notice, while it sends streams
// whose answers end with their connection.
func spotCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	if err := s.serve(firstConfiguration()); err != nil {
		return nil, err
	}
	var pool []*process
	for i := range spotRunners {
		p, err := s.startRunner(i, runnerConfig{service: poolName, slots: 12, events: spotEvents, gap: spotGap, unframed: i == 0, unframedOnce: true})
		if err != nil {
			return nil, err
		}
		pool = append(pool, p)
	}
	time.Sleep(2 * time.Second)
	type outcome struct {
		id string
		answer
	}
	outcomes := make(chan outcome, spotStreams)
	var group sync.WaitGroup
	for i := range spotStreams {
		group.Go(func() {
			r := newStream("/letters/a", fmt.Sprintf("5c1e07a2:40,e440%04x:674", i))
			outcomes <- outcome{r.id, s.send(s.hosts[i%3], r)}
		})
		time.Sleep(16 * time.Millisecond)
	}
	if trouble {
		s.record.add("platform", "runner i-0000 gets its notice")
		pool[0].signal(syscall.SIGTERM)
		time.Sleep(spotNotice)
		s.record.add("platform", "runner i-0000 is gone")
		pool[0].signal(syscall.SIGKILL)
	}
	group.Wait()
	close(outcomes)
	for _, line := range s.runnersLog() {
		s.record.add("runners", "%s", line)
	}
	var broken []string
	for o := range outcomes {
		if o.status == 200 && o.err == nil && o.lastEvent < spotEvents {
			broken = append(broken, fmt.Sprintf("ORDER: stream %s ended as complete after event %d of %d, signature %s", o.id, o.lastEvent, spotEvents, strings.SplitN(o.signature, ".", 2)[0]))
		}
	}
	return broken, nil
}
