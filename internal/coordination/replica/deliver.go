package replica

import (
	"context"

	"oleanderrack.example/oleanderrack/internal/coordination/raft"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// delivery is a batch of messages from another replica.
type delivery struct {
	from     uint64
	messages []*peer.RaftMessage
	// replies receives one list of messages for the sender once the batch is
	// synced; nil if the sender does not wait for replies.
	replies chan []*peer.RaftMessage
}

var _ peer.Replication = (*Replica)(nil)

// Deliver queues messages from another replica. Messages are dropped if the
// queue is full, as on an overloaded network. If the sender wants replies,
// Deliver waits until the messages are synced and returns the replies: a second
// call for them would double the cost of a heartbeat.
func (r *Replica) Deliver(ctx context.Context, req *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	if req.Cluster != r.cluster {
		r.metrics.ignored("wrong_cluster").Inc(1)
		return nil, peer.ToTwirp(fault.New(fault.ForeignData, "replica: received a message of cluster %q, own cluster is %q", req.Cluster, r.cluster))
	}
	d := &delivery{from: req.From, messages: req.Messages}
	if req.WantReplies {
		d.replies = make(chan []*peer.RaftMessage, 1)
	}
	response := &peer.DeliverResponse{}
	if !r.enqueueDelivery(d) || d.replies == nil {
		return response, nil
	}
	select {
	case response.Messages = <-d.replies:
	case <-ctx.Done():
	case <-r.done:
	}
	return response, nil
}

// enqueueReplies queues messages from the response to a message of this
// replica.
func (r *Replica) enqueueReplies(messages []*peer.RaftMessage) {
	r.enqueueDelivery(&delivery{messages: messages})
}

func (r *Replica) enqueueDelivery(d *delivery) bool {
	select {
	case r.messages <- d:
		return true
	default:
		r.metrics.ignored("queue_full").Inc(int64(len(d.messages)))
		return false
	}
}

// receive steps the messages of a delivery.
func (w *worker) receive(d *delivery) {
	for _, m := range d.messages {
		w.outbox.recordLeaderAddress(m)
		w.step(raft.Receive{Message: m})
	}
	if d.replies != nil {
		w.deliveries = append(w.deliveries, d)
	}
}

// answerDeliveries returns the messages for waiting senders in the responses to
// their calls, and sends the rest by the transport.
func (w *worker) answerDeliveries() {
	for _, d := range w.deliveries {
		d.replies <- w.outbox.remove(d.from)
	}
	w.deliveries = w.deliveries[:0]
	w.outbox.flush()
}
