package raft

import (
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// sendState is how entries go to a member.
type sendState uint8

const (
	// probing sends one message per round until the member's log is known.
	probing sendState = iota // probing
	// streaming sends entries ahead of acknowledgements.
	streaming // streaming
	// snapshotting sends the snapshot, since the entries are compacted.
	snapshotting // snapshotting
)

// progress is what the leader knows about another member.
type progress struct {
	id       uint64
	state    sendState
	match    uint64   // highest entry known to be on the member's disk
	next     uint64   // next entry to send
	inFlight []uint64 // last index of each unacknowledged message with entries
	probed   bool     // a probe is out in this round
	round    uint64   // highest round acknowledged
	contact  time.Duration
	folder   uint64

	snapshot uint64 // index of the snapshot being sent
	offset   uint64
	sentAt   time.Duration
}

func (r *Raft) addPeer(id uint64) {
	if id != r.cfg.ID && r.peers[id] == nil {
		r.peers[id] = &progress{id: id, next: r.log.last() + 1, contact: r.now}
	}
}

// syncPeers follows a change of the member list.
func (r *Raft) syncPeers() {
	for id := range r.peers {
		if r.member(id) == nil && !slices.Contains(r.leaving, id) {
			r.leaving = append(r.leaving, id)
		}
	}
	for _, m := range r.Members() {
		r.addPeer(m.Id)
	}
}

func (r *Raft) propose(commands [][]byte) {
	switch {
	case r.role != Leader:
		r.out.Refused = NotLeader
		return
	case r.transfer.to != 0:
		r.out.Refused = Transferring
		return
	}
	r.out.FirstIndex, r.out.Term = r.log.last()+1, r.hard.Term
	for _, command := range commands {
		r.appendOwn(peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND, command)
	}
	r.broadcast()
}

func (r *Raft) appendOwn(kind peer.LogEntryType, data []byte) {
	e := &peer.LogEntry{Term: r.hard.Term, Index: r.log.last() + 1, Type: kind, Data: data}
	r.log.append(e)
	r.adopt(e)
	r.out.Entries = append(r.out.Entries, e)
}

// eachPeer calls f for the other members in the order of the member list, so
// that equal inputs give equal effects.
func (r *Raft) eachPeer(f func(*progress)) {
	for _, m := range r.Members() {
		if p := r.peers[m.Id]; p != nil {
			f(p)
		}
	}
	for _, id := range r.leaving {
		f(r.peers[id])
	}
}

// endLeaving tells removed members that their removal is committed and
// forgets them.
func (r *Raft) endLeaving() {
	if r.configs[len(r.configs)-1].index > r.commit {
		return
	}
	for _, id := range r.leaving {
		r.heartbeat(r.peers[id])
		delete(r.peers, id)
	}
	r.leaving = nil
}

func (r *Raft) broadcast() { r.eachPeer(func(p *progress) { r.sendEntries(p) }) }

// sendEntries sends what flow control allows and says whether it sent any
// message that carries the round.
func (r *Raft) sendEntries(p *progress) bool {
	if p.state == snapshotting {
		return false
	}
	if p.next <= r.log.base {
		r.startSnapshot(p)
		return false
	}
	if p.state == probing {
		if p.probed {
			return false
		}
		p.probed = true
		r.sendAppend(p, r.log.slice(p.next, r.log.last(), r.cfg.MaxMessageBytes))
		return true
	}
	sent := false
	for p.next <= r.log.last() && len(p.inFlight) < r.cfg.MaxInFlight {
		entries := r.log.slice(p.next, r.log.last(), r.cfg.MaxMessageBytes)
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
		Index: p.next - 1, LogTerm: term, Commit: r.commit, Round: r.round, Entries: entries,
	}
	if p.state != streaming {
		r.introduce(m)
	}
	r.send(m)
}

// introduce adds what a member that does not know the log needs: the address
// for its reply, and the data folder under which the group knows it.
func (r *Raft) introduce(m *peer.RaftMessage) {
	m.Address = r.member(r.cfg.ID).GetAddress()
	m.ToFolder = r.member(m.To).GetFolder()
}

// heartbeat sends a message of the current round in any case. Its consistency
// check at the last entry sent also finds messages that were lost.
func (r *Raft) heartbeat(p *progress) {
	p.probed = false
	if r.sendEntries(p) {
		return
	}
	if p.state == snapshotting {
		r.resendChunk(p)
		m := &peer.RaftMessage{
			Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: p.id,
			Index: r.log.base, LogTerm: r.log.baseTerm, Commit: r.commit, Round: r.round,
		}
		r.introduce(m)
		r.send(m)
		return
	}
	r.sendAppend(p, nil)
}

// onAppend takes entries from the leader of the current term.
func (r *Raft) onAppend(m *peer.RaftMessage) {
	if !r.follow(m) {
		return
	}
	reply := &peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, Round: m.Round,
	}
	if m.Index < r.commit {
		// Committed entries agree with the leader's, so they are acknowledged
		// without a check.
		reply.Index = r.commit
		r.reply(m, reply)
		return
	}
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index = true, m.Index
		reply.RejectHint, reply.LogTerm = r.hint(m)
		r.reply(m, reply)
		return
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			r.out.Ignored = BadMessage
			return
		}
	}
	r.store(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, last))
	reply.Index = last
	r.reply(m, reply)
}

