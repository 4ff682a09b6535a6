package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFits guards against taking a request that will be cut when a draining entry ends,
// and against refusing one that ends in time.
func TestFits(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		recent              []time.Duration
		later               time.Duration // since the recent requests
		left, untilDeadline time.Duration
		mayRepeat, want     bool
	}{
		"deadline in time":             {nil, 0, 2 * time.Second, time.Second, false, true},
		"deadline too late":            {nil, 0, 2 * time.Second, 3 * time.Second, false, false},
		"unknown, repeatable":          {nil, 0, 2 * time.Second, 3 * time.Second, true, true},
		"nothing left":                 {nil, 0, 0, 3 * time.Second, true, false},
		"short ones":                   {[]time.Duration{time.Second, time.Millisecond}, 0, 2 * time.Second, 8 * time.Second, false, true},
		"long ones":                    {[]time.Duration{time.Second, 1700 * time.Millisecond}, 0, 2 * time.Second, 8 * time.Second, false, false},
		"a long one, repeatable":       {[]time.Duration{time.Second, time.Second, 5 * time.Second}, 0, 3 * time.Second, 8 * time.Second, true, true},
		"a long one":                   {[]time.Duration{time.Second, time.Second, 5 * time.Second}, 0, 3 * time.Second, 8 * time.Second, false, false},
		"long ones, repeatable":        {[]time.Duration{1700 * time.Millisecond}, 0, 2 * time.Second, 8 * time.Second, true, false},
		"long ones, deadline in time":  {[]time.Duration{5 * time.Second}, 0, 2 * time.Second, 2 * time.Second, false, true},
		"long ones in the last window": {[]time.Duration{5 * time.Second}, durationWindow + time.Second, 2 * time.Second, 8 * time.Second, false, false},
		"long ones forgotten":          {[]time.Duration{5 * time.Second}, 3 * durationWindow, 2 * time.Second, 8 * time.Second, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d durations
			for _, length := range test.recent {
				d.add(start, length)
			}
			if test.later > 0 {
				d.add(start.Add(test.later/2+1), time.Millisecond)
				d.add(start.Add(test.later), time.Millisecond)
			}
			if diff := cmp.Diff(test.want, d.fits(test.left, test.untilDeadline, test.mayRepeat)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDrain guards against requests without an answer when a draining entry ends, and
// against an answer that says "not run" of one that may have run.
func TestDrain(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) bool { time.Sleep(500 * time.Millisecond); return ok(c, r) }
	tests := map[string]struct {
		path   string
		drain  time.Duration // until the end, when the request is sent
		begun  bool          // the entry begins to drain once the request has been sent
		status int
		sends  int
	}{
		"order that fits":     {"/once/1", 3 * time.Second, false, 200, 1},
		"order that does not": {"/once/1", time.Second, false, 503, 0},
		"order in flight":     {"/once/1", 300 * time.Millisecond, true, 502, 1},
		"repeatable one":      {"/again/1", 300 * time.Millisecond, false, 502, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, slow)
			s := newTestGateway(t, server)
			drain := func() { s.gateway.Drain(time.Now().Add(test.drain)) }
			if test.begun {
				time.AfterFunc(50*time.Millisecond, drain)
			} else {
				drain()
			}
			begin := time.Now()
			status, _, header := s.send(t, "POST", test.path, "")
			if diff := cmp.Diff([]int{test.status, test.sends}, []int{status, len(server.requests())}); diff != "" {
				t.Error(diff)
			}
			if status == 503 && header.Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
			if took := time.Since(begin); status != 200 && took > test.drain+50*time.Millisecond {
				t.Errorf("answered after %v, and the process ends after %v", took, test.drain)
			}
		})
	}
}
