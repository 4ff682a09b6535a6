package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
)

// volatileDisk is a disk that loses what was not synced when the power fails. After a
// failed sync the kernel takes what was written for durable, as Linux does.
type volatileDisk struct {
	HostDisk
	// durable holds the bytes on the disk by path, dirty those since the last sync.
	durable, dirty map[string][]byte
	syncFails      bool
}

func newVolatileDisk() *volatileDisk {
	return &volatileDisk{durable: map[string][]byte{}, dirty: map[string][]byte{}}
}

func (d *volatileDisk) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	f, err := d.HostDisk.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return &volatileFile{File: f, disk: d, path: path}, nil
}

func (d *volatileDisk) Rename(from, to string) error {
	d.durable[to] = d.durable[from]
	return d.HostDisk.Rename(from, to)
}

// failPower leaves in a folder what is durable.
func (d *volatileDisk) failPower(t *testing.T, folder string) {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		path := filepath.Join(folder, f.Name())
		if err := os.WriteFile(path, d.durable[path], 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

type volatileFile struct {
	File
	disk *volatileDisk
	path string
}

// note records that the bytes of the file from offset on are to be synced.
func (f *volatileFile) note() {
	data, err := os.ReadFile(f.path)
	if err == nil {
		f.disk.dirty[f.path] = data
	}
}

func (f *volatileFile) Write(p []byte) (int, error) {
	defer f.note()
	return f.File.Write(p)
}

func (f *volatileFile) WriteAt(p []byte, offset int64) (int, error) {
	defer f.note()
	return f.File.WriteAt(p, offset)
}

func (f *volatileFile) Truncate(size int64) error {
	defer f.note()
	return f.File.Truncate(size)
}

func (f *volatileFile) Sync() error {
	data, isDirty := f.disk.dirty[f.path]
	delete(f.disk.dirty, f.path)
	if f.disk.syncFails {
		return &os.PathError{Op: "sync", Path: f.path, Err: syscall.ENOSPC}
	}
	if isDirty {
		f.disk.durable[f.path] = bytes.Clone(data)
	}
	return nil
}

// TestOpenedLogIsDurable guards against a batch that is believed after the log has been
// opened again, and acknowledged to others, although it is not on the disk: its sync
// has failed, or the process was killed before it.
func TestOpenedLogIsDurable(t *testing.T) {
	tests := map[string]struct{ synced, killed bool }{
		"synced":                 {synced: true},
		"sync failed":            {},
		"killed before the sync": {killed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder, disk := t.TempDir(), newVolatileDisk()
			options := Options{Cluster: "test", ID: 1, Disk: disk}
			l, _, err := Open(folder, options)
			if err != nil {
				t.Fatal(err)
			}
			l.Append(&HardState{Term: 1, Vote: 1}, entries(1, 3, 1))
			if err := l.Sync(); err != nil {
				t.Fatal(err)
			}
			l.Append(nil, entries(4, 5, 1))
			disk.syncFails = !test.synced
			if err := l.Sync(); (err == nil) != test.synced {
				t.Fatalf("sync: %v", err)
			}
			l.Close()
			if test.killed {
				data, err := os.ReadFile(l.path)
				if err != nil {
					t.Fatal(err)
				}
				disk.dirty[l.path] = data // the kernel will write it some time
			}
			disk.syncFails = false
			l, believed, err := Open(folder, options)
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
			disk.failPower(t, folder)
			l, kept, err := Open(folder, options)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if diff := cmp.Diff(believed.Entries, kept.Entries, protocmp.Transform()); diff != "" {
				t.Errorf("entries that were believed are lost: %s", diff)
			}
			if len(kept.Entries) < 3 {
				t.Errorf("%d entries are kept, 3 were synced", len(kept.Entries))
			}
		})
	}
}
