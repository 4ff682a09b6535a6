package raft

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// The tests of this file step a single replica directly, for rules whose violation
// needs schedules that are too rare to be generated at random.

// newReplica1 returns replica 1 of three, whose log contains the bootstrap entry of
// term 1 and the given entries.
func newReplica1(entries ...*peer.LogEntry) *Raft {
	members := []*peer.Member{
		{Id: 1, Voter: true, Folder: 1}, {Id: 2, Voter: true, Folder: 2}, {Id: 3, Voter: true, Folder: 3},
	}
	bootstrap := &peer.LogEntry{Index: 1, Term: 1, Type: peer.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, Data: encodeMembers(members)}
	return New(0, Config{
		ID: 1, Folder: 1, Hard: HardState{Term: 1}, Bootstrap: members,
		Entries: append([]*peer.LogEntry{bootstrap}, entries...),
		Random:  func(int64) int64 { return 0 },
	})
}

func command(index, term uint64) *peer.LogEntry {
	return &peer.LogEntry{Index: index, Term: term, Type: peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND}
}

// receiveFrom2 steps the replica with a message from replica 2.
func receiveFrom2(r *Raft, m peer.RaftMessageType, term, index, logTerm, round uint64, entries ...*peer.LogEntry) Effects {
	return r.Step(r.now, Receive{&peer.RaftMessage{
		Type: m, From: 2, To: 1, Folder: 2, ToFolder: 1, Term: term,
		Index: index, LogTerm: logTerm, Round: round, Entries: entries,
	}})
}

// elect makes the replica the leader of the next term with replica 2's votes.
func elect(t *testing.T, r *Raft) {
	t.Helper()
	r.Step(r.electionDeadline, Tick{})
	receiveFrom2(r, peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, r.Term()+1, 0, 0, 0)
	r.Step(r.now, Synced{})
	receiveFrom2(r, peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY, r.Term(), 0, 0, 0)
	r.Step(r.now, Synced{})
	if r.Role() != Leader {
		t.Fatalf("role %v", r.Role())
	}
}

const appendReply = peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY

// Guards against the commit of an entry of an older term by counting its copies: a
// third replica with a newer entry could still replace it.
func TestOldTermIsNotCommittedAlone(t *testing.T) {
	r := newReplica1(command(2, 1))
	elect(t, r)
	receiveFrom2(r, appendReply, 2, 2, 0, 0)
	if r.CommitIndex() != 0 {
		t.Errorf("commit %d, though no entry of term 2 is on a majority", r.CommitIndex())
	}
	receiveFrom2(r, appendReply, 2, 3, 0, 0)
	if r.CommitIndex() != 3 {
		t.Errorf("commit %d, want 3", r.CommitIndex())
	}
}

// Guards against a read that is confirmed by replies to a round from before it
// arrived: another leader may have been elected after those replies were sent.
func TestReadNeedsANewRound(t *testing.T) {
	r := newReplica1()
	elect(t, r)
	receiveFrom2(r, appendReply, 2, 2, 0, 0)
	old := r.round
	if e := r.Step(r.now, ReadIndex{ID: 7}); len(e.ConfirmedReads) != 0 {
		t.Fatalf("confirmed without a reply: %v", e.ConfirmedReads)
	}
	if e := receiveFrom2(r, appendReply, 2, 2, 0, old); len(e.ConfirmedReads) != 0 {
		t.Fatalf("confirmed by round %d, which began before the read", old)
	}
	want := []ConfirmedRead{{ID: 7, Index: 2, Term: 2}}
	e := receiveFrom2(r, appendReply, 2, 2, 0, r.round)
	if diff := cmp.Diff(want, e.ConfirmedReads); diff != "" {
		t.Error(diff)
	}
}

// Guards against a read or a change of members before an entry of the leader's
// own term is committed. The leader's commit index may lag behind, and two pending
// changes of different leaders could have majorities without a common member.
func TestNewLeaderWaitsForItsFirstEntry(t *testing.T) {
	r := newReplica1(command(2, 1))
	elect(t, r)
	in := ChangeMember{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: &peer.Member{Id: 3}}
	if e := r.Step(r.now, in); e.Refused != TermNotEstablished {
		t.Errorf("change before the first commit: %v", e.Refused)
	}
	r.Step(r.now, ReadIndex{ID: 7})
	if e := receiveFrom2(r, appendReply, 2, 2, 0, r.round); len(e.ConfirmedReads) != 0 {
		t.Errorf("read before the first commit: %v", e.ConfirmedReads)
	}
	if e := receiveFrom2(r, appendReply, 2, 3, 0, r.round); len(e.ConfirmedReads) != 1 {
		t.Errorf("read after the first commit: %v", e.ConfirmedReads)
	}
	if e := r.Step(r.now, in); e.Refused != Accepted {
		t.Errorf("change after the first commit: %v", e.Refused)
	}
}

