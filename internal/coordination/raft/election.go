package raft

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// campaign begins an election. A group of one voter and a forced campaign
// need no pre-vote.
func (r *Raft) campaign() {
	r.leader = 0
	r.campaignStart = r.now
	r.scheduleRetry()
	r.clearIncoming()
	if r.forced || r.isOnlyVoter() {
		r.becomeCandidate()
		return
	}
	r.role = PreCandidate
	r.votes = map[uint64]uint64{r.cfg.ID: r.cfg.Folder}
	r.rejections = map[uint64]bool{}
	r.requestVotes(peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, r.hard.Term+1)
}

func (r *Raft) becomeCandidate() {
	r.role = Candidate
	r.setHardState(r.hard.Term+1, r.cfg.ID)
	r.votes = map[uint64]uint64{r.cfg.ID: r.cfg.Folder}
	r.rejections = map[uint64]bool{}
	r.requestVotes(peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, r.hard.Term)
	r.forced = false
	r.countVotes()
}

func (r *Raft) requestVotes(kind peer.RaftMessageType, term uint64) {
	for _, m := range r.Members() {
		if m.Voter && m.Id != r.cfg.ID {
			r.send(&peer.RaftMessage{
				Type: kind, To: m.Id, Term: term, Force: r.forced,
				Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
			})
		}
	}
}

// mayCampaign says whether the replica may become leader: as a voter, or as
// one whose removal may not be committed. The latter may be the only replica
// that holds the removal, and then no other can be elected.
func (r *Raft) mayCampaign() bool {
	if r.isVoter(r.cfg.ID) {
		return true
	}
	last := len(r.configs) - 1
	if last == 0 || r.configs[last].index <= r.commitIndex {
		return false
	}
	m := findMember(r.configs[last-1].members, r.cfg.ID)
	return m != nil && m.Voter
}

// isBootstrapping says that the log is empty: data folders are not yet recorded.
func (r *Raft) isBootstrapping() bool { return r.log.lastIndex() == 0 }

// votesNeeded is a majority, or all voters in the founding election: a voter
// that lost its disk looks like a new one, and only all voters together know
// that the group has no entries yet.
func (r *Raft) votesNeeded() int {
	if r.isBootstrapping() {
		return r.voterCount()
	}
	return r.quorum()
}

func (r *Raft) countVotes() {
	granted := 0
	for id := range r.votes {
		if r.isVoter(id) {
			granted++
		}
	}
	if granted < r.votesNeeded() {
		// A majority of refusals ends the election early, so that the next
		// attempt follows after one timeout and not at once.
		if len(r.rejections) >= r.quorum() && r.role != Follower {
			r.role = Follower
		}
		return
	}
	switch r.role {
	case PreCandidate:
		r.becomeCandidate()
	case Candidate:
		r.becomeLeader()
	}
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.ID
	r.clearIncoming()
	r.peers, r.removedPeers = map[uint64]*progress{}, nil
	r.roundStarts = nil
	r.pendingReads = nil
	r.transfer = transfer{}
	r.round++
	r.roundStarts = []roundStart{{round: r.round, at: r.now}}
	for _, m := range r.Members() {
		r.addPeer(m.Id)
	}
	r.termStart = r.log.lastIndex() + 1
	if r.isBootstrapping() {
		r.appendOwn(peer.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, encodeMembers(r.bootstrapMembers()))
	} else {
		r.appendOwn(peer.LogEntryType_LOG_ENTRY_TYPE_NOOP, nil)
	}
	r.beginRound()
}

// becomeFollower takes a term and drops whatever belonged to another role.
func (r *Raft) becomeFollower(term, leader uint64) {
	if r.role == Leader {
		r.effects.SteppedDown = true
		for _, read := range r.pendingReads {
			r.effects.UnconfirmedReads = append(r.effects.UnconfirmedReads, read.id)
		}
		r.pendingReads, r.peers, r.removedPeers, r.roundStarts = nil, nil, nil, nil
		r.transfer = transfer{}
		r.resetElectionTimer()
	}
	if term > r.hard.Term {
		r.setHardState(term, 0)
		r.clearIncoming()
	}
	r.role = Follower
	r.leader = leader
	r.forced = false
	r.votes, r.rejections = nil, nil
}

// hasLiveLeader says whether a leader is alive as far as this replica knows. It
// keeps removed and returning replicas from deposing a working leader.
func (r *Raft) hasLiveLeader() bool {
	return r.role == Leader || r.leader != 0 && r.now-r.leaderContact < r.cfg.ElectionTimeoutMin
}

// hasCampaignPriority says whether this replica has just begun a campaign of its own
// with an equal log and has the higher id. Without the rule, replicas that
// time out together split the votes.
func (r *Raft) hasCampaignPriority(m *peer.RaftMessage) bool {
	campaigns := r.role == PreCandidate || r.role == Candidate
	return campaigns && m.From < r.cfg.ID && r.now-r.campaignStart < r.cfg.ElectionTimeoutMin/4 &&
		m.Index == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
}

func (r *Raft) onPreVote(m *peer.RaftMessage) {
	reply := &peer.RaftMessage{Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, Term: m.Term}
	if m.Term <= r.hard.Term || r.hasLiveLeader() || r.hasCampaignPriority(m) || !r.log.isUpToDate(m.Index, m.LogTerm) {
		reply.Term, reply.Reject = r.hard.Term, true
	}
	r.reply(m, reply)
}

func (r *Raft) onVote(m *peer.RaftMessage) {
	free := r.hard.Vote == 0 || r.hard.Vote == m.From
	reply := &peer.RaftMessage{Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY, Term: r.hard.Term}
	if !free || r.leader != 0 || !r.log.isUpToDate(m.Index, m.LogTerm) {
		reply.Reject = true
	} else if r.hard.Vote == 0 {
		r.setHardState(r.hard.Term, m.From)
		r.resetElectionTimer()
	}
	r.reply(m, reply)
}

func (r *Raft) onVoteReply(m *peer.RaftMessage, role Role) {
	if r.role != role || !r.isVoter(m.From) {
		return
	}
	if m.Reject {
		r.rejections[m.From] = true
	} else {
		r.votes[m.From] = m.Folder
	}
	r.countVotes()
}
