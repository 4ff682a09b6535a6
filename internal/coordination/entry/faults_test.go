package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

var errInjected = errors.New("injected fault")

// faultSource draws random faults; it is safe for concurrent use.
type faultSource struct {
	mu      sync.Mutex
	random  *rand.Rand
	delayed sync.WaitGroup
}

func (s *faultSource) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// runLater calls do after a random delay, when the caller has received a
// failure.
func (s *faultSource) runLater(do func()) {
	wait := time.Duration(s.intN(300)) * time.Millisecond
	s.delayed.Go(func() {
		time.Sleep(wait)
		do()
	})
}

// faultyTransport loses requests and answers on the way to agents, and delivers
// some requests after their failure was reported.
type faultyTransport struct {
	faults *faultSource
	base   http.RoundTripper
}

func (f faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	send := func(ctx context.Context) (*http.Response, error) {
		copied := r.Clone(ctx)
		copied.Body, copied.GetBody = io.NopCloser(bytes.NewReader(body)), nil
		return f.base.RoundTrip(copied)
	}
	discard := func(ctx context.Context) {
		if res, err := send(ctx); err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
	}
	switch f.faults.intN(10) {
	case 0: // The request arrives late.
		f.faults.runLater(func() { discard(context.Background()) })
		return nil, f.connected(r)
	case 1: // The answer is lost.
		discard(r.Context())
		return nil, f.connected(r)
	case 2: // The answer is truncated.
		res, err := send(r.Context())
		if err == nil {
			res.Body = truncatedBody{io.LimitReader(res.Body, int64(f.faults.intN(200))), res.Body}
		}
		return res, err
	}
	return send(r.Context())
}

// connected reports a connection as net/http does before it writes, so that the
// failure is no proof that nothing was sent.
func (f faultyTransport) connected(r *http.Request) error {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return errInjected
}

// truncatedBody ends with an error instead of an end of file.
type truncatedBody struct {
	io.Reader
	io.Closer
}

func (c truncatedBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// faultyControl loses calls and answers of the ledger, and delays some calls.
type faultyControl struct {
	peer.Control
	faults *faultSource
}

func unreliable[Req, Res any](f faultyControl, ctx context.Context, req Req, call func(context.Context, Req) (Res, error)) (res Res, err error) {
	switch f.faults.intN(8) {
	case 0:
		return res, errInjected
	case 1:
		call(ctx, req)
		return res, errInjected
	case 2:
		f.faults.runLater(func() { call(context.Background(), req) })
		return res, errInjected
	}
	return call(ctx, req)
}

func (f faultyControl) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return unreliable(f, ctx, req, f.Control.Claim)
}

func (f faultyControl) Reassign(ctx context.Context, req *peer.ReassignRequest) (*peer.ClaimResponse, error) {
	return unreliable(f, ctx, req, f.Control.Reassign)
}

func (f faultyControl) Complete(ctx context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error) {
	return unreliable(f, ctx, req, f.Control.Complete)
}

func (f faultyControl) Lookup(ctx context.Context, req *peer.LookupRequest) (*peer.ClaimResponse, error) {
	return unreliable(f, ctx, req, f.Control.Lookup)
}

// Guards against a second execution of an order and against a false run state
// in an answer, with real control, agent and order desk and a network that
// loses, truncates and delays messages.
func TestOrdersUnderFaults(t *testing.T) {
	t.Parallel()
	const orders, seed = 120, 7
	faults := &faultSource{random: rand.New(rand.NewPCG(seed, seed))}
	d := startDeployment(t, faults)
	type answer struct {
		status    int
		kind, ran string
	}
	answers := make([][]answer, orders)
	var group sync.WaitGroup
	limit := make(chan struct{}, 24)
	for i := range orders {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			headers := []string{"X-Request-Deadline-Ms", fmt.Sprint(300 + faults.intN(4000))}
			requests := 1
			if i%3 != 0 {
				headers = append(headers, "Idempotency-Key", fmt.Sprint("order-", i))
				requests = 1 + i%3
			}
			for range requests {
				res, body, err := (&harness{role: d.entry}).call(t, "POST", fmt.Sprint("/s/desk/orders/", i), "{}", headers...)
				if err != nil {
					t.Error(err)
					continue
				}
				var e fault.Body
				json.Unmarshal([]byte(body), &e)
				answers[i] = append(answers[i], answer{res.StatusCode, e.Kind, e.Ran})
			}
		})
	}
	group.Wait()
	faults.delayed.Wait()
	counts := map[string]int{}
	for i, list := range answers {
		ran := d.executions(fmt.Sprint("POST /orders/", i))
		notRun := len(list) > 0
		for _, a := range list {
			counts[fmt.Sprint(a.status, " ", a.kind, " ", a.ran)]++
			notRun = notRun && a.ran == "no"
			if a.status == 200 && ran != 1 {
				t.Errorf("order %d was confirmed and ran %d times", i, ran)
			}
		}
		if ran > 1 || notRun && ran > 0 {
			t.Errorf("order %d ran %d times, its requests got %v", i, ran, list)
		}
	}
	t.Logf("answers by status and ran: %v", counts)
	if counts["200  "] < orders/3 {
		t.Errorf("%d confirmations of %d orders: too few to test the guarantees", counts["200  "], orders)
	}
}
