package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

func testOptions() Options {
	return Options{Cluster: "c", ID: 1, SegmentBytes: 300, Random: bytes.NewReader(bytes.Repeat([]byte{7}, 64))}
}

func mustOpen(t testing.TB, folder string) (*Log, *State) {
	t.Helper()
	l, state, err := Open(folder, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	return l, state
}

func entry(index, term uint64) *peer.LogEntry {
	return &peer.LogEntry{
		Index: index, Term: term, Type: peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND, Data: fmt.Append(nil, "command ", index, term),
	}
}

func entries(from, to, term uint64) []*peer.LogEntry {
	var list []*peer.LogEntry
	for i := from; i <= to; i++ {
		list = append(list, entry(i, term))
	}
	return list
}

func mustSync(t testing.TB, l *Log) {
	t.Helper()
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
}

// writeSegments writes a log of several segments and returns their paths.
func writeSegments(t testing.TB, folder string) []string {
	t.Helper()
	l, _ := mustOpen(t, folder)
	for i := uint64(1); i <= 30; i += 3 {
		l.Append(&HardState{Term: i, Vote: 1}, entries(i, i+2, i))
		mustSync(t, l)
	}
	l.Close()
	paths, err := filepath.Glob(filepath.Join(folder, segmentPrefix+"*"))
	if err != nil || len(paths) < 3 {
		t.Fatalf("segments %v, %v", paths, err)
	}
	return paths
}

// Guards against appended state that differs after a restart, in particular
// against replaced entries that reappear.
func TestReopen(t *testing.T) {
	folder := t.TempDir()
	l, state := mustOpen(t, folder)
	if !state.Created || state.Folder == 0 {
		t.Errorf("new folder: %+v", state)
	}
	l.Append(&HardState{Term: 1, Vote: 2}, entries(1, 20, 1))
	mustSync(t, l)
	l.Append(&HardState{Term: 2}, entries(11, 15, 2))
	mustSync(t, l)
	l.Append(nil, entries(16, 17, 2)) // not synced
	l.Close()
	l, state = mustOpen(t, folder)
	defer l.Close()
	want := &State{
		Folder: state.Folder, Hard: HardState{Term: 2},
		Entries: append(entries(1, 10, 1), entries(11, 15, 2)...),
	}
	if diff := cmp.Diff(want, state, protocmp.Transform(), cmp.AllowUnexported(State{})); diff != "" {
		t.Error(diff)
	}
}

// Guards against a folder that is opened although it is damaged or belongs to
// another replica, and against a folder that is refused in a state that a crash
// can leave behind.
func TestDamage(t *testing.T) {
	flip := func(path string, at int) error {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if at < 0 {
			at += len(data)
		}
		data[at] ^= 0x40
		return os.WriteFile(path, data, 0o600)
	}
	const openSucceeds = fault.Kind(255)
	tests := map[string]struct {
		damage func(folder string, segments []string) error
		want   fault.Kind
		last   uint64 // index of the last entry if Open succeeds
	}{
		"none":             {func(string, []string) error { return nil }, openSucceeds, 30},
		"first segment":    {func(_ string, s []string) error { return flip(s[0], 30) }, fault.CorruptData, 0},
		"length field":     {func(_ string, s []string) error { return flip(s[0], 11) }, fault.CorruptData, 0},
		"end of a segment": {func(_ string, s []string) error { return flip(s[0], -1) }, fault.CorruptData, 0},
		"missing segment":  {func(_ string, s []string) error { return os.Remove(s[1]) }, fault.CorruptData, 0},
		"missing first":    {func(_ string, s []string) error { return os.Remove(s[0]) }, fault.CorruptData, 0},
		"torn last batch":  {func(_ string, s []string) error { return flip(s[len(s)-1], -1) }, openSucceeds, 27},
		"zeros at the end": {func(_ string, s []string) error {
			data, err := os.ReadFile(s[len(s)-1])
			if err != nil {
				return err
			}
			return os.WriteFile(s[len(s)-1], append(data, make([]byte, 100)...), 0o600)
		}, openSucceeds, 30},
		"temporary file": {func(folder string, _ []string) error {
			return os.WriteFile(filepath.Join(folder, snapshotName(9)+temporarySuffix), []byte("half"), 0o600)
		}, openSucceeds, 30},
		"no identity": {func(folder string, _ []string) error {
			return os.Remove(filepath.Join(folder, identityName))
		}, fault.ForeignData, 0},
		"damaged identity": {func(folder string, _ []string) error {
			return os.WriteFile(filepath.Join(folder, identityName), []byte("{"), 0o600)
		}, fault.CorruptData, 0},
		"other cluster": {func(folder string, _ []string) error {
			return os.WriteFile(filepath.Join(folder, identityName), []byte(`{"format":1,"cluster":"d","id":1,"folder":3}`), 0o600)
		}, fault.ForeignData, 0},
		"no segments": {func(_ string, s []string) error {
			for _, path := range s {
				if err := os.Remove(path); err != nil {
					return err
				}
			}
			return nil
		}, fault.CorruptData, 0},
		"snapshot removed after a reset": {func(folder string, _ []string) error {
			l, _ := mustOpen(t, folder)
			defer l.Close()
			if err := l.SaveSnapshot(&Snapshot{Index: 99, Term: 40}); err != nil {
				return err
			}
			l.Reset(99)
			mustSync(t, l)
			return os.Remove(filepath.Join(folder, snapshotName(99)))
		}, fault.CorruptData, 0},
		"damaged snapshot": {func(folder string, _ []string) error {
			return os.WriteFile(filepath.Join(folder, snapshotName(9)), []byte("no snapshot"), 0o600)
		}, fault.CorruptData, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			if err := test.damage(folder, writeSegments(t, folder)); err != nil {
				t.Fatal(err)
			}
			l, state, err := Open(folder, testOptions())
			if test.want != openSucceeds {
				if !fault.Is(err, test.want) {
					t.Fatalf("got %v, want %v", err, test.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if got := state.Entries[len(state.Entries)-1].Index; got != test.last {
				t.Errorf("last entry %d, want %d", got, test.last)
			}
		})
	}
}

// Guards against two processes that write to one folder.
func TestLock(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, folder)
	if _, _, err := Open(folder, testOptions()); !fault.Is(err, fault.Conflict) {
		t.Errorf("second open: %v", err)
	}
	l.Close()
	l, _ = mustOpen(t, folder)
	l.Close()
}

// Guards against a log that is lost or reappears when a snapshot is saved: a
// crash may occur between saving the snapshot and resetting the log.
func TestSnapshot(t *testing.T) {
	member := []*peer.Member{{Id: 1, Address: "a", Voter: true, Folder: 5}}
	tests := map[string]struct {
		snapshot *Snapshot
		reset    bool
	}{
		"own":                {&Snapshot{Index: 15, Term: 13, Members: member, Data: []byte("state")}, false},
		"received":           {&Snapshot{Index: 99, Term: 40, Members: member, Data: []byte("state")}, true},
		"crash before reset": {&Snapshot{Index: 99, Term: 40, Members: member, Data: []byte("state")}, false},
		"other term":         {&Snapshot{Index: 15, Term: 40, Members: member}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeSegments(t, folder)
			l, before := mustOpen(t, folder)
			if err := l.SaveSnapshot(test.snapshot); err != nil {
				t.Fatal(err)
			}
			if test.reset {
				l.Reset(test.snapshot.Index)
				mustSync(t, l)
			} else if err := l.Compact(12); err != nil {
				t.Fatal(err)
			}
			l.Close()
			l, state := mustOpen(t, folder)
			if diff := cmp.Diff(test.snapshot, state.Snapshot, protocmp.Transform(), cmp.Transformer("text", func(b []byte) string { return string(b) })); diff != "" {
				t.Error(diff)
			}
			next := test.snapshot.Index + 1
			if name == "own" {
				next = 31
				if first := state.Entries[0].Index; first > 13 || first == 1 {
					t.Errorf("log begins at %d after Compact(12)", first)
				}
			} else if len(state.Entries) != 0 {
				t.Errorf("%d entries of the old log are left", len(state.Entries))
			}
			if state.Hard != before.Hard {
				t.Errorf("term and vote %v, want %v", state.Hard, before.Hard)
			}
			l.Append(nil, entries(next, next+2, 41))
			mustSync(t, l)
			l.Close()
			l, state = mustOpen(t, folder)
			defer l.Close()
			if got := state.Entries[len(state.Entries)-1].Index; got != next+2 {
				t.Errorf("last entry %d, want %d", got, next+2)
			}
		})
	}
}

// Guards against a crash that leaves part of a batch, loses a synced batch or
// makes the folder unusable: whichever blocks of the last batch reached the
// disk, and in whichever order, the state is the one before or after that batch.
func TestTornBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		l, _, err := Open(folder, testOptions())
		if err != nil {
			t.Fatal(err)
		}
		next, size := uint64(1), int64(0)
		batches := rapid.IntRange(1, 8).Draw(t, "batches")
		for batch := range batches {
			count := rapid.Uint64Range(1, 5).Draw(t, "count")
			size = l.size
			if batch == batches-1 && l.size >= l.options.SegmentBytes {
				size = 0
			}
			l.Append(&HardState{Term: 1, Vote: uint64(batch)}, entries(next, next+count-1, 1))
			if err := l.Sync(); err != nil {
				t.Fatal(err)
			}
			next += count
		}
		path := l.path
		l.Close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		// Each block of the last batch reached the disk or is zero.
		const block = 16
		for at := int(size); at < len(data); at += block {
			if rapid.Bool().Draw(t, "lost") {
				clear(data[at:min(at+block, len(data))])
			}
		}
		data = data[:rapid.IntRange(int(size), len(data)).Draw(t, "length")]
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		l, state, err := Open(folder, testOptions())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		vote := uint64(batches - 1)
		if state.Hard.Vote != vote && batches > 1 && state.Hard.Vote != vote-1 {
			t.Fatalf("vote %d, want %d or %d", state.Hard.Vote, vote-1, vote)
		}
		for i, e := range state.Entries {
			if diff := cmp.Diff(entry(uint64(i+1), 1), e, protocmp.Transform()); diff != "" {
				t.Fatal(diff)
			}
		}
		if complete := state.Hard.Vote == vote && batches > 1; complete != (len(state.Entries) == int(next-1)) && batches > 1 {
			t.Fatalf("vote %d with %d of %d entries", state.Hard.Vote, len(state.Entries), next-1)
		}
	})
}

// Guards against a log that can be synced after a failed write, when the content
// of the disk is unknown.
func TestFailedSyncStays(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	defer l.Close()
	l.file.Close()
	l.Append(nil, entries(1, 1, 1))
	first := l.Sync()
	if second := l.Sync(); first == nil || second != first {
		t.Errorf("first %v, second %v", first, second)
	}
}
