package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// simQuantum is the resolution of the simulated time.
const simQuantum = 5 * time.Millisecond

// simDisk is the state that survives a crash.
type simDisk struct {
	hard     HardState
	entries  []*peer.LogEntry
	snapshot Snapshot
}

// write applies one staged write in the same way as the log on disk.
func (d *simDisk) write(op any) {
	switch op := op.(type) {
	case HardState:
		d.hard = op
	case *peer.LogEntry:
		if n := len(d.entries); n > 0 && op.Index <= d.entries[n-1].Index {
			d.entries = slices.Clone(d.entries[:max(0, int(op.Index)-int(d.entries[0].Index))])
		}
		d.entries = append(d.entries, op)
	case simLogReset:
		d.entries = nil
	}
}

type simLogReset struct{}

// dropReplacedLog drops a log that a snapshot replaced, as package wal does on
// Open.
func (d *simDisk) dropReplacedLog() {
	if len(d.entries) == 0 || d.entries[0].Index == d.snapshot.Index+1 {
		return
	}
	at := int(d.snapshot.Index) - int(d.entries[0].Index)
	if at < 0 || at >= len(d.entries) || d.entries[at].Term != d.snapshot.Term {
		d.entries = nil
	}
}

// simNode is one process and its disk.
type simNode struct {
	id, folder     uint64
	bootstrap      []*peer.Member
	r              *Raft // nil while the process is down
	folderMismatch bool  // stopped because the group has recorded another folder
	lostDisk       bool
	disk           simDisk
	staged         []any
	replies        []*peer.RaftMessage
	syncAt         time.Duration // when the staged writes become durable
	suspendedUntil time.Duration // no step before this time
	inbox          []*peer.RaftMessage
	clockOffset    time.Duration
	applied        uint64
	state          []string
	pending        map[uint64]*simProposal
}

type simProposal struct {
	term    uint64
	command string
}

type simMessage struct {
	at time.Duration
	m  *peer.RaftMessage
}

// sim runs several replicas under a virtual clock. Failed checks call fail.
type sim struct {
	fail         func(format string, args ...any)
	rand         *rand.Rand
	now          time.Duration
	nodes        []*simNode
	network      []simMessage
	blocked      map[[2]uint64]bool
	loss         int // percent
	duplication  int // percent
	delay        time.Duration
	check        checker
	nextID       uint64
	commandCount int
}

func newSim(fail func(string, ...any), seed uint64, voters int) *sim {
	s := &sim{
		fail: fail, rand: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]uint64]bool{},
		delay: 10 * time.Millisecond, nextID: uint64(voters) + 1, check: newChecker(fail),
	}
	var bootstrap []*peer.Member
	for id := 1; id <= voters; id++ {
		bootstrap = append(bootstrap, &peer.Member{Id: uint64(id), Voter: true})
	}
	for id := 1; id <= voters; id++ {
		s.addNode(uint64(id), bootstrap)
	}
	return s
}

func (s *sim) addNode(id uint64, bootstrap []*peer.Member) *simNode {
	n := &simNode{id: id, folder: s.rand.Uint64() | 1, bootstrap: bootstrap, clockOffset: time.Duration(s.rand.Int64N(1e9))}
	s.nodes = append(s.nodes, n)
	s.start(n)
	return n
}

func (s *sim) start(n *simNode) {
	if n.r != nil || n.folderMismatch {
		return
	}
	n.disk.dropReplacedLog()
	n.state = decodeState(n.disk.snapshot.Data)
	n.applied = n.disk.snapshot.Index
	n.pending = map[uint64]*simProposal{}
	n.r = New(s.localTime(n), Config{
		ID: n.id, Folder: n.folder, Bootstrap: n.bootstrap, Hard: n.disk.hard,
		Snapshot: n.disk.snapshot.SnapshotMeta, Entries: slices.Clone(n.disk.entries),
		Random: s.rand.Int64N, MaxMessageBytes: 64, MaxInFlight: 4, MaxPromoteLag: 4,
	})
	s.step(n, Tick{})
}

// crash ends a process. Of the writes that were not synced, a prefix may have
// reached the disk.
func (s *sim) crash(n *simNode) {
	if n.r == nil {
		return
	}
	for _, op := range n.staged[:s.rand.IntN(len(n.staged)+1)] {
		n.disk.write(op)
	}
	n.r, n.staged, n.replies, n.inbox, n.suspendedUntil = nil, nil, nil, nil, 0
}

// loseDisk replaces a node by an empty one with the same id.
func (s *sim) loseDisk(n *simNode) {
	s.crash(n)
	n.disk, n.folder, n.lostDisk = simDisk{}, s.rand.Uint64()|1, true
	s.start(n)
}

func (s *sim) localTime(n *simNode) time.Duration { return s.now + n.clockOffset }

// step runs one input and carries out the effects in the same way as package
// replica.
func (s *sim) step(n *simNode, in Input) Effects {
	wasLeader := n.r.Role() == Leader
	e := n.r.Step(s.localTime(n), in)
	s.check.observe(n, wasLeader, &e)
	s.send(n, e.Messages)
	if e.Snapshot != nil {
		n.disk.snapshot = *e.Snapshot
		n.staged = append(n.staged, simLogReset{})
		n.state, n.applied = decodeState(e.Snapshot.Data), e.Snapshot.Index
		s.check.checkState(n)
		s.check.snapshotsReceived++
	}
	if e.Hard != nil {
		n.staged = append(n.staged, *e.Hard)
	}
	for _, entry := range e.Entries {
		n.staged = append(n.staged, entry)
	}
	n.replies = append(n.replies, e.Replies...)
	if e.SteppedDown {
		// Package replica answers these proposals with outcome_unknown, since
		// they may still be committed.
		n.pending = map[uint64]*simProposal{}
	}
	if e.FolderMismatch {
		s.crash(n)
		n.folderMismatch = true
		return e
	}
	if n.syncAt <= s.now {
		n.syncAt = s.now + time.Duration(s.rand.Int64N(int64(15*time.Millisecond)))
	}
	return e
}

