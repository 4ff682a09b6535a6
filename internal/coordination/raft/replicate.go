package raft

import (
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// sendState is the mode in which entries are sent to a member.
type sendState uint8

const (
	// probing sends one message per round until the matching index is known.
	probing sendState = iota // probing
	// streaming sends entries without waiting for acknowledgements.
	streaming // streaming
	// snapshotting sends the snapshot, since the next entries are compacted.
	snapshotting // snapshotting
)

// progress is the state of replication to another member.
type progress struct {
	id          uint64
	state       sendState
	match       uint64   // highest entry known to be on the member's disk
	next        uint64   // next entry to send
	inFlight    []uint64 // last index of each unacknowledged message with entries
	probeSent   bool     // a probe was sent in this round
	round       uint64   // highest round acknowledged
	lastContact time.Duration
	folder      uint64

	snapshotIndex  uint64 // of the snapshot being sent
	snapshotOffset uint64
	chunkSentAt    time.Duration
}

func (r *Raft) addPeer(id uint64) {
	if id != r.cfg.ID && r.peers[id] == nil {
		r.peers[id] = &progress{id: id, next: r.log.lastIndex() + 1, lastContact: r.now}
	}
}

// updatePeers updates the peers after a change of the member list.
func (r *Raft) updatePeers() {
	for id := range r.peers {
		if r.member(id) == nil && !slices.Contains(r.removedPeers, id) {
			r.removedPeers = append(r.removedPeers, id)
		}
	}
	for _, m := range r.Members() {
		r.addPeer(m.Id)
	}
}

func (r *Raft) propose(commands [][]byte) {
	switch {
	case r.role != Leader:
		r.effects.Refused = NotLeader
		return
	case r.transfer.target != 0:
		r.effects.Refused = Transferring
		return
	}
	r.effects.FirstIndex, r.effects.Term = r.log.lastIndex()+1, r.hard.Term
	for _, command := range commands {
		r.appendOwn(peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND, command)
	}
	r.broadcast()
}

func (r *Raft) appendOwn(kind peer.LogEntryType, data []byte) {
	e := &peer.LogEntry{Term: r.hard.Term, Index: r.log.lastIndex() + 1, Type: kind, Data: data}
	r.log.append(e)
	r.applyConfiguration(e)
	r.effects.Entries = append(r.effects.Entries, e)
}

// forEachPeer calls f for the other members in the order of the member list, so
// that equal inputs give equal effects.
func (r *Raft) forEachPeer(f func(*progress)) {
	for _, m := range r.Members() {
		if p := r.peers[m.Id]; p != nil {
			f(p)
		}
	}
	for _, id := range r.removedPeers {
		f(r.peers[id])
	}
}

// finishRemovals informs removed members that their removal is committed and
// deletes their progress.
func (r *Raft) finishRemovals() {
	if r.configs[len(r.configs)-1].index > r.commitIndex {
		return
	}
	for _, id := range r.removedPeers {
		r.sendHeartbeat(r.peers[id])
		delete(r.peers, id)
	}
	r.removedPeers = nil
}

func (r *Raft) broadcast() { r.forEachPeer(func(p *progress) { r.sendEntries(p) }) }

// sendEntries sends the entries that flow control allows, and reports whether it
// sent any message that carries the round.
func (r *Raft) sendEntries(p *progress) bool {
	if p.state == snapshotting {
		return false
	}
	if p.next <= r.log.base {
		r.startSnapshot(p)
		return false
	}
	if p.state == probing {
		if p.probeSent {
			return false
		}
		p.probeSent = true
		r.sendAppend(p, r.log.slice(p.next, r.log.lastIndex(), r.cfg.MaxMessageBytes))
		return true
	}
	sent := false
	for p.next <= r.log.lastIndex() && len(p.inFlight) < r.cfg.MaxInFlight {
		entries := r.log.slice(p.next, r.log.lastIndex(), r.cfg.MaxMessageBytes)
		r.sendAppend(p, entries)
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
		sent = true
	}
	return sent
}

func (r *Raft) sendAppend(p *progress, entries []*peer.LogEntry) {
	term, _ := r.log.term(p.next - 1)
	m := &peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: p.id,
		Index: p.next - 1, LogTerm: term, Commit: r.commitIndex, Round: r.round, Entries: entries,
	}
	if p.state != streaming {
		r.addPeerInfo(m)
	}
	r.send(m)
}

// addPeerInfo adds what a member cannot read from its own log yet: the address for
// its reply, and the data folder that the group has recorded for it.
func (r *Raft) addPeerInfo(m *peer.RaftMessage) {
	m.Address = r.member(r.cfg.ID).GetAddress()
	m.ToFolder = r.member(m.To).GetFolder()
}

// sendHeartbeat sends at least one message of the current round. Its consistency
// check at the last entry sent also detects lost messages.
func (r *Raft) sendHeartbeat(p *progress) {
	p.probeSent = false
	if r.sendEntries(p) {
		return
	}
	if p.state == snapshotting {
		r.resendChunk(p)
		m := &peer.RaftMessage{
			Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: p.id,
			Index: r.log.base, LogTerm: r.log.baseTerm, Commit: r.commitIndex, Round: r.round,
		}
		r.addPeerInfo(m)
		r.send(m)
		return
	}
	r.sendAppend(p, nil)
}

