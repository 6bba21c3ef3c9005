package gwstore

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// TestMain fixes the seed and the length of rapid's checks, so that runs in CI are
// reproducible. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "60"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// savedState holds the results of Load.
type savedState struct {
	hard    gwquorum.HardState
	snap    gwquorum.Snapshot
	entries []gwquorum.Entry
}

func load(t require.TestingT, l *Log) savedState {
	hs, snap, entries, err := l.Load()
	require.NoError(t, err)
	return savedState{hard: hs, snap: snap, entries: append([]gwquorum.Entry(nil), entries...)} // nil if empty
}

// after returns the state that a save turns s into. It shares no code with Log.
func (s savedState) after(hs gwquorum.HardState, entries []gwquorum.Entry, snap *gwquorum.Snapshot) savedState {
	out := savedState{hard: hs, snap: s.snap, entries: slices.Clone(s.entries)}
	if snap != nil {
		out.snap = *snap
		at := slices.IndexFunc(out.entries, func(e gwquorum.Entry) bool { return e.Index == snap.Index && e.Term == snap.Term })
		switch {
		case at >= 0:
			out.entries = out.entries[at+1:]
		case snap.Index != s.snap.Index:
			out.entries = nil
		}
	}
	if len(entries) > 0 {
		out.entries = slices.DeleteFunc(out.entries, func(e gwquorum.Entry) bool { return e.Index >= entries[0].Index })
		out.entries = append(out.entries, entries...)
	}
	if len(out.entries) == 0 {
		out.entries = nil
	}
	return out
}

func entry(index, term uint64) gwquorum.Entry {
	return gwquorum.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d of %d", index, term)}
}

func drawEntries(t *rapid.T, first, term uint64, count int) []gwquorum.Entry {
	var entries []gwquorum.Entry
	for i := range rapid.IntRange(0, count).Draw(t, "count") {
		entries = append(entries, entry(first+uint64(i), term))
	}
	return entries
}

// Guards against saves that are acknowledged and then lost, or that take effect only in
// part, when the disk fails or the process crashes at any operation.
func TestSavesSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := NewMemoryFS()
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		l, err := Open(fs, "data")
		require.NoError(t, err)
		want := load(t, l)
		term := uint64(1)
		injectFault := func() {
			remaining := rapid.IntRange(0, 10).Draw(t, "operations")
			fs.SetFault(func(Op, string) error {
				if remaining--; remaining < 0 {
					return errors.New("crash")
				}
				return nil
			})
		}
		reopen := func(allowed ...savedState) {
			fs.Crash(r)
			if rapid.Bool().Draw(t, "crash again") { // while opening
				injectFault()
				_, _ = Open(fs, "data")
				fs.Crash(r)
			}
			fs.SetFault(nil)
			l, err = Open(fs, "data")
			require.NoError(t, err)
			want = load(t, l)
			require.Contains(t, allowed, want)
		}
		save := func(hs gwquorum.HardState, entries []gwquorum.Entry, snap *gwquorum.Snapshot) {
			if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
				injectFault()
			}
			next := want.after(hs, entries, snap)
			if err := l.Save(hs, entries, snap); err != nil {
				require.ErrorIs(t, l.Save(hs, entries, snap), err, "further saves are refused")
				snapshotOnly := want.after(want.hard, nil, snap) // the snapshot alone
				reopen(want, snapshotOnly, next)
				return
			}
			want = next
			if rapid.IntRange(0, 4).Draw(t, "crash") == 0 {
				reopen(want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"entries": func(t *rapid.T) {
				last := want.snap.Index + uint64(len(want.entries))
				first := rapid.Uint64Range(want.snap.Index+1, last+1).Draw(t, "first")
				term++
				save(gwquorum.HardState{Term: term}, drawEntries(t, first, term, 5), nil)
			},
			"vote": func(t *rapid.T) {
				save(gwquorum.HardState{Term: term, Vote: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vote")}, nil, nil)
			},
			"compact": func(t *rapid.T) {
				if len(want.entries) > 0 {
					e := rapid.SampledFrom(want.entries).Draw(t, "entry")
					save(want.hard, nil, &gwquorum.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("compacted")})
				}
			},
			"install": func(t *rapid.T) {
				term++
				index := want.snap.Index + rapid.Uint64Range(1, 8).Draw(t, "ahead")
				save(gwquorum.HardState{Term: term}, drawEntries(t, index+1, term, 2), &gwquorum.Snapshot{Index: index, Term: term, Data: []byte("installed")})
			},
		})
	})
}

// newSavedLog returns a file system with a log of three records of one entry each, the
// offsets of these records and of the end of the file, and the name of the log file.
func newSavedLog(t *testing.T) (fs *MemoryFS, offsets []int, name string) {
	fs = NewMemoryFS()
	l, err := Open(fs, "data")
	require.NoError(t, err)
	for i := range uint64(3) {
		offsets = append(offsets, int(l.Size()))
		require.NoError(t, l.Save(gwquorum.HardState{Term: 1}, []gwquorum.Entry{entry(i+1, 1)}, nil))
	}
	offsets = append(offsets, int(l.Size()))
	fs.Crash(nil)
	return fs, offsets, l.logPath(l.fileNumber)
}

