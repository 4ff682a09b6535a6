package http1

import (
	"io"
	"sync/atomic"
)

// Reader passes on the answers of one connection and judges them; see the package's
// documentation. Read must be called by one goroutine at a time. It is created by
// NewReader, or as part of a Conn.
type Reader struct {
	source io.Reader
	method atomic.Pointer[string]
	parser messageParser
	err    atomic.Pointer[Error]
	// judgeEnd judges the error of the source that ends an answer which nothing else
	// ends. If it is nil, the end of the source is the end of the answer.
	judgeEnd func(error) error
}

// NewReader returns a Reader for a connection from which nothing has been read yet.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Expect sets the method of the request that the next answer is for. The answer to HEAD
// has no body.
func (r *Reader) Expect(method string) { r.method.Store(&method) }

// Explain returns the *Error if an answer on this connection has broken the grammar, and
// otherwise err. Parsers do not always pass on the error of Read.
func (r *Reader) Explain(err error) error {
	if broken := r.err.Load(); broken != nil && err != nil && err != io.EOF {
		return broken
	}
	return err
}

// Read reads from the connection. The error is an *Error once an answer has broken the
// grammar; the bytes before that are passed on.
func (r *Reader) Read(p []byte) (int, error) {
	if broken := r.err.Load(); broken != nil {
		return 0, broken
	}
	n, err := r.source.Read(p)
	if m := r.method.Load(); m != nil {
		r.parser.method = *m
	}
	for judged := 0; judged < n; {
		passed, broken := r.parser.judge(p[judged:n])
		judged += passed
		if broken != nil {
			r.err.Store(broken)
			return judged, broken
		}
	}
	if err != nil && r.judgeEnd != nil && r.parser.endsWithConnection() {
		err = r.judgeEnd(err)
		if broken, ok := Broken(err); ok {
			r.err.Store(broken)
		}
	}
	return n, err
}
