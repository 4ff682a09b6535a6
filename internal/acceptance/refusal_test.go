package acceptance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/standin"
)

// refusalCase is a test case: delays, losses or kills while orders without a key
// are sent.
type refusalCase struct {
	deadlineMS int
	change     standin.PlainControl
	failure    func(*system)
}

// Guards against an order that runs although it is reported as not run, and
// against a second run of an order without a key. Every order has a unique path,
// by which the stand-ins record its runs.
func TestNotRunIsTrue(t *testing.T) {
	tests := map[string]refusalCase{
		"dispatch delayed past the deadline": {deadlineMS: 150, failure: func(s *system) {
			for _, name := range []string{"plain-1", "plain-2"} {
				s.hostOf(name).link.delay(120)
			}
			time.Sleep(2 * failureDuration)
		}},
		"dispatch delayed by 2 s, then delivered": {deadlineMS: 300, failure: func(s *system) {
			l := s.hostOf("plain-1").link
			l.delay(2000)
			time.Sleep(2 * failureDuration)
			l.heal()
		}},
		"cancellation overtakes the dispatch": {deadlineMS: 300, failure: func(s *system) {
			for _, name := range []string{"plain-1", "plain-2"} {
				s.hostOf(name).link.delaySome(900)
			}
			time.Sleep(2 * failureDuration)
		}},
		"agent killed": {deadlineMS: 2000, failure: func(s *system) { s.hostOf("plain-1").agent.restart() }},
		"agent killed twice": {deadlineMS: 2000, failure: func(s *system) {
			for range 2 {
				s.hostOf("plain-1").agent.restart()
				time.Sleep(failureDuration)
			}
		}},
		"both agents killed": {deadlineMS: 2000, failure: func(s *system) {
			s.hostOf("plain-1").agent.restart()
			s.hostOf("plain-2").agent.restart()
		}},
		"agent frozen past the deadline": {deadlineMS: 300, failure: func(s *system) {
			a := s.hostOf("plain-1").agent
			a.freeze()
			time.Sleep(failureDuration)
			a.thaw()
		}},
		"refusals dropped": {deadlineMS: 500, failure: func(s *system) {
			l := s.hostOf("plain-1").link
			l.dropResponses()
			time.Sleep(failureDuration)
			l.heal()
		}},
		"connections reset, answers lost": {deadlineMS: 2000, change: standin.PlainControl{DelayMS: 10, ResetConnections: 30, DropAnswers: 30}, failure: func(*system) {
			time.Sleep(failureDuration)
		}},
		"agent frozen and leader killed": {deadlineMS: 300, failure: func(s *system) {
			a := s.hostOf("plain-1").agent
			a.freeze()
			s.leader().process.restart()
			time.Sleep(failureDuration)
			a.thaw()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{modelHosts: 1, plainFlags: []string{"-delay", "10ms"}})
			for _, b := range s.backendsOf(plainName) {
				if test.change != (standin.PlainControl{}) {
					b.control(t, test.change)
				}
			}
			stop, done := make(chan struct{}), make(chan map[string]answer)
			go func() { done <- s.uniqueOrders(8, test.deadlineMS, stop) }()
			time.Sleep(pause)
			test.failure(s)
			time.Sleep(pause)
			close(stop)
			got := <-done
			// Requests that were delayed on a link arrive within this time.
			time.Sleep(3 * time.Second)
			s.checkRefusals(got)
		})
	}
}

// uniqueOrders sends orders without a key, each to its own path.
func (s *system) uniqueOrders(workers, deadlineMS int, stop <-chan struct{}) map[string]answer {
	var mu sync.Mutex
	var all sync.WaitGroup
	got := map[string]answer{}
	for w := range workers {
		all.Go(func() {
			c := newCaller()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/orders/%d-%d", w, i)
				a := c.do(context.Background(), s.entries[(w+i)%len(s.entries)].address, call{
					method: http.MethodPost, path: "/s/" + plainName + path, body: "{}",
					headers: map[string]string{"X-Request-Deadline-Ms": fmt.Sprint(deadlineMS)},
				})
				mu.Lock()
				got[path] = a
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return got
}

func (s *system) checkRefusals(got map[string]answer) {
	s.t.Helper()
	ran := map[string]int{}
	for _, b := range s.backendsOf(plainName) {
		for path, n := range record[standin.PlainRecord](s.t, b).Paths {
			ran[path] += n
		}
	}
	var answers []answer
	for path, a := range got {
		answers = append(answers, a)
		n := ran["POST "+path]
		switch {
		case n > 1:
			s.t.Errorf("%s ran %d times: %v", path, n, a)
		case a.Fault.Ran == "no" && n != 0:
			s.t.Errorf("%s ran, but its answer reports it as not run: %v", path, a)
		case (a.isComplete() || a.Fault.Ran == "yes") && n != 1:
			s.t.Errorf("%s ran %d times, but its answer reports it as run: %v", path, n, a)
		}
	}
	s.t.Logf("%d orders: %s", len(got), summarize(answers))
	s.checkCounters(answers)
}

// checkCounters asserts that the entries' failure counters match the answers of
// the callers: after an incident an operator has only the counters.
func (s *system) checkCounters(answers []answer) {
	s.t.Helper()
	// The metrics lag by at most one report interval.
	time.Sleep(time.Second)
	want, counted := map[string]int{}, map[string]int{}
	for _, a := range answers {
		if a.Fault.Kind != "" {
			want[a.Fault.Kind+"/"+a.Fault.Ran]++
		}
	}
	pattern := regexp.MustCompile(`(?m)^oleanderrack_caller_failures\{ran="(\w+)",reason="(\w+)",role="entry"\} (\d+)$`)
	for _, e := range s.entries {
		for _, m := range pattern.FindAllStringSubmatch(metricsOf(s.t, e.address), -1) {
			n, err := strconv.Atoi(m[3])
			if err != nil {
				s.t.Fatal(err)
			}
			counted[m[2]+"/"+m[1]] += n
		}
	}
	if diff := cmp.Diff(want, counted); diff != "" {
		s.t.Errorf("answers and counters differ: %s", diff)
	}
}

func metricsOf(t *testing.T, address string) string {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
