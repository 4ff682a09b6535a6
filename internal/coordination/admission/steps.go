package admission

import "time"

// busyTime measures how long requests were held since the last progress report.
// In that time the backend server may have become cold and warm again unnoticed.
type busyTime struct {
	// since is when the current time with requests began; zero without requests.
	since time.Time
	total time.Duration
}

// setHeld records the number of requests held from now on.
func (b *busyTime) setHeld(now time.Time, held uint32) {
	switch {
	case held > 0 && b.since.IsZero():
		b.since = now
	case held == 0 && !b.since.IsZero():
		b.total += now.Sub(b.since)
		b.since = time.Time{}
	}
}

// take returns the time since the last report in which requests were held, and
// resets it.
func (b *busyTime) take(now time.Time) time.Duration {
	busy := b.total
	if !b.since.IsZero() {
		busy += now.Sub(b.since)
		b.since = now
	}
	b.total = 0
	return busy
}

// observe passes a request's progress report to the limiter and reports whether
// the backend server was found to be cold.
func (c *Controller) observe(now time.Time, r *request, in Progress) bool {
	cold := c.limiter.step(now, r, c.requestsHeld(), in.StepUS)
	if r.reported || c.tokensUsed() > c.limits.MemoryTokens/2 {
		// Prefixes are evicted when memory is scarce, so a miss is no evidence then.
		return cold
	}
	if c.prefixes.observe(now, r.Prefix, in.CachedTokens) {
		c.limiter.onCacheLoss(now)
		c.prefixes.clear()
		return true
	}
	return cold
}

// step processes a progress report and reports whether the backend server was
// found to be cold. One step causes reports of several requests, so a report
// shows a new step only if its request has more steps than were counted. A slow
// report lowers the limit in any case: that of the first slow step can arrive
// shortly after that of a step that was running when the backend server became
// cold, or belong to a request that was not part of earlier steps.
func (l *limiter) step(now time.Time, r *request, held, us uint32) bool {
	if us == 0 {
		return false
	}
	r.steps++
	isNewStep := r.steps > l.steps
	l.steps = max(l.steps, r.steps)
	l.peakHeld = max(l.peakHeld, held)
	l.resetAfterGap(now)
	if l.isSlow(held, us) {
		return l.slowStep(now, us, isNewStep)
	}
	// Reports of several steps that arrive at once were delayed.
	if isNewStep && now.Sub(l.lastStep) >= time.Duration(us)*time.Microsecond/2 {
		l.lastStep, l.lastUS = now, us
		l.healthyStep(now, held, us)
	}
	return false
}

// resetAfterGap resets the counts after a time without reports. A backend server
// that held requests for longer than staleAfter in that time may have become cold
// and warm again, so the limit grows from the cold capacity. One that held nothing
// cannot have warmed up, and its first steps show whether it is cold.
func (l *limiter) resetAfterGap(now time.Time) {
	busy := l.busy.take(now)
	if now.Sub(l.lastStep) <= l.staleAfter() {
		return
	}
	if busy > l.staleAfter() {
		l.limit = min(l.limit, l.cold)
	}
	l.healthy, l.slow = 0, 0
	l.restartPeriod(now)
}

// isSlow compares a step with the warm median. Without a median, a step that is
// not clearly faster than cold steps is slow once the calibration has ended.
func (l *limiter) isSlow(held, us uint32) bool {
	if median := l.medians.at(held); median > 0 {
		return us > slowFactor*median
	}
	return !l.announcedCold && l.calibrationLeft <= 0 && l.coldUS > 0 && !isFaster(us, l.coldUS)
}

// slowStep lowers the limit at once. Only a new step counts towards confirmSteps.
func (l *limiter) slowStep(now time.Time, us uint32, isNewStep bool) bool {
	l.healthy = 0
	l.suspect = true
	l.restartPeriod(now)
	l.lastStep, l.lastUS = now, us
	l.slowestUS = max(l.slowestUS, us)
	if !isNewStep {
		return false
	}
	l.slow++
	if l.slow == confirmSteps {
		l.slowSince = now
		l.resetToCold(now)
		l.suspect = true
		return true
	}
	if l.slow > confirmSteps && now.Sub(l.slowSince) > recalibrationTime && !l.announcedCold {
		l.medians, l.coldUS, l.slow = medians{}, 0, 0
	}
	return false
}

func (l *limiter) healthyStep(now time.Time, held, us uint32) {
	l.endSlowPeriod(now)
	if normal := l.medians.inBucket(held); l.calibrationLeft <= 0 && !l.announcedCold && slowFactor*us < normal {
		l.recalibrate(now, normal)
	}
	l.slow = 0
	l.healthy++
	if l.healthy >= restoreSteps {
		l.suspect = false
	}
	if l.healthy == 1 {
		// This step may have begun while the backend server was cold, so the
		// period of healthy steps begins after it.
		l.restartPeriod(now)
	} else {
		l.periodSteps++
	}
	if l.announcedCold {
		// Only the first steps count: it may be warm before it announces it.
		if l.coldSteps.count < minSamples {
			l.coldSteps.add(us)
			l.coldUS = l.coldSteps.median
		}
		l.restartPeriod(now)
		return
	}
	if l.calibrationLeft > 0 {
		l.calibrate(held, us)
		l.restartPeriod(now)
		return
	}
	l.medians.add(held, us)
	l.growLimit(now)
}

// recalibrate discards medians of the steps of a cold backend server: an agent
// that starts while the backend server is cold without announcing it uses them as
// the baseline after calibrationTime. The first step in less than half of that
// step time shows it, and the limit grows from the cold capacity. The loads of one
// bucket differ by less than a factor of two, so a change of load cannot cause
// this.
func (l *limiter) recalibrate(now time.Time, coldUS uint32) {
	l.coldUS, l.medians = coldUS, medians{}
	l.resetToCold(now)
}

// endSlowPeriod lowers the limit to the cold capacity if confirmSteps slow steps
// fit into the time since the last healthy step: not all of them need have been
// observed.
func (l *limiter) endSlowPeriod(now time.Time) {
	room := confirmSteps * time.Duration(l.slowestUS) * time.Microsecond
	if l.slowestUS > 0 && now.Sub(l.lastHealthy) > room {
		l.limit = min(l.limit, l.cold)
	}
	l.lastHealthy, l.slowestUS = now, 0
}
