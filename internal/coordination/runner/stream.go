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

// stream is a completion that is forwarded from the engine to the reader. The
// goroutine of the dispatch writes frames; another one reads from the engine.
// The request to the engine can be cancelled and resumed without an effect on
// the answer: when the reader is too slow, and when the admission preempts the
// stream.
type stream struct {
	*job
	buffer *buffer
	// text and tokens are the answer so far, including the part that the caller
	// had before.
	text   strings.Builder
	tokens uint64
	// promptTokens is the number of prompt tokens that the engine reported.
	promptTokens uint64
	// countedBytes is the number of text bytes counted in the byte budget.
	countedBytes int
	finishReason string
	// dropped is set if the engine is known not to hold the stream after the
	// last segment.
	dropped bool
}

//go:generate go tool stringer -type=pause -linecomment -output=pause_string.go

// pause is the reason why a segment of a stream ended.
type pause uint8

const (
	// pauseEnd: the answer is complete.
	pauseEnd pause = iota // end
	// pauseReader: the reader is too slow.
	pauseReader // reader
	// pausePreempted: the admission needs the memory, or the backend server was
	// found to be cold.
	pausePreempted // preempted
	// pauseFailed: the engine's stream broke.
	pauseFailed // failed
)

func (j *job) runStream(sl *slot) {
	s := &stream{job: j, buffer: newBuffer(j.role.bufferBudget, j.role.settings.BufferBytesPerStream)}
	if r := j.req.Resume; r != nil {
		s.text.WriteString(r.Text)
		s.tokens = r.Tokens
	}
	engineDone := make(chan struct{})
	go func() {
		defer close(engineDone)
		s.buffer.close(s.readEngine(sl))
	}()
	err := s.forward()
	if err != nil {
		j.cancel()
	}
	<-engineDone
	s.buffer.discard()
	s.role.bufferBudget.add(-s.countedBytes)
	if err == nil {
		err = j.answer.end(s.finishReason)
	}
	j.role.countResult(err)
}

