package raft

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// Input is one of Tick, Receive, Propose, ReadIndex, Synced, ChangeMember,
// TransferLeadership and Compact.
type Input interface{ isInput() }

// Tick advances the time without any other input.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message *peer.RaftMessage }

// Propose appends commands if the replica is the leader.
type Propose struct{ Commands [][]byte }

// ReadIndex requests a confirmation that the replica is still the leader, for a
// linearizable read. The result is in Effects.ConfirmedReads or
// Effects.UnconfirmedReads under the same ID, in this step or a later one.
type ReadIndex struct{ ID uint64 }

// Synced reports that all effects returned so far are on disk.
type Synced struct{}

// ChangeMember adds, promotes or removes one member.
type ChangeMember struct {
	Action peer.ChangeMemberRequest_Action
	Member *peer.Member
}

// TransferLeadership transfers leadership to the voter with the given id; 0
// selects the voter with the longest log.
type TransferLeadership struct{ To uint64 }

// Compact reports that a snapshot at SnapshotIndex is on disk and that the
// entries up to and including CompactIndex are no longer needed.
type Compact struct{ SnapshotIndex, CompactIndex uint64 }

func (Tick) isInput()               {}
func (Receive) isInput()            {}
func (Propose) isInput()            {}
func (ReadIndex) isInput()          {}
func (Synced) isInput()             {}
func (ChangeMember) isInput()       {}
func (TransferLeadership) isInput() {}
func (Compact) isInput()            {}

// Refusal is the reason why an input was refused. A refused input changes nothing.
type Refusal uint8

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

// Effects lists what the caller must do after a Step, in this order: send
// Messages, restore and save Snapshot, save Hard and Entries, sync, send
// Replies, call Step with Synced.
type Effects struct {
	// Messages may be sent before the sync. A message of type SNAPSHOT has an
	// offset and no data: the caller adds the data.
	Messages []*peer.RaftMessage
	Replies  []*peer.RaftMessage
	Hard     *HardState
	// Entries are appended to the log on disk. If the first one is not the
	// next index, the entries from there on are replaced.
	Entries  []*peer.LogEntry
	Snapshot *Snapshot

	// Refused is the result of Propose, ChangeMember and TransferLeadership.
	Refused Refusal
	// FirstIndex and Term identify the first entry appended by Propose or
	// ChangeMember.
	FirstIndex, Term uint64

	ConfirmedReads   []ConfirmedRead
	UnconfirmedReads []uint64
	// SteppedDown reports that the replica ceased to be the leader in this step.
	SteppedDown bool
	// FolderMismatch reports that the group has recorded another data folder
	// for this replica's id. The replica must stop.
	FolderMismatch bool
	// Ignored is the reason why a received message was not used, or NotIgnored.
	Ignored Ignored
}

// Ignored is the reason why a received message was not used.
type Ignored uint8

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

// NeedsSync reports whether the effects contain state that must be saved.
func (e *Effects) NeedsSync() bool {
	return e.Hard != nil || len(e.Entries) > 0 || e.Snapshot != nil
}
