package acceptance

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// keyedAnswers holds all answers by idempotency key.
type keyedAnswers struct {
	mu   sync.Mutex
	keys map[string][]answer
}

func (a *keyedAnswers) add(key string, got answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys[key] = append(a.keys[key], got)
}

func (a *keyedAnswers) all() []answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []answer
	for _, answers := range a.keys {
		out = append(out, answers...)
	}
	return out
}

// orders sends orders with idempotency keys from several callers until stop is
// closed. Each key is sent twice concurrently, to different entries, and once
// more after the first two have been answered.
func (s *system) orders(prefix string, workers int, stop <-chan struct{}) *keyedAnswers {
	got := &keyedAnswers{keys: map[string][]answer{}}
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s.sendOrderThrice(got, fmt.Sprintf("%s-%d-%d", prefix, w, i), w+i)
			}
		})
	}
	all.Wait()
	return got
}

func (s *system) sendOrderThrice(got *keyedAnswers, key string, first int) {
	c := newCaller()
	var pair sync.WaitGroup
	for j := range 2 {
		pair.Go(func() {
			e := s.entries[(first+j)%len(s.entries)]
			got.add(key, c.do(context.Background(), e.address, order(key)))
		})
	}
	pair.Wait()
	got.add(key, c.do(context.Background(), s.entries[first%len(s.entries)].address, order(key)))
}

// checkAtMostOnce compares the answers with the executions that the stand-ins
// recorded: no key ran twice, a key that any answer reports as run did run, and a
// key that every answer reports as not run did not.
func (s *system) checkAtMostOnce(got *keyedAnswers) {
	s.t.Helper()
	executions := s.executions()
	complete := 0
	for key, answers := range got.keys {
		n, ran, notRun := executions[key], false, true
		for _, a := range answers {
			ran = ran || a.isComplete() || a.Fault.Ran == "yes"
			notRun = notRun && a.Fault.Ran == "no"
			if a.isComplete() {
				complete++
			}
		}
		switch {
		case n > 1:
			s.t.Errorf("key %s ran %d times: %v", key, n, answers)
		case ran && n != 1:
			s.t.Errorf("key %s ran %d times, but an answer reports it as run: %v", key, n, answers)
		case notRun && n != 0:
			s.t.Errorf("key %s ran, but every answer reports it as not run: %v", key, answers)
		}
	}
	s.t.Logf("%d keys, %d complete answers, answers: %s", len(got.keys), complete, summarize(got.all()))
	if complete == 0 {
		s.t.Error("no order was answered, so the test proves nothing")
	}
}

// failureDuration is how long a failure of a test case lasts. pause is the time
// before the first failure and after the last one.
const (
	failureDuration = 1500 * time.Millisecond
	pause           = 700 * time.Millisecond
)

// atMostOnceCase is a test case: failures while orders are sent.
type atMostOnceCase struct {
	plainFlags []string
	failure    func(*system)
}

// Guards against a second execution of an order, and against an order that ran
// but is reported as not run, while processes are killed, frozen, partitioned or
// lose their disks.
func TestOrderRunsAtMostOnce(t *testing.T) {
	tests := map[string]atMostOnceCase{
		"no failure": {failure: func(s *system) { time.Sleep(pause) }},
		"leader killed": {failure: func(s *system) {
			l := s.leader()
			l.process.kill()
			time.Sleep(failureDuration)
			l.process.start()
		}},
		"leader killed twice": {failure: func(s *system) {
			for range 2 {
				l := s.leader()
				l.process.restart()
				time.Sleep(failureDuration)
			}
		}},
		"leader frozen and thawed": {failure: func(s *system) {
			l := s.leader()
			l.process.freeze()
			time.Sleep(2 * failureDuration)
			l.process.thaw()
		}},
		"agent killed": {failure: func(s *system) {
			s.hostOf("plain-1").agent.restart()
		}},
		"agent frozen past its lease": {failure: func(s *system) {
			a := s.hostOf("plain-1").agent
			a.freeze()
			time.Sleep(3500 * time.Millisecond)
			a.thaw()
		}},
		"entry killed": {failure: func(s *system) {
			s.entries[0].process.restart()
		}},
		"agent partitioned": {failure: func(s *system) {
			l := s.hostOf("plain-1").link
			l.partition()
			time.Sleep(failureDuration)
			l.heal()
		}},
		"answers of an agent dropped": {failure: func(s *system) {
			l := s.hostOf("plain-2").link
			l.dropResponses()
			time.Sleep(failureDuration)
			l.heal()
		}},
		"backend server resets and loses answers": {failure: func(s *system) {
			for _, b := range s.backendsOf(plainName) {
				b.control(s.t, standin.PlainControl{DelayMS: 20, ResetConnections: 20, DropAnswers: 20})
			}
			time.Sleep(failureDuration)
		}},
		"leader and agent killed together": {failure: func(s *system) {
			l := s.leader()
			l.process.kill()
			s.hostOf("plain-1").agent.restart()
			time.Sleep(failureDuration)
			l.process.start()
		}},
		"entry and leader killed together": {failure: func(s *system) {
			l := s.leader()
			l.process.kill()
			s.entries[1].process.restart()
			time.Sleep(failureDuration)
			l.process.start()
		}},
		"disk lost, then a second replica lost": {failure: loseDiskThenReplica},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{plainFlags: append([]string{"-delay", "15ms"}, test.plainFlags...), modelHosts: 1, entries: 3})
			stop := make(chan struct{})
			done := make(chan *keyedAnswers)
			go func() { done <- s.orders("k", 6, stop) }()
			time.Sleep(pause)
			test.failure(s)
			time.Sleep(pause)
			close(stop)
			got := <-done
			s.checkAtMostOnce(got)
			s.checkResends(got)
		})
	}
}

