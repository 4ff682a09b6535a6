package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Guards against answers that differ from those of the agent.
func TestAnswers(t *testing.T) {
	stream := func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		w.head(200, true)
		w.chunk("a")
		w.chunk("b")
		w.end()
	}
	tests := map[string]struct {
		script             script
		method, path, body string
		headers            []string
		status             int
		want               string
	}{
		"stream":      {stream, "POST", "/v1/chat/completions", `{"model":"pool","stream":true,"messages":[{"role":"user","content":"x"}]}`, nil, 200, "data: a\n\ndata: b\n\ndata: [DONE]\n\n"},
		"complete":    {ok(`{"a":1}`), "POST", "/v1/completions", `{"model":"pool","prompt":"x"}`, nil, 200, `{"a":1}`},
		"plain":       {ok("in stock"), "GET", "/s/desk/stock/1?x=2", "", nil, 200, "in stock"},
		"plain keyed": {ok("ordered"), "POST", "/s/desk/orders", "{}", []string{"Idempotency-Key", "k1"}, 200, "ordered"},
		"large plain": {ok(strings.Repeat("x", 200000)), "GET", "/s/desk/stock/1", "", nil, 200, strings.Repeat("x", 200000)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil, newFakeAgent(t, "a1", test.script))
			res, body, err := h.call(t, test.method, test.path, test.body, test.headers...)
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != test.status || body != test.want || res.Header.Get("X-Request-Id") == "" {
				t.Errorf("got %d %.200q, want %d %.200q", res.StatusCode, body, test.status, test.want)
			}
		})
	}
}

const (
	streamBody     = `{"model":"pool","stream":true,"messages":[{"role":"user","content":"x"}]}`
	completionBody = `{"model":"pool","prompt":"x"}`
)

func refuse(kind fault.Kind) script {
	return func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) { w.refuse(kind) }
}

// cutAfter aborts the connection after some chunks.
func cutAfter(stream bool, chunks ...string) script {
	return func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		w.head(200, stream)
		for _, c := range chunks {
			w.chunk(c)
		}
		w.cut()
	}
}

// otherRequestFrames answers with the frames of another request.
func otherRequestFrames(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
	other := frame.NewWriter(w.http, "another", 1)
	other.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Head{Head: &peer.Head{Status: 200}}})
	other.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: []byte("secret of another")}}})
	other.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_End{End: &peer.End{}}})
}

// wrongChecksum sends a complete answer with the checksum of other data.
func wrongChecksum(_ *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
	for i, f := range []*peer.AnswerFrame{
		{Frame: &peer.AnswerFrame_Head{Head: &peer.Head{Status: 200}}},
		{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: []byte("tampered")}}},
		{Frame: &peer.AnswerFrame_End{End: &peer.End{Checksum: 1, Bytes: 8}}},
	} {
		f.RequestId, f.Attempt, f.Sequence = req.Attempt.RequestId, req.Attempt.Number, uint64(i+1)
		frame.WriteMessage(w.http, f)
	}
}

// callerAnswer is what a caller can observe of an answer.
type callerAnswer struct {
	Status     int
	Kind       string
	Ran        string
	Body       string
	Dispatched int
}

func observe(t *testing.T, res *http.Response, body string, agents []*fakeAgent) callerAnswer {
	t.Helper()
	got := callerAnswer{Status: res.StatusCode, Body: body}
	var e fault.Body
	if json.Unmarshal([]byte(body), &e) == nil && e.Kind != "" {
		got.Kind, got.Ran, got.Body = e.Kind, e.Ran, ""
		if e.RequestID != res.Header.Get("X-Request-Id") {
			t.Errorf("the error body names request %q, the header %q", e.RequestID, res.Header.Get("X-Request-Id"))
		}
	}
	for _, a := range agents {
		got.Dispatched += len(a.requests())
	}
	return got
}

