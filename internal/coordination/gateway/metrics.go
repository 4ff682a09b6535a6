package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/pool"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// metrics are the gauges, counters and histograms of a gateway. The values of the
// labels are kinds and reasons from closed lists.
type metrics struct {
	scope          tally.Scope
	waiting        tally.Gauge
	inFlight       tally.Gauge
	timeToFirst    map[catalog.Kind]tally.Histogram
	timeToComplete map[catalog.Kind]tally.Histogram
	queueWait      map[catalog.Kind]tally.Histogram
	attemptTime    map[catalog.Kind]tally.Histogram
	retryAfter     tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope: scope, waiting: scope.Gauge("requests_waiting"), inFlight: scope.Gauge("requests_in_flight"),
		timeToFirst: map[catalog.Kind]tally.Histogram{}, timeToComplete: map[catalog.Kind]tally.Histogram{}, queueWait: map[catalog.Kind]tally.Histogram{},
		attemptTime: map[catalog.Kind]tally.Histogram{},
	}
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)
	m.retryAfter = scope.Histogram("retry_after_seconds", buckets)
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming} {
		tagged := scope.Tagged(map[string]string{"kind": kind.String()})
		m.timeToFirst[kind] = tagged.Histogram("first_answer_seconds", buckets)
		m.timeToComplete[kind] = tagged.Histogram("whole_answer_seconds", buckets)
		m.queueWait[kind] = tagged.Histogram("queue_seconds", buckets)
		m.attemptTime[kind] = tagged.Histogram("backend_server_seconds", buckets)
	}
	return m
}

// updateSizes sets the gauges of how well the sizes that callers give predict the work,
// by service.
func (m *metrics) updateSizes(estimates map[string]pool.SizeEstimate) {
	for service, e := range estimates {
		tagged := m.scope.Tagged(map[string]string{"service": service})
		tagged.Gauge("size_hint_trust").Update(e.Trust)
		tagged.Gauge("size_estimate_error").Update(e.Error)
	}
}

// count increments the counter with the given reason label.
func (m *metrics) count(name, reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}
