package registrar

import (
	"context"
	"maps"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times of the bootstrap of a group.
const (
	// bootstrapDelay is how long all seeds must have listed the same founders. The
	// hosts of a new system start within a third of a second.
	bootstrapDelay = 1500 * time.Millisecond
	// initialVotersTimeout is how long a new group waits for all its voters before
	// it accepts its first catalog without them. A promotion takes a quarter of a
	// second.
	initialVotersTimeout = 6 * time.Second
	// seedQueryInterval is the time between two queries of the seeds.
	seedQueryInterval = 150 * time.Millisecond
)

// shouldBootstrap reports whether this registrar bootstraps the group. In a new
// system, the registrars with a disk register as founders at all seeds. Once all
// seeds list the same founders, the one with the lowest address bootstraps the
// group and the others join it.
func (r *Registrar) shouldBootstrap(ctx context.Context) bool {
	if id, err := wal.ReplicaID(r.cfg.Folder); (err == nil && id != 0) || !r.cfg.Bootstrap {
		return false // a folder that cannot be read now may still be new
	}
	var last []string
	since := time.Now()
	for ctx.Err() == nil {
		founders, complete := r.querySeeds(ctx)
		switch {
		case complete && founders == nil:
			return false // there is a group
		case !complete || !slices.Equal(founders, last):
			last, since = founders, time.Now()
		case time.Since(since) >= bootstrapDelay:
			r.log.Info("all seeds list the same founders", "founders", founders, "first", founders[0] == r.cfg.Address)
			return founders[0] == r.cfg.Address
		}
		select {
		case <-ctx.Done():
		case <-time.After(seedQueryInterval):
		}
	}
	return false
}

// querySeeds registers this registrar at all seeds. The result is complete if all
// seeds list the same founders, or, without founders, if a seed reports a group.
func (r *Registrar) querySeeds(ctx context.Context) (founders []string, complete bool) {
	for i, seed := range r.cfg.Seeds() {
		listed, err := r.querySeed(ctx, seed)
		switch {
		case err != nil:
			return nil, false
		case listed == nil:
			return nil, true
		case i > 0 && !slices.Equal(listed, founders):
			return nil, false
		}
		founders = listed
	}
	return founders, founders != nil
}

func (r *Registrar) querySeed(ctx context.Context, seed string) ([]string, error) {
	self := &peer.Member{Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain}
	if seed == r.cfg.Address {
		return r.recordFounder(self), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := r.directoryClient(seed).Join(ctx, &peer.JoinRequest{Member: self})
	if err != nil {
		return nil, err
	}
	return res.Founders, nil
}

// recordFounder records a registrar without an id and returns all founders. It
// returns nil if there is a group, or if the registrar has an id.
func (r *Registrar) recordFounder(m *peer.Member) []string {
	if m.Id != 0 || r.leaderAddress() != "" || len(r.supervisor.status().Members) > 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.founders[m.Address] = true
	return slices.Sorted(maps.Keys(r.founders))
}

// checkInitialVoters returns an error while a new group lacks the voters that it
// needs to keep acknowledged changes when hosts are lost, but not after
// initialVotersTimeout.
func (r *Registrar) checkInitialVoters(log *replica.Replica, state *registry.Registry) error {
	st := log.Status()
	voters := 0
	for _, m := range st.Members {
		if m.Voter {
			voters++
		}
	}
	if state.Catalog().Version > 0 || voters >= r.cfg.Voters || time.Since(st.LeaderSince) >= initialVotersTimeout {
		return nil
	}
	return fault.New(fault.Unavailable, "the group has only %d of %d voters", voters, r.cfg.Voters)
}
