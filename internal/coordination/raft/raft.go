/*
Package raft implements the Raft consensus algorithm as a deterministic state
machine.

# Concept

A group of replicas agrees on one log of entries. One replica is the leader of
a term; it appends entries and sends them to the others, and an entry is
committed once a majority of the voters has it on disk. [Raft.Step] takes the
time and one input and returns the effects to carry out: messages to send, state
to sync, reads that are confirmed. It performs no I/O and reads no clock, so that
every schedule of faults can be replayed in a test.

Elections begin with a pre-vote that changes no term, so a replica that rejoins
after a partition does not depose a working leader. A leader that receives no
replies from a majority for one election timeout steps down. Reads are confirmed
by a round of heartbeats that starts after the read arrived, and only once an
entry of the leader's own term is committed. Members change one at a time; a new
member is a learner without a vote until it is promoted.

# Data folders

A voter that loses its disk loses its votes and the entries it acknowledged, so
it must not act under its old identity. Each data folder has a random number.
The first entry of the log records the numbers of all initial voters, and a
promotion records the number of the new voter. Votes and acknowledgements from
any other folder are not counted, and a replica whose own number differs from
the recorded one reports [Effects.FolderMismatch] and must stop. The first
election of a group, before any number is recorded, needs the votes of all
voters.

# Use

	effects := r.Step(elapsed, raft.Propose{Commands: commands})
	send(effects.Messages)              // may be sent before the sync
	save(effects)                       // Snapshot, then Hard and Entries, with one sync
	send(effects.Replies)               // only after the sync
	effects = r.Step(elapsed, raft.Synced{})

Committed entries are read with [Raft.CommitIndex] and [Raft.CommittedEntries].
*/
package raft

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

//go:generate go tool stringer -type=Role,Refusal,Ignored,sendState -linecomment -output=raft_string.go

// Role is the role of a replica in its current term.
type Role uint8

const (
	Follower     Role = iota // follower
	PreCandidate             // pre_candidate
	Candidate                // candidate
	Leader                   // leader
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval  = 75 * time.Millisecond
	DefaultElectionTimeoutMin = 500 * time.Millisecond
	DefaultElectionTimeoutMax = 1000 * time.Millisecond
	DefaultMaxMessageBytes    = 256 << 10
	DefaultMaxInFlight        = 32
	DefaultMaxPromoteLag      = 256
)

// HardState is the state that must be on disk before a message that depends
// on it is sent.
type HardState struct {
	Term, Vote uint64
}

// SnapshotMeta describes a snapshot of the state up to an index.
type SnapshotMeta struct {
	Index, Term uint64
	Members     []*peer.Member
}

// Config is the identity, the restored state and the limits of a replica.
// Zero durations and limits take the defaults.
type Config struct {
	ID     uint64
	Folder uint64 // number of the data folder, not zero
	Hard   HardState
	// Snapshot is the last snapshot on disk. Entries are the entries on disk
	// in order; they may begin before the snapshot's index.
	Snapshot  SnapshotMeta
	Entries   []*peer.LogEntry
	Bootstrap []*peer.Member // voters of a new group; ignored once the log has members
	// Random returns a number in [0, n).
	Random func(n int64) int64

	HeartbeatInterval, ElectionTimeoutMin, ElectionTimeoutMax time.Duration

	MaxMessageBytes int    // maximum bytes of entries in one message
	MaxInFlight     int    // maximum unacknowledged messages with entries per member
	MaxPromoteLag   uint64 // maximum lag in entries of a learner that is promoted
}

// Raft is one replica's state. It is not safe for use by several goroutines.
type Raft struct {
	cfg          Config
	now          time.Duration
	hard         HardState
	awaitingSync bool // messages are held back until the last effects are on disk
	role         Role
	leader       uint64
	log          entryLog
	commitIndex  uint64
	leaderCommit uint64 // the commit index that the leader last sent
	syncedIndex  uint64 // last entry known to be on this replica's disk
	configs      []configuration
	snapshot     SnapshotMeta
	incoming     *incomingSnapshot

	leaderContact    time.Duration // last message from a leader of the current term
	electionDeadline time.Duration
	forced           bool // the campaign belongs to a leadership transfer
	campaigns        int  // since the last message from a leader
	campaignStart    time.Duration
	votes            map[uint64]uint64 // data folder of each voter that granted its vote, by id
	rejections       map[uint64]bool

	peers         map[uint64]*progress
	removedPeers  []uint64 // until the removal is committed
	termStart     uint64   // index of the first entry of this leader
	nextHeartbeat time.Duration
	round         uint64
	roundStarts   []roundStart
	pendingReads  []pendingRead
	transfer      transfer

	folderMismatch bool // the group has recorded another data folder under this id
	effects        Effects
}

// New returns a replica restored from its last synced state. The only voter of
// a group elects itself on the first Step. A restarted replica waits for a
// heartbeat for less than an election timeout: after a power loss of the whole
// group there is no leader to wait for, and while there is one the other
// replicas reject the pre-vote.
func New(now time.Duration, cfg Config) *Raft {
	cfg.setDefaults()
	r := &Raft{cfg: cfg, now: now, hard: cfg.Hard, snapshot: cfg.Snapshot}
	r.log = newEntryLog(cfg.Snapshot, cfg.Entries)
	r.commitIndex = cfg.Snapshot.Index
	r.syncedIndex = r.log.lastIndex()
	r.restoreMembers()
	switch {
	case r.isOnlyVoter():
		r.electionDeadline = now
	case r.isBootstrapping():
		r.resetElectionTimer()
	default:
		r.electionDeadline = now + 2*cfg.HeartbeatInterval + time.Duration(cfg.Random(int64(cfg.ElectionTimeoutMin/2)+1))
	}
	return r
}

