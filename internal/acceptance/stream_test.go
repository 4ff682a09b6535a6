package acceptance

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/standin"
)

// answerTokens is the length of the answers in this file.
const answerTokens = 60

// streamCase is a test case: a failure while answers are streamed.
type streamCase struct {
	engineFlags []string
	failure     func(*system)
	// minDonePercent is the minimum share of streams, in percent, that must
	// complete. Engines that resume must take over most streams of a failed engine.
	minDonePercent int
}

// Guards against a truncated answer that looks complete, against the answer of
// another request, and against missing or duplicated bytes in a stream that was
// resumed on another engine.
func TestAnswerIsWholeAndOnesOwn(t *testing.T) {
	tests := map[string]streamCase{
		"no failure": {minDonePercent: 100, failure: func(*system) { time.Sleep(failureDuration) }},
		"engine crashes mid-stream": {minDonePercent: 60, failure: func(s *system) {
			for _, b := range s.backendsOf(modelName)[:2] {
				b.control(s.t, standin.Control{ExitAfterTokens: 100, RestartAfterMS: 500})
				time.Sleep(failureDuration)
			}
		}},
		"engine without resume crashes": {engineFlags: []string{"-resumes=false"}, failure: func(s *system) {
			s.backendsOf(modelName)[0].control(s.t, standin.Control{ExitAfterTokens: 100, RestartAfterMS: 500})
			time.Sleep(failureDuration)
		}},
		"agent killed": {minDonePercent: 60, failure: func(s *system) { s.hostOf("model-1").agent.restart(); time.Sleep(failureDuration) }},
		"connections to the agent closed after some bytes": {failure: func(s *system) {
			l := s.hostOf("model-1").link
			l.closeAfter(3000)
			time.Sleep(failureDuration)
			l.heal()
		}},
		"agent partitioned mid-stream": {failure: func(s *system) {
			l := s.hostOf("model-1").link
			l.partition()
			time.Sleep(failureDuration)
			l.heal()
		}},
		"entry killed": {failure: func(s *system) { s.entries[0].process.restart(); time.Sleep(failureDuration) }},
		"agent killed and engine crashes": {failure: func(s *system) {
			s.hostOf("model-1").agent.restart()
			s.backendsOf(modelName)[1].control(s.t, standin.Control{ExitAfterTokens: 50, RestartAfterMS: 500})
			time.Sleep(failureDuration)
		}},
		"failure domain drained": {minDonePercent: 100, failure: func(s *system) { s.setDrained("fes", true, "d"); time.Sleep(2 * failureDuration) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{plainHosts: 1, engineFlags: append([]string{"-warm", "-step", "8ms", "-max-answer", "200", "-min-answer", "200"}, test.engineFlags...)})
			stop, done := make(chan struct{}), make(chan outcomes)
			go func() { done <- s.streams(12, stop) }()
			time.Sleep(pause)
			test.failure(s)
			close(stop)
			got := <-done
			t.Logf("%d streams, %d complete, %d ended with an error, %d broken connections, refusals: %s",
				got.total, got.done, got.failed, got.broken, summarize(got.faults))
			for _, mismatch := range got.mismatches {
				t.Error(mismatch)
			}
			if got.done == 0 || got.done*100 < got.total*test.minDonePercent {
				t.Errorf("%d of %d streams completed, want %d %%", got.done, got.total, test.minDonePercent)
			}
			s.checkNoOverload()
		})
	}
}

// outcomes counts streams by their outcome.
type outcomes struct {
	total, done, failed, broken int
	mismatches                  []string
	faults                      []answer
}

func (s *system) streams(workers int, stop <-chan struct{}) outcomes {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out outcomes
	for w := range workers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("summarise order %d of wholesaler %d", i, w)
				a := newCaller().do(context.Background(), s.entries[(w+i)%len(s.entries)].address, completion(prompt, answerTokens))
				mu.Lock()
				out.add(prompt, a)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return out
}

func (o *outcomes) add(prompt string, a answer) {
	o.total++
	want := standin.Answer(standin.ChatPrompt(prompt), answerTokens)
	got := parseStream(a.Body)
	switch {
	case a.Err != nil:
		o.broken++
	case a.Status != 200:
		o.failed++
		o.faults = append(o.faults, a)
	case got.Done && got.Fault.Kind == "":
		o.done++
		if diff := cmp.Diff(want, got.Text); diff != "" {
			o.mismatches = append(o.mismatches, "a complete answer differs: "+diff)
		}
	case got.Fault.Kind != "" && !got.Done:
		o.failed++
		o.faults = append(o.faults, answer{Status: a.Status, Fault: got.Fault})
		if !strings.HasPrefix(want, got.Text) {
			o.mismatches = append(o.mismatches, fmt.Sprintf("the text before the error is no prefix of the answer: %q", got.Text))
		}
	default:
		o.mismatches = append(o.mismatches, fmt.Sprintf("a stream ended with neither [DONE] nor an error: %q", lastBytes(a.Body)))
	}
}

func lastBytes(s string) string { return s[max(0, len(s)-200):] }
