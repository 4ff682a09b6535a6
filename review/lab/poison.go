package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	poisonPart    = "bad0c0de"
	poisonBatch   = 6
	poisonBatches = 4
	poisonPause   = 4 * time.Second
	// poisonDown is the time until a runner that crashed is back.
	poisonDown    = 3 * time.Second
	poisonRunners = 14
	// poisonAllowed is the number of requests with the part that may reach runners
	// later than contactWindow after the fifth crash.
	poisonAllowed = 3
)

// poisonCase sends requests with a part that crashes runners, a few at the same moment.
func poisonCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	if err := s.serve(firstConfiguration()); err != nil {
		return nil, err
	}
	stop := s.runCrashing(poisonRunners)
	time.Sleep(3 * time.Second)
	ids := map[string]bool{}
	var group sync.WaitGroup
	group.Go(func() { // sound requests with the same first part
		for n := range 12 * poisonBatches * 4 {
			group.Go(func() { s.send(s.hosts[n%3], newStream("/drafts/a", fmt.Sprintf("5c1e07a2:40,e44%05x:674", n))) })
			time.Sleep(poisonPause / 48)
		}
	})
	time.Sleep(time.Second)
	if trouble {
		for b := range poisonBatches {
			for n := range poisonBatch {
				r := newStream("/drafts/a", fmt.Sprintf("5c1e07a2:40,%s:300,f%03d%04d:374", poisonPart, b, n))
				ids[r.id] = true
				group.Go(func() { s.send(s.hosts[n%3], r) })
			}
			time.Sleep(poisonPause)
		}
	}
	group.Wait()
	stop()
	return s.judgeCrashes(ids), nil
}

// runCrashing keeps runners going that the part of a prompt crashes. The function that it
// returns ends that.
func (s *system) runCrashing(count int) (end func()) {
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for i := range count {
		platform.Go(func() {
			for incarnation := 0; ; incarnation++ {
				p, err := s.startRunner(i, runnerConfig{id: fmt.Sprintf("i-%02d%02d", i, incarnation), service: poolName, slots: 12, events: 28, gap: 40 * time.Millisecond, crashing: poisonPart})
				if err != nil {
					return
				}
				select {
				case <-p.done:
				case <-stop:
					return
				}
				select {
				case <-time.After(poisonDown):
				case <-stop:
					return
				}
			}
		})
	}
	return func() { close(stop); platform.Wait() }
}

// judgeCrashes counts the requests of ids that reached runners later than contactWindow
// after the fifth crash.
func (s *system) judgeCrashes(ids map[string]bool) (broken []string) {
	var crashes []time.Time
	late := 0
	for _, line := range s.runnersLog() {
		s.record.add("runners", "%s", line)
		f := strings.Fields(line)
		if len(f) < 4 {
			continue
		}
		us, _ := strconv.ParseInt(f[0], 10, 64)
		at := time.UnixMicro(us)
		switch {
		case f[2] == "crashes":
			crashes = append(crashes, at)
		case f[2] == "arrival" && ids[f[3]] && len(crashes) >= 5 && at.Sub(crashes[4]) > contactWindow:
			late++
		}
	}
	s.record.add("result", "%d crashes, %d requests with the part reached runners later than %s after the fifth", len(crashes), late, contactWindow)
	if late > poisonAllowed {
		broken = append(broken, fmt.Sprintf("BUDGET: %d requests with the part that crashes runners reached runners later than %s after the fifth crash, %d crashes in all", late, contactWindow, len(crashes)))
	}
	return broken
}
