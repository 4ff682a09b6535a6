package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
)

const (
	// readBytes is the size of one read from a stream.
	readBytes = 4 << 10
	// maxEventBytes bounds one event, which is buffered until it is complete.
	// ownEventBytes of them need no share of the memory for answers.
	maxEventBytes = 1 << 20
	ownEventBytes = 16 << 10
	// eventStream is the media type of a stream of events.
	eventStream = "text/event-stream"
)

// stream is the state of the event stream to the caller.
type stream struct {
	// headerWritten says that the status and the headers of the answer were written.
	headerWritten bool
	// mediaType is the content type of the answer that was begun.
	mediaType string
	// lastID is the id of the last event written.
	lastID string
	// longestGap is the longest time between two reads of events within one attempt.
	longestGap time.Duration
	// mayBeComplete says that the last run ended after an event, and only the end of
	// its backend server makes it doubtful. The next run may have nothing to add.
	mayBeComplete bool
}

// forwardStream forwards a stream of events. It writes complete events only, so
// that the stream can be resumed at another backend server.
func (a *attempt) forwardStream(res *backend.Response) outcome {
	c := a.call
	if !c.stream.headerWritten {
		c.stream.lastID = c.request.Header.Get(c.gateway.cfg.HeaderNames.LastEventID)
	}
	mayBeComplete := c.stream.mayBeComplete
	c.stream.mayBeComplete = false
	var pending []byte
	reserved := reservation{budget: &c.gateway.answers, own: ownEventBytes}
	defer reserved.release()
	buffer := make([]byte, readBytes)
	for {
		n, readErr := res.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		// What was pending before holds no complete event.
		searched := max(0, len(pending)-n-len(eventEndCRLF)+1)
		complete := completeEventsLength(pending[searched:])
		if complete > 0 {
			complete += searched
			if err := a.forwardEvents(res, pending[:complete]); err != nil {
				return a.handleWriteError(err)
			}
			pending = append(pending[:0], pending[complete:]...)
			if cap(pending) > ownEventBytes && len(pending) == 0 {
				pending = nil
			}
		}
		if len(pending) > maxEventBytes {
			readErr = errors.Newf("event larger than %d bytes", maxEventBytes)
		} else if !reserved.resize(cap(pending)) {
			readErr = errors.Newf("no memory for an event larger than %d bytes", len(pending))
		}
		switch {
		case readErr == io.EOF && len(pending) > 0:
			return a.handleReadError(errors.New("the stream ended in the middle of an event"))
		case readErr == io.EOF && a.events == 0 && res.EndsWithConnection && !mayBeComplete:
			return a.handleReadError(errors.New("the stream ended before its first event"))
		case readErr == io.EOF:
			if err := a.checkComplete(res); err != nil {
				c.stream.mayBeComplete = c.stream.headerWritten
				return a.handleReadError(err)
			}
			return a.completeStream(res)
		case readErr != nil:
			return a.handleReadError(readErr)
		}
	}
}

// forwardEvents writes complete events, without those that the caller already has.
func (a *attempt) forwardEvents(res *backend.Response, events []byte) error {
	c := a.call
	now := time.Now()
	gap := time.Duration(0)
	if a.timeToFirst == 0 {
		a.timeToFirst = now.Sub(a.started)
	} else {
		gap = now.Sub(a.lastEvent)
	}
	a.lastEvent = now
	// What is under way is not cancelled: it either crashes the backend server
	// within moments or clears the part.
	c.stopWatch()
	if a.events += countEvents(events); a.events >= soundEvents {
		a.recordSound()
	}
	c.stream.longestGap = max(c.stream.longestGap, gap)
	c.gateway.recordEvent(now, a.assigned.Server.ID, a.timeToFirst, gap)
	events, lastID, err := c.stream.newEvents(events)
	if err != nil {
		return err
	}
	c.countRun()
	if len(events) == 0 {
		return nil
	}
	// Comments do not show that the stream goes on.
	isProgress := lastID != c.stream.lastID || lastID == ""
	if a.timer != nil && isProgress {
		a.resets.Add(1)
		a.timer.Reset(c.gapTimeout())
	}
	a.writeHeader(res, now)
	if _, err := c.writer.Write(events); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	c.stream.lastID = lastID
	return nil
}

