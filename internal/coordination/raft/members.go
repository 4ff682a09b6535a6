package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// configuration is the member list that applies from an index on. It takes
// effect when its entry is appended and is reverted when the entry is replaced.
type configuration struct {
	index   uint64
	members []*peer.Member
}

// Members returns the current member list, which must not be modified.
func (r *Raft) Members() []*peer.Member { return r.configs[len(r.configs)-1].members }

// MembersAt returns the member list that applies at an index.
func (r *Raft) MembersAt(index uint64) []*peer.Member {
	for i := len(r.configs) - 1; i > 0; i-- {
		if r.configs[i].index <= index {
			return r.configs[i].members
		}
	}
	return r.configs[0].members
}

func (r *Raft) restoreMembers() {
	r.configs = []configuration{{members: r.cfg.Bootstrap}}
	if r.snapshot.Index > 0 {
		r.configs = []configuration{{index: r.snapshot.Index, members: r.snapshot.Members}}
	}
	for _, e := range r.log.entries {
		if e.Index > r.snapshot.Index {
			r.applyConfiguration(e)
		}
	}
}

// applyConfiguration applies the member list of an appended entry.
func (r *Raft) applyConfiguration(e *peer.LogEntry) {
	if e.Type != peer.LogEntryType_LOG_ENTRY_TYPE_MEMBERS {
		return
	}
	members, err := decodeMembers(e.Data)
	if err != nil {
		// Not expected: only a leader writes these entries, and both the disk
		// and the connection have checksums.
		r.folderMismatch = true
		return
	}
	r.configs = append(r.configs, configuration{index: e.Index, members: members})
	r.checkOwnFolder()
}

func (r *Raft) checkOwnFolder() {
	if m := r.member(r.cfg.ID); m != nil && m.Folder != 0 && m.Folder != r.cfg.Folder {
		r.folderMismatch = true
	}
}

// revertConfigurations removes the configurations of entries from index on.
func (r *Raft) revertConfigurations(index uint64) {
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index >= index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

func (r *Raft) member(id uint64) *peer.Member { return findMember(r.Members(), id) }

func findMember(members []*peer.Member, id uint64) *peer.Member {
	for _, m := range members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func (r *Raft) isVoter(id uint64) bool {
	m := r.member(id)
	return m != nil && m.Voter
}

func (r *Raft) voterCount() int {
	n := 0
	for _, m := range r.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

func (r *Raft) quorum() int { return r.voterCount()/2 + 1 }

func (r *Raft) isOnlyVoter() bool { return r.voterCount() == 1 && r.isVoter(r.cfg.ID) }

// bootstrapMembers returns the member list with the data folders from which the
// votes came.
func (r *Raft) bootstrapMembers() []*peer.Member {
	members := cloneMembers(r.Members())
	for _, m := range members {
		m.Folder = r.votes[m.Id]
	}
	return members
}

func cloneMembers(members []*peer.Member) []*peer.Member {
	out := make([]*peer.Member, len(members))
	for i, m := range members {
		out[i] = proto.CloneOf(m)
	}
	return out
}

func encodeMembers(members []*peer.Member) []byte {
	data, err := proto.Marshal(&peer.Members{Members: members})
	if err != nil {
		return nil // not reached: addresses are checked to be valid UTF-8
	}
	return data
}

func decodeMembers(data []byte) ([]*peer.Member, error) {
	var list peer.Members
	if err := proto.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	return list.Members, nil
}

// changeMember appends a changed member list. Majorities of two lists that differ
// by one member overlap, so only one change may be pending at a time, and only
// after an entry of this term is committed.
func (r *Raft) changeMember(in ChangeMember) {
	members, refusal := r.planChange(in)
	if refusal != Accepted {
		r.effects.Refused = refusal
		return
	}
	r.appendOwn(peer.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, encodeMembers(members))
	// If the leader crashed and only the removed member had the removal in its
	// log, no other replica could win an election, so it is sent after the sync.
	r.awaitingSync = true
	r.effects.FirstIndex, r.effects.Term = r.log.lastIndex(), r.hard.Term
	r.updatePeers()
	r.advanceCommit()
	r.broadcast()
}

func (r *Raft) planChange(in ChangeMember) ([]*peer.Member, Refusal) {
	switch {
	case r.role != Leader:
		return nil, NotLeader
	case r.transfer.target != 0:
		return nil, Transferring
	case r.commitIndex < r.termStart:
		return nil, TermNotEstablished
	case r.configs[len(r.configs)-1].index > r.commitIndex:
		return nil, ChangePending
	case in.Member == nil || in.Member.Id == 0:
		return nil, BadMember
	}
	members := cloneMembers(r.Members())
	current := findMember(members, in.Member.Id)
	switch in.Action {
	case peer.ChangeMemberRequest_ACTION_ADD_LEARNER:
		return addLearner(members, current, in.Member)
	case peer.ChangeMemberRequest_ACTION_PROMOTE:
		return r.promote(members, current)
	case peer.ChangeMemberRequest_ACTION_REMOVE:
		return r.remove(members, current)
	}
	return nil, BadMember
}

func addLearner(members []*peer.Member, current, added *peer.Member) ([]*peer.Member, Refusal) {
	if current != nil {
		if !current.Voter && current.Address == added.Address && current.FailureDomain == added.FailureDomain {
			return nil, Unchanged
		}
		return nil, MemberExists
	}
	return append(members, &peer.Member{Id: added.Id, Address: added.Address, FailureDomain: added.FailureDomain}), Accepted
}

// promote turns a learner into a voter. A learner that lags far behind is
// refused: it would count in the majority without being able to acknowledge new
// entries.
func (r *Raft) promote(members []*peer.Member, current *peer.Member) ([]*peer.Member, Refusal) {
	if current == nil {
		return nil, UnknownMember
	}
	if current.Voter {
		return nil, Unchanged
	}
	p := r.peers[current.Id]
	if p == nil || p.folder == 0 || p.match+r.cfg.MaxPromoteLag < r.log.lastIndex() || !r.isRecentlyActive(p) {
		return nil, LearnerBehind
	}
	current.Voter, current.Folder = true, p.folder
	return members, Accepted
}

func (r *Raft) remove(members []*peer.Member, current *peer.Member) ([]*peer.Member, Refusal) {
	if current == nil {
		return nil, Unchanged
	}
	if current.Voter && r.voterCount() == 1 {
		return nil, LastVoter
	}
	return slices.DeleteFunc(members, func(m *peer.Member) bool { return m.Id == current.Id }), Accepted
}
