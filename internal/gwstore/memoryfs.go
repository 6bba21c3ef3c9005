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

// Operations of a MemoryFS that can fail by fault injection.
const (
	OpCreate     Op = "create"
	OpWrite      Op = "write"
	OpTruncate   Op = "truncate"
	OpSync       Op = "sync"
	OpRename     Op = "rename"
	OpRemove     Op = "remove"
	OpSyncFolder Op = "syncFolder"
)

// ErrFull is the error of writes beyond the limit of a MemoryFS.
var ErrFull = errors.New("no space left")

var errCrashed = errors.New("the file was opened before a crash")

// MemoryFS is a file system in memory that loses unsynced data in a simulated
// crash. It is safe for concurrent use.
type MemoryFS struct {
	mu      sync.Mutex
	files   map[string]*memoryData
	durable map[string]*memoryData         // names as of the last folder sync
	pending []func(map[string]*memoryData) // changes of names since the last folder sync
	locks   map[string]bool
	epoch   int // number of crashes; files of an earlier epoch are unusable
	limit   int // in bytes, 0 for none
	fault   func(op Op, name string) error
}

var _ FS = (*MemoryFS)(nil)

type memoryData struct {
	content   []byte
	synced    []byte
	truncated bool // truncated since the last sync
	syncLost  bool // a sync failed, so that no later one makes more content durable
}

// NewMemoryFS returns an empty file system.
func NewMemoryFS() *MemoryFS {
	return &MemoryFS{files: map[string]*memoryData{}, durable: map[string]*memoryData{}, locks: map[string]bool{}}
}

// SetFault makes m call fn before every operation that has an Op. If fn returns an error,
// the operation fails with it and has no effect, except that data whose sync fails can be
// read until a crash but is no longer made durable by a later sync, as on Linux. A nil fn
// removes the fault injection.
func (m *MemoryFS) SetFault(fn func(op Op, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fn
}

// SetLimit bounds the total size of all files in bytes; 0 removes the bound. A write
// beyond it stores as much as fits and returns ErrFull.
func (m *MemoryFS) SetLimit(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
}

// Crash simulates a crash of the machine. With a nil r all unsynced changes are lost.
// Otherwise r chooses what survives: each unsynced change of a name independently of the others,
// and for each file a prefix of its unsynced data, in which one byte may be damaged. Files that
// are open become unusable and locks are released.
func (m *MemoryFS) Crash(r *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, change := range m.pending {
		if r != nil && r.IntN(2) == 0 {
			change(m.durable)
		}
	}
	m.pending = nil
	m.files = map[string]*memoryData{}
	// A fixed order makes a crash reproducible from its seed.
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		content := m.durable[name].afterCrash(r)
		m.files[name] = &memoryData{content: content, synced: slices.Clone(content)}
	}
	m.durable = maps.Clone(m.files)
	m.locks = map[string]bool{}
	m.epoch++
}

// afterCrash returns the content of a file after a crash. With a nil r, or if the file
// was truncated since its last sync, only the synced content survives.
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

// Damage inverts the byte of a file at offset, as a faulty disk may, and makes the
// current content durable.
func (m *MemoryFS) Damage(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.files[name]
	d.content[offset] ^= 0xff
	d.synced = slices.Clone(d.content)
}

// changeNames applies a change of names at once, and to the durable names at the next
// SyncFolder.
func (m *MemoryFS) changeNames(fn func(map[string]*memoryData)) {
	fn(m.files)
	m.pending = append(m.pending, fn)
}

// checkFault returns the error of the fault injection. The lock must be held.
func (m *MemoryFS) checkFault(op Op, name string) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(op, name)
}

// MkdirAll does nothing: folders exist implicitly.
func (m *MemoryFS) MkdirAll(string) error { return nil }

// Lock locks folder, and fails if it is locked already.
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

// Create opens a file for writing and truncates it if it exists.
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

// Append opens an existing file for writing at its end.
func (m *MemoryFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.files[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return &memoryFile{fs: m, name: name, data: d, epoch: m.epoch}, nil
}

// Rename replaces newName.
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

// SyncFolder makes all changes of names durable, in all folders.
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
