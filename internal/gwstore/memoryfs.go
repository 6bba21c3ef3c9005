package gwstore

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Op names an operation of a MemoryFS for fault injection.
type Op string

// Operations that change a MemoryFS.
const (
	OpCreate     Op = "create"
	OpWrite      Op = "write"
	OpTruncate   Op = "truncate"
	OpSync       Op = "sync"
	OpRename     Op = "rename"
	OpRemove     Op = "remove"
	OpSyncFolder Op = "syncFolder"
)

// ErrFull is returned by writes past the limit of a MemoryFS.
var ErrFull = errors.New("no space left")

var errCrashed = errors.New("the file was opened before a crash")

// MemoryFS is a file system in memory that loses unsynced data in a simulated
// crash. It is safe for concurrent use.
type MemoryFS struct {
	mu      sync.Mutex
	files   map[string]*memoryData
	durable map[string]*memoryData // names as of the last folder sync
	pending []func(map[string]*memoryData)
	locks   map[string]bool
	epoch   int
	limit   int
	fault   func(op Op, name string) error
}

var _ FS = (*MemoryFS)(nil)

type memoryData struct {
	content   []byte
	synced    []byte
	truncated bool // truncated since the last sync
}

// NewMemoryFS returns an empty file system.
func NewMemoryFS() *MemoryFS {
	return &MemoryFS{files: map[string]*memoryData{}, durable: map[string]*memoryData{}, locks: map[string]bool{}}
}

// SetFault makes fn decide about every change before it happens; an error fails
// the operation without effect. A nil fn removes the fault.
func (m *MemoryFS) SetFault(fn func(op Op, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fn
}

// SetLimit bounds the total size of all files in bytes; 0 removes the bound. A
// write past it stores the part that fits and returns ErrFull.
func (m *MemoryFS) SetLimit(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
}

// Crash drops unsynced data. With a nil r everything unsynced is lost.
// Otherwise a random part survives: of each file a prefix of its unsynced data,
// possibly with a damaged end, and of the unsynced folder changes a prefix.
// Open files and locks end.
func (m *MemoryFS) Crash(r *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	survive := 0
	if r != nil {
		survive = r.IntN(len(m.pending) + 1)
	}
	for _, change := range m.pending[:survive] {
		change(m.durable)
	}
	m.pending = nil
	m.files = map[string]*memoryData{}
	// The order is fixed, so that a seed reproduces the same crash.
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		content := m.durable[name].afterCrash(r)
		m.files[name] = &memoryData{content: content, synced: slices.Clone(content)}
	}
	m.durable = maps.Clone(m.files)
	m.locks = map[string]bool{}
	m.epoch++
}

func (d *memoryData) afterCrash(r *rand.Rand) []byte {
	if r == nil || d.truncated {
		return slices.Clone(d.synced)
	}
	rest := d.content[len(d.synced):]
	keep := r.IntN(len(rest) + 1)
	content := slices.Concat(d.synced, rest[:keep])
	if keep > 0 && r.IntN(2) == 0 {
		content[len(d.synced)+r.IntN(keep)] ^= 0x55
	}
	return content
}

// Damage flips the bits of one byte, as a faulty disk does.
func (m *MemoryFS) Damage(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.files[name]
	d.content[offset] ^= 0xff
	d.synced = slices.Clone(d.content)
}

// changeNames applies a change of names now and to the durable names at the next sync.
func (m *MemoryFS) changeNames(fn func(map[string]*memoryData)) {
	fn(m.files)
	m.pending = append(m.pending, fn)
}

func (m *MemoryFS) checkFault(op Op, name string) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(op, name)
}

// MkdirAll does nothing; folders exist as soon as they are used.
func (m *MemoryFS) MkdirAll(string) error { return nil }

// Lock fails if folder is locked.
func (m *MemoryFS) Lock(folder string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[folder] {
		return nil, errors.Newf("folder %s is locked", folder)
	}
	m.locks[folder] = true
	return memoryLock{fs: m, folder: folder, epoch: m.epoch}, nil
}

type memoryLock struct {
	fs     *MemoryFS
	folder string
	epoch  int
}

func (l memoryLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locks, l.folder)
	}
	return nil
}

// List returns the names of the files in folder, sorted.
func (m *MemoryFS) List(folder string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		if path.Dir(name) == path.Clean(folder) {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile returns the content of a file.
func (m *MemoryFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.files[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return slices.Clone(d.content), nil
}

// Create opens an empty file.
func (m *MemoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFault(OpCreate, name); err != nil {
		return nil, err
	}
	d := &memoryData{}
	m.changeNames(func(names map[string]*memoryData) { names[name] = d })
	return &memoryFile{fs: m, name: name, data: d, epoch: m.epoch}, nil
}

// Append opens an existing file for writes at its end.
func (m *MemoryFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.files[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return &memoryFile{fs: m, name: name, data: d, epoch: m.epoch}, nil
}

// Rename replaces the new name.
func (m *MemoryFS) Rename(oldName, newName string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFault(OpRename, newName); err != nil {
		return err
	}
	d, ok := m.files[oldName]
	if !ok {
		return errors.Wrap(fs.ErrNotExist, oldName)
	}
	m.changeNames(func(names map[string]*memoryData) {
		delete(names, oldName)
		names[newName] = d
	})
	return nil
}

// Remove removes a file.
func (m *MemoryFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFault(OpRemove, name); err != nil {
		return err
	}
	if _, ok := m.files[name]; !ok {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	m.changeNames(func(names map[string]*memoryData) { delete(names, name) })
	return nil
}

// SyncFolder makes all changes of names durable.
func (m *MemoryFS) SyncFolder(folder string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFault(OpSyncFolder, folder); err != nil {
		return err
	}
	for _, change := range m.pending {
		change(m.durable)
	}
	m.pending = nil
	return nil
}
