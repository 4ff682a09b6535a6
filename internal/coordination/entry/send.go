package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/dispatch"
	"oleanderrack.example/oleanderrack/internal/coordination/routing"
	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxResumeBytes limits the text that is kept of a stream, so that another
// backend server can resume it.
const maxResumeBytes = 32 << 10

// resumeState is what the caller has received of a stream.
type resumeState struct {
	text   []byte
	tokens uint64
	// textKept is false once the text has grown beyond maxResumeBytes: the
	// stream cannot be resumed.
	textKept bool
	// finished is set once the event with the finish reason has been sent: a
	// resumed stream would add text after the end.
	finished bool
}

// finishReasonField occurs in the event that closes the text of an answer; in
// earlier events the field is null.
const finishReasonField = `"finish_reason":"`

func (s *resumeState) add(c *peer.Chunk) {
	s.tokens += uint64(c.Tokens)
	s.finished = s.finished || bytes.Contains(c.Data, []byte(finishReasonField))
	if s.textKept && len(s.text)+len(c.Text) <= maxResumeBytes {
		s.text = append(s.text, c.Text...)
		return
	}
	s.textKept, s.text = false, nil
}

// dispatchRequest returns the request as the agent receives it.
func (a *activeRequest) dispatchRequest(e dispatch.Send) *peer.DispatchRequest {
	m := &peer.DispatchRequest{
		// A claim can take seconds, so the newest window is used.
		Attempt: e.Attempt, Window: max(a.choice.Window, a.role.window(e.Attempt)), Service: a.req.Service.Name,
		Method: a.req.Method, Path: a.req.Path, Headers: a.req.Headers, Body: a.req.Body,
		Repeatable: a.req.Repeatable, DeadlineMs: uint64(max(time.Until(a.req.Deadline).Milliseconds(), 1)),
		Priority: a.req.Priority, ClientAccount: a.req.ClientAccount, Stream: a.req.Stream,
		PromptBytes: a.req.PromptBytes, MaxTokens: a.req.MaxTokens,
		Entry: a.role.node, Revision: a.role.localRegion().session.Revision(),
	}
	if a.ledger != nil {
		m.Key = a.ledger.key
	}
	if a.prefix != nil {
		m.PromptBlocks = a.prefix.Hashes()
	}
	if e.Resume {
		m.Resume = &peer.Resume{Text: string(a.sent.text), Tokens: a.sent.tokens}
	}
	return m
}

// send dispatches an attempt and forwards its answer to the caller.
func (a *activeRequest) send(ctx context.Context, e dispatch.Send) dispatch.Input {
	defer a.release()
	a.tried = append(a.tried, a.choice)
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := newBuffer(a.role.bufferBudget, a.role.settings.BufferBytesPerStream/2)
	message := a.dispatchRequest(e)
	var sent bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		var body io.ReadCloser
		var err error
		if body, sent, err = a.role.agents.dispatch(ctx, e.Attempt.AgentAddress, message); err != nil {
			lost := fault.Wrap(err, fault.StreamBroken, "the agent did not answer").WithRan(fault.RanUnknown)
			_ = frames.put(ctx, item{err: lost})
			return
		}
		defer body.Close()
		readFrames(ctx, frame.NewReader(body, e.Attempt.RequestId, e.Attempt.Number), frames)
	}()
	d := &delivery{request: a, choice: a.choice, buffered: answerBuffer{budget: a.role.bufferBudget, limit: a.role.settings.BufferBytesPerStream / 2}}
	in := d.run(ctx, frames)
	cancel()
	<-done
	frames.close()
	d.buffered.release()
	if !sent {
		f := fault.New(fault.Unavailable, "the agent cannot be reached")
		if callerCtx.Err() == nil {
			a.role.recordRefusal(d.choice, f)
		}
		return dispatch.AttemptNotSent{Fault: f}
	}
	return in
}

// readFrames reads frames into the buffer until the answer or ctx ends.
func readFrames(ctx context.Context, r *frame.Reader, to *buffer) {
	for {
		f, err := r.Read()
		if err == io.EOF {
			return
		}
		if to.put(ctx, item{frame: f, err: err}) != nil || err != nil {
			return
		}
	}
}