func (c *Config) setDefaults() {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeoutMin, DefaultElectionTimeoutMin)
	setDefault(&c.ElectionTimeoutMax, DefaultElectionTimeoutMax)
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxPromoteLag, DefaultMaxPromoteLag)
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// Step handles one input and returns the effects to carry out. The time is
// monotonic and measured from an arbitrary fixed point; a time before the
// previous one is treated as the previous one.
func (r *Raft) Step(now time.Duration, in Input) Effects {
	r.effects = Effects{}
	r.now = max(r.now, now)
	// Checked before the input is handled: a process that was suspended must
	// not count replies that arrived while it did not run.
	r.checkQuorum()
	switch in := in.(type) {
	case Tick:
	case Receive:
		r.receive(in.Message)
	case Propose:
		r.propose(in.Commands)
	case ReadIndex:
		r.readIndex(in.ID)
	case Synced:
		r.onSynced()
	case ChangeMember:
		r.changeMember(in)
	case TransferLeadership:
		r.beginTransfer(in.To)
	case Compact:
		r.compact(in)
	}
	r.tick()
	return r.flush()
}

// flush returns the effects of the step. All messages are held back until the
// sync while the term, the vote or a changed member list is not on disk.
func (r *Raft) flush() Effects {
	if r.awaitingSync {
		r.effects.Replies = append(r.effects.Messages, r.effects.Replies...)
		r.effects.Messages = nil
	}
	r.effects.FolderMismatch = r.folderMismatch
	effects := r.effects
	r.effects = Effects{}
	return effects
}

func (r *Raft) tick() {
	if r.role == Leader {
		r.expireTransfer()
		if r.now >= r.nextHeartbeat {
			r.beginRound()
		}
		r.confirmReads()
		return
	}
	if r.now < r.electionDeadline {
		return
	}
	if r.mayCampaign() {
		r.campaign()
		return
	}
	r.leader = 0
	r.resetElectionTimer()
}

func (r *Raft) onSynced() {
	r.awaitingSync = false
	r.syncedIndex = r.log.lastIndex()
	if r.role == Leader {
		r.advanceCommit()
	}
}

func (r *Raft) setHardState(term, vote uint64) {
	r.hard = HardState{Term: term, Vote: vote}
	r.awaitingSync = true
	hard := r.hard
	r.effects.Hard = &hard
}

func (r *Raft) resetElectionTimer() {
	spread := int64(r.cfg.ElectionTimeoutMax - r.cfg.ElectionTimeoutMin)
	r.electionDeadline = r.now + r.cfg.ElectionTimeoutMin + time.Duration(r.cfg.Random(spread+1))
}

// scheduleRetry sets the time of the next campaign if this one fails. The first
// retries follow quickly, since the leader has already failed and only the votes
// were split; later retries use longer timeouts to allow for a slow network.
func (r *Raft) scheduleRetry() {
	spread := min(r.cfg.ElectionTimeoutMin, r.cfg.ElectionTimeoutMin/4<<min(r.campaigns, 2))
	r.campaigns++
	r.electionDeadline = r.now + spread + time.Duration(r.cfg.Random(int64(spread)+1))
}

// NextDeadline returns the time at which a Tick is due if no other input
// arrives before.
func (r *Raft) NextDeadline() time.Duration {
	if r.role == Leader {
		return r.nextHeartbeat
	}
	return r.electionDeadline
}

func (r *Raft) Role() Role { return r.role }

// Leader returns the id of the leader, or 0 if none is known.
func (r *Raft) Leader() uint64 { return r.leader }

func (r *Raft) Term() uint64 { return r.hard.Term }

// CommitIndex returns the index of the last committed entry.
func (r *Raft) CommitIndex() uint64 { return r.commitIndex }

// ConfirmedCommit returns an index up to which at least everything is committed that
// was when the current term began. It reports false until the leader of the term has
// committed an entry of its own: a restarted replica does not know which entries of
// its log are committed, and learns of them one after the other.
func (r *Raft) ConfirmedCommit() (index uint64, ok bool) {
	index = r.leaderCommit
	if r.role == Leader {
		index = r.commitIndex
	}
	term, inLog := r.log.term(index)
	return index, inLog && index > 0 && term == r.hard.Term
}

// LastIndex returns the index of the last entry of the log.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// Snapshot returns the metadata of the last snapshot.
func (r *Raft) Snapshot() SnapshotMeta { return r.snapshot }

// CommittedEntries returns the entries from an index up to the commit index, or
// fewer if they exceed about the given number of bytes, but at least one. The
// entries must not be modified.
func (r *Raft) CommittedEntries(from uint64, bytes int) []*peer.LogEntry {
	return r.log.slice(from, r.commitIndex, bytes)
}

// EntryTerm returns the term of an entry, or false if it is not in the log.
func (r *Raft) EntryTerm(index uint64) (uint64, bool) { return r.log.term(index) }
