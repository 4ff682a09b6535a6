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
	// memberInterval is how often the group is looked after. A registrar that
	// has lost its disk should be a voter again within four seconds.
	memberInterval = 250 * time.Millisecond
	// replaceAfter is how long a voter must be silent before a member that has
	// caught up takes its place: longer than an election and a short freeze.
	replaceAfter = 1500 * time.Millisecond
	// forgetAfter is how long a learner may be silent before it is removed.
	forgetAfter = 20 * time.Second
)

// keepMembers joins the group if this registrar is no part of it, and replaces
// members that are gone while it leads.
func (r *Registrar) keepMembers(ctx context.Context) {
	ticker := time.NewTicker(memberInterval)
	defer ticker.Stop()
	silent := map[uint64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := r.core.status()
		if st.ID == 0 {
			continue
		}
		if !st.IsLeader {
			clear(silent)
			if needsJoin(st) {
				r.join(ctx, st.ID)
			}
			continue
		}
		observe(silent, st, time.Now())
		if change := nextChange(st, silent, r.cfg.Voters, time.Now()); change != nil {
			r.change(ctx, change)
		}
	}
}

// needsJoin says whether a replica should ask for a place: it is no member as
// far as it knows, or has no leader, as after its removal.
func needsJoin(st replica.Status) bool {
	return st.Leader == 0 || !slices.ContainsFunc(st.Members, func(m *peer.Member) bool { return m.Id == st.ID })
}

// observe notes since when each member has been silent.
func observe(silent map[uint64]time.Time, st replica.Status, now time.Time) {
	listed := map[uint64]bool{}
	for _, m := range st.Members {
		listed[m.Id] = true
		if m.Id == st.ID || slices.Contains(st.RecentlyActive, m.Id) {
			delete(silent, m.Id)
		} else if _, ok := silent[m.Id]; !ok {
			silent[m.Id] = now
		}
	}
	for id := range silent {
		if !listed[id] {
			delete(silent, id)
		}
	}
}

// nextChange returns the next change of members that a leader should make, or
// nil. A voter is removed only while a member that can take its place is
// there, so that the group never shrinks for want of one host.
func nextChange(st replica.Status, silent map[uint64]time.Time, voters int, now time.Time) *peer.ChangeMemberRequest {
	var learner, lost *peer.Member
	count := 0
	for _, m := range st.Members {
		since, isSilent := silent[m.Id]
		switch {
		case m.Voter:
			count++
			if isSilent && now.Sub(since) >= replaceAfter && (lost == nil || silent[lost.Id].After(since)) {
				lost = m
			}
		case isSilent && now.Sub(since) >= forgetAfter:
			return &peer.ChangeMemberRequest{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: m}
		case !isSilent && (learner == nil || votersIn(st.Members, m) < votersIn(st.Members, learner)):
			learner = m
		}
	}
	if learner == nil {
		return nil
	}
	if same := sameAddress(st.Members, learner); same != nil {
		// The learner runs on the host of a voter, whose disk is lost then.
		lost = same
	}
	switch {
	case count < voters:
		return &peer.ChangeMemberRequest{Action: peer.ChangeMemberRequest_ACTION_PROMOTE, Member: learner}
	case lost != nil:
		return &peer.ChangeMemberRequest{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: lost}
	}
	return nil
}

// votersIn counts the voters in a member's failure domain. The loss of one
// should cost as few votes as possible.
func votersIn(members []*peer.Member, of *peer.Member) int {
	n := 0
	for _, m := range members {
		if m.Voter && m.FailureDomain == of.FailureDomain {
			n++
		}
	}
	return n
}

func sameAddress(members []*peer.Member, learner *peer.Member) *peer.Member {
	for _, m := range members {
		if m.Voter && m.Address == learner.Address && m.Id != learner.Id {
			return m
		}
	}
	return nil
}

func (r *Registrar) change(ctx context.Context, req *peer.ChangeMemberRequest) {
	log, _, err := r.core.get()
	if err != nil {
		return // the log has just been closed, so another replica leads
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err = log.ChangeMember(ctx, req)
	r.log.Info("member change", "action", req.Action.String(), "member", req.Member.Id, "address", req.Member.Address, "error", err)
}

// join asks the other registrars for a place in the group.
func (r *Registrar) join(ctx context.Context, id uint64) {
	member := &peer.Member{Id: id, Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain}
	for _, address := range r.others() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.peer(address).Join(callCtx, &peer.JoinRequest{Member: member})
		cancel()
		if err == nil {
			r.log.Info("joined", "replica", id, "through", address)
			return
		}
		r.log.Debug("join was not answered", "through", address, "error", err)
	}
}
