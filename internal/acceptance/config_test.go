package acceptance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// propagationBound bounds the time from the acceptance of a configuration until
// every node runs it.
const propagationBound = 6 * time.Second

func isConflictWith(err error, winner string) bool {
	return fault.Is(err, fault.Conflict) && strings.Contains(err.Error(), winner)
}

// acceptedChange is a change whose confirm succeeded.
type acceptedChange struct {
	revision  uint64
	maxTokens uint64
}

// commitChanges commits changes one after the other until stop is closed. Each
// change sets a different max_tokens, which identifies it.
func (s *system) commitChanges(stop <-chan struct{}) []acceptedChange {
	var all []acceptedChange
	for i := uint64(1); ; i++ {
		select {
		case <-stop:
			return all
		default:
		}
		if a, err := s.commitChange(i); err == nil {
			all = append(all, a)
		}
	}
}

// commitChange plans and confirms one change. It retries the confirm until its
// outcome is known or 20 s have passed.
func (s *system) commitChange(i uint64) (acceptedChange, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	in := testIntent()
	in.Services[0].MaxTokens = 1000 + i
	plan, err := s.operator.Plan(ctx, &peer.PlanRequest{Intent: in.Canonical()})
	if err != nil {
		return acceptedChange{}, err
	}
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
		resp, err := s.operator.Confirm(callCtx, &peer.ConfirmRequest{
			PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent,
			OperationId: fmt.Sprintf("change-%d", i), OperatorName: "test",
		})
		cancelCall()
		if err == nil {
			return acceptedChange{revision: resp.Revision, maxTokens: 1000 + i}, nil
		}
		if ctx.Err() != nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.BadRequest) {
			return acceptedChange{}, err
		}
	}
}

var revisionPattern = regexp.MustCompile(`(?m)^oleanderrack_revision\{[^}]*\} (\S+)$`)

// runningRevision returns the revision that a node runs, from its metrics.
func runningRevision(address string) (uint64, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	m := revisionPattern.FindSubmatch(text)
	if m == nil {
		return 0, errors.New("no revision in the metrics")
	}
	v, err := strconv.ParseFloat(string(m[1]), 64)
	return uint64(v), err
}

// watchRevisions samples all nodes until stop is closed and returns every
// decrease of a node's revision. It compares across restarts as well, since a
// node must not serve before it has the newest revision.
func (s *system) watchRevisions(stop <-chan struct{}) []string {
	highest, regressions := map[string]uint64{}, []string(nil)
	for {
		select {
		case <-stop:
			return regressions
		case <-time.After(50 * time.Millisecond):
		}
		for _, address := range s.nodeAddresses() {
			r, err := runningRevision(address)
			if err != nil {
				continue
			}
			if r < highest[address] {
				regressions = append(regressions, fmt.Sprintf("revision of %s decreased from %d to %d", address, highest[address], r))
			}
			highest[address] = max(highest[address], r)
		}
	}
}

func (s *system) nodeAddresses() []string {
	var out []string
	for _, e := range s.entries {
		out = append(out, e.address)
	}
	for _, h := range s.hosts {
		out = append(out, h.link.address())
	}
	return out
}

// Guards against an accepted configuration that is lost or reverted, and against
// a node whose revision decreases.
func TestConfigurationNeverReverts(t *testing.T) {
	tests := map[string]func(*system){
		"no failure":    func(*system) { time.Sleep(pause) },
		"leader killed": func(s *system) { s.leader().process.restart(); time.Sleep(failureDuration) },
		"leader killed twice": func(s *system) {
			for range 2 {
				s.leader().process.restart()
				time.Sleep(failureDuration)
			}
		},
		"old leader partitioned for 4 s": func(s *system) {
			l := s.leader()
			l.link.partition()
			time.Sleep(4 * time.Second)
			l.link.heal()
		},
		"old leader frozen": func(s *system) {
			l := s.leader()
			l.process.freeze()
			time.Sleep(3 * time.Second)
			l.process.thaw()
			time.Sleep(pause)
		},
		"leader killed, torn write at the end of its log": func(s *system) {
			l := s.leader()
			l.process.kill()
			tearLog(s.t, l.folder)
			l.process.start()
			time.Sleep(failureDuration)
		},
		"all control replicas killed at once": func(s *system) {
			for _, c := range s.controls {
				c.process.kill()
			}
			for _, c := range s.controls {
				c.process.start()
			}
			time.Sleep(failureDuration)
		},
		"leader killed and a follower partitioned": func(s *system) {
			l := s.leader()
			l.process.kill()
			other := s.controls[l.id%3]
			other.link.partition()
			time.Sleep(failureDuration)
			l.process.start()
			other.link.heal()
			time.Sleep(failureDuration)
		},
		"disk lost, then a second replica lost": loseDiskThenReplica,
	}
	for name, failure := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{modelHosts: 2, plainHosts: 1})
			stop := make(chan struct{})
			changes, regressions := make(chan []acceptedChange, 1), make(chan []string, 1)
			go func() { changes <- s.commitChanges(stop) }()
			go func() { regressions <- s.watchRevisions(stop) }()
			time.Sleep(pause)
			failure(s)
			time.Sleep(pause)
			close(stop)
			s.checkAccepted(<-changes)
			for _, regression := range <-regressions {
				t.Error(regression)
			}
		})
	}
}

