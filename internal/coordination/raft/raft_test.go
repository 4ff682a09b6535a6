package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// newGroup returns a group that has elected its first leader.
func newGroup(t *testing.T, voters int) (*sim, *simNode) {
	t.Helper()
	s := newSim(t.Fatalf, 1, voters)
	s.advance(5 * time.Second)
	for _, n := range s.nodes {
		if n.r.Role() == Leader {
			return s, n
		}
	}
	t.Fatal("no leader")
	return nil, nil
}

func (s *sim) other(n *simNode) *simNode {
	for _, o := range s.nodes {
		if o != n {
			return o
		}
	}
	return nil
}

// Guards against a group of one voter that waits for an election timeout.
func TestOneVoterLeadsAtOnce(t *testing.T) {
	s := newSim(t.Fatalf, 1, 1)
	if got := s.nodes[0].r.Role(); got != Leader {
		t.Fatalf("role %v after the first step", got)
	}
	s.sync(s.nodes[0])
	if got := s.nodes[0].r.CommitIndex(); got != 1 {
		t.Errorf("commit %d after the first sync", got)
	}
}

// Guards against a leader that continues to lead after it was partitioned or
// suspended, or that confirms reads by replies from before the fault.
func TestLeaderStepsDown(t *testing.T) {
	tests := map[string]func(s *sim, leader *simNode){
		"network partition": func(s *sim, leader *simNode) {
			s.partition(leader, 0)
			s.readIndex(leader)
			s.advance(DefaultElectionTimeoutMax + 2*DefaultHeartbeatInterval)
		},
		"suspended with replies waiting": func(s *sim, leader *simNode) {
			s.readIndex(leader)
			leader.suspendedUntil = s.now + 3*time.Second
			s.advance(3 * time.Second)
			before := s.check.confirmed
			s.advance(simQuantum)
			if s.check.confirmed != before {
				t.Error("a read was confirmed by replies from before the suspension")
			}
		},
		"clock steps ahead": func(s *sim, leader *simNode) {
			leader.clockOffset += time.Hour
			s.step(leader, Tick{})
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			s, leader := newGroup(t, 3)
			fault(s, leader)
			if leader.r.Role() == Leader {
				t.Error("the replica is still the leader")
			}
			if len(s.check.reads) != 0 {
				t.Errorf("%d reads are neither confirmed nor refused", len(s.check.reads))
			}
		})
	}
}

// Guards against timers that stop when the clock steps back.
func TestClockStepsBack(t *testing.T) {
	s, leader := newGroup(t, 3)
	term := leader.r.Term()
	for _, n := range s.nodes {
		n.clockOffset -= time.Duration(n.id) * 100 * time.Millisecond
	}
	s.advance(5 * time.Second)
	if leader.r.Role() != Leader || leader.r.Term() != term {
		t.Errorf("role %v in term %d, want the leader of term %d", leader.r.Role(), leader.r.Term(), term)
	}
}

// Guards against a replica that lost its disk and is elected by replies to vote
// requests from before the loss.
func TestVotesBelongToTheFolder(t *testing.T) {
	members := []*peer.Member{{Id: 1, Voter: true}, {Id: 2, Voter: true}}
	r := New(0, Config{ID: 1, Folder: 11, Bootstrap: members, Random: func(int64) int64 { return 0 }})
	r.Step(DefaultElectionTimeoutMin, Tick{})
	for _, kind := range []peer.RaftMessageType{
		peer.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, peer.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY,
	} {
		e := r.Step(DefaultElectionTimeoutMin, Receive{&peer.RaftMessage{
			Type: kind, From: 2, To: 1, Term: 1, Folder: 22, ToFolder: 10,
		}})
		if e.Ignored != WrongFolder || r.Role() != PreCandidate {
			t.Errorf("%v: ignored %v, role %v", kind, e.Ignored, r.Role())
		}
	}
}

