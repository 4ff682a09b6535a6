package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// stream is a completion on its way from the engine to the reader. The
// goroutine of the dispatch writes frames; another one reads the engine. The
// engine's side can be cancelled and resumed without the reader noticing:
// when the reader is too slow, and when the admission preempts the stream.
type stream struct {
	*job
	buffer *buffer
	// text and tokens are the answer so far, with what the caller had before.
	text   strings.Builder
	tokens uint64
	// prompt is the engine's number of prompt tokens.
	prompt uint64
	// counted is the number of text bytes counted in the pool.
	counted int
	reason  string
	// dropped says that the engine was known not to hold the stream after its
	// last sending.
	dropped bool
}

//go:generate go tool stringer -type=pause -linecomment -output=pause_string.go

// pause says why an engine's part of a stream ended.
type pause uint8

const (
	// pauseEnd: the answer is whole.
	pauseEnd pause = iota // end
	// pauseReader: the reader is too slow.
	pauseReader // reader
	// pausePreempted: the admission needs the memory.
	pausePreempted // preempted
	// pauseFailed: the engine's stream broke.
	pauseFailed // failed
)

func (j *job) runStream(p *place) {
	s := &stream{job: j, buffer: newBuffer(j.role.pool, j.role.settings.BufferBytesPerStream)}
	if r := j.req.Resume; r != nil {
		s.text.WriteString(r.Text)
		s.tokens = r.Tokens
	}
	fed := make(chan struct{})
	go func() {
		defer close(fed)
		s.buffer.close(s.feed(p))
	}()
	err := s.forward()
	if err != nil {
		j.cancel()
	}
	<-fed
	s.buffer.discard()
	s.role.pool.take(-s.counted)
	if err == nil {
		err = j.answer.end(s.reason)
	}
	j.role.countResult(err)
}

// forward writes events to the reader until the stream has ended.
func (s *stream) forward() error {
	headed := false
	for {
		events, closed, err := s.buffer.take(s.ctx)
		if !headed && (len(events) > 0 || (closed && err == nil)) {
			headed = true
			if err := s.answer.head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}, true); err != nil {
				return err
			}
		}
		if err := s.writeEvents(events); err != nil {
			return err
		}
		if closed {
			if err != nil {
				s.answer.fail(err)
			}
			return err
		}
	}
}

func (s *stream) writeEvents(events []engine.Event) error {
	for _, ev := range events {
		if err := s.answer.event(ev); err != nil {
			return err
		}
		s.buffer.written(ev)
	}
	return s.answer.flush()
}

// feed reads the engine until the answer is whole or fails. It ends the
// attempt and the place.
func (s *stream) feed(p *place) error {
	for {
		why, err := s.segment(p)
		switch why {
		case pauseEnd:
			return s.whole()
		case pauseFailed:
			return s.failed(err)
		}
		s.role.log.Debug("stream pauses", "request", s.key.RequestID, "reason", why, "tokens", s.tokens)
		if why == pauseReader {
			if err := s.buffer.waitDrained(s.ctx); err != nil {
				return s.stopped(err)
			}
		}
		if p, err = s.rejoin(); err != nil {
			return s.stopped(err)
		}
	}
}

// whole ends the attempt after a whole answer. The ledger does not keep a
// stream; it notes that the attempt ran.
func (s *stream) whole() error {
	s.role.attempts.finish(s.key, nil)
	if s.req.Key == nil {
		return nil
	}
	return s.complete(ranWith(&peer.StoredAnswer{Status: http.StatusOK, TooLarge: true}))
}

// failed ends the attempt after an error of the engine's side.
func (s *stream) failed(err error) error {
	e := fault.From(err)
	if e.Ran == fault.RanNo && s.segments == 1 {
		return s.role.attempts.unsent(s.key, e)
	}
	s.role.attempts.stop(s.key, s.dropped)
	return e.WithRan(fault.RanUnknown)
}

// stopped ends the attempt while the engine does not hold it.
func (s *stream) stopped(err error) error {
	s.role.attempts.stop(s.key, true)
	return fault.From(err).WithRan(fault.RanUnknown)
}

// engineID names one sending of the attempt to the engine, so that a late
// cancellation of an earlier one does not hit it.
func (j *job) engineID() string {
	j.segments++
	return fmt.Sprintf("%s.%d.%d", j.key.RequestID, j.key.Number, j.segments)
}

func (j *job) completion(id string, resume *engine.Resume) engine.Completion {
	return engine.Completion{
		Address: j.info.Address, Path: j.req.Path, ID: id, Priority: j.req.Priority,
		Body: j.req.Body, MaxTokens: j.req.MaxTokens, Resume: resume,
	}
}

