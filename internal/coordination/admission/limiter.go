package admission

import (
	"math/bits"
	"slices"
	"time"
)

// Parameters of the cold-start limit.
const (
	// slowFactor is the multiple of the warm median above which a step is slow.
	slowFactor = 2
	// confirmSteps is the number of consecutive slow steps after which the
	// backend server counts as cold. The first one already lowers the limit; a
	// single one may be a long prefill.
	confirmSteps = 3
	// restoreSteps is the number of consecutive healthy steps after which a limit
	// that was lowered on suspicion, or for lack of recent steps, is restored.
	restoreSteps = 3
	// growTime and growSteps are the minimum time and number of steps of a period
	// of healthy steps.
	growTime  = 500 * time.Millisecond
	growSteps = 8
	// staleTime and staleSteps: after the longer of both without a step, the
	// backend server may have become cold unnoticed, so only its cold capacity is
	// used until steps show that it is warm.
	staleTime  = 150 * time.Millisecond
	staleSteps = 6
	// recalibrationTime is the time of slow steps after which they become the new
	// baseline, if the backend server announces that it is warm.
	recalibrationTime = 10 * time.Minute
	// calibrationTime is the sum of step times that is observed before the limit
	// of a backend server without medians grows: it may be cold without
	// announcing it. Consecutive steps that are faster than
	// fasterNumerator/fasterDenominator of the step time while it was announced as
	// cold end the calibration at once.
	calibrationTime                    = 5 * time.Second
	fasterNumerator, fasterDenominator = 3, 5
)

// limiter computes the concurrency limit of one backend server. It observes the
// steps through the progress reports that come with events; see observe.
type limiter struct {
	cold, max     uint32
	limit         uint32
	announcedCold bool
	isModel       bool
	modelName     string
	medians       medians
	lastUS        uint32
	lastStep      time.Time
	// steps counts the steps observed; the engine has made at least as many.
	steps uint64
	// healthy and slow count consecutive steps.
	healthy, slow int
	// lastHealthy is the time of the newest healthy step, and slowestUS the
	// longest slow step since.
	lastHealthy time.Time
	slowestUS   uint32
	// suspect says that the limit is lowered until restoreSteps healthy steps.
	suspect bool
	busy    busyTime
	// calibrationLeft is the rest of calibrationTime. coldUS is the time of a step
	// while the backend server was cold, first taken from coldSteps, the steps
	// while it was announced as cold. fasterSteps counts consecutive steps that
	// are clearly faster than coldUS.
	calibrationLeft time.Duration
	coldUS          uint32
	coldSteps       samples
	fasterSteps     int
	// slowSince is when the current slow steps were confirmed.
	slowSince time.Time
	// periodStart and periodSteps measure a period of healthy steps; peakHeld is
	// the highest number of requests held in it.
	periodStart time.Time
	periodSteps int
	peakHeld    uint32
}

// announce applies the limits and the temperature of an announcement, and reports
// whether the limit was reset to the cold capacity.
func (l *limiter) announce(now time.Time, in Announce, restarted bool) bool {
	l.cold, l.max = in.Limits.ColdConcurrent, in.Limits.MaxConcurrent
	l.isModel = in.Limits.MemoryTokens > 0
	if in.Model != l.modelName {
		l.modelName, l.medians = in.Model, medians{}
	}
	if in.Cold && l.calibrationLeft > 0 {
		// A delayed announcement may have reported warm in between.
		l.medians = medians{}
	}
	if l.isModel && l.medians.isEmpty() && (restarted || in.Cold) {
		l.calibrationLeft, l.fasterSteps = calibrationTime, 0
	}
	becameCold := in.Cold && !l.announcedCold
	if becameCold || restarted {
		l.coldSteps = samples{}
	}
	l.announcedCold = in.Cold
	if restarted || becameCold || l.limit == 0 {
		l.resetToCold(now)
		return true
	}
	l.limit = min(max(l.limit, l.cold), l.max)
	return false
}

// resetToCold sets the limit to the cold capacity.
func (l *limiter) resetToCold(now time.Time) {
	l.limit = l.cold
	l.suspect, l.healthy = false, 0
	l.restartPeriod(now)
}

// markSuspect lowers the limit until steps show that the backend server is warm.
func (l *limiter) markSuspect() { l.suspect, l.healthy = l.isModel, 0 }

func (l *limiter) restartPeriod(now time.Time) {
	l.periodStart, l.periodSteps, l.peakHeld = now, 0, 0
}

// allowed returns the limit in effect at a time.
func (l *limiter) allowed(now time.Time) uint32 {
	if l.announcedCold || l.suspect || l.isStale(now) {
		return l.cold
	}
	return l.limit
}

