package raft

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Guards against a message that causes a panic or moves the commit index back,
// in any role.
func FuzzReceive(f *testing.F) {
	for kind := range peer.RaftMessageType_name {
		data, err := proto.Marshal(&peer.RaftMessage{
			Type: peer.RaftMessageType(kind), Term: 2, Index: 2, LogTerm: 1, Commit: 3, Round: 1,
			Entries:  []*peer.LogEntry{command(3, 2), {Index: 4, Term: 2, Type: peer.LogEntryType_LOG_ENTRY_TYPE_MEMBERS}},
			Snapshot: &peer.SnapshotChunk{LastIndex: 9, LastTerm: 2, Data: []byte("x")},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &peer.RaftMessage{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		m.From, m.To, m.Folder = 2, 1, 2
		leader := newReplica1(command(2, 1))
		elect(t, leader)
		empty := New(0, Config{ID: 1, Folder: 1, Random: func(int64) int64 { return 0 }})
		for _, r := range []*Raft{newReplica1(command(2, 1)), leader, empty} {
			if isReply(m.Type) || m.ToFolder != 0 {
				m.ToFolder = 1
			}
			for range 2 {
				commit := r.CommitIndex()
				r.Step(r.now, Receive{m})
				r.Step(r.now, Synced{})
				r.Step(r.NextDeadline(), Tick{})
				if r.CommitIndex() < commit || r.CommitIndex() > r.LastIndex() {
					t.Errorf("commit %d after %d, last %d", r.CommitIndex(), commit, r.LastIndex())
				}
			}
		}
	})
}
