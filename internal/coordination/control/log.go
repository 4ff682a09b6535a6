package control

import (
	"context"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Log is the replicated log. It is implemented by replica.Replica, and by fakes
// in tests.
type Log interface {
	// Propose returns the result of the command after it has been committed
	// and applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ConfirmLeadership returns the leader's term after a quorum has confirmed
	// it and everything committed before has been applied.
	ConfirmLeadership(ctx context.Context) (term uint64, err error)
	// Deliver accepts messages of another replica.
	Deliver(ctx context.Context, req *peer.DeliverRequest) (*peer.DeliverResponse, error)
	// ChangeMember adds, promotes or removes a replica.
	ChangeMember(ctx context.Context, req *peer.ChangeMemberRequest) error
	// TransferLeadership makes another replica the leader.
	TransferLeadership(ctx context.Context) error
	// Status returns this replica's view, which may be out of date.
	Status() replica.Status
	// Done returns a channel that is closed when the log has stopped; Err returns
	// the cause.
	Done() <-chan struct{}
	Err() error
}

var _ Log = (*replica.Replica)(nil)
