package ranks

import (
	"syscall"
	"testing"
	"time"
)

// BenchmarkPlan measures the plan of a change after a shift of popularity, for the
// decision without costs and for that on steps, which knows eight popularities seen
// earlier. A registrar has half a core, and a slow plan delays the change.
func BenchmarkPlan(b *testing.B) {
	sizes := deployments()
	large := sizes["150 MB experts"]
	large.spec.Sets, large.spec.ExpertsPerSet, large.ranks = 8, 252, 63
	sizes["63 ranks"] = large
	for _, name := range []string{"420 MB experts", "32 ranks", "63 ranks"} {
		d := sizes[name]
		d.topicWeight = 0.35
		t := newTopics(1, d.spec, d.topicWeight)
		p := newPopularity()
		now, counts := time.Unix(1000, 0), emptyCounts(d.spec)
		current := startMap(d, t)
		for i := range 200 {
			if i%25 == 0 && i > 0 {
				t.shift()
			}
			addCounts(counts, t.sample(13))
			now = now.Add(150 * time.Millisecond)
			p.observe(now, d.spec, map[string]ExpertCounts{"r": {Sets: clone(counts)}})
		}
		for way, plan := range map[string]decide{"once": decideOnce(d), "steps": decideStep(d, 150*time.Millisecond)} {
			b.Run(name+"/"+way, func(b *testing.B) {
				b.ReportAllocs()
				begin := cpuTime()
				for b.Loop() {
					chosen := plan(p, now, current)
					if chosen == nil {
						b.Fatal("no change is planned")
					}
					b.ReportMetric(float64(chosen.copies), "copies")
				}
				b.ReportMetric(float64(cpuTime()-begin)/float64(b.N)/1e6, "cpu-ms/op")
			})
		}
	}
}

// cpuTime returns the processor time of the process, which other processes on the
// machine affect less than the time on the clock.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
