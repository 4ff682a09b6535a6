package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bufio"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

const testKey = "caller-key-0123456789"

func testIntent() intent.Intent {
	sum := sha256.Sum256([]byte(testKey))
	return intent.Intent{
		Region:         "r1",
		FailureDomains: []intent.FailureDomain{{Name: "d1"}},
		Services: []intent.Service{
			{Name: "pool", Kind: intent.Model, FailureDomains: []string{"d1"}},
			{Name: "desk", Kind: intent.Plain, FailureDomains: []string{"d1"},
				Routes: []intent.Route{{Method: "GET", Path: "/stock/*", Repeatable: true}}},
			{Name: "far", Kind: intent.Plain, FailureDomains: []string{"d1"}, Regions: []string{"r1", "r2"}},
		},
		ClientAccounts: []intent.ClientAccount{{Name: "acme", KeySHA256: hex.EncodeToString(sum[:])}},
	}
}

// fakeControl is a ledger in memory and a Watch with fixed rows.
type fakeControl struct {
	peer.Control
	mu             sync.Mutex
	rows           []*peer.BackendServerRow
	attempts       map[string]*peer.AttemptRef
	states         map[string]peer.ClaimState
	answers        map[string]*peer.StoredAnswer
	notRunEvidence []string
	// loseClaims is the number of further Claim and Reassign calls that fail
	// after they have taken effect.
	loseClaims int
	noQuorum   bool
}

func newFakeControl() *fakeControl {
	return &fakeControl{attempts: map[string]*peer.AttemptRef{}, states: map[string]peer.ClaimState{}, answers: map[string]*peer.StoredAnswer{}}
}

func (c *fakeControl) Watch(ctx context.Context, req *peer.WatchRequest) (*peer.WatchResponse, error) {
	if req.Since > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peer.WatchResponse{Epoch: 1, Version: 1, Full: true, Rows: c.rows}, nil
}

func (c *fakeControl) Claim(_ context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return c.change(req.Key, nil, req.Attempt)
}

func (c *fakeControl) Reassign(_ context.Context, req *peer.ReassignRequest) (*peer.ClaimResponse, error) {
	return c.change(req.Key, req.Failed, req.Next)
}

func (c *fakeControl) change(key *peer.KeyRef, failed, next *peer.AttemptRef) (*peer.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noQuorum {
		return nil, peer.ToTwirp(fault.New(fault.NoQuorum, "no quorum"))
	}
	current := c.attempts[key.Key]
	if current == nil || failed != nil && proto.Equal(current, failed) {
		c.attempts[key.Key], c.states[key.Key] = next, peer.ClaimState_CLAIM_STATE_IN_PROGRESS
		current = next
	}
	if c.loseClaims > 0 {
		c.loseClaims--
		return nil, fmt.Errorf("answer lost")
	}
	if proto.Equal(current, next) && c.states[key.Key] == peer.ClaimState_CLAIM_STATE_IN_PROGRESS {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: next}, nil
	}
	return &peer.ClaimResponse{State: c.states[key.Key], Attempt: current, Answer: c.answers[key.Key]}, nil
}

func (c *fakeControl) Complete(_ context.Context, req *peer.CompleteRequest) (*peer.CompleteResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !proto.Equal(c.attempts[req.Key.Key], req.Attempt) {
		return nil, peer.ToTwirp(fault.New(fault.Conflict, "not current"))
	}
	switch o := req.Outcome.(type) {
	case *peer.CompleteRequest_Answer:
		c.states[req.Key.Key], c.answers[req.Key.Key] = peer.ClaimState_CLAIM_STATE_DONE, o.Answer
	case *peer.CompleteRequest_NotRun:
		delete(c.attempts, req.Key.Key)
		c.notRunEvidence = append(c.notRunEvidence, o.NotRun.String())
	case *peer.CompleteRequest_Unknown:
		c.states[req.Key.Key] = peer.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return &peer.CompleteResponse{State: c.states[req.Key.Key]}, nil
}

func (c *fakeControl) Lookup(_ context.Context, req *peer.LookupRequest) (*peer.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[req.Key.Key] == nil {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_ABSENT}, nil
	}
	return &peer.ClaimResponse{State: c.states[req.Key.Key], Attempt: c.attempts[req.Key.Key], Answer: c.answers[req.Key.Key]}, nil
}

type fakeSession struct {
	mu              sync.Mutex
	in              intent.Intent
	noLease         bool
	noConfiguration bool
}

func (s *fakeSession) CheckLease() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noLease {
		return fault.New(fault.NoLease, "no lease")
	}
	return nil
}
func (s *fakeSession) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noConfiguration {
		return 0
	}
	return 1
}
func (s *fakeSession) Intent() intent.Intent {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noConfiguration {
		return intent.Intent{}
	}
	return s.in
}

// script handles a dispatch at a fake agent; it returns when the answer is
// written.
type script func(a *fakeAgent, req *peer.DispatchRequest, w *agentWriter)

type agentWriter struct {
	*frame.Writer
	http http.ResponseWriter
}

func (w *agentWriter) flush() { w.http.(http.Flusher).Flush() }

