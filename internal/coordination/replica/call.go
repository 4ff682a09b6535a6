package replica

import (
	"context"
	"sync/atomic"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// transferRetryAfter is the retry delay that a refused caller gets while the
// leader or the membership changes.
const transferRetryAfter = 200 * time.Millisecond

// claim is taken once: by the worker when it dequeues a call, or by the caller
// when it abandons the call.
type claim struct{ taken atomic.Bool }

func (c *claim) take() bool { return c.taken.CompareAndSwap(false, true) }

type answer struct {
	result    []byte
	unchanged bool // a member change that was already in effect
	err       error
}

// proposal is a command that waits to be committed and applied. Exactly one
// answer is sent.
type proposal struct {
	claim
	command []byte
	term    uint64
	answer  chan answer
}

// confirmation is a read that waits for its confirmation. Exactly one answer is
// sent.
type confirmation struct {
	index, term uint64
	answer      chan error
}

// request is a member change or a leadership transfer.
type request struct {
	claim
	input  raft.Input
	answer chan answer
}

// Propose appends a command, waits until it is committed and applied, and
// returns the result of Apply. If ctx is done first, the error says whether the
// command was appended.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, fault.New(fault.TooLarge, "replica: command of %d bytes, at most %d are allowed", len(command), MaxCommandBytes)
	}
	p := &proposal{command: command, answer: make(chan answer, 1)}
	if err := enqueue(ctx, r, r.proposals, p); err != nil {
		return nil, err
	}
	a := awaitAnswer(ctx, r, &p.claim, p.answer)
	return a.result, a.err
}

// ConfirmLeadership waits until a majority has confirmed that this replica is
// the leader, in a round begun after the call, and until everything committed by
// then is applied. It returns the leader's term.
func (r *Replica) ConfirmLeadership(ctx context.Context) (term uint64, err error) {
	start := time.Now()
	c := &confirmation{answer: make(chan error, 1)}
	if err := enqueue(ctx, r, r.confirms, c); err != nil {
		return 0, err
	}
	select {
	case err = <-c.answer:
	case <-ctx.Done():
		return 0, fault.Wrap(ctx.Err(), fault.NoQuorum, "replica: the read was not confirmed in time")
	case <-r.done:
		return 0, fault.New(fault.Unavailable, "replica: stopped")
	}
	if err == nil && time.Since(start) >= electionTimeout {
		// A process that was suspended between the confirmation and this point
		// may have been replaced as leader.
		r.metrics.refusal("stale_confirmation").Inc(1)
		err = fault.New(fault.NoQuorum, "replica: the confirmation has expired")
	}
	if err != nil {
		return 0, err
	}
	return c.term, nil
}

// ChangeMember adds a learner, promotes it, or removes a member, and waits
// until the change is committed. A change that is already in effect succeeds.
func (r *Replica) ChangeMember(ctx context.Context, req *peer.ChangeMemberRequest) error {
	a := r.request(ctx, raft.ChangeMember{Action: req.Action, Member: req.Member})
	if a.err != nil || !a.unchanged {
		return a.err
	}
	// A leader that was replaced may have an outdated member list.
	_, err := r.ConfirmLeadership(ctx)
	return err
}

// TransferLeadership transfers leadership to the voter with the longest log and
// waits until this replica is no longer the leader. The error is no_quorum if
// no other voter can become leader, as in a group of one.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	return r.request(ctx, raft.TransferLeadership{}).err
}

func (r *Replica) request(ctx context.Context, input raft.Input) answer {
	q := &request{input: input, answer: make(chan answer, 1)}
	if err := enqueue(ctx, r, r.requests, q); err != nil {
		return answer{err: err}
	}
	return awaitAnswer(ctx, r, &q.claim, q.answer)
}

func enqueue[T any](ctx context.Context, r *Replica, queue chan<- T, item T) error {
	select {
	case <-r.done:
		return fault.New(fault.Unavailable, "replica: stopped")
	default:
	}
	select {
	case queue <- item:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "replica: nothing was proposed").WithRan(fault.RanNo)
	case <-r.done:
		return fault.New(fault.Unavailable, "replica: stopped")
	}
}

// awaitAnswer returns the answer, or an error that says whether the call was
// taken from the queue before ctx was done or the replica stopped.
func awaitAnswer(ctx context.Context, r *Replica, c *claim, answers <-chan answer) answer {
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
	case <-r.done:
	}
	select {
	case a := <-answers:
		return a
	default:
	}
	return answer{err: unansweredError(ctx.Err(), !c.take())}
}

// unansweredError returns the error of a call that got no answer before its
// context was done with err, or before the replica stopped if err is nil.
func unansweredError(err error, taken bool) error {
	switch {
	case taken && err != nil:
		return fault.Wrap(err, fault.OutcomeUnknown, "replica: the proposal was not committed in time")
	case taken:
		return fault.New(fault.OutcomeUnknown, "replica: stopped before the proposal was committed")
	case err != nil:
		return fault.Wrap(err, fault.DeadlineExceeded, "replica: nothing was proposed").WithRan(fault.RanNo)
	}
	return fault.New(fault.Unavailable, "replica: stopped before anything was proposed")
}

// notLeader returns the error of a replica that is not the leader.
func notLeader(leader *peer.Member) error {
	if leader == nil {
		return fault.New(fault.NoQuorum, "replica: no leader is known").WithRetryAfter(transferRetryAfter)
	}
	e := fault.New(fault.NotLeader, "replica: replica %d is the leader", leader.Id)
	e.Leader = leader.Address
	return e
}

// refusalFault returns the fault for a refusal by the algorithm.
func refusalFault(refusal raft.Refusal, leader *peer.Member) error {
	switch refusal {
	case raft.Accepted, raft.Unchanged:
		return nil
	case raft.NotLeader:
		return notLeader(leader)
	case raft.Transferring:
		return fault.New(fault.NoQuorum, "replica: leadership is being transferred").WithRetryAfter(transferRetryAfter)
	case raft.TermNotEstablished:
		return fault.New(fault.NoQuorum, "replica: the new leader has not committed an entry of its term yet").WithRetryAfter(transferRetryAfter)
	case raft.UnknownMember:
		return fault.New(fault.NotFound, "replica: there is no such member")
	case raft.BadMember:
		return fault.New(fault.BadRequest, "replica: the member change has no valid member or action")
	case raft.NoTarget:
		return fault.New(fault.NoQuorum, "replica: no other voter can become leader")
	case raft.ChangePending:
		return fault.New(fault.Conflict, "replica: another member change is in progress").WithRetryAfter(transferRetryAfter)
	case raft.LearnerBehind:
		return fault.New(fault.Conflict, "replica: the log of the learner is too far behind").WithRetryAfter(time.Second)
	case raft.MemberExists:
		return fault.New(fault.Conflict, "replica: another member has this id")
	case raft.LastVoter:
		return fault.New(fault.Conflict, "replica: the last voter cannot be removed")
	}
	return fault.New(fault.Internal, "replica: refused: %s", refusal)
}
