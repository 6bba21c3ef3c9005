package gwstore

import (
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// open reads the files in the folder into l.
func (l *Log) open() error {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return l.ioError("open log", l.folder, err)
	}
	if err := l.removeTempFiles(names); err != nil {
		return err
	}
	snap, err := l.readSnapshot()
	if err != nil {
		return err
	}
	logs, err := l.logNumbers(names)
	if err != nil {
		return err
	}
	if len(logs) == 0 {
		if snap != nil {
			// The first log file is created before any snapshot is saved.
			return l.corrupt(l.path(snapshotName), 0, "there is a snapshot but no log file")
		}
		return nil
	}
	l.fileNumber = logs[len(logs)-1]
	if err := l.readLog(); err != nil {
		return err
	}
	if l.fileBehind, err = l.mergeSnapshot(snap); err != nil {
		return err
	}
	return l.removeOlder(logs[:len(logs)-1])
}

// removeOlder removes the log files before the current one, which the end of a process or a loss of
// power during a rotation leaves in place.
func (l *Log) removeOlder(numbers []uint64) error {
	if len(numbers) == 0 {
		return nil
	}
	// The name of the current file may not be durable yet. A loss of power could keep the removal
	// and lose that name.
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return l.ioError("open log", l.folder, err)
	}
	for _, n := range numbers {
		if err := l.fs.Remove(l.logPath(n)); err != nil {
			return l.ioError("open log", l.logPath(n), err)
		}
	}
	return nil
}

func (l *Log) removeTempFiles(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return l.ioError("open log", l.path(name), err)
			}
		}
	}
	return nil
}

func (l *Log) logNumbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		if !isLogFile(name) {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimPrefix(name, logPrefix), 16, 64)
		if err != nil {
			return nil, l.corrupt(l.path(name), 0, "the file name has no valid number")
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log) corrupt(file string, offset int, format string, args ...any) error {
	return &Error{Op: "open log", Kind: KindCorrupt, File: file, Offset: int64(offset), Err: errors.Newf(format, args...)}
}

// readSnapshot reads the snapshot file. It returns nil if there is none.
func (l *Log) readSnapshot() (*gwquorum.Snapshot, error) {
	name := l.path(snapshotName)
	b, err := l.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, l.ioError("open log", name, err)
	}
	payload, size, ok := nextRecord(b)
	if !ok || size != len(b) {
		return nil, l.corrupt(name, 0, "the snapshot is damaged")
	}
	var s gwquorum.Snapshot
	if err := decoder.Unmarshal(payload, &s); err != nil {
		return nil, l.corrupt(name, 0, "the snapshot cannot be decoded: %v", err)
	}
	return &s, nil
}

// readLog reads the current log file, truncates an incomplete last record and opens the
// file for writing.
func (l *Log) readLog() error {
	name := l.logPath(l.fileNumber)
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return l.ioError("open log", name, err)
	}
	offset := 0
	for offset < len(b) {
		payload, size, ok := nextRecord(b[offset:])
		if !ok {
			break
		}
		var c change
		if err := decoder.Unmarshal(payload, &c); err != nil {
			return l.corrupt(name, offset, "the record cannot be decoded: %v", err)
		}
		if err := l.replay(c, offset); err != nil {
			return err
		}
		offset += size
	}
	if offset < len(b) && hasRecord(b[offset+1:]) {
		return l.corrupt(name, offset, "the record is damaged and intact records follow it")
	}
	if offset == 0 {
		// A log file is renamed to its name only after its first record is synced.
		return l.corrupt(name, 0, "the first record is missing")
	}
	return l.openFile(name, offset, len(b))
}

// openFile opens a log file of fileSize bytes for writing and truncates it to size.
func (l *Log) openFile(name string, size, fileSize int) error {
	f, err := l.fs.Append(name)
	if err != nil {
		return l.ioError("open log", name, err)
	}
	l.file, l.fileBytes = f, int64(size)
	if size == fileSize {
		return nil
	}
	if err := f.Truncate(int64(size)); err != nil {
		return l.ioError("open log", name, err)
	}
	if err := f.Sync(); err != nil {
		return l.ioError("open log", name, err)
	}
	return nil
}

// replay applies the record at offset to the state in memory.
func (l *Log) replay(c change, offset int) error {
	if (offset == 0) != (c.Base != nil) {
		return l.corrupt(l.logPath(l.fileNumber), offset, "the first record of a log file, and no other, must name the base snapshot")
	}
	if c.Base != nil {
		l.snapshot = gwquorum.Snapshot{Index: c.Base.Index, Term: c.Base.Term}
	}
	if err := l.checkEntries(c); err != nil {
		return l.corrupt(l.logPath(l.fileNumber), offset, "%v", err)
	}
	l.apply(c)
	return nil
}

// mergeSnapshot combines the content of the log file with the snapshot. It reports whether
// the snapshot is newer than the base of the log file, as after a crash between the
// write of the snapshot and the rotation.
func (l *Log) mergeSnapshot(snap *gwquorum.Snapshot) (newer bool, err error) {
	baseIndex := l.snapshot.Index
	switch {
	case snap == nil && baseIndex == 0:
		return false, nil
	case snap == nil || snap.Index < baseIndex:
		return false, l.corrupt(l.path(snapshotName), 0, "the log follows a snapshot of entry %d, which is missing", l.snapshot.Index)
	}
	l.tail = entriesAfter(baseIndex, l.tail, *snap)
	l.snapshot = *snap
	return snap.Index > baseIndex, nil
}
