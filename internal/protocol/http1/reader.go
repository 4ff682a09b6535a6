package http1

import (
	"io"
	"sync/atomic"
)

// answerReader passes on the answers of one connection and judges them; see the package's
// documentation. Read must be called by one goroutine at a time. It is created by
// newAnswerReader.
type answerReader struct {
	source io.Reader
	method atomic.Pointer[string]
	parser messageParser
	err    atomic.Pointer[Error]
	// judgeEnd judges the error of the source that ends an answer which nothing else
	// ends. If it is nil, the end of the source is the end of the answer.
	judgeEnd func(error) error
}

// newAnswerReader returns an answerReader for a connection from which nothing has been
// read yet.
func newAnswerReader(source io.Reader) *answerReader { return &answerReader{source: source} }

// expect sets the method of the request that the next answer is for. The answer to HEAD
// has no body.
func (r *answerReader) expect(method string) { r.method.Store(&method) }

// explain returns the *Error if an answer on this connection has broken the grammar, and
// otherwise err. Parsers do not always pass on the error of Read.
func (r *answerReader) explain(err error) error {
	if broken := r.err.Load(); broken != nil && err != nil && err != io.EOF {
		return broken
	}
	return err
}

// Read reads from the connection. The error is an *Error once an answer has broken the
// grammar; the bytes before that are passed on.
func (r *answerReader) Read(p []byte) (int, error) {
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
