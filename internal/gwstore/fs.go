package gwstore

import "io"

// FS is the part of a file system that the log needs. Paths use slashes.
type FS interface {
	MkdirAll(folder string) error
	// Lock keeps other processes from using folder until the closer is closed.
	Lock(folder string) (io.Closer, error)
	List(folder string) ([]string, error)
	// ReadFile returns fs.ErrNotExist in its chain if there is no such file.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file, dropping earlier content.
	Create(name string) (File, error)
	// Append opens an existing file for writes at its end.
	Append(name string) (File, error)
	// Rename replaces the new name atomically; it is durable after SyncFolder.
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
