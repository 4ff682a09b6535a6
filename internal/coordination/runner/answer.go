package runner

import (
	"net/http"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// framesPerLoad is the number of frames from one load report to the next.
const framesPerLoad = 32

// answer writes the frames of one attempt's answer.
type answer struct {
	w        *frame.Writer
	response *http.ResponseController
	load     func() *peer.Load
	// prompts returns the prompts of other entries for the head; nil for none.
	prompts func() *peer.RecentPrompts
	frames  int
}

func newAnswer(w http.ResponseWriter, key *peer.AttemptRef, load func() *peer.Load) *answer {
	return &answer{w: frame.NewWriter(w, key.GetRequestId(), key.GetNumber()), response: http.NewResponseController(w), load: load}
}

func (a *answer) write(f *peer.AnswerFrame) error {
	if _, chunk := f.Frame.(*peer.AnswerFrame_Chunk); !chunk || a.frames%framesPerLoad == 0 {
		f.Load = a.load()
	}
	a.frames++
	return a.w.Write(f)
}

func (a *answer) flush() error { return a.response.Flush() }

func (a *answer) head(status int, header http.Header, stream bool) error {
	h := &peer.Head{Status: uint32(status), Headers: responseHeaders(header), Stream: stream}
	f := &peer.AnswerFrame{Frame: &peer.AnswerFrame_Head{Head: h}}
	if a.prompts != nil {
		f.RecentPrompts = a.prompts()
	}
	return a.write(f)
}

func (a *answer) chunk(data []byte, text string, tokens uint32) error {
	c := &peer.Chunk{Data: data, Text: text, Tokens: tokens}
	return a.write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: c}})
}

func (a *answer) event(ev engine.Event) error {
	return a.chunk(ev.Data, ev.Text, ev.Tokens)
}

func (a *answer) end(reason string) error {
	if err := a.write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_End{End: &peer.End{FinishReason: reason}}}); err != nil {
		return err
	}
	return a.flush()
}

// fail ends the answer with a failure. A write error is ignored, since the
// caller has disconnected then.
func (a *answer) fail(err error) {
	e := fault.From(err)
	f := &peer.Failure{Kind: e.Kind.String(), Ran: e.Ran.String(), Message: e.Message, RetryAfterMs: uint64(e.RetryAfter.Milliseconds())}
	if a.write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Failure{Failure: f}}) == nil {
		a.flush()
	}
}

// hopByHopHeaders apply to one connection and are not forwarded in either
// direction. The content length is known from the frames.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	engine.HeaderRequestID: true,
}

func responseHeaders(header http.Header) []*peer.Header {
	var out []*peer.Header
	for name, values := range header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &peer.Header{Name: name, Value: v})
		}
	}
	return out
}

// headerIdempotencyKey carries the caller's idempotency key to a plain service.
const headerIdempotencyKey = "Idempotency-Key"

// requestHeaders returns the headers for the backend server. The idempotency
// key is taken from the reference to the ledger, since entries never send it as
// a header.
func requestHeaders(req *peer.DispatchRequest) http.Header {
	out := http.Header{}
	for _, h := range req.Headers {
		if name := http.CanonicalHeaderKey(h.Name); !hopByHopHeaders[name] {
			out.Add(name, h.Value)
		}
	}
	if key := req.GetKey().GetKey(); key != "" {
		out.Set(headerIdempotencyKey, key)
	}
	return out
}
