package pool

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// TestDisplaced guards against an urgent request that is refused while a less urgent one
// goes on waiting.
func TestDisplaced(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	for range 4 {
		p.Submit(start, request(1, start, time.Second))
	}
	p.Done(start, "pool", "s0", 1, Answered, 50*time.Millisecond, 400*time.Millisecond)
	p.Submit(start, request(1, start, time.Second))
	patient, urgent := request(2, start, time.Second), request(0, start, 50*time.Millisecond)
	got := []string{kindOf(p.Submit(start, patient)), kindOf(p.Submit(start, urgent))}
	for _, d := range p.DecideQueued(start) {
		got = append(got, fmt.Sprint(kindOf(d.Decision), " ", d.Request == patient))
	}
	if diff := cmp.Diff([]string{"wait", "wait", "refuse displaced true"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestOvertaken guards against a less urgent request that is refused only after a long
// wait, although more urgent ones keep it from starting.
func TestOvertaken(t *testing.T) {
	p := newPool(Config{}, 1, nil)
	for range 4 {
		p.Submit(start, request(1, start, time.Second))
	}
	p.Done(start, "pool", "s0", 1, Answered, 50*time.Millisecond, 400*time.Millisecond)
	p.Submit(start, request(1, start, time.Second))
	patient := request(2, start, time.Second)
	p.Submit(start, patient)
	now := start.Add(50 * time.Millisecond)
	for range 20 {
		p.Submit(now, request(0, now, 5*time.Second))
	}
	var refused []*Request
	for _, d := range p.DecideQueued(now) {
		if kindOf(d.Decision) == "refuse queue_too_long" {
			refused = append(refused, d.Request)
		}
	}
	if len(refused) != 1 || refused[0] != patient {
		t.Errorf("%d requests were refused, want only the less urgent one", len(refused))
	}
}

// TestAccounts guards against a client account that takes more than its share while
// others wait, against slots that are not used because an account has had its share,
// and against a claim that an account gains by sending nothing.
func TestAccounts(t *testing.T) {
	const held = 400 * time.Millisecond
	tests := map[string]struct {
		perSecond map[string]int // the service serves ten a second
		least     map[string]float64
	}{
		"one account alone":        {map[string]int{"big": 30}, map[string]float64{"big": 9}},
		"a small one beside it":    {map[string]int{"big": 30, "small": 2}, map[string]float64{"big": 7, "small": 1.7}},
		"two large and a small":    {map[string]int{"big": 50, "large": 20, "small": 2}, map[string]float64{"big": 3.3, "large": 3.3, "small": 1.7}},
		"an equal share for each":  {map[string]int{"a": 40, "b": 20, "c": 10, "d": 5}, map[string]float64{"a": 2, "b": 2, "c": 2, "d": 2}},
		"all below their capacity": {map[string]int{"a": 4, "b": 2}, map[string]float64{"a": 3.9, "b": 1.9}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(Config{}, 1, nil)
			var ends []time.Time
			served, submitted := map[string]int{}, map[string]int{}
			apply := func(now time.Time, r *Request, d Decision) {
				if _, ok := d.(Assign); ok {
					served[r.ClientAccount]++
					ends = append(ends, now.Add(held))
				}
			}
			const length = 20 * time.Second
			accounts := []string{}
			for account := range test.perSecond {
				accounts = append(accounts, account)
			}
			slices.Sort(accounts)
			for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
				now := start.Add(at)
				ends = slices.DeleteFunc(ends, func(end time.Time) bool {
					if end.After(now) {
						return false
					}
					p.Done(now, "pool", "s0", 1, Answered, 50*time.Millisecond, held)
					return true
				})
				for _, d := range p.DecideQueued(now) {
					apply(now, d.Request, d.Decision)
				}
				for _, account := range accounts {
					for int(at.Seconds()*float64(test.perSecond[account])) > submitted[account] {
						submitted[account]++
						r := request(1, now, 800*time.Millisecond)
						r.ClientAccount = account
						apply(now, r, p.Submit(now, r))
					}
				}
			}
			for account, least := range test.least {
				if got := float64(served[account]) / length.Seconds(); got < least {
					t.Errorf("%s got %.2f a second, want at least %.2f", account, got, least)
				}
			}
			t.Log(served)
		})
	}
}

// TestShareBounds guards against memory that grows with the number of accounts, and
// against a tag behind the virtual time.
func TestShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s accountShares
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			account := fmt.Sprint(rapid.IntRange(0, 2*maxAccounts).Draw(t, "account"))
			tag := s.tag(account)
			if tag < s.virtual {
				t.Fatal("a tag is behind the virtual time")
			}
			work := rapid.Float64Range(minWork, maxWork).Draw(t, "work")
			s.charge(account, tag, work)
			if rapid.Bool().Draw(t, "refused") {
				s.refund(account, work)
			} else {
				s.started(tag)
			}
		}
	})
	var s accountShares
	for i := range 3 * maxAccounts {
		s.charge(fmt.Sprint(i), 0, 1)
	}
	if len(s.next) > maxAccounts {
		t.Errorf("%d accounts are remembered, want at most %d", len(s.next), maxAccounts)
	}
}

// TestWorkModel guards against hints that are trusted although they say nothing, and
// against useful ones that are not.
func TestWorkModel(t *testing.T) {
	e := &catalog.Engine{Slots: 10, StepTime: 5 * time.Millisecond, RequestStepTime: 400 * time.Microsecond, StepsPerPass: 7, PrefillTokensPerSecond: 74800}
	tests := map[string]struct {
		noise       float64 // of the observed time
		follows     bool    // the time follows the hint
		least, most float64 // trust
	}{
		"exact":         {follows: true, least: 0.8, most: 1},
		"often far off": {follows: true, noise: 0.8, least: 0.6, most: 1},
		"says nothing":  {noise: 0.8, least: 0, most: 0.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(threeGroups())
			var m workModel
			for range 2000 {
				h := size.Hint{PromptTokens: 700, AnswerTokens: int(p.lognormal(160, 0.6))}
				m.offered(e, h)
				ratio := 1.0
				if test.follows {
					ratio = 1 + m.excess(e, h)
				}
				m.observe(e, h, ratio*math.Exp(test.noise*p.random.NormFloat64()-test.noise*test.noise/2))
			}
			if m.trust() < test.least || m.trust() > test.most {
				t.Errorf("trust %.2f, want %.2f to %.2f", m.trust(), test.least, test.most)
			}
			for _, h := range []size.Hint{{}, {PromptTokens: size.MaxTokens, AnswerTokens: size.MaxTokens}, {AnswerTokens: 1}} {
				if w := m.work(e, h); w < minWork || w > maxWork {
					t.Errorf("work %v of %+v", w, h)
				}
			}
		})
	}
}

// TestIdle guards against a refusal for the expected wait while most slots are free and
// nothing waits: the entry's part of what is free may be used up for a moment.
func TestIdle(t *testing.T) {
	p := newPool(Config{}, 8, func(v *follower.View) { v.Entries = 8 })
	a, ok := p.Submit(start, request(1, start, time.Second)).(Assign)
	if !ok {
		t.Fatal("not assigned")
	}
	p.Done(start, "pool", a.Server.ID, 1, Answered, time.Second, 20*time.Second)
	p.SetPeerLoads(start, map[string]uint32{"s0": 1})
	for i := range p.servers {
		p.servers[i].fullUntil = start.Add(100 * time.Millisecond)
	}
	if diff := cmp.Diff("wait", kindOf(p.Submit(start, request(1, start, time.Second)))); diff != "" {
		t.Error(diff)
	}
}
