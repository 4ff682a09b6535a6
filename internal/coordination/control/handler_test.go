package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const testIntent = `region = "maghreb"
[[failure_domain]]
name = "fes"
[[failure_domain]]
name = "meknes"
[[service]]
name = "order-desk"
kind = "plain"
failure_domains = ["fes", "meknes"]
`

type testHandler struct {
	*Handler
	log      *fakeLog
	shutdown context.CancelFunc
}

// newTestHandler runs in a synctest bubble, where time.Now is a fake clock.
func newTestHandler(t testing.TB) *testHandler {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	machine := registry.New()
	log := newFakeLog(machine, time.Now())
	draining, drain := context.WithCancel(ctx)
	t.Cleanup(drain)
	handler := NewHandler(ctx, HandlerConfig{
		Region: "maghreb", Log: log, Registry: machine, LeaseTiming: lease.DefaultTiming(), Address: "127.0.0.1:1",
		Now: time.Now, Logger: hclog.NewNullLogger(), Scope: tally.NoopScope, NewGroupCoordinator: ExpertMapCoordinator(expertmap.DefaultConfig()),
	}, draining.Done())
	return &testHandler{Handler: handler, log: log, shutdown: func() { drain(); cancel() }}
}

func runnerNode(id string) *peer.Node {
	return &peer.Node{Id: id, Incarnation: 7, Role: peer.Role_ROLE_RUNNER, Address: "127.0.0.1:9", FailureDomain: "fes", Region: "maghreb"}
}

func backendServer(name string, running uint32) *peer.BackendServer {
	return &peer.BackendServer{Name: name, Incarnation: 3, Service: "order-desk", MaxConcurrent: 8, Load: &peer.Load{Running: running, Limit: 8}}
}

func (r *testHandler) renew(t testing.TB, node *peer.Node, running uint64, servers ...*peer.BackendServer) *peer.RenewResponse {
	t.Helper()
	res, err := r.Renew(context.Background(), &peer.RenewRequest{Node: node, RunningRevision: running, Window: 1, BackendServers: servers})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func (r *testHandler) confirm(t testing.TB, req *peer.PlanRequest, operation string) (*peer.ConfirmResponse, error) {
	t.Helper()
	plan, err := r.Plan(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return r.Confirm(context.Background(), &peer.ConfirmRequest{
		PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent, OperationId: operation, OperatorName: "op-" + operation,
	})
}

func (r *testHandler) inForce(t testing.TB) bool {
	t.Helper()
	res, err := r.Status(context.Background(), &peer.StatusRequest{})
	if err != nil {
		t.Fatal(err)
	}
	return res.InForce
}

// Guards against a drain that is reported as in force while a node may still
// use the older revision.
func TestDrainComesIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		if _, err := r.confirm(t, &peer.PlanRequest{Intent: []byte(testIntent)}, "first"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second) // the leases of earlier leaders expire
		for i := range 2 {
			r.renew(t, runnerNode(fmt.Sprint("n", i)), 1, backendServer("b", 1))
		}
		if !r.inForce(t) {
			t.Fatal("revision 1 is not in force")
		}
		drain := &peer.PlanRequest{Changes: []*peer.StateChange{{FailureDomain: "fes", Drained: true}}}
		if res, err := r.confirm(t, drain, "second"); err != nil || res.Revision != 2 {
			t.Fatal(res, err)
		}
		r.renew(t, runnerNode("n0"), 2)
		if r.inForce(t) {
			t.Fatal("in force while n1 holds a lease on revision 1")
		}
		time.Sleep(3160 * time.Millisecond)
		if !r.inForce(t) {
			t.Fatal("not in force after the lease of n1 expired")
		}
	})
}

// Guards against two operators who both succeed on one base revision, and
// against a repeated call that gets another answer.
func TestConfirmOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		ctx := context.Background()
		plan, err := r.Plan(ctx, &peer.PlanRequest{Intent: []byte(testIntent)})
		if err != nil {
			t.Fatal(err)
		}
		req := func(op string) *peer.ConfirmRequest {
			return &peer.ConfirmRequest{PlanId: plan.PlanId, Intent: plan.Intent, OperationId: op, OperatorName: "op-" + op}
		}
		r.log.set(func(l *fakeLog) { l.loseResults = true })
		if _, err := r.Confirm(ctx, req("a")); !fault.Is(peer.FromTwirp(err), fault.OutcomeUnknown) {
			t.Fatalf("lost result: got %v, want outcome_unknown", err)
		}
		r.log.set(func(l *fakeLog) { l.loseResults = false })
		if res, err := r.Confirm(ctx, req("a")); err != nil || res.Revision != 1 || !res.RepeatedAnswer {
			t.Fatal(res, err)
		}
		_, err = r.Confirm(ctx, req("b"))
		if f := fault.From(peer.FromTwirp(err)); f.Kind != fault.Conflict || !strings.Contains(f.Message, `"op-a"`) {
			t.Fatalf("conflict does not name the winner: %v", f)
		}
	})
}

