package control_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/control"
	"oleanderrack.example/oleanderrack/internal/coordination/lease"
	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// network carries messages between replicas in memory. It can isolate a replica
// from the others and from callers without closing connections.
type network struct {
	mu       sync.Mutex
	replicas map[uint64]*replica.Replica
	controls map[string]*control.Handler
	handlers map[string]http.Handler
	isolated map[string]*atomic.Bool
	done     <-chan struct{} // closed when the test ends
}

// replicaTransport is the replica.Transport of one replica.
type replicaTransport struct {
	net  *network
	from string
}

func (l replicaTransport) Send(to *peer.Member, messages []*peer.RaftMessage) {
	l.net.mu.Lock()
	target := l.net.replicas[to.Id]
	blocked := l.net.isolated[l.from].Load() || l.net.isolated[to.Address].Load()
	l.net.mu.Unlock()
	if target != nil && !blocked {
		target.Deliver(context.Background(), &peer.DeliverRequest{Cluster: "maghreb", Messages: messages})
	}
}

func newNetwork(t *testing.T) (*network, []string) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &network{replicas: map[uint64]*replica.Replica{}, handlers: map[string]http.Handler{}, controls: map[string]*control.Handler{}, isolated: map[string]*atomic.Bool{}, done: ctx.Done()}
	var members []*peer.Member
	var addresses []string
	for i := range 3 {
		s := httptest.NewServer(n)
		address := s.Listener.Addr().String()
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		n.isolated[address], addresses = &atomic.Bool{}, append(addresses, address)
		members = append(members, &peer.Member{Id: uint64(i + 1), Address: address, Voter: true})
	}
	for _, m := range members {
		machine := registry.New()
		r, err := replica.New(ctx, replica.Config{
			Cluster: "maghreb", ID: m.Id, Folder: t.TempDir(), Bootstrap: members, StateMachine: machine,
			Transport: replicaTransport{n, m.Address}, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cancel(); <-r.Done() })
		n.add(m, r, control.NewHandler(ctx, control.HandlerConfig{
			Region: "maghreb", Log: r, Registry: machine, LeaseTiming: lease.DefaultTiming(), Address: m.Address,
			Now: time.Now, Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
		}, ctx.Done()))
	}
	t.Cleanup(cancel)
	return n, addresses
}

func (n *network) add(m *peer.Member, r *replica.Replica, handler *control.Handler) {
	mux := http.NewServeMux()
	mux.Handle(peer.ControlPathPrefix, peer.NewControlServer(handler))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas[m.Id], n.controls[m.Address], n.handlers[m.Address] = r, handler, mux
}

// ServeHTTP forwards a call to the replica at the host of the request. An isolated
// replica never answers.
func (n *network) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	handler, isolated := n.handlers[r.Host], n.isolated[r.Host].Load()
	n.mu.Unlock()
	if isolated || handler == nil {
		select {
		case <-r.Context().Done():
		case <-n.done:
		}
		return
	}
	handler.ServeHTTP(w, r)
}

// Guards against a leader that is isolated while its connections stay open and
// continues to grant leases or keys, against a key that is granted twice around a
// leader change, and against nodes that lose their lease before there is another
// leader.
func TestSilentPartition(t *testing.T) {
	n, addresses := newNetwork(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	api := controlapi.New(addresses, &http.Client{Transport: transport})
	node := &peer.Node{Id: "n", Incarnation: 1, Role: peer.Role_ROLE_RUNNER, Address: "127.0.0.1:9", FailureDomain: "fes", Region: "maghreb"}
	session := membership.New(ctx, membership.Config{Node: node, Control: api, Now: time.Now, Log: hclog.NewNullLogger(), Scope: tally.NoopScope})
	eventually(t, "a lease", func() bool { return session.CheckLease() == nil })
	claim := func(key, request string) peer.ClaimState {
		res, err := api.Claim(ctx, &peer.ClaimRequest{
			Key: &peer.KeyRef{ClientAccount: "a", Service: "s", Key: key}, Digest: make([]byte, 32),
			Attempt: &peer.AttemptRef{RequestId: request, Number: 1, AgentId: "n", AgentIncarnation: 1, BackendServer: "b"},
		})
		if err != nil {
			t.Fatal(err)
		}
		return res.State
	}
	if got := claim("before", "r1"); got != peer.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatal(got)
	}
	grants := claimConcurrently(ctx, addresses)
	for round := range 2 {
		old := api.Leader()
		n.isolated[old].Store(true)
		begin := time.Now()
		if got := claim(fmt.Sprint("during", round), "r1"); got != peer.ClaimState_CLAIM_STATE_GRANTED {
			t.Fatal(got)
		}
		t.Logf("round %d: a claim took %v with the leader isolated", round, time.Since(begin).Round(time.Millisecond))
		eventually(t, "an answer of another leader to a renewal", func() bool {
			if err := session.CheckLease(); err != nil {
				t.Fatalf("lease lost %v after the leader was isolated: %v", time.Since(begin), err)
			}
			return time.Since(begin) > lease.DefaultDuration+lease.DefaultDuration/10
		})
		// The old leader still answers callers on its own side of the partition.
		callCtx, cancelCall := context.WithTimeout(ctx, 2*time.Second)
		_, err := n.controls[old].Renew(callCtx, &peer.RenewRequest{Node: node})
		cancelCall()
		if f := fault.From(peer.FromTwirp(err)); err == nil || f.Ran != fault.RanNo {
			t.Fatalf("an isolated leader grants a lease: %v", err)
		}
		if got := claim("before", "r2"); got != peer.ClaimState_CLAIM_STATE_IN_PROGRESS {
			t.Fatal("a key was granted twice:", got)
		}
		n.isolated[old].Store(false)
	}
	cancel()
	granted := 0
	for key, requests := range grants() {
		granted += len(requests)
		if len(requests) > 1 {
			t.Errorf("key %s was granted to %v", key, requests)
		}
	}
	t.Logf("%d keys were granted to concurrent callers", granted)
}

// claimConcurrently runs four callers that claim the same keys at the same time
// until ctx ends. The returned function waits for them and returns, for each key,
// the requests that were granted it.
func claimConcurrently(ctx context.Context, addresses []string) func() map[string][]string {
	var mu sync.Mutex
	var group sync.WaitGroup
	granted := map[string][]string{}
	for caller := range 4 {
		group.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			api := controlapi.New(addresses, &http.Client{Transport: transport})
			for i := 0; ctx.Err() == nil; i++ {
				key, request := fmt.Sprint("contended", i), fmt.Sprint("arrival", caller)
				res, err := api.Claim(ctx, &peer.ClaimRequest{
					Key: &peer.KeyRef{ClientAccount: "a", Service: "s", Key: key}, Digest: make([]byte, 32),
					Attempt: &peer.AttemptRef{RequestId: request, Number: 1, AgentId: "n", AgentIncarnation: 1, BackendServer: "b"},
				})
				if err == nil && res.State == peer.ClaimState_CLAIM_STATE_GRANTED {
					mu.Lock()
					granted[key] = append(granted[key], request)
					mu.Unlock()
				}
			}
		})
	}
	return func() map[string][]string { group.Wait(); return granted }
}