// Guards against a replica that votes or acknowledges under its old id after
// it lost its disk.
func TestLostDisk(t *testing.T) {
	s, leader := newGroup(t, 3)
	lost := s.other(leader)
	s.loseDisk(lost)
	s.advance(time.Second)
	if !lost.folderMismatch {
		t.Error("the replica did not stop")
	}
	s.propose(leader, 1)
	s.advance(time.Second)
	if s.check.maxAcked == 0 {
		t.Error("the other replicas do not commit the proposal")
	}
}

// Guards against member changes after which majorities may not overlap, and
// against the promotion of a learner that lags behind.
func TestChangeMember(t *testing.T) {
	learner := &peer.Member{Id: 9, Address: "nine"}
	const (
		add     = peer.ChangeMemberRequest_ACTION_ADD_LEARNER
		promote = peer.ChangeMemberRequest_ACTION_PROMOTE
		remove  = peer.ChangeMemberRequest_ACTION_REMOVE
	)
	tests := map[string]struct {
		before  []ChangeMember // appended and committed
		pending []ChangeMember // appended and not committed
		in      ChangeMember
		want    Refusal
	}{
		"add":                 {nil, nil, ChangeMember{add, learner}, Accepted},
		"add again":           {[]ChangeMember{{add, learner}}, nil, ChangeMember{add, learner}, Unchanged},
		"add with another":    {nil, []ChangeMember{{add, learner}}, ChangeMember{add, &peer.Member{Id: 8}}, ChangePending},
		"add a known id":      {nil, nil, ChangeMember{add, &peer.Member{Id: 1, Address: "new"}}, MemberExists},
		"promote when absent": {[]ChangeMember{{add, learner}}, nil, ChangeMember{promote, learner}, LearnerBehind},
		"promote unknown":     {nil, nil, ChangeMember{promote, learner}, UnknownMember},
		"promote voter":       {nil, nil, ChangeMember{promote, &peer.Member{Id: 1}}, Unchanged},
		"remove":              {nil, nil, ChangeMember{remove, &peer.Member{Id: 1}}, Accepted},
		"remove unknown":      {nil, nil, ChangeMember{remove, learner}, Unchanged},
		"no member":           {nil, nil, ChangeMember{add, nil}, BadMember},
		"no action":           {nil, nil, ChangeMember{0, learner}, BadMember},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, leader := newGroup(t, 3)
			for _, in := range test.before {
				s.step(leader, in)
				s.advance(time.Second)
			}
			for _, in := range test.pending {
				s.step(leader, in)
			}
			if diff := cmp.Diff(test.want, s.step(leader, test.in).Refused); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a removed member whose elections depose the leader.
func TestRemovedMemberDoesNotDisturb(t *testing.T) {
	s, leader := newGroup(t, 3)
	removed := s.other(leader)
	s.partition(removed, 0)
	s.step(leader, ChangeMember{peer.ChangeMemberRequest_ACTION_REMOVE, &peer.Member{Id: removed.id}})
	s.advance(2 * time.Second)
	clear(s.blocked)
	term := leader.r.Term()
	s.advance(10 * time.Second)
	if leader.r.Role() != Leader || leader.r.Term() != term {
		t.Errorf("role %v in term %d, want the leader of term %d", leader.r.Role(), leader.r.Term(), term)
	}
}

// Guards against a leadership transfer that waits for an election timeout, or
// after which proposals stay refused if the target does not reply.
func TestTransfer(t *testing.T) {
	s, leader := newGroup(t, 3)
	target := s.other(leader)
	s.step(leader, TransferLeadership{To: target.id})
	s.advance(100 * time.Millisecond)
	if target.r.Role() != Leader {
		t.Fatalf("target is %v", target.r.Role())
	}
	s.advance(time.Second)
	s.partition(leader, 0)
	s.step(target, TransferLeadership{To: leader.id})
	if e := s.step(target, Propose{Commands: [][]byte{nil}}); e.Refused != Transferring {
		t.Errorf("proposal during the transfer: %v", e.Refused)
	}
	s.advance(2 * DefaultElectionTimeoutMax)
	if e := s.step(target, Propose{Commands: [][]byte{nil}}); e.Refused != Accepted {
		t.Errorf("proposal after a failed transfer: %v", e.Refused)
	}
}

// Guards against malformed messages that cause a panic or change the log.
func TestBadMessages(t *testing.T) {
	s, leader := newGroup(t, 3)
	follower := s.other(leader)
	base := peer.RaftMessage{From: leader.id, To: follower.id, Term: leader.r.Term(), Index: 1, LogTerm: 1}
	tests := map[string]struct {
		change func(m *peer.RaftMessage)
		want   Ignored
	}{
		"no type":      {func(m *peer.RaftMessage) {}, BadMessage},
		"gap":          {func(m *peer.RaftMessage) { m.Type, m.Entries = 5, []*peer.LogEntry{{Index: 9, Term: 1}} }, BadMessage},
		"no snapshot":  {func(m *peer.RaftMessage) { m.Type = 7 }, BadMessage},
		"checksum":     {func(m *peer.RaftMessage) { m.Type, m.Snapshot = 7, &peer.SnapshotChunk{LastIndex: 99, Done: true} }, BadChecksum},
		"old term":     {func(m *peer.RaftMessage) { m.Type, m.Term = 5, 0 }, StaleTerm},
		"own message":  {func(m *peer.RaftMessage) { m.From = m.To }, WrongReceiver},
		"other folder": {func(m *peer.RaftMessage) { m.Type = 6 }, WrongFolder},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := &peer.RaftMessage{From: base.From, To: base.To, Term: base.Term, Index: base.Index, LogTerm: base.LogTerm}
			test.change(m)
			last := follower.r.LastIndex()
			if diff := cmp.Diff(test.want, follower.r.Step(s.localTime(follower), Receive{m}).Ignored); diff != "" {
				t.Error(diff)
			}
			if follower.r.LastIndex() != last {
				t.Errorf("log ends at %d, want %d", follower.r.LastIndex(), last)
			}
		})
	}
}

