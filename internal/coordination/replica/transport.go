package replica

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// sendQueueLength bounds the batches of messages queued for a member.
	sendQueueLength = 128
	// sendTimeout is as long as the longest election timeout. A call takes that
	// long only if the receiver hangs, and its messages are obsolete by then.
	sendTimeout = time.Second
	// maxCoalescedMessages and maxCoalescedBytes are the sizes from which on no
	// further batch is added to a call.
	maxCoalescedMessages = 256
	maxCoalescedBytes    = 4 << 20
)

// HTTPTransport sends messages over twirp. Each member has a bounded queue
// and a goroutine. Messages for a full queue are dropped, so that a slow member
// does not delay the others.
type HTTPTransport struct {
	cluster string
	id      uint64
	client  *http.Client
	scope   tally.Scope
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	senders map[string]*sender
	receive func([]*peer.RaftMessage)
}

// sender is the queue of one address.
type sender struct {
	queue  chan []*peer.RaftMessage
	client peer.Replication
}

var _ ReceivingTransport = (*HTTPTransport)(nil)

// NewTransport returns a transport for one replica. The client adds the
// system's token and has no timeout of its own.
func NewTransport(cluster string, id uint64, client *http.Client, scope tally.Scope) *HTTPTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &HTTPTransport{
		cluster: cluster, id: id, client: client, scope: scope,
		ctx: ctx, cancel: cancel, senders: map[string]*sender{},
	}
}

// Close stops the goroutines and waits for them. Messages sent later are
// dropped.
func (t *HTTPTransport) Close() error {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.group.Wait()
	return nil
}

// Send queues messages for a member, or drops them if its queue is full.
func (t *HTTPTransport) Send(to *peer.Member, messages []*peer.RaftMessage) {
	s := t.sender(to.Address)
	if s == nil {
		return
	}
	select {
	case s.queue <- messages:
	default:
		t.dropped("queue_full").Inc(int64(len(messages)))
	}
}

func (t *HTTPTransport) dropped(reason string) tally.Counter {
	return t.scope.Tagged(map[string]string{"reason": reason}).Counter("raft_messages_dropped")
}

func (t *HTTPTransport) sender(address string) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return nil
	}
	s := t.senders[address]
	if s == nil {
		s = &sender{
			queue:  make(chan []*peer.RaftMessage, sendQueueLength),
			client: peer.NewReplicationProtobufClient(baseURL(address), t.client),
		}
		t.senders[address] = s
		t.group.Go(func() { t.run(s) })
	}
	return s
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

func (t *HTTPTransport) run(s *sender) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case messages := <-s.queue:
			t.deliver(s, s.coalesce(messages))
		}
	}
}

// coalesce appends the batches that are queued, in order.
func (s *sender) coalesce(messages []*peer.RaftMessage) []*peer.RaftMessage {
	joined := append([]*peer.RaftMessage(nil), messages...)
	bytes := messageBytes(messages)
	for len(joined) < maxCoalescedMessages && bytes < maxCoalescedBytes {
		select {
		case more := <-s.queue:
			joined = append(joined, more...)
			bytes += messageBytes(more)
			continue
		default:
		}
		break
	}
	return joined
}

// messageBytes estimates the size of messages from their payload.
func messageBytes(messages []*peer.RaftMessage) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Snapshot.GetData())
		for _, e := range m.Entries {
			bytes += len(e.Data) + entryOverhead
		}
	}
	return bytes
}

func (t *HTTPTransport) deliver(s *sender, messages []*peer.RaftMessage) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	receive := t.receiver()
	response, err := s.client.Deliver(ctx, &peer.DeliverRequest{
		Cluster: t.cluster, From: t.id, Messages: messages, WantReplies: receive != nil,
	})
	if err != nil {
		t.dropped("call_failed").Inc(int64(len(messages)))
		return
	}
	if receive != nil && len(response.Messages) > 0 {
		receive(response.Messages)
	}
}

// SetReceiver sets the function that takes messages from responses.
func (t *HTTPTransport) SetReceiver(receive func([]*peer.RaftMessage)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receive = receive
}

func (t *HTTPTransport) receiver() func([]*peer.RaftMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.receive
}
