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

// whole is a row: what breaks while answers are streamed.
type whole struct {
	engineFlags []string
	failure     func(*system)
	// minDone is the least share of streams, in percent, that must end whole:
	// an engine that resumes must carry most of them over.
	minDone int
}

// Guards against a cut answer that looks complete, against another request's
// answer, and against bytes that are missing or come twice in a stream that
// went on elsewhere.
func TestAnswerIsWholeAndOnesOwn(t *testing.T) {
	tests := map[string]whole{
		"no failure": {minDone: 100, failure: func(*system) { time.Sleep(failureTime) }},
		"engine dies in the middle": {minDone: 60, failure: func(s *system) {
			for _, b := range s.backendsOf(modelName)[:2] {
				b.control(s.t, standin.Control{ExitAfterTokens: 100, RestartAfterMS: 500})
				time.Sleep(failureTime)
			}
		}},
		"engine that cannot resume dies": {engineFlags: []string{"-resumes=false"}, failure: func(s *system) {
			s.backendsOf(modelName)[0].control(s.t, standin.Control{ExitAfterTokens: 100, RestartAfterMS: 500})
			time.Sleep(failureTime)
		}},
		"agent killed": {minDone: 60, failure: func(s *system) { s.hostOf("model-1").agent.restart(); time.Sleep(failureTime) }},
		"agent's answers cut after some bytes": {failure: func(s *system) {
			l := s.hostOf("model-1").link
			l.closeAfter(3000)
			time.Sleep(failureTime)
			l.heal()
		}},
		"agent cut off in the middle": {failure: func(s *system) {
			l := s.hostOf("model-1").link
			l.cut()
			time.Sleep(failureTime)
			l.heal()
		}},
		"entry killed": {failure: func(s *system) { s.entries[0].process.restart(); time.Sleep(failureTime) }},
		"agent killed and engine dies": {failure: func(s *system) {
			s.hostOf("model-1").agent.restart()
			s.backendsOf(modelName)[1].control(s.t, standin.Control{ExitAfterTokens: 50, RestartAfterMS: 500})
			time.Sleep(failureTime)
		}},
		"failure domain drained": {minDone: 100, failure: func(s *system) { s.setDrained("fes", true, "d"); time.Sleep(2 * failureTime) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, options{plainHosts: 1, engineFlags: append([]string{"-warm", "-step", "8ms", "-max-answer", "200", "-min-answer", "200"}, test.engineFlags...)})
			stop, done := make(chan struct{}), make(chan outcomes)
			go func() { done <- s.streams(12, stop) }()
			time.Sleep(pause)
			test.failure(s)
			close(stop)
			got := <-done
			t.Logf("%d streams, %d whole, %d ended with an error, %d connections broke, refusals: %s",
				got.total, got.done, got.failed, got.broken, describe(got.faults))
			for _, wrong := range got.wrong {
				t.Error(wrong)
			}
			if got.done == 0 || got.done*100 < got.total*test.minDone {
				t.Errorf("%d of %d streams ended whole, want %d %%", got.done, got.total, test.minDone)
			}
			s.checkEngines()
		})
	}
}

// outcomes counts how streams ended.
type outcomes struct {
	total, done, failed, broken int
	wrong                       []string
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
			o.wrong = append(o.wrong, "an answer that ended whole differs: "+diff)
		}
	case got.Fault.Kind != "" && !got.Done:
		o.failed++
		o.faults = append(o.faults, answer{Status: a.Status, Fault: got.Fault})
		if !strings.HasPrefix(want, got.Text) {
			o.wrong = append(o.wrong, fmt.Sprintf("the part before the error is not of this answer: %q", got.Text))
		}
	default:
		o.wrong = append(o.wrong, fmt.Sprintf("an answer ended with neither [DONE] nor an error: %q", tailOf(a.Body)))
	}
}

func tailOf(s string) string { return s[max(0, len(s)-200):] }
