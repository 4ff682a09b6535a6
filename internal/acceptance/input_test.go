package acceptance

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/standin"
)

// refusalFields holds the fields of a refusal that a caller evaluates.
type refusalFields struct {
	Status int
	Kind   string
	Ran    string
}

// Guards against an invalid request that is answered without a kind, that is
// reported as run or possibly run, that reaches a backend server, or that crashes
// a process.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{controls: 1, entries: 1, modelHosts: 1, plainHosts: 1})
	c, address := newCaller(), s.entries[0].address
	if a := c.do(context.Background(), address, order("kept")); !a.isComplete() {
		t.Fatal(a)
	}
	post := func(path, body string, headers map[string]string) call {
		return call{method: http.MethodPost, path: path, body: body, headers: headers}
	}
	const chat, orders = "/v1/chat/completions", "/s/" + plainName + "/orders"
	reused := order("kept")
	reused.body = `{"tins":13}`
	tests := map[string]struct {
		call call
		want refusalFields
	}{
		"malformed JSON":        {post(chat, `{"model":`, nil), refusalFields{400, "bad_request", "no"}},
		"JSON is not an object": {post(chat, `[1]`, nil), refusalFields{400, "bad_request", "no"}},
		"unknown model":         {post(chat, `{"model":"m-9","messages":[]}`, nil), refusalFields{404, "unknown_service", "no"}},
		"unknown service":       {post("/s/none/orders", "{}", nil), refusalFields{404, "unknown_service", "no"}},
		"unknown path":          {post("/v2/orders", "{}", nil), refusalFields{404, "not_found", "no"}},
		"unknown account":       {post(orders, "{}", map[string]string{"Authorization": "Bearer nobody"}), refusalFields{401, "unauthenticated", "no"}},
		"no account":            {post(orders, "{}", map[string]string{"Authorization": ""}), refusalFields{401, "unauthenticated", "no"}},
		"large body":            {post(orders, strings.Repeat("x", 1<<20+1), nil), refusalFields{413, "too_large", "no"}},
		"large header":          {post(orders, "{}", map[string]string{"X-Note": strings.Repeat("x", 17<<10)}), refusalFields{413, "too_large", "no"}},
		"deadline passed":       {post(orders, "{}", map[string]string{"X-Request-Deadline-Ms": "0"}), refusalFields{504, "deadline_exceeded", "no"}},
		"malformed deadline":    {post(orders, "{}", map[string]string{"X-Request-Deadline-Ms": "soon"}), refusalFields{400, "bad_request", "no"}},
		"long key":              {post(orders, "{}", map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}), refusalFields{400, "bad_request", "no"}},
		"space in key":          {post(orders, "{}", map[string]string{"Idempotency-Key": "a b"}), refusalFields{400, "bad_request", "no"}},
		"key reused":            {reused, refusalFields{422, "key_reused", "no"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := c.do(context.Background(), address, test.call)
			if diff := cmp.Diff(test.want, refusalFields{a.Status, a.Fault.Kind, a.Fault.Ran}); diff != "" || a.Fault.Message == "" || a.Fault.RequestID == "" {
				t.Errorf("%v: %s", a, diff)
			}
		})
	}
	if a := c.do(context.Background(), address, order("kept")); !a.isComplete() {
		t.Errorf("the answer of the first order is no longer available: %v", a)
	}
	if n := record[standin.PlainRecord](t, s.backendsOf(plainName)[0]).Received; n != 1 {
		t.Errorf("the plain service received %d requests, want 1, the first order", n)
	}
}

// Guards against a process that starts with invalid settings, or with data that
// is corrupt or belongs to another replica or region, that does not name the
// cause, or that modifies the data.
func TestBadSettingsAndData(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{controls: 1, entries: 1, modelHosts: 1, plainHosts: 1})
	first := newCaller().do(context.Background(), s.entries[0].address, order("kept"))
	replica, entrySettings := s.controls[0], readFile(t, s.entries[0].config)
	settings := readFile(t, replica.config)
	replica.process.terminate()
	replica.process.awaitEnd()
	damaged := filepath.Join(s.folder, "damaged")
	if err := os.CopyFS(damaged, os.DirFS(replica.folder)); err != nil {
		t.Fatal(err)
	}
	damageLog(t, damaged)
	tests := map[string]struct {
		role, text string
		code       int
		want       string // with code 2, the output also names the settings file
	}{
		"unknown field":       {"control", settings + "colour = 1\n", 2, "colour"},
		"unknown entry field": {"entry", entrySettings + "colour = 1\n", 2, "colour"},
		"wrong value":         {"entry", entrySettings + "max_in_flight = 0\n", 2, "max_in_flight"},
		"wrong type":          {"entry", entrySettings + "queue_limit = \"many\"\n", 2, "queue_limit"},
		"no TOML":             {"runner", "listen", 2, "listen"},
		"another replica":     {"control", strings.NewReplacer("\nid = 1", "\nid = 7").Replace(settings), 1, "foreign_data"},
		"another region":      {"control", strings.Replace(settings, `region = "maghreb"`, `region = "elsewhere"`, 1), 1, "foreign_data"},
		"damaged log":         {"control", strings.Replace(settings, replica.folder, damaged, 1), 1, "corrupt_data"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := s.writeFile("bad.toml", test.text)
			ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
			defer cancel()
			out, err := exec.CommandContext(ctx, oleanderrackBinary, test.role, "-settings", path).CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != test.code {
				t.Fatalf("ended with %v, want code %d: %s", err, test.code, out)
			}
			if !strings.Contains(string(out), test.want) || test.code == 2 && !strings.Contains(string(out), path) {
				t.Errorf("the output does not contain %q or, for code 2, the settings file: %s", test.want, out)
			}
		})
	}
	replica.process.start()
	s.awaitReady()
	if again := newCaller().do(context.Background(), s.entries[0].address, order("kept")); !first.isComplete() || again.Body != first.Body {
		t.Errorf("first answer %v, after the restart %v", first, again)
	}
	if diff := cmp.Diff(map[string]int{"kept": 1}, s.executions()); diff != "" {
		t.Error("executions per key:", diff)
	}
}

// damageLog flips the bits of a byte near the beginning of the log, so that
// complete records follow the corrupt one.
func damageLog(t *testing.T, folder string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "log-*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no log segment in %s: %v", folder, err)
	}
	data := []byte(readFile(t, paths[0]))
	data[30] ^= 0xff
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
}
