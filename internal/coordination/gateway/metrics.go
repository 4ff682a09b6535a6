package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// metrics are the counters and histograms of a gateway. Labels are kinds and
// reasons from closed lists.
type metrics struct {
	scope    tally.Scope
	waiting  tally.Gauge
	inFlight tally.Gauge
	first    map[catalog.Kind]tally.Histogram
	whole    map[catalog.Kind]tally.Histogram
	queued   map[catalog.Kind]tally.Histogram
	held     map[catalog.Kind]tally.Histogram // at one backend server
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope: scope, waiting: scope.Gauge("requests_waiting"), inFlight: scope.Gauge("requests_in_flight"),
		first: map[catalog.Kind]tally.Histogram{}, whole: map[catalog.Kind]tally.Histogram{}, queued: map[catalog.Kind]tally.Histogram{},
		held: map[catalog.Kind]tally.Histogram{},
	}
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Streaming} {
		tagged := scope.Tagged(map[string]string{"kind": kind.String()})
		m.first[kind] = tagged.Histogram("first_answer_seconds", buckets)
		m.whole[kind] = tagged.Histogram("whole_answer_seconds", buckets)
		m.queued[kind] = tagged.Histogram("queue_seconds", buckets)
		m.held[kind] = tagged.Histogram("backend_server_seconds", buckets)
	}
	return m
}

// count adds one to a counter with a reason.
func (m *metrics) count(name, reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}
