package control

import (
	"context"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// confirmer asks a quorum to confirm the leader on behalf of many callers: one
// round serves all callers that were waiting when it began.
type confirmer struct {
	waiting chan chan<- confirmation
	done    <-chan struct{}
}

type confirmation struct {
	term uint64
	err  error
}

// maxWaitingCalls bounds the callers that wait for a round. At the design size,
// 660 renewals and a few hundred ledger calls arrive per second and a round takes
// about a millisecond.
const maxWaitingCalls = 4096

// newConfirmer starts a confirmer that runs until ctx ends.
func newConfirmer(ctx context.Context, confirm func(context.Context) (uint64, error)) *confirmer {
	c := &confirmer{waiting: make(chan chan<- confirmation, maxWaitingCalls), done: ctx.Done()}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case first := <-c.waiting:
				// All calls in the channel at this point arrived before the round
				// begins.
				batch := c.collectWaiting(first)
				round, cancel := context.WithTimeout(ctx, roundTimeout)
				term, err := confirm(round)
				cancel()
				for _, answer := range batch {
					answer <- confirmation{term: term, err: err}
				}
			}
		}
	}()
	return c
}

func (c *confirmer) collectWaiting(first chan<- confirmation) []chan<- confirmation {
	batch := []chan<- confirmation{first}
	for {
		select {
		case next := <-c.waiting:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// wait returns the leader's term after a round that began after the call.
func (c *confirmer) wait(ctx context.Context) (uint64, error) {
	answer := make(chan confirmation, 1)
	select {
	case c.waiting <- answer:
	default:
		return 0, fault.New(fault.Overloaded, "%d calls already wait for a quorum", maxWaitingCalls)
	}
	select {
	case got := <-answer:
		return got.term, got.err
	case <-ctx.Done():
		return 0, fault.Wrap(ctx.Err(), fault.NoQuorum, "no quorum confirmed this replica as leader in time")
	case <-c.done:
		return 0, fault.New(fault.Draining, "this replica is shutting down")
	}
}
