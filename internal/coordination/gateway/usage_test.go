package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/pkg/catalog"
)

// TestCountRun guards against requests that are counted for usage reports twice when
// they are repeated or resumed, though they have not begun to run, or not at all, and
// against counts of requests without a client account.
func TestCountRun(t *testing.T) {
	inTurn := func(scripts ...script) script {
		var n atomic.Int32
		return func(conn net.Conn, r *http.Request) bool {
			return scripts[min(int(n.Add(1)), len(scripts))-1](conn, r)
		}
	}
	whole := func(conn net.Conn, r *http.Request) bool { return events(conn, r, 5, true, "") }
	broken := func(conn net.Conn, r *http.Request) bool { return events(conn, r, 2, false, "") }
	headers := func(conn net.Conn, r *http.Request) bool { return events(conn, r, 0, false, "") }
	tests := map[string]struct {
		path   string
		script script
		public bool
		want   []string
	}{
		"answered":                         {"/once/1", ok, false, []string{"acme"}},
		"public":                           {"/once/1", ok, true, nil},
		"not run":                          {"/once/1", notRun, false, nil},
		"not run, then answered":           {"/once/1", inTurn(notRun, ok), false, []string{"acme"}},
		"misdirected":                      {"/once/1", misdirected, false, nil},
		"no answer":                        {"/once/1", resetConnection, false, nil},
		"no signature":                     {"/once/1", withoutSignature, false, nil},
		"429 without not run":              {"/once/1", answerStatus(429), false, nil},
		"answer incomplete":                {"/once/1", truncateBody, false, []string{"acme"}},
		"400":                              {"/once/1", answerStatus(400), false, []string{"acme"}},
		"repeated after an error":          {"/again/1", inTurn(internalError, ok), false, []string{"acme"}},
		"stream":                           {"/stream/1", whole, false, []string{"acme"}},
		"stream, public":                   {"/stream/1", whole, true, nil},
		"stream resumed":                   {"/stream/1", inTurn(broken, whole), false, []string{"acme"}},
		"stream begun elsewhere":           {"/stream/1", inTurn(headers, whole), false, []string{"acme"}},
		"stream without an event":          {"/fixed/1", headers, false, nil},
		"stream answered with no events":   {"/stream/1", answerStatus(400), false, []string{"acme"}},
		"stream broken, not to be resumed": {"/fixed/1", broken, false, []string{"acme"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeServer(t, test.script), newFakeServer(t, test.script)
			s := newTestGateway(t, a, b)
			var mu sync.Mutex
			var counted []string
			s.gateway.cfg.CountRun = func(account string) {
				mu.Lock()
				defer mu.Unlock()
				counted = append(counted, account)
			}
			if test.public {
				v := *s.gateway.view
				c := v.Index.Catalog
				c.Routes = slices.Clone(c.Routes)
				for i := range c.Routes {
					c.Routes[i].Public = true
				}
				v.Index = catalog.NewIndex(c)
				s.gateway.Update(&v)
			}
			status, _, _ := s.send(t, "POST", test.path, "body")
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff(test.want, counted); diff != "" {
				t.Errorf("answered %d: %s", status, diff)
			}
		})
	}
}
