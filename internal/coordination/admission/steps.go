package admission

import "time"

// unseen measures how long requests were held since the last figure. In that
// time the backend server may have become cold and warm again without a sign.
type unseen struct {
	// since is when the requests held now began, zero without any.
	since time.Time
	busy  time.Duration
}

// note takes note of the number of requests held from now on.
func (u *unseen) note(now time.Time, held uint32) {
	switch {
	case held > 0 && u.since.IsZero():
		u.since = now
	case held == 0 && !u.since.IsZero():
		u.busy += now.Sub(u.since)
		u.since = time.Time{}
	}
}

// take returns the time since the last figure in which requests were held, and
// starts again.
func (u *unseen) take(now time.Time) time.Duration {
	busy := u.busy
	if !u.since.IsZero() {
		busy += now.Sub(u.since)
		u.since = now
	}
	u.busy = 0
	return busy
}

// observe feeds a request's figures to the limiter and says whether the
// backend server turned out to be cold.
func (s *Controller) observe(now time.Time, r *request, in Progress) bool {
	cold := s.limiter.step(now, r, s.holding(), in.StepUS)
	if r.started || s.used() > s.limits.MemoryTokens/2 {
		// A full memory evicts prefixes, so a miss says nothing then.
		return cold
	}
	if s.prefixes.observe(now, r.Prefix, in.CachedTokens) {
		s.limiter.lostCache(now)
		s.prefixes.clear()
		return true
	}
	return cold
}

// step takes note of a figure and says whether the backend server turned out
// to be cold. Figures of several requests come from one step, so a figure shows
// a new step only if its request has seen more steps than were counted. A slow
// figure counts as a sign in any case: that of the first slow step can come
// shortly after that of a step that was under way when the backend server
// became cold, or belong to a request that was left out of earlier steps.
func (l *limiter) step(now time.Time, r *request, held, us uint32) bool {
	if us == 0 {
		return false
	}
	r.steps++
	fresh := r.steps > l.steps
	l.steps = max(l.steps, r.steps)
	l.peak = max(l.peak, held)
	l.closeGap(now)
	if l.isSlow(held, us) {
		return l.slowStep(now, us, fresh)
	}
	// Figures of several steps that come at once were late.
	if fresh && now.Sub(l.lastStep) >= time.Duration(us)*time.Microsecond/2 {
		l.lastStep, l.lastUS = now, us
		l.healthyStep(now, held, us)
	}
	return false
}

// closeGap starts the counts anew after a time without figures. A backend
// server that held requests for long in that time may have been cold and warm
// again, so the limit grows from the cold capacity; one that held nothing has
// not warmed up, and its first steps show what it is.
func (l *limiter) closeGap(now time.Time) {
	busy := l.unseen.take(now)
	if now.Sub(l.lastStep) <= l.staleAfter() {
		return
	}
	if busy > l.staleAfter() {
		l.limit = min(l.limit, l.cold)
	}
	l.healthy, l.slow = 0, 0
	l.restart(now)
}

// isSlow compares a step with the warm median. Before there is one, a step as
// slow as those of the cold time is slow once learning has ended.
func (l *limiter) isSlow(held, us uint32) bool {
	if median := l.medians.at(held); median > 0 {
		return us > slowFactor*median
	}
	return !l.saysCold && l.learning <= 0 && l.coldUS > 0 && !isFaster(us, l.coldUS)
}

// slowStep lowers the limit at once. Only a fresh step counts towards the
// confirmation.
func (l *limiter) slowStep(now time.Time, us uint32, fresh bool) bool {
	l.healthy = 0
	l.suspect = true
	l.restart(now)
	l.lastStep, l.lastUS = now, us
	l.slowestUS = max(l.slowestUS, us)
	if !fresh {
		return false
	}
	l.slow++
	if l.slow == confirmSteps {
		l.slowSince = now
		l.fall(now)
		l.suspect = true
		return true
	}
	if l.slow > confirmSteps && now.Sub(l.slowSince) > relearnTime && !l.saysCold {
		l.medians, l.coldUS, l.slow = medians{}, 0, 0
	}
	return false
}

func (l *limiter) healthyStep(now time.Time, held, us uint32) {
	l.endSlow(now)
	if normal := l.medians.own(held); l.learning <= 0 && !l.saysCold && slowFactor*us < normal {
		l.relearn(now, normal)
	}
	l.slow = 0
	l.healthy++
	if l.healthy >= restoreSteps {
		l.suspect = false
	}
	if l.healthy == 1 {
		// This step may have begun while the backend server was cold, so the
		// period of healthy steps begins after it.
		l.restart(now)
	} else {
		l.periodSteps++
	}
	if l.saysCold {
		// The first steps count: it may be warm before it says so.
		if l.coldSteps.count < minSamples {
			l.coldSteps.add(us)
			l.coldUS = l.coldSteps.median
		}
		l.restart(now)
		return
	}
	if l.learning > 0 {
		l.learn(held, us)
		l.restart(now)
		return
	}
	l.medians.add(held, us)
	l.growLimit(now)
}

// relearn replaces a median that the steps of a cold backend server made: an
// agent that starts while the backend server is cold in silence takes them for
// normal after learnTime. The first step in less than half of that time shows
// it, and the limit grows from the cold capacity. The loads of one bucket differ
// by less than a factor of two, so a change of load does not look like this.
func (l *limiter) relearn(now time.Time, coldUS uint32) {
	l.coldUS, l.medians = coldUS, medians{}
	l.fall(now)
}

// endSlow takes the limit down for good if the time since the last healthy
// step has room for as many slow steps as confirm a cold turn: not all of them
// need have been seen.
func (l *limiter) endSlow(now time.Time) {
	room := confirmSteps * time.Duration(l.slowestUS) * time.Microsecond
	if l.slowestUS > 0 && now.Sub(l.lastHealthy) > room {
		l.limit = min(l.limit, l.cold)
	}
	l.lastHealthy, l.slowestUS = now, 0
}
