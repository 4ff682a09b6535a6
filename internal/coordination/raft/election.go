package raft

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// campaign starts an election. The only voter of a group and a forced campaign
// skip the pre-vote.
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

// mayCampaign reports whether the replica may become leader: as a voter, or as
// a former voter whose removal may not be committed yet. The latter may be the
// only replica with the removal in its log, and then no other can be elected.
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

// isBootstrapping reports whether the log is empty, which means that no data
// folders are recorded yet.
func (r *Raft) isBootstrapping() bool { return r.log.lastIndex() == 0 }

// votesNeeded returns a majority, or all voters in the bootstrap election: a
// voter that lost its disk cannot be told apart from a new one, and only all
// voters together can establish that the group has no entries yet.
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
		// A majority of rejections ends the election early, so that the next
		// campaign starts after one timeout and not at once.
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

// becomeFollower adopts a term and clears the state of the previous role.
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

// hasLiveLeader reports whether this replica is the leader or has recently
// received a message from one. Votes are then granted only for a leadership
// transfer, so that removed and rejoining replicas do not depose a working
// leader.
func (r *Raft) hasLiveLeader() bool {
	return r.role == Leader || r.leader != 0 && r.now-r.leaderContact < r.cfg.ElectionTimeoutMin
}

// hasCampaignPriority reports whether this replica has just started a campaign
// of its own, and has a log equal to the sender's and the higher id. Without this
// rule, replicas that time out at the same time split the votes.
func (r *Raft) hasCampaignPriority(m *peer.RaftMessage) bool {
	campaigning := r.role == PreCandidate || r.role == Candidate
	return campaigning && m.From < r.cfg.ID && r.now-r.campaignStart < r.cfg.ElectionTimeoutMin/4 &&
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
	canVote := r.hard.Vote == 0 || r.hard.Vote == m.From
	reply := &peer.RaftMessage{Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY, Term: r.hard.Term}
	if !canVote || r.leader != 0 || !r.log.isUpToDate(m.Index, m.LogTerm) {
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
