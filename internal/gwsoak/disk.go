package gwsoak

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwstore"
)

// Disk is a file system that loses what is not synced when its process is killed, and whose
// syncs take an additional time or stall. What is not synced is in memory only.
type Disk struct {
	gwstore.OSFS
	// faults is the path of the file with the additional time of a sync, or diskStalled.
	faults string

	mu sync.Mutex
	// files has the files that were opened or changed since the start, by name; nil stands
	// for a name that was removed. durable has those that survive, by the name that does.
	files, durable map[string]*diskFile
	// pending has the changes of names since the last sync of a folder.
	pending []func() error
}

var _ gwstore.FS = (*Disk)(nil)

// NewDisk returns a Disk that reads its faults from a file at each sync; there are none while
// the file does not exist.
func NewDisk(faults string) *Disk {
	return &Disk{faults: faults, files: make(map[string]*diskFile), durable: make(map[string]*diskFile)}
}

const (
	// diskStalled is the text of the file of faults while no sync returns.
	diskStalled = "stalled"
	// stallPoll is the interval at which a stalled sync reads its faults.
	stallPoll = 10 * time.Millisecond
)

// await waits for the additional time of a sync.
func (d *Disk) await() {
	for {
		text, _ := os.ReadFile(d.faults)
		if string(text) != diskStalled {
			additional, _ := time.ParseDuration(string(text))
			time.Sleep(additional)
			return
		}
		time.Sleep(stallPoll)
	}
}

// diskFile is a file that was opened. The lock of the disk guards its fields.
type diskFile struct {
	content []byte
	// synced is the content that survives, and kept how much of content equals it.
	synced []byte
	kept   int
}

// List returns the names of the files in folder, sorted.
func (d *Disk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, err := d.OSFS.List(folder)
	names := make(map[string]bool)
	for _, name := range found {
		names[name] = true
	}
	for name, f := range d.files {
		if filepath.Dir(name) == filepath.Clean(folder) {
			names[filepath.Base(name)] = f != nil
		}
	}
	maps.DeleteFunc(names, func(_ string, exists bool) bool { return !exists })
	return slices.Sorted(maps.Keys(names)), err
}

// ReadFile returns the content of a file, synced or not.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(f.content), nil
}

// find returns a file by its name; d.mu is held.
func (d *Disk) find(name string) (*diskFile, error) {
	if f, ok := d.files[name]; ok {
		if f == nil {
			return nil, errors.Wrap(fs.ErrNotExist, name)
		}
		return f, nil
	}
	content, err := d.OSFS.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f := &diskFile{content: content, synced: slices.Clone(content), kept: len(content)}
	d.files[name], d.durable[name] = f, f
	return f, nil
}

// Create opens an empty file for writing. A file of that name survives until SyncFolder.
func (d *Disk) Create(name string) (gwstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &diskFile{}
	d.files[name] = f
	d.pending = append(d.pending, func() error {
		d.durable[name] = f
		file, err := d.OSFS.Create(name)
		return store(file, err, f.synced)
	})
	return &openDiskFile{d: d, f: f}, nil
}

// Append opens an existing file for writing at its end.
func (d *Disk) Append(name string) (gwstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return &openDiskFile{d: d, f: f}, nil
}

// Rename replaces newName. It survives after SyncFolder.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.find(oldName)
	if err != nil {
		return err
	}
	d.files[oldName], d.files[newName] = nil, f
	d.pending = append(d.pending, func() error {
		delete(d.durable, oldName)
		d.durable[newName] = f
		return d.OSFS.Rename(oldName, newName)
	})
	return nil
}

// Remove removes a file. It is gone for good after SyncFolder.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.find(name); err != nil {
		return err
	}
	d.files[name] = nil
	d.pending = append(d.pending, func() error {
		delete(d.durable, name)
		return d.OSFS.Remove(name)
	})
	return nil
}

// SyncFolder makes all changes of names durable, in all folders.
func (d *Disk) SyncFolder(folder string) error {
	d.await()
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.pending) > 0 {
		change := d.pending[0]
		d.pending = d.pending[1:]
		if err := change(); err != nil {
			return err
		}
	}
	return d.OSFS.SyncFolder(folder)
}

// sync makes the content of a file durable; d.mu is held.
func (d *Disk) sync(f *diskFile) error {
	for name, durable := range d.durable {
		if durable != f {
			continue
		}
		file, err := d.OSFS.Append(name)
		if err == nil && f.kept < len(f.synced) {
			err = file.Truncate(int64(f.kept))
		}
		if err := store(file, err, f.content[f.kept:]); err != nil {
			return err
		}
	}
	f.synced = append(f.synced[:f.kept], f.content[f.kept:]...)
	f.kept = len(f.synced)
	return nil
}

// store writes b to an open file, syncs and closes it, unless there was an error before.
func store(file gwstore.File, err error, b []byte) error {
	if file == nil {
		return err
	}
	if err == nil {
		_, err = file.Write(b)
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.CombineErrors(err, file.Close())
}

// openDiskFile is an open file of a Disk.
type openDiskFile struct {
	d *Disk
	f *diskFile
}

func (o *openDiskFile) Write(b []byte) (int, error) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	o.f.content = append(o.f.content, b...)
	return len(b), nil
}

func (o *openDiskFile) Truncate(size int64) error {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	o.f.content = o.f.content[:size]
	o.f.kept = min(o.f.kept, int(size))
	return nil
}

func (o *openDiskFile) Sync() error {
	o.d.await()
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	return o.d.sync(o.f)
}

// Close drops nothing: what is not synced stays readable.
func (o *openDiskFile) Close() error { return nil }
