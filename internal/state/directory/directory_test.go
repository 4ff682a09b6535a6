package directory

import (
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

func beat(id string, born, sequence uint64, address string, state peer.BackendState) *peer.Announcement {
	return &peer.Announcement{Id: id, BornMs: born, Sequence: sequence, Service: "pool", Address: address, FailureDomain: "fes", State: state}
}

func listed(t *Table) map[string]string {
	got := map[string]string{}
	t.Entries(func(e *Entry) {
		got[e.Announcement.Id] = e.Announcement.Address + " " + e.Announcement.State.String()[14:]
	})
	return got
}

// TestApply guards against late announcements that bring back what is gone.
func TestApply(t *testing.T) {
	farewell := &peer.Announcement{Id: "a", State: gone}
	tests := map[string]struct {
		beats []*peer.Announcement
		want  map[string]string
	}{
		"late beat of the same incarnation": {
			beats: []*peer.Announcement{beat("a", 1, 5, "h:1", draining), beat("a", 1, 4, "h:1", ready)},
			want:  map[string]string{"a": "h:1 DRAINING"},
		},
		"late beat after the farewell": {
			beats: []*peer.Announcement{beat("a", 1, 5, "h:1", ready), farewell, beat("a", 1, 6, "h:1", ready)},
			want:  map[string]string{},
		},
		"restart under the same id": {
			beats: []*peer.Announcement{beat("a", 1, 50, "h:1", ready), farewell, beat("a", 2, 1, "h:1", ready)},
			want:  map[string]string{"a": "h:1 READY"},
		},
		"late farewell of the incarnation before": {
			beats: []*peer.Announcement{beat("a", 2, 1, "h:1", ready), {Id: "a", BornMs: 1, State: gone}},
			want:  map[string]string{"a": "h:1 READY"},
		},
		"address taken over": {
			beats: []*peer.Announcement{beat("a", 1, 5, "h:1", ready), beat("b", 2, 1, "h:1", ready), beat("a", 1, 6, "h:1", ready)},
			want:  map[string]string{"b": "h:1 READY"},
		},
		"late beat of the address's last holder": {
			beats: []*peer.Announcement{beat("b", 2, 1, "h:1", ready), beat("a", 1, 6, "h:1", ready)},
			want:  map[string]string{"b": "h:1 READY"},
		},
		"farewell of one that was never heard of": {beats: []*peer.Announcement{farewell}, want: map[string]string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New()
			for i, b := range test.beats {
				table.Apply(time.Unix(int64(i), 0), b)
			}
			if diff := cmp.Diff(test.want, listed(table)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSilent guards against a backend server that was cut off from the
// registrars staying away after it has come back.
func TestSilent(t *testing.T) {
	table, now := New(), time.Unix(100, 0)
	table.Apply(now, beat("a", 1, 5, "h:1", ready))
	now = now.Add(silentFor + time.Second)
	if diff := cmp.Diff([]string{"a"}, table.Expire(now)); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(map[string]string{}, listed(table)); diff != "" {
		t.Error(diff)
	}
	table.Apply(now, beat("a", 1, 60, "h:1", ready))
	if diff := cmp.Diff(map[string]string{"a": "h:1 READY"}, listed(table)); diff != "" {
		t.Error(diff)
	}
}

// TestOrder guards against followers that end up with different tables: the
// order in which announcements come must not matter.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*peer.Announcement
		for i := range rapid.IntRange(1, 12).Draw(t, "beats") {
			born := rapid.Uint64Range(1, 3).Draw(t, "born")
			// An incarnation's address does not change, and ids are not shared
			// between addresses at one time of birth.
			a := beat([]string{"a", "b"}[i%2], born*2+uint64(i%2), rapid.Uint64Range(1, 9).Draw(t, "sequence"), "h:1", ready)
			if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
				a.Sequence, a.State = a.Sequence+10, draining
			}
			all = append(all, a)
		}
		one, other := New(), New()
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

// TestSince guards against a follower that misses a change or gets it late.
func TestSince(t *testing.T) {
	table, now := New(), time.Unix(100, 0)
	table.Apply(now, beat("a", 1, 1, "h:1", ready))
	table.Apply(now, beat("b", 1, 1, "h:2", ready))
	version := table.Version()
	if table.Apply(now.Add(time.Second), beat("a", 1, 2, "h:1", ready)) {
		t.Error("a beat without news counts as a change")
	}
	table.Apply(now.Add(time.Second), beat("b", 1, 2, "h:2", draining))
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
