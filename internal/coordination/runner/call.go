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
	// partBytes is the size of a chunk of a body. Four of them are on their
	// way to the caller at most, which is the bound of a slow reader.
	partBytes = 16 << 10
	parts     = 4
	// maxCallTime bounds a call that may not be repeated. It goes on without
	// its caller, since its outcome has to be known.
	maxCallTime = 15 * time.Minute
)

// call is a request whose answer is a body: one to a plain service, or a
// completion that is not streamed. A goroutine of its own talks to the
// backend server, so that a call which may not be repeated is finished and
// recorded when its caller has gone.
type call struct {
	*job
	send func(ctx context.Context) (*http.Response, error)
	// parts carries the answer to the caller; gone is closed when the caller
	// does not read it any more.
	parts chan part
	gone  chan struct{}
	// ran is set once the whole answer is there.
	ran atomic.Bool
	// stored is the answer as far as it is kept.
	stored *peer.StoredAnswer
	whole  engine.CompletionResponse
	id     string
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
	return &call{job: j, parts: make(chan part, parts), gone: make(chan struct{})}
}

func (j *job) runPlain(p *place) {
	c := j.newCall()
	c.send = func(ctx context.Context) (*http.Response, error) {
		return j.role.client.Do(ctx, engine.Call{
			Address: j.info.Address, Method: j.req.Method, Path: j.req.Path,
			Header: requestHeaders(j.req), Body: j.req.Body, ID: j.key.RequestID,
		})
	}
	c.run(p)
}

func (j *job) runWhole(p *place) {
	c := j.newCall()
	c.id = j.engineID()
	c.send = func(ctx context.Context) (*http.Response, error) {
		return j.role.client.CompleteNonStreaming(ctx, j.completion(c.id, nil))
	}
	c.run(p)
}

// run makes the call and passes its answer on.
func (c *call) run(p *place) {
	ctx, cancel := c.ctx, context.CancelFunc(func() {})
	if !c.repeatable {
		ctx, cancel = context.WithTimeout(context.Background(), maxCallTime)
	}
	c.role.inFlight.add()
	go func() {
		defer c.role.inFlight.leave()
		defer cancel()
		c.pass(part{end: true, err: c.talk(ctx, p)})
	}()
	c.role.countResult(c.forward())
}

// pass hands a part to the caller, unless it has gone.
func (c *call) pass(p part) {
	c.role.pool.take(len(p.data))
	select {
	case c.parts <- p:
	case <-c.gone:
		c.role.pool.take(-len(p.data))
	}
}

// forward writes the answer's frames until its end, or until the caller has
// gone or the deadline has passed.
func (c *call) forward() error {
	defer c.leave()
	for {
		select {
		case p := <-c.parts:
			c.role.pool.take(-len(p.data))
			if p.end && p.err == nil {
				return c.answer.end(c.whole.FinishReason())
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

// leave stops the flow of parts and drops those on their way.
func (c *call) leave() {
	close(c.gone)
	for {
		select {
		case p := <-c.parts:
			c.role.pool.take(-len(p.data))
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

// talk makes the call, ends the attempt and the place, and records the
// outcome of a key.
func (c *call) talk(ctx context.Context, p *place) error {
	err := c.receive(ctx)
	if err == nil {
		c.ran.Store(true)
		c.finishPlace(p)
		c.role.attempts.finish(c.key, c.stored)
		if c.req.Key == nil {
			return nil
		}
		return c.complete(ranWith(c.stored))
	}
	e := fault.From(err)
	if ctx.Err() == nil {
		p.broken()
	}
	if e.Ran == fault.RanNo {
		p.release(false)
		return c.role.attempts.unsent(c.key, e)
	}
	c.role.attempts.stop(c.key, c.giveUp(p))
	if c.req.Key != nil && !c.repeatable {
		c.complete(unknownOutcome)
	}
	return e.WithRan(fault.RanUnknown)
}

// finishPlace frees the place after a whole answer.
func (c *call) finishPlace(p *place) {
	if usage := c.whole.Usage; usage.PromptTokens > 0 {
		p.progress(engine.Stats{PromptTokens: usage.PromptTokens, Tokens: usage.CompletionTokens})
	}
	p.release(true)
}

// giveUp ends the place of a call without a whole answer. A plain service may
// still be working on it. It says whether the backend server is known to have
// dropped the call.
func (c *call) giveUp(p *place) bool {
	if c.isModel() {
		return c.drop(p, c.id, c.stored != nil)
	}
	p.abandon()
	return false
}

// receive sends the request and reads the whole answer. A fault with ran "no"
// means that nothing was sent.
func (c *call) receive(ctx context.Context) error {
	resp, err := c.send(ctx)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.stored = &peer.StoredAnswer{Status: uint32(resp.StatusCode), Headers: responseHeaders(resp.Header)}
	c.pass(part{status: resp.StatusCode, header: resp.Header})
	for {
		buf := make([]byte, partBytes)
		n, err := io.ReadAtLeast(resp.Body, buf, 1)
		if n > 0 {
			c.keep(buf[:n])
			c.pass(part{data: buf[:n]})
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return c.readFault(ctx, err)
		}
	}
	if c.isModel() && !c.stored.TooLarge {
		c.whole = engine.ParseCompletionResponse(c.stored.Body)
	}
	return nil
}

func (c *call) readFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return engine.ContextFault(ctx)
	}
	return fault.Wrap(err, fault.BackendFailed, "backend server broke off its answer")
}

// keep adds to the answer that is kept, up to the largest that the ledger
// takes.
func (c *call) keep(data []byte) {
	if c.stored.TooLarge {
		return
	}
	if proto.Size(c.stored)+len(data) > attempt.MaxAnswerBytes {
		c.stored.TooLarge, c.stored.Body = true, nil
		return
	}
	c.stored.Body = append(c.stored.Body, data...)
}
