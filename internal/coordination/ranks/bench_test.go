package ranks

import (
	"math/rand/v2"
	"testing"

	"oleanderrack.example/oleanderrack/internal/coordination/rebalance"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

func BenchmarkOld(b *testing.B) {
	for name, c := range map[string]struct{ sets, experts, ranks int }{"16x24x96": {16, 96, 24}, "12x32x128": {12, 128, 32}} {
		b.Run(name, func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			spec := catalog.Experts{Sets: c.sets, ExpertsPerSet: c.experts, Slots: 10, MaxExpertsPerRank: 5, MaxNewExperts: 2}
			p := newPopularity()
			p.sets = make([]rebalance.Popularity, c.sets)
			m := make(Map, c.sets)
			for s := range m {
				m[s] = rebalance.FromScratch(nil, c.experts, c.ranks, 5)
				counts := make([]uint64, c.experts)
				for e := range counts {
					counts[e] = uint64(10000 / (1 + float64(r.IntN(c.experts))))
				}
				p.sets[s].SmoothingFactor = 0.6
				p.sets[s].Observe(counts)
			}
			b.ReportAllocs()
			for b.Loop() {
				if pl := p.improve(spec, m, 0.7); pl == nil {
					b.Fatal()
				} else {
					b.ReportMetric(pl.before, "before")
					b.ReportMetric(pl.after, "after")
					b.ReportMetric(float64(pl.copies), "copies")
				}
			}
		})
	}
}
