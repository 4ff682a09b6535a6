package raft

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// transfer is a leadership transfer under way. Proposals are refused until it
// ends, so that the target can catch up.
type transfer struct {
	to    uint64
	until time.Duration
}

func (r *Raft) beginTransfer(to uint64) {
	switch {
	case r.role != Leader:
		r.out.Refused = NotLeader
		return
	case r.transfer.to != 0:
		r.out.Refused = Transferring
		return
	}
	var best *progress
	r.eachPeer(func(p *progress) {
		if !r.isVoter(p.id) || !r.isRecent(p) || to != 0 && p.id != to {
			return
		}
		if best == nil || p.match > best.match {
			best = p
		}
	})
	if best == nil {
		r.out.Refused = NoTarget
		return
	}
	r.transfer = transfer{to: best.id, until: r.now + r.cfg.ElectionTimeoutMax}
	r.continueTransfer(best)
}

// continueTransfer tells the target to campaign once it has all entries.
func (r *Raft) continueTransfer(p *progress) {
	if p.id == r.transfer.to && p.match == r.log.last() {
		r.send(&peer.RaftMessage{Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, To: p.id})
	}
}

// IsTransferring says whether a leadership transfer is under way.
func (r *Raft) IsTransferring() bool { return r.role == Leader && r.transfer.to != 0 }

func (r *Raft) expireTransfer() {
	if r.transfer.to != 0 && (r.now >= r.transfer.until || !r.isVoter(r.transfer.to)) {
		r.transfer = transfer{}
	}
}

func (r *Raft) onTimeoutNow(m *peer.RaftMessage) {
	if r.role == Leader || m.From != r.leader || !r.isVoter(r.cfg.ID) {
		return
	}
	r.force = true
	r.campaign()
}
