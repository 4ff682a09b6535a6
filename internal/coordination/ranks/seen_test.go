package ranks

import "testing"

// TestReturns guards against copies for popularities that never come back: those seen
// earlier may count only while some do.
func TestReturns(t *testing.T) {
	// Each popularity is the expert that gets most of one set's requests.
	tests := map[string]struct {
		hot  []int
		want bool
	}{
		"nothing seen":           {nil, false},
		"two that alternate":     {[]int{0, 1, 0, 1}, true},
		"three in turn":          {[]int{0, 1, 2, 0, 1}, true},
		"each is new":            {[]int{0, 1, 2, 3, 4, 5, 6, 7}, false},
		"returned long ago only": {[]int{0, 1, 0, 2, 3, 4, 5}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s seen
			for _, hot := range test.hot {
				for range minSeenCounts {
					counts := [][]uint64{{1, 1, 1, 1, 1, 1, 1, 1}}
					counts[0][hot] += 20
					s.observe(counts, false, 0.01)
				}
				s.observe(nil, true, 0.01)
			}
			if got := s.areUseful(); got != test.want {
				t.Errorf("popularities seen earlier count: %t, want %t (share of returns %.2f)", got, test.want, s.returnShare)
			}
			if shares := s.shares(0); (len(shares) > 0) != test.want {
				t.Errorf("%d popularities count in plans", len(shares))
			}
		})
	}
}
