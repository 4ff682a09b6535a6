package logging

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const logText = `
  0.1 front-1 {"@level":"info","@message":"backend server changed","@module":"control.registrar","@timestamp":"2026-01-01T00:00:01.000000Z","backend_server":"i-2","state":"draining"}
no JSON here
  0.2 front-2 {"@level":"info","@message":"belief changed","@module":"entry.gateway","@timestamp":"2026-01-01T00:00:02.000000Z","group":"g0","state":"slow"}
  0.2 front-3 {"@level":"info","@message":"belief changed","@module":"entry.gateway","@timestamp":"2026-01-01T00:00:02.000000Z","group":"g0","state":"resting"}
  0.2 front-2 {"@level":"info","@message":"refused","@module":"entry.gateway","@timestamp":"2026-01-01T00:00:02.500000Z","request_id":"r1","attempts":["i-2 unreached after 3 ms"],"reason":"overloaded"}
  0.3 front-2 {"@level":"info","@message":"answered","@module":"entry.gateway","@timestamp":"2026-01-01T00:00:02.600000Z","request_id":"r2"}
{"cut
`

// TestExplain guards against an explanation of a failed request that lacks the
// lines about its backend servers, or contains lines about unrelated ones.
func TestExplain(t *testing.T) {
	lines, err := Read("all.log", strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if !Explain(&out, "r1", lines) {
		t.Fatal("the request was not found")
	}
	want := `00:00:01.000  all.log 0.1 front-1  control.registrar: backend server changed
    backend_server: i-2
    state: draining
00:00:02.000  all.log 0.2 front-2  entry.gateway: belief changed
    group: g0
    state: slow
00:00:02.500  all.log 0.2 front-2  entry.gateway: refused
    attempts 1: i-2 unreached after 3 ms
    reason: overloaded
    request_id: r1
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
	if Explain(&out, "r9", lines) {
		t.Error("a request that no line names was found")
	}
}
