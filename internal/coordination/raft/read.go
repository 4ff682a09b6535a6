package raft

import "time"

// maxRoundStarts limits the memory for start times of rounds. A reply to an older
// round still confirms reads, but does not count as a recent contact.
const maxRoundStarts = 1024

type roundStart struct {
	round uint64
	at    time.Duration
}

// pendingRead waits for a quorum of replies to a round that began after the read
// arrived.
type pendingRead struct{ id, round uint64 }

func (r *Raft) readIndex(id uint64) {
	if r.role != Leader {
		r.effects.UnconfirmedReads = append(r.effects.UnconfirmedReads, id)
		return
	}
	r.pendingReads = append(r.pendingReads, pendingRead{id: id, round: r.round + 1})
}

// beginRound starts a round of heartbeats.
func (r *Raft) beginRound() {
	r.round++
	r.roundStarts = append(r.roundStarts, roundStart{round: r.round, at: r.now})
	if len(r.roundStarts) > maxRoundStarts {
		r.roundStarts = append([]roundStart(nil), r.roundStarts[maxRoundStarts/2:]...)
	}
	r.nextHeartbeat = r.now + r.cfg.HeartbeatInterval
	r.forEachPeer(r.sendHeartbeat)
}

// recordContact records a member's reply to a round. The time of the contact is
// the start of the round and not the arrival of the reply, since the reply may
// have been buffered in between.
func (r *Raft) recordContact(p *progress, round uint64) {
	if round <= p.round || round > r.round {
		return
	}
	p.round = round
	for i := len(r.roundStarts) - 1; i >= 0; i-- {
		if r.roundStarts[i].round == round {
			p.lastContact = max(p.lastContact, r.roundStarts[i].at)
			return
		}
	}
}

func (r *Raft) isRecentlyActive(p *progress) bool {
	return r.now-p.lastContact < r.cfg.ElectionTimeoutMax
}

// RecentlyActive returns the other members that have replied to the leader within
// an election timeout. It is empty if this replica is not the leader.
func (r *Raft) RecentlyActive() []uint64 {
	if r.role != Leader {
		return nil
	}
	var active []uint64
	for id, p := range r.peers {
		if r.isRecentlyActive(p) {
			active = append(active, id)
		}
	}
	return active
}

// confirmedRound returns the last round to which a majority of voters replied.
func (r *Raft) confirmedRound() uint64 {
	var rounds []uint64
	for _, m := range r.Members() {
		switch {
		case !m.Voter:
		case m.Id == r.cfg.ID:
			rounds = append(rounds, r.round)
		default:
			rounds = append(rounds, r.peers[m.Id].round)
		}
	}
	return nthLargest(rounds, r.quorum())
}

// confirmReads confirms pending reads, and begins a round for those that arrived
// after the last round began. Apart from the heartbeats, only one round is in
// progress at a time, so all reads that arrive during it share the next one.
func (r *Raft) confirmReads() {
	if len(r.pendingReads) == 0 {
		return
	}
	confirmed := r.confirmedRound()
	if confirmed == r.round && r.pendingReads[len(r.pendingReads)-1].round > r.round {
		r.beginRound()
		confirmed = r.confirmedRound()
	}
	if r.commitIndex < r.termStart {
		return
	}
	answered := 0
	for answered < len(r.pendingReads) && r.pendingReads[answered].round <= confirmed {
		r.effects.ConfirmedReads = append(r.effects.ConfirmedReads,
			ConfirmedRead{ID: r.pendingReads[answered].id, Index: r.commitIndex, Term: r.hard.Term})
		answered++
	}
	r.pendingReads = r.pendingReads[answered:]
}

// checkQuorum steps down if no majority has replied for one election timeout, so
// that a partitioned leader does not continue to lead.
func (r *Raft) checkQuorum() {
	if r.role != Leader {
		return
	}
	var contacts []time.Duration
	for _, m := range r.Members() {
		switch {
		case !m.Voter:
		case m.Id == r.cfg.ID:
			contacts = append(contacts, r.now)
		default:
			contacts = append(contacts, r.peers[m.Id].lastContact)
		}
	}
	if r.now-nthLargest(contacts, r.quorum()) >= r.cfg.ElectionTimeoutMax {
		r.becomeFollower(r.hard.Term, 0)
	}
}
