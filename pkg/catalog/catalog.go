/*
Package catalog defines what a deployment serves: routes, the services behind
them, and the client accounts that may send requests.

# Concept

A catalog is one complete document with a version that its operators choose.
The highest version is in force. A route is selected by host and longest path
prefix. It determines whether requests may be repeated, how long they may take
and how they are split between services.

# Use

	c, err := decode(data)           // the format is the operators' own
	problems := c.Check()            // one line each
	index := catalog.NewIndex(c)
	route, ok := index.Route("shop.example", "/orders/7")
	account, ok := index.Account(key)
*/
package catalog

import (
	"fmt"
	"strings"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment -output=catalog_string.go

// Kind determines whether the requests of a route may be repeated.
type Kind uint8

// The kinds of routes. The zero value is the safe default.
const (
	NonIdempotent Kind = iota // non_idempotent
	Idempotent                // idempotent
	Streaming                 // streaming
)

// Catalog is what a deployment serves.
type Catalog struct {
	Version        uint64
	Routes         []Route
	Services       []Service
	Limits         Limits
	ClientAccounts []ClientAccount
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the target for the time to the answer, or to the first
	// event of a stream. TargetGap is that for the time between events.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Priority 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts is the number of backend servers that may work on one
	// request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another backend server.
	Resumable bool
}

// Share is the weighted share of a route's requests that a service receives.
type Share struct {
	Service string
	Weight  uint32
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthCheck is the path of health checks, or empty.
	HealthCheck    string
	MaxConnections int
	// ColdPeriod is how long a backend server stays cold after its start, and
	// ColdRequestsPerSecond is its capacity during that time; 0 if it is never
	// cold.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes model engines that work on requests in batches.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the number of tokens of all requests in a batch.
	MemoryTokens int
	// StepTime is the duration of one token step, and RequestStepTime the time
	// that each request in the batch adds to it.
	StepTime        time.Duration
	RequestStepTime time.Duration
	// StepsPerPass is the number of token steps in one pass.
	StepsPerPass int
	// PrefillTokensPerSecond is the number of prompt tokens processed in a
	// second.
	PrefillTokensPerSecond float64
	// PromptCacheTokens is the number of prompt tokens that are kept after their
	// requests have ended, for prompts with the same prefix; 0 if none are.
	PromptCacheTokens int
	// MeanAnswerTokens is the mean length of an answer in tokens.
	MeanAnswerTokens int
	// Experts is nil for engines without ranks.
	Experts *Experts
}

// Experts describes the experts of a group of ranks.
type Experts struct {
	// Sets is the number of sets of layers, and ExpertsPerSet the number of
	// experts in each.
	Sets          int
	ExpertsPerSet int
	// Slots is the number of requests that a rank works on at once.
	Slots int
	// MaxExpertsPerRank is the number of experts of one set that fit on a rank,
	// and MaxNewExperts how many of them one change of the map may load onto it.
	MaxExpertsPerRank int
	MaxNewExperts     int
	// ExpertBytes is the size of the weights of one expert, and
	// CopyBytesPerSecond the speed of the link over which a rank copies the
	// experts of all sets, one after the other. ExpertShare is the part of the work on
	// a token, from 0 to 1, that experts do; the rest does not depend on the map.
	// A field is 0 if its value is unknown.
	ExpertBytes        float64
	CopyBytesPerSecond float64
	ExpertShare        float64
}

// CopyTime returns the time in which a rank copies one expert, or 0 if the size or
// the link is unknown.
func (e Experts) CopyTime() time.Duration {
	if e.ExpertBytes <= 0 || e.CopyBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(min(e.ExpertBytes/e.CopyBytesPerSecond, maxCopySeconds) * float64(time.Second))
}

// maxCopySeconds bounds the time of a copy, so that sums of copies fit into a
// time.Duration. A copy that takes an hour never pays.
const maxCopySeconds = 3600

// Limits restrict what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ClientAccount is a caller with its keys.
type ClientAccount struct {
	Name string
	Keys []string
	// Priority overrides that of the route unless it is nil.
	Priority *int
}

// Check returns one line for each problem.
func (c Catalog) Check() []string {
	k := checker{services: map[string]bool{}}
	for _, s := range c.Services {
		k.service(s)
	}
	prefixes := map[[2]string]bool{}
	for _, r := range c.Routes {
		k.route(r, prefixes)
	}
	keys := map[string]string{}
	for _, a := range c.ClientAccounts {
		k.account(a, keys)
	}
	return k.problems
}

type checker struct {
	services map[string]bool
	problems []string
}

func (k *checker) add(format string, args ...any) {
	k.problems = append(k.problems, fmt.Sprintf(format, args...))
}

func (k *checker) service(s Service) {
	if s.Name == "" {
		k.add("a service has no name")
	}
	k.services[s.Name] = true
}

func (k *checker) route(r Route, prefixes map[[2]string]bool) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		k.add("route %q: path prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	}
	prefix := [2]string{strings.ToLower(r.Host), r.PathPrefix}
	if prefixes[prefix] {
		k.add("route %q: host %q and path prefix %q are taken", r.Name, r.Host, r.PathPrefix)
	}
	prefixes[prefix] = true
	if r.Timeout <= 0 {
		k.add("route %q: the timeout must be positive", r.Name)
	}
	weight := uint64(0)
	for _, s := range r.Split {
		if !k.services[s.Service] {
			k.add("route %q: service %q does not exist", r.Name, s.Service)
		}
		weight += uint64(s.Weight)
	}
	if weight == 0 {
		k.add("route %q: the weights add up to 0", r.Name)
	}
}

func (k *checker) account(a ClientAccount, keys map[string]string) {
	if a.Name == "" {
		k.add("a client account has no name")
	}
	for _, key := range a.Keys {
		if owner, taken := keys[key]; taken && owner != a.Name {
			k.add("client accounts %q and %q share a key", owner, a.Name)
		}
		keys[key] = a.Name
	}
}
