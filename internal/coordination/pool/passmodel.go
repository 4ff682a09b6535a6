package pool

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const (
	// passMargin is the part of the target gap that the expected pass may take where
	// prompts are counted. The rest is for passes that are longer than the mean.
	passMargin = 0.85
	// leastLoadShare is the share of the slots below which the load is too low to tell
	// the work from the fixed part of a pass.
	leastLoadShare = 0.25
	// maxWorkFactor bounds the observed factor of the work.
	maxWorkFactor = 6
	// pacedPrompts is the number of this entry's prompts that a group may always be
	// reading, so that the rounding of an entry's part does not stop it.
	pacedPrompts = 3
)

// passModel predicts the pass time of a group from its load. A pass has a fixed part
// and one that grows with the tokens of the answers and prompts that it works on;
// uneven experts and copies of experts lengthen the second part by a factor, which is
// observed.
type passModel struct {
	engine          *catalog.Engine // nil if the catalog says too little
	requests, ranks int             // of all entries
	// requestWork is the time that a request adds to each step, with its part of the
	// prompts that are read, and promptWork that of a prompt as a whole.
	requestWork, promptWork time.Duration
	// share is this entry's part of all requests.
	share float64
	// factor is the moving average of the ratio of observed work to that of the
	// catalog, 0 before the first pass.
	factor float64
	// unread is the number of this entry's requests that have had no event.
	unread int
}

// reset begins a new count of the load.
func (m *passModel) reset() { m.engine, m.requests, m.ranks = nil, 0, 0 }

// add counts the requests of one rank.
func (m *passModel) add(svc *service, requests, entries int) {
	e := svc.spec.Engine
	if e.PrefillTokensPerSecond == 0 || e.MeanAnswerTokens == 0 || e.StepsPerPass == 0 || svc.sizes.meanPrompt == 0 {
		return
	}
	if m.engine == nil {
		prompt := svc.sizes.meanPrompt / e.PrefillTokensPerSecond * float64(time.Second)
		m.engine, m.share = e, svc.slotShare(entries)
		m.promptWork = time.Duration(prompt)
		m.requestWork = e.RequestStepTime + time.Duration(prompt/float64(e.MeanAnswerTokens))
	}
	m.requests += requests
	m.ranks++
}

// observe records the time between two events of a stream.
func (m *passModel) observe(gap time.Duration) {
	if m.engine == nil {
		return
	}
	load := max(float64(m.requests)/float64(m.ranks), leastLoadShare*float64(m.engine.Slots))
	work := float64(gap)/float64(m.engine.StepsPerPass) - float64(m.engine.StepTime)
	observed := min(maxWorkFactor, max(1, work/(load*float64(m.requestWork))))
	if m.factor == 0 {
		m.factor = observed
	}
	m.factor += passWeight * (observed - m.factor)
}

// pass returns the expected pass time with a number of requests at each rank, in
// nanoseconds.
func (m *passModel) pass(requests float64) float64 {
	return float64(m.engine.StepsPerPass) * (float64(m.engine.StepTime) + max(1, m.factor)*requests*float64(m.requestWork))
}

// fitting returns the number of requests at each rank with which a pass takes the
// target gap.
func (m *passModel) fitting(target float64) float64 {
	work := target/float64(m.engine.StepsPerPass) - float64(m.engine.StepTime)
	return max(0, work/max(1, m.factor)/float64(m.requestWork))
}

// limit returns the number of requests at one rank with which callers get the most:
// as many as keep the gaps within the target, or all slots if late answers to all of
// them are worth more than on-time answers to the few that fit.
func (m *passModel) limit(slots int, targetGap time.Duration) int {
	target := passMargin * float64(targetGap)
	all := float64(slots)
	if m.pass(all) <= target {
		return slots
	}
	fit := math.Floor(m.fitting(target))
	// The time for which a request is held is proportional to the pass time.
	if fit/m.pass(fit) < lateWorth*all/m.pass(all) {
		return slots
	}
	return int(fit)
}

// mayRead reports whether the group can begin to read another prompt of this entry
// without a pass that takes longer than the target gap. Each entry reads its part of
// the prompts that fit.
func (m *passModel) mayRead(targetGap time.Duration) bool {
	if m.engine == nil || m.unread < pacedPrompts {
		return true
	}
	steps, ranks := float64(m.engine.StepsPerPass), float64(m.ranks)
	work := float64(m.requests) / ranks * float64(m.engine.RequestStepTime)
	work += float64(m.unread+1) / m.share / ranks / steps * float64(m.promptWork)
	return steps*(float64(m.engine.StepTime)+max(1, m.factor)*work) <= float64(targetGap)
}
