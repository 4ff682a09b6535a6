package raft

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Input is one of Tick, Receive, Propose, ReadIndex, Synced, ChangeMember,
// TransferLeadership and Compact.
type Input interface{ isInput() }

// Tick lets time pass.
type Tick struct{}

// Receive is a message from another replica.
type Receive struct{ Message *peer.RaftMessage }

// Propose appends commands if the replica is the leader.
type Propose struct{ Commands [][]byte }

// ReadIndex asks whether the replica is still the leader. The answer is in
// Effects.ConfirmedReads or Effects.UnconfirmedReads under the same ID, now or later.
type ReadIndex struct{ ID uint64 }

// Synced says that all effects returned so far are on disk.
type Synced struct{}

// ChangeMember changes one member.
type ChangeMember struct {
	Action peer.ChangeMemberRequest_Action
	Member *peer.Member
}

// TransferLeadership hands leadership to a voter; 0 picks the one with the longest log.
type TransferLeadership struct{ To uint64 }

// Compact says that a snapshot at SnapshotIndex is on disk and that the entries up
// to and including CompactIndex are no longer needed.
type Compact struct{ SnapshotIndex, CompactIndex uint64 }

func (Tick) isInput()               {}
func (Receive) isInput()            {}
func (Propose) isInput()            {}
func (ReadIndex) isInput()          {}
func (Synced) isInput()             {}
func (ChangeMember) isInput()       {}
func (TransferLeadership) isInput() {}
func (Compact) isInput()            {}

// Refusal says why an input was refused. A refused input changed nothing.
type Refusal uint8

// The refusals.
const (
	Accepted           Refusal = iota // accepted
	NotLeader                         // not_leader
	Transferring                      // transferring
	ChangePending                     // change_pending
	TermNotEstablished                // term_not_established
	LearnerBehind                     // learner_behind
	UnknownMember                     // unknown_member
	MemberExists                      // member_exists
	LastVoter                         // last_voter
	NoTarget                          // no_target
	BadMember                         // bad_member
	Unchanged                         // unchanged
)

// ConfirmedRead is a read that may be served once Index is applied.
type ConfirmedRead struct{ ID, Index, Term uint64 }

// Snapshot is a received snapshot that replaces the log.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Effects is what one Step asks for. The order is: send Messages, restore and
// save Snapshot, save Hard and Entries, sync, send Replies, step Synced.
type Effects struct {
	// Messages may leave before the sync. A message of type SNAPSHOT has an
	// offset and no data: the sender fills in the data.
	Messages []*peer.RaftMessage
	Replies  []*peer.RaftMessage
	Hard     *HardState
	// Entries are appended to the log on disk. If the first one is not the
	// next index, the entries from there on are replaced.
	Entries  []*peer.LogEntry
	Snapshot *Snapshot

	// Refused answers Propose, ChangeMember and TransferLeadership.
	Refused Refusal
	// FirstIndex and Term identify the first entry appended by Propose or
	// ChangeMember.
	FirstIndex, Term uint64

	ConfirmedReads   []ConfirmedRead
	UnconfirmedReads []uint64
	// SteppedDown says that the replica was the leader and no longer is.
	SteppedDown bool
	// FolderMismatch says that the group knows this replica's id with another data
	// folder. The replica must end.
	FolderMismatch bool
	// Ignored counts messages that were not used, by reason.
	Ignored Ignored
}

// Ignored is the reason why a message was not used.
type Ignored uint8

// The reasons.
const (
	NotIgnored    Ignored = iota // none
	WrongReceiver                // wrong_receiver
	UnknownSender                // unknown_sender
	WrongFolder                  // wrong_folder
	StaleTerm                    // stale_term
	LiveLeader                   // live_leader
	BadMessage                   // bad_message
	BadChecksum                  // bad_checksum
)

// NeedsSync says whether the effects contain state that must be saved.
func (e *Effects) NeedsSync() bool {
	return e.Hard != nil || len(e.Entries) > 0 || e.Snapshot != nil
}
