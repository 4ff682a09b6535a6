package intake

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestLedger guards against a connection that gives way though another one is slower, or
// though it has done nothing wrong.
func TestLedger(t *testing.T) {
	budget := Budget{Connections: 4, HeaderBytes: 100}
	const step = time.Millisecond
	// Each step acts on a connection by name; want are those that give way to the last.
	type action struct {
		name string
		do   string
		n    int64
	}
	tests := map[string]struct {
		actions []action
		want    []string
		ok      bool
	}{
		"room": {[]action{{"a", "open", 0}, {"b", "open", 0}}, nil, true},
		"the oldest that sent nothing gives way": {
			[]action{{"a", "open", 0}, {"a", "begin", 10}, {"b", "open", 0}, {"c", "open", 0}, {"d", "open", 0}, {"e", "open", 0}}, []string{"b"}, true},
		"the oldest header section gives way to a connection": {
			[]action{{"a", "open", 0}, {"b", "open", 0}, {"b", "begin", 1}, {"a", "begin", 1}, {"c", "open", 0}, {"c", "serve", 0}, {"d", "open", 0}, {"d", "serve", 0}, {"e", "open", 0}}, []string{"b"}, true},
		"idle connections in good order stay": {
			[]action{{"a", "open", 0}, {"a", "good", 0}, {"b", "open", 0}, {"b", "good", 0}, {"c", "open", 0}, {"c", "good", 0}, {"d", "open", 0}, {"d", "good", 0}, {"e", "open", 0}}, nil, false},
		"one whose requests were refused gives way": {
			[]action{{"a", "open", 0}, {"a", "good", 0}, {"b", "open", 0}, {"b", "bad", 0}, {"c", "open", 0}, {"c", "good", 0}, {"d", "open", 0}, {"d", "good", 0}, {"e", "open", 0}}, []string{"b"}, true},
		"requests in flight stay": {
			[]action{{"a", "open", 0}, {"a", "serve", 0}, {"b", "open", 0}, {"b", "serve", 0}, {"c", "open", 0}, {"c", "serve", 0}, {"d", "open", 0}, {"d", "serve", 0}, {"e", "open", 0}}, nil, false},
		"one that is idle for too long gives way": {
			[]action{{"a", "open", 0}, {"a", "good", 0}, {"b", "open", 0}, {"b", "serve", 0}, {"c", "open", 0}, {"c", "serve", 0}, {"d", "open", 0}, {"d", "serve", 0}, {"", "wait", 0}, {"e", "open", 0}}, []string{"a"}, true},
		"one that does not read its answer gives way": {
			[]action{{"a", "open", 0}, {"a", "serve", 0}, {"b", "open", 0}, {"b", "serve", 0}, {"b", "write", 0}, {"c", "open", 0}, {"c", "serve", 0}, {"d", "open", 0}, {"d", "serve", 0}, {"", "wait", 0}, {"c", "write", 0}, {"e", "open", 0}}, []string{"b"}, true},
		"the oldest header section gives way to bytes": {
			[]action{{"a", "open", 0}, {"a", "begin", 60}, {"b", "open", 0}, {"b", "begin", 30}, {"c", "open", 0}, {"c", "begin", 20}}, []string{"a"}, true},
		"one that holds too much itself has no room": {
			[]action{{"a", "open", 0}, {"a", "begin", 101}}, nil, false},
		"a header section gives way before a body": {
			[]action{{"a", "open", 0}, {"a", "body", 60}, {"b", "open", 0}, {"b", "begin", 30}, {"c", "open", 0}, {"c", "begin", 20}}, []string{"b"}, true},
		"what requests in flight hold stays held": {
			[]action{{"a", "open", 0}, {"a", "serve", 90}, {"b", "open", 0}, {"b", "begin", 20}}, nil, false},
		"memory of those that give way is held until they are closed": {
			[]action{{"a", "open", 0}, {"a", "begin", 90}, {"b", "open", 0}, {"b", "begin", 40}}, []string{"a"}, false},
		"and free afterwards": {
			[]action{{"a", "open", 0}, {"a", "begin", 90}, {"b", "open", 0}, {"b", "begin", 40}, {"a", "close", 0}, {"b", "begin", 40}}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(budget)
			accounts, names := map[string]*account{}, map[*account]string{}
			now := start
			var got []string
			var ok bool
			for _, do := range test.actions {
				now = now.Add(step)
				a := accounts[do.name]
				if a == nil {
					a = &account{}
					accounts[do.name], names[a] = a, do.name
				}
				var evicted []*account
				ok = true
				switch do.do {
				case "wait":
					now = now.Add(DefaultIdleTimeout)
				case "open":
					evicted, ok = l.open(now, a)
				case "begin":
					l.enter(now, a, header)
					evicted, ok = l.hold(a, do.n)
				case "body":
					evicted, ok = l.hold(a, do.n)
					l.enter(now, a, body)
				case "serve":
					evicted, ok = l.hold(a, do.n)
					l.enter(now, a, served)
				case "good", "bad":
					a.proven = do.do == "good"
					l.finish(now, a)
				case "write":
					a.writing.Store(now.UnixNano())
				case "close":
					l.remove(a)
				}
				got = nil
				for _, e := range evicted {
					got = append(got, names[e])
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" || ok != test.ok {
				t.Errorf("ok %v, want %v, gave way: %s", ok, test.ok, diff)
			}
		})
	}
}

