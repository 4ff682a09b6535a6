package control

import (
	"context"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// fakeLog is a Log of one replica that commits at once. Its fields control its
// responses.
type fakeLog struct {
	mu          sync.Mutex
	machine     *registry.Registry
	index       uint64
	status      replica.Status
	loseResults bool // Propose commits, but loses the result
	noQuorum    bool
	rounds      int
	transfers   int
	changes     []*peer.ChangeMemberRequest
	done        chan struct{}
}

func newFakeLog(machine *registry.Registry, since time.Time) *fakeLog {
	return &fakeLog{
		machine: machine,
		status:  replica.Status{ID: 1, Leader: 1, Term: 1, LeaderAddress: "127.0.0.1:1", IsLeader: true, LeaderSince: since},
		done:    make(chan struct{}),
	}
}

func (l *fakeLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.noQuorum {
		return nil, fault.New(fault.NoQuorum, "no quorum")
	}
	l.index++
	l.status.Commit = l.index
	result := l.machine.Apply(l.index, command)
	if l.loseResults {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (l *fakeLog) ConfirmLeadership(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rounds++
	if l.noQuorum {
		return 0, fault.New(fault.NoQuorum, "no quorum")
	}
	return l.status.Term, nil
}

func (l *fakeLog) Deliver(context.Context, *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	return &peer.DeliverResponse{}, nil
}

func (l *fakeLog) ChangeMember(_ context.Context, req *peer.ChangeMemberRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, req)
	return nil
}

func (l *fakeLog) TransferLeadership(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers++
	return nil
}

func (l *fakeLog) Status() replica.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

func (l *fakeLog) Done() <-chan struct{} { return l.done }

func (l *fakeLog) Err() error { return nil }

func (l *fakeLog) set(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}
