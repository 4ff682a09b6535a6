/*
Package frame carries a stream of protobuf messages over one HTTP body.

Each message is preceded by its length as a varint (the protodelim format). The
package adds what is needed to verify a stream of answer frames: sequence
numbers without gaps, the request id and attempt in each frame, and a final
checksum over all chunk data. A reader that receives a frame of another request,
a gap, or a wrong checksum returns a fault, and the answer must be discarded.

	w := frame.NewWriter(response, "req-1", 1)
	w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{...}})
	w.End(&peer.End{FinishReason: "stop"})
*/
package frame

import (
	"bufio"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// MaxMessageBytes is the size limit of a message; a longer one is rejected
// before it is read.
const MaxMessageBytes = 16 << 20

var unmarshalOptions = protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}

// WriteMessage writes one message, preceded by its length.
func WriteMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return errors.Wrap(err, "frame: write message")
}

// ReadMessage reads one message. The error is io.EOF at the end of the stream.
func ReadMessage(r *bufio.Reader, m proto.Message) error {
	err := unmarshalOptions.UnmarshalFrom(r, m)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return errors.Wrap(err, "frame: read message")
}

// Writer numbers the frames of one answer and computes the checksum of their
// data.
type Writer struct {
	w         io.Writer
	requestID string
	attempt   uint32
	sequence  uint64
	bytes     uint64
	tokens    uint64
	checksum  *xxhash.Digest
}

// NewWriter returns a Writer for the answer to one attempt.
func NewWriter(w io.Writer, requestID string, attempt uint32) *Writer {
	return &Writer{w: w, requestID: requestID, attempt: attempt, checksum: xxhash.New()}
}

// Write writes a frame. It sets the frame's request id, attempt, sequence and,
// in an End, the checksum and counts.
func (w *Writer) Write(f *peer.AnswerFrame) error {
	w.sequence++
	f.RequestId, f.Attempt, f.Sequence = w.requestID, w.attempt, w.sequence
	switch body := f.Frame.(type) {
	case *peer.AnswerFrame_Chunk:
		w.checksum.Write(body.Chunk.Data)
		w.bytes += uint64(len(body.Chunk.Data))
		w.tokens += uint64(body.Chunk.Tokens)
	case *peer.AnswerFrame_End:
		body.End.Checksum, body.End.Bytes, body.End.Tokens = w.checksum.Sum64(), w.bytes, w.tokens
	}
	return WriteMessage(w.w, f)
}

// Reader reads and verifies the frames of one answer.
type Reader struct {
	r         *bufio.Reader
	requestID string
	attempt   uint32
	sequence  uint64
	bytes     uint64
	checksum  *xxhash.Digest
	done      bool
}

// NewReader returns a Reader for the answer to one attempt.
func NewReader(r io.Reader, requestID string, attempt uint32) *Reader {
	return &Reader{r: bufio.NewReader(r), requestID: requestID, attempt: attempt, checksum: xxhash.New()}
}

// Read returns the next frame, or io.EOF after an End or a Failure. A stream
// that ends without either is a StreamBroken fault, and a frame that is not
// the next one of this attempt is a ChecksumMismatch fault.
func (r *Reader) Read() (*peer.AnswerFrame, error) {
	if r.done {
		return nil, io.EOF
	}
	f := &peer.AnswerFrame{}
	if err := ReadMessage(r.r, f); err != nil {
		return nil, fault.Wrap(err, fault.StreamBroken, "answer stream ended after frame %d", r.sequence)
	}
	if f.RequestId != r.requestID || f.Attempt != r.attempt {
		return nil, fault.New(fault.ChecksumMismatch, "got a frame of request %q, attempt %d, want request %q, attempt %d",
			f.RequestId, f.Attempt, r.requestID, r.attempt)
	}
	r.sequence++
	if f.Sequence != r.sequence {
		return nil, fault.New(fault.ChecksumMismatch, "got frame %d, want %d", f.Sequence, r.sequence)
	}
	switch body := f.Frame.(type) {
	case *peer.AnswerFrame_Chunk:
		r.checksum.Write(body.Chunk.Data)
		r.bytes += uint64(len(body.Chunk.Data))
	case *peer.AnswerFrame_End:
		if body.End.Checksum != r.checksum.Sum64() || body.End.Bytes != r.bytes {
			return nil, fault.New(fault.ChecksumMismatch, "answer of %d bytes does not match the sender's checksum over %d bytes", r.bytes, body.End.Bytes)
		}
		r.done = true
	case *peer.AnswerFrame_Failure:
		r.done = true
	}
	return f, nil
}
