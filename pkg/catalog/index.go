package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// Index finds routes, services and client accounts of one catalog. It is safe
// for concurrent use. Create it with NewIndex.
type Index struct {
	Catalog  Catalog
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	accounts map[string]*ClientAccount // by key
}

// NewIndex returns the index of a catalog, which must not be modified afterwards.
func NewIndex(c Catalog) *Index {
	x := &Index{
		Catalog:  c,
		hosts:    map[string][]*Route{},
		services: map[string]*Service{},
		accounts: map[string]*ClientAccount{},
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		x.hosts[host] = append(x.hosts[host], &c.Routes[i])
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.ClientAccounts {
		for _, key := range c.ClientAccounts[i].Keys {
			x.accounts[key] = &c.ClientAccounts[i]
		}
	}
	return x
}

// Route returns the route with the longest prefix of a path. A port in host is
// ignored.
func (x *Index) Route(host, path string) (*Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// ServiceNames returns the names of all services.
func (x *Index) ServiceNames() []string {
	names := make([]string, 0, len(x.Catalog.Services))
	for _, s := range x.Catalog.Services {
		names = append(names, s.Name)
	}
	return names
}

// Account returns the client account that holds a key.
func (x *Index) Account(key string) (*ClientAccount, bool) {
	a, ok := x.accounts[key]
	return a, ok
}

// NeedsKey reports whether requests on a route must carry a key.
func (x *Index) NeedsKey(r *Route) bool {
	return !r.Public && len(x.Catalog.ClientAccounts) > 0
}

// PickService selects a service by the weights of the split for a random number
// in [0, 1). It returns an empty name if the weights add up to 0.
func (r *Route) PickService(random float64) string {
	total := uint64(0)
	for _, s := range r.Split {
		total += uint64(s.Weight)
	}
	offset := uint64(random * float64(total))
	for _, s := range r.Split {
		if offset < uint64(s.Weight) {
			return s.Service
		}
		offset -= uint64(s.Weight)
	}
	return ""
}

// IsRepeatable reports whether a request may run more than once.
func (r *Route) IsRepeatable() bool { return r.Kind == Idempotent }
