package lease

import "time"

// Holder is the node's side of a lease. The zero value holds none.
type Holder struct {
	sent     time.Time
	duration time.Duration
}

// Granted records the answer to a renewal that was sent at a time. An answer
// to an older renewal than the one in use changes nothing.
func (h *Holder) Granted(sent time.Time, duration time.Duration) {
	if h.duration > 0 && sent.Before(h.sent) {
		return
	}
	h.sent, h.duration = sent, duration
}

// Release gives the lease up.
func (h *Holder) Release() { *h = Holder{} }

// IsHeld says whether the lease may be used at a time.
func (h *Holder) IsHeld(now time.Time) bool { return h.Remaining(now) > 0 }

// Remaining returns how long the lease may be used. It is counted on the monotonic
// clock and on the wall clock, and the shorter one counts: the monotonic clock
// may stand still while a virtual machine is suspended.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if h.duration == 0 {
		return 0
	}
	past := now.Sub(h.sent)
	if wall := now.Round(0).Sub(h.sent.Round(0)); wall > past {
		past = wall
	}
	return max(0, h.duration-past)
}
