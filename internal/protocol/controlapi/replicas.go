package controlapi

import (
	"net/http"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxDiscovered bounds the addresses added from not_leader faults.
const maxDiscovered = 16

// replica is a control replica with its clients.
type replica struct {
	address    string
	control    peer.Control
	operator   peer.Operator
	avoidUntil time.Time // the replica is tried last until then
}

// replicas holds the replicas of a control group and the one to try first.
type replicas struct {
	client *http.Client

	mu         sync.Mutex
	list       []*replica
	leader     *replica
	configured int // number of configured addresses, which come first in list
}

func newReplicas(addresses []string, client *http.Client) *replicas {
	rs := &replicas{client: client}
	for _, a := range addresses {
		rs.add(a)
	}
	rs.configured = len(rs.list)
	return rs
}

func (rs *replicas) leaderAddress() string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.leader == nil {
		return ""
	}
	return rs.leader.address
}

// add returns the replica at an address, adding it if it is new.
func (rs *replicas) add(address string) *replica {
	for _, r := range rs.list {
		if r.address == address {
			return r
		}
	}
	if rs.configured > 0 && len(rs.list) >= rs.configured+maxDiscovered {
		rs.list = append(rs.list[:rs.configured], rs.list[rs.configured+1:]...)
	}
	r := &replica{
		address:  address,
		control:  peer.NewControlProtobufClient("http://"+address, rs.client),
		operator: peer.NewOperatorProtobufClient("http://"+address, rs.client),
	}
	rs.list = append(rs.list, r)
	return r
}

// replicaSelector selects the replicas that one call tries.
type replicaSelector struct {
	rs        *replicas
	suggested *replica // the leader according to the last answer
	tried     map[*replica]bool
	backoff   time.Duration
	rounds    int
}

func (rs *replicas) newSelector() *replicaSelector {
	return &replicaSelector{rs: rs, tried: map[*replica]bool{}}
}

// next returns the next replica to try and the time to wait before it. Once all
// replicas have been tried, it backs off and starts again, since an election
// takes about a second.
func (s *replicaSelector) next() (*replica, time.Duration) {
	s.rs.mu.Lock()
	defer s.rs.mu.Unlock()
	if r := s.untried(); r != nil {
		s.tried[r] = true
		return r, 0
	}
	clear(s.tried)
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
	s.rounds++
	r := s.untried()
	if r != nil {
		s.tried[r] = true
	}
	return r, s.backoff
}

// untried returns the replica to try next: the suggested one, the leader, then
// the others with those to avoid last. It returns nil if all were tried.
func (s *replicaSelector) untried() *replica {
	if r := s.suggested; r != nil {
		s.suggested = nil
		if !s.tried[r] {
			return r
		}
	}
	if l := s.rs.leader; l != nil && !s.tried[l] {
		return l
	}
	var last *replica
	now := time.Now()
	for _, r := range s.rs.list {
		if s.tried[r] {
			continue
		}
		if now.After(r.avoidUntil) {
			return r
		}
		if last == nil || r.avoidUntil.Before(last.avoidUntil) {
			last = r
		}
	}
	return last
}

func (s *replicaSelector) recordAnswer(r *replica) {
	s.rs.mu.Lock()
	defer s.rs.mu.Unlock()
	s.rs.leader, r.avoidUntil = r, time.Time{}
}

// recordFailure records that a replica gave no definite answer. One that does not
// respond is tried last for avoidPeriod, and the leader that a replica reports is
// tried next.
func (s *replicaSelector) recordFailure(r *replica, f *fault.Error) {
	s.rs.mu.Lock()
	defer s.rs.mu.Unlock()
	if s.rs.leader == r {
		s.rs.leader = nil
	}
	switch f.Kind {
	case fault.NotLeader:
		if f.Leader != "" && f.Leader != r.address {
			s.suggested = s.rs.add(f.Leader)
		}
	case fault.DeadlineExceeded, fault.Unavailable, fault.Cancelled:
		r.avoidUntil = time.Now().Add(avoidPeriod)
	}
}
