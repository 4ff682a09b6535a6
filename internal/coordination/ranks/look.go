package ranks

import (
	"context"
	"slices"
	"sync"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// knownMap is the map that a group uses.
type knownMap struct {
	epoch   uint64
	version uint64
	content Map
}

// knownSets are the experts that one rank carries, by set.
type knownSets struct {
	version uint64
	sets    [][]int
}

// look reads the counts of some ranks of each group.
func (k *Rebalancer) look(ctx context.Context, groups []Group) {
	read := map[string]map[string]ExpertCounts{}
	for _, g := range groups {
		if read[g.Service] == nil {
			read[g.Service] = map[string]ExpertCounts{}
		}
		k.lookAt(ctx, g.Ranks[:min(sampledRanks, len(g.Ranks))], read[g.Service])
	}
	for service, counts := range read {
		spec, ok := k.cfg.Spec(service)
		if !ok {
			continue
		}
		if k.popularity[service] == nil {
			k.popularity[service] = newPopularity()
		}
		k.popularity[service].observe(spec, counts)
	}
}

// lookAt adds the counts of some ranks.
func (k *Rebalancer) lookAt(ctx context.Context, ranks []Rank, read map[string]ExpertCounts) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, errs := each(ranks, func(r Rank) (ExpertCounts, error) { return k.cfg.Client.ExpertCounts(ctx, r) })
	for i, r := range ranks {
		if errs[i] != nil {
			k.log.Debug("counts were not read", "backend_server", r.ID, "error", errs[i])
			continue
		}
		read[r.ID] = counts[i]
	}
}

// learn reads the map in use from the ranks, unless it is known.
func (k *Rebalancer) learn(ctx context.Context, g Group, reports []Report, spec catalog.Experts) bool {
	known := k.maps[g.Name]
	if known.content != nil && known.epoch == g.Epoch && known.version == reports[0].MapVersion {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	carried, errs := each(g.Ranks, func(r Rank) (knownSets, error) {
		version, sets, err := k.cfg.Client.Experts(ctx, r)
		return knownSets{version: version, sets: sets}, err
	})
	content := make(Map, spec.Sets)
	for i, c := range carried {
		if errs[i] != nil || c.version != reports[0].MapVersion || len(c.sets) != spec.Sets {
			k.log.Debug("map was not read", "group", g.Name, "backend_server", g.Ranks[i].ID, "version", c.version, "sets", len(c.sets), "error", errs[i])
			return false
		}
		for set := range c.sets {
			content[set] = append(content[set], c.sets[set])
		}
	}
	k.maps[g.Name] = knownMap{epoch: g.Epoch, version: reports[0].MapVersion, content: content}
	return true
}

// reports reads the reports of all ranks at once.
func (k *Rebalancer) reports(ctx context.Context, g Group) ([]Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reports, errs := each(g.Ranks, func(r Rank) (Report, error) { return k.cfg.Client.Report(ctx, r) })
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		k.log.Debug("report was not read", "group", g.Name, "backend_server", g.Ranks[i].ID, "error", errs[i])
		return nil, false
	}
	return reports, true
}

// each asks all ranks at once.
func each[T any](ranks []Rank, ask func(Rank) (T, error)) ([]T, []error) {
	answers, errs := make([]T, len(ranks)), make([]error, len(ranks))
	var group sync.WaitGroup
	for i, r := range ranks {
		group.Go(func() { answers[i], errs[i] = ask(r) })
	}
	group.Wait()
	return answers, errs
}
