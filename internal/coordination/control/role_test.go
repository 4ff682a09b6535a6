package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/control"
	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/operator"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
)

const regionIntent = `region = "maghreb"
[[failure_domain]]
name = "fes"
[[failure_domain]]
name = "meknes"
[[service]]
name = "order-desk"
kind = "plain"
failure_domains = ["fes", "meknes"]
`

// testRegion is a control group on the loopback interface with data folders on
// disk.
type testRegion struct {
	folder    string
	addresses []string
	stop      map[string]context.CancelFunc
	done      map[string]chan error
}

func newTestRegion(t *testing.T, replicas int) *testRegion {
	r := &testRegion{folder: t.TempDir(), stop: map[string]context.CancelFunc{}, done: map[string]chan error{}}
	var members []control.Member
	for i := range replicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		r.addresses = append(r.addresses, l.Addr().String())
		members = append(members, control.Member{ID: uint64(i + 1), Address: l.Addr().String(), FailureDomain: "fes"})
	}
	r.write(t, "system", "system-token-0123456789")
	r.write(t, "operator", "operator-token-0123456789")
	r.write(t, "intent.toml", regionIntent)
	for i, address := range r.addresses {
		s := control.DefaultSettings()
		s.Listen, s.Region, s.FailureDomain, s.ID, s.Bootstrap = address, "maghreb", "fes", uint64(i+1), members
		s.TokenFile, s.OperatorTokenFile = r.path("system"), r.path("operator")
		s.DataFolder = r.path(fmt.Sprint("data", i))
		r.start(t, s)
	}
	return r
}

func (r *testRegion) start(t *testing.T, s control.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	role, err := control.New(ctx, s, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	r.stop[s.Listen], r.done[s.Listen] = cancel, done
	go func() { done <- role.Run() }()
	t.Cleanup(cancel)
}

func (r *testRegion) path(name string) string { return filepath.Join(r.folder, name) }

func (r *testRegion) write(t *testing.T, name, text string) {
	if err := os.WriteFile(r.path(name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (r *testRegion) client(t *testing.T, token string) *controlapi.Client {
	tok, err := auth.Load(r.path(token))
	if err != nil {
		t.Fatal(err)
	}
	return controlapi.New(r.addresses, &http.Client{Transport: auth.Client{Token: tok, Base: &http.Transport{}}})
}

// runCommand runs an operator command, decodes its JSON output and returns its
// exit code.
func (r *testRegion) runCommand(t *testing.T, out any, args ...string) int {
	t.Helper()
	var stdout, stderr bytes.Buffer
	args = append(args, "-control", strings.Join(r.addresses, ","), "-token-file", r.path("operator"), "-json")
	if args[0] == "plan" || args[0] == "confirm" || args[0] == "drain" {
		args = append(args, "-plans", r.path("plans"), "-operator", "test")
	}
	code := operator.Run(context.Background(), args, &stdout, &stderr)
	if code == operator.ExitDone && out != nil {
		dec := json.NewDecoder(&stdout)
		for dec.More() {
			if err := dec.Decode(out); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Logf("%v: exit %d %s", args[0], code, stderr.String())
	return code
}

// Guards against components that do not work together: a region is planned and
// drained and loses its leader, while a node keeps its lease and a key its claim.
func TestRegion(t *testing.T) {
	r := newTestRegion(t, 3)
	var plan struct {
		PlanID string `json:"plan_id"`
	}
	if code := r.runCommand(t, &plan, "plan", "-f", r.path("intent.toml")); code != operator.ExitDone {
		t.Fatal("plan: exit code", code)
	}
	if code := r.runCommand(t, nil, "confirm", plan.PlanID); code != operator.ExitDone {
		t.Fatal("confirm: exit code", code)
	}
	var confirmed struct {
		Revision       uint64 `json:"revision"`
		RepeatedAnswer bool   `json:"repeated_answer"`
		InForce        bool   `json:"in_force"`
		InForceAfterMS int64  `json:"in_force_after_ms"`
	}
	if code := r.runCommand(t, &confirmed, "confirm", plan.PlanID); code != operator.ExitDone || confirmed.Revision != 1 || !confirmed.RepeatedAnswer {
		t.Fatal("repeated confirm: exit code", code, confirmed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	api := r.client(t, "system")
	node := &peer.Node{Id: "n", Incarnation: 1, Role: peer.Role_ROLE_RUNNER, Address: "127.0.0.1:9", FailureDomain: "fes", Region: "maghreb"}
	session := membership.New(ctx, membership.Config{
		Node: node, Control: api, Now: time.Now, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	eventually(t, "a lease", func() bool { return session.CheckLease() == nil && session.Revision() == 1 })
	key := &peer.KeyRef{ClientAccount: "a", Service: "order-desk", Key: "k"}
	claim := func(request string) peer.ClaimState {
		res, err := api.Claim(ctx, &peer.ClaimRequest{Key: key, Digest: make([]byte, 32), Attempt: &peer.AttemptRef{
			RequestId: request, Number: 1, AgentId: "n", AgentIncarnation: 1, BackendServer: "b",
		}})
		if err != nil {
			t.Fatal(err)
		}
		return res.State
	}
	if got := claim("r1"); got != peer.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatal("first claim:", got)
	}
	if code := r.runCommand(t, &confirmed, "drain", "fes", "-confirm", "-wait"); code != operator.ExitDone || !confirmed.InForce {
		t.Fatal("drain: exit code", code, confirmed)
	}
	if in := session.Intent(); !in.IsDrained("fes", "b") || in.IsDrained("meknes", "b") {
		t.Fatal("the node does not apply the drain")
	}
	leader := api.Leader()
	r.stop[leader]()
	if err := <-r.done[leader]; err != nil {
		t.Fatal(err)
	}
	eventually(t, "a renewal with another leader", func() bool {
		if err := session.CheckLease(); err != nil {
			t.Fatal("the lease was lost during the leader change:", err)
		}
		return api.Leader() != leader && api.Leader() != ""
	})
	if got := claim("r2"); got != peer.ClaimState_CLAIM_STATE_IN_PROGRESS {
		t.Fatal("claim after the leader change:", got)
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("no " + what + " within 10 s")
}
