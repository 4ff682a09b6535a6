package raft

import (
	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// MaxSnapshotBytes limits the memory for a snapshot that is being received.
const MaxSnapshotBytes = 1 << 30

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from, index, term uint64
	data              []byte
}

// SnapshotMetaAt returns the metadata of a snapshot at an index that is committed
// and not compacted.
func (r *Raft) SnapshotMetaAt(index uint64) SnapshotMeta {
	term, _ := r.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Members: r.MembersAt(index)}
}

func (r *Raft) compact(in Compact) {
	if in.SnapshotIndex <= r.snapshot.Index || in.SnapshotIndex > r.commitIndex {
		return
	}
	r.snapshot = r.SnapshotMetaAt(in.SnapshotIndex)
	r.log.compact(min(in.CompactIndex, in.SnapshotIndex))
	for len(r.configs) > 1 && r.configs[1].index <= r.log.base {
		r.configs = r.configs[1:]
	}
}

// CompactIndex returns the last index to compact once a snapshot at an index is on
// disk. At most count entries of at most a number of bytes are kept up to the
// snapshot, for slow members.
func (r *Raft) CompactIndex(index, count uint64, bytes int) uint64 {
	compact := index
	for size := 0; compact > r.log.base && index-compact < count; compact-- {
		size += len(r.log.entry(compact).Data)
		if size > bytes {
			break
		}
	}
	return compact
}

// IsSendingSnapshot reports whether a snapshot is being sent to a recently active
// member.
func (r *Raft) IsSendingSnapshot() bool {
	for _, p := range r.peers {
		if p.state == snapshotting && r.isRecentlyActive(p) {
			return true
		}
	}
	return false
}

func (r *Raft) startSnapshot(p *progress) {
	p.state, p.inFlight = snapshotting, nil
	p.snapshotIndex, p.snapshotOffset = r.snapshot.Index, 0
	r.sendChunk(p)
}

func (r *Raft) sendChunk(p *progress) {
	if p.snapshotIndex != r.snapshot.Index {
		// A newer snapshot has replaced the one being sent.
		p.snapshotIndex, p.snapshotOffset = r.snapshot.Index, 0
	}
	p.chunkSentAt = r.now
	r.send(&peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, To: p.id, Commit: r.commitIndex,
		Snapshot: &peer.SnapshotChunk{
			LastIndex: r.snapshot.Index, LastTerm: r.snapshot.Term,
			Members: &peer.Members{Members: r.snapshot.Members}, Offset: p.snapshotOffset,
		},
	})
}

// resendChunk resends a chunk that has not been acknowledged for an election
// timeout.
func (r *Raft) resendChunk(p *progress) {
	if r.now-p.chunkSentAt >= r.cfg.ElectionTimeoutMin {
		r.sendChunk(p)
	}
}

func (r *Raft) onSnapshotReply(m *peer.RaftMessage) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil || p.state != snapshotting || p.snapshotIndex != m.Index {
		return
	}
	if r.recordFolder(p, m.Folder); p.state != snapshotting {
		return
	}
	if m.RejectHint != p.snapshotOffset {
		p.snapshotOffset = m.RejectHint
		r.sendChunk(p)
	}
}

func (r *Raft) clearIncoming() { r.incoming = nil }

// onSnapshot handles one chunk. The reply to a chunk contains the next offset, and
// the reply to the last one acknowledges the entries.
func (r *Raft) onSnapshot(m *peer.RaftMessage) {
	if m.Snapshot == nil || m.Snapshot.LastIndex == 0 {
		r.effects.Ignored = BadMessage
		return
	}
	if !r.acceptLeader(m) {
		return
	}
	chunk := m.Snapshot
	if chunk.LastIndex <= r.commitIndex {
		r.acknowledge(m)
		return
	}
	if term, ok := r.log.term(chunk.LastIndex); ok && term == chunk.LastTerm {
		r.commitIndex = chunk.LastIndex
		r.acknowledge(m)
		return
	}
	if r.addChunk(m.From, chunk) {
		r.installSnapshot(m)
		return
	}
	next := uint64(0)
	if r.incoming != nil {
		next = uint64(len(r.incoming.data))
	}
	r.reply(m, &peer.RaftMessage{
		Type:  peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_REPLY,
		Index: chunk.LastIndex, RejectHint: next,
	})
}

// addChunk adds a chunk and reports whether the snapshot is complete.
func (r *Raft) addChunk(from uint64, chunk *peer.SnapshotChunk) bool {
	in := r.incoming
	if in == nil || in.from != from || in.index != chunk.LastIndex || in.term != chunk.LastTerm {
		in = &incomingSnapshot{from: from, index: chunk.LastIndex, term: chunk.LastTerm}
		r.incoming = in
	}
	if chunk.Offset != uint64(len(in.data)) {
		return false
	}
	if len(in.data)+len(chunk.Data) > MaxSnapshotBytes {
		r.effects.Ignored = BadMessage
		r.clearIncoming()
		return false
	}
	in.data = append(in.data, chunk.Data...)
	if !chunk.Done {
		return false
	}
	if xxhash.Sum64(in.data) != chunk.Checksum {
		r.effects.Ignored = BadChecksum
		r.clearIncoming()
		return false
	}
	return true
}

// installSnapshot replaces the log with the snapshot.
func (r *Raft) installSnapshot(m *peer.RaftMessage) {
	chunk := m.Snapshot
	r.snapshot = SnapshotMeta{Index: chunk.LastIndex, Term: chunk.LastTerm, Members: chunk.Members.GetMembers()}
	r.log = newEntryLog(r.snapshot, nil)
	r.commitIndex, r.syncedIndex = chunk.LastIndex, chunk.LastIndex
	r.configs = []configuration{{index: r.snapshot.Index, members: r.snapshot.Members}}
	r.checkOwnFolder()
	r.effects.Snapshot = &Snapshot{SnapshotMeta: r.snapshot, Data: r.incoming.data}
	r.effects.Entries = nil
	r.clearIncoming()
	r.acknowledge(m)
}

// acknowledge reports that all committed entries are on this replica's disk.
func (r *Raft) acknowledge(m *peer.RaftMessage) {
	r.reply(m, &peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, Index: r.commitIndex,
	})
}
