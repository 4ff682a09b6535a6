package fault

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// Guards against a kind without a row in the table, whose status would be 0.
func TestTableIsComplete(t *testing.T) {
	for _, k := range Kinds() {
		if k.Status() < 400 {
			t.Errorf("%v: status %d", k, k.Status())
		}
		if got, ok := ParseKind(k.String()); !ok || got != k {
			t.Errorf("ParseKind(%q) = %v, %v", k.String(), got, ok)
		}
	}
}

// Guards against an error without a kind whose request counts as not run.
func TestFrom(t *testing.T) {
	inner := New(KeyReused, "key %q", "a")
	tests := map[string]struct {
		err  error
		want Body
	}{
		"plain":   {errors.New("boom"), Body{Kind: "internal", Message: "unexpected error", Ran: "unknown"}},
		"wrapped": {errors.Wrap(inner, "entry"), Body{Kind: "key_reused", Message: `key "a"`, Ran: "no"}},
		"ran":     {inner.WithRan(RanYes), Body{Kind: "key_reused", Message: `key "a"`, Ran: "yes"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, From(test.err).Body("")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
