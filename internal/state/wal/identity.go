package wal

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	identityName  = "identity"
	lockName      = "lock"
	formatVersion = 1
)

// identity is the content of the identity file.
type identity struct {
	Format  int    `json:"format"`
	Cluster string `json:"cluster"`
	ID      uint64 `json:"id"`
	Folder  uint64 `json:"folder"`
}

// lockFolder acquires the lock that prevents a second process from using the
// folder. The kernel releases it when the process ends, also after a crash.
func lockFolder(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "wal: data folder %s cannot be locked", folder)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fault.Wrap(err, fault.Conflict, "wal: data folder %s is in use by another process", folder)
	}
	return f, nil
}

// openIdentity reads the identity, or creates it in an empty folder and returns
// true. It refuses a folder with log or snapshot files but no identity.
func (l *Log) openIdentity() (identity, bool, error) {
	id, found, err := readIdentity(l.folder)
	if err != nil {
		return identity{}, false, err
	}
	if !found {
		id, err := l.createIdentity()
		return id, true, err
	}
	if id.Format != formatVersion || id.Folder == 0 {
		return identity{}, false, fault.New(fault.CorruptData, "wal: identity of %s has format %d, want %d, or no folder number", l.folder, id.Format, formatVersion)
	}
	if id.Cluster != l.options.Cluster || id.ID != l.options.ID {
		return identity{}, false, fault.New(fault.ForeignData, "wal: folder %s belongs to replica %d of %q, not to replica %d of %q",
			l.folder, id.ID, id.Cluster, l.options.ID, l.options.Cluster)
	}
	return id, false, nil
}

// readIdentity reads the identity file; found is false if there is none.
func readIdentity(folder string) (id identity, found bool, err error) {
	data, err := os.ReadFile(filepath.Join(folder, identityName))
	if errors.Is(err, os.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, fault.Wrap(err, fault.Internal, "wal: identity of %s cannot be read", folder)
	}
	if err := json.Unmarshal(data, &id); err != nil {
		return identity{}, false, fault.Wrap(err, fault.CorruptData, "wal: identity of %s cannot be decoded", folder)
	}
	return id, true, nil
}

func (l *Log) createIdentity() (identity, error) {
	files, err := os.ReadDir(l.folder)
	if err != nil {
		return identity{}, fault.Wrap(err, fault.Internal, "wal: folder %s cannot be read", l.folder)
	}
	for _, f := range files {
		if f.Name() != lockName && !strings.HasSuffix(f.Name(), temporarySuffix) && !isEmptyFirstSegment(f) {
			return identity{}, fault.New(fault.ForeignData, "wal: folder %s holds %s but no identity", l.folder, f.Name())
		}
	}
	id := identity{Format: formatVersion, Cluster: l.options.Cluster, ID: l.options.ID}
	for id.Folder == 0 {
		var number [8]byte
		if _, err := l.options.Random.Read(number[:]); err != nil {
			return identity{}, fault.Wrap(err, fault.Internal, "wal: random number of a new folder cannot be generated")
		}
		id.Folder = binary.LittleEndian.Uint64(number[:])
	}
	// The first segment is created before the identity, so that an identity
	// without a segment means that the log was lost.
	if err := createFile(l.disk, l.segmentPath(1)); err != nil {
		return identity{}, err
	}
	data, err := json.Marshal(id)
	if err != nil {
		return identity{}, fault.Wrap(err, fault.Internal, "wal: identity cannot be encoded")
	}
	return id, writeFile(l.disk, l.folder, identityName, data)
}

// isEmptyFirstSegment reports whether f is an empty first segment. A crash
// leaves it in a new folder before the identity is written.
func isEmptyFirstSegment(f os.DirEntry) bool {
	info, err := f.Info()
	return err == nil && f.Name() == segmentName(1) && info.Size() == 0
}

func createFile(disk Disk, path string) error {
	f, err := disk.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: %s cannot be created", path)
	}
	return f.Close()
}

// removeTemporaryFiles removes files that a crash left incomplete.
func removeTemporaryFiles(disk Disk, folder string) error {
	files, err := os.ReadDir(folder)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: folder %s cannot be read", folder)
	}
	for _, f := range files {
		if strings.HasSuffix(f.Name(), temporarySuffix) {
			if err := disk.Remove(filepath.Join(folder, f.Name())); err != nil {
				return fault.Wrap(err, fault.Internal, "wal: %s cannot be removed", f.Name())
			}
		}
	}
	return nil
}
