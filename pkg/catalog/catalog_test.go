package catalog

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func valid() Catalog {
	return Catalog{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "shop.example", PathPrefix: "/", Timeout: time.Second, Split: []Share{{Service: "desk", Weight: 1}}},
			{Name: "orders", Host: "shop.example", PathPrefix: "/orders/", Timeout: time.Second, Split: []Share{{Service: "desk", Weight: 1}, {Service: "pool", Weight: 3}}},
		},
		Services:       []Service{{Name: "desk"}, {Name: "pool"}},
		ClientAccounts: []ClientAccount{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}},
	}
}

// TestCheck guards against accepting a catalog whose routes have no service, and
// against rejecting a valid one.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*Catalog)
		want   []string
	}{
		"valid":           {change: func(*Catalog) {}},
		"unknown service": {change: func(c *Catalog) { c.Routes[0].Split[0].Service = "x" }, want: []string{`route "all": service "x" does not exist`}},
		"no weight":       {change: func(c *Catalog) { c.Routes[0].Split[0].Weight = 0 }, want: []string{`route "all": the weights add up to 0`}},
		"no timeout":      {change: func(c *Catalog) { c.Routes[1].Timeout = 0 }, want: []string{`route "orders": the timeout must be positive`}},
		"same host and prefix": {
			change: func(c *Catalog) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/", "Shop.Example" },
			want:   []string{`route "orders": host "Shop.Example" and path prefix "/" are taken`},
		},
		"bad prefix": {
			change: func(c *Catalog) { c.Routes[1].PathPrefix = "/orders" },
			want:   []string{`route "orders": path prefix "/orders" must begin and end with a slash`},
		},
		"shared key": {
			change: func(c *Catalog) { c.ClientAccounts[1].Keys = []string{"k1"} },
			want:   []string{`client accounts "a" and "b" share a key`},
		},
		"key twice in one account": {change: func(c *Catalog) { c.ClientAccounts[1].Keys = []string{"k3", "k3"} }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := valid()
			test.change(&c)
			if diff := cmp.Diff(test.want, c.Check()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRoute guards against a request that is matched to a shorter prefix than the
// longest one, or to the route of another host.
func TestRoute(t *testing.T) {
	index := NewIndex(valid())
	tests := map[string]struct {
		host, path, want string
	}{
		"longest prefix":    {"shop.example", "/orders/7", "orders"},
		"prefix itself":     {"shop.example", "/orders/", "orders"},
		"no slash after it": {"shop.example", "/orders", "all"},
		"case and port":     {"SHOP.example:8080", "/x", "all"},
		"another host":      {"other.example", "/orders/7", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r, ok := index.Route(test.host, test.path); ok {
				got = r.Name
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPick guards against a split that omits a service or gives it more than its
// weight.
func TestPick(t *testing.T) {
	route := valid().Routes[1]
	got := map[string]int{}
	for i := range 100 {
		got[route.PickService(float64(i)/100)]++
	}
	if diff := cmp.Diff(map[string]int{"desk": 25, "pool": 75}, got); diff != "" {
		t.Error(diff)
	}
}