func (w *agentWriter) head(status uint32, stream bool) {
	w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Head{Head: &peer.Head{Status: status, Stream: stream}}})
}

func (w *agentWriter) chunk(data string) {
	w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: []byte(data), Text: data, Tokens: 1}}})
	w.flush()
}

func (w *agentWriter) end() {
	w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_End{End: &peer.End{}}})
}

func (w *agentWriter) refuse(kind fault.Kind) {
	w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Failure{Failure: &peer.Failure{Kind: kind.String(), Ran: "no", Message: "refused"}}})
}

// cut aborts the connection in the middle of the answer.
func (w *agentWriter) cut() {
	w.flush()
	panic(http.ErrAbortHandler)
}

// fakeAgent runs one script for each dispatch; the last one repeats.
type fakeAgent struct {
	peer.Agent
	server         *httptest.Server
	node           *peer.Node
	mu             sync.Mutex
	scripts        []script
	cancels        []peer.AttemptState
	answer         *peer.StoredAnswer
	received       []*peer.DispatchRequest
	cancelRequests []*peer.CancelRequest
}

func newFakeAgent(t testing.TB, id string, scripts ...script) *fakeAgent {
	t.Helper()
	a := &fakeAgent{scripts: scripts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/dispatch", a.dispatch)
	mux.Handle("/", peer.NewAgentServer(a))
	a.server = httptest.NewServer(mux)
	t.Cleanup(a.server.Close)
	a.node = &peer.Node{Id: id, Incarnation: 7, Address: strings.TrimPrefix(a.server.URL, "http://"), FailureDomain: "d1", Region: "r1"}
	return a
}

func (a *fakeAgent) dispatch(w http.ResponseWriter, r *http.Request) {
	req := &peer.DispatchRequest{}
	if err := frame.ReadMessage(bufio.NewReader(r.Body), req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	run := a.scripts[min(len(a.received), len(a.scripts)-1)]
	a.received = append(a.received, req)
	a.mu.Unlock()
	run(a, req, &agentWriter{Writer: frame.NewWriter(w, req.Attempt.RequestId, req.Attempt.Number), http: w})
}

func (a *fakeAgent) Cancel(_ context.Context, req *peer.CancelRequest) (*peer.CancelResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelRequests = append(a.cancelRequests, req)
	state := peer.AttemptState_ATTEMPT_STATE_FORGOTTEN
	if len(a.cancels) > 0 {
		state = a.cancels[min(len(a.cancelRequests), len(a.cancels))-1]
	}
	return &peer.CancelResponse{State: state, AgentIncarnation: a.node.Incarnation, Answer: a.answer, Attempt: req.Attempt}, nil
}

func (a *fakeAgent) requests() []*peer.DispatchRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

func (a *fakeAgent) rows(first uint32) []*peer.BackendServerRow {
	var rows []*peer.BackendServerRow
	for i, service := range []string{"pool", "desk", "far"} {
		rows = append(rows, &peer.BackendServerRow{Index: first + uint32(i), Agent: a.node, BackendServer: &peer.BackendServer{
			Name: a.node.Id + "-" + service, Incarnation: 1, Service: service, MaxConcurrent: 64, MemoryTokens: 100000, Resumes: true,
			Load: &peer.Load{Limit: 64, TokensLimit: 100000, Window: 3},
		}})
	}
	return rows
}

// harness is an entry with a fake control and fake agents.
type harness struct {
	role    *Role
	control *fakeControl
	session *fakeSession
	// remoteSession is the session of all other regions.
	remoteSession *fakeSession
	stop          context.CancelFunc
}

func newHarness(t testing.TB, change func(*Settings), agents ...*fakeAgent) *harness {
	t.Helper()
	h := &harness{control: newFakeControl(), session: &fakeSession{in: testIntent()}, remoteSession: &fakeSession{in: testIntent(), noLease: true}}
	for i, a := range agents {
		h.control.rows = append(h.control.rows, a.rows(uint32(1+10*i))...)
	}
	s := DefaultSettings()
	s.Listen, s.Region, s.FailureDomain, s.Host, s.DrainSettle.Duration = "127.0.0.1:0", "r1", "d1", "entry-1", 0
	if change != nil {
		change(&s)
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	var err error
	h.role, err = newRole(ctx, s, hclog.NewNullLogger(), dependencies{
		connect: func(_ context.Context, region string, _ []string, _ *peer.Node, _ tally.Scope) (peer.Control, Session) {
			if region != "r1" {
				return newFakeControl(), h.remoteSession
			}
			return h.control, h.session
		},
		transport: NewTransport(), now: time.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- h.role.Run() }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	// The first Watch returns the rows.
	for deadline := time.Now().Add(5 * time.Second); ; {
		h.role.mu.Lock()
		n := h.role.view.Len()
		h.role.mu.Unlock()
		if n == len(h.control.rows) {
			return h
		}
		if time.Now().After(deadline) {
			t.Fatal("no rows after 5 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// call sends a request and returns the answer with its body.
func (h *harness) call(t testing.TB, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.role.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(res.Body)
	return res, buf.String(), err
}

// ok sends a complete answer with the text.
func ok(text string) script {
	return func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		w.head(200, false)
		w.chunk(text)
		w.end()
	}
}
