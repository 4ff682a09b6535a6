package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// clockSamples is the number of readings that are kept of a clock. The one that
	// was under way for the shortest time is used.
	clockSamples = 8
	// clockMaxAge is how long a reading is used. Registrars are called twice a
	// second.
	clockMaxAge = 15 * time.Second
	// maxClocks bounds the clocks.
	maxClocks = 64
	// minClocks is the number of other clocks from which on the own one does not
	// count: an entry often shares its host with a registrar, whose clock would
	// count twice.
	minClocks = 3
)

// Clock estimates the time from the wall clocks of several hosts. It is safe for
// concurrent use. Use NewClock.
type Clock struct {
	// includeOwn is set if no other clock is that of this host.
	includeOwn bool

	mu       sync.Mutex
	readings map[string][]reading
}

// reading is the difference between another wall clock and this host's steady clock.
// The time that it was under way makes it too small.
type reading struct {
	at, offset time.Duration
}

// NewClock returns a Clock. includeOwn is set if none of the clocks that will be
// observed is that of this host.
func NewClock(includeOwn bool) *Clock {
	return &Clock{includeOwn: includeOwn, readings: map[string][]reading{}}
}

// Observe records a reading of the clock of a source, which arrived when the steady
// clock of this host showed the given time.
func (c *Clock) Observe(source string, steady time.Duration, wallMS uint64) {
	if wallMS == 0 || wallMS > 1<<45 {
		return // no reading, or one outside of any date
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.readings[source]
	if list == nil && len(c.readings) >= maxClocks {
		return
	}
	if len(list) >= clockSamples {
		list = slices.Clone(list[1:])
	}
	c.readings[source] = append(list, reading{at: steady, offset: time.Duration(wallMS)*time.Millisecond - steady})
}

// Now returns the median of the clocks. steady is the steady clock of this host and
// wall its wall clock.
func (c *Clock) Now(steady time.Duration, wall time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var offsets []time.Duration
	for source, list := range c.readings {
		best, found := time.Duration(0), false
		for _, r := range list {
			if steady-r.at <= clockMaxAge && (!found || r.offset > best) {
				best, found = r.offset, true
			}
		}
		if !found {
			delete(c.readings, source)
			continue
		}
		offsets = append(offsets, best)
	}
	if c.includeOwn || len(offsets) < minClocks {
		offsets = append(offsets, time.Duration(wall.UnixNano())-steady)
	}
	slices.Sort(offsets)
	return time.Unix(0, int64(steady+offsets[(len(offsets)-1)/2]))
}