// segment sends the stream to the engine and reads it until it ends, fails or
// has to pause.
func (s *stream) segment(p *place) (pause, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	id := s.engineID()
	var resume *engine.Resume
	if s.tokens > 0 {
		resume = &engine.Resume{Text: s.text.String(), Tokens: s.tokens}
	}
	es, err := s.role.client.Complete(ctx, s.completion(id, resume))
	if err != nil {
		if s.ctx.Err() == nil {
			p.broken()
		}
		if fault.From(err).Ran == fault.RanNo {
			p.release(false)
			return pauseFailed, err
		}
		s.dropped = s.drop(p, id, false)
		return pauseFailed, err
	}
	defer es.Close()
	if es.Status != http.StatusOK {
		p.release(false)
		return pauseFailed, statusFault(es)
	}
	go func() {
		select {
		case <-p.preempt:
			cancel()
		case <-ctx.Done():
		}
	}()
	why, err := s.read(es, p)
	if why == pauseEnd {
		p.release(true)
		return why, nil
	}
	es.Close()
	if why == pauseFailed && s.ctx.Err() == nil {
		p.broken()
	}
	s.dropped = s.drop(p, id, true)
	return why, err
}

// statusFault is the failure for an engine that answers a stream with another
// status than 200.
func statusFault(es *engine.Stream) error {
	body, _ := io.ReadAll(io.LimitReader(es.Body, 512))
	if es.Status >= 400 && es.Status < 500 {
		return fault.New(fault.BadRequest, "engine answered with status %d: %s", es.Status, strings.TrimSpace(string(body))).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.BackendFailed, "engine answered with status %d", es.Status)
}

// read passes events to the buffer.
func (s *stream) read(es *engine.Stream, p *place) (pause, error) {
	for {
		ev, err := es.Next()
		if err == io.EOF || (err != nil && s.reason != "") {
			// The engine has dropped a request whose finish reason it sent.
			return pauseEnd, nil
		}
		if err != nil {
			return s.readError(p, err)
		}
		if s.buffer.put(s.take(ev, p)) || s.reason != "" {
			continue
		}
		if s.canPause() {
			s.role.scope.Counter("parked").Inc(1)
			return pauseReader, nil
		}
		// The engine goes on until its own buffers are full.
		if err := s.buffer.waitDrained(s.ctx); err != nil {
			return pauseFailed, err
		}
	}
}

// readError tells a preemption from other ends of the engine's stream.
func (s *stream) readError(p *place, err error) (pause, error) {
	if s.ctx.Err() != nil {
		return pauseFailed, engine.ContextFault(s.ctx)
	}
	select {
	case <-p.preempt:
		s.role.scope.Counter("preempted").Inc(1)
		return pausePreempted, nil
	default:
		return pauseFailed, err
	}
}

// take notes an event's part of the answer and its figures.
func (s *stream) take(ev engine.Event, p *place) engine.Event {
	s.text.WriteString(ev.Text)
	before := s.tokens
	if ev.Text != "" {
		s.tokens++
	}
	if ev.FinishReason != "" {
		s.reason = ev.FinishReason
	}
	s.role.pool.take(len(ev.Text))
	s.counted += len(ev.Text)
	if ev.Stats != nil {
		s.tokens = max(s.tokens, ev.Stats.Tokens)
		s.prompt = ev.Stats.PromptTokens
		p.progress(*ev.Stats)
	}
	ev.Tokens = uint32(s.tokens - before)
	return ev
}

// canPause says whether the stream can be cancelled and resumed.
func (s *stream) canPause() bool {
	return s.canResume() && s.tokens < s.req.MaxTokens
}

// Times for the confirmation of a cancellation.
const (
	dropTries = 3
	dropTime  = 2 * time.Second
	dropPause = 50 * time.Millisecond
)

// drop cancels a sending at the engine and frees the place once the engine
// confirms that it does not hold it. One that does not know the sending
// confirms only if it had received it: a cancellation can overtake a request.
// Without a confirmation the place counts as foreign load until announcements
// show that it is gone.
func (j *job) drop(p *place, id string, received bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dropTime)
	defer cancel()
	for range dropTries {
		known, err := j.role.client.Cancel(ctx, j.info.Address, id)
		if err == nil && (known || received) {
			p.release(false)
			return true
		}
		select {
		case <-time.After(dropPause):
		case <-ctx.Done():
		}
	}
	j.role.scope.Counter("cancel_unconfirmed").Inc(1)
	p.abandon()
	return false
}

// rejoin waits for a place to continue the stream. No new work may start on a
// backend server that was drained or has left since, so the stream fails then
// and the entry continues it elsewhere.
func (s *stream) rejoin() (*place, error) {
	a := s.arrival()
	a.Wait, a.Resumed, a.PromptTokens = true, s.tokens, s.prompt
	p, refusal := s.backend.arrive(a)
	if refusal != nil {
		return nil, s.refusalFault(refusal)
	}
	recheck := time.NewTicker(recheckTime)
	defer recheck.Stop()
	for {
		select {
		case <-p.admitted:
			if err := s.check(); err != nil {
				p.release(false)
				return nil, err
			}
			return p, nil
		case r := <-p.refused:
			return nil, s.refusalFault(&r)
		case <-recheck.C:
			if err := s.check(); err != nil && !fault.Is(err, fault.NoLease) {
				p.withdraw()
				return nil, err
			}
		case <-s.ctx.Done():
			p.withdraw()
			return nil, engine.ContextFault(s.ctx)
		}
	}
}

// recheckTime is how often a waiting stream looks whether it may still go on.
const recheckTime = 100 * time.Millisecond