// sync makes the staged writes durable and sends the replies.
func (s *sim) sync(n *simNode) {
	for range 4 {
		staged, replies := n.staged, n.replies
		n.staged, n.replies = nil, nil
		for _, op := range staged {
			n.disk.write(op)
		}
		s.send(n, replies)
		if len(staged) == 0 {
			break
		}
		if s.step(n, Synced{}); n.r == nil {
			return
		}
	}
	s.apply(n)
}

func (s *sim) apply(n *simNode) {
	for len(n.staged) == 0 && n.applied < n.r.CommitIndex() {
		for _, e := range n.r.CommittedEntries(n.applied+1, 1<<20) {
			n.applied = e.Index
			if e.Type == peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND {
				n.state = append(n.state, string(e.Data))
			}
			if p := n.pending[e.Index]; p != nil && p.term == e.Term {
				s.check.acknowledge(e.Index, p.command)
			}
			delete(n.pending, e.Index)
		}
	}
}

func (s *sim) send(n *simNode, messages []*peer.RaftMessage) {
	for _, m := range messages {
		if s.blocked[[2]uint64{m.From, m.To}] || s.rand.IntN(100) < s.loss || !fillSimChunk(n, m) {
			continue
		}
		copies := 1
		if s.rand.IntN(100) < s.duplication {
			copies = 2
		}
		for range copies {
			at := s.now + time.Duration(s.rand.Int64N(int64(s.delay)+1))
			s.network = append(s.network, simMessage{at: at, m: m})
		}
	}
}

func fillSimChunk(n *simNode, m *peer.RaftMessage) bool {
	if m.Snapshot == nil {
		return true
	}
	data := n.disk.snapshot.Data
	if n.disk.snapshot.Index != m.Snapshot.LastIndex || m.Snapshot.Offset > uint64(len(data)) {
		return false
	}
	rest := data[m.Snapshot.Offset:]
	m.Snapshot.Data = rest[:min(len(rest), 40)]
	if m.Snapshot.Done = len(m.Snapshot.Data) == len(rest); m.Snapshot.Done {
		m.Snapshot.Checksum = xxhash.Sum64(data)
	}
	return true
}

// advance runs the simulation for a duration.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simQuantum {
		s.deliver()
		for _, n := range s.nodes {
			if n.r == nil || n.suspendedUntil > s.now {
				continue
			}
			inbox := n.inbox
			n.inbox = nil
			for _, m := range inbox {
				if n.r != nil {
					s.step(n, Receive{Message: m})
				}
			}
			if n.r != nil && n.r.NextDeadline() <= s.localTime(n) {
				s.step(n, Tick{})
			}
			if n.r != nil && (n.syncAt <= s.now || s.rand.IntN(4) == 0) {
				s.sync(n)
			}
		}
	}
}

func (s *sim) deliver() {
	var later []simMessage
	for _, m := range s.network {
		if m.at > s.now {
			later = append(later, m)
			continue
		}
		if s.blocked[[2]uint64{m.m.From, m.m.To}] {
			continue
		}
		if n := s.node(m.m.To); n != nil && n.r != nil {
			n.inbox = append(n.inbox, m.m)
		}
	}
	s.network = later
}

func (s *sim) node(id uint64) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *sim) propose(n *simNode, count int) {
	if n.r == nil || n.suspendedUntil > s.now {
		return
	}
	var commands [][]byte
	for range count {
		s.commandCount++
		commands = append(commands, fmt.Append(nil, "c", s.commandCount))
	}
	e := s.step(n, Propose{Commands: commands})
	for i, c := range commands {
		if e.Refused != Accepted {
			s.check.refused[string(c)] = true
			continue
		}
		n.pending[e.FirstIndex+uint64(i)] = &simProposal{term: e.Term, command: string(c)}
	}
}

func (s *sim) readIndex(n *simNode) {
	if n.r != nil && n.suspendedUntil <= s.now {
		s.step(n, ReadIndex{ID: s.check.beginRead()})
	}
}

// snapshot saves the applied state of a node and compacts its log.
func (s *sim) snapshot(n *simNode) {
	if n.r == nil || n.suspendedUntil > s.now || len(n.staged) > 0 || n.applied <= n.r.Snapshot().Index {
		return
	}
	n.disk.snapshot = Snapshot{SnapshotMeta: n.r.SnapshotMetaAt(n.applied), Data: encodeState(n.state)}
	first := n.applied - min(n.applied, uint64(s.rand.IntN(4)))
	s.step(n, Compact{SnapshotIndex: n.applied, CompactIndex: first})
	for len(n.disk.entries) > 1 && n.disk.entries[0].Index < first {
		n.disk.entries = slices.Clone(n.disk.entries[1:])
	}
}

func encodeState(state []string) []byte {
	data, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeState(data []byte) []string {
	var state []string
	if len(data) > 0 {
		if err := json.Unmarshal(data, &state); err != nil {
			panic(err)
		}
	}
	return state
}