// Guards against a second attempt of a key.
func TestClaimOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		claim := func(request string) peer.ClaimState {
			res, err := r.Claim(context.Background(), &peer.ClaimRequest{
				Key: &peer.KeyRef{ClientAccount: "a", Service: "s", Key: "k"}, Digest: make([]byte, 32),
				Attempt: &peer.AttemptRef{RequestId: request, Number: 1, AgentId: "n", AgentIncarnation: 1, BackendServer: "b"},
			})
			if err != nil {
				t.Fatal(err)
			}
			return res.State
		}
		got := []peer.ClaimState{claim("r1"), claim("r1"), claim("r2")}
		want := []peer.ClaimState{peer.ClaimState_CLAIM_STATE_GRANTED, peer.ClaimState_CLAIM_STATE_GRANTED, peer.ClaimState_CLAIM_STATE_IN_PROGRESS}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Guards against a new leader that reports a revision as in force, or its
// backend servers as complete, while leases of the previous leader may be valid.
func TestLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		if _, err := r.confirm(t, &peer.PlanRequest{Intent: []byte(testIntent)}, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		r.renew(t, runnerNode("n0"), 1, backendServer("b", 1))
		if !r.inForce(t) {
			t.Fatal("not in force before the leader change")
		}
		r.log.set(func(l *fakeLog) { l.status.Term, l.status.LeaderSince = 2, time.Now() })
		entry := runnerNode("entry")
		entry.Role = peer.Role_ROLE_ENTRY
		watch := func(epoch, since uint64) *peer.WatchResponse {
			t.Helper()
			res, err := r.Watch(context.Background(), &peer.WatchRequest{Node: entry, Epoch: epoch, Since: since, WaitMs: 10_000})
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		first := watch(1, 99)
		if first.Full || first.Epoch != 2 || len(first.Rows) != 0 || r.inForce(t) {
			t.Fatalf("a new leader reports a complete state at once: %v", first)
		}
		r.renew(t, runnerNode("n1"), 1, backendServer("c", 1))
		second := watch(first.Epoch, first.Version)
		if second.Full || len(second.Rows) != 1 {
			t.Fatalf("response before the leases of the previous leader have expired: %v", second)
		}
		begin := time.Now()
		third := watch(second.Epoch, second.Version)
		if waited := time.Since(begin); !third.Full || waited < 2*time.Second || waited > 3400*time.Millisecond {
			t.Fatalf("full %v after %v", third.Full, waited)
		}
		if !r.inForce(t) {
			t.Fatal("not in force after the leases of the previous leader have expired")
		}
	})
}

// Guards against entries that receive a change late, and against a response for
// every small change of load.
func TestWatchWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		time.Sleep(4 * time.Second)
		r.renew(t, runnerNode("n"), 0, backendServer("b", 1))
		entry := runnerNode("entry")
		entry.Role = peer.Role_ROLE_ENTRY
		res, err := r.Watch(t.Context(), &peer.WatchRequest{Node: entry})
		if err != nil || !res.Full || len(res.Rows) != 1 {
			t.Fatal(res, err)
		}
		steps := []struct {
			name     string
			change   func()
			min, max time.Duration
		}{
			{"load", func() { r.renew(t, runnerNode("n"), 0, backendServer("b", 5)) }, loadInterval, loadInterval + time.Millisecond},
			{"another backend server", func() { r.renew(t, runnerNode("n"), 0, backendServer("b", 5), backendServer("c", 0)) }, 0, 50 * time.Millisecond},
			{"backend server removed", func() { r.renew(t, runnerNode("n"), 0, backendServer("c", 0)) }, 0, 50 * time.Millisecond},
			{"revision", func() { r.confirm(t, &peer.PlanRequest{Intent: []byte(testIntent)}, "a") }, 0, 50 * time.Millisecond},
			{"agent stops renewing", func() {}, 2 * time.Second, 3500 * time.Millisecond},
			{"nothing", func() {}, 5 * time.Second, 5 * time.Second},
		}
		for _, step := range steps {
			begin := time.Now()
			go func() {
				time.Sleep(10 * time.Millisecond)
				step.change()
			}()
			res, err = r.Watch(t.Context(), &peer.WatchRequest{Node: entry, Epoch: res.Epoch, Since: res.Version, WaitMs: 5000})
			if waited := time.Since(begin); err != nil || waited < step.min || waited > step.max {
				t.Errorf("%s: response after %v, want %v to %v: %v", step.name, waited, step.min, step.max, err)
			}
			if err != nil {
				return
			}
		}
		if res.Revision != 1 {
			t.Errorf("revision is %d", res.Revision)
		}
	})
}

// Guards against one quorum round per renewal, and against an answer that is
// based on a round begun before the call.
func TestRenewalsShareRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		release := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rounds := 0
		c := newConfirmer(ctx, func(context.Context) (uint64, error) {
			rounds++
			<-release
			return uint64(rounds), nil
		})
		call := func(want uint64) {
			if term, err := c.wait(ctx); err != nil || term != want {
				t.Errorf("got the term of round %d, want %d: %v", term, want, err)
			}
		}
		go call(1)
		synctest.Wait() // the first round is in progress
		for range 100 {
			go call(2)
		}
		synctest.Wait()
		close(release)
		synctest.Wait()
		if rounds != 2 {
			t.Errorf("101 calls took %d rounds, want 2", rounds)
		}
	})
}

