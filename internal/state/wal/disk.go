package wal

import (
	"io"
	"os"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Disk makes the changes to data folders. Folders are read by package os.
type Disk interface {
	// OpenFile opens a file for writing; flag and mode are those of [os.OpenFile].
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(folder string) error
}

// File is a file of a Disk that is open for writing.
type File interface {
	io.WriteCloser
	io.WriterAt
	// Sync makes what was written durable.
	Sync() error
	Truncate(size int64) error
}

// HostDisk is the Disk of the host.
type HostDisk struct{}

var _ Disk = HostDisk{}

// OpenFile is [os.OpenFile].
func (HostDisk) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	return os.OpenFile(path, flag, mode)
}

// Rename is [os.Rename].
func (HostDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is [os.Remove].
func (HostDisk) Remove(path string) error { return os.Remove(path) }

// SyncFolder syncs the folder.
func (HostDisk) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: folder %s cannot be opened", folder)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fault.Wrap(err, fault.Internal, "wal: folder %s cannot be synced", folder)
	}
	return nil
}
