package intake

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answered returns a handler that closes the connection of a request for which next
// returns without an answer. net/http would answer "200 OK" with an empty body.
func (l *Listener) answered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answerWriter{ResponseWriter: w, ctx: r.Context()}
		whole := false
		defer func() {
			if !whole && !r.ProtoAtLeast(1, 1) {
				resetOnClose(r)
			}
		}()
		next.ServeHTTP(a, r)
		whole = true
		if !a.begun {
			l.logUnanswered(r)
			panic(http.ErrAbortHandler)
		}
	})
}

// resetOnClose makes the close of a request's connection a reset. An answer of HTTP/1.0
// without a length ends with its connection, so that a part of it would look whole.
func resetOnClose(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*Conn); ok {
		conn.SetLinger(0)
	}
}

// logUnanswered counts a request that ends without an answer. If its caller is still
// there, it logs that too, unless it has lately.
func (l *Listener) logUnanswered(r *http.Request) {
	left := r.Context().Err() != nil
	l.cfg.Scope.Tagged(map[string]string{"listener": l.cfg.Name, "caller_left": strconv.FormatBool(left)}).Counter("unanswered_requests").Inc(1)
	if left {
		return
	}
	l.mu.Lock()
	count, due := l.unanswered.add(time.Now())
	l.mu.Unlock()
	if due {
		l.cfg.Log.Error("a handler returned without an answer", "listener", l.cfg.Name, "method", r.Method, "path", r.URL.Path, "count", count)
	}
}

// answerWriter notes whether the final answer to a request has begun.
type answerWriter struct {
	http.ResponseWriter
	ctx   context.Context // of the request
	begun bool
}

// begin is called before anything of the final answer is written.
func (a *answerWriter) begin() {
	if !a.begun && a.ctx.Err() != nil {
		// net/http has ended the context of the connection, and would begin its next
		// request with the same one.
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}

// WriteHeader writes the status and the header of an answer.
func (a *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (a *answerWriter) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// ReadFrom writes a part of the body, with the buffers of net/http.
func (a *answerWriter) ReadFrom(src io.Reader) (int64, error) {
	a.begin()
	return io.Copy(a.ResponseWriter, src)
}

// Flush sends what was written.
func (a *answerWriter) Flush() { a.FlushError() }

// FlushError sends what was written.
func (a *answerWriter) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns the writer of the server.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