// forward writes events to the reader until the stream has ended.
func (s *stream) forward() error {
	headSent := false
	for {
		events, closed, err := s.buffer.take(s.ctx)
		if !headSent && (len(events) > 0 || (closed && err == nil)) {
			headSent = true
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
		s.buffer.release(ev)
	}
	return s.answer.flush()
}

// readEngine reads from the engine until the answer is complete or fails. It
// ends the attempt and the slot.
func (s *stream) readEngine(sl *slot) error {
	for {
		cause, err := s.segment(sl)
		switch cause {
		case pauseEnd:
			return s.finish()
		case pauseFailed:
			return s.fail(err)
		}
		s.role.log.Debug("stream paused", "request", s.key.RequestID, "reason", cause, "tokens", s.tokens)
		if cause == pauseReader {
			if err := s.buffer.waitDrained(s.ctx); err != nil {
				return s.stop(err)
			}
		}
		if sl, err = s.readmit(); err != nil {
			return s.stop(err)
		}
	}
}

// finish ends the attempt after a complete answer. The ledger does not store a
// streamed answer, only that the attempt ran.
func (s *stream) finish() error {
	s.role.attempts.finish(s.key, nil)
	if s.req.Key == nil {
		return nil
	}
	return s.complete(answerOutcome(&peer.StoredAnswer{Status: http.StatusOK, TooLarge: true}))
}

// fail ends the attempt after an error on the engine's side.
func (s *stream) fail(err error) error {
	e := fault.From(err)
	if e.Ran == fault.RanNo && s.segments == 1 {
		return s.role.attempts.unsent(s.key, e)
	}
	s.role.attempts.stop(s.key, s.dropped)
	return e.WithRan(fault.RanUnknown)
}

// stop ends the attempt while the engine does not hold it.
func (s *stream) stop(err error) error {
	s.role.attempts.stop(s.key, true)
	return fault.From(err).WithRan(fault.RanUnknown)
}

// nextSegmentID returns the ID of the next request to the engine. Each has its
// own, so that a late cancellation of an earlier one does not cancel it.
func (j *job) nextSegmentID() string {
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
func (s *stream) segment(sl *slot) (pause, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	id := s.nextSegmentID()
	var resume *engine.Resume
	if s.tokens > 0 {
		resume = &engine.Resume{Text: s.text.String(), Tokens: s.tokens}
	}
	es, err := s.role.client.Complete(ctx, s.completion(id, resume))
	if err != nil {
		s.role.noteBroken(err, s.key.RequestID, s.info.Name)
		if s.ctx.Err() == nil {
			sl.connectionFailed()
		}
		if fault.From(err).Ran == fault.RanNo {
			sl.release(false)
			return pauseFailed, err
		}
		s.dropped = s.cancelAtEngine(sl, id, false)
		return pauseFailed, err
	}
	defer es.Close()
	if es.Status != http.StatusOK {
		sl.release(false)
		return pauseFailed, statusFault(es)
	}
	go func() {
		select {
		case <-sl.preempt:
			cancel()
		case <-ctx.Done():
		}
	}()
	cause, err := s.read(es, sl)
	if cause == pauseEnd {
		sl.release(true)
		return cause, nil
	}
	es.Close()
	if cause == pauseFailed && s.ctx.Err() == nil {
		s.role.noteBroken(err, s.key.RequestID, s.info.Name)
		sl.connectionFailed()
	}
	s.dropped = s.cancelAtEngine(sl, id, true)
	return cause, err
}

// statusFault returns the fault for an engine that answers a stream with a
// status other than 200.
func statusFault(es *engine.Stream) error {
	body, _ := io.ReadAll(io.LimitReader(es.Body, 512))
	if es.Status >= 400 && es.Status < 500 {
		return fault.New(fault.BadRequest, "engine answered with status %d: %s", es.Status, strings.TrimSpace(string(body))).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.BackendFailed, "engine answered with status %d", es.Status)
}

// read copies events from the engine to the buffer.
func (s *stream) read(es *engine.Stream, sl *slot) (pause, error) {
	for {
		ev, err := es.Next()
		if err == io.EOF || (err != nil && s.finishReason != "") {
			// The engine no longer holds a request whose finish reason it sent.
			return pauseEnd, nil
		}
		if err != nil {
			return s.readError(sl, err)
		}
		if s.buffer.put(s.record(ev, sl)) || s.finishReason != "" {
			continue
		}
		if s.canPause() {
			s.role.scope.Counter("parked").Inc(1)
			return pauseReader, nil
		}
		// The engine continues until its own buffers are full.
		if err := s.buffer.waitDrained(s.ctx); err != nil {
			return pauseFailed, err
		}
	}
}

// readError distinguishes a preemption from other ends of the engine's stream.
func (s *stream) readError(sl *slot, err error) (pause, error) {
	if s.ctx.Err() != nil {
		return pauseFailed, engine.ContextFault(s.ctx)
	}
	select {
	case <-sl.preempt:
		s.role.scope.Counter("preempted").Inc(1)
		return pausePreempted, nil
	default:
		return pauseFailed, err
	}
}

// record adds an event to the answer so far and passes its statistics to the
// admission.
func (s *stream) record(ev engine.Event, sl *slot) engine.Event {
	s.text.WriteString(ev.Text)
	before := s.tokens
	if ev.Text != "" {
		s.tokens++
	}
	if ev.FinishReason != "" {
		s.finishReason = ev.FinishReason
	}
	s.role.bufferBudget.add(len(ev.Text))
	s.countedBytes += len(ev.Text)
	if ev.Stats != nil {
		s.tokens = max(s.tokens, ev.Stats.Tokens)
		s.promptTokens = ev.Stats.PromptTokens
		sl.progress(*ev.Stats)
	}
	ev.Tokens = uint32(s.tokens - before)
	return ev
}

// canPause reports whether the stream can be cancelled and resumed.
func (s *stream) canPause() bool {
	return s.canResume() && s.tokens < s.req.MaxTokens
}

// Limits for the confirmation of a cancellation.
const (
	maxCancelCalls   = 3
	cancelTimeout    = 2 * time.Second
	cancelRetryDelay = 50 * time.Millisecond
)

// cancelAtEngine cancels a request at the engine and frees the slot once the
// engine confirms that it does not hold the request. An answer that there is no
// such request is a confirmation only if the engine had received the request,
// because a cancellation can overtake a request. Without a confirmation the
// slot counts as untracked load until announcements show that the request has
// ended. It returns whether there was a confirmation.
func (j *job) cancelAtEngine(sl *slot, id string, received bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for range maxCancelCalls {
		known, err := j.role.client.Cancel(ctx, j.info.Address, id)
		if err == nil && (known || received) {
			sl.release(false)
			return true
		}
		select {
		case <-time.After(cancelRetryDelay):
		case <-ctx.Done():
		}
	}
	j.role.scope.Counter("cancel_unconfirmed").Inc(1)
	sl.abandon()
	return false
}

// readmit waits for a slot to continue the stream. No new work may start on a
// backend server that has been drained or has left since, so the stream fails
// then and the entry continues it elsewhere.
func (s *stream) readmit() (*slot, error) {
	a := s.arrival()
	a.Wait, a.Resumed, a.PromptTokens = true, s.tokens, s.promptTokens
	sl, refusal := s.backend.arrive(a)
	if refusal != nil {
		return nil, s.refusalFault(refusal)
	}
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-sl.admitted:
			if err := s.check(); err != nil {
				sl.release(false)
				return nil, err
			}
			return sl, nil
		case r := <-sl.refused:
			return nil, s.refusalFault(&r)
		case <-recheck.C:
			if err := s.check(); err != nil && !fault.Is(err, fault.NoLease) {
				sl.cancelWait()
				return nil, err
			}
		case <-s.ctx.Done():
			sl.cancelWait()
			return nil, engine.ContextFault(s.ctx)
		}
	}
}

// recheckInterval is how often a waiting stream checks whether it may still
// continue.
const recheckInterval = 100 * time.Millisecond
