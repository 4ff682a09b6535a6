package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnswerMemory guards against answers that take more memory than the entry has for
// them, against sound ones that are not served for that reason, and against memory that
// is not returned.
func TestAnswerMemory(t *testing.T) {
	const budget = 64 << 10
	long := strings.Repeat("x", 100<<10)
	body := func(c net.Conn, r *http.Request) bool { return reply(c, r, 200, signed, long) }
	event := func(data string) script {
		return func(c net.Conn, r *http.Request) bool {
			return reply(c, r, 200, signed+"Content-Type: text/event-stream\r\n", "id: 1\ndata: "+data+"\n\n")
		}
	}
	tests := map[string]struct {
		path   string
		used   int64 // by other answers
		answer script
		status int
		bytes  int // of the body, 0 if it is an error
	}{
		"body, forwarded while it is read": {"/once/1", budget, body, 200, len(long)},
		"body, larger than the budget":     {"/once/1", 0, body, 200, len(long)},
		"short body":                       {"/once/1", budget, ok, 200, len("done")},
		"event":                            {"/stream/1", 0, event(long[:budget/4]), 200, len("id: 1\ndata: \n\n") + budget/4},
		"event without memory":             {"/stream/1", budget, event(long), 502, 0},
		"short event":                      {"/stream/1", budget, event("e1"), 200, len("id: 1\ndata: e1\n\n")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, newFakeServer(t, test.answer))
			s.gateway.answers.limit, s.gateway.answers.used = budget, test.used
			status, got, _ := s.send(t, "POST", test.path, "")
			if status != http.StatusOK {
				got = ""
			}
			if diff := cmp.Diff([]int{test.status, test.bytes}, []int{status, len(got)}); diff != "" {
				t.Error(diff)
			}
			s.Close() // waits for the end of the request
			if used := s.gateway.answers.used; used != test.used {
				t.Errorf("%d bytes are reserved at the end, want %d", used, test.used)
			}
		})
	}
}

// TestReservation guards against a reservation that takes more than its budget has, or
// returns more or less than it has taken.
func TestReservation(t *testing.T) {
	tests := map[string]struct {
		sizes []int
		want  string
	}{
		"own bytes only":    {[]int{5, 10, 0}, "true true true, used 0"},
		"grows":             {[]int{20, 30}, "true true, used 20"},
		"does not fit":      {[]int{20, 200, 20}, "true false true, used 10"},
		"shrinks":           {[]int{60, 15}, "true true, used 5"},
		"exactly":           {[]int{110}, "true, used 100"},
		"one byte too many": {[]int{111}, "false, used 0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := byteBudget{limit: 100}
			r := reservation{budget: &budget, own: 10}
			var results []string
			for _, n := range test.sizes {
				results = append(results, fmt.Sprint(r.resize(n)))
			}
			if diff := cmp.Diff(test.want, fmt.Sprintf("%s, used %d", strings.Join(results, " "), budget.used)); diff != "" {
				t.Error(diff)
			}
			if r.release(); budget.used != 0 {
				t.Errorf("%d bytes are used after the release", budget.used)
			}
		})
	}
}
