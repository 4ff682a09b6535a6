package runner

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/coordination/attempt"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// chunkBytes is the size of a chunk of a body. At most maxQueuedParts of
	// them are queued for the caller, which bounds the memory for a slow
	// reader.
	chunkBytes     = 16 << 10
	maxQueuedParts = 4
	// maxCallDuration bounds a call that may not be repeated. It continues
	// without its caller, since its outcome has to be known.
	maxCallDuration = 15 * time.Minute
)

// call is a request whose answer is a body: one to a plain service, or a
// completion that is not streamed. A separate goroutine calls the backend
// server, so that a call which may not be repeated is finished and recorded
// after its caller has disconnected.
type call struct {
	*job
	send func(ctx context.Context) (*http.Response, error)
	// parts carries the answer to the caller; callerGone is closed when the
	// caller no longer reads it.
	parts      chan part
	callerGone chan struct{}
	// ran is set once the complete answer has been received.
	ran atomic.Bool
	// stored is the answer that is recorded, without its body if that is too
	// large.
	stored    *peer.StoredAnswer
	response  engine.CompletionResponse
	segmentID string
}

// part is one piece of an answer: a head, a chunk, or the end.
type part struct {
	status int
	header http.Header
	data   []byte
	end    bool
	err    error
}

func (j *job) newCall() *call {
	return &call{job: j, parts: make(chan part, maxQueuedParts), callerGone: make(chan struct{})}
}

func (j *job) runPlain(sl *slot) {
	c := j.newCall()
	c.send = func(ctx context.Context) (*http.Response, error) {
		return j.role.client.Do(ctx, engine.Call{
			Address: j.info.Address, Method: j.req.Method, Path: j.req.Path,
			Header: requestHeaders(j.req), Body: j.req.Body, ID: j.key.RequestID,
		})
	}
	c.run(sl)
}

func (j *job) runNonStreaming(sl *slot) {
	c := j.newCall()
	c.segmentID = j.nextSegmentID()
	c.send = func(ctx context.Context) (*http.Response, error) {
		return j.role.client.CompleteNonStreaming(ctx, j.completion(c.segmentID, nil))
	}
	c.run(sl)
}

// run makes the call and forwards its answer.
func (c *call) run(sl *slot) {
	ctx, cancel := c.ctx, context.CancelFunc(func() {})
	if !c.repeatable {
		ctx, cancel = context.WithTimeout(context.Background(), maxCallDuration)
	}
	c.role.inFlight.add()
	go func() {
		defer c.role.inFlight.leave()
		defer cancel()
		c.enqueue(part{end: true, err: c.execute(ctx, sl)})
	}()
	c.role.countResult(c.forward())
}

// enqueue queues a part for the caller, unless it no longer reads the answer.
func (c *call) enqueue(p part) {
	c.role.bufferBudget.add(len(p.data))
	select {
	case c.parts <- p:
	case <-c.callerGone:
		c.role.bufferBudget.add(-len(p.data))
	}
}

// forward writes the answer's frames until it ends, the caller has disconnected
// or the deadline has passed.
func (c *call) forward() error {
	defer c.stopForwarding()
	for {
		select {
		case p := <-c.parts:
			c.role.bufferBudget.add(-len(p.data))
			if p.end && p.err == nil {
				return c.answer.end(c.response.FinishReason())
			}
			if p.err != nil {
				c.answer.fail(p.err)
				return p.err
			}
			if err := c.writePart(p); err != nil {
				return err
			}
		case <-c.ctx.Done():
			err := fault.From(engine.ContextFault(c.ctx))
			if c.ran.Load() {
				err = err.WithRan(fault.RanYes)
			}
			c.answer.fail(err)
			return err
		}
	}
}

// stopForwarding ends the transfer of parts and discards those in the queue.
func (c *call) stopForwarding() {
	close(c.callerGone)
	for {
		select {
		case p := <-c.parts:
			c.role.bufferBudget.add(-len(p.data))
		default:
			return
		}
	}
}

func (c *call) writePart(p part) error {
	if p.status != 0 {
		return c.answer.head(p.status, p.header, false)
	}
	if err := c.answer.chunk(p.data, "", 0); err != nil {
		return err
	}
	return c.answer.flush()
}

// execute makes the call, ends the attempt, frees the slot, and records the
// outcome of a request with a key.
func (c *call) execute(ctx context.Context, sl *slot) error {
	err := c.receive(ctx)
	if err == nil {
		c.ran.Store(true)
		c.releaseFinished(sl)
		c.role.attempts.finish(c.key, c.stored)
		if c.req.Key == nil {
			return nil
		}
		return c.complete(answerOutcome(c.stored))
	}
	e := fault.From(err)
	c.role.noteBroken(err, c.key.RequestID, c.info.Name)
	if ctx.Err() == nil {
		sl.connectionFailed()
	}
	if e.Ran == fault.RanNo {
		sl.release(false)
		return c.role.attempts.unsent(c.key, e)
	}
	c.role.attempts.stop(c.key, c.releaseUnfinished(sl))
	if c.req.Key != nil && !c.repeatable {
		c.complete(unknownOutcome)
	}
	return e.WithRan(fault.RanUnknown)
}

// releaseFinished frees the slot after a complete answer.
func (c *call) releaseFinished(sl *slot) {
	if usage := c.response.Usage; usage.PromptTokens > 0 {
		sl.progress(engine.Stats{PromptTokens: usage.PromptTokens, Tokens: usage.CompletionTokens})
	}
	sl.release(true)
}

// releaseUnfinished ends the slot of a call without a complete answer. A plain
// service may still be processing it. It returns whether the backend server is
// known to have dropped the call.
func (c *call) releaseUnfinished(sl *slot) bool {
	if c.isModel() {
		return c.cancelAtEngine(sl, c.segmentID, c.stored != nil)
	}
	sl.abandon()
	return false
}

// receive sends the request and reads the complete answer. A fault with ran
// "no" means that nothing was sent.
func (c *call) receive(ctx context.Context) error {
	resp, err := c.send(ctx)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	witness := c.role.client.Watch(ctx, c.info.Address, resp)
	defer witness.Close()
	c.stored = &peer.StoredAnswer{Status: uint32(resp.StatusCode), Headers: responseHeaders(resp.Header)}
	c.enqueue(part{status: resp.StatusCode, header: resp.Header})
	for {
		buf := make([]byte, chunkBytes)
		n, err := io.ReadAtLeast(resp.Body, buf, 1)
		if n > 0 {
			c.store(buf[:n])
			c.enqueue(part{data: buf[:n]})
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return c.readFault(ctx, err)
		}
	}
	if err := witness.Confirm(ctx); err != nil {
		c.role.log.Info("answer without a length may be incomplete", "request", c.key.RequestID, "backend_server", c.info.Name, "error", err)
		return err
	}
	if c.isModel() && !c.stored.TooLarge {
		c.response = engine.ParseCompletionResponse(c.stored.Body)
	}
	return nil
}

func (c *call) readFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return engine.ContextFault(ctx)
	}
	return fault.Wrap(err, fault.BackendFailed, "answer of the backend server is incomplete")
}

// store appends data to the stored answer, up to the largest size that the
// ledger accepts.
func (c *call) store(data []byte) {
	if c.stored.TooLarge {
		return
	}
	if proto.Size(c.stored)+len(data) > attempt.MaxAnswerBytes {
		c.stored.TooLarge, c.stored.Body = true, nil
		return
	}
	c.stored.Body = append(c.stored.Body, data...)
}
