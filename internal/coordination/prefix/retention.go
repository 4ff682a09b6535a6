package prefix

import (
	"math"
	"time"
)

// arrivalError is the relative error of the tokens that are taken to have arrived
// since a prefix: those of other entries are only estimated.
const arrivalError = 0.25

// Probability returns the probability that a prefix is still cached after arrived
// newer tokens, in a cache for room tokens that evicts the least recently used
// ones. A lifetime above 0 is the time constant with which knowledge of the given
// age loses its weight.
func Probability(arrived, room float64, age, lifetime time.Duration) float64 {
	if room <= 0 || age < 0 {
		return 0
	}
	p := min(1, max(0, (1+arrivalError-arrived/room)/(2*arrivalError)))
	if lifetime > 0 {
		p *= math.Exp(-age.Seconds() / lifetime.Seconds())
	}
	return p
}

const (
	// memoryLevels is the number of ranges of memory in use for which experience is
	// kept apart: requests in progress may take the memory of cached prefixes.
	memoryLevels = 4
	// priorTokens is the weight of the assumption against reports, in tokens:
	// about ten prompts. It is small against decayTokens, so that reports of
	// nothing bring the trust below minTrust and keep it there.
	priorTokens = 2048
	// decayTokens is the number of expected tokens at which all counts are halved,
	// so that a change shows within about a hundred prompts.
	decayTokens = 1 << 17
	// minTrust is the share of reported tokens below which backend servers are
	// taken not to cache prefixes at all.
	minTrust = 0.05
)

// Experience is what backend servers of one service have reported about their
// caches. The zero value assumes that what was estimated is true.
type Experience struct {
	expected, seen [memoryLevels]float64
}

func level(memory float64) int {
	if !(memory > 0.5) {
		return 0
	}
	// Half of the memory is rarely short of room; the ranges above are 1/6 each.
	return 1 + int(min((memory-0.5)*6, memoryLevels-2))
}

// Record records that cached of expected tokens were found, while the given share
// of the memory was in use. Expected is the estimate before [Experience.Trust].
func (x *Experience) Record(memory, expected, cached float64) {
	if !(expected > 0) || !(cached >= 0) {
		return
	}
	l := level(memory)
	x.expected[l] += expected
	x.seen[l] += cached
	if x.expected[l] > decayTokens {
		x.expected[l] /= 2
		x.seen[l] /= 2
	}
}

// Trust returns the share of the estimated tokens that are usually found while the
// given share of the memory is in use, at most 1. It is 0 if practically none are.
func (x *Experience) Trust(memory float64) float64 {
	l := level(memory)
	trust := min(1, (priorTokens+x.seen[l])/(priorTokens+x.expected[l]))
	if trust < minTrust {
		return 0
	}
	return trust
}
