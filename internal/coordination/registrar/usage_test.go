package registrar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/testing/protocmp"

	"oleanderrack.example/oleanderrack/internal/coordination/duty"
	"oleanderrack.example/oleanderrack/internal/coordination/usage"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// usageWindows are short, and reports may be late enough for a change of the leader.
var usageWindows = usage.Windows{Length: 500 * time.Millisecond, Lateness: 30 * time.Second}

// platform records reports and answers with an outcome.
type platform struct {
	mu      sync.Mutex
	outcome usage.Outcome
	reports []UsageReport
}

func (p *platform) config(address string) *UsageConfig {
	return &UsageConfig{
		Host: address, Windows: usageWindows, Terms: duty.Terms{Lease: time.Second, Action: 300 * time.Millisecond}, CallsPerSecond: 200,
		Report: func(_ context.Context, report UsageReport, permit func() error) (usage.Outcome, error) {
			if err := permit(); err != nil {
				return usage.NotSent, err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.reports = append(p.reports, report)
			return p.outcome, nil
		},
	}
}

func (p *platform) setOutcome(o usage.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcome = o
}

// of returns the reports of a window that a host has sent, of any host if it is "".
func (p *platform) of(window uint64, host string) []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []UsageReport
	for _, r := range p.reports {
		if r.Window == window && (host == "" || r.Host == host) {
			list = append(list, r)
		}
	}
	return list
}

