/*
Package metrics exports tally metrics in the Prometheus text format.

Components record metrics in a tally.Scope that is passed to their constructors.
A [Reporter] aggregates what the scope reports and serves it on /metrics.

	scope, reporter, closer := metrics.New("entry")
	defer closer.Close()
	scope.Tagged(map[string]string{"reason": kind.String()}).Counter("refusals").Inc(1)
*/
package metrics

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often a scope reports its values, and thus the maximum
// age of scraped values.
const reportInterval = 200 * time.Millisecond

// New returns the root scope of a process, its reporter, and a closer that stops
// the reporting.
func New(role string) (tally.Scope, *Reporter, io.Closer) {
	r := &Reporter{series: map[string]*series{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "oleanderrack",
		Separator:              "_",
		Tags:                   map[string]string{"role": role},
		Reporter:               r,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, r, closer
}

// Reporter aggregates metrics and writes them as text. It is safe for concurrent
// use.
type Reporter struct {
	mu     sync.Mutex
	series map[string]*series
}

type series struct {
	name    string
	labels  string
	kind    string
	value   float64
	buckets map[float64]int64
}

var _ tally.StatsReporter = (*Reporter)(nil)

// ReportCounter adds to a counter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.update(name, "counter", tags, func(s *series) { s.value += float64(value) })
}

// ReportGauge sets a gauge.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.update(name, "gauge", tags, func(s *series) { s.value = value })
}

// ReportTimer adds the duration in seconds to the counter name_seconds_sum, and 1
// to the counter name_seconds_count.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.update(name+"_seconds_sum", "counter", tags, func(s *series) { s.value += interval.Seconds() })
	r.update(name+"_seconds_count", "counter", tags, func(s *series) { s.value++ })
}

// ReportHistogramValueSamples adds samples to a bucket.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	if upper >= math.MaxFloat64 {
		upper = math.Inf(1)
	}
	r.update(name, "histogram", tags, func(s *series) { s.buckets[upper] += samples })
}

// ReportHistogramDurationSamples adds samples to a bucket, whose bounds are
// converted to seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, b tally.Buckets, lower, upper time.Duration, samples int64) {
	bound := upper.Seconds()
	if upper == time.Duration(math.MaxInt64) {
		bound = math.Inf(1)
	}
	r.ReportHistogramValueSamples(name, tags, b, lower.Seconds(), bound, samples)
}

// Capabilities returns the reporter itself, which supports reporting and tags.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Reporter) Tagging() bool { return true }

// Flush does nothing, because the reporter keeps all values.
func (r *Reporter) Flush() {}

// ServeHTTP writes all series in the Prometheus text format.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	io.WriteString(w, r.Text())
}

// Text returns all series in the Prometheus text format, sorted.
func (r *Reporter) Text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]string, 0, len(r.series))
	for key := range r.series {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var b strings.Builder
	last := ""
	for _, key := range keys {
		s := r.series[key]
		if s.name != last {
			fmt.Fprintf(&b, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}
		s.write(&b)
	}
	return b.String()
}

func (r *Reporter) update(name, kind string, tags map[string]string, change func(*series)) {
	labels := labelText(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[name+labels]
	if s == nil {
		s = &series{name: name, labels: labels, kind: kind, buckets: map[float64]int64{}}
		r.series[name+labels] = s
	}
	change(s)
}

func (s *series) write(b *strings.Builder) {
	if s.kind != "histogram" {
		fmt.Fprintf(b, "%s{%s} %v\n", s.name, s.labels, s.value)
		return
	}
	bounds := make([]float64, 0, len(s.buckets))
	for bound := range s.buckets {
		bounds = append(bounds, bound)
	}
	slices.Sort(bounds)
	var total int64
	for _, bound := range bounds {
		total += s.buckets[bound]
		if !math.IsInf(bound, 1) {
			fmt.Fprintf(b, "%s_bucket{%s,le=\"%v\"} %d\n", s.name, s.labels, bound, total)
		}
	}
	fmt.Fprintf(b, "%s_bucket{%s,le=\"+Inf\"} %d\n%s_count{%s} %d\n", s.name, s.labels, total, s.name, s.labels, total)
}

func labelText(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for name, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", name, value))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}
