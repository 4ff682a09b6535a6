package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// earlyOrders is the number of orders, one after the other.
const earlyOrders = 6

// earlyCase sends long orders. Two of the three runners answer them before they are in,
// with a failure of their own, and close the connection.
func earlyCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	if err := s.serve(firstConfiguration()); err != nil {
		return nil, err
	}
	for i := range 3 {
		c := runnerConfig{service: deskName, slots: 6, work: 30 * time.Millisecond}
		if trouble && i < 2 {
			c.early = http.StatusInternalServerError
		}
		if _, err := s.startRunner(i, c); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	for n := range earlyOrders {
		group.Go(func() {
			s.send(s.hosts[n%3], newRequest("POST", "/orders/a", bytes.Repeat([]byte("b"), bodyBytes-1000), time.Second))
		})
		time.Sleep(300 * time.Millisecond)
	}
	group.Wait()
	runs := map[string]int{}
	for _, line := range s.runnersLog() {
		s.record.add("runners", "%s", line)
		if f := strings.Fields(line); len(f) >= 4 && f[2] == "ran" {
			runs[f[3]]++
		}
	}
	var broken []string
	for id, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: order %s ran %d times", id, n))
		}
	}
	return broken, nil
}