// checkAccepted asserts that the revisions of accepted changes increase and that
// the last accepted change takes effect on all nodes.
func (s *system) checkAccepted(all []acceptedChange) {
	s.t.Helper()
	if len(all) == 0 {
		s.t.Fatal("no change was accepted, so the test proves nothing")
	}
	for i := 1; i < len(all); i++ {
		if all[i].revision <= all[i-1].revision {
			s.t.Errorf("revision %d was assigned after revision %d", all[i].revision, all[i-1].revision)
		}
	}
	last := all[len(all)-1]
	began := time.Now()
	s.eventually(readyTimeout, "the last change is in force", func() error {
		status, err := s.status()
		if err != nil {
			return err
		}
		if status.Revision < last.revision {
			return fmt.Errorf("revision is %d, but %d was accepted", status.Revision, last.revision)
		}
		// A change whose confirm was committed but not answered may follow the
		// last accepted one.
		if status.Revision == last.revision && !strings.Contains(string(status.Intent), fmt.Sprintf("max_tokens = %d", last.maxTokens)) {
			s.t.Errorf("the intent of revision %d differs from the accepted one", last.revision)
		}
		if !status.InForce {
			return errors.New("not in force yet")
		}
		return nil
	})
	for _, address := range s.nodeAddresses() {
		s.eventually(readyTimeout, "node runs the last change", func() error {
			r, err := runningRevision(address)
			if err == nil && r < last.revision {
				err = fmt.Errorf("%s runs revision %d, accepted is %d", address, r, last.revision)
			}
			return err
		})
	}
	s.t.Logf("%d changes accepted, the last one is revision %d, in force %v later", len(all), last.revision, time.Since(began).Round(10*time.Millisecond))
}

// tearLog appends an incomplete record to the newest log segment, as a crash
// during a write leaves it.
func tearLog(t *testing.T, folder string) {
	t.Helper()
	var newest string
	err := filepath.Walk(folder, func(path string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() && strings.Contains(filepath.Base(path), "log") && path > newest {
			newest = path
		}
		return err
	})
	if err != nil || newest == "" {
		t.Fatalf("no log segment in %s: %v", folder, err)
	}
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.Write([]byte{0xff, 0x07, 0x00, 0x01}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a change that takes longer than 6 s to reach every node,
// including nodes that restart after hundreds of changes, and against changes
// after which a used key counts as new, so that a resent order runs twice.
func TestConfigurationSpreads(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{})
	c, resent := newCaller(), order("key-before-the-changes")
	if got := c.do(context.Background(), s.entries[0].address, resent); !got.isComplete() {
		t.Fatalf("first order: %v", got)
	}
	stopped := s.hostOf("model-2").agent
	stopped.kill()
	for i := range uint64(500) {
		if _, err := s.commitChange(i + 1); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.do(context.Background(), s.entries[1].address, resent); !got.isComplete() || s.executions()[resent.key] != 1 {
		t.Errorf("an order resent after 500 changes ran %d times: %v", s.executions()[resent.key], got)
	}
	stopped.start()
	restarted := s.controls[0]
	if restarted == s.leader() {
		restarted = s.controls[1]
	}
	restarted.process.restart()
	var slowest time.Duration
	for i := range uint64(10) {
		a, err := s.commitChange(600 + i)
		if err != nil {
			t.Fatal(err)
		}
		took := s.awaitRevision(a.revision)
		slowest = max(slowest, took)
		if took > propagationBound {
			t.Errorf("revision %d was in force on all nodes after %v, the bound is %v", a.revision, took, propagationBound)
		}
	}
	t.Logf("slowest of 10 changes was in force on all nodes after %v", slowest.Round(time.Millisecond))
}

// awaitRevision waits until every node runs at least the revision, or until
// readyTimeout, and returns the time it took.
func (s *system) awaitRevision(revision uint64) time.Duration {
	s.t.Helper()
	began := time.Now()
	var all sync.WaitGroup
	for _, address := range s.nodeAddresses() {
		all.Go(func() {
			for time.Since(began) < readyTimeout {
				if r, err := runningRevision(address); err == nil && r >= revision {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return time.Since(began)
}

// Guards against a resent confirm that takes effect twice, and against a confirm
// that is accepted from an unauthenticated operator.
func TestConfirmIsIdempotentAndAuthenticated(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{modelHosts: 1, plainHosts: 1, entries: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	plan, err := s.operator.Plan(ctx, &peer.PlanRequest{Changes: []*peer.StateChange{{FailureDomain: "fes", Drained: true}}})
	if err != nil {
		t.Fatal(err)
	}
	req := &peer.ConfirmRequest{PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent, OperationId: "one", OperatorName: "amal"}
	first, err := s.operator.Confirm(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.commitChange(1); err != nil {
		t.Fatal(err)
	}
	again, err := s.operator.Confirm(ctx, req)
	if err != nil || again.Revision != first.Revision || !again.RepeatedAnswer {
		t.Errorf("resent confirm got %v and %v, want revision %d again", again, err, first.Revision)
	}
	unauthenticated := controlapi.New(s.controlAddresses(), &http.Client{Transport: auth.Client{Token: auth.New("a-wrong-token-0123"), Base: &http.Transport{}}})
	if _, err := unauthenticated.Confirm(ctx, req); !fault.Is(err, fault.Unauthenticated) {
		t.Errorf("confirm with a wrong token got %v, want unauthenticated", err)
	}
}
