package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/protocol/caller"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

func (h *harness) newRequest(account string) *activeRequest {
	return &activeRequest{role: h.role, w: &caller.Responder{}, req: &caller.Request{
		ClientAccount: account, Service: h.session.in.Services[1], Deadline: time.Now().Add(time.Minute),
	}}
}

func (h *harness) waitForQueue(t *testing.T, n int) {
	t.Helper()
	waitFor(t, "requests to be queued", func() bool {
		h.role.mu.Lock()
		defer h.role.mu.Unlock()
		return h.role.scheduler.waiting == n
	})
}

// Guards against a retry that has tried every backend server and blocks all
// requests queued behind it.
func TestRetryDoesNotBlock(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MaxInFlight = 1 }, newFakeAgent(t, "a1", ok("done")))
	holder := h.newRequest("a")
	choice, err := holder.acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	holder.choice = choice
	retry, other := h.newRequest("a"), h.newRequest("b")
	retry.tried = []routing.Choice{choice}
	results := make([]error, 2)
	var group sync.WaitGroup
	began := time.Now()
	for i, a := range []*activeRequest{retry, other} {
		group.Go(func() {
			a.choice, results[i] = a.acquire(t.Context())
			a.release()
		})
		h.waitForQueue(t, i+1)
	}
	holder.release()
	group.Wait()
	if !fault.Is(results[0], fault.Unavailable) || results[1] != nil {
		t.Errorf("the retry got %v, the other %v", results[0], results[1])
	}
	if took := time.Since(began); took > maxCompleteWait/2 {
		t.Errorf("the requests took %v", took)
	}
}

// Guards against a final refusal for lack of capacity when the only backend
// server has capacity again a moment later.
func TestRoomComesBack(t *testing.T) {
	full := func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Failure{Failure: &peer.Failure{
			Kind: fault.Overloaded.String(), Ran: "no", Message: "no room", RetryAfterMs: 20,
		}}})
	}
	agent := newFakeAgent(t, "a1", full, ok("done"))
	h := newHarness(t, nil, agent)
	res, body, err := h.call(t, "POST", "/s/desk/orders", "{}")
	if err != nil || res.StatusCode != 200 || body != "done" || len(agent.requests()) != 2 {
		t.Errorf("got %v %q %v after %d dispatches", res, body, err, len(agent.requests()))
	}
}

// Guards against slots that are counted twice: the load sent with a refusal
// reports full, and the end of the refused attempt frees no slot. One more
// dispatch would be refused again and take a retry from the budget.
func TestRefusalFreesNothing(t *testing.T) {
	agent := newFakeAgent(t, "a1", func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		// Longer than the periods for which the view counts its own starts and
		// ends.
		time.Sleep(150 * time.Millisecond)
		w.Write(&peer.AnswerFrame{
			Frame: &peer.AnswerFrame_Failure{Failure: &peer.Failure{Kind: fault.Overloaded.String(), Ran: "no", Message: "no room", RetryAfterMs: 10}},
			Load:  &peer.Load{Running: 2, Limit: 2, Window: 3},
		})
	})
	h := newHarness(t, nil, agent)
	res, body, err := h.call(t, "POST", "/s/desk/orders", "{}", "X-Request-Deadline-Ms", "1000")
	if err != nil {
		t.Fatal(err)
	}
	if got := observe(t, res, body, []*fakeAgent{agent}); got.Kind != "overloaded" || got.Ran != "no" || got.Dispatched != 1 {
		t.Errorf("got %+v, want one dispatch and a refusal", got)
	}
}

// Guards against a client account that blocks others with many requests: with
// one slot and a hundred of its requests waiting, each of ten others waits for
// about one of them.
func TestLargeAccount(t *testing.T) {
	const others, large = 10, 100
	h := newHarness(t, func(s *Settings) { s.MaxInFlight = 1 }, newFakeAgent(t, "a1", ok("done")))
	holder := h.newRequest("large")
	choice, err := holder.acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	holder.choice = choice
	var mu sync.Mutex
	var order []string
	var group sync.WaitGroup
	enter := func(account string, waiting int) {
		group.Go(func() {
			a := h.newRequest(account)
			choice, err := a.acquire(t.Context())
			if err != nil {
				t.Error(account, err)
				return
			}
			a.choice = choice
			mu.Lock()
			order = append(order, account)
			mu.Unlock()
			a.release()
		})
		h.waitForQueue(t, waiting)
	}
	for i := range large {
		enter("large", i+1)
	}
	for i := range others {
		enter(fmt.Sprint("small-", i), large+i+1)
	}
	holder.release()
	group.Wait()
	last := 0
	for i, account := range order {
		if account != "large" {
			last = i
		}
	}
	if len(order) != large+others || last > 3*others {
		t.Errorf("of %d requests the last one of the other accounts was served at position %d", len(order), last)
	}
}
