package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// fakeControl is a session whose lease and intent the test sets, and a ledger
// that records the outcomes.
type fakeControl struct {
	mu        sync.Mutex
	view      membership.View
	cfg       membership.Config
	failing   int
	completed []*peer.CompleteRequest
}

func (f *fakeControl) View() membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeControl) RenewSoon() {}

func (f *fakeControl) set(change func(*membership.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.view)
}

func (f *fakeControl) Complete(_ context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing > 0 {
		f.failing--
		return nil, fault.New(fault.NoQuorum, "test")
	}
	f.completed = append(f.completed, req)
	return &peer.CompleteResponse{State: peer.ClaimState_CLAIM_STATE_DONE}, nil
}

func (f *fakeControl) completions() []*peer.CompleteRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*peer.CompleteRequest(nil), f.completed...)
}

func testIntent() intent.Intent {
	return intent.Intent{
		Region:         "maghreb",
		FailureDomains: []intent.FailureDomain{{Name: "fes"}},
		Services: []intent.Service{
			{Name: "assistant-pool", Kind: intent.Model, FailureDomains: []string{"fes"}},
			{Name: "order-desk", Kind: intent.Plain, FailureDomains: []string{"fes"}, Routes: []intent.Route{
				{Method: "GET", Path: "/stock/*", Repeatable: true},
			}},
		},
	}
}

// harness is an agent with a fake control.
type harness struct {
	t       testing.TB
	role    *Role
	control *fakeControl
	token   auth.Token
	client  *http.Client
	stop    context.CancelFunc
	ended   chan error
	ctx     context.Context
}

func newHarness(t testing.TB, change func(*Settings)) *harness {
	t.Helper()
	s := DefaultSettings()
	s.Listen, s.Region, s.FailureDomain, s.Host = "127.0.0.1:0", "maghreb", "fes", "host-1"
	if change != nil {
		change(&s)
	}
	b := &harness{t: t, token: auth.New("0123456789abcdef"), ended: make(chan error, 1)}
	b.control = &fakeControl{view: membership.View{Revision: 1, Intent: testIntent()}}
	all, stopAll := context.WithCancel(context.Background())
	t.Cleanup(stopAll)
	b.ctx = all
	ctx, stop := context.WithCancel(all)
	b.stop = stop
	role, err := newRole(ctx, s, b.token, func(_ context.Context, cfg membership.Config) (Session, Completer) {
		b.control.cfg = cfg
		return b.control, b.control
	}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	b.role = role
	b.client = &http.Client{Transport: auth.Client{Token: b.token, Base: &http.Transport{DisableKeepAlives: true}}}
	go func() { b.ended <- role.Run() }()
	return b
}

// engine starts a fast engine and waits until the agent has applied its
// announcement.
func (b *harness) engine(cfg standin.EngineConfig) *standin.Engine {
	b.t.Helper()
	cfg.Agent = b.role.Address()
	if cfg.StepTime == 0 {
		cfg.StepTime = 2 * time.Millisecond
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = 50 * time.Millisecond
	}
	e, err := standin.StartEngine(b.ctx, cfg)
	if err != nil {
		b.t.Fatal(err)
	}
	b.waitFor("announcement", func() bool { return b.isAnnounced(e.Record().Name) })
	return e
}

func (b *harness) plain(cfg standin.PlainConfig) *standin.Plain {
	b.t.Helper()
	cfg.Agent = b.role.Address()
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = 50 * time.Millisecond
	}
	p, err := standin.StartPlain(b.ctx, cfg)
	if err != nil {
		b.t.Fatal(err)
	}
	b.waitFor("announcement", func() bool { return b.isAnnounced(p.Record().Name) })
	return p
}

// isAnnounced reports whether the agent has applied an announcement. A backend
// server is listed shortly before that and refuses requests until then.
func (b *harness) isAnnounced(name string) bool {
	server := b.role.backends.get(name)
	return server != nil && server.currentLoad(1).Limit > 0
}

