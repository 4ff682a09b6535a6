package registrar

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/suspend"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

func (g *group) drain(n *node, drained bool) {
	g.t.Helper()
	g.eventually("drain", func() error {
		_, err := n.Drain(context.Background(), &peer.DrainRequest{FailureDomain: "fes", Drained: drained})
		return peer.FromTwirp(err)
	})
}

func (g *group) leader() *node {
	g.t.Helper()
	var leader *node
	g.eventually("elect a leader", func() error {
		for _, n := range g.nodes {
			if log, _, err := n.supervisor.get(); err == nil && log.Status().IsLeader {
				leader = n
				return nil
			}
		}
		return fault.New(fault.NoQuorum, "no leader")
	})
	return leader
}

// isDrained returns the state at the leader, after a quorum has confirmed it.
func (g *group) isDrained() bool {
	g.t.Helper()
	drained := false
	g.eventually("read the state", func() error {
		log, state, err := g.leader().supervisor.get()
		if err != nil {
			return err
		}
		_, err = log.ConfirmLeadership(context.Background())
		drained, _ = state.DrainState("fes")
		return err
	})
	return drained
}

// TestAbandonedOrder guards against an order that its operator has given up and that
// undoes a later one (review/4): the registrar was stopped while the order lay in a
// buffer, the connection ends right after it, or the order was delayed between
// registrars. Orders that are still wanted are carried out.
func TestAbandonedOrder(t *testing.T) {
	g := newGroup(t, 3)
	first, second := g.nodes[g.seeds[0]], g.nodes[g.seeds[1]]
	g.drain(first, true)
	before := g.leader().drainIndex()
	g.drain(second, false)
	g.drain(second, true)
	order := func(forwarded bool, known *uint64) *peer.DrainRequest {
		return &peer.DrainRequest{FailureDomain: "fes", Drained: false, Forwarded: forwarded, KnownIndex: known}
	}
	tests := map[string]func() error{
		"the connection ends": func() error {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(5*time.Millisecond, cancel)
			_, err := first.Drain(ctx, order(false, nil))
			return err
		},
		"the registrar was stopped": func() error {
			var now atomic.Int64
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			running := first.interruptions
			defer func() { first.interruptions = running }()
			first.interruptions = suspend.New(ctx, func() time.Duration { return time.Duration(now.Load()) })
			now.Store(int64(3 * time.Second))
			_, err := first.Drain(context.Background(), order(false, nil))
			return err
		},
		"delayed between registrars": func() error {
			_, err := g.leader().Drain(context.Background(), order(true, &before))
			return err
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			err := peer.FromTwirp(send())
			if err == nil || fault.Is(err, fault.BadRequest) {
				t.Errorf("error %v, want one after which the operator may repeat the order", err)
			}
			if !g.isDrained() {
				t.Fatal("the abandoned order was carried out")
			}
		})
	}
	// The same order is carried out when it is sent again, and acknowledged again
	// by a registrar that does not know yet that it was.
	g.drain(first, false)
	g.eventually("acknowledge the order again", func() error {
		_, err := g.leader().Drain(context.Background(), order(true, &before))
		return peer.FromTwirp(err)
	})
	if g.isDrained() {
		t.Error("the order of an operator that repeats it was not carried out")
	}
}

// TestDrainIndexRestored guards against an order that counts as based on the newest
// state although a snapshot does not say when a failure domain was changed.
func TestDrainIndexRestored(t *testing.T) {
	r := registry.New()
	r.Apply(4, registry.DrainCommand(time.Unix(1, 0), "fes", true))
	r.Apply(7, registry.DrainCommand(time.Unix(2, 0), "ifrane", true))
	if _, index := r.DrainState("fes"); index != 4 {
		t.Errorf("index %d of the change, want 4", index)
	}
	snapshot, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := registry.New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if drained, index := restored.DrainState("fes"); !drained || index < 4 {
		t.Errorf("drained %t at index %d, want true at 4 or later", drained, index)
	}
}