// errCallerWrite marks errors of writing to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// errNoEvent says that bytes of the body are no event of the stream: they may be
// an error message or another answer.
var errNoEvent = errors.New("bytes that are no event of the stream")

// isContinuedBy reports whether an answer with the given headers may continue the
// stream.
func (s *stream) isContinuedBy(header http.Header) bool {
	continued := mediaType(header)
	return continued == eventStream || continued == s.mediaType
}

// mediaType returns the content type without its parameters.
func mediaType(header http.Header) string {
	value, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// errMissingEvents says that the event after the last one written is missing.
var errMissingEvents = errors.New("events are missing")

// writeHeader writes the status and the headers of the answer, unless an earlier
// attempt did.
func (a *attempt) writeHeader(res *backend.Response, now time.Time) {
	c := a.call
	if c.stream.headerWritten {
		return
	}
	c.stream.headerWritten, c.stream.mediaType = true, mediaType(res.Header)
	c.timeToFirst = now.Sub(c.arrived)
	hop.Copy(c.writer.Header(), res.Header)
	c.writer.WriteHeader(res.Status)
}

// handleWriteError ends an attempt whose events could not be forwarded.
func (a *attempt) handleWriteError(err error) outcome {
	if !errors.Is(err, errCallerWrite) {
		return a.handleReadError(err)
	}
	a.finish(pool.Abandoned, err.Error())
	if a.call.request.Context().Err() != nil {
		return callerGone{}
	}
	return truncated{err: err}
}

// completeStream ends an attempt whose stream is complete.
func (a *attempt) completeStream(res *backend.Response) outcome {
	a.writeHeader(res, time.Now())
	if !res.EndsWithConnection {
		a.recordSound()
	}
	a.finish(pool.Answered, strconv.Itoa(res.Status))
	return delivered{status: res.Status}
}

// newEvents returns the events after the last one written, and the id of the last
// of them. It skips events that an earlier attempt has already delivered.
func (s *stream) newEvents(events []byte) ([]byte, string, error) {
	lastID := s.lastID
	for begin := 0; begin < len(events); {
		end := begin + firstEventLength(events[begin:])
		if !isEvent(events[begin:end]) {
			return nil, "", errors.Wrapf(errNoEvent, "after event %q", lastID)
		}
		id, ok := eventID(events[begin:end])
		if !ok {
			begin = end
			continue
		}
		last, lastErr := strconv.ParseUint(lastID, 10, 64)
		next, nextErr := strconv.ParseUint(id, 10, 64)
		if lastErr == nil && nextErr == nil {
			if next <= last && begin == 0 {
				events = events[end:]
				continue
			}
			if next != last+1 {
				return nil, "", errors.Wrapf(errMissingEvents, "event %d follows event %d", next, last)
			}
		}
		lastID = id
		begin = end
	}
	return events, lastID, nil
}

// isEvent reports whether each line is a comment or a field, as in
// https://html.spec.whatwg.org/multipage/server-sent-events.html. Names of fields
// that are not in that page are accepted if they look like one.
func isEvent(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		if bytes.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

// firstEventLength returns the length of the first event, or of b if it holds no
// complete event.
func firstEventLength(b []byte) int {
	end := len(b)
	if i := bytes.Index(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.Index(b[:end], eventEndCRLF); i >= 0 {
		end = i + len(eventEndCRLF)
	}
	return end
}

// countEvents returns the number of events in b, which holds complete events only.
func countEvents(b []byte) int {
	n := 0
	for ; len(b) > 0; n++ {
		b = b[firstEventLength(b):]
	}
	return n
}

// completeEventsLength returns the total length of the complete events at the start
// of b.
func completeEventsLength(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}
