package runner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// Guards against a request that runs twice, against an answer that is
// incomplete or belongs to another request, and against a ledger without the
// outcome, for each fault of the connection to the service.
func TestPlainCalls(t *testing.T) {
	tests := map[string]struct {
		control  standin.PlainControl
		method   string
		path     string
		want     string
		runs     int
		outcome  string
		failing  int
		bodySize int
	}{
		"answered":            {want: "end", runs: 1, outcome: "200"},
		"large answer":        {path: "/orders?bytes=300000", want: "end", runs: 1, outcome: "200 too large", bodySize: 300_000},
		"ledger fails first":  {want: "end", runs: 1, outcome: "200", failing: 3},
		"reset before run":    {control: standin.PlainControl{ResetConnections: 1}, want: "backend_failed/unknown", runs: 0, outcome: "unknown"},
		"answer lost":         {control: standin.PlainControl{DropAnswers: 1}, want: "backend_failed/unknown", runs: 1, outcome: "unknown"},
		"answer cut":          {control: standin.PlainControl{TruncateAnswers: 1}, path: "/orders?bytes=100000", want: "backend_failed/unknown", runs: 1, outcome: "unknown", bodySize: 50_000},
		"no length":           {control: standin.PlainControl{UnframedAnswers: 1}, path: "/orders?bytes=100", want: "end", runs: 1, outcome: "200", bodySize: 100},
		"no length, crash":    {control: standin.PlainControl{UnframedAnswers: 1, CrashAnswers: 1}, path: "/orders?bytes=100", want: "backend_failed/unknown", runs: 1, outcome: "unknown", bodySize: 50},
		"swapped answer":      {control: standin.PlainControl{SwapRequestIDs: 1}, want: "checksum_mismatch/unknown", runs: 1, outcome: "unknown"},
		"repeatable is reset": {control: standin.PlainControl{ResetConnections: 1}, method: "GET", path: "/stock/1", want: "backend_failed/unknown", runs: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			p := b.plain(standin.PlainConfig{Name: "desk-1"})
			p.Apply(test.control)
			b.control.mu.Lock()
			b.control.failing = test.failing
			b.control.mu.Unlock()
			method, path := "POST", "/orders"
			if test.method != "" {
				method = test.method
			}
			if test.path != "" {
				path = test.path
			}
			req := b.order("r", "desk-1", method, path)
			req.Repeatable, req.Key = method == "GET", &peer.KeyRef{ClientAccount: "a", Service: "order-desk", Key: "key-r"}
			got := b.dispatch(context.Background(), req)
			if got.kind() != test.want {
				t.Errorf("got %s (%v), want %s", got.kind(), got.err, test.want)
			}
			if test.bodySize > 0 && len(got.body) != test.bodySize {
				t.Errorf("body has %d bytes, want %d", len(got.body), test.bodySize)
			}
			if r := p.Record(); r.Executions["key-r"] != test.runs || r.Received != 1 {
				t.Errorf("ran %d times, received %d, want %d and 1", r.Executions["key-r"], r.Received, test.runs)
			}
			outcome := ""
			for _, c := range b.control.completions() {
				outcome += describeOutcome(c)
			}
			if outcome != test.outcome {
				t.Errorf("ledger has %q, want %q", outcome, test.outcome)
			}
		})
	}
}

func describeOutcome(c *peer.CompleteRequest) string {
	switch o := c.Outcome.(type) {
	case *peer.CompleteRequest_Answer:
		if o.Answer.TooLarge {
			return fmt.Sprint(o.Answer.Status, " too large")
		}
		return fmt.Sprint(o.Answer.Status)
	case *peer.CompleteRequest_Unknown:
		return "unknown"
	}
	return "none"
}

// Guards against a part of an answer without a length that an agent relays as a whole
// one, or records in the ledger as the answer to an order, because the service has reset
// the connection during the upload and runs on.
func TestResetDuringUpload(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			b := newHarness(t, nil)
			p := b.plain(standin.PlainConfig{Name: "desk-1"})
			p.Apply(standin.PlainControl{ResetUploads: 1})
			req := b.order("r", "desk-1", method, "/orders")
			req.Body, req.Repeatable = make([]byte, 8<<20), method == "GET"
			want := []any{"backend_failed/unknown", "", 1}
			if method == "POST" {
				req.Key = &peer.KeyRef{ClientAccount: "a", Service: "order-desk", Key: "key-r"}
				want[1] = "unknown"
			}
			got := b.dispatch(context.Background(), req)
			outcome := ""
			for _, c := range b.control.completions() {
				outcome += describeOutcome(c)
			}
			if diff := cmp.Diff(want, []any{got.kind(), outcome, p.Record().Executions["key-r"]}); diff != "" {
				t.Error(diff, got.err)
			}
			b.checkBroken("end")
		})
	}
}

// Guards against a call that is aborted when its caller disconnects or its
// deadline passes: it must continue, and its outcome must be in the ledger and
// in the answer to a cancellation.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]struct {
		leave    bool
		deadline uint64
		want     string
	}{
		"caller disconnected": {leave: true, deadline: 10_000, want: "broken"},
		"deadline exceeded":   {deadline: 100, want: "deadline_exceeded/unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			p := b.plain(standin.PlainConfig{Name: "desk-1"})
			p.Apply(standin.PlainControl{DelayMS: 400})
			req := b.order("r", "desk-1", "POST", "/orders")
			req.DeadlineMs, req.Key = test.deadline, &peer.KeyRef{Key: "key-r"}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan result, 1)
			go func() { ended <- b.dispatch(ctx, req) }()
			b.waitFor("execution", func() bool { return p.Record().Ran == 1 })
			if test.leave {
				cancel()
			}
			if got := <-ended; got.kind() != test.want {
				t.Errorf("got %s, want %s", got.kind(), test.want)
			}
			b.waitFor("outcome", func() bool { return len(b.control.completions()) == 1 })
			if got := describeOutcome(b.control.completions()[0]); got != "200" {
				t.Errorf("ledger has %q", got)
			}
			answer, err := (&agentAPI{role: b.role}).Cancel(ctx, &peer.CancelRequest{Attempt: req.Attempt, Window: req.Window})
			if err != nil || answer.State != peer.AttemptState_ATTEMPT_STATE_FINISHED || answer.Answer.GetStatus() != 200 {
				t.Errorf("cancellation: %v %v", answer, err)
			}
		})
	}
}

// Guards against a plain service that gets more requests than its limit from
// callers that arrive at once and disconnect early.
func TestPlainConcurrency(t *testing.T) {
	b := newHarness(t, nil)
	p := b.plain(standin.PlainConfig{Name: "desk-1", MaxConcurrent: 4})
	p.Apply(standin.PlainControl{DelayMS: 60})
	// On a busy machine, a round may end before any of its requests has arrived.
	for range 50 {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				req := b.order(fmt.Sprint("r-", i), "desk-1", "GET", "/stock/1")
				req.Repeatable = true
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10+i)*time.Millisecond)
				defer cancel()
				b.dispatch(ctx, req)
			})
		}
		wg.Wait()
		if p.Record().Ran > 0 {
			break
		}
	}
	r := p.Record()
	if r.CrashReason != "" || r.MaxInFlight > 4 || r.Ran == 0 {
		t.Errorf("record %+v", r)
	}
	if text := fmt.Sprint(b.role.backends.get("desk-1").currentLoad(1)); !strings.Contains(text, "limit:4") {
		t.Errorf("load %s", text)
	}
}
