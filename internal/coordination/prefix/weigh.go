/*
Package prefix weighs the time that a cached prompt prefix saves against the
wait for the backend server that holds it.

# Concept

A backend server that still caches the first tokens of a prompt need not read
them again. The saving is the number of these tokens, times the probability that
they are still cached, divided by the reading speed. It is lost if the request
waits longer there than at another backend server, or if many requests with the
same prefix gather on one backend server while others are idle. [Weigh] compares
backend servers by expected wait less expected saving.

What is cached is inferred: a [Table] records which prefixes this entry has sent
where, [Probability] estimates whether they are still held, and an [Experience]
corrects the estimate by the cached tokens that backend servers report. A
service whose backend servers report that nothing was cached gets no preference.

# Use

	best, outcome := prefix.Weigh(offers)

All functions are pure: time is an argument, and no type starts a goroutine.
*/
package prefix

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Offer describes what one backend server offers to one request. Times are in
// seconds.
type Offer struct {
	// Wait is the expected time until the backend server starts with the request,
	// with the costs of the path to it.
	Wait float64
	// Tokens is the number of prompt tokens that this backend server has cached
	// with the probability Held.
	Tokens float64
	Held   float64
	// TokensPerSecond is the speed at which prompts are read; 0 if unknown.
	TokensPerSecond float64
	// Followers is the number of requests with the same prefix that this entry has
	// sent there since the load behind Wait was reported. Each of Peers other
	// entries, the expected number that prefer the same backend server, is assumed
	// to have sent as many. Each of those adds FollowerWait.
	Followers    float64
	Peers        float64
	FollowerWait float64
}

// Saving returns the expected reading time saved.
func (o *Offer) Saving() float64 {
	if o.TokensPerSecond <= 0 {
		return 0
	}
	return o.Tokens * o.Held / o.TokensPerSecond
}

// Crowding returns the expected wait for the followers that other entries have
// sent.
func (o *Offer) Crowding() float64 { return o.Followers * o.Peers * o.FollowerWait }

// Cost returns the expected wait less the expected saving.
func (o *Offer) Cost() float64 { return o.Wait + o.Crowding() - o.Saving() }

// Outcome says how a cached prefix affected a choice.
type Outcome uint8

// The outcomes.
const (
	// Unknown: no backend server is expected to hold a part of the prompt.
	Unknown Outcome = iota // unknown
	// Followed: the backend server with the largest saving was chosen.
	Followed // followed
	// Partial: one with a smaller saving and a shorter wait was chosen.
	Partial // partial
	// Outweighed: the wait was longer than the saving.
	Outweighed // outweighed
	// Crowded: the wait for other requests with the prefix was longer.
	Crowded // crowded
)

// Weigh returns the index of the offer with the lowest cost, the first one among
// equals, and how the savings affected the choice. There must be an offer.
func Weigh(offers []Offer) (best int, outcome Outcome) {
	most := 0
	for i := range offers {
		if offers[i].Cost() < offers[best].Cost() {
			best = i
		}
		if offers[i].Saving() > offers[most].Saving() {
			most = i
		}
	}
	chosen, largest := &offers[best], &offers[most]
	switch {
	case largest.Saving() <= 0:
		return best, Unknown
	case chosen.Saving() >= largest.Saving():
		return best, Followed
	case chosen.Saving() > 0:
		return best, Partial
	case largest.Cost()-largest.Crowding() < chosen.Cost():
		return best, Crowded
	}
	return best, Outweighed
}
