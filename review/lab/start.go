package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lossAfter is the time from the first start to the loss of a disk, and lossFor that
	// until its machine is back.
	lossAfter = time.Second
	lossFor   = 500 * time.Millisecond
	// startWatch is how long the operator sends the first configuration.
	startWatch = 40 * time.Second
	// startRequests is the number of requests that are sent then.
	startRequests = 30
)

// startCase has one of three machines lose its disk while the system starts for the first
// time.
func startCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	if err := s.startHosts(); err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := s.startRunner(i, runnerConfig{service: deskName, slots: 6, work: 30 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	if trouble {
		time.Sleep(lossAfter)
		h := s.hosts[0]
		s.record.add("platform", "%s loses its disk", h.ip)
		for _, p := range []*process{h.control, h.entry} {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
		if err := os.RemoveAll(h.disk); err != nil {
			return nil, err
		}
		time.Sleep(lossFor)
		if err := os.Mkdir(h.disk, 0o700); err != nil {
			return nil, err
		}
		if err := s.writeSettings(h, false); err != nil {
			return nil, err
		}
		var err error
		if h.control, err = s.startRole(h, "control"); err != nil {
			return nil, err
		}
		if h.entry, err = s.startRole(h, "entry"); err != nil {
			return nil, err
		}
		s.record.add("platform", "%s is back with an empty disk and first_start false", h.ip)
	}
	acknowledged := s.order("/oleanderrack/configuration/replace", firstConfiguration().encode(), startWatch)
	if acknowledged != nil {
		s.record.add("operator", "the configuration was not acknowledged: %v", acknowledged)
	} else {
		time.Sleep(3 * time.Second)
	}
	var served atomic.Int64
	var group sync.WaitGroup
	for n := range startRequests {
		group.Go(func() {
			if a := s.send(s.hosts[n%3], newRequest("GET", "/stock/a", nil, time.Second)); a.status == http.StatusOK && a.err == nil {
				served.Add(1)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	s.record.add("result", "%d of %d requests served", served.Load(), startRequests)
	if served.Load() == 0 {
		return []string{fmt.Sprintf("Fault: no request is served, the first configuration has no acknowledgement after %s: %v", startWatch, acknowledged)}, nil
	}
	return nil, nil
}
