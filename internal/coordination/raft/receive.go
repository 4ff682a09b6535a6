package raft

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

func (r *Raft) receive(m *peer.RaftMessage) {
	if reason := r.admit(m); reason != NotIgnored {
		r.effects.Ignored = reason
		return
	}
	switch m.Type {
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		r.onPreVote(m)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY:
		r.onVoteReply(m, PreCandidate)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		r.onVote(m)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY:
		r.onVoteReply(m, Candidate)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		r.onAppend(m)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY:
		r.onAppendReply(m)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		r.onSnapshot(m)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_REPLY:
		r.onSnapshotReply(m)
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		r.onTimeoutNow(m)
	default:
		r.effects.Ignored = BadMessage
	}
}

// admit decides whether a message is handled, and adopts a newer term.
func (r *Raft) admit(m *peer.RaftMessage) Ignored {
	if m.To != r.cfg.ID || m.From == r.cfg.ID {
		return WrongReceiver
	}
	if isReply(m.Type) {
		if m.ToFolder != r.cfg.Folder {
			// A reply to a vote request that this replica sent before it
			// lost its disk could elect it without its entries.
			return WrongFolder
		}
		member := r.member(m.From)
		if member == nil {
			return UnknownSender
		}
		if member.Voter && member.Folder != m.Folder && !(member.Folder == 0 && r.isBootstrapping()) {
			r.onWrongFolder(m.From)
			return WrongFolder
		}
	}
	switch {
	case m.Type == peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		return NotIgnored
	case m.Type == peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY && !m.Reject:
		if m.Term != r.hard.Term+1 {
			return StaleTerm
		}
		return NotIgnored
	case m.Type == peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE && !m.Force && r.hasLiveLeader():
		return LiveLeader
	case m.Term > r.hard.Term:
		r.becomeFollower(m.Term, 0)
	case m.Term < r.hard.Term:
		r.rejectStaleTerm(m)
		return StaleTerm
	}
	return NotIgnored
}

// onWrongFolder returns to probing, so that the next heartbeat contains the data
// folder that the group has recorded for the member.
func (r *Raft) onWrongFolder(id uint64) {
	if p := r.peers[id]; r.role == Leader && p != nil && p.state == streaming {
		p.state, p.inFlight, p.probeSent = probing, nil, true
	}
}

// rejectStaleTerm replies to a leader or candidate of an old term with the new
// one. Without the reply, a replica with a newer term could neither win an
// election nor follow the leader.
func (r *Raft) rejectStaleTerm(m *peer.RaftMessage) {
	switch m.Type {
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		r.reply(m, &peer.RaftMessage{
			Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY,
			Term: r.hard.Term, Reject: true, Index: m.Index,
		})
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		r.reply(m, &peer.RaftMessage{
			Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY, Term: r.hard.Term, Reject: true,
		})
	}
}

func isReply(t peer.RaftMessageType) bool {
	switch t {
	case peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY,
		peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY,
		peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY,
		peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_REPLY:
		return true
	}
	return false
}

// send queues a message that may be sent before the sync.
func (r *Raft) send(m *peer.RaftMessage) {
	r.setSender(m)
	r.effects.Messages = append(r.effects.Messages, m)
}

// reply queues the reply to a request. It is sent only after the sync.
func (r *Raft) reply(request, m *peer.RaftMessage) {
	m.To, m.ToFolder = request.From, request.Folder
	r.setSender(m)
	r.effects.Replies = append(r.effects.Replies, m)
}

func (r *Raft) setSender(m *peer.RaftMessage) {
	m.From, m.Folder = r.cfg.ID, r.cfg.Folder
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
}
