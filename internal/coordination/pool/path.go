package pool

import (
	"math"
	"time"
)

// Times and weights of paths.
const (
	// pauseFactor is the number of usual passes after which an event counts as
	// delayed on its way. A lost packet is sent again after 200 ms.
	pauseFactor = 2.5
	// pauseWeight is the weight of an event in the share that is delayed, an
	// average over about 30 events, four passes of eight streams.
	pauseWeight = 0.03
	// pauseCost is the cost, as a factor, of a path on which all events are
	// delayed. A stream has about 28 events, and one delayed event spoils it.
	pauseCost = 28.0
	// pauseFade is the time in which the share halves without events.
	pauseFade = 3 * time.Second
)

// path is the way to the backend servers of one failure domain.
type path struct {
	delayed float64 // share of events
	seen    time.Time
}

// event notes an event that came after a number of usual passes.
func (p *path) event(now time.Time, passes float64) {
	value := 0.0
	if passes > pauseFactor {
		value = 1
	}
	share := p.share(now)
	p.delayed, p.seen = share+pauseWeight*(value-share), now
}

func (p *path) share(now time.Time) float64 {
	return p.delayed * math.Exp2(-now.Sub(p.seen).Seconds()/pauseFade.Seconds())
}

// pathCost is the factor by which a path speaks against backend servers: what is
// delayed beyond the events from this entry's own failure domain. If these are
// delayed as much, the groups and not the paths are slow.
func (p *Pool) pathCost(now time.Time, domain string) float64 {
	way, own := p.paths[domain], p.paths[p.cfg.FailureDomain]
	if way == nil || own == nil {
		return 1
	}
	return 1 + pauseCost*max(0, way.share(now)-own.share(now))
}
