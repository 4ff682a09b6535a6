package catalog

import (
	"fmt"
	"strings"
	"time"
)

const (
	// usefulAttempts is the number of attempts beyond which more are of no use:
	// retries are limited to a fraction of all requests, and this many failures in
	// a row only happen when no backend server works.
	usefulAttempts = 10
	// maxPriority is the least urgent priority that backend servers distinguish.
	maxPriority = 9
	// minHeaderBytes is the size below which ordinary header sections exceed the
	// limit.
	minHeaderBytes = 1024
)

// Warnings returns one line for each entry of a catalog that Check accepts but
// that has no effect, can never match, or contradicts another one.
func (c Catalog) Warnings() []string {
	w := warner{catalog: c, services: map[string]*Service{}, shares: map[string]bool{}}
	for i := range c.Services {
		w.services[c.Services[i].Name] = &c.Services[i]
	}
	w.repeated("route", names(c.Routes, func(r Route) string { return r.Name }))
	w.repeated("service", names(c.Services, func(s Service) string { return s.Name }))
	w.repeated("client account", names(c.ClientAccounts, func(a ClientAccount) string { return a.Name }))
	if len(c.Routes) == 0 {
		w.add("there are no routes, so that every request is refused as not found")
	}
	needsKey := false
	for _, r := range c.Routes {
		needsKey = needsKey || !r.Public
		w.route(r)
	}
	for _, s := range c.Services {
		w.service(s)
	}
	switch {
	case len(c.ClientAccounts) == 0 && needsKey:
		w.add("there are no client accounts, so that routes which are not public need no key")
	case len(c.ClientAccounts) > 0 && !needsKey && len(c.Routes) > 0:
		w.add("all routes are public, so that no client account is used")
	}
	for _, a := range c.ClientAccounts {
		w.account(a)
	}
	w.limits(c.Limits)
	return w.warnings
}

type warner struct {
	catalog  Catalog
	services map[string]*Service
	shares   map[string]bool // services that receive requests
	warnings []string
}

func (w *warner) add(format string, args ...any) {
	w.warnings = append(w.warnings, fmt.Sprintf(format, args...))
}

func names[T any](list []T, name func(T) string) []string {
	var out []string
	for _, item := range list {
		out = append(out, name(item))
	}
	return out
}

func (w *warner) repeated(kind string, list []string) {
	count := map[string]int{}
	for _, name := range list {
		if count[name]++; count[name] == 2 {
			w.add("%s %q is given more than once", kind, name)
		}
	}
}

func (w *warner) route(r Route) {
	w.match(r)
	w.times(r)
	total := uint64(0)
	for _, s := range r.Split {
		total += uint64(s.Weight)
	}
	seen := map[string]bool{}
	for _, s := range r.Split {
		if s.Weight == 0 && total > 0 {
			w.add("route %q: service %q has weight 0 and gets no requests", r.Name, s.Service)
		}
		if seen[s.Service] {
			w.add("route %q: service %q is listed more than once in the split", r.Name, s.Service)
		}
		seen[s.Service] = true
		w.shares[s.Service] = w.shares[s.Service] || s.Weight > 0
		if service := w.services[s.Service]; service != nil && s.Weight > 0 {
			w.engine(r, service)
		}
	}
	mayRepeat := r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
	switch {
	case r.MaxAttempts < 0:
		w.add("route %q: max_attempts %d counts as 1", r.Name, r.MaxAttempts)
	case r.MaxAttempts > 1 && !mayRepeat:
		w.add("route %q: max_attempts %d has no effect, since requests of kind %v are not repeated", r.Name, r.MaxAttempts, kindText(r))
	case r.MaxAttempts > usefulAttempts:
		w.add("route %q: max_attempts %d is more than can matter", r.Name, r.MaxAttempts)
	}
	if r.Resumable && r.Kind != Streaming {
		w.add("route %q: stream_resumption has no effect on kind %v", r.Name, r.Kind)
	}
	w.priority(fmt.Sprintf("route %q", r.Name), r.Priority)
}

func kindText(r Route) string {
	if r.Kind == Streaming {
		return "streaming without stream_resumption"
	}
	return r.Kind.String()
}

// match warns about routes that no request can match.
func (w *warner) match(r Route) {
	switch {
	case r.Host == "":
		w.add("route %q: no host, so that no ordinary request matches", r.Name)
	case strings.Contains(r.Host, ":"):
		w.add("route %q: host %q has a port, which is not compared, so that no request matches", r.Name, r.Host)
	case strings.ContainsAny(r.Host, "/?#*@ \t"):
		w.add("route %q: host %q is not the name of a host, so that no request matches", r.Name, r.Host)
	}
	if strings.ContainsAny(r.PathPrefix, "?#* \t") {
		w.add("route %q: path prefix %q has characters that are no part of a path, so that no request matches", r.Name, r.PathPrefix)
	}
}

