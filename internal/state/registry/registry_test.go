package registry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

func canonical(t testing.TB, state string) []byte {
	in, err := intent.Parse([]byte(`region = "maghreb"
[[failure_domain]]
name = "fes"
state = "` + state + `"
`))
	if err != nil {
		t.Fatal(err)
	}
	return in.Canonical()
}

func confirmation(t testing.TB, base uint64, state, operation string) *peer.ConfirmRequest {
	c := canonical(t, state)
	return &peer.ConfirmRequest{PlanId: PlanID(base, c), BaseRevision: base, Intent: c, OperationId: operation, OperatorName: "by-" + operation}
}

func unixMilli(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// Guards against a revision that is assigned twice, a resend that gets another
// result, and a conflict that does not name the operator who confirmed first.
func TestConfirm(t *testing.T) {
	r := New()
	tests := []struct {
		name     string
		req      *peer.ConfirmRequest
		revision uint64
		repeated bool
		message  string
	}{
		{"first", confirmation(t, 0, "active", "a"), 1, false, ""},
		{"same base revision", confirmation(t, 0, "drained", "b"), 0, false, `operator "by-a" won with operation "a": revision 1`},
		{"resend", confirmation(t, 0, "active", "a"), 1, true, ""},
		{"next", confirmation(t, 1, "drained", "c"), 2, false, ""},
		{"resend of the first", confirmation(t, 0, "active", "a"), 1, true, ""},
		{"resend after a conflict", confirmation(t, 0, "drained", "b"), 0, false, `by-a`},
		{"operation id of another plan", confirmation(t, 2, "active", "c"), 0, false, "another plan"},
		{"base that does not exist", confirmation(t, 9, "active", "d"), 0, false, "does not exist"},
	}
	for i, test := range tests {
		res, err := DecodeConfirmResult(r.Apply(uint64(i+1), ConfirmCommand(unixMilli(i), test.req)))
		if test.message != "" {
			if !fault.Is(err, fault.Conflict) || !strings.Contains(err.Error(), test.message) {
				t.Errorf("%s: %v, want a conflict with %q", test.name, err, test.message)
			}
			continue
		}
		if err != nil || res.Revision != test.revision || res.RepeatedAnswer != test.repeated {
			t.Errorf("%s: %v and %v", test.name, res, err)
		}
	}
	if c := r.Current(); c.Revision != 2 || c.Intent.FailureDomains[0].State != intent.Drained || c.Index != 4 {
		t.Errorf("current is %+v", c)
	}
}

// Guards against contradictory decisions on one version, with which one rank
// would switch while another keeps its map, and against fencing numbers that
// decrease.
func TestGroupDecisions(t *testing.T) {
	placement := func(expert uint32) []*peer.RankPlacement {
		return []*peer.RankPlacement{{Rank: 0, Experts: []uint32{expert}}}
	}
	change := func(version, step uint64) *GroupDecision {
		return &GroupDecision{Group: "g", MapVersion: version, SwitchStep: step, Placement: placement(uint32(version))}
	}
	abandon := func(version uint64) *GroupDecision {
		return &GroupDecision{Group: "g", MapVersion: version, Abandon: true}
	}
	r := New()
	steps := []struct {
		name              string
		decision          *GroupDecision
		won               bool
		version, fencing  uint64
		current, previous uint64
	}{
		{"not the next version", change(2, 10), false, 0, 0, 0, 0},
		{"first", change(1, 100), true, 1, 2, 1, 0},
		{"repeated", change(1, 100), true, 1, 2, 1, 0},
		{"another step", change(1, 200), false, 1, 2, 1, 0},
		{"abandoned after the switch", abandon(1), false, 1, 2, 1, 0},
		{"abandoned", abandon(2), true, 2, 6, 1, 0},
		{"abandoned again", abandon(2), true, 2, 6, 1, 0},
		{"switch after it was abandoned", change(2, 300), false, 2, 6, 1, 0},
		{"step in the past", change(3, 100), false, 2, 6, 1, 0},
		{"second", change(3, 300), true, 3, 10, 3, 1},
	}
	for i, step := range steps {
		g, won, err := DecodeGroupResult(r.Apply(uint64(i+1), GroupCommand(unixMilli(i), step.decision)))
		if err != nil {
			t.Fatal(err)
		}
		got := []uint64{g.GetVersion(), g.GetFencing(), g.GetCurrent().GetVersion(), g.GetPrevious().GetVersion()}
		if diff := cmp.Diff([]uint64{step.version, step.fencing, step.current, step.previous}, got); diff != "" || won != step.won {
			t.Errorf("%s: won %v, want %v; version, fencing, current and previous: %s", step.name, won, step.won, diff)
		}
	}
}

// drawCommand generates commands that often use the same keys and revisions.
func drawCommand(t *rapid.T, now time.Time) []byte {
	name := func(label string, n int) string { return fmt.Sprint(label, rapid.IntRange(0, n).Draw(t, label)) }
	attempt := func() *peer.AttemptRef {
		return &peer.AttemptRef{RequestId: name("r", 2), Number: rapid.Uint32Range(1, 3).Draw(t, "number"), AgentId: "n", AgentIncarnation: 1, BackendServer: "b"}
	}
	key := &peer.KeyRef{ClientAccount: "a", Service: "s", Key: name("k", 3)}
	digest := make([]byte, 32)
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0:
		state := rapid.SampledFrom([]string{"active", "drained"}).Draw(t, "state")
		c := []byte("region = 'x'\n# " + state) // Apply accepts an intent that is not valid
		base := rapid.Uint64Range(0, 4).Draw(t, "base")
		return ConfirmCommand(now, &peer.ConfirmRequest{PlanId: PlanID(base, c), BaseRevision: base, Intent: c, OperationId: name("op", 5), OperatorName: name("by", 2)})
	case 1, 2:
		return ClaimCommand(now, &peer.ClaimRequest{Key: key, Digest: digest, Attempt: attempt()})
	case 3:
		return ReassignCommand(now, &peer.ReassignRequest{Key: key, Digest: digest, Failed: attempt(), Next: attempt(), Evidence: peer.NotRunEvidence_NOT_RUN_EVIDENCE_REFUSED})
	case 4:
		req := &peer.CompleteRequest{Key: key, Attempt: attempt(), Outcome: &peer.CompleteRequest_Unknown{Unknown: true}}
		if rapid.Bool().Draw(t, "answered") {
			req.Outcome = &peer.CompleteRequest_Answer{Answer: &peer.StoredAnswer{Status: 200, Headers: []*peer.Header{{Name: "a", Value: "b"}}, Body: []byte("ok")}}
		}
		return CompleteCommand(now, req)
	case 5:
		return GroupCommand(now, &GroupDecision{Group: name("g", 2), Abandon: rapid.Bool().Draw(t, "abandon"),
			SwitchStep: rapid.Uint64Range(0, 4).Draw(t, "step"), MapVersion: rapid.Uint64Range(0, 4).Draw(t, "version")})
	}
	return FenceCommand(now, name("b", 3))
}

