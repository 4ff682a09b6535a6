package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/coordination/follower"
)

// TestTrustSteps guards against a backend server that gets its full load back after one
// good outcome, or that loses a step for each of the requests that one event has ended.
func TestTrustSteps(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	bad := func(t *trust, sent, now time.Duration) { t.observe(start.Add(now), start.Add(sent), true, random) }
	good := func(t *trust, now time.Duration) { t.observe(start.Add(now), start.Add(now), false, random) }
	tests := map[string]struct {
		do          func(*trust)
		at          time.Duration
		level       int
		isSuspect   bool
		withRequest bool // whether it is suspect with a request in flight
	}{
		"new":            {do: func(*trust) {}},
		"one bad":        {do: func(t *trust) { bad(t, 0, time.Second) }, at: time.Second, level: 1, isSuspect: true, withRequest: true},
		"time for trial": {do: func(t *trust) { bad(t, 0, time.Second) }, at: 2 * time.Second, level: 1, withRequest: true},
		"one event": {do: func(t *trust) {
			for range 5 {
				bad(t, 0, time.Second)
			}
		}, at: time.Second, level: 1, isSuspect: true, withRequest: true},
		"fails again": {do: func(t *trust) {
			bad(t, 0, time.Second)
			bad(t, 2*time.Second, 2*time.Second)
		}, at: 2700 * time.Millisecond, level: 2, isSuspect: true, withRequest: true},
		"good while suspect": {do: func(t *trust) {
			bad(t, 0, time.Second)
			good(t, 1100*time.Millisecond)
		}, at: 1100 * time.Millisecond, level: 1, isSuspect: true, withRequest: true},
		"one step back": {do: func(t *trust) {
			bad(t, 0, time.Second)
			bad(t, 2*time.Second, 2*time.Second)
			good(t, 4*time.Second)
		}, at: 4 * time.Second, level: 1, isSuspect: true, withRequest: true},
		"restored": {do: func(t *trust) {
			bad(t, 0, time.Second)
			good(t, 2*time.Second)
		}, at: 2 * time.Second},
		"one bad of a peer": {do: func(t *trust) { t.observePeers(start, follower.Outcomes{Bad: 1}, random) }},
		"two bad of peers": {
			do:    func(t *trust) { t.observePeers(start, follower.Outcomes{Bad: 2, Good: 4}, random) },
			level: 1, isSuspect: true, withRequest: true,
		},
		"few bad of many": {do: func(t *trust) { t.observePeers(start, follower.Outcomes{Bad: 2, Good: 40}, random) }},
		"good of peers": {do: func(t *trust) {
			bad(t, -time.Second, 0)
			t.observePeers(start.Add(time.Second), follower.Outcomes{Good: 3}, random)
		}, at: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s trust
			test.do(&s)
			now := start.Add(test.at)
			got := []any{s.level, s.isSuspect(now, 0), s.isSuspect(now, 1)}
			if diff := cmp.Diff([]any{test.level, test.isSuspect, test.withRequest}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSuspectsTakeWhatOthersCannot guards against a backend server with some bad outcomes
// being lost as capacity while requests wait, and against all being avoided for a cause
// that is not theirs.
func TestSuspectsTakeWhatOthersCannot(t *testing.T) {
	p := newPool(Config{}, 3, nil)
	p.servers["s0"].trust = trust{level: 1, suspectUntil: start.Add(time.Second)}
	got := map[string]int{}
	for range 12 {
		if a, ok := p.Submit(start, request(1, start, time.Second)).(Assign); ok {
			got[a.Server.ID]++
			if got["s0"] > 0 && got["s1"]+got["s2"] < 8 {
				t.Fatal("the suspect got a request while others had free slots")
			}
		}
	}
	if diff := cmp.Diff(map[string]int{"s0": 4, "s1": 4, "s2": 4}, got); diff != "" {
		t.Error(diff)
	}
	p = newPool(Config{}, 3, nil)
	for _, id := range []string{"s0", "s1"} {
		p.servers[id].trust = trust{level: 1, suspectUntil: start.Add(time.Second)}
	}
	p.SetPeerLoads(start, map[string]uint32{})
	for i := range 4 {
		p.Submit(start, request(1, start, time.Second))
		if i == 3 && p.servers["s2"].inFlight == 4 {
			t.Error("the only trusted backend server got all requests")
		}
	}
}

// TestRecentCount guards against events that are counted for longer than the window, or
// again after a pause.
func TestRecentCount(t *testing.T) {
	var c recentCount
	c.add(start)
	c.add(start.Add(500 * time.Millisecond))
	var got []int
	for _, at := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, time.Second, 1500 * time.Millisecond, time.Hour} {
		got = append(got, c.sum(start.Add(at)))
	}
	if diff := cmp.Diff([]int{2, 2, 1, 0, 0}, got); diff != "" {
		t.Error(diff)
	}
}
