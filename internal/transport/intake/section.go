package intake

import "bytes"

const (
	// lineCost is what net/http holds for a field besides its bytes: the entries of the
	// map of fields and of its copy for the backend server, and slices.
	lineCost = 256
	// incompleteFactor is the memory held for each byte of an incomplete header section:
	// the line that grows in a buffer, its copy, and the field. completeFactor is that of
	// the fields alone, and of their copy.
	incompleteFactor = 3
	completeFactor   = 2
)

// section follows the bytes of a header section. The zero value is before its first byte.
type section struct {
	fieldBytes   int // of all fields, with line ends
	lines        int // complete lines
	requestBytes int // of the request line
	emptyLines   int // before the request line
	lineBytes    int // of the current line
	onlyCR       bool
	complete     bool
	// midway is set if its first bytes may have been read with the former request, as of
	// a caller that pipelines requests.
	midway bool
}

// add takes the next bytes up to the end of the section. What follows it belongs to the
// body.
func (s *section) add(p []byte) {
	for len(p) > 0 && !s.complete {
		line, ended := p, false
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			line, ended = p[:i], true
			p = p[i+1:]
		} else {
			p = nil
		}
		s.onlyCR = s.lineBytes == 0 && len(line) == 1 && line[0] == '\r' || s.onlyCR && len(line) == 0
		s.lineBytes += len(line)
		inRequestLine := s.lines == 0
		n := len(line)
		if ended {
			n++
		}
		if inRequestLine {
			s.requestBytes += n
		} else {
			s.fieldBytes += n
		}
		if ended {
			s.endLine(inRequestLine)
		}
	}
}

func (s *section) endLine(inRequestLine bool) {
	empty := s.lineBytes == 0 || s.onlyCR
	s.lineBytes, s.onlyCR = 0, false
	switch {
	case empty && inRequestLine:
		s.emptyLines++
	case empty:
		s.complete = true
	default:
		s.lines++
	}
}

// exceeds returns why the section is refused, if it is. The request line may take as many
// bytes as the fields.
func (s *section) exceeds(limits Limits) (reason, bool) {
	fields := s.fieldBytes
	if s.complete {
		fields -= len("\r\n") // the empty line at the end
	}
	switch {
	case s.emptyLines > maxEmptyLines && !s.midway:
		return emptyLines, true
	case fields > limits.HeaderBytes || s.requestBytes > limits.HeaderBytes:
		return headerTooLarge, true
	}
	return 0, false
}

// cost returns the memory that the section makes the process hold.
func (s *section) cost() int64 {
	factor := incompleteFactor
	if s.complete {
		factor = completeFactor
	}
	return int64(factor*(s.fieldBytes+s.requestBytes) + lineCost*s.lines)
}
