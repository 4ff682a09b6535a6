package pool

import (
	"math"
	"time"
)

// Times and weights of paths.
const (
	// delayFactor is the number of usual passes after which an event counts as
	// delayed in transit. A lost packet is retransmitted after 200 ms.
	delayFactor = 2.5
	// delayWeight is the weight of an event in the share of delayed events, an
	// average over about 30 events, four passes of eight streams.
	delayWeight = 0.03
	// delayCost is the cost, as a factor, of a path on which all events are
	// delayed. A stream has about 28 events, and a single delayed one makes it
	// miss its target gap.
	delayCost = 28.0
	// delayHalfLife is the time in which the share halves without events.
	delayHalfLife = 3 * time.Second
)

// path is the network path to the backend servers of one failure domain.
type path struct {
	delayedShare float64 // share of delayed events at updatedAt
	updatedAt    time.Time
}

// recordEvent records an event that arrived after a number of usual passes.
func (p *path) recordEvent(now time.Time, passes float64) {
	value := 0.0
	if passes > delayFactor {
		value = 1
	}
	share := p.currentShare(now)
	p.delayedShare, p.updatedAt = share+delayWeight*(value-share), now
}

func (p *path) currentShare(now time.Time) float64 {
	return p.delayedShare * math.Exp2(-now.Sub(p.updatedAt).Seconds()/delayHalfLife.Seconds())
}

// pathCost is the cost factor of a path for the share of delayed events beyond
// that from this entry's own failure domain. If events from there are delayed
// as much, the groups and not the paths are slow.
func (p *Pool) pathCost(now time.Time, domain string) float64 {
	domainPath, own := p.paths[domain], p.paths[p.cfg.FailureDomain]
	if domainPath == nil || own == nil {
		return 1
	}
	return 1 + delayCost*max(0, domainPath.currentShare(now)-own.currentShare(now))
}
