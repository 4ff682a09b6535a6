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

// Responder writes the answer to one request. Methods return an error of kind
// Cancelled when the caller is gone. It is used by one goroutine.
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

// Began says whether the caller has been sent the first part of an answer.
func (r *Responder) Began() bool { return r.began }

// WriteComplete writes a complete answer.
func (r *Responder) WriteComplete(status int, headers []*peer.Header, body []byte) error {
	setHeaders(r.w.Header(), headers)
	r.began, r.finished = true, true
	if status == http.StatusNoContent || status == http.StatusNotModified {
		// These have no body, and no length either.
		r.w.WriteHeader(status)
		return nil
	}
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(status)
	return r.write(body)
}

// Begin starts an answer whose end is not known yet.
func (r *Responder) Begin(status int, headers []*peer.Header, stream bool) {
	setHeaders(r.w.Header(), headers)
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

// Flush sends what has been written.
func (r *Responder) Flush() error { return gone(r.control.Flush()) }

// End closes an answer that is complete.
func (r *Responder) End() error {
	r.finished = true
	if r.stream {
		if err := r.write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	return r.Flush()
}

// abort ends an answer that has begun and cannot be completed: a stream with
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
	return gone(err)
}

func (r *Responder) setWriteDeadline(t time.Time) { _ = r.control.SetWriteDeadline(t) }

func (r *Responder) setReadDeadline(t time.Time) { _ = r.control.SetReadDeadline(t) }

func gone(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Cancelled, "the caller is gone")
}

// event returns one server-sent event. Each line of data is a field of its
// own, since a bare line break would end the field.
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
