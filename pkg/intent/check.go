package intent

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// IsValidName reports whether text is a valid name of a region, failure domain,
// host, service, backend server, group or client account: up to 64 of a-z, 0-9,
// dot, dash and underscore, with a letter or digit at both ends.
func IsValidName(text string) bool { return namePattern.MatchString(text) }

// Check returns one line for each problem, with the field and the reason.
func (in Intent) Check() []string {
	c := checker{}
	c.checkName("region", in.Region)
	if len(in.FailureDomains) == 0 {
		c.add("failure_domain", "at least one is needed")
	}
	domains := c.failureDomains(in.FailureDomains)
	services := c.services(in, domains)
	c.backendServers(in.BackendServers)
	c.clientAccounts(in.ClientAccounts, services)
	return c.problems
}

type checker struct {
	problems []string
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, field+": "+fmt.Sprintf(format, args...))
}

func (c *checker) checkName(field, name string) {
	if !IsValidName(name) {
		c.add(field, "%q is not a valid name; use up to 64 of a-z, 0-9, dot, dash and underscore", name)
	}
}

func (c *checker) checkUniqueName(seen map[string]bool, field, name string) {
	c.checkName(field+".name", name)
	if seen[name] {
		c.add(field+".name", "%q is listed twice", name)
	}
	seen[name] = true
}

func (c *checker) failureDomains(domains []FailureDomain) map[string]bool {
	seen := map[string]bool{}
	for _, d := range domains {
		c.checkUniqueName(seen, "failure_domain", d.Name)
	}
	return seen
}

func (c *checker) services(in Intent, domains map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for _, s := range in.Services {
		c.checkUniqueName(seen, "service", s.Name)
		field := "service " + s.Name
		if len(s.FailureDomains) == 0 {
			c.add(field+".failure_domains", "at least one is needed")
		}
		for _, d := range s.FailureDomains {
			if !domains[d] {
				c.add(field+".failure_domains", "%q is not a failure_domain of this intent", d)
			}
		}
		if len(s.Regions) > 0 && !slices.Contains(s.Regions, in.Region) {
			c.add(field+".regions", "must contain this region, %q", in.Region)
		}
		if s.MaxBodyBytes < 0 {
			c.add(field+".max_body_bytes", "must not be negative")
		}
		for _, r := range s.Routes {
			if !strings.HasPrefix(r.Path, "/") {
				c.add(field+".route.path", "%q must begin with a slash", r.Path)
			}
		}
		if s.Kind == Model && len(s.Routes) > 0 {
			c.add(field+".route", "a model has no routes: its completions may always be repeated")
		}
	}
	return seen
}

func (c *checker) backendServers(servers []BackendServer) {
	seen := map[string]bool{}
	for _, b := range servers {
		c.checkUniqueName(seen, "backend_server", b.Name)
	}
}

func (c *checker) clientAccounts(accounts []ClientAccount, services map[string]bool) {
	seen, keys := map[string]bool{}, map[string]bool{}
	for _, a := range accounts {
		c.checkUniqueName(seen, "client_account", a.Name)
		field := "client_account " + a.Name
		if raw, err := hex.DecodeString(a.KeySHA256); err != nil || len(raw) != 32 {
			c.add(field+".key_sha256", "must be 64 hex digits")
		}
		// Upper and lower case hex digits denote the same digest.
		key := strings.ToLower(a.KeySHA256)
		if keys[key] {
			c.add(field+".key_sha256", "is used by another client account")
		}
		keys[key] = true
		// TOML has nan and inf, and every comparison with nan is false.
		if !(a.RequestsPerSecond >= 0) || math.IsInf(a.RequestsPerSecond, 1) {
			c.add(field+".requests_per_second", "%v is not a valid rate", a.RequestsPerSecond)
		}
		for _, s := range a.Services {
			if !services[s] {
				c.add(field+".services", "%q is not a service of this intent", s)
			}
		}
	}
}
