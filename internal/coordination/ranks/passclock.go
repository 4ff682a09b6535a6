package ranks

import "time"

// passClock estimates how long the passes of a group take. The zero value has seen
// none.
type passClock struct {
	epoch    uint64
	pass     uint64
	seen     time.Time
	passTime time.Duration // 0 if unknown
}

const (
	// minClockTime and maxClockTime bound the time between two reports whose passes
	// are compared: the passes of a group change with its load and its map.
	minClockTime = 100 * time.Millisecond
	maxClockTime = 2 * time.Second
)

// observe records the latest pass that a rank reported.
func (c *passClock) observe(now time.Time, epoch, pass uint64) {
	elapsed := now.Sub(c.seen)
	isSame := epoch == c.epoch && pass >= c.pass
	if isSame && elapsed < minClockTime {
		return
	}
	c.passTime = 0
	if isSame && elapsed <= maxClockTime {
		// One more pass may have been about to begin.
		c.passTime = elapsed / time.Duration(pass-c.pass+1)
	}
	c.epoch, c.pass, c.seen = epoch, pass, now
}