// sendCounts sends the count of an entry, which counts in another window by now.
func sendCounts(t *testing.T, n *node, entry string, window, count, now uint64) {
	t.Helper()
	_, err := n.Follow(t.Context(), &peer.FollowRequest{
		Node:        &peer.Node{Id: entry, Incarnation: 1, Role: peer.Role_ROLE_ENTRY},
		Usage:       []*peer.UsageCounts{{Window: window, Counts: []*peer.AccountCount{{Account: "a", Count: count}}}},
		UsageWindow: now,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestUsageChangeOfLeader guards against a window that a new holder reports with other
// counts than the one before it, whose report may have been accepted; against counts
// that only other registrars have; and against a report that is repeated after it was
// accepted.
func TestUsageChangeOfLeader(t *testing.T) {
	p := &platform{outcome: usage.Unsure}
	g := startGroup(&group{t: t, nodes: map[string]*node{}, usage: p.config}, 3)
	g.replace(g.any(), 1, "one")
	for _, n := range g.nodes {
		g.eventually("become a voter", func() error { return checkVoter(n) })
	}
	window := usageWindows.At(time.Now()) + 1
	sendCounts(t, g.nodes[g.seeds[0]], "e1", window, 5, window)
	sendCounts(t, g.nodes[g.seeds[1]], "e2", window, 7, window)
	time.Sleep(time.Until(usageWindows.End(window)))
	sendCounts(t, g.nodes[g.seeds[0]], "e1", window, 4, window+1) // older than the first
	sendCounts(t, g.nodes[g.seeds[1]], "e2", window, 8, window+1)
	var first UsageReport
	g.eventually("report the window", func() error {
		reports := p.of(window, "")
		if len(reports) == 0 {
			return fmt.Errorf("no report of window %d", window)
		}
		first = reports[0]
		return nil
	})
	want := []*peer.AccountCount{{Account: "a", Count: 13}}
	if diff := cmp.Diff(want, first.Counts, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	g.stop(first.Host)
	for _, n := range g.nodes {
		sendCounts(t, n, "e3", window, 100, window+1) // too late to count
	}
	var second UsageReport
	g.eventually("report the window by another holder", func() error {
		for _, r := range p.of(window, "") {
			if r.Host != first.Host {
				second = r
				return nil
			}
		}
		return fmt.Errorf("window %d was not reported again", window)
	})
	if diff := cmp.Diff(want, second.Counts, protocmp.Transform()); diff != "" {
		t.Errorf("another holder: %s", diff)
	}
	if second.Token <= first.Token {
		t.Errorf("token %d follows token %d", second.Token, first.Token)
	}
	p.setOutcome(usage.Accepted)
	g.eventually("record the report", func() error {
		_, state, err := g.nodes[second.Host].supervisor.get()
		if err != nil {
			return err
		}
		for _, w := range state.Duty().GetWindows() {
			if w.Window == window && !w.Reported {
				return fmt.Errorf("window %d is not recorded as reported", window)
			}
		}
		return nil
	})
	reports := len(p.of(window, ""))
	time.Sleep(3 * fetchInterval) // longer than the pause between two attempts
	if n := len(p.of(window, "")); n != reports {
		t.Errorf("window %d was reported %d times after it was recorded", window, n-reports)
	}
}

// TestUsageAsLeaderAgain guards against a registrar that restarts, leads again, and waits
// for its own lease or takes another token.
func TestUsageAsLeaderAgain(t *testing.T) {
	p := &platform{}
	// An entry that is past all windows, so that each is closed at its end.
	isPast := func(n *node) { sendCounts(t, n, "e1", 0, 0, usageWindows.At(time.Now())+1000) }
	g := startGroup(&group{t: t, nodes: map[string]*node{}, usage: p.config}, 1)
	address := g.seeds[0]
	token := func() (token uint64) {
		g.eventually("hold the duty", func() error {
			p.mu.Lock()
			defer p.mu.Unlock()
			if len(p.reports) == 0 {
				return fmt.Errorf("no report")
			}
			token = p.reports[len(p.reports)-1].Token
			p.reports = nil
			return nil
		})
		return token
	}
	g.replace(g.any(), 1, "one")
	isPast(g.any())
	before := token()
	n := g.stop(address)
	p.mu.Lock()
	p.reports = nil
	p.mu.Unlock()
	isPast(g.start(address, n.folder, false))
	if after := token(); after != before {
		t.Errorf("token %d, want %d as before", after, before)
	}
}

// TestWithoutUsage guards against anything new in the calls and the log of a deployment
// that does not report usage.
func TestWithoutUsage(t *testing.T) {
	g := newGroup(t, 1)
	n := g.any()
	g.replace(n, 1, "one")
	sendCounts(t, n, "e1", 1, 1, 1)
	res, err := n.Follow(t.Context(), &peer.FollowRequest{Node: &peer.Node{Id: "e1", Role: peer.Role_ROLE_ENTRY}})
	if err != nil || res.ClockMs != 0 {
		t.Errorf("error %v, clock %d in a response", err, res.GetClockMs())
	}
	if _, err := n.Usage(t.Context(), &peer.UsageRequest{Windows: []uint64{1}}); err == nil {
		t.Error("counts were returned")
	}
	_, state, err := n.supervisor.get()
	if err != nil {
		t.Fatal(err)
	}
	if d := state.Duty(); d != nil {
		t.Errorf("the log has the duty %v", d)
	}
}

// TestMayClose guards against a window that is closed before its counts are complete or
// its bound has passed.
func TestMayClose(t *testing.T) {
	end := usageWindows.End(100)
	tests := map[string]struct {
		now      time.Time
		progress map[string]uint64
		want     bool
	}{
		"all are past it":         {end, map[string]uint64{"e1": 101, "e2": 102}, true},
		"one is in it":            {end.Add(11 * time.Second), map[string]uint64{"e1": 101, "e2": 100}, false},
		"one is in it, bound":     {end.Add(12 * time.Second), map[string]uint64{"e1": 101, "e2": 100}, true},
		"no entry is known":       {end.Add(11 * time.Second), nil, false},
		"no entry is known, late": {end.Add(12 * time.Second), nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Registrar{counts: newCounts(usageWindows), log: hclog.NewNullLogger(), scope: tally.NoopScope, cfg: Config{Seeds: func() []string { return nil }}}
			r.supervisor = newSupervisor(r.cfg, r.log, r.scope, nil, nil)
			for entry, window := range test.progress {
				r.counts.table.Advance(entry, window, 0)
			}
			p := &reporter{Registrar: r, cfg: UsageConfig{Windows: usageWindows}, fetched: map[uint64]time.Duration{}}
			if got := p.mayClose(t.Context(), test.now, 100); got != test.want {
				t.Errorf("mayClose is %t, want %t", got, test.want)
			}
		})
	}
}
