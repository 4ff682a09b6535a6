package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
)

const (
	// readBytes is the size of one read from a stream.
	readBytes = 4 << 10
	// maxEventBytes bounds one event, which is held until it is whole.
	maxEventBytes = 1 << 20
)

// stream is what the caller has of a stream of events.
type stream struct {
	// begun says that the head of the answer was written.
	begun bool
	// lastID is the id of the last event written.
	lastID string
	// longestGap is the longest time between two events of one attempt.
	longestGap time.Duration
}

// passStream passes on a stream of events, whole events only, so that it can
// go on at another backend server.
func (a *attempt) passStream(res *backend.Response) outcome {
	c := a.call
	if !c.stream.begun {
		c.stream.lastID = c.request.Header.Get(c.gateway.cfg.Dialect.LastEvent)
	}
	var held []byte
	buffer := make([]byte, readBytes)
	for {
		n, readErr := res.Body.Read(buffer)
		held = append(held, buffer[:n]...)
		whole := lastBoundary(held)
		if whole > 0 {
			if err := a.passEvents(res, held[:whole]); err != nil {
				return a.writeFailed(err)
			}
			held = append(held[:0], held[whole:]...)
		}
		if len(held) > maxEventBytes {
			readErr = errors.Newf("an event has more than %d bytes", maxEventBytes)
		}
		switch {
		case readErr == io.EOF && len(held) > 0:
			return a.cutOff(errors.New("the stream ended within an event"))
		case readErr == io.EOF:
			return a.streamEnded(res)
		case readErr != nil:
			return a.cutOff(readErr)
		}
	}
}

// passEvents writes whole events, less those that the caller has.
func (a *attempt) passEvents(res *backend.Response, events []byte) error {
	c := a.call
	now := time.Now()
	gap := time.Duration(0)
	if a.first == 0 {
		a.first = now.Sub(a.begin)
	} else {
		gap = now.Sub(a.event)
	}
	a.event = now
	c.stream.longestGap = max(c.stream.longestGap, gap)
	c.gateway.event(now, a.to.Server.ID, a.first, gap)
	events, lastID, err := c.stream.unseen(events)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return nil
	}
	if a.silence != nil {
		a.silence.Reset(c.gapLimit())
	}
	a.beginStream(res, now)
	if _, err := c.writer.Write(events); err != nil {
		return errors.Mark(err, errCaller)
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errors.Mark(err, errCaller)
	}
	c.stream.lastID = lastID
	return nil
}

// errCaller marks errors of writing to the caller.
var errCaller = errors.New("caller does not read")

// errGap says that a stream did not go on where the last one ended.
var errGap = errors.New("events are missing")

// beginStream writes the head of the answer, unless an earlier attempt has.
func (a *attempt) beginStream(res *backend.Response, now time.Time) {
	c := a.call
	if c.stream.begun {
		return
	}
	c.stream.begun = true
	c.first = now.Sub(c.arrived)
	hop.Copy(c.writer.Header(), res.Header)
	c.writer.WriteHeader(res.Status)
}

// writeFailed ends an attempt whose events could not be passed on.
func (a *attempt) writeFailed(err error) outcome {
	if !errors.Is(err, errCaller) {
		return a.cutOff(err)
	}
	a.end(pool.Abandoned, err.Error())
	if a.call.request.Context().Err() != nil {
		return gone{}
	}
	return broken{err: err}
}

// streamEnded ends an attempt whose stream is complete.
func (a *attempt) streamEnded(res *backend.Response) outcome {
	a.beginStream(res, time.Now())
	a.end(pool.Answered, strconv.Itoa(res.Status))
	return delivered{status: res.Status}
}

// unseen returns the events that follow the last one written, and the id of
// the last of them.
func (s *stream) unseen(events []byte) ([]byte, string, error) {
	lastID := s.lastID
	for begin := 0; begin < len(events); {
		end := begin + firstBoundary(events[begin:])
		id, ok := eventID(events[begin:end])
		if !ok {
			begin = end
			continue
		}
		have, haveErr := strconv.ParseUint(lastID, 10, 64)
		next, nextErr := strconv.ParseUint(id, 10, 64)
		if haveErr == nil && nextErr == nil {
			if next <= have && begin == 0 {
				events = events[end:]
				continue
			}
			if next != have+1 {
				return nil, "", errors.Wrapf(errGap, "event %d follows event %d", next, have)
			}
		}
		lastID = id
		begin = end
	}
	return events, lastID, nil
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

var (
	boundary     = []byte("\n\n")
	boundaryCRLF = []byte("\r\n\r\n")
)

// firstBoundary returns the length of the first event, or of all bytes.
func firstBoundary(b []byte) int {
	end := len(b)
	if i := bytes.Index(b, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.Index(b[:end], boundaryCRLF); i >= 0 {
		end = i + len(boundaryCRLF)
	}
	return end
}

// lastBoundary returns the length of all whole events.
func lastBoundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, boundary); i >= 0 {
		end = i + len(boundary)
	}
	if i := bytes.LastIndex(b, boundaryCRLF); i >= 0 {
		end = max(end, i+len(boundaryCRLF))
	}
	return end
}
