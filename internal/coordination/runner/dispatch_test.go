package runner

import (
	"context"
	"testing"

	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Guards against work that starts without a lease, on a drained path or for an
// invalid request, and against a later copy of the attempt that gets another
// answer.
func TestRefusals(t *testing.T) {
	b := newHarness(t, nil)
	p := b.plain(standin.PlainConfig{Name: "desk-1"})
	e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: false, MemoryTokens: 500})
	drainedDomain := testIntent()
	drainedDomain.FailureDomains[0].State = intent.Drained
	otherDomain := testIntent()
	otherDomain.Services[1].FailureDomains = []string{"ifrane"}
	drainedServer := testIntent()
	drainedServer.BackendServers = []intent.BackendServer{{Name: "desk-1", State: intent.Drained}}
	loading := testIntent()
	loading.Services[0].Model = "another"
	older := testIntent()
	older.Services = nil
	newer := func(r *peer.DispatchRequest) { r.Entry, r.Revision = &peer.Node{Region: older.Region}, 2 }
	tests := map[string]struct {
		view   membership.View
		change func(*peer.DispatchRequest)
		model  bool
		want   string
	}{
		"no lease":          {view: membership.View{LeaseErr: fault.New(fault.NoLease, "test"), Intent: testIntent()}, want: "no_lease/no"},
		"drained domain":    {view: membership.View{Intent: drainedDomain}, want: "draining/no"},
		"other domain":      {view: membership.View{Intent: otherDomain}, want: "draining/no"},
		"drained server":    {view: membership.View{Intent: drainedServer}, want: "draining/no"},
		"loads":             {view: membership.View{Intent: loading}, model: true, want: "draining/no"},
		"unknown service":   {change: func(r *peer.DispatchRequest) { r.Service = "other" }, want: "unknown_service/no"},
		"older revision":    {view: membership.View{Revision: 1, Intent: older}, change: newer, want: "unavailable/no"},
		"removed service":   {view: membership.View{Revision: 3, Intent: older}, change: newer, want: "unknown_service/no"},
		"wrong service":     {change: func(r *peer.DispatchRequest) { r.Service = "assistant-pool" }, want: "unknown_service/no"},
		"unknown server":    {change: func(r *peer.DispatchRequest) { r.Attempt.BackendServer = "desk-9" }, want: "unavailable/no"},
		"other incarnation": {change: func(r *peer.DispatchRequest) { r.Attempt.AgentIncarnation++ }, want: "stale_incarnation/no"},
		"no window":         {change: func(r *peer.DispatchRequest) { r.Window = 0 }, want: "stale_window/unknown"},
		"malformed method":  {change: func(r *peer.DispatchRequest) { r.Method = "GET /x" }, want: "bad_request/no"},
		"malformed path":    {change: func(r *peer.DispatchRequest) { r.Path = "x" }, want: "bad_request/no"},
		"body is not JSON":  {change: func(r *peer.DispatchRequest) { r.Body = []byte("x") }, model: true, want: "bad_request/no"},
		"too large":         {change: func(r *peer.DispatchRequest) { r.PromptBytes = 600 }, model: true, want: "too_large/no"},
		"cannot resume":     {change: func(r *peer.DispatchRequest) { r.Resume = &peer.Resume{Text: "x", Tokens: 1} }, model: true, want: "unavailable/no"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			req := b.order(name, "desk-1", "POST", "/orders")
			if test.model {
				req = b.completion(name, "pool-1", "prompt", 10)
			}
			if test.view.Intent.Region != "" {
				b.control.set(func(v *membership.View) { *v = test.view })
			}
			if test.change != nil {
				test.change(req)
			}
			got := b.dispatch(context.Background(), req)
			b.control.set(func(v *membership.View) { *v = membership.View{Intent: testIntent()} })
			if got.kind() != test.want || got.failure.Message == "" {
				t.Fatalf("got %s (%v), want %s", got.kind(), got.err, test.want)
			}
			if again := b.dispatch(context.Background(), req); again.kind() != test.want {
				t.Errorf("a copy got %s, want %s", again.kind(), test.want)
			}
		})
	}
	if p.Record().Received != 0 || e.Record().Received != 0 {
		t.Errorf("refused work reached a backend server: %+v %+v", p.Record(), e.Record())
	}
}