// Guards against a start that fails because of an incomplete last record, and against a
// damaged synced record that is treated as an incomplete one.
func TestDamagedRecords(t *testing.T) {
	_, offsets, _ := newSavedLog(t)
	for at := offsets[0]; at < offsets[3]; at++ {
		fs, _, name := newSavedLog(t)
		fs.Damage(name, at)
		l, err := Open(fs, "data")
		if at >= offsets[2] {
			require.NoError(t, err, "offset %d", at)
			assert.Len(t, load(t, l).entries, 2)
			continue
		}
		var e *Error
		require.ErrorAs(t, err, &e, "offset %d", at)
		record := offsets[0]
		if at >= offsets[1] {
			record = offsets[1]
		}
		assert.Equal(t, []any{KindCorrupt, name, int64(record)}, []any{e.Kind, e.File, e.Offset})
	}
	for size := offsets[2] + 1; size < offsets[3]; size++ {
		fs, _, name := newSavedLog(t)
		f, err := fs.Append(name)
		require.NoError(t, err)
		require.NoError(t, f.Truncate(int64(size)))
		l, err := Open(fs, "data")
		require.NoError(t, err)
		require.NoError(t, l.Save(gwquorum.HardState{Term: 2}, []gwquorum.Entry{entry(3, 2)}, nil))
		fs.Crash(nil)
		l, err = Open(fs, "data")
		require.NoError(t, err)
		assert.Equal(t, uint64(2), load(t, l).entries[2].Term, "the truncation of a file of %d bytes is synced", size)
	}
}

// Guards against a start without the snapshot that the log follows, and against old log
// files that are not removed.
func TestSnapshotFile(t *testing.T) {
	fs, _, _ := newSavedLog(t)
	l, err := Open(fs, "data")
	require.NoError(t, err)
	require.NoError(t, l.Save(gwquorum.HardState{Term: 1}, nil, &gwquorum.Snapshot{Index: 2, Term: 1, Data: []byte("state")}))
	names, _ := fs.List("data")
	assert.Len(t, names, 2, "a snapshot and one log file")
	require.Error(t, l.Save(gwquorum.HardState{}, nil, &gwquorum.Snapshot{Index: 1, Term: 1}), "an older snapshot")
	fs.Crash(nil)
	fs.Damage("data/snapshot", 20)
	_, err = Open(fs, "data")
	assert.ErrorContains(t, err, "data/snapshot, offset 0")
	fs.Crash(nil)
	require.NoError(t, fs.Remove("data/snapshot"))
	_, err = Open(fs, "data")
	assert.ErrorContains(t, err, "which is missing")
}

// Guards against saves after a full disk or a failed sync has left the state on disk
// unknown.
func TestFullDisk(t *testing.T) {
	fs, offsets, _ := newSavedLog(t)
	l, err := Open(fs, "data")
	require.NoError(t, err)
	fs.SetLimit(offsets[3] + 20)
	require.ErrorIs(t, l.Save(gwquorum.HardState{Term: 1}, []gwquorum.Entry{entry(4, 1)}, nil), ErrFull)
	fs.SetLimit(0)
	var e *Error
	require.ErrorAs(t, l.Save(gwquorum.HardState{Term: 2}, nil, nil), &e)
	assert.Equal(t, KindStopped, e.Kind)
	fs.Crash(nil)
	l, err = Open(fs, "data")
	require.NoError(t, err)
	assert.Len(t, load(t, l).entries, 3)
}

// Guards against behavior of the operating system that MemoryFS does not have, and against
// two processes that use one folder.
func TestOSFS(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	l, err := Open(OSFS{}, folder)
	require.NoError(t, err)
	assert.True(t, l.Empty())
	_, err = Open(OSFS{}, folder)
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, KindLocked, e.Kind)
	for i := range uint64(5) {
		require.NoError(t, l.Save(gwquorum.HardState{Term: 1, Vote: "a"}, []gwquorum.Entry{entry(i+1, 1)}, nil))
	}
	require.NoError(t, l.Save(gwquorum.HardState{Term: 2}, []gwquorum.Entry{entry(5, 2)}, &gwquorum.Snapshot{Index: 3, Term: 1}))
	want := load(t, l)
	l.Close()
	name := l.logPath(l.fileNumber)
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = f.WriteString(recordMagic + "torn")
	require.NoError(t, err)
	require.NoError(t, f.Close())
	l, err = Open(OSFS{}, folder)
	require.NoError(t, err)
	defer l.Close()
	assert.Equal(t, want, load(t, l))
	assert.False(t, l.Empty())
}

// BenchmarkSaveOS measures synced saves of one 100-byte entry in a temporary folder.
func BenchmarkSaveOS(b *testing.B) {
	l, err := Open(OSFS{}, b.TempDir())
	require.NoError(b, err)
	defer l.Close()
	data := make([]byte, 100)
	index := uint64(0)
	for b.Loop() {
		index++
		require.NoError(b, l.Save(gwquorum.HardState{Term: 1}, []gwquorum.Entry{{Index: index, Term: 1, Data: data}}, nil))
	}
}