// follow accepts the sender as leader of the current term.
func (r *Raft) follow(m *peer.RaftMessage) bool {
	if r.role == Leader {
		r.out.Ignored = BadMessage
		return false
	}
	if m.ToFolder != 0 && m.ToFolder != r.cfg.Folder {
		r.foreign = true
		return false
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.hard.Term, m.From)
	}
	r.heard = r.now
	r.attempts = 0
	r.resetDeadline()
	return true
}

// hint returns where the leader's next check may succeed: the last own entry
// before the refused one whose term is not above the leader's term there.
func (r *Raft) hint(m *peer.RaftMessage) (index, term uint64) {
	index = min(r.log.last(), m.Index-1)
	for index > r.log.base {
		term, _ = r.log.term(index)
		if term <= m.LogTerm {
			return index, term
		}
		index--
	}
	return r.log.base, r.log.baseTerm
}

// store appends the entries that are new and replaces those that differ.
func (r *Raft) store(entries []*peer.LogEntry) {
	for i, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			r.log.truncate(e.Index)
			r.undoMembers(e.Index)
			r.synced = min(r.synced, e.Index-1)
		}
		fresh := entries[i:]
		r.log.append(fresh...)
		r.out.Entries = append(r.out.Entries, fresh...)
		for _, e := range fresh {
			r.adopt(e)
		}
		return
	}
}

func (r *Raft) onAppendReply(m *peer.RaftMessage) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	if m.Index > r.log.last() {
		r.out.Ignored = BadMessage
		return
	}
	r.noteFolder(p, m.Folder)
	r.noteContact(p, m.Round)
	if m.Reject {
		r.onReject(p, m)
		return
	}
	r.onMatch(p, m.Index)
}

// noteFolder begins again with a learner that has another data folder: what
// the old one held is lost. A voter with another folder is not heard at all.
func (r *Raft) noteFolder(p *progress, folder uint64) {
	if p.folder != 0 && p.folder != folder {
		*p = progress{id: p.id, next: r.log.last() + 1, contact: p.contact}
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
	p.state, p.inFlight, p.probed = probing, nil, false
	p.next = max(p.match, next) + 1
	if m.RejectHint < r.log.base {
		p.next = max(p.match, m.RejectHint) + 1
	}
	r.sendEntries(p)
}

func (r *Raft) onMatch(p *progress, index uint64) {
	if p.state == snapshotting && index < p.snapshot && index < r.log.base {
		return
	}
	p.match = max(p.match, index)
	if p.state != streaming {
		p.state, p.inFlight, p.probed = streaming, nil, false
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

// advanceCommit commits what a majority of voters has on disk, if it is of
// the leader's own term: an entry of an older term on a majority may still be
// replaced.
func (r *Raft) advanceCommit() {
	var matches []uint64
	for _, m := range r.Members() {
		if !m.Voter {
			continue
		}
		if m.Id == r.cfg.ID {
			matches = append(matches, r.synced)
		} else {
			matches = append(matches, r.peers[m.Id].match)
		}
	}
	index := nthLargest(matches, r.quorum())
	if term, ok := r.log.term(index); !ok || term != r.hard.Term || index <= r.commit {
		return
	}
	r.commit = index
	r.endLeaving()
	if !r.isVoter(r.cfg.ID) && r.configs[len(r.configs)-1].index <= r.commit {
		// A removed leader leads until the removal is committed.
		r.eachPeer(r.heartbeat)
		r.becomeFollower(r.hard.Term, 0)
	}
}

func nthLargest[T uint64 | time.Duration](values []T, n int) T {
	slices.Sort(values)
	return values[len(values)-n]
}