// Guards against a cancellation that does not stop a stream, that stops a
// request which may not be repeated, or that does not apply to a later copy of
// the attempt.
func TestCancel(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: true, MinAnswer: 5000, MaxAnswer: 5000, MemoryTokens: 100_000})
	p := b.plain(standin.PlainConfig{Name: "desk-1"})
	p.Apply(standin.PlainControl{DelayMS: 300})
	agent := peer.NewAgentProtobufClient("http://"+b.role.Address(), b.client)
	cancel := func(req *peer.DispatchRequest, keep bool) peer.AttemptState {
		t.Helper()
		got, err := agent.Cancel(context.Background(), &peer.CancelRequest{Attempt: req.Attempt, Window: req.Window, KeepRunning: keep})
		if err != nil {
			t.Fatal(err)
		}
		return got.State
	}
	early := b.order("early", "desk-1", "POST", "/orders")
	if got := cancel(early, true); got != peer.AttemptState_ATTEMPT_STATE_NOT_RUN {
		t.Errorf("before the dispatch: %v", got)
	}
	if got := b.dispatch(context.Background(), early); got.kind() != "cancelled/no" {
		t.Errorf("dispatch after a tombstone: %s", got.kind())
	}
	stream := b.completion("stream", "pool-1", "prompt", 5000)
	ended := make(chan result, 2)
	go func() { ended <- b.dispatch(context.Background(), stream) }()
	b.waitFor("stream", func() bool { return e.Record().Tokens > 3 })
	if got := cancel(stream, true); got != peer.AttemptState_ATTEMPT_STATE_RUNNING {
		t.Errorf("keep running: %v", got)
	}
	if got := cancel(stream, false); got != peer.AttemptState_ATTEMPT_STATE_STOPPED {
		t.Errorf("running stream: %v", got)
	}
	if got := <-ended; got.kind() != "cancelled/unknown" {
		t.Errorf("cancelled stream: %s", got.kind())
	}
	b.waitFor("free memory", func() bool { return b.role.backends.get("pool-1").currentLoad(1).TokensReserved == 0 })
	if r := e.Record(); r.Cancelled != 1 {
		t.Errorf("record %+v", r)
	}
	once := b.order("once", "desk-1", "POST", "/orders")
	go func() { ended <- b.dispatch(context.Background(), once) }()
	b.waitFor("order", func() bool { return p.Record().Ran > 0 })
	if got := cancel(once, false); got != peer.AttemptState_ATTEMPT_STATE_RUNNING {
		t.Errorf("running order: %v", got)
	}
	if got := <-ended; got.kind() != "end" {
		t.Errorf("order: %s", got.kind())
	}
	if got := cancel(once, false); got != peer.AttemptState_ATTEMPT_STATE_FINISHED {
		t.Errorf("finished order: %v", got)
	}
}

// Guards against a shutdown that interrupts a request or accepts a new one.
func TestDrain(t *testing.T) {
	b := newHarness(t, nil)
	e := b.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, Resumes: true, MinAnswer: 100, MaxAnswer: 100})
	ended := make(chan result, 1)
	go func() { ended <- b.dispatch(context.Background(), b.completion("stream", "pool-1", "prompt", 200)) }()
	b.waitFor("stream", func() bool { return e.Record().Tokens > 3 })
	b.stop()
	b.waitFor("drain", b.role.inFlight.isClosed)
	if got := b.dispatch(context.Background(), b.completion("new", "pool-1", "prompt", 200)); got.kind() != "draining/no" {
		t.Errorf("new work: %s", got.kind())
	}
	report := &peer.RenewRequest{}
	b.role.report(report)
	if len(report.BackendServers) != 1 || !report.BackendServers[0].Leaving {
		t.Errorf("report %v", report)
	}
	if got := <-ended; got.text != standin.Answer("prompt", 100) {
		t.Errorf("stream in flight: %s", got.kind())
	}
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
}

// Guards against a restarted agent that overloads a backend server which still
// holds the requests of the previous agent process.
func TestAgentRestart(t *testing.T) {
	first := newHarness(t, nil)
	e := first.engine(standin.EngineConfig{Name: "pool-1", StartWarm: true, MinAnswer: 4000, MaxAnswer: 4000, MaxConcurrent: 2, MemoryTokens: 100_000})
	for _, id := range []string{"a", "b"} {
		body, err := first.open(context.Background(), first.completion(id, "pool-1", id, 4000))
		if err != nil {
			t.Fatal(err)
		}
		defer body.Close()
	}
	first.waitFor("streams", func() bool { return e.Record().Ran == 2 })
	second := newHarness(t, nil)
	a, _ := first.role.backends.get("pool-1").snapshot()
	a.Load.Running, a.Load.TokensHeld = 2, 100
	second.role.backends.add(second.ctx, a.Name, second.role.orders.run).announce(a)
	if got := second.dispatch(context.Background(), second.completion("c", "pool-1", "c", 10)); got.kind() != "overloaded/no" {
		t.Errorf("got %s", got.kind())
	}
	if r := e.Record(); r.CrashReason != "" || r.Received != 2 {
		t.Errorf("record %+v", r)
	}
}
