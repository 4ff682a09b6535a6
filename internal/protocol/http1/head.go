package http1

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
)

const (
	// Statuses outside of this range are invalid:
	// https://www.rfc-editor.org/rfc/rfc9110#section-15.
	minStatus = 100
	maxStatus = 599
)

// head is what the lines of a head say of the body.
type head struct {
	status  int
	version int // minor version of HTTP/1
	chunked bool
	length  int64 // -1 if no length is given
}

// CheckStatus returns an Error if status is not one of a final answer.
func CheckStatus(status int) error {
	if status < 200 || status > maxStatus {
		return broken(StatusLine, "status %03d is not one of a final answer", status)
	}
	return nil
}

// CheckField returns an Error if a field has a name that is no token, or a value with
// control bytes.
func CheckField(name, value string) error {
	if !isToken(name) {
		return broken(FieldName, "%s is no name of a field", excerpt(name))
	}
	if !isFieldValue(value) {
		return broken(FieldValue, "the value of %s has a control byte: %s", excerpt(name), excerpt(value))
	}
	return nil
}

// parseStatusLine parses a line of the form "HTTP/1.1 200 reason", in which the reason
// may be empty.
func parseStatusLine(line []byte) (head, *Error) {
	const version, digits = "HTTP/1.", 3
	invalid := func(reason string) (head, *Error) {
		return head{}, broken(StatusLine, "%s: %s", reason, excerpt(line))
	}
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return invalid("no version of HTTP/1")
	}
	minor := int(rest[0] - '0')
	rest = rest[2:]
	if len(rest) <= digits || rest[digits] != ' ' || !isNumber(rest[:digits]) {
		return invalid("no status of three digits and a space")
	}
	status, _ := strconv.Atoi(string(rest[:digits])) // cannot fail: three digits
	switch {
	case status < minStatus || status > maxStatus:
		return invalid("invalid status")
	case status == http.StatusSwitchingProtocols:
		return invalid("no other protocol was asked for")
	case !isFieldValue(rest[digits+1:]):
		return invalid("control byte in the reason")
	}
	return head{status: status, version: minor, length: -1}, nil
}

// splitField returns the name and the value of a field line.
func splitField(line []byte) (name, value []byte, err *Error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return nil, nil, broken(FieldName, "line without the name of a field: %s", excerpt(line))
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return nil, nil, broken(FieldValue, "control byte in a value: %s", excerpt(line))
	}
	return name, value, nil
}

// isFramingField reports whether a field says where the body ends.
func isFramingField(name []byte) (length, coding bool) {
	return strings.EqualFold(string(name), "Content-Length"), strings.EqualFold(string(name), "Transfer-Encoding")
}

// addField judges a line of the head and keeps what it says of the body.
func (h *head) addField(line []byte) *Error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	length, coding := isFramingField(name)
	switch {
	case length:
		return h.addLength(value)
	case coding && (h.chunked || !strings.EqualFold(string(value), "chunked")):
		// Other codings are never asked for, and chunked is applied once.
		return broken(Framing, "Transfer-Encoding is not chunked alone: %s", excerpt(value))
	case coding:
		h.chunked = true
	}
	return nil
}

// addLength keeps a Content-Length. A second one must be equal:
// https://www.rfc-editor.org/rfc/rfc9112#section-6.3.
func (h *head) addLength(value []byte) *Error {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || !isNumber(value) {
		return broken(Framing, "invalid Content-Length: %s", excerpt(value))
	}
	if h.length >= 0 && h.length != n {
		return broken(Framing, "Content-Length is both %d and %d", h.length, n)
	}
	h.length = n
	return nil
}

// checkFraming judges the framing fields of a complete head together.
func (h *head) checkFraming() *Error {
	switch {
	case h.chunked && h.length >= 0:
		return broken(Framing, "both Content-Length and Transfer-Encoding")
	case h.chunked && h.version == 0:
		return broken(Framing, "Transfer-Encoding in an answer of HTTP/1.0")
	case (h.isInterim() || h.status == http.StatusNoContent) && (h.chunked || h.length > 0):
		return broken(Framing, "status %d with a body", h.status)
	}
	return nil
}

func (h *head) isInterim() bool { return h.status < 200 }

// bodyLength returns the length of the body after the head of an answer to a request
// with the given method, math.MaxInt64 if the body ends with the connection.
func (h *head) bodyLength(method string) int64 {
	switch {
	case method == http.MethodHead, h.isInterim(), h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		return 0
	case h.length >= 0:
		return h.length
	}
	return math.MaxInt64
}

// requestBodyLength returns the length of the body after the head of a request,
// math.MaxInt64 if it is chunked: https://www.rfc-editor.org/rfc/rfc9112#section-6.3.
func (h *head) requestBodyLength() int64 {
	if h.chunked {
		return math.MaxInt64
	}
	return max(h.length, 0)
}

// isToken reports whether name is a token of
// https://www.rfc-editor.org/rfc/rfc9110#section-5.6.2.
func isToken[T string | []byte](name T) bool {
	for i := range len(name) {
		if b := name[i]; !isLetter(b) && !isDigit(b) && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether value has no control bytes but tabs. Bytes over 127 are
// allowed, as obs-text: https://www.rfc-editor.org/rfc/rfc9110#section-5.5.
func isFieldValue[T string | []byte](value T) bool {
	for i := range len(value) {
		if b := value[i]; (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

func isNumber(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isLetter(b byte) bool { return b|0x20 >= 'a' && b|0x20 <= 'z' }
