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
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxResumeBytes is the text kept of a stream, so that another backend server
// can go on after it.
const maxResumeBytes = 32 << 10

// resumeState is what the caller has of a stream.
type resumeState struct {
	text   []byte
	tokens uint64
	kept   bool
	// finished says that the event with the finish reason has been sent: what
	// another backend server went on with would be text after the end.
	finished bool
}

// finishMark is in the event that closes the text of an answer; before it the
// field is null.
const finishMark = `"finish_reason":"`

func (s *resumeState) add(c *peer.Chunk) {
	s.tokens += uint64(c.Tokens)
	s.finished = s.finished || bytes.Contains(c.Data, []byte(finishMark))
	if s.kept && len(s.text)+len(c.Text) <= maxResumeBytes {
		s.text = append(s.text, c.Text...)
		return
	}
	s.kept, s.text = false, nil
}

// message returns the request as the agent gets it.
func (a *arrival) message(e dispatch.Send) *peer.DispatchRequest {
	m := &peer.DispatchRequest{
		// A claim can take seconds; the window is the one known now.
		Attempt: e.Attempt, Window: max(a.choice.Window, a.role.window(e.Attempt)), Service: a.req.Service.Name,
		Method: a.req.Method, Path: a.req.Path, Headers: a.req.Headers, Body: a.req.Body,
		Repeatable: a.req.Repeatable, DeadlineMs: uint64(max(time.Until(a.req.Deadline).Milliseconds(), 1)),
		Priority: a.req.Priority, ClientAccount: a.req.ClientAccount, Stream: a.req.Stream,
		PromptBytes: a.req.PromptBytes, MaxTokens: a.req.MaxTokens,
		Entry: a.role.node, Revision: a.role.own().session.Revision(),
	}
	if a.ledger != nil {
		m.Key = a.ledger.key
	}
	if e.Resume {
		m.Resume = &peer.Resume{Text: string(a.sent.text), Tokens: a.sent.tokens}
	}
	return m
}

// send dispatches an attempt and brings its answer to the caller.
func (a *arrival) send(ctx context.Context, e dispatch.Send) dispatch.Input {
	defer a.release()
	a.tried = append(a.tried, a.choice)
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	buffered := newBuffer(a.role.pool, a.role.settings.BufferBytesPerStream/2)
	message := a.message(e)
	var sent bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		var body io.ReadCloser
		var err error
		if body, sent, err = a.role.agents.dispatch(ctx, e.Attempt.AgentAddress, message); err != nil {
			lost := fault.Wrap(err, fault.StreamBroken, "the agent gave no answer").WithRan(fault.RanUnknown)
			_ = buffered.put(ctx, item{err: lost})
			return
		}
		defer body.Close()
		readFrames(ctx, frame.NewReader(body, e.Attempt.RequestId, e.Attempt.Number), buffered)
	}()
	w := &delivery{arrival: a, choice: a.choice, hold: hold{pool: a.role.pool, limit: a.role.settings.BufferBytesPerStream / 2}}
	in := w.run(ctx, buffered)
	cancel()
	<-done
	buffered.close()
	w.hold.drop()
	if !sent {
		f := fault.New(fault.Unavailable, "the agent cannot be reached")
		if caller.Err() == nil {
			a.role.refused(w.choice, f)
		}
		return dispatch.AttemptNotSent{Fault: f}
	}
	return in
}

// readFrames fills the buffer until the answer ends or ctx does.
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

// broken returns the input for an answer that is not whole.
func (a *arrival) broken(f *fault.Error, reported bool) dispatch.Input {
	a.role.count("broken_answers", f.Kind.String())
	return dispatch.AttemptBroken{Fault: f, Began: a.w.Began(), CanResume: a.canResume(), Reported: reported}
}

// canResume says whether another backend server can go on after what the caller
// has.
func (a *arrival) canResume() bool {
	return a.req.Stream && a.sent.kept && !a.sent.finished && a.sent.tokens < a.req.MaxTokens
}

// delivery brings the frames of one attempt to the caller.
type delivery struct {
	arrival *arrival
	choice  routing.Choice
	head    *peer.Head
	hold    hold
}

// hold keeps the first part of a whole answer, so that a short answer reaches
// the caller complete or not at all.
type hold struct {
	pool  *pool
	limit int64
	data  []byte
	taken int64
}

// add keeps data if there is room.
func (h *hold) add(data []byte) bool {
	n := int64(len(data))
	if int64(len(h.data))+n > h.limit {
		return false
	}
	if ok, _ := h.pool.take(n); !ok {
		return false
	}
	h.taken += n
	h.data = append(h.data, data...)
	return true
}

func (h *hold) drop() {
	h.pool.give(h.taken)
	h.data, h.taken = nil, 0
}

// goneAfter is how long an answer may stand still once control has dropped the
// backend server.
const goneAfter = time.Second

var errGone = errors.New("entry: the backend server is gone")

// next returns the next item. A frozen host keeps its connections open, so an
// answer that may be given by another backend server is given up when this one
// has lost its row; other requests wait, because their outcome may still come.
func (d *delivery) next(ctx context.Context, from *buffer) (it item, more bool, err error) {
	a := d.arrival
	if !a.req.Repeatable || a.ledger != nil {
		return from.get(ctx)
	}
	for missing := 0; ; {
		wait, cancel := context.WithTimeout(ctx, goneAfter)
		it, more, err = from.get(wait)
		cancel()
		if err == nil || ctx.Err() != nil {
			return it, more, err
		}
		if !a.role.isGone(d.choice) {
			missing = 0
		} else if missing++; missing > 1 {
			return it, false, errGone
		}
	}
}