// Guards against replicas that diverge when one applies all commands and the
// other is restored from snapshots in between. Also guards against a revision
// or a fencing number that decreases.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		now := 1_000_000
		var revision, fencing uint64
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.SampledFrom([]int{-1000, 0, 10, 1000, 25 * 3600 * 1000}).Draw(t, "passed")
			command := drawCommand(t, unixMilli(now))
			x, y := a.Apply(uint64(i+1), command), b.Apply(uint64(i+1), command)
			if !bytes.Equal(x, y) {
				t.Fatalf("results differ: %x and %x", x, y)
			}
			if a.Revision() < revision {
				t.Fatalf("revision went from %d to %d", revision, a.Revision())
			}
			server, _ := a.Fencing("b1", "")
			if server < fencing {
				t.Fatalf("fencing number went from %d to %d", fencing, server)
			}
			revision, fencing = a.Revision(), server
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				b = restored(t, b)
			}
		}
		if x, y := snapshot(t, a), snapshot(t, restored(t, b)); !bytes.Equal(x, y) {
			p, q := &SnapshotData{}, &SnapshotData{}
			unmarshal(t, x, p)
			unmarshal(t, y, q)
			t.Fatal(cmp.Diff(p, q, protocmp.Transform()))
		}
	})
}

func restored(t rapid.TB, r *Registry) *Registry {
	next := New()
	if err := next.Restore(snapshot(t, r)); err != nil {
		t.Fatal(err)
	}
	return next
}

func snapshot(t rapid.TB, r *Registry) []byte {
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
