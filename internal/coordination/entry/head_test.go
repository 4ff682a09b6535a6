package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// brokenHeads are heads that break the grammar of HTTP. An agent of an earlier version
// relays and stores those of its backend servers as they are.
var brokenHeads = map[string]*peer.Head{
	"status 000":              {Status: 0},
	"status 099":              {Status: 99},
	"interim status":          {Status: 103},
	"status 600":              {Status: 600},
	"blank in a name":         {Status: 200, Headers: []*peer.Header{{Name: "X Note", Value: "a"}}},
	"blank after a name":      {Status: 200, Headers: []*peer.Header{{Name: "Content-Length ", Value: "4"}}},
	"control byte in a name":  {Status: 200, Headers: []*peer.Header{{Name: "X\x01Note", Value: "a"}}},
	"no name":                 {Status: 200, Headers: []*peer.Header{{Value: "a"}}},
	"LF in a value":           {Status: 200, Headers: []*peer.Header{{Name: "X-Note", Value: "a\nSet-Cookie: b"}}},
	"control byte in a value": {Status: 200, Headers: []*peer.Header{{Name: "X-Note", Value: "a\x7f"}}},
}

// TestBrokenHeadFromAgent guards against a head that breaks the grammar reaching the
// caller, or closing its connection without an answer, because an agent relayed it.
func TestBrokenHeadFromAgent(t *testing.T) {
	order := []string{"POST", "/s/desk/orders", "{}"}
	read := []string{"GET", "/s/desk/stock/1", ""}
	stream := []string{"POST", "/v1/chat/completions", streamBody}
	for name, head := range brokenHeads {
		broken := func(_ *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
			h := &peer.Head{Status: head.Status, Headers: head.Headers, Stream: req.Stream}
			w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Head{Head: h}})
			w.chunk("spam")
			w.end()
		}
		streamed := func(_ *fakeAgent, _ *peer.DispatchRequest, w *agentWriter) {
			w.head(200, true)
			w.chunk("mine")
			w.end()
		}
		tests := map[string]struct {
			call    []string
			key     string
			scripts []script
			want    callerAnswer
		}{
			"read, then another":   {read, "", []script{broken, ok("mine")}, callerAnswer{200, "", "", "mine", 2}},
			"read, from both":      {read, "", []script{broken}, callerAnswer{502, "backend_failed", "unknown", "", 2}},
			"order":                {order, "", []script{broken, ok("twice")}, callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
			"keyed order":          {order, "k", []script{broken, ok("twice")}, callerAnswer{502, "outcome_unknown", "unknown", "", 1}},
			"stream, then another": {stream, "", []script{broken, streamed}, callerAnswer{200, "", "", "data: mine\n\ndata: [DONE]\n\n", 2}},
		}
		for caseName, test := range tests {
			t.Run(name+"/"+caseName, func(t *testing.T) {
				shared := &sharedScripts{scripts: test.scripts}
				agents := []*fakeAgent{newFakeAgent(t, "a1", shared.next), newFakeAgent(t, "a2", shared.next)}
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
			})
		}
	}
}

// TestBrokenStoredAnswer guards against a stored answer whose head breaks the grammar
// closing the connection of each caller that sends its key again.
func TestBrokenStoredAnswer(t *testing.T) {
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			a := newFakeAgent(t, "a1", func(*fakeAgent, *peer.DispatchRequest, *agentWriter) {})
			a.cancels = []peer.AttemptState{peer.AttemptState_ATTEMPT_STATE_FINISHED}
			a.answer = &peer.StoredAnswer{Status: head.Status, Headers: head.Headers, Body: []byte("spam")}
			h := newHarness(t, nil, a)
			res, body, err := h.call(t, "POST", "/s/desk/orders", "{}", "Idempotency-Key", "k")
			if err != nil {
				t.Fatal(err)
			}
			want := callerAnswer{502, "outcome_unknown", "unknown", "", 1}
			if diff := cmp.Diff(want, observe(t, res, body, []*fakeAgent{a})); diff != "" {
				t.Error(diff)
			}
		})
	}
}