// isStale reports whether there were too few recent steps to tell whether the
// backend server is warm. Plain services have no steps.
func (l *limiter) isStale(now time.Time) bool {
	if !l.isModel {
		return false
	}
	return l.healthy < restoreSteps || now.Sub(l.lastStep) > l.staleAfter()
}

// isProbing reports whether the limit is lowered only because there were too few
// recent steps.
func (l *limiter) isProbing(now time.Time) bool {
	return !l.announcedCold && !l.suspect && l.isStale(now) && l.limit > l.cold
}

func (l *limiter) staleAfter() time.Duration {
	return max(staleTime, staleSteps*time.Duration(l.lastUS)*time.Microsecond)
}

// calibrate records a step while the limit must not grow. Steps that are clearly
// faster than those before show that the backend server was cold and has warmed
// up; minSamples consecutive ones make the first median.
func (l *limiter) calibrate(held, us uint32) {
	l.calibrationLeft -= time.Duration(us) * time.Microsecond
	if median := l.medians.at(held); isFaster(us, median) {
		l.coldUS, l.medians = median, medians{}
	}
	l.medians.add(held, us)
	if !isFaster(us, l.coldUS) {
		if l.fasterSteps > 0 {
			// It became cold again, so the steps before are no baseline.
			l.calibrationLeft = calibrationTime
		}
		l.fasterSteps = 0
		return
	}
	if l.fasterSteps++; l.fasterSteps >= minSamples {
		l.calibrationLeft = 0
	}
}

func isFaster(us, than uint32) bool {
	return uint64(us)*fasterDenominator < uint64(than)*fasterNumerator
}

// growLimit doubles the limit after a period of healthy steps in which at least
// half of it was used: healthy steps at low load do not show that a higher load
// is possible.
func (l *limiter) growLimit(now time.Time) {
	if l.limit >= l.max || l.periodSteps < growSteps || now.Sub(l.periodStart) < growTime {
		return
	}
	if 2*l.peakHeld >= l.limit {
		l.limit = min(max(1, l.limit)*2, l.max)
	}
	l.restartPeriod(now)
}

// answerCompleted records a complete answer, which is the only evidence of health
// that a plain service provides.
func (l *limiter) answerCompleted(now time.Time, isModel bool) {
	if isModel || l.announcedCold {
		return
	}
	l.periodSteps++
	if now.Sub(l.periodStart) >= growTime && l.limit < l.max {
		l.limit = min(max(1, l.limit)*2, l.max)
		l.restartPeriod(now)
	}
}

// onCacheLoss resets the limit, since a lost cache shows that the backend server
// was restarted.
func (l *limiter) onCacheLoss(now time.Time) { l.resetToCold(now) }

// medians holds the median step time of a warm backend server by load, in buckets
// of powers of two of the requests held, since a step takes longer with more
// requests.
type medians struct {
	buckets [medianBuckets]samples
}

const (
	medianBuckets = 21
	medianSamples = 31
	// minSamples is the number of steps required for a median.
	minSamples = 5
)

type samples struct {
	values [medianSamples]uint32
	count  int
	median uint32
}

func loadBucket(held uint32) int { return min(bits.Len32(held), medianBuckets-1) }

func (m *medians) add(held, us uint32) {
	m.buckets[loadBucket(held)].add(us)
}

func (b *samples) add(us uint32) {
	b.values[b.count%medianSamples] = us
	b.count++
	if b.count < minSamples || (b.count > minSamples && b.count%4 != 0) {
		return
	}
	sorted := b.values
	used := sorted[:min(b.count, medianSamples)]
	slices.Sort(used)
	b.median = used[len(used)/2]
}

func (m *medians) isEmpty() bool {
	for _, b := range m.buckets {
		if b.count > 0 {
			return false
		}
	}
	return true
}

// inBucket returns the median of the bucket of a load, or 0 if there is none.
func (m *medians) inBucket(held uint32) uint32 { return m.buckets[loadBucket(held)].median }

// at returns the median for a load, or 0 if there is none at all. Without a median
// of its own bucket it is that of the next higher load, or else of the next lower
// one: a step with twice the load takes less than twice the time.
func (m *medians) at(held uint32) uint32 {
	b := loadBucket(held)
	for i := b; i < medianBuckets; i++ {
		if m.buckets[i].median > 0 {
			return m.buckets[i].median
		}
	}
	for i := b - 1; i >= 0; i-- {
		if m.buckets[i].median > 0 {
			return m.buckets[i].median
		}
	}
	return 0
}
