package gwstore

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// FuzzSaveLoad looks for a state that can be saved and not be loaded again: one such entry would
// stop every voter for good. Texts that are not UTF-8 were written and then refused.
func FuzzSaveLoad(f *testing.F) {
	f.Add("a", "b", []byte("data"), uint64(3))
	f.Add("\xff", "\x00\r\n", []byte("\xff\xfe"), uint64(1)<<63)
	f.Add("", "gwL1", []byte("gwL1\x00\x00\x00\x01"), uint64(0))
	f.Fuzz(func(t *testing.T, vote, member string, data []byte, rank uint64) {
		if len(data) == 0 {
			data = nil
		}
		members := gwquorum.Members{Voters: []string{vote, member}, Learners: []string{member}, Ranks: map[string]uint64{vote: rank, member: rank}}
		snap := gwquorum.Snapshot{Index: 1, Term: 1, Members: members, Data: data}
		entries := []gwquorum.Entry{
			{Index: 2, Term: 1, Data: data},
			{Index: 3, Term: 1, Kind: gwquorum.EntryChange, Members: &members},
		}
		hs := gwquorum.HardState{Term: 1, Vote: vote, Commit: 1}
		fs := NewMemoryFS()
		l, err := Open(fs, "data")
		require.NoError(t, err)
		require.NoError(t, l.Save(hs, nil, &snap))
		require.NoError(t, l.Save(hs, entries, nil))
		want := load(t, l)
		require.Equal(t, savedState{hard: hs, snap: snap, entries: entries}, want)
		l.Close()
		l, err = Open(fs, "data")
		require.NoError(t, err)
		require.Equal(t, want, load(t, l))
		require.NoError(t, l.Reload())
		require.Equal(t, want, load(t, l))
	})
}