// checkResends resends up to 40 keys after the failure and asserts that none of
// them runs a second time.
func (s *system) checkResends(got *keyedAnswers) {
	s.t.Helper()
	s.awaitReady()
	c, n := newCaller(), 0
	for key := range got.keys {
		if n++; n > 40 {
			break
		}
		got.add(key, c.do(context.Background(), s.entries[n%len(s.entries)].address, order(key)))
	}
	s.checkAtMostOnce(got)
}

// loseDiskThenReplica kills a follower and deletes its data, replaces it by a new
// replica with a new id, promotes that one, and then kills the other follower.
func loseDiskThenReplica(s *system) {
	l := s.leader()
	var followers []*control
	for _, c := range s.controls {
		if c != l {
			followers = append(followers, c)
		}
	}
	lost := followers[0]
	lost.process.kill()
	if err := os.RemoveAll(lost.folder); err != nil {
		s.t.Error(err)
	}
	replacement := s.addControl(4)
	s.changeMember(peer.ChangeMemberRequest_ACTION_ADD_LEARNER, replacement)
	replacement.process.start()
	s.changeMember(peer.ChangeMemberRequest_ACTION_PROMOTE, replacement)
	s.changeMember(peer.ChangeMemberRequest_ACTION_REMOVE, lost)
	followers[1].process.kill()
	time.Sleep(failureDuration)
	followers[1].process.start()
}

func (s *system) addControl(id int) *control {
	listen := freeAddress(s.t)
	name := fmt.Sprintf("control-%d", id)
	c := &control{id: id, link: newLink(s.t, name, listen), folder: s.folder + "/data-" + name}
	c.config = s.writeFile(name+".toml", s.controlSettings(c, listen, false))
	c.process = newProcess(s.t, s.folder, name, oleanderrackBinary, "control", "-settings", c.config)
	s.controls = append(s.controls, c)
	return c
}

func (s *system) changeMember(action peer.ChangeMemberRequest_Action, c *control) {
	s.eventually(readyTimeout, action.String(), func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := s.operator.ChangeMember(ctx, &peer.ChangeMemberRequest{
			Action: action,
			Member: &peer.Member{Id: uint64(c.id), Address: c.link.address(), FailureDomain: failureDomains[c.id%3]},
		})
		return err
	})
}

// Guards against a request without a key that runs twice after a connection
// failed: each received request may be attempted only once.
func TestOrderWithoutKeyRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{modelHosts: 1, plainHosts: 1})
	b := s.backendsOf(plainName)[0]
	c := newCaller()
	tests := map[string]standin.PlainControl{
		"reset before the request runs": {ResetConnections: 1},
		"answer lost":                   {DropAnswers: 1},
		"answer truncated":              {TruncateAnswers: 1},
		"answer of another request":     {SwapRequestIDs: 1},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			b.control(t, change)
			before := record[standin.PlainRecord](t, b).Received
			got := c.do(context.Background(), s.entries[0].address, call{method: http.MethodPost, path: "/s/" + plainName + "/orders", body: "{}"})
			received := record[standin.PlainRecord](t, b).Received - before
			if received != 1 || got.isComplete() || got.Fault.Ran == "no" {
				t.Errorf("the service received the request %d times and the caller got %v", received, got)
			}
		})
	}
}
