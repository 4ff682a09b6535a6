package registry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCatalog guards against an older catalog, or another one of the same
// version, replacing the one in force.
func TestCatalog(t *testing.T) {
	r := New()
	now := time.Unix(1, 0)
	steps := []struct {
		version uint64
		data    string
		adopted bool
		want    Catalog
	}{
		{5, "five", true, Catalog{Version: 5, Data: []byte("five")}},
		{5, "other", false, Catalog{Version: 5, Data: []byte("five")}},
		{4, "four", false, Catalog{Version: 5, Data: []byte("five")}},
		{9, "nine", true, Catalog{Version: 9, Data: []byte("nine")}},
	}
	for i, s := range steps {
		version, adopted, err := DecodeCatalogResult(r.Apply(uint64(i+1), CatalogCommand(now, s.version, []byte(s.data))))
		if err != nil || adopted != s.adopted || version != s.want.Version {
			t.Errorf("step %d: version %d, adopted %t, error %v", i, version, adopted, err)
		}
		if diff := cmp.Diff(s.want, r.Catalog()); diff != "" {
			t.Error(diff)
		}
	}
}

// TestDrained guards against a drained failure domain that returns to service
// without a command, also through a snapshot and restore.
func TestDrained(t *testing.T) {
	r := New()
	apply := func(index uint64, domain string, drained bool) {
		t.Helper()
		if err := DecodeDrainResult(r.Apply(index, DrainCommand(time.Unix(1, 0), domain, drained))); err != nil {
			t.Fatal(err)
		}
	}
	apply(1, "meknes", true)
	apply(2, "fes", true)
	apply(3, "meknes", true)
	snapshot, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(DrainedDomains{Index: 2, FailureDomains: []string{"fes", "meknes"}}, restored.Drained()); diff != "" {
		t.Error(diff)
	}
	apply(4, "fes", false)
	if diff := cmp.Diff(DrainedDomains{Index: 4, FailureDomains: []string{"meknes"}}, r.Drained()); diff != "" {
		t.Error(diff)
	}
	if err := DecodeDrainResult(r.Apply(5, DrainCommand(time.Unix(1, 0), "", true))); err == nil {
		t.Error("a drain without a failure domain was accepted")
	}
}
