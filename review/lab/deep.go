package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// deepParts is the number of parts of a prompt, deepPosition that of the one that
	// crashes runners. The header has about 1,200 bytes, of 16,384.
	deepParts    = 80
	deepPosition = 70
	deepRequests = 24
	deepPause    = 800 * time.Millisecond
)

// deepCase sends requests whose long prompts have a part that crashes runners far from
// their beginning, one after the other.
func deepCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	if err := s.serve(firstConfiguration()); err != nil {
		return nil, err
	}
	stop := s.runCrashing(poisonRunners)
	time.Sleep(3 * time.Second)
	// Sound requests share all parts but the one that crashes, and their own.
	prompt := func(n int, crashing bool) string {
		var parts []string
		for i := range deepParts {
			switch {
			case i == deepPosition && crashing:
				parts = append(parts, poisonPart+":9")
			case i == deepParts-1:
				parts = append(parts, fmt.Sprintf("e44%05x:20", n))
			default:
				parts = append(parts, fmt.Sprintf("5c1e%04x:9", i))
			}
		}
		return strings.Join(parts, ",")
	}
	ids := map[string]bool{}
	var group sync.WaitGroup
	for n := range deepRequests {
		group.Go(func() { s.send(s.hosts[(n+1)%3], newStream("/drafts/a", prompt(n, false))) })
		if trouble && n >= 2 {
			r := newStream("/drafts/a", prompt(1000+n, true))
			ids[r.id] = true
			group.Go(func() { s.send(s.hosts[n%3], r) })
		}
		time.Sleep(deepPause)
	}
	group.Wait()
	stop()
	return s.judgeCrashes(ids), nil
}
