package registry

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

func unmarshal(t rapid.TB, data []byte, m proto.Message) {
	if err := proto.Unmarshal(data, m); err != nil {
		t.Fatal(err)
	}
}

// Guards against a command that crashes a replica: every replica would crash at
// the same log entry, and the group could not be restarted.
func FuzzCommand(f *testing.F) {
	f.Add([]byte{})
	f.Add(ConfirmCommand(unixMilli(1), confirmation(f, 0, "active", "a")))
	f.Add(ClaimCommand(unixMilli(1), &peer.ClaimRequest{}))
	f.Add(ReassignCommand(unixMilli(1), &peer.ReassignRequest{}))
	f.Add(CompleteCommand(unixMilli(1), &peer.CompleteRequest{Outcome: &peer.CompleteRequest_Answer{}}))
	f.Add(GroupCommand(unixMilli(1), &GroupDecision{MapVersion: 1, SwitchStep: 1}))
	f.Add(FenceCommand(unixMilli(1), "b"))
	f.Fuzz(func(t *testing.T, command []byte) {
		r := New()
		for i := range uint64(3) {
			if _, err := decodeResult(r.Apply(i+1, command)); err != nil && fault.From(err).Message == "unexpected error" {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(snapshot(t, r), snapshot(t, restored(t, r))) {
			t.Fatal("snapshot and restore change the state")
		}
	})
}

// Guards against a damaged snapshot that crashes the process or is restored in
// part.
func FuzzSnapshot(f *testing.F) {
	r := New()
	r.Apply(1, ConfirmCommand(unixMilli(1), confirmation(f, 0, "active", "a")))
	r.Apply(2, ClaimCommand(unixMilli(1), &peer.ClaimRequest{Key: &peer.KeyRef{Key: "k"}, Attempt: &peer.AttemptRef{Number: 1}}))
	f.Add(snapshot(f, r))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New()
		if err := r.Restore(data); err != nil {
			if !fault.Is(err, fault.CorruptData) {
				t.Fatal(err)
			}
			if !bytes.Equal(snapshot(t, r), snapshot(t, New())) {
				t.Fatal("a rejected snapshot changed the state")
			}
			return
		}
		r.Apply(1, ClaimCommand(unixMilli(1), &peer.ClaimRequest{Key: &peer.KeyRef{Key: "k"}, Attempt: &peer.AttemptRef{Number: 1}}))
		snapshot(t, r)
	})
}
