package pool

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const (
	// meanWeight is the weight of a new observation in a service's means, an
	// average over about 20 requests.
	meanWeight = 0.05
	// budgetMargin is the part of the retry budget that is used. The rest covers
	// entries whose windows begin at other moments.
	budgetMargin = 0.8
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 4096
	// arrivalWindow is the window over which the rate of new requests is measured.
	arrivalWindow = time.Second
	// maxUnevenness bounds the part of the requests that an entry is taken to have,
	// as a multiple of an even part. Callers are spread by a hash of a few hundred.
	maxUnevenness = 3
	// unservableWait bounds the expected wait. It is that of a request that is
	// always overtaken by others, and of any request while the queue is full.
	unservableWait = time.Hour
	// minRetryAfter is the least retry delay returned to refused callers, and
	// maxRetryAfter the longest one to callers without a deadline.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// service is the queue of one service and the measurements of its requests.
type service struct {
	spec            catalog.Service
	servers         []*server
	queue           []*Request    // in the order of compareRequests
	meanTimeToFirst time.Duration // mean time from sending to the first answer
	meanHeld        time.Duration
	onTimeArrivals  priorityWindows // new requests that could be served on time
	lateStarts      priorityWindows // requests that started too late to be served on time
	starts          priorityWindows
	firstAttempts   window
	retries         window
	sizes           workModel
	shares          map[int]*accountShares // by priority
	classes         classes
	returns         returnSchedule
	medianLatency   time.Duration // of the backend servers; 0 if it is not known
	ignoreTrust     bool          // too many backend servers are suspect
	prefixes        prefixes
}

func (s *service) setSpec(spec *catalog.Service, ok bool) {
	if ok {
		s.spec = *spec
	}
}

// observe updates the mean time that answered requests are held by a backend
// server.
func (s *service) observe(result Result, held time.Duration) {
	if result != Answered {
		return
	}
	s.meanHeld = updateMean(s.meanHeld, held)
}

func updateMean(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(meanWeight*float64(value-mean))
}

// expectedHold is how long a backend server holds a request: the mean of those
// that have ended, or the time given by the catalog as long as there is none.
func (s *service) expectedHold() time.Duration {
	if s.meanHeld > 0 {
		return s.meanHeld
	}
	return s.catalogHold()
}

// outlastsExchange reports whether requests are held for longer than the time between
// two exchanges of loads. Only then do the loads of other entries say what is free now,
// and quotas are of use: requests of 30 ms have ended long before they are reported, and
// a few of them would close a backend server to all entries whose quota is 0.
func (s *service) outlastsExchange() bool {
	hold := s.expectedHold()
	return hold == 0 || hold >= exchangeInterval
}

// catalogHold is how long a request is held according to the catalog, or 0 if it
// does not say so.
func (s *service) catalogHold() time.Duration {
	e := s.spec.Engine
	if e == nil || e.StepsPerPass == 0 {
		return 0
	}
	return time.Duration(e.MeanAnswerTokens/e.StepsPerPass) * passTime(e, e.Slots)
}

// mayStartLate reports whether a request that can no longer be served on time may
// take a free slot. The slots that on-time requests need at their current rate are
// kept for them: otherwise the backlog of an interruption takes every slot when
// service resumes, and all requests after it are late as well.
func (p *Pool) mayStartLate(now time.Time, svc *service, r *Request) bool {
	slots, hold := p.capacity(now, svc, r.TargetGap)
	// Within the time that a request is held, every slot becomes free once.
	// Slots are not kept for requests that are less urgent.
	needed := svc.arrivalRate(now, r.Priority) * hold.Seconds()
	spare := float64(slots)*svc.slotShare(p.entries) - needed
	return float64(svc.lateStarts.sum(now, hold, minPriority, r.Priority)) < spare
}

// slotShare is this entry's part of all slots: its part of the requests that are
// running, which is not even, within bounds. Peer loads are known too late to
// go without bounds, above all when service resumes.
func (s *service) slotShare(entries int) float64 {
	even := 1 / float64(entries)
	own, all := s.running()
	if all == 0 {
		return even
	}
	return min(1, maxUnevenness*even, max(even, float64(own)/float64(all)))
}

// capacity returns the number of requests that the backend servers of a service
// process at once, for all entries, and how long each request is held.
func (p *Pool) capacity(now time.Time, svc *service, targetGap time.Duration) (slots int, hold time.Duration) {
	slowness := 0.0
	for _, s := range svc.servers {
		if s.info.Draining || s.misdirected || p.drained[s.info.FailureDomain] {
			continue
		}
		n := s.slots(svc)
		if g := p.groups[s.info.Group]; g != nil {
			if g.broken {
				continue
			}
			n = g.limit(now, svc.spec.Engine, n, targetGap)
			slowness = max(slowness, g.assumedSlowness(now))
		}
		slots += n
	}
	return slots, max(svc.expectedHold(), time.Duration(slowness*float64(svc.catalogHold())))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), float64(unservableWait)))
}

// running returns the number of this entry's requests at backend servers, and
// that of all entries.
func (s *service) running() (own, all int) {
	for _, srv := range s.servers {
		own += srv.inFlight
		all += srv.inFlight + srv.peerLoad
	}
	return own, all
}

func (s *service) countAttempt(now time.Time, isRetry bool) {
	if isRetry {
		s.retries.add(now)
		return
	}
	s.firstAttempts.add(now)
}

// mayRetry limits retries to a share of the first attempts in the window, and
// this entry's part of the slack.
func (s *service) mayRetry(now time.Time, cfg Config, entries int) bool {
	if cfg.RetryWindow == 0 {
		return true
	}
	allowed := cfg.RetryRatio*float64(s.firstAttempts.sum(now, cfg.RetryWindow)) + cfg.RetrySlack/float64(entries)
	return float64(s.retries.sum(now, cfg.RetryWindow)+1) <= budgetMargin*allowed
}

// window counts requests over time, in buckets of bucketLength.
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

// minPriority and maxPriority are those of the most and the least urgent requests.
const (
	minPriority = math.MinInt
	maxPriority = math.MaxInt
)

// priorityWindows counts requests over time, by priority.
type priorityWindows map[int]*window

func (w *priorityWindows) add(now time.Time, priority int) {
	if *w == nil {
		*w = priorityWindows{}
	}
	if (*w)[priority] == nil {
		(*w)[priority] = &window{}
	}
	(*w)[priority].add(now)
}

// sum returns the number of requests from one priority to another within a time.
func (w priorityWindows) sum(now time.Time, length time.Duration, from, to int) int {
	total := 0
	for priority, counts := range w {
		if from <= priority && priority <= to {
			total += counts.sum(now, length)
		}
	}
	return total
}

// rate returns the requests per second from one priority to another in the last
// arrivalWindow.
func (w priorityWindows) rate(now time.Time, from, to int) float64 {
	return float64(w.sum(now, arrivalWindow, from, to)) / arrivalWindow.Seconds()
}
