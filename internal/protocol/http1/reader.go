package http1

import (
	"bytes"
	"io"
	"math"
	"strconv"
	"sync/atomic"
)

// Limits of what a server in trouble may send without end. A short line takes many
// times its bytes once it is parsed.
const (
	// MaxHeadBytes and maxHeadLines bound a head, and a trailer.
	MaxHeadBytes = 64 << 10
	maxHeadLines = 1000
	// maxChunkLineBytes bounds the line with the size of a chunk, which may have
	// extensions.
	maxChunkLineBytes = 1 << 10
	// maxRetainedLine is the largest buffer for lines that is kept after a head.
	maxRetainedLine = 1 << 10
)

// position is the part of an answer that a Reader reads next.
type position uint8

const (
	atStatusLine position = iota
	atField
	atBody
	atChunkLine
	atChunk
	atChunkEnd
	atTrailer
)

// Reader passes on the answers of one connection and judges them; see the package's
// documentation. Read must be called by one goroutine at a time. It is created by
// NewReader.
type Reader struct {
	source io.Reader
	method atomic.Pointer[string]

	at   position
	head head
	line []byte // the part of the current line that was read
	// left is what is left of a body or chunk, in bytes.
	left int64
	// bytes and lines are those of the current head, trailer or line of a chunk.
	bytes, lines int
	err          atomic.Pointer[Error]
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
	for judged := 0; judged < n; {
		passed, broken := r.judge(p[judged:n])
		judged += passed
		if broken != nil {
			r.err.Store(broken)
			return judged, broken
		}
	}
	return n, err
}

// judge judges the next part of data and returns how many bytes of it are passed on.
func (r *Reader) judge(data []byte) (int, *Error) {
	if r.at != atBody && r.at != atChunk {
		return r.judgeLine(data)
	}
	n := int(min(r.left, int64(len(data))))
	if r.left != math.MaxInt64 {
		r.left -= int64(n)
	}
	if r.left == 0 && r.at == atChunk {
		r.moveTo(atChunkEnd)
	} else if r.left == 0 {
		r.moveTo(atStatusLine)
	}
	return n, nil
}

// judgeLine judges data up to the end of the current line, which is not passed on if
// the line breaks the grammar.
func (r *Reader) judgeLine(data []byte) (int, *Error) {
	end := bytes.IndexByte(data, '\n')
	n := end + 1
	if end < 0 {
		n, end = len(data), len(data)
	}
	if err := r.checkSize(n); err != nil {
		return 0, err
	}
	if end == n { // the line goes on
		r.line = append(r.line, data...)
		return n, nil
	}
	line := data[:end]
	if len(r.line) > 0 {
		r.line = append(r.line, line...)
		line = r.line
	}
	if err := r.endLine(line); err != nil {
		return end, err
	}
	r.line = r.line[:0]
	return n, nil
}

// checkSize counts bytes of lines.
func (r *Reader) checkSize(n int) *Error {
	limit := MaxHeadBytes
	if r.at == atChunkLine || r.at == atChunkEnd {
		limit = maxChunkLineBytes
	}
	if r.bytes += n; r.bytes > limit || r.lines >= maxHeadLines {
		return broken(Size, "more than %d bytes or %d lines of a head, a trailer or the size of a chunk", limit, maxHeadLines)
	}
	return nil
}

// endLine judges a complete line, given without its LF. A line ends with CR LF.
// https://www.rfc-editor.org/rfc/rfc9112#section-2.2 lets a recipient accept LF alone,
// but an LF within the name of a field would then end the head, or the field before.
func (r *Reader) endLine(line []byte) *Error {
	r.lines++
	text, ok := bytes.CutSuffix(line, []byte{'\r'})
	if !ok {
		return broken(r.part(), "line without CR: %s", excerpt(line))
	}
	switch r.at {
	case atStatusLine:
		return r.endStatusLine(text)
	case atField:
		return r.endField(text)
	case atChunkLine:
		return r.endChunkLine(text)
	case atChunkEnd:
		if len(text) > 0 {
			return broken(Chunk, "bytes between a chunk and its end: %s", excerpt(text))
		}
		r.moveTo(atChunkLine)
	case atTrailer:
		return r.endTrailer(text)
	}
	return nil
}

// part returns the part of an answer that the current line belongs to.
func (r *Reader) part() Part {
	switch r.at {
	case atStatusLine:
		return StatusLine
	case atChunkLine, atChunkEnd:
		return Chunk
	}
	return FieldValue
}

func (r *Reader) endStatusLine(line []byte) (err *Error) {
	r.at = atField
	r.head, err = parseStatusLine(line)
	return err
}

func (r *Reader) endField(line []byte) *Error {
	if len(line) > 0 {
		return r.head.addField(line)
	}
	if err := r.head.checkFraming(); err != nil {
		return err
	}
	method := ""
	if m := r.method.Load(); m != nil {
		method = *m
	}
	r.left = r.head.bodyLength(method)
	switch {
	case r.left == 0:
		r.moveTo(atStatusLine)
	case r.head.chunked:
		r.moveTo(atChunkLine)
	default:
		r.moveTo(atBody)
	}
	return nil
}

// endChunkLine judges the size of a chunk, in hexadecimal digits, and its extensions,
// which are ignored:
// https://www.rfc-editor.org/rfc/rfc9112#section-7.1.
func (r *Reader) endChunkLine(line []byte) *Error {
	digits, extensions, extended := bytes.Cut(line, []byte{';'})
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil || digits[0] == '-' || digits[0] == '+' || !isFieldValue(extensions) {
		return broken(Chunk, "invalid size of a chunk: %s", excerpt(line))
	}
	if size == 0 {
		r.moveTo(atTrailer)
		return nil
	}
	r.moveTo(atChunk)
	r.left = size
	return nil
}

func (r *Reader) endTrailer(line []byte) *Error {
	if len(line) == 0 {
		r.moveTo(atStatusLine)
		return nil
	}
	name, _, err := splitField(line)
	if err != nil {
		return err
	}
	if length, coding := isFramingField(name); length || coding {
		return broken(Framing, "%s in a trailer", excerpt(name))
	}
	return nil
}

// moveTo begins another part of an answer.
func (r *Reader) moveTo(at position) {
	r.at, r.bytes, r.lines = at, 0, 0
	if cap(r.line) > maxRetainedLine {
		r.line = nil
	}
}
