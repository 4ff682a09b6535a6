package pool

import (
	"math"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

const (
	// workWeight is the weight of a new request in the means of sizes, an average
	// over about 100 requests: hints are often far off.
	workWeight = 0.01
	// priorVariance is added to the variance of the sizes that callers give, so that
	// a few requests of almost the same size say nothing about the value of hints.
	priorVariance = 0.02
	// maxExcess bounds how far a single request counts as above the mean.
	maxExcess = 3
	// minWork and maxWork bound the work of a request relative to the mean.
	minWork = 0.25
	maxWork = 4
)

// workModel estimates how long requests are held, relative to the mean of their
// service. It measures how well the sizes that callers give predict the time, and
// trusts them as far as they do: a hint that says nothing has no effect.
type workModel struct {
	meanPrompt, meanAnswer float64 // tokens of the requests that give them
	meanRaw                float64 // seconds
	// covariance is that of the given sizes and the observed times, variance that of
	// the given sizes, and squaredError the mean square of the error of the
	// estimate, each relative to the mean.
	covariance, variance, squaredError float64
}

func updateFloat(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// excess returns how far the size of a request is above the mean, as a part of it,
// or 0 if nothing is known.
func (m *workModel) excess(e *catalog.Engine, h size.Hint) float64 {
	raw := m.raw(e, h)
	if raw == 0 || m.meanRaw == 0 {
		return 0
	}
	return min(maxExcess, raw/m.meanRaw-1)
}

// raw returns the seconds of work that a size stands for at an engine with half of
// its slots taken, or 0 if the engine is not known.
func (m *workModel) raw(e *catalog.Engine, h size.Hint) float64 {
	if e == nil || e.StepTime == 0 || h == (size.Hint{}) {
		return 0
	}
	prompt, answer := float64(h.PromptTokens), float64(h.AnswerTokens)
	if prompt == 0 {
		prompt = m.meanPrompt
	}
	if answer == 0 {
		answer = m.meanAnswer
		if answer == 0 {
			answer = float64(e.MeanAnswerTokens)
		}
		if h.MaxAnswerTokens > 0 && (answer == 0 || answer > float64(h.MaxAnswerTokens)) {
			answer = float64(h.MaxAnswerTokens)
		}
	}
	seconds := answer * (e.StepTime + time.Duration(e.Slots/2)*e.RequestStepTime).Seconds()
	if e.PrefillTokensPerSecond > 0 {
		seconds += prompt / e.PrefillTokensPerSecond
	}
	return seconds
}

// offered records the size of a new request.
func (m *workModel) offered(e *catalog.Engine, h size.Hint) {
	if h.PromptTokens > 0 {
		m.meanPrompt = updateFloat(m.meanPrompt, float64(h.PromptTokens), workWeight)
	}
	if h.AnswerTokens > 0 {
		m.meanAnswer = updateFloat(m.meanAnswer, float64(h.AnswerTokens), workWeight)
	}
	if raw := m.raw(e, h); raw > 0 {
		m.meanRaw = updateFloat(m.meanRaw, raw, workWeight)
	}
}

// observe records how long a request was held, relative to the mean.
func (m *workModel) observe(e *catalog.Engine, h size.Hint, ratio float64) {
	x, y := m.excess(e, h), min(maxExcess, ratio-1)
	residual := y - m.trust()*x
	m.squaredError += workWeight * (residual*residual - m.squaredError)
	m.covariance += workWeight * (x*y - m.covariance)
	m.variance += workWeight * (x*x - m.variance)
}

// trust is the part of the given excess that shows in the observed times, 0 to 1.
func (m *workModel) trust() float64 {
	return min(1, max(0, m.covariance/(m.variance+priorVariance)))
}

// relativeError is the standard error of the estimate, as a part of the mean.
func (m *workModel) relativeError() float64 { return math.Sqrt(m.squaredError) }

// work returns the estimated work of a request, 1 for the mean.
func (m *workModel) work(e *catalog.Engine, h size.Hint) float64 {
	return min(maxWork, max(minWork, 1+m.trust()*m.excess(e, h)))
}

// RecordWork records how long a backend server held an answered request of a size, to
// learn what such sizes say about the work.
func (p *Pool) RecordWork(serviceName string, h size.Hint, held time.Duration) {
	svc := p.service(serviceName)
	if svc.spec.Engine == nil || svc.meanHeld == 0 || h == (size.Hint{}) {
		return
	}
	svc.sizes.observe(svc.spec.Engine, h, held.Seconds()/svc.meanHeld.Seconds())
}

// SizeEstimate is how well the sizes that callers give predict the time for which
// requests of a service are held.
type SizeEstimate struct {
	// Trust is the part of the given deviation from the mean that is used, and Error
	// the standard error of the estimate relative to the mean.
	Trust, Error float64
}

// SizeEstimates returns the estimates of the services with engines, by name.
func (p *Pool) SizeEstimates() map[string]SizeEstimate {
	estimates := map[string]SizeEstimate{}
	for name, svc := range p.services {
		if svc.spec.Engine != nil && svc.sizes.variance > 0 {
			estimates[name] = SizeEstimate{Trust: svc.sizes.trust(), Error: svc.sizes.relativeError()}
		}
	}
	return estimates
}
