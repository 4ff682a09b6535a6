package wal

import (
	"bytes"
	"testing"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

func appendRecord(out []byte, r record) []byte {
	start := len(out)
	out = append(beginRecord(out, r.kind, r.batch, r.last), r.payload...)
	finishRecord(out, start)
	return out
}

// Guards against a decoder that panics or accepts bytes that the encoder did not
// write: decoded records must encode to the same number of bytes.
func FuzzDecodeBatches(f *testing.F) {
	var data []byte
	for batch := uint64(1); batch <= 3; batch++ {
		payload, err := marshalEntry(nil, entry(batch, 1))
		if err != nil {
			f.Fatal(err)
		}
		data = appendRecord(data, record{kind: recordHardState, batch: batch, payload: appendHardState(nil, HardState{Term: batch})})
		data = appendRecord(data, record{kind: recordEntry, batch: batch, last: true, payload: payload})
	}
	f.Add(data, uint64(0))
	f.Add(data[:len(data)-5], uint64(0))
	f.Add(data[10:], uint64(1))
	f.Fuzz(func(t *testing.T, data []byte, previous uint64) {
		records, size, err := decodeBatches(data, previous)
		if err != nil {
			return
		}
		var out []byte
		state := &State{}
		for _, r := range records {
			out = appendRecord(out, r)
			if _, err := state.apply(r); err != nil {
				break
			}
		}
		// Only the sizes are compared: each value of the last-of-batch byte other
		// than 1 is decoded as false and encoded as 0.
		if len(out) != size {
			t.Errorf("decoded %d bytes, encoded %d", size, len(out))
		}
	})
}

// Guards against a snapshot decoder that panics or accepts a damaged file.
func FuzzDecodeSnapshot(f *testing.F) {
	s := &Snapshot{Index: 9, Term: 2, Members: []*peer.Member{{Id: 1, Address: "a"}}, Data: []byte("state")}
	head, dataHeader, err := encodeSnapshotHeaders(s)
	if err != nil {
		f.Fatal(err)
	}
	complete := bytes.Join([][]byte{head, dataHeader, s.Data}, nil)
	f.Add(complete)
	f.Add(complete[:len(complete)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decodeSnapshot(data)
		if err != nil {
			return
		}
		if got.Index == 0 || !bytes.HasSuffix(data, got.Data) {
			t.Errorf("decoded %+v", got)
		}
	})
}
