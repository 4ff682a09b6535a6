package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// soundCatalog returns a catalog without problems and warnings.
func soundCatalog() Catalog {
	one := 1
	return Catalog{
		Version: 7,
		Routes: []Route{
			{
				Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: Streaming, Timeout: 8 * time.Second, TargetLatency: 400 * time.Millisecond,
				TargetGap: 120 * time.Millisecond, Priority: 1, Split: []Share{{"pool", 90}, {"desk", 10}}, MaxAttempts: 2, Resumable: true,
			},
			{Name: "orders", Host: "a.example", PathPrefix: "/orders/", Timeout: time.Second, Split: []Share{{"desk", 1}}, MaxAttempts: 1},
		},
		Services: []Service{
			{Name: "pool", MaxConnections: 200, ColdPeriod: 3 * time.Second, ColdRequestsPerSecond: 28, Engine: &Engine{
				Slots: 10, MemoryTokens: 300_000, StepTime: 5 * time.Millisecond, RequestStepTime: 400 * time.Microsecond, StepsPerPass: 6,
				Experts: &Experts{ExpertsPerSet: 96, MaxExpertsPerRank: 5},
			}},
			{Name: "desk", MaxConnections: 50},
		},
		Limits:         Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		ClientAccounts: []ClientAccount{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: &one}},
	}
}

