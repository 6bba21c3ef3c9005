package gwstore

import (
	"fmt"
	"io"
	"path"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// Store stores the durable state of one voter.
type Store interface {
	// Load returns the state as of the last save. The entries follow the snapshot.
	Load() (gwquorum.HardState, gwquorum.Snapshot, []gwquorum.Entry, error)
	// Save returns after its arguments are synced. The entries replace all saved ones
	// from the index of the first on.
	Save(gwquorum.HardState, []gwquorum.Entry, *gwquorum.Snapshot) error
}

const (
	snapshotName = "snapshot"
	logPrefix    = "log-"
	tempSuffix   = ".tmp"
)

// Log is a Store that keeps its files in a folder. It is not safe for concurrent use.
type Log struct {
	fs     FS
	folder string
	lock   io.Closer

	fileNumber uint64 // of the current log file
	file       File   // nil until the first log file is created
	fileBytes  int64
	// fileBehind means that the log file lacks entries before the snapshot, so that entries after
	// it need another file.
	fileBehind bool

	hard     gwquorum.HardState
	snapshot gwquorum.Snapshot
	// tail holds the entries after the snapshot. Their data is shared with the log in
	// the voter's memory.
	tail []gwquorum.Entry

	// stopped is the error of all saves after a failed one, until Reload, or after Close.
	stopped error
}

var _ Store = (*Log)(nil)

// Open reads the state in folder, truncates an incomplete last record and returns a log
// that is ready for saves. It creates the folder if necessary, and no file: an empty folder gets
// its first one by Reload or the first save. If a file is damaged, the error names it and the
// offset.
func Open(fs FS, folder string) (*Log, error) {
	l := &Log{fs: fs, folder: folder}
	if err := fs.MkdirAll(folder); err != nil {
		return nil, l.ioError("open log", folder, err)
	}
	lock, err := fs.Lock(folder)
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindLocked, File: folder, Err: err}
	}
	l.lock = lock
	if err := l.open(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) path(name string) string { return path.Join(l.folder, name) }

func (l *Log) logPath(number uint64) string {
	return l.path(fmt.Sprintf("%s%016x", logPrefix, number))
}

func (l *Log) ioError(op, file string, err error) error {
	return &Error{Op: op, Kind: KindIO, File: file, Err: err}
}

// Reload reads the state from the files again and writes it to new files, so that saves are
// possible after a failed one. The state contains every save that succeeded, and the failed
// one whole or not at all.
//
// The files are replaced because data that was written before a failed sync can be read from
// the cache of the operating system although no later sync makes it durable. This may also
// have happened to an earlier process, so that a voter reloads before it takes part.
func (l *Log) Reload() error {
	if l.lock == nil {
		return l.stopped
	}
	if l.file != nil {
		l.file.Close()
	}
	*l = Log{fs: l.fs, folder: l.folder, lock: l.lock}
	if err := l.rewrite(); err != nil {
		l.stop(err)
		return err
	}
	return nil
}

func (l *Log) rewrite() error {
	if err := l.open(); err != nil {
		return err
	}
	if l.hasSnapshot() {
		if err := l.writeSnapshot(l.snapshot); err != nil {
			return err
		}
	}
	return l.rotate()
}

// stop makes all further saves fail.
func (l *Log) stop(cause error) {
	l.stopped = &Error{Op: "save state", Kind: KindStopped, File: l.folder, Err: cause}
}

// hasSnapshot reports whether a snapshot was saved; that of the initial voters has index 0.
func (l *Log) hasSnapshot() bool { return l.snapshot.Index > 0 || len(l.snapshot.Members.Voters) > 0 }

// Load returns the state as of the last save.
func (l *Log) Load() (gwquorum.HardState, gwquorum.Snapshot, []gwquorum.Entry, error) {
	if l.stopped != nil {
		return gwquorum.HardState{}, gwquorum.Snapshot{}, nil, l.stopped
	}
	return l.hard, l.snapshot, slices.Clone(l.tail), nil
}

// Size returns the size of the current log file in bytes. The driver of a voter
// saves a snapshot when the file grows too large.
func (l *Log) Size() int64 { return l.fileBytes }

// Empty reports whether nothing has ever been saved.
func (l *Log) Empty() bool {
	return l.hard == gwquorum.HardState{} && !l.hasSnapshot() && len(l.tail) == 0
}

// Save writes and syncs the hard state, entries and snapshot. After a failed save the
// state on disk is unknown, and all further saves fail until Reload succeeds.
func (l *Log) Save(hs gwquorum.HardState, entries []gwquorum.Entry, snap *gwquorum.Snapshot) error {
	if l.stopped != nil {
		return l.stopped
	}
	if err := l.save(hs, entries, snap); err != nil {
		l.stop(err)
		return err
	}
	return nil
}

func (l *Log) save(hs gwquorum.HardState, entries []gwquorum.Entry, snap *gwquorum.Snapshot) error {
	if snap != nil {
		return l.saveSnapshot(hs, entries, *snap)
	}
	if hs.Term == l.hard.Term && hs.Vote == l.hard.Vote && len(entries) == 0 {
		return nil
	}
	c := change{HardState: hs, Entries: entries}
	if err := l.checkEntries(c); err != nil {
		return err
	}
	if l.file == nil || l.fileBehind {
		l.apply(c)
		return l.rotate()
	}
	b, err := encodeRecord(c)
	if err != nil {
		return &Error{Op: "save state", Kind: KindEncode, File: l.logPath(l.fileNumber), Err: err}
	}
	if err := writeSync(l.file, b); err != nil {
		return l.ioError("save state", l.logPath(l.fileNumber), err)
	}
	l.fileBytes += int64(len(b))
	l.apply(c)
	return nil
}

