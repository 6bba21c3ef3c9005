package gwstore

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

var errProcessEnded = errors.New("the process has ended")

// endAfter lets a number of operations of a file system succeed. All later ones fail, as those of a
// process that has ended.
func endAfter(fs *MemoryFS, operations int) {
	fs.SetFault(func(Op, string) error {
		if operations--; operations < 0 {
			return errProcessEnded
		}
		return nil
	})
}

// joining is a save of a member that starts empty, catches up by a snapshot and compacts its log.
type joining struct {
	hard    gwquorum.HardState
	entries []gwquorum.Entry
	snap    *gwquorum.Snapshot
}

var joiningSaves = []joining{
	{hard: gwquorum.HardState{Term: 3}},
	{hard: gwquorum.HardState{Term: 3}, snap: &gwquorum.Snapshot{Index: 9, Term: 2, Data: []byte("received")}},
	{hard: gwquorum.HardState{Term: 3}, entries: []gwquorum.Entry{entry(10, 3), entry(11, 3)}},
	{hard: gwquorum.HardState{Term: 4, Vote: "a"}},
	{hard: gwquorum.HardState{Term: 4, Vote: "a"}, snap: &gwquorum.Snapshot{Index: 10, Term: 3, Data: []byte("compacted")}},
	{hard: gwquorum.HardState{Term: 5}, entries: []gwquorum.Entry{entry(11, 5)}, snap: nil},
}

// join reloads the log in a file system and makes the saves that are left. It returns the state of
// the last save that succeeded, and the states that the one that failed may leave.
func join(fs *MemoryFS, from savedState, left []joining) (last savedState, maybe []savedState, done int) {
	last = from
	l, err := Open(fs, "data")
	if err != nil {
		return last, nil, 0
	}
	defer l.Close()
	if l.Reload() != nil {
		return last, nil, 0
	}
	for _, s := range left {
		next := last.after(s.hard, s.entries, s.snap)
		if l.Save(s.hard, s.entries, s.snap) != nil {
			return last, []savedState{next, last.after(last.hard, nil, s.snap)}, done
		}
		last, done = next, done+1
	}
	return last, nil, done
}

// Guards against a voter that cannot start, or has lost what it acknowledged, after a loss of power
// at any step of its first start: each name that was not synced is kept or lost independently of
// the others. The process may have ended before, at any step, and have started again.
func TestEveryCrashPoint(t *testing.T) {
	operations := func(fs *MemoryFS) int {
		n := 0
		fs.SetFault(func(Op, string) error { n++; return nil })
		_, _, done := join(fs, savedState{}, joiningSaves)
		require.Len(t, joiningSaves, done)
		return n
	}(NewMemoryFS())
	r := rand.New(rand.NewPCG(42, 1))
	for first := range operations + 1 {
		for second := range operations + 1 {
			for range 12 { // losses of power
				fs := NewMemoryFS()
				endAfter(fs, first)
				want, maybe, done := join(fs, savedState{}, joiningSaves)
				fs.locks = map[string]bool{}
				allowed := append([]savedState{want}, maybe...)
				endAfter(fs, second)
				if l, err := Open(fs, "data"); err == nil {
					if l.Reload() == nil {
						got := load(t, l)
						require.Contains(t, allowed, got, "started again after %d operations", first)
						l.Close()
						// Which of the states it was is settled now.
						more, later, _ := join(fs, got, joiningSaves[min(len(joiningSaves), done+1):])
						allowed = append([]savedState{more}, later...)
					} else {
						l.Close()
					}
				}
				fs.Crash(r)
				fs.SetFault(nil)
				l, err := Open(fs, "data")
				require.NoError(t, err, "after %d and %d operations", first, second)
				require.NoError(t, l.Reload())
				require.Contains(t, allowed, load(t, l), "after %d and %d operations", first, second)
				l.Close()
			}
		}
	}
}