// brokenInput returns the input for an incomplete answer.
func (a *activeRequest) brokenInput(f *fault.Error, reported bool) dispatch.Input {
	a.role.count("broken_answers", f.Kind.String())
	return dispatch.AttemptBroken{Fault: f, Began: a.w.Began(), CanResume: a.canResume(), Reported: reported}
}

// canResume reports whether another backend server can continue after the part
// that the caller has received.
func (a *activeRequest) canResume() bool {
	return a.req.Stream && a.sent.textKept && !a.sent.finished && a.sent.tokens < a.req.MaxTokens
}

// delivery forwards the frames of one attempt to the caller.
type delivery struct {
	request  *activeRequest
	choice   routing.Choice
	head     *peer.Head
	buffered answerBuffer
	// cachedRead is set once the first event has been searched for the number of
	// cached tokens.
	cachedRead bool
}

// answerBuffer holds the first part of an answer that is not a stream, so that
// a short answer reaches the caller complete or not at all.
type answerBuffer struct {
	budget   *byteBudget
	limit    int64
	data     []byte
	reserved int64
}

// add appends data if the limit and the byte budget permit it.
func (b *answerBuffer) add(data []byte) bool {
	n := int64(len(data))
	if int64(len(b.data))+n > b.limit {
		return false
	}
	if ok, _ := b.budget.tryReserve(n); !ok {
		return false
	}
	b.reserved += n
	b.data = append(b.data, data...)
	return true
}

func (b *answerBuffer) release() {
	b.budget.release(b.reserved)
	b.data, b.reserved = nil, 0
}

// removedTimeout is how long an answer may make no progress once control has
// removed the backend server.
const removedTimeout = time.Second

var errRemoved = errors.New("entry: the backend server was removed by control")

// next returns the next item. A frozen host keeps its connections open, so an
// answer that another backend server may give is abandoned when control has
// removed the row of this one. Other requests wait, because their outcome may
// still arrive.
func (d *delivery) next(ctx context.Context, from *buffer) (it item, more bool, err error) {
	a := d.request
	if !a.req.Repeatable || a.ledger != nil {
		return from.get(ctx)
	}
	for missing := 0; ; {
		wait, cancel := context.WithTimeout(ctx, removedTimeout)
		it, more, err = from.get(wait)
		cancel()
		if err == nil || ctx.Err() != nil {
			return it, more, err
		}
		if !a.role.isRemoved(d.choice) {
			missing = 0
		} else if missing++; missing > 1 {
			return it, false, errRemoved
		}
	}
}

// run forwards frames until the attempt has ended.
func (d *delivery) run(ctx context.Context, from *buffer) dispatch.Input {
	for {
		it, more, err := d.next(ctx, from)
		switch {
		case err == errRemoved:
			return d.request.brokenInput(fault.New(fault.StreamBroken, "control removed the backend server before its answer was complete").WithRan(fault.RanUnknown), false)
		case err != nil:
			return stoppedInput(ctx, true)
		}
		if it.err != nil {
			if ctx.Err() != nil {
				return stoppedInput(ctx, true)
			}
			return d.request.brokenInput(fault.From(it.err).WithRan(fault.RanUnknown), false)
		}
		d.recordLoad(it.frame)
		if it.frame.RecentPrompts != nil {
			d.request.role.recordPrompts(d.choice, it.frame.RecentPrompts)
		}
		if in := d.handleFrame(it.frame, more); in != nil {
			return in
		}
	}
}

// recordLoad records the load sent with a frame. The load in a last frame no
// longer includes this request, so the end of the request is counted first;
// counted afterwards, it would report a free slot that does not exist.
func (d *delivery) recordLoad(f *peer.AnswerFrame) {
	if f.Load == nil {
		return
	}
	if f.GetEnd() != nil || f.GetFailure() != nil {
		d.request.release()
	}
	d.request.role.recordLoad(d.choice, f.Load)
}

