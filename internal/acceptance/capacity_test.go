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

// Flags that set the capacity of the engines in this file. The stand-in crashes
// above it.
var smallEngineFlags = []string{"-max-concurrent", "8", "-cold-concurrent", "2", "-memory-tokens", "1500", "-step", "4ms", "-warm-steps", "40"}

const (
	coldConcurrent = 2
	maxConcurrent  = 8
	memoryTokens   = 1500
)

// overloadCase is a test case: a failure while the load is far above the
// capacity of the engines.
type overloadCase struct {
	maxTokens   int
	promptBytes int
	// slowPercent is the share of requests whose answer is read slowly,
	// cancelPercent the share that the caller cancels midway.
	slowPercent, cancelPercent int
	failure                    func(*system)
}

// Guards against an engine that receives more requests or tokens than its
// capacity in its current state, cold or warm.
func TestEngineIsNeverLoadedPastItsCapacity(t *testing.T) {
	tests := map[string]overloadCase{
		"cold start": {maxTokens: 20, failure: func(*system) { time.Sleep(2 * failureDuration) }},
		"engines become cold without notice": {maxTokens: 20, failure: func(s *system) {
			for range 3 {
				time.Sleep(failureDuration)
				for _, b := range s.backendsOf(modelName) {
					b.control(s.t, standin.Control{Cold: "silent"})
				}
			}
		}},
		"engine restarts cold": {maxTokens: 20, failure: func(s *system) {
			time.Sleep(failureDuration)
			for _, b := range s.backendsOf(modelName) {
				b.process.restart()
			}
			time.Sleep(failureDuration)
		}},
		"agents restart under load": {maxTokens: 60, failure: func(s *system) {
			for range 2 {
				time.Sleep(failureDuration)
				for _, h := range s.hosts {
					h.agent.restart()
				}
			}
			time.Sleep(failureDuration)
		}},
		"agent restarts and engine becomes cold": {maxTokens: 60, failure: func(s *system) {
			time.Sleep(failureDuration)
			s.backendsOf(modelName)[0].control(s.t, standin.Control{Cold: "silent"})
			s.hostOf("model-1").agent.restart()
			time.Sleep(failureDuration)
		}},
		"long prompts":   {maxTokens: 100, promptBytes: 1100, failure: func(*system) { time.Sleep(2 * failureDuration) }},
		"long answers":   {maxTokens: 400, failure: func(*system) { time.Sleep(2 * failureDuration) }},
		"slow readers":   {maxTokens: 300, slowPercent: 50, failure: func(*system) { time.Sleep(3 * failureDuration) }},
		"callers cancel": {maxTokens: 300, cancelPercent: 60, failure: func(*system) { time.Sleep(2 * failureDuration) }},
		"leader killed":  {maxTokens: 60, failure: func(s *system) { s.leader().process.restart(); time.Sleep(2 * failureDuration) }},
		"one host drained": {maxTokens: 60, failure: func(s *system) {
			s.setDrained("fes", true, "d")
			time.Sleep(failureDuration)
			s.setDrained("fes", false, "r")
			time.Sleep(failureDuration)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{plainHosts: 1, entries: 3, engineFlags: smallEngineFlags})
			stop, done := make(chan struct{}), make(chan []answer)
			go func() { done <- s.overload(test, 40, stop) }()
			test.failure(s)
			close(stop)
			answers := <-done
			s.checkNoOverload()
			for _, b := range s.backendsOf(modelName) {
				r := record[standin.EngineRecord](t, b)
				if r.MaxInFlight > maxConcurrent || r.MaxTokensHeld > memoryTokens {
					t.Errorf("%s held %d requests and %d tokens, its capacity is %d and %d", r.Name, r.MaxInFlight, r.MaxTokensHeld, maxConcurrent, memoryTokens)
				}
				t.Logf("%s held at most %d requests (%d cold) and %d tokens, ran %d", r.Name, r.MaxInFlight, r.MaxInFlightCold, r.MaxTokensHeld, r.Ran)
			}
			t.Logf("answers: %s", summarize(answers))
		})
	}
}

// overload sends requests from concurrent callers until stop is closed.
func (s *system) overload(p overloadCase, workers int, stop <-chan struct{}) []answer {
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
				a := s.sendRequest(p, w, i)
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

func (s *system) sendRequest(p overloadCase, w, i int) answer {
	prompt := fmt.Sprintf("plan %d of teacher %d ", i, w) + strings.Repeat("x", p.promptBytes)
	in := completion(prompt, p.maxTokens)
	in.headers = map[string]string{"X-Request-Deadline-Ms": "3000"}
	address := s.entries[(w+i)%len(s.entries)].address
	switch roll := (w*7 + i*13) % 100; {
	case roll < p.slowPercent:
		return readSlowly(address, in, 3*time.Second)
	case roll < p.slowPercent+p.cancelPercent:
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+roll*5)*time.Millisecond)
		defer cancel()
		return newCaller().do(ctx, address, in)
	}
	return newCaller().do(context.Background(), address, in)
}

// readSlowly reads an answer in small pieces with pauses, until limit expires.
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
