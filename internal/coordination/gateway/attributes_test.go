package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/coordination/size"
	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// logBuffer holds the log lines of a gateway.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines with a message.
func (b *logBuffer) lines(t *testing.T, message string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for line := range strings.Lines(b.text.String()) {
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["@message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// all returns all lines.
func (b *logBuffer) all() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newLogBuffer() (*logBuffer, hclog.Logger) {
	b := &logBuffer{}
	return b, hclog.New(&hclog.LoggerOptions{Output: b, JSONFormat: true})
}

// TestUrgency guards against engines that get no urgency, one that the caller has
// made up, or one outside of 0 to 9, and against plain services that get one.
func TestUrgency(t *testing.T) {
	engine := &catalog.Engine{Slots: 8}
	number := func(n int) *int { return &n }
	tests := map[string]struct {
		engine  *catalog.Engine
		route   int
		account *int
		want    string
	}{
		"of the route":    {engine: engine, route: 2, want: "2"},
		"of the account":  {engine: engine, route: 2, account: number(0), want: "0"},
		"above the range": {engine: engine, route: 17, want: "9"},
		"below the range": {engine: engine, route: -3, want: "0"},
		"plain service":   {route: 2, want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFakeServer(t, ok)
			s := newTestGateway(t, f)
			v := *s.gateway.view
			c := v.Index.Catalog
			c.Routes, c.Services, c.ClientAccounts = slices.Clone(c.Routes), slices.Clone(c.Services), slices.Clone(c.ClientAccounts)
			for i := range c.Routes {
				c.Routes[i].Priority = test.route
			}
			c.Services[0].Engine, c.ClientAccounts[0].Priority = test.engine, test.account
			v.Index = catalog.NewIndex(c)
			s.gateway.Update(&v)
			s.send(t, "POST", "/once/1", "", "X-Urgency", "0")
			if diff := cmp.Diff(test.want, f.requests()[0].Header.Get("X-Urgency")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestInvalidAttributes guards against a request that is refused, or a log that grows
// without bounds, because of attributes that cannot be used.
func TestInvalidAttributes(t *testing.T) {
	buffer, log := newLogBuffer()
	f := newFakeServer(t, ok)
	s := newLoggingGateway(t, log, f)
	huge := strings.Repeat("9", 300)
	for range 20 {
		if status, _, _ := s.send(t, "POST", "/once/1", "", "X-Tokens", "-1,"+huge, "X-Prompt", "a:x", "X-Length", "0"); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	perReason := map[any]int{}
	for _, line := range buffer.lines(t, "an attribute of a request is ignored") {
		perReason[line["reason"]]++
		if text := fmt.Sprint(line["token_counts"]); len(text) > maxLoggedValue {
			t.Errorf("%d bytes of a value were logged", len(text))
		}
	}
	for _, problem := range []size.Problem{size.BadCounts, size.BadParts, size.BadAnswerLength} {
		// The requests take less than a second in general, but not on every machine.
		if n := perReason[problem.String()]; n < 1 || n > 10 {
			t.Errorf("%d lines of %v for 20 requests", n, problem)
		}
		if n := s.scope.Snapshot().Counters()["attributes_ignored+reason="+problem.String()].Value(); n != 20 {
			t.Errorf("%v was counted %d times, want 20", problem, n)
		}
	}
}

// TestMayLog guards against more than one line of a kind in an interval, and against
// lines that are left out without being counted.
func TestMayLog(t *testing.T) {
	var a invalidAttributes
	now := time.Unix(1000, 0)
	lines, skipped := 0, 0
	for i := range 100 {
		if n, ok := a.mayLog(now.Add(time.Duration(i)*attributeLogInterval/20), size.BadCounts); ok {
			lines, skipped = lines+1, skipped+n
		}
	}
	if diff := cmp.Diff([]int{5, 76}, []int{lines, skipped}); diff != "" {
		t.Error(diff)
	}
}

// TestRefusedLine guards against the line of a request without a known key that shows
// no request id, or a deadline that was never set.
func TestRefusedLine(t *testing.T) {
	buffer, log := newLogBuffer()
	s := newLoggingGateway(t, log, newFakeServer(t, ok))
	if status, _, _ := s.send(t, "POST", "/once/1", "", "X-Key", "wrong"); status != 401 {
		t.Fatalf("status %d", status)
	}
	// The line is written after the answer.
	deadline := time.Now().Add(5 * time.Second)
	for len(buffer.lines(t, "refused")) == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	lines := buffer.lines(t, "refused")
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	if _, shown := lines[0]["deadline_ms"]; shown || lines[0]["request_id"] != "r1" {
		t.Errorf("deadline %v, request id %v", lines[0]["deadline_ms"], lines[0]["request_id"])
	}
}

// TestMaxWait guards against an urgent request that waits less long for a backend server
// than a less urgent one of the same service, and against a wait that another service's
// routes change.
func TestMaxWait(t *testing.T) {
	route := func(name, service string, priority int, target time.Duration) catalog.Route {
		return catalog.Route{Name: name, Priority: priority, TargetLatency: target, Timeout: 8 * time.Second, Split: []catalog.Share{{Service: service, Weight: 1}}}
	}
	index := catalog.NewIndex(catalog.Catalog{Routes: []catalog.Route{
		route("urgent", "pool", 0, 400*time.Millisecond), route("usual", "pool", 1, 300*time.Millisecond), route("patient", "pool", 2, 800*time.Millisecond),
		route("only", "desk", 1, 300*time.Millisecond), route("untimed", "batch", 0, 0),
	}})
	number := func(n int) *int { return &n }
	tests := map[string]struct {
		route   int
		account *catalog.ClientAccount
		want    time.Duration
	}{
		"urgent":                 {route: 0, want: 1600 * time.Millisecond},
		"between":                {route: 1, want: 1600 * time.Millisecond},
		"patient":                {route: 2, want: 1600 * time.Millisecond},
		"another service":        {route: 3, want: 600 * time.Millisecond},
		"no target":              {route: 4, want: 2 * time.Second},
		"account of low urgency": {route: 1, account: &catalog.ClientAccount{Priority: number(5)}, want: 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &index.Catalog.Routes[test.route]
			c := &call{gateway: &Gateway{}, route: r, service: r.Split[0].Service, account: test.account}
			c.setMaxWait(index)
			if c.maxWait != test.want {
				t.Errorf("%v, want %v", c.maxWait, test.want)
			}
		})
	}
}
