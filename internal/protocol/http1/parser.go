package http1

import (
	"bytes"
	"math"
	"strconv"
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

// position is the part of a message that a messageParser is given next.
type position uint8

const (
	atStartLine position = iota
	atField
	atBody
	atChunkLine
	atChunk
	atChunkEnd
	atTrailer
)

// messageParser follows the messages of one direction of a connection, and judges answers by
// the grammar.
type messageParser struct {
	// requests is set if the messages are requests. They are our own: only their
	// framing is of interest.
	requests bool
	// method is that of the request that an answer is for.
	method string

	at   position
	head head
	line []byte // the part of the current line that was given
	// left is what is left of a body or chunk, in bytes. It is math.MaxInt64 if the
	// body ends with the connection.
	left int64
	// bytes and lines are those of the current head, trailer or line of a chunk.
	bytes, lines int
	// ended counts the messages that were given whole.
	ended int
}

// endsWithConnection reports whether nothing but the end of the connection marks the
// end of the current body.
func (p *messageParser) endsWithConnection() bool { return p.at == atBody && p.left == math.MaxInt64 }

// judge judges the next part of data and returns how many bytes of it are passed on.
func (p *messageParser) judge(data []byte) (int, *Error) {
	if p.at != atBody && p.at != atChunk {
		return p.judgeLine(data)
	}
	n := int(min(p.left, int64(len(data))))
	if p.left != math.MaxInt64 {
		p.left -= int64(n)
	}
	if p.left == 0 && p.at == atChunk {
		p.moveTo(atChunkEnd)
	} else if p.left == 0 {
		p.endMessage()
	}
	return n, nil
}

// judgeLine judges data up to the end of the current line, which is not passed on if
// the line breaks the grammar.
func (p *messageParser) judgeLine(data []byte) (int, *Error) {
	end := bytes.IndexByte(data, '\n')
	n := end + 1
	if end < 0 {
		n, end = len(data), len(data)
	}
	if err := p.checkSize(n); err != nil {
		return 0, err
	}
	if end == n { // the line goes on
		p.line = append(p.line, data...)
		return n, nil
	}
	line := data[:end]
	if len(p.line) > 0 {
		p.line = append(p.line, line...)
		line = p.line
	}
	if err := p.endLine(line); err != nil {
		return end, err
	}
	p.line = p.line[:0]
	return n, nil
}

// checkSize counts bytes of lines.
func (p *messageParser) checkSize(n int) *Error {
	if p.requests {
		return nil
	}
	limit := MaxHeadBytes
	if p.at == atChunkLine || p.at == atChunkEnd {
		limit = maxChunkLineBytes
	}
	if p.bytes += n; p.bytes > limit || p.lines >= maxHeadLines {
		return broken(Size, "more than %d bytes or %d lines of a head, a trailer or the size of a chunk", limit, maxHeadLines)
	}
	return nil
}

// endLine judges a complete line, given without its LF. A line ends with CR LF.
// https://www.rfc-editor.org/rfc/rfc9112#section-2.2 lets a recipient accept LF alone,
// but an LF within the name of a field would then end the head, or the field before.
func (p *messageParser) endLine(line []byte) *Error {
	p.lines++
	text, ok := bytes.CutSuffix(line, []byte{'\r'})
	if !ok {
		return broken(p.part(), "line without CR: %s", excerpt(line))
	}
	switch p.at {
	case atStartLine:
		return p.endStartLine(text)
	case atField:
		return p.endField(text)
	case atChunkLine:
		return p.endChunkLine(text)
	case atChunkEnd:
		if len(text) > 0 {
			return broken(Chunk, "bytes between a chunk and its end: %s", excerpt(text))
		}
		p.moveTo(atChunkLine)
	case atTrailer:
		return p.endTrailer(text)
	}
	return nil
}

// part returns the part of an answer that the current line belongs to.
func (p *messageParser) part() Part {
	switch p.at {
	case atStartLine:
		return StatusLine
	case atChunkLine, atChunkEnd:
		return Chunk
	}
	return FieldValue
}

func (p *messageParser) endStartLine(line []byte) (err *Error) {
	p.at = atField
	if p.requests {
		p.head = head{version: 1, length: -1}
		return nil
	}
	p.head, err = parseStatusLine(line)
	return err
}

func (p *messageParser) endField(line []byte) *Error {
	if len(line) > 0 {
		return p.head.addField(line)
	}
	if p.requests {
		p.left = p.head.requestBodyLength()
	} else {
		if err := p.head.checkFraming(); err != nil {
			return err
		}
		p.left = p.head.bodyLength(p.method)
	}
	switch {
	case p.left == 0:
		p.endMessage()
	case p.head.chunked:
		p.moveTo(atChunkLine)
	default:
		p.moveTo(atBody)
	}
	return nil
}

// endChunkLine judges the size of a chunk, in hexadecimal digits, and its extensions,
// which are ignored:
// https://www.rfc-editor.org/rfc/rfc9112#section-7.1.
func (p *messageParser) endChunkLine(line []byte) *Error {
	digits, extensions, extended := bytes.Cut(line, []byte{';'})
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil || digits[0] == '-' || digits[0] == '+' || !isFieldValue(extensions) {
		return broken(Chunk, "invalid size of a chunk: %s", excerpt(line))
	}
	if size == 0 {
		p.moveTo(atTrailer)
		return nil
	}
	p.moveTo(atChunk)
	p.left = size
	return nil
}

func (p *messageParser) endTrailer(line []byte) *Error {
	if len(line) == 0 {
		p.endMessage()
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

func (p *messageParser) endMessage() {
	p.ended++
	p.moveTo(atStartLine)
}

// moveTo begins another part of a message.
func (p *messageParser) moveTo(at position) {
	p.at, p.bytes, p.lines = at, 0, 0
	if cap(p.line) > maxRetainedLine {
		p.line = nil
	}
}
