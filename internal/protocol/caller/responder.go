package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Responder writes the response to one request. Its methods return an error of
// kind Cancelled if the response cannot be written to the caller. It must be used
// by one goroutine at a time.
type Responder struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	began     bool
	stream    bool
	finished  bool
}

func newResponder(w http.ResponseWriter, _ *http.Request, id string) *Responder {
	return &Responder{w: w, control: http.NewResponseController(w), requestID: id}
}

// Began reports whether the head of the response has been written.
func (r *Responder) Began() bool { return r.began }

// WriteComplete writes a complete response.
func (r *Responder) WriteComplete(status int, headers []*peer.Header, body []byte) error {
	copyHeaders(r.w.Header(), headers)
	r.began, r.finished = true, true
	if status == http.StatusNoContent || status == http.StatusNotModified {
		// These responses have neither a body nor a Content-Length.
		r.w.WriteHeader(status)
		return nil
	}
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(status)
	return r.write(body)
}

// Begin starts a response whose length is not known yet.
func (r *Responder) Begin(status int, headers []*peer.Header, stream bool) {
	copyHeaders(r.w.Header(), headers)
	if stream {
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-cache")
	}
	r.began, r.stream = true, stream
	r.w.WriteHeader(status)
}

// WritePart writes a part of a body, or one event of a stream.
func (r *Responder) WritePart(data []byte) error {
	if !r.stream {
		return r.write(data)
	}
	return r.write(event("", data))
}

// Flush sends the buffered data to the caller.
func (r *Responder) Flush() error { return wrapWriteError(r.control.Flush()) }

// End completes a response that was started with Begin. A stream ends with the
// [DONE] event.
func (r *Responder) End() error {
	r.finished = true
	if r.stream {
		if err := r.write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	return r.Flush()
}

// abort ends a response that has begun and cannot be completed: a stream with
// an error event, a body by closing the connection before its end.
func (r *Responder) abort(err *fault.Error) {
	if r.finished {
		return
	}
	if !r.stream {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(err.Body(r.requestID))
	if r.write(event("error", body)) != nil || r.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (r *Responder) write(data []byte) error {
	_, err := r.w.Write(data)
	return wrapWriteError(err)
}

func (r *Responder) setWriteDeadline(t time.Time) { _ = r.control.SetWriteDeadline(t) }

func (r *Responder) setReadDeadline(t time.Time) { _ = r.control.SetReadDeadline(t) }

func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Cancelled, "response cannot be written to the caller")
}

// event encodes one server-sent event. Each line of data becomes a separate data
// field, since a line break ends a field.
func event(name string, data []byte) []byte {
	var b bytes.Buffer
	b.Grow(len(data) + len(name) + 24)
	if name != "" {
		b.WriteString("event: " + name + "\n")
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		b.WriteString("data: ")
		b.Write(bytes.TrimSuffix(line, []byte("\r")))
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	return b.Bytes()
}