// TestWarnings guards against entries without effect that go unnoticed, and against
// warnings about a sound catalog.
func TestWarnings(t *testing.T) {
	tests := map[string]struct {
		change func(c *Catalog)
		want   []string
	}{
		"sound": {func(*Catalog) {}, nil},
		"empty": {
			func(c *Catalog) { *c = Catalog{} },
			[]string{"there are no routes, so that every request is refused as not found"},
		},
		"repeated names": {
			func(c *Catalog) {
				c.Routes[1].Name = "chat"
				c.Services = append(c.Services, c.Services[1])
				c.ClientAccounts = append(c.ClientAccounts, c.ClientAccounts[0])
			},
			[]string{`route "chat" is given more than once`, `service "desk" is given more than once`, `client account "acme" is given more than once`},
		},
		"no host":        {func(c *Catalog) { c.Routes[1].Host = "" }, []string{`route "orders": no host, so that no ordinary request matches`}},
		"host with port": {func(c *Catalog) { c.Routes[1].Host = "a.example:80" }, []string{`route "orders": host "a.example:80" has a port, which is not compared, so that no request matches`}},
		"wildcard host":  {func(c *Catalog) { c.Routes[1].Host = "*.example" }, []string{`route "orders": host "*.example" is not the name of a host, so that no request matches`}},
		"query in prefix": {
			func(c *Catalog) { c.Routes[1].PathPrefix = "/orders?x/" },
			[]string{`route "orders": path prefix "/orders?x/" has characters that are no part of a path, so that no request matches`},
		},
		"latency above timeout": {
			func(c *Catalog) { c.Routes[1].TargetLatency = 2 * time.Second },
			[]string{`route "orders": target latency 2s is above the timeout 1s`},
		},
		"gap above timeout": {
			func(c *Catalog) { c.Routes[0].TargetGap = 9 * time.Second },
			[]string{`route "chat": target gap 9s is above the timeout 8s`},
		},
		"gap without stream": {
			func(c *Catalog) { c.Routes[1].TargetGap = 100 * time.Millisecond },
			[]string{`route "orders": target gap 100ms has no effect on kind non_idempotent`},
		},
		"gap below a pass": {
			func(c *Catalog) { c.Routes[0].TargetGap = 30 * time.Millisecond },
			[]string{`route "chat": target gap 30ms is below one pass of service "pool", 32.4ms with a single request`},
		},
		"latency below a pass": {
			func(c *Catalog) { c.Routes[0].TargetLatency = 30 * time.Millisecond },
			[]string{`route "chat": target latency 30ms is below one pass of service "pool", 32.4ms with a single request`},
		},
		"negative target": {
			func(c *Catalog) { c.Routes[1].TargetLatency = -1 },
			[]string{`route "orders": a negative target counts as one that is always missed`},
		},
		"weight 0": {
			func(c *Catalog) { c.Routes[0].Split[0].Weight = 0 },
			[]string{`route "chat": service "pool" has weight 0 and gets no requests`, `service "pool": no route sends requests to it`},
		},
		"service twice in a split": {
			func(c *Catalog) { c.Routes[0].Split = append(c.Routes[0].Split, Share{"desk", 5}) },
			[]string{`route "chat": service "desk" is listed more than once in the split`},
		},
		"attempts of a kind that is not repeated": {
			func(c *Catalog) { c.Routes[1].MaxAttempts = 2 },
			[]string{`route "orders": max_attempts 2 has no effect, since requests of kind non_idempotent are not repeated`},
		},
		"attempts of a stream that is not resumed": {
			func(c *Catalog) { c.Routes[0].Resumable = false },
			[]string{`route "chat": max_attempts 2 has no effect, since requests of kind streaming without stream_resumption are not repeated`},
		},
		"too many attempts": {
			func(c *Catalog) { c.Routes[0].MaxAttempts = 100 },
			[]string{`route "chat": max_attempts 100 is more than can matter`},
		},
		"negative attempts": {
			func(c *Catalog) { c.Routes[0].MaxAttempts = -1 },
			[]string{`route "chat": max_attempts -1 counts as 1`},
		},
		"resumption without stream": {
			func(c *Catalog) { c.Routes[1].Resumable = true },
			[]string{`route "orders": stream_resumption has no effect on kind non_idempotent`},
		},
		"priorities": {
			func(c *Catalog) { ten := 10; c.Routes[1].Priority, c.ClientAccounts[0].Priority = -1, &ten },
			[]string{`route "orders": priority -1 is not from 0 to 9`, `client account "acme": priority 10 is not from 0 to 9`},
		},
		"service without route": {
			func(c *Catalog) { c.Services = append(c.Services, Service{Name: "spare"}) },
			[]string{`service "spare": no route sends requests to it`},
		},
		"cold period without rate": {
			func(c *Catalog) { c.Services[0].ColdRequestsPerSecond = 0 },
			[]string{`service "pool": the cold period 3s has no effect without a rate`},
		},
		"cold rate without period": {
			func(c *Catalog) { c.Services[0].ColdPeriod = 0 },
			[]string{`service "pool": the cold rate has no effect without a cold period`},
		},
		"engine": {
			func(c *Catalog) {
				c.Services[0].MaxConnections, c.Services[0].Engine.MemoryTokens = 5, 8
				c.Services[0].Engine.PromptCacheTokens, c.Services[0].Engine.Experts.MaxExpertsPerRank = 9, 97
			},
			[]string{
				`service "pool": 5 connections are fewer than the 10 slots of an engine`,
				`service "pool": 8 tokens of memory are fewer than the 10 slots of an engine`,
				`service "pool": 9 tokens of kept prompts exceed the memory of 8 tokens`,
				`service "pool": a rank has places for 97 experts of a set, which has 96`,
			},
		},
		"keys": {
			func(c *Catalog) { c.ClientAccounts[0].Keys = []string{"", " k", "a\nb", "k1", "k1"} },
			[]string{
				`client account "acme": key 1 is empty, so that requests without a key count as its own`,
				`client account "acme": key 2 cannot be sent in a header`,
				`client account "acme": key 3 cannot be sent in a header`,
				`client account "acme": key 5 is given more than once`,
			},
		},
		"key larger than a header section": {
			func(c *Catalog) { c.Limits.HeaderBytes = 1024; c.ClientAccounts[0].Keys[0] = strings.Repeat("k", 1024) },
			[]string{`client account "acme": key 1 has 1024 bytes, a whole header section at most 1024`},
		},
		"no keys": {
			func(c *Catalog) { c.ClientAccounts[0].Keys = nil },
			[]string{`client account "acme": it has no key, so that it can send nothing`},
		},
		"no accounts": {
			func(c *Catalog) { c.ClientAccounts = nil },
			[]string{"there are no client accounts, so that routes which are not public need no key"},
		},
		"all public": {
			func(c *Catalog) { c.Routes[0].Public, c.Routes[1].Public = true, true },
			[]string{"all routes are public, so that no client account is used"},
		},
		"limits": {
			func(c *Catalog) { c.Limits.HeaderBytes, c.Limits.BodyBytes = 100, -1 },
			[]string{"limits: a negative limit is replaced by its default", "limits: header_bytes 100 is too small for ordinary requests"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := soundCatalog()
			test.change(&c)
			if diff := cmp.Diff(test.want, c.Warnings()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDifferences guards against a change that is not shown before it is sent, and
// against keys, which are secrets, in the output.
func TestDifferences(t *testing.T) {
	tests := map[string]struct {
		change func(c *Catalog)
		want   []string
	}{
		"none":    {func(*Catalog) {}, nil},
		"version": {func(c *Catalog) { c.Version = 8 }, nil},
		"order":   {func(c *Catalog) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, nil},
		"route": {
			func(c *Catalog) {
				c.Routes[0].Timeout, c.Routes[0].Split[0].Weight = 4*time.Second, 80
				c.Routes[1].Name = "purchases"
			},
			[]string{`route "orders" removed`, `route "chat": timeout 8s -> 4s`, `route "chat": split pool:90,desk:10 -> pool:80,desk:10`, `route "purchases" added`},
		},
		"kind": {func(c *Catalog) { c.Routes[1].Kind = Idempotent }, []string{`route "orders": kind non_idempotent -> idempotent`}},
		"two routes with one name": {
			func(c *Catalog) { c.Routes[1].Name = "chat" },
			[]string{`route "orders" removed`, `route "chat" at a.example/orders/ added`},
		},
		"engine": {
			func(c *Catalog) { c.Services[0].Engine.Slots, c.Services[0].Engine.Experts.MaxNewExperts = 12, 2 },
			[]string{`service "pool": engine.slots 10 -> 12`, `service "pool": engine.experts.max_new_experts 0 -> 2`},
		},
		"engine removed": {func(c *Catalog) { c.Services[0].Engine = nil }, []string{`service "pool": engine given -> none`}},
		"account": {
			func(c *Catalog) {
				c.ClientAccounts[0].Keys, c.ClientAccounts[0].Priority = []string{"k2", "k3", "k4"}, nil
				c.ClientAccounts = append(c.ClientAccounts, ClientAccount{Name: "bolt", Keys: []string{"k9"}})
			},
			[]string{`client account "acme": keys, 2 added, 1 removed, now 3`, `client account "acme": priority 1 -> none`, `client account "bolt" added`},
		},
		"limits": {func(c *Catalog) { c.Limits.BodyBytes = 100 }, []string{"limits: body_bytes 4194304 -> 100"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			to := soundCatalog()
			test.change(&to)
			if diff := cmp.Diff(test.want, Differences(soundCatalog(), to)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
