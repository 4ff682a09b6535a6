package registrar

import (
	"context"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Times of the membership of registrars.
const (
	// membershipInterval is the time between two checks of the group's members. A
	// registrar that has lost its disk should be a voter again within four
	// seconds.
	membershipInterval = 250 * time.Millisecond
	// replaceVoterAfter is how long a voter must be silent before a member that
	// has caught up replaces it. It is longer than an election and a short freeze.
	replaceVoterAfter = 1500 * time.Millisecond
	// removeLearnerAfter is how long a learner may be silent before it is removed.
	removeLearnerAfter = 20 * time.Second
)

// maintainMembership joins the group while this registrar is not a member, and
// replaces lost members while it is the leader.
func (r *Registrar) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	silentSince := map[uint64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := r.supervisor.status()
		if st.ID == 0 {
			continue
		}
		if !st.IsLeader {
			clear(silentSince)
			if needsJoin(st) {
				r.join(ctx, st.ID)
			}
			continue
		}
		recordSilence(silentSince, st, time.Now())
		if change := nextMemberChange(st, silentSince, r.cfg.Voters, time.Now()); change != nil {
			r.changeMember(ctx, change)
		}
	}
}

// needsJoin reports whether a replica should ask to join: it does not find itself
// among the members, or has no leader, as after its removal.
func needsJoin(st replica.Status) bool {
	return st.Leader == 0 || !slices.ContainsFunc(st.Members, func(m *peer.Member) bool { return m.Id == st.ID })
}

// recordSilence records since when each member has been silent.
func recordSilence(silentSince map[uint64]time.Time, st replica.Status, now time.Time) {
	listed := map[uint64]bool{}
	for _, m := range st.Members {
		listed[m.Id] = true
		if m.Id == st.ID || slices.Contains(st.RecentlyActive, m.Id) {
			delete(silentSince, m.Id)
		} else if _, ok := silentSince[m.Id]; !ok {
			silentSince[m.Id] = now
		}
	}
	for id := range silentSince {
		if !listed[id] {
			delete(silentSince, id)
		}
	}
}

// nextMemberChange returns the next member change that a leader should make, or
// nil. A voter is removed only while there is a learner to replace it, so that
// the loss of a host without a replacement never shrinks the group.
func nextMemberChange(st replica.Status, silentSince map[uint64]time.Time, voters int, now time.Time) *peer.ChangeMemberRequest {
	var learner, lost *peer.Member
	count := 0
	for _, m := range st.Members {
		since, isSilent := silentSince[m.Id]
		switch {
		case m.Voter:
			count++
			if isSilent && now.Sub(since) >= replaceVoterAfter && (lost == nil || silentSince[lost.Id].After(since)) {
				lost = m
			}
		case isSilent && now.Sub(since) >= removeLearnerAfter:
			return &peer.ChangeMemberRequest{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: m}
		case !isSilent && (learner == nil || votersInDomainOf(st.Members, m) < votersInDomainOf(st.Members, learner)):
			learner = m
		}
	}
	if learner == nil {
		return nil
	}
	if replaced := voterWithSameAddress(st.Members, learner); replaced != nil {
		// A learner at the address of a voter means that the voter's disk was lost.
		lost = replaced
	}
	switch {
	case count < voters:
		return &peer.ChangeMemberRequest{Action: peer.ChangeMemberRequest_ACTION_PROMOTE, Member: learner}
	case lost != nil:
		return &peer.ChangeMemberRequest{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: lost}
	}
	return nil
}

// votersInDomainOf counts the voters in a member's failure domain. The loss of a
// failure domain should cost as few votes as possible.
func votersInDomainOf(members []*peer.Member, of *peer.Member) int {
	n := 0
	for _, m := range members {
		if m.Voter && m.FailureDomain == of.FailureDomain {
			n++
		}
	}
	return n
}

func voterWithSameAddress(members []*peer.Member, learner *peer.Member) *peer.Member {
	for _, m := range members {
		if m.Voter && m.Address == learner.Address && m.Id != learner.Id {
			return m
		}
	}
	return nil
}

func (r *Registrar) changeMember(ctx context.Context, req *peer.ChangeMemberRequest) {
	log, _, err := r.supervisor.get()
	if err != nil {
		return // the log has just been closed, so another replica is the leader
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err = log.ChangeMember(ctx, req)
	r.log.Info("member change", "action", req.Action.String(), "member", req.Member.Id, "address", req.Member.Address, "error", err)
}

// join asks the other registrars in turn to add this one to the group,
// until one has done so.
func (r *Registrar) join(ctx context.Context, id uint64) {
	member := &peer.Member{Id: id, Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain}
	for _, address := range r.peerAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.directoryClient(address).Join(callCtx, &peer.JoinRequest{Member: member})
		cancel()
		if err == nil {
			r.log.Info("joined", "replica", id, "through", address)
			return
		}
		r.log.Debug("join failed", "through", address, "error", err)
	}
}
