package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const (
	ready    = peer.BackendState_BACKEND_STATE_READY
	draining = peer.BackendState_BACKEND_STATE_DRAINING
	gone     = peer.BackendState_BACKEND_STATE_GONE
)

func announcement(id string, started, sequence uint64, address string, state peer.BackendState) *peer.Announcement {
	return &peer.Announcement{Id: id, BornMs: started, Sequence: sequence, Service: "pool", Address: address, FailureDomain: "fes", State: state}
}

// newTable returns a table of a catalog with the service pool.
func newTable() *Table {
	t := New()
	t.SetServices(time.Unix(0, 0), []string{"pool"})
	return t
}

func listed(t *Table) map[string]string {
	got := map[string]string{}
	t.Entries(func(e *Entry) {
		got[e.Announcement.Id] = e.Announcement.Address + " " + e.Announcement.State.String()[14:]
	})
	return got
}

// TestApply guards against late announcements that list an ended incarnation
// again.
func TestApply(t *testing.T) {
	deregistration := &peer.Announcement{Id: "a", State: gone}
	tests := map[string]struct {
		announcements []*peer.Announcement
		want          map[string]string
	}{
		"late announcement of the same incarnation": {
			announcements: []*peer.Announcement{announcement("a", 1, 5, "h:1", draining), announcement("a", 1, 4, "h:1", ready)},
			want:          map[string]string{"a": "h:1 DRAINING"},
		},
		"late announcement after the deregistration": {
			announcements: []*peer.Announcement{announcement("a", 1, 5, "h:1", ready), deregistration, announcement("a", 1, 6, "h:1", ready)},
			want:          map[string]string{},
		},
		"restart under the same id": {
			announcements: []*peer.Announcement{announcement("a", 1, 50, "h:1", ready), deregistration, announcement("a", 2, 1, "h:1", ready)},
			want:          map[string]string{"a": "h:1 READY"},
		},
		"late deregistration of the previous incarnation": {
			announcements: []*peer.Announcement{announcement("a", 2, 1, "h:1", ready), {Id: "a", BornMs: 1, State: gone}},
			want:          map[string]string{"a": "h:1 READY"},
		},
		"address taken over": {
			announcements: []*peer.Announcement{announcement("a", 1, 5, "h:1", ready), announcement("b", 2, 1, "h:1", ready), announcement("a", 1, 6, "h:1", ready)},
			want:          map[string]string{"b": "h:1 READY"},
		},
		"late announcement of the address's previous owner": {
			announcements: []*peer.Announcement{announcement("b", 2, 1, "h:1", ready), announcement("a", 1, 6, "h:1", ready)},
			want:          map[string]string{"b": "h:1 READY"},
		},
		"deregistration of an unknown backend server": {announcements: []*peer.Announcement{deregistration}, want: map[string]string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			for i, a := range test.announcements {
				table.Apply(time.Unix(int64(i), 0), a)
			}
			if diff := cmp.Diff(test.want, listed(table)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSilent guards against a backend server that was partitioned from the
// registrars and stays unlisted after it announces again.
func TestSilent(t *testing.T) {
	table, now := newTable(), time.Unix(100, 0)
	table.Apply(now, announcement("a", 1, 5, "h:1", ready))
	now = now.Add(silenceTimeout + time.Second)
	if diff := cmp.Diff([]string{"a"}, table.Expire(now)); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(map[string]string{}, listed(table)); diff != "" {
		t.Error(diff)
	}
	table.Apply(now, announcement("a", 1, 60, "h:1", ready))
	if diff := cmp.Diff(map[string]string{"a": "h:1 READY"}, listed(table)); diff != "" {
		t.Error(diff)
	}
}

// TestForeign guards against an announcement of another writer that displaces a
// sound backend server (review/3), also in the table of a follower, and against the
// loss of announcements that came before the catalog that lists their service.
func TestForeign(t *testing.T) {
	foreign := func(id string, started, sequence uint64, address string) *peer.Announcement {
		a := announcement(id, started, sequence, address, ready)
		a.Service = "unknown"
		return a
	}
	own := map[string]string{"a": "h:1 READY"}
	type step struct {
		announcement *peer.Announcement
		services     []string
		silence      time.Duration
	}
	announce := func(a *peer.Announcement) step { return step{announcement: a} }
	tests := map[string]struct {
		steps []step
		want  map[string]string
	}{
		"unknown service at the address": {
			[]step{announce(announcement("a", 1, 5, "h:1", ready)), announce(foreign("x", 9, 1, "h:1")), announce(announcement("a", 1, 6, "h:1", ready))}, own,
		},
		"unknown service under the id": {
			[]step{announce(announcement("a", 1, 5, "h:1", ready)), announce(foreign("a", 9, 99, "h:2")), announce(announcement("a", 1, 6, "h:1", ready))}, own,
		},
		"unknown service first": {
			[]step{announce(foreign("a", 9, 99, "h:1")), announce(foreign("x", 9, 1, "h:1")), announce(announcement("a", 1, 5, "h:1", ready))}, own,
		},
		"drain after an unknown service": {
			[]step{announce(announcement("a", 1, 5, "h:1", ready)), announce(foreign("a", 9, 99, "h:1")), announce(announcement("a", 1, 6, "h:1", draining))},
			map[string]string{"a": "h:1 DRAINING"},
		},
		"service listed later": {
			[]step{announce(foreign("new", 3, 1, "h:3")), announce(announcement("a", 1, 5, "h:1", ready)), {services: []string{"pool", "unknown"}}},
			map[string]string{"a": "h:1 READY", "new": "h:3 READY"},
		},
		"ended before its service is listed": {
			[]step{announce(foreign("new", 3, 1, "h:3")), announce(&peer.Announcement{Id: "new", State: gone}), {services: []string{"pool", "unknown"}}},
			map[string]string{},
		},
		"drain after the service was removed": {
			[]step{announce(announcement("a", 1, 5, "h:1", ready)), {services: []string{"other"}}, announce(announcement("a", 1, 6, "h:1", draining))},
			map[string]string{"a": "h:1 DRAINING"},
		},
		"same service at the address, then silent": {
			[]step{announce(announcement("a", 1, 5, "h:1", ready)), announce(announcement("x", 9, 1, "h:1", ready)), {silence: silenceTimeout + time.Second}, announce(announcement("a", 1, 60, "h:1", ready))}, own,
		},
		"same id, then silent": {
			[]step{announce(announcement("a", 1, 5, "h:1", ready)), announce(announcement("a", 9, 1, "h:2", ready)), {silence: silenceTimeout + time.Second}, announce(announcement("a", 1, 60, "h:1", ready))}, own,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, follower, now, version := newTable(), newTable(), time.Unix(100, 0), uint64(0)
			for _, s := range test.steps {
				now = now.Add(s.silence)
				table.Expire(now)
				if s.services != nil {
					table.SetServices(now, s.services)
					follower.SetServices(now, s.services)
				}
				if s.announcement != nil {
					table.Apply(now, s.announcement)
					if !follower.IsListed(s.announcement.Service) {
						follower.Apply(now, s.announcement) // by a registrar that passes on all
					}
				}
				for _, a := range table.Since(now, version) {
					follower.Apply(now, a)
				}
				version = table.Version()
			}
			if diff := cmp.Diff([]map[string]string{test.want, test.want}, []map[string]string{listed(table), listed(follower)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestUnlistedBound guards against a table that grows with announcements of services
// that no catalog lists.
func TestUnlistedBound(t *testing.T) {
	table := newTable()
	for i := range maxUnlisted + 100 {
		a := announcement(fmt.Sprintf("x%d", i), 1, 1, "h:1", ready)
		a.Service = fmt.Sprintf("s%d", i)
		table.Apply(time.Unix(int64(i), 0), a)
	}
	if n := len(table.unlisted); n > maxUnlisted {
		t.Errorf("%d announcements are kept, at most %d", n, maxUnlisted)
	}
	table.Expire(time.Unix(maxUnlisted+100, 0).Add(silenceTimeout))
	if n := len(table.unlisted); n != 0 {
		t.Errorf("%d announcements are kept after the silence timeout", n)
	}
}

// TestOrder guards against tables that differ between followers: the order in
// which announcements arrive must not matter.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*peer.Announcement
		for i := range rapid.IntRange(1, 12).Draw(t, "announcements") {
			started := rapid.Uint64Range(1, 3).Draw(t, "started")
			// An incarnation keeps its address, and incarnations of different
			// ids never have the same start time.
			a := announcement([]string{"a", "b"}[i%2], started*2+uint64(i%2), rapid.Uint64Range(1, 9).Draw(t, "sequence"), "h:1", ready)
			if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
				a.Sequence, a.State = a.Sequence+10, draining
			}
			all = append(all, a)
		}
		one, other := newTable(), newTable()
		for _, a := range all {
			one.Apply(time.Unix(1, 0), a)
		}
		for _, a := range rapid.Permutation(all).Draw(t, "order") {
			other.Apply(time.Unix(1, 0), a)
		}
		if diff := cmp.Diff(listed(one), listed(other)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestSince guards against a follower that misses a change or gets a wrong age.
func TestSince(t *testing.T) {
	table, now := newTable(), time.Unix(100, 0)
	table.Apply(now, announcement("a", 1, 1, "h:1", ready))
	table.Apply(now, announcement("b", 1, 1, "h:2", ready))
	version := table.Version()
	if table.Apply(now.Add(time.Second), announcement("a", 1, 2, "h:1", ready)) {
		t.Error("an announcement without changes counts as a change")
	}
	table.Apply(now.Add(time.Second), announcement("b", 1, 2, "h:2", draining))
	var ids []string
	for _, a := range table.Since(now.Add(3*time.Second), version) {
		ids = append(ids, a.Id)
		if a.AgeMs != 2000 {
			t.Errorf("age %d ms, want 2000", a.AgeMs)
		}
	}
	if diff := cmp.Diff([]string{"b"}, ids); diff != "" {
		t.Error(diff)
	}
}
