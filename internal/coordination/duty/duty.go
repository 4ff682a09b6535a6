/*
Package duty decides which host may act for the whole deployment towards the
platform, and when.

# Concept

A duty has one holder, which the replicated log records together with a token and
the index of the latest renewal of its lease. The token is the log index of the
grant, so that it increases with each change of the holder. The candidate is the
leader of the log. If another host is recorded, it waits until the lease of that
host has ended, counted from when it first saw the latest renewal: the other host
counts its lease from before it proposed that renewal, which is earlier. The grant
names the renewal that the candidate saw, and is void if there was a later one.

A holder renews its lease only when it is about to act. It acts only while more of
the lease is left than an action can take, and not after an interruption of its
process that the latest renewal precedes: what it was about to do then is as old as
the interruption is long.

A [Holder] only decides. Times are readings of a clock that does not stop while the
host is suspended, see package suspend.

# Use

	h := duty.New("front-1", terms)
	h.Observe(now, record)
	switch h.Next(now, empty).(type) {
	case duty.Grant:
		// propose the grant; if it was applied:
		h.Renewed(now, proposed, record)
	}
	if h.MayAct(now, interrupted) {
		// act, with the token of the record
	}
*/
package duty

import "time"

// clockMargin is the fraction by which the clocks of two hosts may differ in rate.
// Quartz clocks differ by less than a thousandth; processes that are starved of
// processor time do not change the rate of their clocks.
const clockMargin = 0.02

// Terms are the times of a duty.
type Terms struct {
	// Lease is how long a renewal lasts.
	Lease time.Duration
	// Action is the longest time from the decision to act until the action has
	// ended or was aborted.
	Action time.Duration
}

// Record is what the log says about the duty. The zero value is that of a duty that
// was never granted.
type Record struct {
	Host string
	// Token is the log index of the grant, Renewal that of the latest renewal.
	Token, Renewal uint64
}

// Step is what the leader of the log does about the duty: Grant, Wait or Hold.
type Step interface{ isStep() }

type (
	// Grant proposes this host as the holder, if the record is still Expected.
	Grant struct{ Expected Record }
	// Wait does nothing: the lease of another host may be in force until a time.
	Wait struct{ Until time.Duration }
	// Hold keeps the duty, which this host has.
	Hold struct{}
)

func (Grant) isStep() {}
func (Wait) isStep()  {}
func (Hold) isStep()  {}

// Holder decides for one host. It is not safe for concurrent use. Use New.
type Holder struct {
	host  string
	terms Terms

	record Record
	// seen is when this process first saw the latest renewal; observed is set once
	// it has seen a record.
	seen     time.Duration
	observed bool
	// renewed is when the latest own renewal was proposed, and leaseToken the token
	// that it renewed; 0 if this process has renewed none.
	renewed    time.Duration
	leaseToken uint64
}

// New returns a Holder for the host of a name.
func New(host string, terms Terms) *Holder { return &Holder{host: host, terms: terms} }

// Observe records what the log says.
func (h *Holder) Observe(now time.Duration, r Record) {
	if !h.observed || r != h.record {
		h.record, h.seen, h.observed = r, now, true
	}
	if r.Host != h.host || r.Token != h.leaseToken {
		h.leaseToken = 0
	}
}

// BeginLeading records that this host has become the leader of the log. Of a record that
// is empty it may have missed renewals until then.
func (h *Holder) BeginLeading(now time.Duration) {
	if h.record.Token == 0 {
		h.seen = now
	}
}

// Record returns the record that was observed last.
func (h *Holder) Record() Record { return h.record }

// Next returns what to do while this host leads the log. isNew is set if the log is
// so new that nobody can have held the duty: a record that is empty for another
// reason may have been lost in a snapshot of an earlier build.
func (h *Holder) Next(now time.Duration, isNew bool) Step {
	if !h.observed {
		return Wait{Until: now + h.terms.Lease}
	}
	if h.record.Host == h.host {
		return Hold{}
	}
	if h.record.Token == 0 && isNew {
		return Grant{Expected: h.record}
	}
	until := h.seen + scale(h.terms.Lease, 1+clockMargin)
	if now < until {
		return Wait{Until: until}
	}
	return Grant{Expected: h.record}
}

// Renewed records that a grant or renewal which was proposed at a time was applied,
// and the record after it, which may be that of a later grant.
func (h *Holder) Renewed(now, proposed time.Duration, r Record) {
	h.Observe(now, r)
	if r.Host == h.host {
		h.renewed, h.leaseToken = proposed, r.Token
	}
}

// MayAct reports whether an action that begins now ends within the lease. interrupted
// is when the latest interruption of the process was noticed, or negative.
func (h *Holder) MayAct(now, interrupted time.Duration) bool {
	return h.leaseToken != 0 && h.record.Host == h.host && h.record.Token == h.leaseToken &&
		interrupted < h.renewed &&
		now >= h.renewed && now+h.terms.Action < h.renewed+scale(h.terms.Lease, 1-clockMargin)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
