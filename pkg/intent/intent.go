/*
Package intent defines the configuration that operators request: which services
exist, which failure domains serve them, which backend servers may receive
requests, and which client accounts may send them.

# Form

An intent is a TOML file for one region. It is always complete: a new intent
replaces the old one at a new revision. The system compares the two and shows
the difference as a plan before anything takes effect.

	region = "maghreb"

	[[failure_domain]]
	name = "fes"

	[[service]]
	name = "order-desk"
	kind = "plain"
	failure_domains = ["fes"]

	  [[service.route]]
	  method = "GET"
	  path = "/stock/*"
	  repeatable = true

# Use

[Parse] reads and checks a file; every problem is reported with the field and
the reason. [Intent.Canonical] returns equal bytes for equal intents.
*/
package intent

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

//go:generate go tool stringer -type=Kind,State -linecomment -output=intent_string.go

// MaxBytes is the size limit of an intent file. 7,900 client accounts take
// about 1.5 MB.
const MaxBytes = 8 << 20

// Kind is the kind of a service, which determines the requests that it serves.
type Kind uint8

// The kinds of services.
const (
	Model Kind = iota // model
	Plain             // plain
)

// State determines whether a failure domain or backend server may receive new
// requests.
type State uint8

// The states. The zero value receives requests.
const (
	Active  State = iota // active
	Drained              // drained
)

// Intent is the configuration that operators request for one region.
type Intent struct {
	Region         string          `toml:"region"`
	FailureDomains []FailureDomain `toml:"failure_domain"`
	Services       []Service       `toml:"service"`
	BackendServers []BackendServer `toml:"backend_server,omitempty"`
	ClientAccounts []ClientAccount `toml:"client_account,omitempty"`
}

// FailureDomain is a set of hosts that fail together.
type FailureDomain struct {
	Name  string `toml:"name"`
	State State  `toml:"state"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string `toml:"name"`
	Kind Kind   `toml:"kind"`
	// Model, Version and Adapters are what the model engines must have loaded.
	// An empty Model leaves the engines unchanged.
	Model          string   `toml:"model,omitempty"`
	Version        string   `toml:"version,omitempty"`
	Adapters       []string `toml:"adapters,omitempty"`
	FailureDomains []string `toml:"failure_domains"`
	// Regions lists all regions that serve the service; empty means this
	// region only.
	Regions []string `toml:"regions,omitempty"`
	// MaxBodyBytes limits a request body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64 `toml:"max_body_bytes,omitempty"`
	// MaxTokens limits the answer of a model to requests without a limit of
	// their own; 0 means DefaultMaxTokens.
	MaxTokens uint64 `toml:"max_tokens,omitempty"`
	// DeadlineMS applies to requests without a deadline; 0 means
	// DefaultDeadlineMS.
	DeadlineMS uint64  `toml:"deadline_ms,omitempty"`
	Routes     []Route `toml:"route,omitempty"`
}

// Defaults of a Service.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxTokens    = 1024
	DefaultDeadlineMS   = 120_000
)

// Route determines whether requests to a path may be repeated. A request without
// a matching route may not.
type Route struct {
	// Method is an HTTP method; empty matches all.
	Method string `toml:"method,omitempty"`
	// Path is matched exactly, or as a prefix if it ends in an asterisk.
	Path       string `toml:"path"`
	Repeatable bool   `toml:"repeatable"`
}

// BackendServer sets the state of one backend server. Those that are not
// listed are active: backend servers announce themselves.
type BackendServer struct {
	Name  string `toml:"name"`
	State State  `toml:"state"`
}

// ClientAccount is a caller with its limits.
type ClientAccount struct {
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of the bearer key in hex.
	KeySHA256 string `toml:"key_sha256"`
	// Weight is the account's relative share when capacity does not suffice
	// for all accounts; 0 means 1.
	Weight uint32 `toml:"weight,omitempty"`
	// RequestsPerSecond and Burst limit the arrival rate; 0 means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second,omitempty"`
	Burst             uint32  `toml:"burst,omitempty"`
	// MaxConcurrent limits requests in flight per entry; 0 means no limit.
	MaxConcurrent uint32 `toml:"max_concurrent,omitempty"`
	// Services that the account may call; empty means all.
	Services []string `toml:"services,omitempty"`
}

// Parse reads and checks an intent. Errors are of kind BadRequest and name
// every problem found.
func Parse(data []byte) (Intent, error) {
	var in Intent
	if len(data) > MaxBytes {
		return in, fault.New(fault.TooLarge, "intent has %d bytes, at most %d are accepted", len(data), MaxBytes)
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return Intent{}, fault.Wrap(err, fault.BadRequest, "intent: %s", describeDecodeError(err))
	}
	if problems := in.Check(); len(problems) > 0 {
		return Intent{}, fault.New(fault.BadRequest, "intent: %s", strings.Join(problems, "; "))
	}
	return in, nil
}

// Canonical returns the intent as TOML; equal intents give equal bytes.
func (in Intent) Canonical() []byte {
	data, err := toml.Marshal(in)
	if err != nil {
		// Every field of Intent can be encoded as TOML.
		panic("intent: " + err.Error())
	}
	return data
}

// Digest returns the SHA-256 of the canonical form in hex.
func (in Intent) Digest() string {
	sum := sha256.Sum256(in.Canonical())
	return hex.EncodeToString(sum[:])
}

// WithoutClientAccounts returns a copy without client accounts, which agents do
// not need.
func (in Intent) WithoutClientAccounts() Intent {
	in.ClientAccounts = nil
	return in
}

// Service finds a service by name.
func (in Intent) Service(name string) (Service, bool) {
	i := slices.IndexFunc(in.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return in.Services[i], true
}

// IsDrained reports whether a backend server must not receive new requests: it
// is drained itself, or its failure domain is drained or not listed.
func (in Intent) IsDrained(failureDomain, backendServer string) bool {
	i := slices.IndexFunc(in.FailureDomains, func(d FailureDomain) bool { return d.Name == failureDomain })
	if i < 0 || in.FailureDomains[i].State == Drained {
		return true
	}
	return slices.Contains(in.BackendServers, BackendServer{Name: backendServer, State: Drained})
}

// AllowsFailureDomain reports whether a service may use a failure domain.
func (s Service) AllowsFailureDomain(failureDomain string) bool {
	return slices.Contains(s.FailureDomains, failureDomain)
}

// IsRepeatable reports whether a request may run more than once. Completions of
// a model may; requests to a plain service may if the matching route with the
// longest path is repeatable.
func (s Service) IsRepeatable(method, path string) bool {
	if s.Kind == Model {
		return true
	}
	best, repeatable := -1, false
	for _, r := range s.Routes {
		if r.matches(method, path) && len(r.Path) > best {
			best, repeatable = len(r.Path), r.Repeatable
		}
	}
	return repeatable
}

func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}

func describeDecodeError(err error) string {
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case asError(err, &strict):
		return "unknown field:\n" + strict.String()
	case asError(err, &decode):
		return decode.String()
	}
	return err.Error()
}