// run delivers frames until the attempt has ended in some way.
func (d *delivery) run(ctx context.Context, from *buffer) dispatch.Input {
	for {
		it, more, err := d.next(ctx, from)
		switch {
		case err == errGone:
			return d.arrival.broken(fault.New(fault.StreamBroken, "the agent is gone").WithRan(fault.RanUnknown), false)
		case err != nil:
			return stopped(ctx, true)
		}
		if it.err != nil {
			if ctx.Err() != nil {
				return stopped(ctx, true)
			}
			return d.arrival.broken(fault.From(it.err).WithRan(fault.RanUnknown), false)
		}
		d.load(it.frame)
		if in := d.frame(it.frame, more); in != nil {
			return in
		}
	}
}

// load takes the load that came with a frame. That of a last frame does not hold
// this request any more, so its end is counted first; counted afterwards, it
// would show a place that there is not.
func (d *delivery) load(f *peer.AnswerFrame) {
	if f.Load == nil {
		return
	}
	if f.GetEnd() != nil || f.GetFailure() != nil {
		d.arrival.release()
	}
	d.arrival.role.observed(d.choice, f.Load)
}

// frame takes one frame and returns the input that ends the attempt, or nil.
func (d *delivery) frame(f *peer.AnswerFrame, more bool) dispatch.Input {
	switch body := f.Frame.(type) {
	case *peer.AnswerFrame_Head:
		return d.begin(body.Head)
	case *peer.AnswerFrame_Failure:
		return d.failed(body.Failure)
	case *peer.AnswerFrame_Chunk:
		if d.head == nil {
			return d.arrival.broken(fault.New(fault.ChecksumMismatch, "the answer has no head"), false)
		}
		if err := d.chunk(body.Chunk, more); err != nil {
			return dispatch.Stopped{Fault: fault.From(err), MaybeSent: true}
		}
	case *peer.AnswerFrame_End:
		if d.head == nil {
			return d.arrival.broken(fault.New(fault.ChecksumMismatch, "the answer has no head"), false)
		}
		if err := d.end(); err != nil {
			return dispatch.Stopped{Fault: fault.From(err), MaybeSent: true}
		}
		return dispatch.Delivered{}
	}
	return nil
}

func (d *delivery) begin(h *peer.Head) dispatch.Input {
	if d.head != nil {
		return d.arrival.broken(fault.New(fault.ChecksumMismatch, "the answer has two heads"), false)
	}
	if d.arrival.w.Began() && !h.Stream {
		return d.arrival.broken(fault.New(fault.BackendFailed, "the stream was not resumed: status %d", h.Status), true)
	}
	if h.Status < 200 || h.Status > 599 {
		return d.arrival.broken(fault.New(fault.BackendFailed, "the backend server answered with status %d", h.Status), true)
	}
	d.head = h
	return nil
}

// failed takes the agent's word on an attempt. "no" is believed only if no
// part of an answer came before it.
func (d *delivery) failed(f *peer.Failure) dispatch.Input {
	kind, ok := fault.ParseKind(f.Kind)
	if !ok {
		kind = fault.BackendFailed
	}
	e := fault.New(kind, "%s", f.Message).WithRan(fault.ParseRan(f.Ran)).WithRetryAfter(time.Duration(f.RetryAfterMs) * time.Millisecond)
	if e.Ran == fault.RanNo && d.head == nil {
		d.arrival.role.count("refusals", kind.String())
		d.arrival.role.refused(d.choice, e)
		d.arrival.forgive(kind)
		return dispatch.AttemptRefused{Fault: e}
	}
	if e.Ran == fault.RanNo {
		e = e.WithRan(fault.RanUnknown)
	}
	return d.arrival.broken(e, true)
}

// forgive lets an agent without room be chosen again; the view avoids it for a
// moment.
func (a *arrival) forgive(kind fault.Kind) {
	if kind == fault.Overloaded {
		a.tried = a.tried[:len(a.tried)-1]
	}
}

// chunk writes a part to the caller, or keeps it while the answer is short.
func (d *delivery) chunk(c *peer.Chunk, more bool) error {
	a := d.arrival
	if d.head.Stream {
		if string(c.Data) == "[DONE]" {
			// Written when the checksum has been compared.
			return nil
		}
		if !a.w.Began() {
			a.w.Begin(int(d.head.Status), d.head.Headers, true)
		}
		a.sent.add(c)
	} else if !a.w.Began() {
		if d.hold.add(c.Data) {
			return nil
		}
		a.w.Begin(int(d.head.Status), d.head.Headers, false)
		if err := a.w.Part(d.hold.data); err != nil {
			return err
		}
		d.hold.drop()
	}
	if err := a.w.Part(c.Data); err != nil || more {
		return err
	}
	return a.w.Flush()
}

func (d *delivery) end() error {
	a := d.arrival
	if !a.w.Began() && !d.head.Stream {
		return a.w.Whole(int(d.head.Status), d.head.Headers, d.hold.data)
	}
	if !a.w.Began() {
		a.w.Begin(int(d.head.Status), d.head.Headers, true)
	}
	return a.w.End()
}
