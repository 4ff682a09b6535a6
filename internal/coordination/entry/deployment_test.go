package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/control"
	"oleanderrack.example/oleanderrack/internal/coordination/runner"
	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
)

// runnable is a role that serves until its context ends.
type runnable interface{ Run() error }

// deployment is one control replica, one agent with two engines and three order
// desks, and one entry, all running their product code.
type deployment struct {
	entry   *Role
	engines []*standin.Engine
	plains  []*standin.Plain
}

// executions counts how often the order desks executed a path, or all paths if
// it is empty.
func (d *deployment) executions(path string) int {
	n := 0
	for _, p := range d.plains {
		for ran, count := range p.Record().Paths {
			if path == "" || ran == path {
				n += count
			}
		}
	}
	return n
}

// startDeployment starts a deployment. With a fault source, the entry's calls
// to the ledger and the agent are subject to faults.
func startDeployment(t *testing.T, faults *faultSource) *deployment {
	t.Helper()
	var engines []standin.EngineConfig
	for _, name := range []string{"pool-1", "pool-2"} {
		engines = append(engines, standin.EngineConfig{Name: name, Service: "pool", MemoryTokens: 20000, MaxConcurrent: 16, StartWarm: true, Resumes: true})
	}
	return startDeploymentWith(t, faults, engines, func(*Role) {})
}

// startDeploymentWith starts a deployment with the given engines, and calls
// prepare before the entry serves.
func startDeploymentWith(t *testing.T, faults *faultSource, engines []standin.EngineConfig, prepare func(*Role)) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	serve := func(r runnable) {
		group.Go(func() {
			if err := r.Run(); err != nil {
				t.Error(err)
			}
		})
	}
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("system-token-0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	log := hclog.NewNullLogger()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	cs := control.DefaultSettings()
	cs.Listen, cs.Region, cs.FailureDomain, cs.Host, cs.ID = address, "r1", "d1", "control-1", 1
	cs.TokenFile, cs.OperatorTokenFile, cs.DataFolder = token, token, t.TempDir()
	cs.Bootstrap = []control.Member{{ID: 1, Address: address, FailureDomain: "d1"}}
	c, err := control.New(ctx, cs, log)
	if err != nil {
		t.Fatal(err)
	}
	serve(c)
	confirmIntent(t, address)
	rs := runner.DefaultSettings()
	rs.Listen, rs.Region, rs.FailureDomain, rs.Host, rs.TokenFile, rs.Control = "127.0.0.1:0", "r1", "d1", "host-1", token, []string{address}
	agent, err := runner.New(ctx, rs, log)
	if err != nil {
		t.Fatal(err)
	}
	serve(agent)
	d := &deployment{}
	for _, cfg := range engines {
		cfg.Agent = agent.Address()
		e, err := standin.StartEngine(ctx, cfg)
		if err != nil {
			t.Fatal(err)
		}
		d.engines = append(d.engines, e)
	}
	for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
		p, err := standin.StartPlain(ctx, standin.PlainConfig{Name: name, Service: "desk", Agent: agent.Address(), MaxConcurrent: 8})
		if err != nil {
			t.Fatal(err)
		}
		d.plains = append(d.plains, p)
	}
	es := DefaultSettings()
	es.Listen, es.Region, es.FailureDomain, es.Host, es.TokenFile, es.Control = "127.0.0.1:0", "r1", "d1", "entry-1", token, []string{address}
	es.DrainSettle.Duration = 0
	if faults == nil {
		d.entry, err = New(ctx, es, log)
	} else {
		real := networkDependencies(auth.New("system-token-0123456789"), log)
		connect := real.connect
		real.transport = faultyTransport{faults, real.transport}
		real.connect = func(ctx context.Context, region string, addresses []string, node *peer.Node, scope tally.Scope) (peer.Control, Session) {
			control, session := connect(ctx, region, addresses, node, scope)
			return faultyControl{control, faults}, session
		}
		d.entry, err = newRole(ctx, es, log, real)
	}
	if err != nil {
		t.Fatal(err)
	}
	prepare(d.entry)
	serve(d.entry)
	waitFor(t, "all backend servers", func() bool {
		d.entry.mu.Lock()
		defer d.entry.mu.Unlock()
		return d.entry.view.Len() == len(engines)+3 && d.entry.ready() == nil
	})
	return d
}

