package gwstore

import "slices"

// memoryFile is an open file of a MemoryFS.
type memoryFile struct {
	fs    *MemoryFS
	name  string
	data  *memoryData
	epoch int
}

// check returns the error of an operation on a file that was opened before a crash, or
// that of the fault injection. The lock must be held.
func (f *memoryFile) check(op Op) error {
	if f.epoch != f.fs.epoch {
		return errCrashed
	}
	return f.fs.checkFault(op, f.name)
}

// Write appends b, or as much of it as the limit of the file system allows.
func (f *memoryFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check(OpWrite); err != nil {
		return 0, err
	}
	if f.fs.limit == 0 {
		f.data.content = append(f.data.content, b...)
		return len(b), nil
	}
	used := 0
	for _, d := range f.fs.files {
		used += len(d.content)
	}
	fit := min(len(b), max(0, f.fs.limit-used))
	f.data.content = append(f.data.content, b[:fit]...)
	if fit < len(b) {
		return fit, ErrFull
	}
	return fit, nil
}

// Truncate shortens the file to size.
func (f *memoryFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check(OpTruncate); err != nil {
		return err
	}
	f.data.content, f.data.truncated = slices.Clone(f.data.content[:size]), true
	return nil
}

// Sync makes the content durable.
func (f *memoryFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check(OpSync); err != nil {
		f.data.syncLost = true
		return err
	}
	if f.data.syncLost {
		return nil
	}
	// Copying only the appended data keeps the sync of a growing file cheap.
	if n := len(f.data.synced); n <= len(f.data.content) && !f.data.truncated {
		f.data.synced = append(f.data.synced, f.data.content[n:]...)
		return nil
	}
	f.data.synced, f.data.truncated = slices.Clone(f.data.content), false
	return nil
}

// Close closes the file without syncing it.
func (f *memoryFile) Close() error { return nil }
