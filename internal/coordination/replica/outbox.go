package replica

import "oleanderrack.example/oleanderrack/internal/protocol/peer"

// outbox collects messages by receiver, so that one call carries all messages
// for a receiver.
type outbox struct {
	transport Transport
	order     []uint64
	queued    map[uint64][]*peer.RaftMessage
	members   map[uint64]*peer.Member
	// leaderAddresses are the addresses that leaders put into their messages, by
	// id. A new learner has no member list to find them in.
	leaderAddresses map[uint64]*peer.Member
}

func (o *outbox) recordLeaderAddress(m *peer.RaftMessage) {
	if m.Address != "" && o.leaderAddresses[m.From].GetAddress() != m.Address {
		o.leaderAddresses[m.From] = &peer.Member{Id: m.From, Address: m.Address}
	}
}

func (o *outbox) add(w *worker, messages []*peer.RaftMessage) {
	for _, m := range messages {
		to := w.member(m.To)
		if to == nil || !w.fillChunk(m) {
			continue
		}
		if o.queued == nil {
			o.queued, o.members = map[uint64][]*peer.RaftMessage{}, map[uint64]*peer.Member{}
		}
		if o.members[m.To] == nil {
			o.order = append(o.order, m.To)
			o.members[m.To] = to
		}
		o.queued[m.To] = append(o.queued[m.To], m)
	}
}

// remove takes the messages for one receiver out of the outbox.
func (o *outbox) remove(id uint64) []*peer.RaftMessage {
	messages := o.queued[id]
	delete(o.queued, id)
	return messages
}

func (o *outbox) flush() {
	for _, id := range o.order {
		if messages := o.queued[id]; len(messages) > 0 {
			o.transport.Send(o.members[id], messages)
		}
	}
	o.order, o.queued, o.members = nil, nil, nil
}

// fillChunk adds the data to a snapshot message. It returns false if the
// snapshot has been replaced; the algorithm then starts with the newer one.
func (w *worker) fillChunk(m *peer.RaftMessage) bool {
	if m.Type != peer.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT {
		return true
	}
	if m.Snapshot.LastIndex != w.diskSnapshot.index {
		return false
	}
	data, total, err := w.disk.ReadSnapshot(m.Snapshot.LastIndex, m.Snapshot.Offset, w.cfg.Limits.ChunkBytes)
	if err != nil || total != w.diskSnapshot.size {
		w.log.Warn("snapshot was not sent", "index", m.Snapshot.LastIndex, "error", err)
		return false
	}
	m.Snapshot.Data = data
	m.Snapshot.Done = m.Snapshot.Offset+uint64(len(data)) >= total
	if m.Snapshot.Done {
		m.Snapshot.Checksum = w.diskSnapshot.checksum
	}
	return true
}
