package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/internal/protocol/backend"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// maxBufferedResponse is the size from which on an answer is forwarded while it
	// is read instead of buffered until it is complete. If it ends early, the
	// caller's connection is aborted. ownResponseBytes of it need no share of the
	// memory for answers.
	maxBufferedResponse = 1 << 20
	ownResponseBytes    = 16 << 10
)

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// impliesNotRun reports whether a status promises the caller that its request has not
// run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardBody forwards an answer that is not a stream of events.
func (a *attempt) forwardBody(res *backend.Response) outcome {
	c := a.call
	if impliesNotRun(res.Status) {
		// Without the header that says so, the request may have run.
		a.finish(pool.Failed, strconv.Itoa(res.Status)+" without a guarantee that the request has not run")
		return a.retryOrFail(true, fault.New(fault.BackendFailed, "backend server %s answered %d", a.assigned.Server.ID, res.Status))
	}
	c.countRun()
	reserved := reservation{budget: &c.gateway.answers, own: ownResponseBytes}
	defer reserved.release()
	body, whole, err := readBuffered(res.Body, &reserved)
	if err == nil && whole {
		err = a.checkComplete(res)
	}
	if err != nil {
		return a.handleReadError(err)
	}
	if !whole {
		return a.forwardLongBody(res, body)
	}
	response := &bufferedResponse{status: res.Status, header: res.Header, body: body}
	if res.Status < 500 {
		a.recordFirstAnswer()
		if res.Status < 300 && !res.EndsWithConnection {
			a.recordSound()
		}
		a.finish(pool.Answered, strconv.Itoa(res.Status))
		return c.deliver(response)
	}
	a.finish(pool.Failed, strconv.Itoa(res.Status))
	c.failure = response
	return a.retryOrFail(true, fault.New(fault.BackendFailed, "backend server %s answered %d", a.assigned.Server.ID, res.Status))
}

// readBuffered reads a body while it is short enough to be buffered, and there is
// memory for it. It reports whether that is the whole body.
func readBuffered(r io.Reader, reserved *reservation) (body []byte, whole bool, err error) {
	for body = make([]byte, 0, readBytes); ; {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		case len(body) < cap(body):
			continue
		case len(body) >= maxBufferedResponse || !reserved.resize(2*cap(body)):
			return body, false, nil
		}
		body = slices.Grow(body, len(body))
	}
}

// forwardLongBody forwards an answer that is too long to be buffered. head is the
// part that was already read.
func (a *attempt) forwardLongBody(res *backend.Response, head []byte) outcome {
	c := a.call
	if a.timer != nil {
		a.timer.Stop()
	}
	hop.Copy(c.writer.Header(), res.Header)
	if res.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	c.writer.WriteHeader(res.Status)
	a.recordFirstAnswer()
	_, err := c.writer.Write(head)
	if err == nil {
		_, err = io.Copy(c.writer, res.Body)
	}
	if err == nil {
		err = a.checkComplete(res)
	}
	if err != nil {
		a.noteBroken(err)
		a.finish(pool.Failed, "forwarding a long answer failed: "+err.Error())
		return truncated{err: err}
	}
	a.finish(pool.Answered, strconv.Itoa(res.Status))
	return delivered{status: res.Status}
}

// deliver writes a complete answer to the caller.
func (c *call) deliver(response *bufferedResponse) outcome {
	c.timeToFirst = time.Since(c.arrived)
	hop.Copy(c.writer.Header(), response.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	c.writer.WriteHeader(response.status)
	if _, err := c.writer.Write(response.body); err != nil && c.request.Method != http.MethodHead {
		return callerGone{}
	}
	return delivered{status: response.status}
}
