package routing

import (
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	// reportLag is the age of a load report on arrival: it does not include
	// dispatches of this period before the arrival.
	reportLag = 500 * time.Millisecond
	// spanLength and ringSpans define the ring that counts this entry's
	// dispatches over twice reportLag, for reports that arrive late.
	spanLength = 62500 * time.Microsecond
	ringSpans  = 32
	// levelFull is the load level of a backend server that has no room.
	levelFull = 255
)

// load is the expected load of one backend server.
type load struct {
	// running and tokens are the reported load; limit and tokenLimit are their
	// limits. reportedAt is the arrival time of the report, or for a load sent
	// with an answer the time at which a report of the same age would arrive.
	running, tokens   float64
	limit, tokenLimit float64
	stepSeconds       float64
	reportedAt        time.Time
	// draw is a random number from 0 to 1, drawn with each report and again
	// redrawInterval after drawnAt.
	draw    float64
	drawnAt time.Time
	// ring counts this entry's starts less ends per span, in requests and tokens.
	ring [ringSpans]delta
	// inFlight and inFlightTokens are this entry's part of the load.
	inFlight       int
	inFlightTokens float64
}

type delta struct {
	span     int64
	requests float64
	tokens   float64
}

// setLimits sets the limits that a row announces.
func (l *load) setLimits(b *peer.BackendServer) {
	l.limit, l.tokenLimit = float64(b.MaxConcurrent), float64(b.MemoryTokens)
	if l.limit == 0 {
		l.limit = 1
	}
}

// applyReport applies an agent's own load report.
func (l *load) applyReport(now time.Time, r *peer.Load, draw float64) {
	l.draw, l.drawnAt = draw, now
	l.running, l.tokens, l.reportedAt = float64(r.Running), float64(r.TokensReserved), now
	if r.Limit > 0 {
		l.limit = float64(r.Limit)
	}
	if r.TokensLimit > 0 {
		l.tokenLimit = float64(r.TokensLimit)
	}
	if r.StepUs > 0 {
		l.stepSeconds = float64(r.StepUs) / 1e6
	}
}

// applyLevel applies a load level of a Watch: the larger of the shares of the two
// limits in use, from 0 to levelFull.
func (l *load) applyLevel(now time.Time, level uint32, draw float64) {
	if now.Before(l.reportedAt) {
		// A load that the agent sent with an answer is newer.
		return
	}
	l.draw, l.drawnAt = draw, now
	share := float64(min(level, levelFull)) / levelFull
	l.running, l.tokens, l.reportedAt = share*l.limit, share*l.tokenLimit, now
}

// add records a start by this entry or, with negative values, an end.
func (l *load) add(now time.Time, requests, tokens float64) {
	span := now.UnixNano() / int64(spanLength)
	d := &l.ring[span%ringSpans]
	if d.span != span {
		*d = delta{span: span}
	}
	d.requests += requests
	d.tokens += tokens
	l.inFlight += int(requests)
	l.inFlightTokens += tokens
}

// expected returns the reported requests and tokens, and separately the starts
// less ends of this entry since the state that the report describes.
func (l *load) expected(now time.Time) (reported, added delta) {
	from := l.reportedAt.Add(-reportLag).UnixNano() / int64(spanLength)
	to := now.UnixNano() / int64(spanLength)
	from = max(from, to-ringSpans+1)
	for span := from; span <= to; span++ {
		if d := &l.ring[span%ringSpans]; d.span == span {
			added.requests += d.requests
			added.tokens += d.tokens
		}
	}
	return delta{requests: l.running, tokens: l.tokens}, added
}

// memory returns the share of the memory that was in use by the last report.
func (l *load) memory() float64 {
	if l.tokenLimit <= 0 {
		return 0
	}
	return l.tokens / l.tokenLimit
}

// share returns the larger of the shares of the two limits in use with one more
// request, and whether there is no room for it.
//
// Peer entries receive the same report, so each entry uses the reported free
// capacity only with a certain probability, such that all entries together send
// one request per free place on average; draw decides. This applies to full only:
// in the share it would route requests away from the backend servers that cache
// their prefixes.
func (l *load) share(now time.Time, tokens, peers float64) (share float64, full bool) {
	reported, added := l.expected(now)
	added.requests++
	added.tokens += tokens
	full = l.shareWith(reported, added, max(peers*l.draw, 1), tokens) > 1
	return l.shareWith(reported, added, 1, tokens), full
}

// shareWith returns the share in use when a positive added load is multiplied by
// factor.
func (l *load) shareWith(reported, added delta, factor, tokens float64) float64 {
	if added.requests > 0 {
		added.requests *= factor
	}
	if added.tokens > 0 {
		added.tokens *= factor
	}
	// The load is at least this entry's own requests in flight, whatever is
	// reported.
	share := max(reported.requests+added.requests, float64(l.inFlight)+1) / l.limit
	if l.tokenLimit > 0 {
		share = max(share, max(reported.tokens+added.tokens, l.inFlightTokens+tokens)/l.tokenLimit)
	}
	return share
}