// times warns about times of a route that contradict each other.
func (w *warner) times(r Route) {
	if r.TargetLatency < 0 || r.TargetGap < 0 {
		w.add("route %q: a negative target counts as one that is always missed", r.Name)
	}
	if r.TargetLatency > r.Timeout {
		w.add("route %q: target latency %v is above the timeout %v", r.Name, r.TargetLatency, r.Timeout)
	}
	if r.TargetGap > r.Timeout {
		w.add("route %q: target gap %v is above the timeout %v", r.Name, r.TargetGap, r.Timeout)
	}
	if r.TargetGap > 0 && r.Kind != Streaming {
		w.add("route %q: target gap %v has no effect on kind %v", r.Name, r.TargetGap, r.Kind)
	}
}

// engine warns about targets that the engines of a service cannot meet.
func (w *warner) engine(r Route, s *Service) {
	if s.Engine == nil || s.Engine.StepsPerPass <= 0 {
		return
	}
	pass := time.Duration(s.Engine.StepsPerPass) * (s.Engine.StepTime + s.Engine.RequestStepTime)
	if r.TargetGap > 0 && pass > r.TargetGap {
		w.add("route %q: target gap %v is below one pass of service %q, %v with a single request", r.Name, r.TargetGap, s.Name, pass)
	}
	if r.TargetLatency > 0 && pass > r.TargetLatency {
		w.add("route %q: target latency %v is below one pass of service %q, %v with a single request", r.Name, r.TargetLatency, s.Name, pass)
	}
}

func (w *warner) priority(subject string, priority int) {
	if priority < 0 || priority > maxPriority {
		w.add("%s: priority %d is not from 0 to %d", subject, priority, maxPriority)
	}
}

func (w *warner) service(s Service) {
	if !w.shares[s.Name] {
		w.add("service %q: no route sends requests to it", s.Name)
	}
	switch {
	case s.ColdPeriod > 0 && s.ColdRequestsPerSecond <= 0:
		w.add("service %q: the cold period %v has no effect without a rate", s.Name, s.ColdPeriod)
	case s.ColdPeriod <= 0 && s.ColdRequestsPerSecond > 0:
		w.add("service %q: the cold rate has no effect without a cold period", s.Name)
	}
	e := s.Engine
	if e == nil {
		return
	}
	if e.Slots > 0 && s.MaxConnections > 0 && s.MaxConnections < e.Slots {
		w.add("service %q: %d connections are fewer than the %d slots of an engine", s.Name, s.MaxConnections, e.Slots)
	}
	if e.MemoryTokens > 0 && e.Slots > e.MemoryTokens {
		w.add("service %q: %d tokens of memory are fewer than the %d slots of an engine", s.Name, e.MemoryTokens, e.Slots)
	}
	if e.PromptCacheTokens > e.MemoryTokens && e.MemoryTokens > 0 {
		w.add("service %q: %d tokens of kept prompts exceed the memory of %d tokens", s.Name, e.PromptCacheTokens, e.MemoryTokens)
	}
	if x := e.Experts; x != nil && x.MaxExpertsPerRank > x.ExpertsPerSet {
		w.add("service %q: a rank has places for %d experts of a set, which has %d", s.Name, x.MaxExpertsPerRank, x.ExpertsPerSet)
	}
}

func (w *warner) account(a ClientAccount) {
	if len(a.Keys) == 0 {
		w.add("client account %q: it has no key, so that it can send nothing", a.Name)
	}
	seen := map[string]bool{}
	for i, key := range a.Keys {
		// Keys are secrets and are named by their position.
		switch {
		case key == "":
			w.add("client account %q: key %d is empty, so that requests without a key count as its own", a.Name, i+1)
		case strings.TrimSpace(key) != key || strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r == 0x7f }):
			w.add("client account %q: key %d cannot be sent in a header", a.Name, i+1)
		case w.catalog.Limits.HeaderBytes > 0 && len(key) >= w.catalog.Limits.HeaderBytes:
			w.add("client account %q: key %d has %d bytes, a whole header section at most %d", a.Name, i+1, len(key), w.catalog.Limits.HeaderBytes)
		case seen[key]:
			w.add("client account %q: key %d is given more than once", a.Name, i+1)
		}
		seen[key] = true
	}
	if a.Priority != nil {
		w.priority(fmt.Sprintf("client account %q", a.Name), *a.Priority)
	}
}

func (w *warner) limits(l Limits) {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		w.add("limits: a negative limit is replaced by its default")
	}
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		w.add("limits: header_bytes %d is too small for ordinary requests", l.HeaderBytes)
	}
}
