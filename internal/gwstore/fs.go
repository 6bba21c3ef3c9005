package gwstore

import "io"

// FS is the part of a file system that this package uses. Paths use slashes.
type FS interface {
	MkdirAll(folder string) error
	// Lock locks folder against other processes until the returned closer is closed.
	Lock(folder string) (io.Closer, error)
	List(folder string) ([]string, error)
	// ReadFile returns an error that wraps fs.ErrNotExist if there is no such file.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing and truncates it if it exists.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename atomically replaces newName. It is durable after SyncFolder.
	Rename(oldName, newName string) error
	Remove(name string) error
	SyncFolder(folder string) error
}

// File is an open file for writing.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}
