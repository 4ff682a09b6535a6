package hop

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCopy guards against hop-by-hop headers that are forwarded, and against
// end-to-end headers that are lost.
func TestCopy(t *testing.T) {
	from := http.Header{
		"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Content-Length": {"3"},
		"Te": {"trailers"}, "X-Kept": {"a", "b"},
	}
	to := http.Header{"X-Own": {"c"}}
	Copy(to, from)
	if diff := cmp.Diff(http.Header{"X-Own": {"c"}, "X-Kept": {"a", "b"}}, to); diff != "" {
		t.Error(diff)
	}
}
