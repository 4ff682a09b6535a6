package acceptance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/standin"
)

// Capacity of the engines in this file. The stand-in crashes above it.
var smallEngine = []string{"-max-concurrent", "8", "-cold-concurrent", "2", "-memory-tokens", "1500", "-step", "4ms", "-warm-steps", "40"}

const (
	coldConcurrent = 2
	maxConcurrent  = 8
	memoryTokens   = 1500
)

// pressure is a row: what happens while far more is asked than the engines can
// handle.
type pressure struct {
	maxTokens   int
	promptBytes int
	// slow and leave are shares of callers in percent that read slowly and
	// that go away in the middle.
	slow, leave int
	failure     func(*system)
}

// Guards against an engine that gets more requests or tokens than it can handle
// in its present state.
func TestEngineIsNeverLoadedPastItsCapacity(t *testing.T) {
	tests := map[string]pressure{
		"cold start": {maxTokens: 20, failure: func(*system) { time.Sleep(2 * failureTime) }},
		"engines turn cold silently": {maxTokens: 20, failure: func(s *system) {
			for range 3 {
				time.Sleep(failureTime)
				for _, b := range s.backendsOf(modelName) {
					b.control(s.t, standin.Control{Cold: "silent"})
				}
			}
		}},
		"engine restarts cold": {maxTokens: 20, failure: func(s *system) {
			time.Sleep(failureTime)
			for _, b := range s.backendsOf(modelName) {
				b.process.restart()
			}
			time.Sleep(failureTime)
		}},
		"agents restart under load": {maxTokens: 60, failure: func(s *system) {
			for range 2 {
				time.Sleep(failureTime)
				for _, h := range s.hosts {
					h.agent.restart()
				}
			}
			time.Sleep(failureTime)
		}},
		"agent restarts and engine turns cold": {maxTokens: 60, failure: func(s *system) {
			time.Sleep(failureTime)
			s.backendsOf(modelName)[0].control(s.t, standin.Control{Cold: "silent"})
			s.hostOf("model-1").agent.restart()
			time.Sleep(failureTime)
		}},
		"long prompts":    {maxTokens: 100, promptBytes: 1100, failure: func(*system) { time.Sleep(2 * failureTime) }},
		"long answers":    {maxTokens: 400, failure: func(*system) { time.Sleep(2 * failureTime) }},
		"slow readers":    {maxTokens: 300, slow: 50, failure: func(*system) { time.Sleep(3 * failureTime) }},
		"callers go away": {maxTokens: 300, leave: 60, failure: func(*system) { time.Sleep(2 * failureTime) }},
		"leader killed":   {maxTokens: 60, failure: func(s *system) { s.leader().process.restart(); time.Sleep(2 * failureTime) }},
		"one host drained": {maxTokens: 60, failure: func(s *system) {
			s.setDrained("fes", true, "d")
			time.Sleep(failureTime)
			s.setDrained("fes", false, "r")
			time.Sleep(failureTime)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, options{plainHosts: 1, entries: 3, engineFlags: smallEngine})
			stop, done := make(chan struct{}), make(chan []answer)
			go func() { done <- s.pressure(test, 40, stop) }()
			test.failure(s)
			close(stop)
			answers := <-done
			s.checkEngines()
			for _, b := range s.backendsOf(modelName) {
				r := record[standin.EngineRecord](t, b)
				if r.MaxInFlight > maxConcurrent || r.MaxTokensHeld > memoryTokens {
					t.Errorf("%s held %d requests and %d tokens, it can handle %d and %d", r.Name, r.MaxInFlight, r.MaxTokensHeld, maxConcurrent, memoryTokens)
				}
				t.Logf("%s held at most %d requests (%d cold) and %d tokens, ran %d", r.Name, r.MaxInFlight, r.MaxInFlightCold, r.MaxTokensHeld, r.Ran)
			}
			t.Logf("answers: %s", describe(answers))
		})
	}
}

// pressure runs callers until stop is closed.
func (s *system) pressure(p pressure, workers int, stop <-chan struct{}) []answer {
	var mu sync.Mutex
	var all sync.WaitGroup
	var answers []answer
	for w := range workers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				a := s.ask(p, w, i)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return answers
}

func (s *system) ask(p pressure, w, i int) answer {
	prompt := fmt.Sprintf("plan %d of teacher %d ", i, w) + strings.Repeat("x", p.promptBytes)
	in := completion(prompt, p.maxTokens)
	in.headers = map[string]string{"X-Request-Deadline-Ms": "3000"}
	address := s.entries[(w+i)%len(s.entries)].address
	switch roll := (w*7 + i*13) % 100; {
	case roll < p.slow:
		return readSlowly(address, in, 3*time.Second)
	case roll < p.slow+p.leave:
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+roll*5)*time.Millisecond)
		defer cancel()
		return newCaller().do(ctx, address, in)
	}
	return newCaller().do(context.Background(), address, in)
}

// readSlowly reads an answer in small pieces with pauses, for a time at most.
func readSlowly(address string, in call, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, in.method, "http://"+address+in.path, strings.NewReader(in.body))
	if err != nil {
		return answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	resp, err := newCaller().client.Do(req)
	if err != nil {
		return answer{Err: err}
	}
	defer resp.Body.Close()
	piece := make([]byte, 64)
	for {
		if _, err := resp.Body.Read(piece); err == io.EOF {
			return answer{Status: resp.StatusCode}
		} else if err != nil {
			return answer{Err: err}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
