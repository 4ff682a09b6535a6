package pool

import "fmt"

// tally counts what callers of one kind got.
type tally struct {
	submitted, onTime, late, refused, left int
	// lateFirst are the late ones whose first event was late, lateResent those of them
	// that were sent again.
	lateFirst, lateResent int
	// resent counts the refused requests that were sent again when they were told to,
	// and resentRefused those of them that were refused again.
	resent, resentRefused int
	// idleRefusals are refusals while under half of all slots were taken.
	idleRefusals int
	// unfair are refusals while a less urgent request went on waiting at the entry.
	unfair int
	// gaveUp counts requests that had no answer at their deadline.
	gaveUp int
	// ignored counts the callers that resend at once, ignoredCredit what they got.
	ignored                      int
	ignoredCredit, obeyingCredit float64
	// bySize counts requests and those answered for the largest tenth, the next fifth
	// and the others.
	bySize, servedBySize [3]int
	byAccount            map[int][2]int // submitted, answered
}

// credit is the mean credit of a request.
func (t *tally) credit() float64 {
	return (float64(t.onTime) + loadLateWorth*float64(t.late)) / float64(max(1, t.submitted))
}

func (t *tally) String() string {
	return fmt.Sprintf("%d: %.3f, %d on time, %d late (%d first, %d resent), %d refused, %d left, %d gave up, %d resent, %d of them refused, %d idle refusals, %d unfair; obeying %.3f, ignoring %.3f",
		t.submitted, t.credit(), t.onTime, t.late, t.lateFirst, t.lateResent, t.refused, t.left, t.gaveUp, t.resent, t.resentRefused, t.idleRefusals, t.unfair,
		t.obeyingCredit/float64(max(1, t.submitted-t.ignored)), t.ignoredCredit/float64(max(1, t.ignored)))
}

// worth is what all callers got as a part of what they could get.
func (p *player) worth() float64 {
	got, possible := 0.0, 0.0
	for i, t := range p.tallies {
		got += t.credit() * p.kinds[i].worth * float64(t.submitted)
		possible += p.kinds[i].worth * float64(t.submitted)
	}
	return got / possible
}

// add adds the counts of another load.
func (t *tally) add(o *tally) {
	t.submitted += o.submitted
	t.onTime += o.onTime
	t.late += o.late
	t.lateFirst += o.lateFirst
	t.lateResent += o.lateResent
	t.refused += o.refused
	t.left += o.left
	t.resent += o.resent
	t.resentRefused += o.resentRefused
	t.idleRefusals += o.idleRefusals
	t.unfair += o.unfair
	t.gaveUp += o.gaveUp
	t.ignored += o.ignored
	t.ignoredCredit += o.ignoredCredit
	t.obeyingCredit += o.obeyingCredit
	for i := range t.bySize {
		t.bySize[i] += o.bySize[i]
		t.servedBySize[i] += o.servedBySize[i]
	}
}
