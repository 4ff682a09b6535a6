package pool

import (
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/pkg/catalog"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// meanWeight is the weight of a new observation in a service's means, an
	// average over about 20 requests.
	meanWeight = 0.05
	// budgetMargin is the part of the retry budget that is used. The rest
	// covers entries that count in windows that begin at other moments.
	budgetMargin = 0.8
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 4096
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// service is the state of one service.
type service struct {
	spec    catalog.Service
	servers []*server
	queue   []*Request // by priority, then arrival
	first   time.Duration
	held    time.Duration
	firsts  window
	repeats window
}

func (s *service) setSpec(spec *catalog.Service, ok bool) {
	if ok {
		s.spec = *spec
	}
}

// observe updates the means with a request that was answered.
func (s *service) observe(result Result, first, held time.Duration) {
	if result != Answered {
		return
	}
	s.first = average(s.first, first)
	s.held = average(s.held, held)
}

func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(meanWeight*float64(value-mean))
}

// enqueue keeps the queue in order of priority and arrival.
func (s *service) enqueue(r *Request) {
	at, _ := slices.BinarySearchFunc(s.queue, r, compare)
	s.queue = slices.Insert(s.queue, at, r)
}

func compare(a, b *Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	switch {
	case a.sequence < b.sequence:
		return -1
	case a.sequence > b.sequence:
		return 1
	}
	return 0
}

func (s *service) remove(r *Request) {
	if i := slices.Index(s.queue, r); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// ahead returns the number of waiting requests that go before r.
func (s *service) ahead(r *Request) int {
	n := 0
	for _, w := range s.queue {
		if w.Priority <= r.Priority {
			n++
		}
	}
	return n
}

// expectedWait is the time until as many requests have ended as are ahead, at
// the pace of this entry's own.
func (s *service) expectedWait(ahead int) time.Duration {
	if len(s.queue) >= maxQueue {
		return time.Hour
	}
	running := s.running()
	if running == 0 || s.held == 0 {
		return 0
	}
	return time.Duration(float64(s.held) * float64(ahead+1) / float64(running))
}

// running is the number of this entry's requests at backend servers.
func (s *service) running() int {
	n := 0
	for _, srv := range s.servers {
		n += srv.inFlight
	}
	return n
}

// refuse returns a refusal with the figures that led to it.
func (s *service) refuse(kind fault.Kind, reason Reason, expected time.Duration) Refuse {
	return Refuse{
		Kind: kind, Reason: reason, RetryAfter: s.retryAfter(),
		Waiting: len(s.queue), Running: s.running(), Expected: expected,
	}
}

// retryAfter is when the queue of now should be served.
func (s *service) retryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, s.expectedWait(len(s.queue))))
}

func (s *service) count(now time.Time, repeat bool) {
	if repeat {
		s.repeats.add(now)
		return
	}
	s.firsts.add(now)
}

// mayRepeat holds repeats to a share of the first requests in the window, and
// this entry's part of the slack.
func (s *service) mayRepeat(now time.Time, cfg Config, entries int) bool {
	if cfg.RetryWindow == 0 {
		return true
	}
	allowed := cfg.RetryRatio*float64(s.firsts.sum(now, cfg.RetryWindow)) + cfg.RetrySlack/float64(entries)
	return float64(s.repeats.sum(now, cfg.RetryWindow)+1) <= budgetMargin*allowed
}

// window counts events in buckets of a tenth of a second.
type window struct {
	buckets map[int64]int
}

const bucketLength = 100 * time.Millisecond

func (w *window) add(now time.Time) {
	if w.buckets == nil {
		w.buckets = map[int64]int{}
	}
	w.buckets[now.UnixNano()/int64(bucketLength)]++
}

func (w *window) sum(now time.Time, length time.Duration) int {
	newest := now.UnixNano() / int64(bucketLength)
	oldest := newest - int64(length/bucketLength)
	total := 0
	for bucket, n := range w.buckets {
		if bucket < oldest {
			delete(w.buckets, bucket)
			continue
		}
		total += n
	}
	return total
}
