package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	token    = "operator-token-0123456789"
	testPlan = "0123456789abcdef0123456789abcdef"
	current  = "region = \"maghreb\"\n[[failure_domain]]\nname = \"fes\"\n"
)

// fakeOperator answers like a leader and records the requests.
type fakeOperator struct {
	peer.Operator
	mu       sync.Mutex
	confirms []*peer.ConfirmRequest
	plans    []*peer.PlanRequest
	changes  []*peer.ChangeMemberRequest
	err      error
}

func (f *fakeOperator) Plan(_ context.Context, req *peer.PlanRequest) (*peer.PlanResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans = append(f.plans, req)
	return &peer.PlanResponse{PlanId: testPlan, BaseRevision: 4, Intent: []byte(current), Changes: []*peer.PlannedChange{{
		Description: `failure_domain "fes" changed: state: active -> drained`, Services: []string{"order-desk"}, FailureDomains: []string{"fes"},
		BackendServers: []string{"b"}, RequestsInFlight: 3, CapacityLeft: map[string]uint64{"order-desk": 0}, Warning: "no capacity left",
	}}}, peer.ToTwirp(f.err)
}

func (f *fakeOperator) Confirm(_ context.Context, req *peer.ConfirmRequest) (*peer.ConfirmResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirms = append(f.confirms, req)
	return &peer.ConfirmResponse{Revision: 5, RepeatedAnswer: len(f.confirms) > 1}, peer.ToTwirp(f.err)
}

func (f *fakeOperator) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	return &peer.StatusResponse{Revision: 5, InForce: true, Leader: "127.0.0.1:1", Term: 2, Intent: []byte(current), Nodes: []*peer.NodeStatus{{
		Node: &peer.Node{Id: "n", Role: peer.Role_ROLE_RUNNER, FailureDomain: "fes"}, RunningRevision: 5, LeaseLeftMs: 2900,
		BackendServers: []*peer.BackendServer{{Name: "b", Service: "order-desk", Temperature: peer.Temperature_TEMPERATURE_WARM, Load: &peer.Load{Running: 3, Limit: 8}}},
	}}}, nil
}

func (f *fakeOperator) Members(context.Context, *peer.MembersRequest) (*peer.MembersResponse, error) {
	return &peer.MembersResponse{Leader: 1, Members: []*peer.Member{{Id: 2, Address: "b:1"}, {Id: 1, Address: "a:1", Voter: true, FailureDomain: "fes"}}}, nil
}

func (f *fakeOperator) ChangeMember(ctx context.Context, req *peer.ChangeMemberRequest) (*peer.MembersResponse, error) {
	f.mu.Lock()
	f.changes = append(f.changes, req)
	f.mu.Unlock()
	return f.Members(ctx, nil)
}

// testCLI runs commands against a fake leader.
type testCLI struct {
	fake   *fakeOperator
	folder string
	common []string
}