// handleFrame processes one frame and returns the input that ends the attempt,
// or nil.
func (d *delivery) handleFrame(f *peer.AnswerFrame, more bool) dispatch.Input {
	switch body := f.Frame.(type) {
	case *peer.AnswerFrame_Head:
		return d.handleHead(body.Head)
	case *peer.AnswerFrame_Failure:
		return d.handleFailure(body.Failure)
	case *peer.AnswerFrame_Chunk:
		if d.head == nil {
			return d.request.brokenInput(fault.New(fault.ChecksumMismatch, "the answer has no head frame"), false)
		}
		if err := d.handleChunk(body.Chunk, more); err != nil {
			return dispatch.Stopped{Fault: fault.From(err), MaybeSent: true}
		}
	case *peer.AnswerFrame_End:
		if d.head == nil {
			return d.request.brokenInput(fault.New(fault.ChecksumMismatch, "the answer has no head frame"), false)
		}
		if err := d.handleEnd(); err != nil {
			return dispatch.Stopped{Fault: fault.From(err), MaybeSent: true}
		}
		return dispatch.Delivered{}
	}
	return nil
}

func (d *delivery) handleHead(h *peer.Head) dispatch.Input {
	if d.head != nil {
		return d.request.brokenInput(fault.New(fault.ChecksumMismatch, "the answer has two head frames"), false)
	}
	if d.request.w.Began() && !h.Stream {
		return d.request.brokenInput(fault.New(fault.BackendFailed, "the stream was not resumed: status %d", h.Status), true)
	}
	if err := checkHead(h.Status, h.Headers); err != nil {
		d.request.role.log.Info("answer breaks the protocol", "request", d.request.req.ID, "backend_server", d.choice.BackendServer, "agent", d.choice.Agent.GetId(), "error", err)
		return d.request.brokenInput(fault.Wrap(err, fault.BackendFailed, "the head of the backend server's answer is invalid"), true)
	}
	d.head = h
	return nil
}

// checkHead returns an error if a head that an agent has relayed or stored breaks the
// grammar of HTTP: agents of earlier versions pass on what they get.
func checkHead(status uint32, headers []*peer.Header) error {
	if err := http1.CheckStatus(int(status)); err != nil {
		return err
	}
	for _, h := range headers {
		if err := http1.CheckField(h.Name, h.Value); err != nil {
			return err
		}
	}
	return nil
}

// handleFailure processes the agent's report that an attempt failed. "no" is
// accepted as the run state only if no part of an answer preceded it.
func (d *delivery) handleFailure(f *peer.Failure) dispatch.Input {
	kind, ok := fault.ParseKind(f.Kind)
	if !ok {
		kind = fault.BackendFailed
	}
	e := fault.New(kind, "%s", f.Message).WithRan(fault.ParseRan(f.Ran)).WithRetryAfter(time.Duration(f.RetryAfterMs) * time.Millisecond)
	if e.Ran == fault.RanNo && d.head == nil {
		d.request.role.count("refusals", kind.String())
		d.request.role.recordRefusal(d.choice, e)
		d.request.allowAgain(kind)
		return dispatch.AttemptRefused{Fault: e}
	}
	if e.Ran == fault.RanNo {
		e = e.WithRan(fault.RanUnknown)
	}
	return d.request.brokenInput(e, true)
}

// allowAgain permits a further attempt at an agent that refused for lack of
// capacity; the view avoids it for a moment.
func (a *activeRequest) allowAgain(kind fault.Kind) {
	if kind == fault.Overloaded {
		a.tried = a.tried[:len(a.tried)-1]
	}
}

// handleChunk writes a part to the caller, or buffers it while the answer is
// short.
func (d *delivery) handleChunk(c *peer.Chunk, more bool) error {
	a := d.request
	if d.head.Stream {
		if string(c.Data) == "[DONE]" {
			// Written after the checksum has been verified.
			return nil
		}
		if !a.w.Began() {
			a.w.Begin(int(d.head.Status), d.head.Headers, true)
		}
		d.recordCached(c.Data)
		a.sent.add(c)
	} else if !a.w.Began() {
		if d.buffered.add(c.Data) {
			return nil
		}
		a.w.Begin(int(d.head.Status), d.head.Headers, false)
		if err := a.w.WritePart(d.buffered.data); err != nil {
			return err
		}
		d.buffered.release()
	}
	if err := a.w.WritePart(c.Data); err != nil || more {
		return err
	}
	return a.w.Flush()
}

func (d *delivery) handleEnd() error {
	a := d.request
	if !a.w.Began() && !d.head.Stream {
		return a.w.WriteComplete(int(d.head.Status), d.head.Headers, d.buffered.data)
	}
	if !a.w.Began() {
		a.w.Begin(int(d.head.Status), d.head.Headers, true)
	}
	return a.w.End()
}
