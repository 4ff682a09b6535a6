package ranks

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// mapState is the map in use in a group.
type mapState struct {
	epoch   uint64
	version uint64
	content Map
}

// rankExperts are the experts that one rank hosts, by set.
type rankExperts struct {
	version uint64
	sets    [][]int
}

// observePopularity updates the popularity of each service's experts from the counts
// of some ranks of each group.
func (b *Rebalancer) observePopularity(ctx context.Context, groups []Group) {
	read := map[string]map[string]ExpertCounts{}
	for _, g := range groups {
		if read[g.Service] == nil {
			read[g.Service] = map[string]ExpertCounts{}
		}
		b.readCounts(ctx, g.Ranks[:min(sampledRanks, len(g.Ranks))], read[g.Service])
	}
	for service, counts := range read {
		spec, ok := b.cfg.Spec(service)
		if !ok {
			continue
		}
		if b.popularity[service] == nil {
			b.popularity[service] = newPopularity()
		}
		p := b.popularity[service]
		if p.observe(time.Now(), spec, counts) {
			b.scope.Counter("popularity_shifts").Inc(1)
			b.log.Debug("popularity shifts", "service", service, "lifetime_ms", p.shifts.remaining(time.Now()).Milliseconds())
		}
	}
}

// readCounts reads the counts of ranks into read, by rank id.
func (b *Rebalancer) readCounts(ctx context.Context, ranks []Rank, read map[string]ExpertCounts) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, errs := callAll(ranks, func(r Rank) (ExpertCounts, error) { return b.cfg.Client.ExpertCounts(ctx, r) })
	for i, r := range ranks {
		if errs[i] != nil {
			b.log.Debug("expert counts cannot be read", "backend_server", r.ID, "error", errs[i])
			continue
		}
		read[r.ID] = counts[i]
	}
}

// readMap reads the map in use from the ranks, unless the cached one is current. It
// reports whether the cached map is current afterwards.
func (b *Rebalancer) readMap(ctx context.Context, g Group, s *groupState, reports []Report, spec catalog.Experts) bool {
	cached := s.current
	if cached.content != nil && cached.epoch == g.Epoch && cached.version == reports[0].MapVersion {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosted, errs := callAll(g.Ranks, func(r Rank) (rankExperts, error) {
		version, sets, err := b.cfg.Client.Experts(ctx, r)
		return rankExperts{version: version, sets: sets}, err
	})
	content := make(Map, spec.Sets)
	for i, c := range hosted {
		if errs[i] != nil || c.version != reports[0].MapVersion || len(c.sets) != spec.Sets {
			b.log.Debug("expert map cannot be read", "group", g.Name, "backend_server", g.Ranks[i].ID, "version", c.version, "sets", len(c.sets), "error", errs[i])
			return false
		}
		for set := range c.sets {
			content[set] = append(content[set], c.sets[set])
		}
	}
	if err := checkMap(content, spec); err != nil {
		b.scope.Counter("expert_maps_invalid").Inc(1)
		if reason := err.Error(); s.invalidMap != reason {
			s.invalidMap = reason
			b.log.Info("expert map is not used", "group", g.Name, "epoch", g.Epoch, "version", reports[0].MapVersion, "error", reason)
		}
		return false
	}
	s.current = mapState{epoch: g.Epoch, version: reports[0].MapVersion, content: content}
	return true
}

// checkMap returns an error unless each rank hosts different experts of each set, and
// each expert is hosted by a rank. Lists of ranks in trouble may hold other numbers.
func checkMap(m Map, spec catalog.Experts) error {
	for set, hosted := range m {
		found := make([]int, spec.ExpertsPerSet) // ranks that host it
		for rank, experts := range hosted {
			if len(experts) > spec.ExpertsPerSet {
				return errors.Newf("rank %d lists %d experts of set %d, which has %d", rank, len(experts), set, spec.ExpertsPerSet)
			}
			for i, e := range experts {
				if e < 0 || e >= spec.ExpertsPerSet {
					return errors.Newf("rank %d lists expert %d of set %d, which has %d", rank, e, set, spec.ExpertsPerSet)
				}
				if slices.Contains(experts[:i], e) {
					return errors.Newf("rank %d lists expert %d of set %d twice", rank, e, set)
				}
				found[e]++
			}
		}
		if e := slices.Index(found, 0); e >= 0 {
			return errors.Newf("no rank lists expert %d of set %d", e, set)
		}
	}
	return nil
}

// readReports reads the reports of all ranks concurrently. It returns false if any
// read fails.
func (b *Rebalancer) readReports(ctx context.Context, g Group, s *groupState) ([]Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reports, errs := callAll(g.Ranks, func(r Rank) (Report, error) { return b.cfg.Client.Report(ctx, r) })
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		b.log.Debug("report cannot be read", "group", g.Name, "backend_server", g.Ranks[i].ID, "error", errs[i])
		return nil, false
	}
	s.passes.observe(time.Now(), g.Epoch, reports[0].Pass)
	return reports, true
}

// callAll calls all ranks concurrently.
func callAll[T any](ranks []Rank, call func(Rank) (T, error)) ([]T, []error) {
	answers, errs := make([]T, len(ranks)), make([]error, len(ranks))
	var group sync.WaitGroup
	for i, r := range ranks {
		group.Go(func() { answers[i], errs[i] = call(r) })
	}
	group.Wait()
	return answers, errs
}