func newTestCLI(t *testing.T) *testCLI {
	cli := &testCLI{fake: &fakeOperator{}, folder: t.TempDir()}
	server := httptest.NewServer(auth.Require(peer.NewOperatorServer(cli.fake), auth.New(token)))
	t.Cleanup(server.Close)
	for name, text := range map[string]string{"token": token + "\n", "intent.toml": current} {
		if err := os.WriteFile(cli.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cli.common = []string{"-control", strings.TrimPrefix(server.URL, "http://"), "-token-file", cli.path("token"), "-timeout", "1s"}
	return cli
}

func (cli *testCLI) path(name string) string { return filepath.Join(cli.folder, name) }

func (cli *testCLI) run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Run(context.Background(), append(args, cli.common...), &out, &err)
	return code, out.String(), err.String()
}

// Guards against a second run of confirm with a new operation id, which makes
// the change twice or reports a conflict with the operator's own change.
func TestConfirmRepeatsOperation(t *testing.T) {
	cli := newTestCLI(t)
	plans := []string{"-plans", cli.path("plans")}
	if code, _, stderr := cli.run(append([]string{"plan", "-f", cli.path("intent.toml")}, plans...)...); code != ExitDone {
		t.Fatal(code, stderr)
	}
	for range 2 {
		// Creating the same plan again must not generate a new operation id.
		cli.run(append([]string{"plan", "-f", cli.path("intent.toml")}, plans...)...)
		if code, out, stderr := cli.run(append([]string{"confirm", testPlan, "-operator", "anna"}, plans...)...); code != ExitDone || !strings.Contains(out, "revision 5") {
			t.Fatal(code, out, stderr)
		}
	}
	if len(cli.fake.confirms) != 2 {
		t.Fatalf("%d confirmations were sent", len(cli.fake.confirms))
	}
	a, b := cli.fake.confirms[0], cli.fake.confirms[1]
	if a.OperationId == "" || a.OperationId != b.OperationId || a.OperatorName != "anna" || a.BaseRevision != 4 || string(a.Intent) != current {
		t.Errorf("confirmations %v and %v", a, b)
	}
}

// Guards against exit codes by which a script cannot distinguish a conflict from
// an unknown outcome.
func TestExitCodes(t *testing.T) {
	cli := newTestCLI(t)
	out := cli.path("plan.json")
	if code, _, stderr := cli.run("plan", "-f", cli.path("intent.toml"), "-out", out); code != ExitDone {
		t.Fatal(code, stderr)
	}
	damaged := cli.path("damaged.json")
	if err := os.WriteFile(damaged, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	conflict := fault.New(fault.Conflict, "operator \"bo\" won")
	tests := map[string]struct {
		args []string
		err  error
		want int
		text string
	}{
		"done":             {[]string{"confirm", out}, nil, ExitDone, ""},
		"waits":            {[]string{"confirm", "-wait", out}, nil, ExitDone, ""},
		"conflict":         {[]string{"confirm", out}, conflict, ExitConflict, `conflict: operator "bo" won`},
		"conflict as JSON": {[]string{"confirm", out, "-json"}, conflict, ExitConflict, `"kind": "conflict"`},
		"unknown":          {[]string{"confirm", out}, fault.New(fault.OutcomeUnknown, "lost"), ExitUnknown, "outcome_unknown"},
		"no quorum":        {[]string{"confirm", out}, fault.New(fault.NoQuorum, "none"), ExitUnavailable, "no_quorum"},
		"refused":          {[]string{"plan", "-f", cli.path("intent.toml"), "-out", out}, fault.New(fault.BadRequest, "intent: x"), ExitFailed, "intent: x"},
		"no command":       {nil, nil, ExitUsage, `unknown command "-control"`},
		"unknown command":  {[]string{"destroy"}, nil, ExitUsage, `unknown command "destroy"`},
		"unknown option":   {[]string{"status", "-colour"}, nil, ExitUsage, "-colour"},
		"no name":          {[]string{"drain"}, nil, ExitUsage, "give the name"},
		"no file":          {[]string{"plan", "-f", cli.path("none.toml")}, nil, ExitFailed, "cannot be read"},
		"no such plan":     {[]string{"confirm", strings.Repeat("0", 32), "-plans", cli.path("plans")}, nil, ExitFailed, "not_found"},
		"damaged plan":     {[]string{"confirm", damaged}, nil, ExitFailed, "is damaged"},
		"unknown name":     {[]string{"drain", "nowhere"}, nil, ExitFailed, "neither a failure domain"},
		"bad replica id":   {[]string{"members", "promote", "x"}, nil, ExitUsage, "is not a replica id"},
		"unknown kind":     {[]string{"drain", "fes", "-kind", "x"}, nil, ExitUsage, "-kind"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cli.fake.mu.Lock()
			cli.fake.err = test.err
			cli.fake.mu.Unlock()
			code, _, stderr := cli.run(test.args...)
			if code != test.want || !strings.Contains(stderr, test.text) {
				t.Errorf("exit code %d, want %d: %s", code, test.want, stderr)
			}
		})
	}
}

// Guards against a drain of the wrong kind of target, and against one that is
// executed without -confirm.
func TestDrain(t *testing.T) {
	cli := newTestCLI(t)
	plans := []string{"-plans", cli.path("plans")}
	for _, args := range [][]string{{"drain", "fes"}, {"drain", "b"}, {"return", "fes", "-confirm"}} {
		if code, _, stderr := cli.run(append(args, plans...)...); code != ExitDone {
			t.Fatal(args, code, stderr)
		}
	}
	var got []string
	for _, p := range cli.fake.plans {
		c := p.Changes[0]
		got = append(got, strings.Join([]string{c.FailureDomain, c.BackendServer, map[bool]string{true: "drained"}[c.Drained]}, "/"))
	}
	if diff := cmp.Diff([]string{"fes//drained", "/b/drained", "fes//"}, got); diff != "" {
		t.Error(diff)
	}
	if len(cli.fake.confirms) != 1 {
		t.Errorf("%d confirmations, want the one with -confirm", len(cli.fake.confirms))
	}
}

// Guards against output that lacks what an operator or a program needs.
func TestOutput(t *testing.T) {
	cli := newTestCLI(t)
	tests := map[string]struct {
		args []string
		want []string
	}{
		"plan":    {[]string{"plan", "-f", cli.path("intent.toml"), "-out", cli.path("p")}, []string{"IN FLIGHT", "order-desk=0", "warning: no capacity left", testPlan, cli.path("p")}},
		"status":  {[]string{"status"}, []string{"revision 5, in force", "fes", "runner", "2900 ms", "warm", "3/8", "active"}},
		"members": {[]string{"members"}, []string{"ADDRESS", "a:1", "yes"}},
		"add":     {[]string{"members", "add", "3", "c:1", "meknes"}, []string{"a:1"}},
	}
	for name, test := range tests {
		code, out, stderr := cli.run(test.args...)
		for _, want := range test.want {
			if code != ExitDone || !strings.Contains(out, want) {
				t.Errorf("%s: %q is missing (exit code %d, %s):\n%s", name, want, code, stderr, out)
			}
		}
	}
	if len(cli.fake.changes) != 1 || cli.fake.changes[0].Member.GetFailureDomain() != "meknes" {
		t.Errorf("changes of members: %v", cli.fake.changes)
	}
	_, out, _ := cli.run("status", "-json")
	var got status
	if err := json.Unmarshal([]byte(out), &got); err != nil || got.Revision != 5 || !got.InForce || len(got.Nodes) != 1 || got.Nodes[0].BackendServers[0].Running != 3 {
		t.Errorf("%v: %s", err, out)
	}
}

// Guards against commands that succeed with a wrong token.
func TestToken(t *testing.T) {
	cli := newTestCLI(t)
	if err := os.WriteFile(cli.path("token"), []byte("another-token-0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, stderr := cli.run("status"); code != ExitFailed || !strings.Contains(stderr, "unauthenticated") {
		t.Error(code, stderr)
	}
}