// Guards against a member list that still applies after its entry was replaced.
func TestReplacedMembersAreUndone(t *testing.T) {
	two := []*peer.Member{{Id: 1, Voter: true, Folder: 1}, {Id: 2, Voter: true, Folder: 2}}
	change := &peer.LogEntry{Index: 2, Term: 1, Type: peer.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, Data: encodeMembers(two)}
	r := newReplica1(change)
	if diff := cmp.Diff(two, r.Members(), protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
	e := receiveFrom2(r, peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, 2, 1, 1, 0, command(2, 2))
	if len(e.Entries) != 1 || len(r.Members()) != 3 {
		t.Errorf("%d entries, members %v", len(e.Entries), r.Members())
	}
}

// Guards against a vote or an acknowledgement that is sent before the sync, and
// against messages of a term that is not on disk.
func TestRepliesWaitForTheSync(t *testing.T) {
	vote := func(r *Raft) Effects {
		return receiveFrom2(r, peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, 2, 9, 1, 0)
	}
	tests := map[string]func(r *Raft) Effects{
		"vote": vote,
		"append": func(r *Raft) Effects {
			return receiveFrom2(r, peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, 1, 1, 1, 0, command(2, 1))
		},
		"candidate": func(r *Raft) Effects {
			r.Step(r.electionDeadline, Tick{})
			return receiveFrom2(r, peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, 2, 0, 0, 0)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			e := run(newReplica1())
			if len(e.Messages) != 0 || len(e.Replies) == 0 || !e.NeedsSync() {
				t.Errorf("%d messages before and %d after the sync, needs a sync: %v", len(e.Messages), len(e.Replies), e.NeedsSync())
			}
		})
	}
	// No second vote is granted in the same term, even after a restart.
	r := newReplica1()
	e := vote(r)
	r = New(0, Config{ID: 1, Folder: 1, Hard: *e.Hard, Bootstrap: r.Members(), Random: r.cfg.Random})
	e = r.Step(0, Receive{&peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, From: 3, To: 1, Term: 2, Index: 9, LogTerm: 1,
	}})
	if len(e.Replies) != 1 || !e.Replies[0].Reject {
		t.Errorf("second vote in a term: %v", e.Replies)
	}
}

// Guards against a removal that only the removed member has in its log after a
// crash of the leader: no other replica could win an election.
func TestRemovalWaitsForTheSync(t *testing.T) {
	r := newReplica1()
	elect(t, r)
	receiveFrom2(r, appendReply, 2, 2, 0, 0)
	e := r.Step(r.now, ChangeMember{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: &peer.Member{Id: 3}})
	if len(e.Messages) != 0 || len(e.Replies) == 0 {
		t.Errorf("%d messages are sent before the sync, %d after it", len(e.Messages), len(e.Replies))
	}
}

// Guards against a follower that commits entries of its own log that the leader's
// message did not cover: the leader may have others at the same indexes.
func TestCommitCoversOnlyCheckedEntries(t *testing.T) {
	r := newReplica1(command(2, 1), command(3, 1))
	r.Step(0, Receive{&peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, From: 2, To: 1, Folder: 2, Term: 2,
		Index: 1, LogTerm: 1, Commit: 3, Entries: []*peer.LogEntry{command(2, 1)},
	}})
	if r.CommitIndex() != 2 {
		t.Errorf("commit %d, want 2", r.CommitIndex())
	}
}

// Guards against an old member list that still applies after a snapshot.
func TestSnapshotBringsItsMembers(t *testing.T) {
	r := newReplica1()
	members := []*peer.Member{{Id: 1, Voter: true, Folder: 1}, {Id: 9, Voter: true, Folder: 9}}
	e := r.Step(0, Receive{&peer.RaftMessage{
		Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, From: 9, To: 1, Folder: 9, Term: 2,
		Snapshot: &peer.SnapshotChunk{
			LastIndex: 50, LastTerm: 2, Members: &peer.Members{Members: members}, Done: true, Checksum: xxhash.Sum64(nil),
		},
	}})
	if e.Snapshot == nil || r.CommitIndex() != 50 || r.LastIndex() != 50 {
		t.Fatalf("snapshot %v, commit %d, last %d", e.Snapshot, r.CommitIndex(), r.LastIndex())
	}
	if diff := cmp.Diff(members, r.Members(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a learner whose acknowledgements from before it lost its disk
// still count: it would never receive the lost entries, and could be promoted
// without them.
func TestLearnerThatLostItsDiskBeginsAgain(t *testing.T) {
	r := newReplica1()
	elect(t, r)
	receiveFrom2(r, appendReply, 2, 2, 0, 0)
	r.Step(r.now, ChangeMember{Action: peer.ChangeMemberRequest_ACTION_ADD_LEARNER, Member: &peer.Member{Id: 9}})
	r.Step(r.now, Synced{})
	receiveFrom2(r, appendReply, 2, 3, 0, 0)
	learner := func(folder, index uint64, reject bool) Effects {
		return r.Step(r.now, Receive{&peer.RaftMessage{
			Type: appendReply, From: 9, To: 1, Folder: folder, ToFolder: 1, Term: 2, Index: index, Reject: reject,
		}})
	}
	learner(90, 3, false)
	e := learner(91, 3, true)
	if len(e.Messages) != 1 || e.Messages[0].Index != 0 || len(e.Messages[0].Entries) != 3 {
		t.Errorf("after the loss the leader sends %v", e.Messages)
	}
	if got := r.peers[9].match; got != 0 {
		t.Errorf("match %d after the loss", got)
	}
}
