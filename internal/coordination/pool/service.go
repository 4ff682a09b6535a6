package pool

import (
	"cmp"
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
	// askedWindow is the span over which the rate of new requests is taken.
	askedWindow = time.Second
	// unservable is the expected wait of a request that others will always go
	// before.
	unservable = time.Hour
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// service is the state of one service.
type service struct {
	spec    catalog.Service
	servers []*server
	queue   []*Request // in the order of compare
	first   time.Duration
	held    time.Duration
	asked   window // requests that could be served on time
	firsts  window
	repeats window
}

func (s *service) setSpec(spec *catalog.Service, ok bool) {
	if ok {
		s.spec = *spec
	}
}

// observe updates the mean time that requests are held with one that was
// answered.
func (s *service) observe(result Result, held time.Duration) {
	if result != Answered {
		return
	}
	s.held = average(s.held, held)
}

func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(meanWeight*float64(value-mean))
}

// enqueue keeps the queue in the order of compare.
func (s *service) enqueue(r *Request) {
	at, _ := slices.BinarySearchFunc(s.queue, r, compare)
	s.queue = slices.Insert(s.queue, at, r)
}

// order sorts the queue anew if requests can no longer be served on time, and
// returns these.
func (s *service) order(now time.Time) map[*Request]bool {
	var turned map[*Request]bool
	for _, r := range s.queue {
		if r.note(now) {
			if turned == nil {
				turned = map[*Request]bool{}
			}
			turned[r] = true
		}
	}
	if turned != nil {
		slices.SortFunc(s.queue, compare)
	}
	return turned
}

// note notes whether the request can still be served on time, and says whether
// that has just ended.
func (r *Request) note(now time.Time) bool {
	if r.late || r.TargetStart.IsZero() || now.Before(r.TargetStart) {
		return false
	}
	r.late = true
	return true
}

// compare orders requests: by priority, then those that can be served on time,
// then by arrival.
func compare(a, b *Request) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.late != b.late && b.late:
		return -1
	case a.late != b.late:
		return 1
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (s *service) remove(r *Request) {
	if i := slices.Index(s.queue, r); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// ahead returns the number of waiting requests that go before r, which has just
// come.
func (s *service) ahead(r *Request) int {
	n := 0
	for _, w := range s.queue {
		if w.Priority < r.Priority || (w.Priority == r.Priority && (r.late || !w.late)) {
			n++
		}
	}
	return n
}

// expectedWait is the time until as many requests have ended as go before r, at
// the pace of this entry's own requests or of its even part of all, whichever is
// more: entries that send little do not know the pace from their own. One that
// cannot be served on time also waits for those to come that can.
func (s *service) expectedWait(now time.Time, r *Request, ahead, entries int) time.Duration {
	if len(s.queue) >= maxQueue {
		return unservable
	}
	own, all := s.running()
	running := max(float64(own), float64(all)/float64(entries))
	held := s.usualHeld()
	if running == 0 || held == 0 {
		return 0
	}
	pace := running / held.Seconds()
	wait := seconds(float64(ahead+1) / pace)
	if r.TargetStart.IsZero() || (!r.late && now.Add(wait).Before(r.TargetStart)) {
		return wait
	}
	pace -= float64(s.asked.sum(now, askedWindow)) / askedWindow.Seconds()
	if pace <= 0 {
		return unservable
	}
	return seconds(float64(ahead+1) / pace)
}

// usualHeld is how long a backend server holds a request: the mean of those that
// have ended, or by the catalog as long as there is none.
func (s *service) usualHeld() time.Duration {
	e := s.spec.Engine
	if s.held > 0 || e == nil || e.StepsPerPass == 0 {
		return s.held
	}
	return time.Duration(e.UsualAnswerTokens/e.StepsPerPass) * passTime(e, e.Slots)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), float64(unservable)))
}

// running returns the number of this entry's requests at backend servers, and
// that of all entries.
func (s *service) running() (own, all int) {
	for _, srv := range s.servers {
		own += srv.inFlight
		all += srv.inFlight + srv.others
	}
	return own, all
}

// refuse returns a refusal with the figures that led to it.
func (s *service) refuse(now time.Time, r *Request, kind fault.Kind, reason Reason, expected time.Duration, entries int) Refuse {
	own, _ := s.running()
	// When the queue of now should be served.
	room := s.expectedWait(now, r, len(s.queue), entries)
	return Refuse{
		Kind: kind, Reason: reason, RetryAfter: min(maxRetryAfter, max(minRetryAfter, room)),
		Waiting: len(s.queue), Running: own, ExpectedWait: expected,
	}
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