// leaderChangeLimit is the maximum time for a change of leader (section 7 of the
// design): it must be shorter than a lease, which is 3 s.
const leaderChangeLimit = 1500 * time.Millisecond

// Guards against split votes that leave a group without a leader. The network
// has the delay of the deployments, and a sync takes up to 15 ms.
func TestLeaderChangeIsFast(t *testing.T) {
	for seed := range uint64(300) {
		s := newSim(t.Fatalf, seed, 3)
		s.delay = time.Millisecond
		s.advance(10 * time.Second)
		for _, n := range s.nodes {
			if n.r.Role() == Leader {
				s.crash(n)
				break
			}
		}
		s.advance(leaderChangeLimit)
		established := false
		for _, n := range s.nodes {
			established = established || n.r != nil && n.r.Role() == Leader && n.r.commitIndex >= n.r.termStart
		}
		if !established {
			t.Errorf("seed %d: no leader has committed an entry %v after the crash", seed, leaderChangeLimit)
		}
	}
}

// Guards against a group that has no leader for a full election timeout after all
// replicas restarted, and against a restarted replica that deposes a working
// leader.
func TestRestart(t *testing.T) {
	// Less than the usual time of up to DefaultElectionTimeoutMax.
	const limit = DefaultElectionTimeoutMin + 3*DefaultHeartbeatInterval
	for seed := range uint64(20) {
		s, leader := newGroup(t, 3)
		s.rand = rand.New(rand.NewPCG(seed, 1))
		restarted := s.other(leader)
		term := leader.r.Term()
		s.crash(restarted)
		s.advance(time.Second)
		s.start(restarted)
		s.advance(2 * time.Second)
		if leader.r.Role() != Leader || leader.r.Term() != term {
			t.Errorf("seed %d: a restarted replica changed the leader", seed)
		}
		for _, n := range s.nodes {
			s.crash(n)
		}
		for _, n := range s.nodes {
			s.start(n)
		}
		s.advance(limit)
		if !slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.r.Role() == Leader }) {
			t.Errorf("seed %d: no leader %s after all replicas restarted", seed, limit)
		}
	}
}
