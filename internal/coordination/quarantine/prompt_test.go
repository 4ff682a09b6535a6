package quarantine

import (
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
)

// TestParts guards against the quarantine of a request's own part, and against
// parts that are missed for how a list is written.
func TestParts(t *testing.T) {
	tests := map[string]struct {
		list string
		want []string
	}{
		"none":       {"", []string{}},
		"own only":   {"e4402b7d:250", []string{}},
		"shared":     {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", []string{"5c1e07a2", "91bd3f06"}},
		"order":      {"ff:1,aa:1,e4402b7d:250", []string{"ff", "aa"}},
		"spaces":     {" 5c1e07a2:800 , 91BD3F06:410,\te4402b7d:250", []string{"5c1e07a2", "91bd3f06"}},
		"no tokens":  {"5c1e07a2,91bd3f06", []string{"5c1e07a2"}},
		"twice":      {"5c1e07a2:1,5c1e07a2:1,91bd3f06:1", []string{"5c1e07a2"}},
		"empty ones": {",:4,91bd3f06:1,e4402b7d:250", []string{"91bd3f06"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Parts(test.list)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestManyParts guards against parts that are left out for their position.
func TestManyParts(t *testing.T) {
	var list strings.Builder
	var want []string
	for i := range 5000 {
		id := strconv.FormatInt(int64(i), 36)
		want = append(want, id)
		list.WriteString(id + ":1,")
	}
	if diff := cmp.Diff(want, Parts(list.String()+"own:1")); diff != "" {
		t.Error(diff)
	}
}

// TestLongIDs guards against ids without bound, which are kept by the thousands, and
// against bytes that are not text, which registrars could not be sent.
func TestLongIDs(t *testing.T) {
	long := strings.Repeat("a", 10_000)
	parts := Parts(long + "1:1," + long + "2:1," + strings.Repeat("\xff", 30) + ":1,own:1")
	if len(parts) != 3 {
		t.Fatalf("parts %q", parts)
	}
	for _, part := range parts {
		if len(part) > maxIDBytes || !utf8.ValidString(part) {
			t.Errorf("part of %d bytes: %.100q", len(part), part)
		}
	}
}
