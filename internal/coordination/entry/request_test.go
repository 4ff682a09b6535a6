package entry

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// completeKey answers like an agent: it stores the answer in the ledger before
// it sends it.
func completeKey(h *harness, text string) script {
	return func(_ *fakeAgent, req *peer.DispatchRequest, out *agentWriter) {
		answer := &peer.StoredAnswer{Status: 200, Body: []byte(text)}
		h.control.Complete(context.Background(), &peer.CompleteRequest{Key: req.Key, Attempt: req.Attempt, Outcome: &peer.CompleteRequest_Answer{Answer: answer}})
		ok(text)(nil, req, out)
	}
}

// Guards against a second run when the ledger's answers are lost, and against a
// key that stays claimed although nothing was sent.
func TestLostClaims(t *testing.T) {
	tests := map[string]struct {
		lostClaims int
		noQuorum   bool
		want       callerAnswer
		settled    []string
		services   string
		regions    map[string][]string
	}{
		"one lost":            {1, false, callerAnswer{200, "", "", "done", 1}, nil, "desk", nil},
		"all lost":            {maxLedgerCalls, false, callerAnswer{503, "region_unreachable", "no", "", 0}, []string{"NOT_RUN_EVIDENCE_NOT_SENT"}, "desk", nil},
		"no quorum":           {0, true, callerAnswer{503, "no_quorum", "no", "", 0}, nil, "desk", nil},
		"home not configured": {0, false, callerAnswer{503, "region_unreachable", "no", "", 0}, nil, "far", nil},
		"home not reachable":  {0, false, callerAnswer{503, "region_unreachable", "no", "", 0}, nil, "far", map[string][]string{"r2": {"x:1"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			agents := []*fakeAgent{newFakeAgent(t, "a1", ok("done"))}
			h := newHarness(t, func(s *Settings) { s.ControlRegions = test.regions }, agents...)
			h.control.loseClaims, h.control.noQuorum = test.lostClaims, test.noQuorum
			key := "k"
			far, _ := testIntent().Service("far")
			for homeRegion(far, "r1", &peer.KeyRef{ClientAccount: "acme", Service: "far", Key: key}) != "r2" {
				key += "k"
			}
			res, body, err := h.call(t, "POST", "/s/"+test.services+"/orders", "{}", "Idempotency-Key", key)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, observe(t, res, body, agents)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.settled, h.control.notRunEvidence); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a second request with the same key that runs again, or that
// gets no answer although the first one completes.
func TestSecondArrival(t *testing.T) {
	agent := newFakeAgent(t, "a1", ok(""))
	h := newHarness(t, nil, agent)
	entered, proceed := make(chan struct{}), make(chan struct{})
	agent.scripts = []script{func(a *fakeAgent, req *peer.DispatchRequest, out *agentWriter) {
		close(entered)
		<-proceed
		completeKey(h, "ordered")(a, req, out)
	}}
	var group sync.WaitGroup
	bodies := make([]string, 2)
	order := func(i int) {
		defer group.Done()
		_, bodies[i], _ = h.call(t, "POST", "/s/desk/orders", "{}", "Idempotency-Key", "k")
	}
	group.Add(2)
	go order(0)
	<-entered
	go order(1)
	time.AfterFunc(100*time.Millisecond, func() { close(proceed) })
	group.Wait()
	if diff := cmp.Diff([]string{"ordered", "ordered"}, bodies); diff != "" {
		t.Error(diff)
	}
	if n := len(agent.requests()); n != 1 {
		t.Errorf("the order was dispatched %d times", n)
	}
}

// Guards against wrong answers to a key whose first request has ended, is in
// progress or was lost with its entry.
func TestKeyStates(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		state  peer.ClaimState
		cancel peer.AttemptState
		want   callerAnswer
	}{
		"dropped":             {peer.ClaimState_CLAIM_STATE_DONE_DROPPED, 0, callerAnswer{409, "already_run", "yes", "", 0}},
		"reused":              {peer.ClaimState_CLAIM_STATE_KEY_REUSED, 0, callerAnswer{422, "key_reused", "no", "", 0}},
		"unknown":             {peer.ClaimState_CLAIM_STATE_UNKNOWN, 0, callerAnswer{502, "outcome_unknown", "unknown", "", 0}},
		"stored":              {peer.ClaimState_CLAIM_STATE_DONE, 0, callerAnswer{200, "", "", "kept", 0}},
		"still running":       {peer.ClaimState_CLAIM_STATE_IN_PROGRESS, peer.AttemptState_ATTEMPT_STATE_RUNNING, callerAnswer{409, "key_in_progress", "unknown", "", 0}},
		"entry crashed early": {peer.ClaimState_CLAIM_STATE_IN_PROGRESS, peer.AttemptState_ATTEMPT_STATE_NOT_RUN, callerAnswer{200, "", "", "done", 1}},
		"agent restarted":     {peer.ClaimState_CLAIM_STATE_IN_PROGRESS, peer.AttemptState_ATTEMPT_STATE_FORGOTTEN, callerAnswer{502, "outcome_unknown", "unknown", "", 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agents := []*fakeAgent{newFakeAgent(t, "a1", ok("done"))}
			agents[0].cancels = []peer.AttemptState{test.cancel}
			h := newHarness(t, nil, agents...)
			n := agents[0].node
			h.control.attempts["k"] = &peer.AttemptRef{RequestId: "first", Number: 1, AgentId: n.Id, AgentIncarnation: n.Incarnation, AgentAddress: n.Address}
			h.control.states["k"] = test.state
			h.control.answers["k"] = &peer.StoredAnswer{Status: 200, Body: []byte("kept")}
			res, body, err := h.call(t, "POST", "/s/desk/orders", "{}", "Idempotency-Key", "k")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, observe(t, res, body, agents)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a false run state after the deadline.
func TestDeadline(t *testing.T) {
	tests := map[string]struct {
		cancel peer.AttemptState
		ran    string
	}{
		"tombstone": {peer.AttemptState_ATTEMPT_STATE_NOT_RUN, "no"},
		"running":   {peer.AttemptState_ATTEMPT_STATE_RUNNING, "unknown"},
		"finished":  {peer.AttemptState_ATTEMPT_STATE_FINISHED, "yes"},
		"forgotten": {peer.AttemptState_ATTEMPT_STATE_FORGOTTEN, "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			block := make(chan struct{})
			agent := newFakeAgent(t, "a1", func(*fakeAgent, *peer.DispatchRequest, *agentWriter) { <-block })
			agent.cancels = []peer.AttemptState{test.cancel}
			h := newHarness(t, nil, agent)
			defer close(block)
			res, body, err := h.call(t, "POST", "/s/desk/orders", "{}", "X-Request-Deadline-Ms", "200")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(callerAnswer{504, "deadline_exceeded", test.ran, "", 1}, observe(t, res, body, []*fakeAgent{agent})); diff != "" {
				t.Error(diff)
			}
			if got := agent.requests()[0].DeadlineMs; got == 0 || got > 200 {
				t.Errorf("the agent received a deadline of %d ms, want at most 200", got)
			}
		})
	}
}

// Guards against requests that fail because one agent is down.
func TestDeadAgents(t *testing.T) {
	alive := newFakeAgent(t, "a1", ok("done"))
	dead := newFakeAgent(t, "a2", ok(""))
	dead.server.Close()
	h := newHarness(t, nil, alive, dead)
	for range 20 {
		res, body, err := h.call(t, "POST", "/s/desk/orders", "{}")
		if err != nil || res.StatusCode != 200 || body != "done" {
			t.Fatalf("got %v %q %v", res, body, err)
		}
	}
}

// Guards against a retry storm: when every backend server fails, retries stay
// within 10 plus a tenth of the first attempts.
func TestRetryBudget(t *testing.T) {
	const requests = 100
	var agents []*fakeAgent
	for _, id := range []string{"a1", "a2", "a3", "a4"} {
		agents = append(agents, newFakeAgent(t, id, cutAfter(false, "par")))
	}
	h := newHarness(t, nil, agents...)
	dispatched := 0
	for range requests {
		if _, _, err := h.call(t, "GET", "/s/desk/stock/1", ""); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range agents {
		dispatched += len(a.requests())
	}
	if retries := dispatched - requests; retries > 10+requests/10 || retries < 10 {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
}

// Guards against an account's limit that is not enforced, and against a refusal
// without the time after which to retry.
func TestAccountLimit(t *testing.T) {
	agent := newFakeAgent(t, "a1", ok("done"))
	h := newHarness(t, nil, agent)
	h.session.in.ClientAccounts[0].RequestsPerSecond, h.session.in.ClientAccounts[0].Burst = 0.1, 1
	if res, _, err := h.call(t, "POST", "/s/desk/orders", "{}"); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	res, body, err := h.call(t, "POST", "/s/desk/orders", "{}")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(callerAnswer{429, "rate_limited", "no", "", 1}, observe(t, res, body, []*fakeAgent{agent})); diff != "" {
		t.Error(diff)
	}
	if after := res.Header.Get("Retry-After"); after != "10" {
		t.Errorf("Retry-After is %q, want 10", after)
	}
}

// Guards against accepting work without a lease: readiness fails and requests
// are refused.
func TestNoLease(t *testing.T) {
	agent := newFakeAgent(t, "a1", ok("done"))
	h := newHarness(t, nil, agent)
	h.session.mu.Lock()
	h.session.noLease = true
	h.session.mu.Unlock()
	res, _, err := h.call(t, "GET", "/readyz", "")
	if err != nil || res.StatusCode != 503 {
		t.Errorf("readyz: %v %v", res, err)
	}
	res, body, err := h.call(t, "POST", "/s/desk/orders", "{}")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(callerAnswer{503, "no_lease", "no", "", 0}, observe(t, res, body, []*fakeAgent{agent})); diff != "" {
		t.Error(diff)
	}
}

// Guards against a valid key that is refused as unknown before the first configuration
// has come. The caller would not try again.
func TestNoConfiguration(t *testing.T) {
	agent := newFakeAgent(t, "a1", ok("done"))
	h := newHarness(t, nil, agent)
	for _, test := range []struct {
		noConfiguration bool
		want            callerAnswer
	}{{true, callerAnswer{503, "unavailable", "no", "", 0}}, {false, callerAnswer{200, "", "", "done", 1}}} {
		h.session.mu.Lock()
		h.session.noConfiguration = test.noConfiguration
		h.session.mu.Unlock()
		res, body, err := h.call(t, "POST", "/s/desk/orders", "{}")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.want, observe(t, res, body, []*fakeAgent{agent})); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against an entry that reports ready because it has a lease but no
// configuration: it would refuse callers as unauthenticated.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	h := newHarness(t, nil, newFakeAgent(t, "a1", ok("done")))
	for _, test := range []struct {
		noConfiguration bool
		want            int
	}{{true, 503}, {false, 200}} {
		h.session.mu.Lock()
		h.session.noConfiguration = test.noConfiguration
		h.session.mu.Unlock()
		if res, _, err := h.call(t, "GET", "/readyz", ""); err != nil || res.StatusCode != test.want {
			t.Errorf("without configuration %v: readyz: %v %v", test.noConfiguration, res, err)
		}
	}
}

// Guards against a completion that hangs on a frozen agent: its connection
// stays open, but control removes its rows.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	t.Run("before the answer", func(t *testing.T) {
		testFrozenAgent(t, "", "data: b after \n\ndata: [DONE]\n\n")
	})
	t.Run("in the answer", func(t *testing.T) {
		testFrozenAgent(t, "a", "data: a\n\ndata: b after a\n\ndata: [DONE]\n\n")
	})
}

func testFrozenAgent(t *testing.T, first, want string) {
	block := make(chan struct{})
	frozen := newFakeAgent(t, "a1", func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		if first != "" {
			w.head(200, true)
			w.chunk(first)
		}
		<-block
	})
	h := newHarness(t, nil, frozen)
	defer close(block)
	other := newFakeAgent(t, "a2", func(_ *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
		w.head(200, true)
		w.chunk("b after " + req.Resume.GetText())
		w.end()
	})
	time.AfterFunc(50*time.Millisecond, func() {
		h.role.mu.Lock()
		defer h.role.mu.Unlock()
		h.role.view.Apply(time.Now(), "r1", &peer.WatchResponse{Epoch: 1, Version: 2, Full: true, Rows: other.rows(50)})
	})
	_, body, err := h.call(t, "POST", "/v1/chat/completions", streamBody)
	if err != nil || body != want {
		t.Errorf("got %q %v, want %q", body, err, want)
	}
}

// Guards against a shutdown that aborts a request in flight.
func TestDrain(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	agent := newFakeAgent(t, "a1", func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		w.head(200, true)
		w.chunk("a")
		close(entered)
		<-proceed
		w.chunk("b")
		w.end()
	})
	h := newHarness(t, nil, agent)
	got := make(chan string, 1)
	go func() {
		_, body, _ := h.call(t, "POST", "/v1/chat/completions", streamBody)
		got <- body
	}()
	<-entered
	h.stop()
	time.AfterFunc(50*time.Millisecond, func() { close(proceed) })
	if body := <-got; !strings.HasSuffix(body, "data: b\n\ndata: [DONE]\n\n") {
		t.Errorf("got %q", body)
	}
}
