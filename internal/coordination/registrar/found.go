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

// Times of the founding.
const (
	// foundAfter is how long the founders must have been the same at all seeds:
	// the hosts of a new system start within a third of a second.
	foundAfter = 1500 * time.Millisecond
	// formTime is how long a new group waits for its voters before it takes its
	// first catalog all the same. A promotion takes a quarter of a second.
	formTime = 6 * time.Second
	// foundInterval is the time between two questions to the seeds.
	foundInterval = 150 * time.Millisecond
)

// shouldFound says whether this registrar founds the group. In a new system,
// those with a disk make themselves known at all seeds, and the one with the
// lowest address founds the group once all seeds know the same ones. The others
// join it.
func (r *Registrar) shouldFound(ctx context.Context) bool {
	if id, err := wal.ReplicaID(r.cfg.Folder); (err == nil && id != 0) || !r.cfg.Bootstrap {
		return false // a folder that cannot be read now may still be new
	}
	var last []string
	since := time.Now()
	for ctx.Err() == nil {
		founders, complete := r.askSeeds(ctx)
		switch {
		case complete && founders == nil:
			return false // there is a group
		case !complete || !slices.Equal(founders, last):
			last, since = founders, time.Now()
		case time.Since(since) >= foundAfter:
			r.log.Info("founders are known", "founders", founders, "first", founders[0] == r.cfg.Address)
			return founders[0] == r.cfg.Address
		}
		select {
		case <-ctx.Done():
		case <-time.After(foundInterval):
		}
	}
	return false
}

// askSeeds makes this registrar known at all seeds and returns the founders, if
// all seeds name the same ones, or nil if one knows of a group.
func (r *Registrar) askSeeds(ctx context.Context) (founders []string, complete bool) {
	for i, seed := range r.cfg.Seeds() {
		named, err := r.askSeed(ctx, seed)
		switch {
		case err != nil:
			return nil, false
		case named == nil:
			return nil, true
		case i > 0 && !slices.Equal(named, founders):
			return nil, false
		}
		founders = named
	}
	return founders, founders != nil
}

func (r *Registrar) askSeed(ctx context.Context, seed string) ([]string, error) {
	self := &peer.Member{Address: r.cfg.Address, FailureDomain: r.cfg.FailureDomain}
	if seed == r.cfg.Address {
		return r.noteFounder(self), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := r.peer(seed).Join(ctx, &peer.JoinRequest{Member: self})
	if err != nil {
		return nil, err
	}
	return res.Founders, nil
}

// noteFounder notes a registrar without an id, and returns all that are known;
// it returns nil if there is a group, or if the registrar has an id.
func (r *Registrar) noteFounder(m *peer.Member) []string {
	if m.Id != 0 || r.leaderAddress() != "" || len(r.core.status().Members) > 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.founders[m.Address] = true
	return slices.Sorted(maps.Keys(r.founders))
}

// isFormed says whether a new group has the voters that keep what it
// acknowledges when hosts are lost.
func (r *Registrar) isFormed(log *replica.Replica, state *registry.Registry) error {
	st := log.Status()
	voters := 0
	for _, m := range st.Members {
		if m.Voter {
			voters++
		}
	}
	if state.Catalog().Version > 0 || voters >= r.cfg.Voters || time.Since(st.LeaderSince) >= formTime {
		return nil
	}
	return fault.New(fault.Unavailable, "the group has %d of %d voters yet", voters, r.cfg.Voters)
}
