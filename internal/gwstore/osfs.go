package gwstore

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// OSFS is the file system of the operating system.
type OSFS struct{}

var _ FS = OSFS{}

// MkdirAll creates folder and its missing parents, and syncs the parent of folder.
func (OSFS) MkdirAll(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return OSFS{}.SyncFolder(filepath.Dir(folder))
}

// Lock takes an exclusive lock on a file in folder. The lock ends with the process.
func (OSFS) Lock(folder string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errors.Wrap(err, "another process uses the folder")
	}
	return f, nil
}

// List returns the names of the files in folder.
func (OSFS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns the content of a file.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create opens a file for writing and truncates it if it exists.
func (OSFS) Create(name string) (File, error) {
	return openOS(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// Append opens an existing file for writing at its end.
func (OSFS) Append(name string) (File, error) { return openOS(name, os.O_WRONLY|os.O_APPEND) }

func openOS(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename atomically replaces newName.
func (OSFS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove removes a file.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// SyncFolder makes creations, renames and removals in folder durable.
func (OSFS) SyncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
