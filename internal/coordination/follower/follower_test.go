package follower

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestChooseLoadSource guards against loads that cross failure domains although a
// member of the group is near, and against an entry without any loads while some
// member can be reached.
func TestChooseLoadSource(t *testing.T) {
	members := []string{"a1", "b1", "c1"}
	domains := map[string]string{"a1": "a", "b1": "b", "c1": "c"}
	tests := map[string]struct {
		current, own string
		down         map[string]bool
		want         string
	}{
		"own failure domain":        {own: "b", want: "b1"},
		"back to the own one":       {own: "b", current: "c1", want: "b1"},
		"own one is down":           {own: "b", down: map[string]bool{"b1": true}, want: "a1"},
		"stays with the current":    {own: "b", current: "c1", down: map[string]bool{"b1": true}, want: "c1"},
		"current is down":           {own: "x", current: "a1", down: map[string]bool{"a1": true}, want: "b1"},
		"all are down":              {own: "b", current: "b1", down: map[string]bool{"a1": true, "b1": true, "c1": true}, want: ""},
		"no member in the own one":  {own: "x", want: "a1"},
		"only one can be reached":   {own: "a", down: map[string]bool{"a1": true, "b1": true}, want: "c1"},
		"current is not in the log": {own: "x", current: "d1", want: "a1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := chooseLoadSource(test.current, members, domains, test.own, func(m string) bool { return !test.down[m] })
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
