package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// firstDuration is how long the first quarantine of a part lasts, and
	// maxDuration bounds the later ones, each twice as long as the one before.
	firstDuration = 10 * time.Minute
	maxDuration   = 24 * time.Hour
	// firstLocalDuration is how long an entry refuses a part at first by its own
	// evidence, and maxLocalDuration bounds the later times. An entry sees a part of
	// the crashes, and of the sound answers, so that it may take a common part for
	// the cause. Registrars decide within a second unless contact is lost.
	firstLocalDuration = 5 * time.Second
	maxLocalDuration   = 10 * time.Minute
	// maxObservations and maxObservedParts bound the observations that are kept for
	// registrars that have not received them, or have started again.
	maxObservations  = 256
	maxObservedParts = maxMentions
)

// Duration returns how long the nth quarantine of a part lasts, from 1.
func Duration(n int) time.Duration {
	return min(maxDuration, firstDuration<<min(max(n, 1)-1, 16))
}

// Observation is what an entry has seen: the end of a backend server while requests
// with these parts were there, or a sound answer if Crashed is zero.
type Observation struct {
	Sequence uint64
	At       time.Time
	Crashed  Incarnation
	Parts    []string
}

// Age returns the time since an observation by the clock that says more: the
// monotonic clock stands still while a process is suspended.
func (o Observation) Age(now time.Time) time.Duration {
	return max(0, now.Sub(o.At), now.Round(0).Sub(o.At.Round(0)))
}

// Guard is the quarantine at one entry. It is safe for concurrent use. Use
// NewGuard.
type Guard struct {
	mu       sync.Mutex
	evidence *Evidence
	decided  map[string]time.Time // end of the quarantines that the registrars decided
	local    map[string]localQuarantine
	watches  map[*watch]struct{}
	// observations are those that registrars may lack. unsettled holds the parts
	// in them that were suspect and have not been sound since.
	observations  []Observation
	observedParts int // in all observations
	lastSequence  uint64
	unsettled     map[string]bool
}

// localQuarantine is a quarantine that the entry decided by its own evidence.
type localQuarantine struct {
	until time.Time
	count int // how often it has begun
}

// watch is a request that has not got far.
type watch struct {
	parts  []string
	cancel func()
}

// NewGuard returns a guard without a quarantined part.
func NewGuard() *Guard {
	return &Guard{
		evidence: NewEvidence(), decided: map[string]time.Time{}, local: map[string]localQuarantine{},
		watches: map[*watch]struct{}{}, unsettled: map[string]bool{},
	}
}

// Check reports whether requests with one of these parts are refused, and until
// when.
func (g *Guard) Check(now time.Time, parts []string) (until time.Time, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(now, parts)
}

func (g *Guard) check(now time.Time, parts []string) (until time.Time, refused bool) {
	for _, part := range parts {
		if end, ok := g.decided[part]; ok {
			until, refused = latest(until, end), true
		}
		if own, ok := g.local[part]; ok && now.Before(own.until) {
			until, refused = latest(until, own.until), true
		}
	}
	return until, refused
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Watch calls cancel as soon as one of the parts is quarantined, or at once if one
// is. It returns a function that ends the watch.
func (g *Guard) Watch(now time.Time, parts []string, cancel func()) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, refused := g.check(now, parts); refused {
		cancel()
		return func() {}
	}
	w := &watch{parts: parts, cancel: cancel}
	g.watches[w] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.watches, w)
	}
}

// SetDecided sets the parts that the registrars have quarantined, with the end of
// each quarantine.
func (g *Guard) SetDecided(now time.Time, decided map[string]time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for part := range g.decided {
		if _, ok := decided[part]; !ok {
			// The registrars have more evidence than this entry.
			delete(g.local, part)
			g.settle(now, part)
		}
	}
	var begun []string
	for part := range decided {
		if _, known := g.decided[part]; !known {
			begun = append(begun, part)
		}
	}
	g.observeLastSound(begun)
	g.decided = decided
	if len(begun) > 0 {
		g.cancelWatched(now)
	}
}

