package raft

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// transfer is a leadership transfer in progress. Proposals are refused until it
// ends, so that the target can catch up.
type transfer struct {
	target   uint64
	deadline time.Duration
}

func (r *Raft) beginTransfer(to uint64) {
	switch {
	case r.role != Leader:
		r.effects.Refused = NotLeader
		return
	case r.transfer.target != 0:
		r.effects.Refused = Transferring
		return
	}
	var best *progress
	r.forEachPeer(func(p *progress) {
		if !r.isVoter(p.id) || !r.isRecentlyActive(p) || to != 0 && p.id != to {
			return
		}
		if best == nil || p.match > best.match {
			best = p
		}
	})
	if best == nil {
		r.effects.Refused = NoTarget
		return
	}
	r.transfer = transfer{target: best.id, deadline: r.now + r.cfg.ElectionTimeoutMax}
	r.continueTransfer(best)
}

// continueTransfer asks the target to campaign once it has all entries.
func (r *Raft) continueTransfer(p *progress) {
	if p.id == r.transfer.target && p.match == r.log.lastIndex() {
		r.send(&peer.RaftMessage{Type: peer.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, To: p.id})
	}
}

// IsTransferring reports whether a leadership transfer is in progress.
func (r *Raft) IsTransferring() bool { return r.role == Leader && r.transfer.target != 0 }

func (r *Raft) expireTransfer() {
	if r.transfer.target != 0 && (r.now >= r.transfer.deadline || !r.isVoter(r.transfer.target)) {
		r.transfer = transfer{}
	}
}

func (r *Raft) onTimeoutNow(m *peer.RaftMessage) {
	if r.role == Leader || m.From != r.leader || !r.isVoter(r.cfg.ID) {
		return
	}
	r.forced = true
	r.campaign()
}