// Guards against a truncated, foreign or damaged answer that reaches the caller
// as a complete one, against a second run without proof, and against a false
// "not run".
func TestFailures(t *testing.T) {
	order := []string{"POST", "/s/desk/orders", "{}"}
	read := []string{"GET", "/s/desk/stock/1", ""}
	completion := []string{"POST", "/v1/completions", completionBody}
	notRun := []peer.AttemptState{peer.AttemptState_ATTEMPT_STATE_NOT_RUN}
	running := []peer.AttemptState{peer.AttemptState_ATTEMPT_STATE_RUNNING}
	silent := func(*fakeAgent, *peer.DispatchRequest, *agentWriter) {}
	// net/http may resend a request whose connection closes before the first
	// byte; an order must not be sent twice that way.
	closed := func(*fakeAgent, *peer.DispatchRequest, *agentWriter) { panic(http.ErrAbortHandler) }
	tests := map[string]struct {
		call    []string
		scripts []script
		cancels []peer.AttemptState
		key     string
		want    callerAnswer
	}{
		"refused, then accepted":          {order, []script{refuse(fault.Draining), ok("done")}, nil, "", callerAnswer{200, "", "", "done", 2}},
		"refused by both":                 {order, []script{refuse(fault.Draining)}, nil, "", callerAnswer{503, "draining", "no", "", 2}},
		"fault of the request":            {order, []script{refuse(fault.TooLarge)}, nil, "", callerAnswer{413, "too_large", "no", "", 1}},
		"cut, no proof":                   {order, []script{cutAfter(false, "par"), ok("twice")}, nil, "", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"closed without a byte":           {order, []script{closed, ok("twice")}, nil, "", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"keyed, closed without a byte":    {order, []script{closed, ok("twice")}, nil, "k", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"cut, runs":                       {order, []script{cutAfter(false, "par"), ok("twice")}, running, "", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"no answer, tombstone":            {order, []script{silent, ok("done")}, notRun, "", callerAnswer{200, "", "", "done", 2}},
		"repeatable read, cut":            {read, []script{cutAfter(false, "par"), ok("all")}, nil, "", callerAnswer{200, "", "", "all", 2}},
		"repeatable read, foreign frames": {read, []script{otherRequestFrames, ok("mine")}, nil, "", callerAnswer{200, "", "", "mine", 2}},
		"repeatable read, wrong checksum": {read, []script{wrongChecksum, ok("mine")}, nil, "", callerAnswer{200, "", "", "mine", 2}},
		"order, foreign frames":           {order, []script{otherRequestFrames, ok("twice")}, nil, "", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"order, wrong checksum":           {order, []script{wrongChecksum, ok("twice")}, nil, "", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"completion, cut":                 {completion, []script{cutAfter(false, "par"), ok("all")}, nil, "", callerAnswer{200, "", "", "all", 2}},
		"completion, foreign from both":   {completion, []script{otherRequestFrames}, nil, "", callerAnswer{502, "checksum_mismatch", "unknown", "", 2}},
		"keyed, refused, then accepted":   {order, []script{refuse(fault.NoLease), ok("done")}, nil, "k", callerAnswer{200, "", "", "done", 2}},
		"keyed completion, cut, no proof": {completion, []script{cutAfter(false, "par"), ok("twice")}, nil, "k", callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
		"keyed, no answer, tombstone":     {order, []script{silent, ok("done")}, notRun, "k", callerAnswer{200, "", "", "done", 2}},
		"status of a backend server forwarded": {order, []script{func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
			w.head(418, false)
			w.chunk("tea")
			w.end()
		}}, nil, "", callerAnswer{418, "", "", "tea", 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shared := &sharedScripts{scripts: test.scripts}
			agents := []*fakeAgent{newFakeAgent(t, "a1", shared.next), newFakeAgent(t, "a2", shared.next)}
			for _, a := range agents {
				a.cancels = test.cancels
			}
			h := newHarness(t, nil, agents...)
			var headers []string
			if test.key != "" {
				headers = []string{"Idempotency-Key", test.key}
			}
			res, body, err := h.call(t, test.call[0], test.call[1], test.call[2], headers...)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, observe(t, res, body, agents)); diff != "" {
				t.Error(diff)
			}
			for _, a := range agents {
				for _, got := range a.requests() {
					for _, header := range got.Headers {
						if header.Name == "Authorization" || header.Name == "Idempotency-Key" {
							t.Errorf("the agent got header %s", header.Name)
						}
					}
				}
			}
		})
	}
}

// sharedScripts runs one list of scripts on several agents, in the order of the
// dispatches.
type sharedScripts struct {
	mu      sync.Mutex
	scripts []script
	played  int
}

func (s *sharedScripts) next(a *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
	s.mu.Lock()
	play := s.scripts[min(s.played, len(s.scripts)-1)]
	s.played++
	s.mu.Unlock()
	play(a, req, w)
}

// Guards against a broken stream that appears complete, or that restarts from
// the beginning on another backend server.
func TestBrokenStreams(t *testing.T) {
	resumed := func(_ *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
		w.head(200, true)
		w.chunk("after " + req.Resume.GetText())
		w.end()
	}
	long := strings.Repeat("y", 40<<10)
	tests := map[string]struct {
		scripts []script
		want    []string
		not     string
	}{
		"resumed":           {[]script{cutAfter(true, "a", "b"), resumed}, []string{"data: a\n", "data: b\n", "data: after ab\n", "data: [DONE]\n"}, "event: error"},
		"none can resume":   {[]script{cutAfter(true, "a", "b"), refuse(fault.Overloaded)}, []string{"data: b\n", "event: error\ndata: {", `"ran":"yes"`}, "[DONE]"},
		"text not kept":     {[]script{cutAfter(true, long), resumed}, []string{"event: error\ndata: {", `"kind":"stream_broken"`}, "[DONE]"},
		"text has ended":    {[]script{cutAfter(true, "a", `{"choices":[{"finish_reason":"stop"}]}`), resumed}, []string{"event: error\ndata: {"}, "data: after"},
		"wrong end":         {[]script{wrongStreamChecksum, refuse(fault.Overloaded)}, []string{"event: error\ndata: {"}, "[DONE]"},
		"early end of data": {[]script{earlyDone, refuse(fault.Overloaded)}, []string{"event: error\ndata: {"}, "[DONE]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shared := &sharedScripts{scripts: test.scripts}
			h := newHarness(t, nil, newFakeAgent(t, "a1", shared.next), newFakeAgent(t, "a2", shared.next))
			res, body, err := h.call(t, "POST", "/v1/chat/completions", streamBody)
			if err != nil || res.StatusCode != 200 {
				t.Fatalf("got %v, %v", res, err)
			}
			for _, want := range test.want {
				if !strings.Contains(body, want) {
					t.Errorf("%q is missing in %.300q", want, body)
				}
			}
			if strings.Contains(body, test.not) {
				t.Errorf("%q occurs in %.300q", test.not, body)
			}
		})
	}
}

// wrongStreamChecksum ends a stream with the checksum of other data.
func wrongStreamChecksum(_ *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
	w.head(200, true)
	w.chunk("a")
	frame.WriteMessage(w.http, &peer.AnswerFrame{
		RequestId: req.Attempt.RequestId, Attempt: req.Attempt.Number, Sequence: 3,
		Frame: &peer.AnswerFrame_End{End: &peer.End{Checksum: 1, Bytes: 1}},
	})
}

// earlyDone sends the last event of the backend server and no End frame.
func earlyDone(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
	w.head(200, true)
	w.chunk("a")
	w.chunk("[DONE]")
	w.cut()
}

// Guards against a truncated large body that appears complete: the client must
// get an error.
func TestCutLargeBody(t *testing.T) {
	h := newHarness(t, nil, newFakeAgent(t, "a1", cutAfter(false, strings.Repeat("x", 60<<10), strings.Repeat("x", 60<<10))))
	_, body, err := h.call(t, "GET", "/s/desk/stock/1", "")
	if err == nil {
		t.Errorf("got %d bytes without an error", len(body))
	}
}

// BenchmarkStreamEvent measures one stream of b.N events through the entry over
// loopback, with a fake agent that writes without pauses.
func BenchmarkStreamEvent(b *testing.B) {
	data := `{"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`
	agent := newFakeAgent(b, "a1", func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
		w.head(200, true)
		for range b.N {
			w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: []byte(data), Text: "word ", Tokens: 1}}})
		}
		w.end()
	})
	h := newHarness(b, nil, agent)
	b.ReportAllocs()
	b.ResetTimer()
	_, body, err := h.call(b, "POST", "/v1/chat/completions", streamBody)
	if err != nil || !strings.HasSuffix(body, "[DONE]\n\n") {
		b.Fatal(err)
	}
}

func BenchmarkPlain(b *testing.B) {
	h := newHarness(b, nil, newFakeAgent(b, "a1", ok("done")))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, body, err := h.call(b, "GET", "/s/desk/stock/1", ""); err != nil || body != "done" {
				b.Fatal(body, err)
			}
		}
	})
}