// Guards against requests that are not validated, and against errors that lose
// their kind when they are returned to the caller.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestHandler(t)
		defer r.shutdown()
		ctx := t.Context()
		key := &peer.KeyRef{ClientAccount: "a", Service: "s", Key: "k"}
		attempt := &peer.AttemptRef{RequestId: "r", Number: 1, AgentId: "n", AgentIncarnation: 1, BackendServer: "b"}
		renew := func(change func(*peer.RenewRequest)) error {
			req := &peer.RenewRequest{Node: runnerNode("n"), BackendServers: []*peer.BackendServer{backendServer("b", 0)}}
			change(req)
			_, err := r.Renew(ctx, req)
			return err
		}
		claim := func(req *peer.ClaimRequest) error { _, err := r.Claim(ctx, req); return err }
		plan := func(req *peer.PlanRequest) error { _, err := r.Plan(ctx, req); return err }
		tests := map[string]struct {
			err  error
			want fault.Kind
		}{
			"no node":                         {renew(func(q *peer.RenewRequest) { q.Node = nil }), fault.BadRequest},
			"no incarnation":                  {renew(func(q *peer.RenewRequest) { q.Node.Incarnation = 0 }), fault.BadRequest},
			"other region":                    {renew(func(q *peer.RenewRequest) { q.Node.Region = "x" }), fault.Forbidden},
			"revision ahead of the leader":    {renew(func(q *peer.RenewRequest) { q.RunningRevision = 9 }), fault.Conflict},
			"server twice":                    {renew(func(q *peer.RenewRequest) { q.BackendServers = append(q.BackendServers, q.BackendServers[0]) }), fault.BadRequest},
			"entry with servers":              {renew(func(q *peer.RenewRequest) { q.Node.Role = peer.Role_ROLE_ENTRY }), fault.BadRequest},
			"memory out of range":             {renew(func(q *peer.RenewRequest) { q.BackendServers[0].MemoryTokens = 1 << 63 }), fault.BadRequest},
			"address":                         {renew(func(q *peer.RenewRequest) { q.Node.Address = "nowhere" }), fault.BadRequest},
			"claim without key":               {claim(&peer.ClaimRequest{Digest: make([]byte, 32), Attempt: attempt}), fault.BadRequest},
			"claim with a digest of 31 bytes": {claim(&peer.ClaimRequest{Key: key, Digest: make([]byte, 31), Attempt: attempt}), fault.BadRequest},
			"claim with a long key":           {claim(&peer.ClaimRequest{Key: &peer.KeyRef{ClientAccount: "a", Service: "s", Key: strings.Repeat("k", 257)}, Digest: make([]byte, 32), Attempt: attempt}), fault.BadRequest},
			"empty plan":                      {plan(&peer.PlanRequest{}), fault.BadRequest},
			"plan for other region":           {plan(&peer.PlanRequest{Intent: []byte(strings.Replace(testIntent, "maghreb", "x", 1))}), fault.BadRequest},
			"plan with intent and changes":    {plan(&peer.PlanRequest{Intent: []byte(testIntent), Changes: []*peer.StateChange{{}}}), fault.BadRequest},
			"unknown domain":                  {plan(&peer.PlanRequest{Changes: []*peer.StateChange{{FailureDomain: "x", Drained: true}}}), fault.NotFound},
			"complete without outcome": {func() error {
				_, err := r.Complete(ctx, &peer.CompleteRequest{Key: key, Attempt: attempt})
				return err
			}(), fault.BadRequest},
			"complete of a key that was never claimed": {func() error {
				_, err := r.Complete(ctx, &peer.CompleteRequest{Key: key, Attempt: attempt, Outcome: &peer.CompleteRequest_Unknown{Unknown: true}})
				return err
			}(), fault.Conflict},
			"reassign without evidence": {func() error {
				_, err := r.Reassign(ctx, &peer.ReassignRequest{Key: key, Digest: make([]byte, 32), Failed: attempt, Next: attempt})
				return err
			}(), fault.BadRequest},
			"map before the expert maps are loaded": {func() error {
				_, err := r.ProposeMap(ctx, &peer.ProposeMapRequest{Group: "g", OperationId: "o", Placement: []*peer.RankPlacement{{}}})
				return err
			}(), fault.NoQuorum},
		}
		for name, test := range tests {
			if got := fault.From(peer.FromTwirp(test.err)); test.err == nil || got.Kind != test.want || got.Ran != fault.RanNo {
				t.Errorf("%s: got %v, want %v", name, test.err, test.want)
			}
		}
		r.log.set(func(l *fakeLog) { l.status.IsLeader, l.status.LeaderAddress = false, "127.0.0.1:2" })
		err := fault.From(peer.FromTwirp(claim(&peer.ClaimRequest{Key: key, Digest: make([]byte, 32), Attempt: attempt})))
		if err.Kind != fault.NotLeader || err.Leader != "127.0.0.1:2" {
			t.Errorf("not the leader: %v", err)
		}
	})
}
