/*
Package http1 judges what HTTP/1.1 servers answer by the grammar of RFC 9110 and RFC
9112.

# Concept

The parser of net/http is lenient: it takes a status of 000, skips or keeps lines that
are no fields, and ignores framing fields that it does not understand. Such an answer
comes from a server in trouble, and where its body ends is a guess. A [Conn] judges
all that it passes on: status lines, names and values of fields, framing fields, sizes
of chunks and trailers, in interim heads too. It withholds the end of the first line
that breaks the grammar and returns an [*Error], so that no parser above it sees a
complete head, or the end of a body, that breaks the grammar.

An answer may have neither a length nor chunks and end with its connection. A [Conn]
lets the end of the connection pass as the end of an answer only if the whole request
was written and no write has failed: the kernel reports a reset once, and if a write
takes the report, the read sees a plain end.

Every reader of answers reads through this package: by a Conn, or by [NewTransport].
Heads that arrive in another encoding are judged by [CheckStatus] and [CheckField].

# Use

	conn := http1.NewConn(c)
	conn.Expect(http.MethodGet) // before the request is written
	...
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if broken, ok := http1.Broken(conn.Explain(err)); ok { ... broken.Part }

	client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
*/
package http1

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type=Part -linecomment -output=part_string.go

// Part is the part of an answer that breaks the protocol.
type Part uint8

const (
	StatusLine Part = iota // status_line
	FieldName              // field_name
	FieldValue             // field_value
	Framing                // framing
	Chunk                  // chunk
	// Size is a line, head or trailer that is longer than its limit.
	Size // size
	// End is the end of a connection that does not show the end of its answer, since
	// the connection has failed.
	End // end
)

// maxQuotedBytes bounds the bytes of an answer in an error.
const maxQuotedBytes = 48

// Error says how an answer breaks the grammar.
type Error struct {
	Part   Part
	Reason string
}

// Error returns the part and the reason.
func (e *Error) Error() string {
	return "http1: answer breaks the protocol (" + e.Part.String() + "): " + e.Reason
}

// Broken returns the Error in the chain of err, if there is one.
func Broken(err error) (*Error, bool) {
	var broken *Error
	ok := errors.As(err, &broken)
	return broken, ok
}

func broken(part Part, format string, args ...any) *Error {
	return &Error{Part: part, Reason: fmt.Sprintf(format, args...)}
}

// excerpt returns the beginning of a line for an error.
func excerpt[T string | []byte](line T) string {
	return fmt.Sprintf("%.*q", maxQuotedBytes, line)
}
