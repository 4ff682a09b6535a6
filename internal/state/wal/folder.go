package wal

import (
	"os"
	"path/filepath"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// ReplicaID returns the replica id that a data folder was created for, or 0 if
// the folder is new.
func ReplicaID(folder string) (uint64, error) {
	id, _, err := readIdentity(folder)
	return id.ID, err
}

// Discard empties a data folder, so that the next Open creates a new identity.
// It removes the identity first: Open refuses a folder with log or snapshot
// files but no identity, so a partly emptied folder is never used.
func Discard(disk Disk, folder string) error {
	if err := disk.Remove(filepath.Join(folder, identityName)); err != nil {
		return fault.Wrap(err, fault.Internal, "wal: identity of %s cannot be removed", folder)
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "wal: folder %s cannot be read", folder)
	}
	for _, f := range files {
		if f.Name() == lockName {
			continue
		}
		if err := disk.Remove(filepath.Join(folder, f.Name())); err != nil {
			return fault.Wrap(err, fault.Internal, "wal: %s cannot be removed", f.Name())
		}
	}
	return disk.SyncFolder(folder)
}