// observeLastSound adds the observations of when parts were last sound.
func (g *Guard) observeLastSound(parts []string) {
	byTime := map[time.Time][]string{}
	for _, part := range parts {
		if at := g.evidence.LastSound(part); !at.IsZero() {
			byTime[at] = append(byTime[at], part)
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(byTime), time.Time.Compare) {
		g.observe(Observation{At: at, Parts: byTime[at]})
	}
}

// settle drops what was observed of a part before its quarantine ended, so that a
// registrar that starts again does not quarantine it for that.
func (g *Guard) settle(now time.Time, part string) {
	g.evidence.Settle(now, part)
	for i := range g.observations {
		o := &g.observations[i]
		if o.Crashed.ID != "" && slices.Contains(o.Parts, part) {
			g.observedParts -= len(o.Parts)
			o.Parts = slices.DeleteFunc(slices.Clone(o.Parts), func(other string) bool { return other == part })
			g.observedParts += len(o.Parts)
		}
	}
}

// AddSound records that a request with these parts was sound.
func (g *Guard) AddSound(now time.Time, parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evidence.AddSound(now, parts)
	var settled []string
	for _, part := range parts {
		delete(g.local, part)
		if _, refused := g.decided[part]; refused || g.unsettled[part] {
			delete(g.unsettled, part)
			settled = append(settled, part)
		}
	}
	if len(settled) > 0 {
		g.observe(Observation{At: now, Parts: settled})
	}
}

// AddCrash records that a backend server ended while a request with these parts was
// there, and returns the parts that this entry quarantines by its own evidence for
// some time.
func (g *Guard) AddCrash(now time.Time, server Incarnation, parts []string) []Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	var suspect []string
	kept := make([]string, len(parts))
	for i, part := range parts {
		part = strings.Clone(part) // which may be a piece of a long list
		kept[i] = part
		if !g.unsettled[part] {
			suspect = append(suspect, part)
		}
		g.unsettled[part] = true
	}
	parts = kept
	g.observeLastSound(suspect)
	g.observe(Observation{At: now, Crashed: server, Parts: parts})
	g.evidence.AddCrash(now, server, parts)
	maps.DeleteFunc(g.local, func(_ string, own localQuarantine) bool { return now.Sub(own.until) > maxEvidenceAge })
	decided := g.evidence.Decide(now, func(part string) Status {
		if _, refused := g.check(now, []string{part}); refused {
			return Active
		}
		if g.local[part].count > 0 {
			return Expired
		}
		return Free
	})
	for _, s := range decided {
		count := g.local[s.Part].count + 1
		g.local[s.Part] = localQuarantine{until: now.Add(min(maxLocalDuration, firstLocalDuration<<min(count-1, 16))), count: count}
	}
	if len(decided) > 0 {
		g.cancelWatched(now)
	}
	return decided
}

func (g *Guard) observe(o Observation) {
	g.lastSequence++
	o.Sequence = g.lastSequence
	g.observations = append(g.observations, o)
	g.observedParts += len(o.Parts)
	for len(g.observations) > maxObservations || (g.observedParts > maxObservedParts && len(g.observations) > 1) {
		g.dropOldest()
	}
}

func (g *Guard) dropOldest() {
	for _, part := range g.observations[0].Parts {
		delete(g.unsettled, part)
	}
	g.observedParts -= len(g.observations[0].Parts)
	g.observations = slices.Delete(g.observations, 0, 1)
}

// cancelWatched cancels the requests that have a quarantined part.
func (g *Guard) cancelWatched(now time.Time) {
	for w := range g.watches {
		if _, refused := g.check(now, w.parts); refused {
			delete(g.watches, w)
			w.cancel()
		}
	}
}

// Observations returns the observations after a sequence number, and the highest
// number.
func (g *Guard) Observations(after uint64) ([]Observation, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, _ := slices.BinarySearchFunc(g.observations, after+1, func(o Observation, sequence uint64) int {
		switch {
		case o.Sequence < sequence:
			return -1
		case o.Sequence > sequence:
			return 1
		}
		return 0
	})
	return slices.Clone(g.observations[i:]), g.lastSequence
}