// waitFor polls until a condition holds. The time limit is far above the time
// that the condition needs.
func (b *harness) waitFor(what string, condition func() bool) {
	b.t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatalf("timed out waiting for %s", what)
}

// result is the answer to a dispatch.
type result struct {
	head    *peer.Head
	body    string
	text    string
	end     *peer.End
	failure *peer.Failure
	err     error
}

func (r result) kind() string {
	switch {
	case r.failure != nil:
		return r.failure.Kind + "/" + r.failure.Ran
	case r.end != nil:
		return "end"
	case r.err != nil:
		return "broken"
	}
	return ""
}

func (b *harness) attempt(id string, backend string) *peer.DispatchRequest {
	return &peer.DispatchRequest{
		Attempt: &peer.AttemptRef{RequestId: id, Number: 1, AgentIncarnation: b.role.Incarnation(), BackendServer: backend},
		Window:  b.role.attempts.window(), DeadlineMs: 20_000, Path: "/", Method: "POST",
	}
}

type promptBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens uint64 `json:"max_tokens"`
}

// completion is a dispatch of a stream.
func (b *harness) completion(id, backend, prompt string, max uint64) *peer.DispatchRequest {
	req := b.attempt(id, backend)
	body, err := json.Marshal(promptBody{Prompt: prompt, MaxTokens: max})
	if err != nil {
		b.t.Fatal(err)
	}
	req.Service, req.Path, req.Body = "assistant-pool", "/v1/completions", body
	req.Repeatable, req.Stream, req.PromptBytes, req.MaxTokens = true, true, uint64(len(prompt)), max
	return req
}

func (b *harness) order(id, backend, method, path string) *peer.DispatchRequest {
	req := b.attempt(id, backend)
	req.Service, req.Method, req.Path = "order-desk", method, path
	req.Headers = []*peer.Header{{Name: "Idempotency-Key", Value: "key-" + id}}
	return req
}

// open sends a dispatch and returns the response body.
func (b *harness) open(ctx context.Context, req *peer.DispatchRequest) (io.ReadCloser, error) {
	var buf bytes.Buffer
	if err := frame.WriteMessage(&buf, req); err != nil {
		b.t.Fatal(err)
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.role.Address()+dispatchPath, &buf)
	if err != nil {
		b.t.Fatal(err)
	}
	resp, err := b.client.Do(httpReq)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

func (b *harness) dispatch(ctx context.Context, req *peer.DispatchRequest) result {
	body, err := b.open(ctx, req)
	if err != nil {
		return result{err: err}
	}
	defer body.Close()
	return readAll(body, req)
}

func readAll(body io.Reader, req *peer.DispatchRequest) result {
	var r result
	var data, text strings.Builder
	reader := frame.NewReader(body, req.Attempt.RequestId, req.Attempt.Number)
	for {
		f, err := reader.Read()
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			r.body, r.text = data.String(), text.String()
			return r
		}
		switch x := f.Frame.(type) {
		case *peer.AnswerFrame_Head:
			r.head = x.Head
		case *peer.AnswerFrame_Chunk:
			data.Write(x.Chunk.Data)
			text.WriteString(x.Chunk.Text)
		case *peer.AnswerFrame_End:
			r.end = x.End
		case *peer.AnswerFrame_Failure:
			r.failure = x.Failure
		}
	}
}

// pause sleeps for a retry delay.
func (b *harness) pause(ms uint64) { time.Sleep(time.Duration(ms) * time.Millisecond) }

// waitIdle waits until an engine has made no step for longer than the admission
// assumes it to be warm without one.
func (b *harness) waitIdle(e *standin.Engine) {
	b.t.Helper()
	b.waitFor("idle time", func() bool {
		before := e.Record().Steps
		b.pause(250)
		return e.Record().Steps == before
	})
}