// onAppend handles entries from the leader of the current term.
func (r *Raft) onAppend(m *peer.RaftMessage) {
	if !r.acceptLeader(m) {
		return
	}
	r.leaderCommit = m.Commit
	reply := &peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, Round: m.Round,
	}
	if m.Index < r.commitIndex {
		// Committed entries match the leader's, so they are acknowledged
		// without a check.
		reply.Index = r.commitIndex
		r.reply(m, reply)
		return
	}
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index = true, m.Index
		reply.RejectHint, reply.LogTerm = r.rejectHint(m)
		r.reply(m, reply)
		return
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			r.effects.Ignored = BadMessage
			return
		}
	}
	r.appendReceived(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.commitIndex = max(r.commitIndex, min(m.Commit, last))
	reply.Index = last
	r.reply(m, reply)
}

// acceptLeader accepts the sender as leader of the current term, and reports
// whether it did.
func (r *Raft) acceptLeader(m *peer.RaftMessage) bool {
	if r.role == Leader {
		r.effects.Ignored = BadMessage
		return false
	}
	if m.ToFolder != 0 && m.ToFolder != r.cfg.Folder {
		r.folderMismatch = true
		return false
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.hard.Term, m.From)
	}
	r.leaderContact = r.now
	r.campaigns = 0
	r.resetElectionTimer()
	return true
}

// rejectHint returns where the leader's next consistency check may succeed: the
// last local entry before the rejected one whose term is not above the leader's
// term there.
func (r *Raft) rejectHint(m *peer.RaftMessage) (index, term uint64) {
	index = min(r.log.lastIndex(), m.Index-1)
	for index > r.log.base {
		term, _ = r.log.term(index)
		if term <= m.LogTerm {
			return index, term
		}
		index--
	}
	return r.log.base, r.log.baseTerm
}

// appendReceived appends the entries that are new and replaces conflicting ones.
func (r *Raft) appendReceived(entries []*peer.LogEntry) {
	for i, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			r.log.truncate(e.Index)
			r.revertConfigurations(e.Index)
			r.syncedIndex = min(r.syncedIndex, e.Index-1)
		}
		newEntries := entries[i:]
		r.log.append(newEntries...)
		r.effects.Entries = append(r.effects.Entries, newEntries...)
		for _, e := range newEntries {
			r.applyConfiguration(e)
		}
		return
	}
}

func (r *Raft) onAppendReply(m *peer.RaftMessage) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	if m.Index > r.log.lastIndex() {
		r.effects.Ignored = BadMessage
		return
	}
	r.recordFolder(p, m.Folder)
	r.recordContact(p, m.Round)
	if m.Reject {
		r.onReject(p, m)
		return
	}
	r.onMatch(p, m.Index)
}

// recordFolder restarts replication to a learner whose data folder changed, since
// the entries in the old one are lost. Replies of a voter with another folder do
// not reach this function.
func (r *Raft) recordFolder(p *progress, folder uint64) {
	if p.folder != 0 && p.folder != folder {
		*p = progress{id: p.id, next: r.log.lastIndex() + 1, lastContact: p.lastContact}
	}
	p.folder = folder
}

func (r *Raft) onReject(p *progress, m *peer.RaftMessage) {
	stale := m.Index <= p.match || p.state == snapshotting || p.state == probing && m.Index != p.next-1
	if stale {
		return
	}
	next := min(m.RejectHint, m.Index-1)
	for next > r.log.base {
		if term, _ := r.log.term(next); term <= m.LogTerm {
			break
		}
		next--
	}
	p.state, p.inFlight, p.probeSent = probing, nil, false
	p.next = max(p.match, next) + 1
	if m.RejectHint < r.log.base {
		p.next = max(p.match, m.RejectHint) + 1
	}
	r.sendEntries(p)
}

func (r *Raft) onMatch(p *progress, index uint64) {
	if p.state == snapshotting && index < p.snapshotIndex && index < r.log.base {
		return
	}
	p.match = max(p.match, index)
	if p.state != streaming {
		p.state, p.inFlight, p.probeSent = streaming, nil, false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	acked := 0
	for acked < len(p.inFlight) && p.inFlight[acked] <= p.match {
		acked++
	}
	p.inFlight = p.inFlight[acked:]
	r.advanceCommit()
	if r.role == Leader {
		r.sendEntries(p)
		r.continueTransfer(p)
	}
}

// advanceCommit commits the entries that a majority of voters has on disk, if the
// last of them is of the leader's own term: an entry of an older term may still
// be replaced even if a majority has it.
func (r *Raft) advanceCommit() {
	var matches []uint64
	for _, m := range r.Members() {
		if !m.Voter {
			continue
		}
		if m.Id == r.cfg.ID {
			matches = append(matches, r.syncedIndex)
		} else {
			matches = append(matches, r.peers[m.Id].match)
		}
	}
	index := nthLargest(matches, r.quorum())
	if term, ok := r.log.term(index); !ok || term != r.hard.Term || index <= r.commitIndex {
		return
	}
	r.commitIndex = index
	r.finishRemovals()
	if !r.isVoter(r.cfg.ID) && r.configs[len(r.configs)-1].index <= r.commitIndex {
		// A removed leader stays leader until its removal is committed.
		r.forEachPeer(r.sendHeartbeat)
		r.becomeFollower(r.hard.Term, 0)
	}
}

func nthLargest[T uint64 | time.Duration](values []T, n int) T {
	slices.Sort(values)
	return values[len(values)-n]
}