func confirmIntent(t *testing.T, address string) {
	t.Helper()
	api := controlapi.New([]string{address}, &http.Client{Transport: auth.Client{Token: auth.New("system-token-0123456789"), Base: http.DefaultTransport}})
	in := testIntent()
	in.Services = in.Services[:2]
	plan, err := api.Plan(context.Background(), &peer.PlanRequest{Intent: in.Canonical()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := api.Confirm(context.Background(), &peer.ConfirmRequest{
		PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent, OperationId: "op-1", OperatorName: "test",
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against incompatible roles: covers answers through real control, agent
// and stand-ins, keys that run once, and a stream that is resumed when its
// engine crashes.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	h := &harness{role: d.entry}
	res, body, err := h.call(t, "POST", "/v1/chat/completions", strings.Replace(streamBody, `"stream"`, `"max_tokens":20,"stream"`, 1))
	if err != nil || res.StatusCode != 200 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("stream: %v %v %.300q", res, err, body)
	}
	res, body, err = h.call(t, "POST", "/v1/completions", strings.Replace(completionBody, `"prompt"`, `"max_tokens":20,"prompt"`, 1))
	if err != nil || res.StatusCode != 200 || !strings.Contains(body, "choices") {
		t.Errorf("completion: %v %v %.300q", res, err, body)
	}
	d.checkResume(t, h)
	var answers [4]string
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			res, body, err := h.call(t, "POST", "/s/desk/orders", `{"order":1}`, "Idempotency-Key", "order-1")
			answers[i] = fmt.Sprint(res.StatusCode, " ", body, " ", err)
		})
	}
	group.Wait()
	for _, a := range answers {
		if a != answers[0] || !strings.HasPrefix(a, "200 ") {
			t.Errorf("requests with one key got %q and %q", answers[0], a)
		}
	}
	res, body, err = h.call(t, "POST", "/s/desk/orders", `{"order":2}`, "Idempotency-Key", "order-1")
	if err != nil || res.StatusCode != 422 {
		t.Errorf("another body: %v %v %q", res, err, body)
	}
	if n := d.executions(""); n != 1 {
		t.Errorf("the order desk ran %d requests, want 1", n)
	}
}

// checkResume crashes the engine in the middle of a stream, and compares the
// text with that of an uninterrupted stream.
func (d *deployment) checkResume(t *testing.T, h *harness) {
	t.Helper()
	body := strings.Replace(streamBody, `"stream"`, `"max_tokens":150,"stream"`, 1)
	text := func(during func(events int)) string {
		req, _ := http.NewRequest("POST", "http://"+d.entry.Address()+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+testKey)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var out strings.Builder
		lines, events := bufio.NewScanner(res.Body), 0
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if !ok {
				if lines.Text() != "" {
					t.Errorf("got line %q", lines.Text())
				}
				continue
			}
			if data == "[DONE]" {
				return out.String()
			}
			var chunk struct {
				Choices []struct {
					Delta struct{ Content string }
				}
			}
			if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
				t.Fatalf("event %q: %v", data, err)
			}
			out.WriteString(chunk.Choices[0].Delta.Content)
			events++
			during(events)
		}
		t.Errorf("the stream ended without its last event after %d events", events)
		return out.String()
	}
	want := text(func(int) {})
	got := text(func(events int) {
		if events != 20 {
			return
		}
		for _, e := range d.engines {
			if r := e.Record(); r.Ran > r.Finished {
				e.Apply(standin.Control{ExitAfterTokens: 1})
			}
		}
	})
	if got != want {
		t.Errorf("the resumed stream has %d bytes of text, want %d: %q", len(got), len(want), got)
	}
}
