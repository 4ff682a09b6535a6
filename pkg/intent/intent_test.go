package intent

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const base = `region = "maghreb"

[[failure_domain]]
name = "fes"

[[failure_domain]]
name = "meknes"

[[service]]
name = "assistant-pool"
kind = "model"
model = "m"
failure_domains = ["fes", "meknes"]

[[service]]
name = "order-desk"
kind = "plain"
failure_domains = ["fes"]

  [[service.route]]
  method = "GET"
  path = "/stock/*"
  repeatable = true

  [[service.route]]
  path = "/stock/reserve"
  repeatable = false

[[client_account]]
name = "atlas"
key_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
`

func parse(t testing.TB, text string) Intent {
	t.Helper()
	in, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return in
}

// Guards against an invalid intent that is accepted, or rejected without naming
// the field.
func TestParseRefuses(t *testing.T) {
	const fes = "region = \"maghreb\"\n[[failure_domain]]\nname = \"fes\"\n"
	const key = "key_sha256 = \"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\"\n"
	tests := map[string]struct{ text, want string }{
		"empty":                   {"", "failure_domain: at least one"},
		"invalid TOML":            {"region = ", "intent:"},
		"unknown field":           {fes + "colour = 1\n", "colour"},
		"invalid name":            {"region = \"Maghreb\"\n[[failure_domain]]\nname = \"fes\"\n", "region: \"Maghreb\""},
		"same failure domain":     {fes + "[[failure_domain]]\nname = \"fes\"\n", "\"fes\" is listed twice"},
		"unknown state":           {"region = \"a\"\n[[failure_domain]]\nname = \"fes\"\nstate = \"gone\"\n", "state is \"gone\""},
		"service without domain":  {fes + "[[service]]\nname = \"s\"\nkind = \"plain\"\n", "service s.failure_domains"},
		"service in other domain": {fes + "[[service]]\nname = \"s\"\nkind = \"plain\"\nfailure_domains = [\"x\"]\n", "\"x\" is not a failure_domain"},
		"unknown kind":            {fes + "[[service]]\nname = \"s\"\nkind = \"odd\"\n", "kind is \"odd\""},
		"other regions only":      {fes + "[[service]]\nname = \"s\"\nkind = \"plain\"\nfailure_domains = [\"fes\"]\nregions = [\"x\"]\n", "must contain this region"},
		"negative body limit":     {fes + "[[service]]\nname = \"s\"\nkind = \"plain\"\nfailure_domains = [\"fes\"]\nmax_body_bytes = -1\n", "max_body_bytes"},
		"route without slash":     {fes + "[[service]]\nname = \"s\"\nkind = \"plain\"\nfailure_domains = [\"fes\"]\n[[service.route]]\npath = \"x\"\n", "must begin with a slash"},
		"route of a model":        {fes + "[[service]]\nname = \"s\"\nkind = \"model\"\nfailure_domains = [\"fes\"]\n[[service.route]]\npath = \"/x\"\n", "a model has no routes"},
		"same backend server":     {fes + strings.Repeat("[[backend_server]]\nname = \"b\"\n", 2), "\"b\" is listed twice"},
		"short key":               {fes + "[[client_account]]\nname = \"a\"\nkey_sha256 = \"ab\"\n", "64 hex digits"},
		"key in capitals":         {fes + "[[client_account]]\nname = \"a\"\n" + key + "[[client_account]]\nname = \"b\"\nkey_sha256 = \"" + strings.ToUpper("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855") + "\"\n", "used by another"},
		"rate is no number":       {fes + "[[client_account]]\nname = \"a\"\n" + key + "requests_per_second = nan\n", "requests_per_second"},
		"rate is infinite":        {fes + "[[client_account]]\nname = \"a\"\n" + key + "requests_per_second = inf\n", "requests_per_second"},
		"account's service":       {fes + "[[client_account]]\nname = \"a\"\n" + key + "services = [\"x\"]\n", "\"x\" is not a service"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			if !fault.Is(err, fault.BadRequest) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want a bad_request with %q", err, test.want)
			}
		})
	}
	if _, err := Parse(make([]byte, MaxBytes+1)); !fault.Is(err, fault.TooLarge) {
		t.Errorf("oversize intent: %v", err)
	}
}

