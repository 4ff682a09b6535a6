package lease

import "time"

// Holder is the node's side of a lease. The zero value holds none.
type Holder struct {
	sent     time.Time
	duration time.Duration
}

// Granted records the lease that answers a renewal sent at the given time. An
// answer to an older renewal than the one in use changes nothing.
func (h *Holder) Granted(sent time.Time, duration time.Duration) {
	if h.duration > 0 && sent.Before(h.sent) {
		return
	}
	h.sent, h.duration = sent, duration
}

// Release gives up the lease.
func (h *Holder) Release() { *h = Holder{} }

// IsHeld reports whether the lease may be used at the given time.
func (h *Holder) IsHeld(now time.Time) bool { return h.Remaining(now) > 0 }

// Remaining returns how long the lease may still be used. It is the shorter of
// the times by the monotonic clock and by the wall clock, since the monotonic
// clock may stop while a virtual machine is suspended.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if h.duration == 0 {
		return 0
	}
	elapsed := now.Sub(h.sent)
	if wallElapsed := now.Round(0).Sub(h.sent.Round(0)); wallElapsed > elapsed {
		elapsed = wallElapsed
	}
	return max(0, h.duration-elapsed)
}