func writeSync(f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// checkEntries returns an error if the entries would leave a gap after the saved ones or
// replace entries that the snapshot includes.
func (l *Log) checkEntries(c change) error {
	if len(c.Entries) == 0 {
		return nil
	}
	first, last := c.Entries[0].Index, l.snapshot.Index+uint64(len(l.tail))
	if first > last+1 || first <= l.snapshot.Index {
		return &Error{
			Op: "save entries", Kind: KindInvalid, File: l.logPath(l.fileNumber),
			Err: fmt.Errorf("entry %d does not continue a log with a snapshot of entry %d and last entry %d", first, l.snapshot.Index, last),
		}
	}
	return nil
}

// apply applies a saved change to the state in memory.
func (l *Log) apply(c change) {
	l.hard = c.HardState
	if len(c.Entries) > 0 {
		keep := c.Entries[0].Index - l.snapshot.Index - 1
		l.tail = append(l.tail[:keep], c.Entries...)
	}
}

// saveSnapshot writes the snapshot file and then a new log file that holds only the hard
// state and the entries after the snapshot.
func (l *Log) saveSnapshot(hs gwquorum.HardState, entries []gwquorum.Entry, snap gwquorum.Snapshot) error {
	if snap.Index < l.snapshot.Index {
		return &Error{
			Op: "save snapshot", Kind: KindInvalid, File: l.path(snapshotName),
			Err: fmt.Errorf("snapshot of entry %d is older than the saved one of entry %d", snap.Index, l.snapshot.Index),
		}
	}
	if l.file == nil {
		// A snapshot without a log file counts as damage.
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.writeSnapshot(snap); err != nil {
		return err
	}
	l.tail = entriesAfter(l.snapshot.Index, l.tail, snap)
	l.snapshot = snap
	c := change{HardState: hs, Entries: entries}
	if err := l.checkEntries(c); err != nil {
		return err
	}
	l.apply(c)
	return l.rotate()
}

func (l *Log) writeSnapshot(snap gwquorum.Snapshot) error {
	b, err := encodeRecord(snap)
	if err != nil {
		return &Error{Op: "save snapshot", Kind: KindEncode, File: l.path(snapshotName), Err: err}
	}
	return l.replaceFile(l.path(snapshotName), b)
}

// entriesAfter returns the entries of tail that remain valid after snap replaces the
// snapshot at baseIndex: those after snap.Index if the entry at that index has the
// snapshot's term, and none otherwise.
func entriesAfter(baseIndex uint64, tail []gwquorum.Entry, snap gwquorum.Snapshot) []gwquorum.Entry {
	last := baseIndex + uint64(len(tail))
	switch {
	case snap.Index == baseIndex:
		return tail
	case snap.Index > last || tail[snap.Index-baseIndex-1].Term != snap.Term:
		return nil
	default:
		return slices.Clone(tail[snap.Index-baseIndex:])
	}
}

// rotate starts a new log file that holds the state in memory, and removes the older one.
func (l *Log) rotate() error {
	c := change{HardState: l.hard, Entries: l.tail, Base: &base{Index: l.snapshot.Index, Term: l.snapshot.Term}}
	b, err := encodeRecord(c)
	if err != nil {
		return &Error{Op: "rotate log", Kind: KindEncode, File: l.logPath(l.fileNumber + 1), Err: err}
	}
	name := l.logPath(l.fileNumber + 1)
	if err := l.replaceFile(name, b); err != nil {
		return err
	}
	f, err := l.fs.Append(name)
	if err != nil {
		return l.ioError("rotate log", name, err)
	}
	if l.file != nil {
		l.file.Close()
		if err := l.fs.Remove(l.logPath(l.fileNumber)); err != nil {
			f.Close()
			return l.ioError("rotate log", l.logPath(l.fileNumber), err)
		}
	}
	l.file, l.fileNumber, l.fileBytes, l.fileBehind = f, l.fileNumber+1, int64(len(b)), false
	return nil
}

// replaceFile atomically replaces the content of a file with b and makes it durable.
func (l *Log) replaceFile(name string, b []byte) error {
	temp := name + tempSuffix
	f, err := l.fs.Create(temp)
	if err != nil {
		return l.ioError("replace file", temp, err)
	}
	defer f.Close()
	if err := writeSync(f, b); err != nil {
		return l.ioError("replace file", temp, err)
	}
	if err := l.fs.Rename(temp, name); err != nil {
		return l.ioError("replace file", name, err)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return l.ioError("replace file", name, err)
	}
	return nil
}

// Close closes the files. Every save has been synced already.
func (l *Log) Close() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	if l.lock != nil {
		l.lock.Close()
		l.lock = nil
	}
	if l.stopped == nil {
		l.stop(errors.New("the log is closed"))
	}
}

func isLogFile(name string) bool {
	return strings.HasPrefix(name, logPrefix) && !strings.HasSuffix(name, tempSuffix)
}
