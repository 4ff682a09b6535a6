package engine

import (
	"bufio"
	"bytes"
	"io"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// MaxEventBytes bounds one server-sent event. It is half of the agent's buffer
// limit for a stream, so that one event never exceeds that limit.
const MaxEventBytes = 32 << 10

// Decoder reads the data of server-sent events. Other fields and comments are
// skipped.
type Decoder struct {
	r    *bufio.Reader
	data []byte
	line []byte
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, readBufferSize)}
}

// Next returns the data of the next event, valid until the next call. The
// error is io.EOF at the end of the stream; a truncated event is dropped, as the
// format requires. An event over MaxEventBytes is a TooLarge fault with ran
// "unknown".
func (d *Decoder) Next() ([]byte, error) {
	d.data = d.data[:0]
	hasData := false
	for {
		line, err := d.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return d.data, nil
			}
			continue
		}
		value, ok := dataField(line)
		if !ok {
			continue
		}
		if hasData {
			d.data = append(d.data, '\n')
		}
		hasData = true
		if len(d.data)+len(value) > MaxEventBytes {
			return nil, eventTooLarge()
		}
		d.data = append(d.data, value...)
	}
}

// dataField returns the value of a line if it is a data field.
func dataField(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, []byte("data")) {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

// readLine returns a line without its line ending, which is LF or CR LF.
func (d *Decoder) readLine() ([]byte, error) {
	d.line = d.line[:0]
	for {
		part, err := d.r.ReadSlice('\n')
		if len(d.line)+len(part) > MaxEventBytes {
			return nil, eventTooLarge()
		}
		if err == nil && len(d.line) == 0 {
			return trimLineEnding(part), nil
		}
		d.line = append(d.line, part...)
		if err == nil {
			return trimLineEnding(d.line), nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

func trimLineEnding(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}

func eventTooLarge() error {
	return fault.New(fault.TooLarge, "event is larger than %d bytes", MaxEventBytes).WithRan(fault.RanUnknown)
}
