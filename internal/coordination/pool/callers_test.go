package pool

import (
	"fmt"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/size"
)

// arrive lets new callers send their requests.
func (p *player) arrive(now time.Time, at time.Duration) {
	for k := range p.kinds {
		kind := &p.kinds[k]
		rate := kind.perSecond
		if kind.burst > 0 && at >= kind.burstFrom && at < kind.burstTo {
			rate *= kind.burst
		}
		for expected := rate * loadTick.Seconds(); p.random.Float64() < expected/(1+expected); {
			p.newCaller(now, k)
		}
	}
}

func (p *player) newCaller(now time.Time, k int) {
	kind := &p.kinds[k]
	c := &loadCaller{kind: k, arrived: now, deadline: now.Add(loadDeadline)}
	c.prompt = max(40, int(p.lognormal(kind.meanPrompt, 0.6)))
	c.events = min(3*loadEvents, max(2, int(p.lognormal(loadEvents, 0.5))))
	c.hint = size.Hint{
		PromptTokens: c.prompt, MaxAnswerTokens: 7 * 3 * loadEvents,
		AnswerTokens: max(1, int(p.lognormal(float64(7*c.events), 0.7))),
	}
	switch ratio := float64(c.events) / loadEvents; { // quantiles of the spread above
	case ratio >= 1.67:
		c.class = 0
	case ratio >= 1.15:
		c.class = 1
	default:
		c.class = 2
	}
	// A few accounts are large.
	c.account = int(float64(loadAccounts) * p.random.Float64() * p.random.Float64() * p.random.Float64())
	c.ignores = p.random.Float64() < p.ignoreShare
	c.leaves = p.random.Float64() < p.leaveShare
	t := p.tallies[k]
	t.submitted++
	t.bySize[c.class]++
	n := t.byAccount[c.account]
	t.byAccount[c.account] = [2]int{n[0] + 1, n[1]}
	if c.ignores {
		t.ignored++
	}
	c.id = fmt.Sprintf("k%d-%d", k, t.submitted)
	p.submit(now, c)
}

func (p *player) submit(now time.Time, c *loadCaller) {
	c.entry = p.spread.IntN(p.entries)
	c.tries++
	c.request = p.newRequest(now, c)
	p.requests[c.request] = c
	p.callers = append(p.callers, c)
	p.apply(now, c, p.pools[c.entry].Submit(now, c.request))
}

// decide applies the decisions on queued requests of an entry.
func (p *player) decide(now time.Time, entry int) {
	for _, d := range p.pools[entry].DecideQueued(now) {
		if c := p.requests[d.Request]; c != nil {
			p.apply(now, c, d.Decision)
		}
	}
}

func (p *player) apply(now time.Time, c *loadCaller, d Decision) {
	switch d := d.(type) {
	case Assign:
		delete(p.requests, c.request)
		c.server, c.sentAt, c.unread = p.ranks[d.Server.ID], now, float64(c.prompt)
		w := c.server.waiting
		at := len(w)
		for at > 0 && p.urgency(w[at-1]) > p.urgency(c) {
			at--
		}
		c.server.waiting = slices.Insert(w, at, c)
	case Refuse:
		delete(p.requests, c.request)
		p.refused(now, c, d)
	}
}

func (p *player) refused(now time.Time, c *loadCaller, d Refuse) {
	t := p.tallies[c.kind]
	taken, waiting := 0, 0
	for _, r := range p.ranks {
		taken += len(r.running) + len(r.waiting)
	}
	for _, q := range p.pools {
		n, _ := q.Counts()
		waiting += n
	}
	if 2*taken < p.slots && waiting == 0 {
		t.idleRefusals++
	}
	for r, o := range p.requests {
		if o.entry == c.entry && r.Priority > c.request.Priority && !isDisplaced(r) {
			t.unfair++
			break
		}
	}
	left := c.deadline.Sub(now)
	switch {
	case c.ignores && c.tries <= 3:
		c.resendAt, c.resending = now.Add(loadTick), true
	case !c.ignores && c.tries == 1 && 3*d.RetryAfter <= left:
		c.resendAt, c.resending = now.Add(d.RetryAfter), true
		t.resent++
	default:
		if c.tries > 1 && !c.ignores {
			t.resentRefused++
		}
		t.refused++
		p.finish(c, 0)
	}
}

// resend sends the requests again whose time has come, and disconnects callers that
// wait no longer.
func (p *player) resend(now time.Time) {
	kept := p.callers[:0]
	var due []*loadCaller
	for _, c := range p.callers {
		switch {
		case c.done || c.got > 0:
			continue
		case c.resending:
			if !now.Before(c.resendAt) {
				c.resending = false
				due = append(due, c)
				continue
			}
		case (c.leaves && now.Sub(c.arrived) > p.leaveAfter) || !now.Before(c.deadline):
			p.leave(now, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.callers[len(kept):])
	p.callers = kept
	for _, c := range due {
		p.submit(now, c)
	}
}

// leave disconnects a caller without an event.
func (p *player) leave(now time.Time, c *loadCaller) {
	if c.leaves {
		p.tallies[c.kind].left++
	} else {
		p.tallies[c.kind].gaveUp++
	}
	p.finish(c, 0)
	q := p.pools[c.entry]
	if c.server == nil {
		delete(p.requests, c.request)
		q.CancelWait(c.request)
		return
	}
	isOther := func(list []*loadCaller) (kept []*loadCaller) {
		for _, o := range list {
			if o != c {
				kept = append(kept, o)
			}
		}
		return kept
	}
	c.server.waiting, c.server.running = isOther(c.server.waiting), isOther(c.server.running)
	q.Done(now, "pool", c.server.id, 1, Abandoned, 0, 0)
}