// Guards against a request that runs twice because the wrong route is matched.
func TestIsRepeatable(t *testing.T) {
	in := parse(t, base)
	tests := map[string]struct {
		service, method, path string
		want                  bool
	}{
		"model":                        {"assistant-pool", "POST", "/v1/completions", true},
		"matching route":               {"order-desk", "GET", "/stock/1", true},
		"other method":                 {"order-desk", "POST", "/stock/1", false},
		"longer path takes precedence": {"order-desk", "GET", "/stock/reserve", false},
		"GET without a route":          {"order-desk", "GET", "/orders", false},
		"prefix without its slash":     {"order-desk", "GET", "/stock", false},
	}
	for name, test := range tests {
		s, ok := in.Service(test.service)
		if got := s.IsRepeatable(test.method, test.path); !ok || got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a plan that omits a change or lists one that does not exist.
func TestCompare(t *testing.T) {
	old := parse(t, base)
	tests := map[string]struct {
		change func(*Intent)
		want   []string
	}{
		"nothing": {func(*Intent) {}, nil},
		"order":   {func(in *Intent) { in.Services[0], in.Services[1] = in.Services[1], in.Services[0] }, nil},
		"drain": {func(in *Intent) { *in, _ = in.WithFailureDomain("fes", Drained) },
			[]string{`failure_domain "fes" changed: state: active -> drained`}},
		"backend server": {func(in *Intent) { *in, _ = in.WithBackendServer("b", Drained) },
			[]string{`backend_server "b" added: state: active -> drained`}},
		"region": {func(in *Intent) { in.Region = "x" }, []string{`region "x" changed: region: "maghreb" -> "x"`}},
		"service and account": {func(in *Intent) {
			in.Services = in.Services[:1]
			in.Services[0].Adapters = []string{"a"}
			in.ClientAccounts[0].KeySHA256 = strings.Repeat("0", 64)
			in.ClientAccounts[0].Burst = 5
		}, []string{
			`service "order-desk" removed`,
			`service "assistant-pool" changed: adapters: [] -> ["a"]`,
			`client_account "atlas" changed: key_sha256 set, burst: 0 -> 5`,
		}},
		"routes": {func(in *Intent) { in.Services[1].Routes = in.Services[1].Routes[1:] },
			[]string{`service "order-desk" changed: route: [GET /stock/* repeatable=true; /stock/reserve repeatable=false] -> [/stock/reserve repeatable=false]`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next := parse(t, base)
			test.change(&next)
			var got []string
			for _, c := range Compare(old, next) {
				got = append(got, c.String())
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a change of state that also modifies the original intent.
func TestWithState(t *testing.T) {
	in := parse(t, base)
	before := string(in.Canonical())
	drained, err := in.WithFailureDomain("fes", Drained)
	if err != nil || !drained.IsDrained("fes", "b") || drained.IsDrained("meknes", "b") {
		t.Errorf("drained %v", err)
	}
	server, err := in.WithBackendServer("b", Drained)
	if err != nil || !server.IsDrained("fes", "b") || server.IsDrained("fes", "c") {
		t.Errorf("backend server drained %v", err)
	}
	if returned, err := server.WithBackendServer("b", Active); err != nil || string(returned.Canonical()) != before {
		t.Errorf("drain and return leave a difference: %v", err)
	}
	if string(in.Canonical()) != before {
		t.Error("the original intent has changed")
	}
	if _, err := in.WithFailureDomain("x", Drained); !fault.Is(err, fault.NotFound) {
		t.Errorf("unknown failure domain: %v", err)
	}
	if _, err := in.WithBackendServer("B b", Drained); !fault.Is(err, fault.BadRequest) {
		t.Errorf("invalid name: %v", err)
	}
	if !in.IsDrained("x", "b") {
		t.Error("a failure domain that is not listed is not drained")
	}
}

// Guards against input that crashes the process, and against a canonical form
// that is rejected or changes when it is parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte("region = 'a'\n[[failure_domain]]\nname = 'fes'\nstate = 'drained'"))
	f.Add([]byte("\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(in.Canonical())
		if err != nil {
			t.Fatalf("canonical form is rejected: %v", err)
		}
		if diff := cmp.Diff(string(in.Canonical()), string(again.Canonical())); diff != "" {
			t.Fatal(diff)
		}
		if changes := Compare(in, again); len(changes) > 0 {
			t.Fatalf("the canonical form parses to another intent: %v", changes)
		}
	})
}