// TestLedgerSums guards against a sum that exceeds the budget and its slack, against one
// that is not returned when all connections are closed, and against a request in flight or
// a proven idle connection that gives way. It handles any order of the events of 40
// connections.
func TestLedgerSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Connections: rapid.IntRange(1, 20).Draw(t, "connections"), HeaderBytes: int64(rapid.IntRange(10, 1000).Draw(t, "bytes"))}
		l := newLedger(b)
		now := start
		var open []*account
		check := func(evicted []*account) {
			for _, a := range evicted {
				if a.phase == served || a.phase == idle && now.Sub(a.since) <= l.maxIdle {
					t.Fatalf("a connection in phase %d gave way", a.phase)
				}
			}
			var connections int
			var held int64
			for _, a := range open {
				connections++
				held += a.held
			}
			if connections != l.connections || held != l.held {
				t.Fatalf("ledger has %d connections and %d bytes, want %d and %d", l.connections, l.held, connections, held)
			}
			if connections > b.Connections+b.slackConnections() || held > b.HeaderBytes+b.slackBytes() {
				t.Fatalf("%d connections hold %d bytes of %+v", connections, held, b)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || len(open) < 40 && rapid.Bool().Draw(t, "open") {
				a := &account{}
				evicted, ok := l.open(now, a)
				if ok {
					open = append(open, a)
				}
				check(evicted)
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			a := open[i]
			var evicted []*account
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if a.phase == fresh || a.phase.isIdle() {
					l.enter(now, a, header)
				}
				if a.phase == header {
					evicted, _ = l.hold(a, a.held+int64(rapid.IntRange(0, 300).Draw(t, "n")))
				}
			case 2:
				if a.phase == header {
					l.enter(now, a, body)
				}
			case 3:
				if a.phase == body {
					l.keep(a)
					l.enter(now, a, served)
				}
			case 4:
				if a.phase == served || a.phase == body {
					a.proven = a.proven || rapid.Bool().Draw(t, "proven")
					l.finish(now, a)
				}
			default:
				l.remove(a)
				open = append(open[:i:i], open[i+1:]...)
			}
			check(evicted)
		}
		for _, a := range open {
			l.remove(a)
		}
		if l.connections != 0 || l.held != 0 || l.leavingConnections != 0 || l.leavingHeld != 0 {
			t.Fatalf("after all were closed: %+v", l)
		}
	})
}
