package frame

import (
	"bytes"
	"io"
	"testing"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

func chunk(data string) *peer.AnswerFrame {
	return &peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: []byte(data)}}}
}

func end() *peer.AnswerFrame {
	return &peer.AnswerFrame{Frame: &peer.AnswerFrame_End{End: &peer.End{}}}
}

func encode(t *testing.T, requestID string, frames ...*peer.AnswerFrame) []byte {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(&b, requestID, 1)
	for _, f := range frames {
		if err := w.Write(f); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

// Guards against a truncated, mixed or damaged answer that is accepted as
// complete.
func TestReaderFindsDamage(t *testing.T) {
	complete := encode(t, "a", chunk("one"), chunk("two"), end())
	first := len(encode(t, "a", chunk("one")))
	tests := map[string]struct {
		data []byte
		want fault.Kind
	}{
		"truncated between frames":  {complete[:first], fault.StreamBroken},
		"truncated inside a frame":  {complete[:first+3], fault.StreamBroken},
		"missing frame":             {append(bytes.Clone(complete[:first]), encode(t, "a", end())...), fault.ChecksumMismatch},
		"answer to another request": {encode(t, "b", chunk("one"), end()), fault.ChecksumMismatch},
		"changed byte":              {bytes.Replace(complete, []byte("two"), []byte("twO"), 1), fault.ChecksumMismatch},
		"duplicate frame":           {append(bytes.Clone(complete[:first]), complete...), fault.ChecksumMismatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewReader(bytes.NewReader(test.data), "a", 1)
			var err error
			for err == nil {
				_, err = r.Read()
			}
			if !fault.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against a complete answer that is rejected, and against bytes after
// the end that are read as part of it.
func TestReaderReadsWhole(t *testing.T) {
	data := append(encode(t, "a", chunk("one"), end()), "junk"...)
	r := NewReader(bytes.NewReader(data), "a", 1)
	for range 2 {
		if _, err := r.Read(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := r.Read(); err != io.EOF {
		t.Errorf("got %v, want EOF", err)
	}
}

// Guards against a crash or unbounded memory use on untrusted input.
func FuzzReader(f *testing.F) {
	f.Add([]byte{3, 10, 1, 'a'})
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data), "a", 1)
		for {
			if _, err := r.Read(); err != nil {
				return
			}
		}
	})
}
