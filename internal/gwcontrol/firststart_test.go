package gwcontrol

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// firstStart makes the saves of a member that starts with an empty disk, one after the other: its
// identity, the reload of its log, the term of the leader, the snapshot, the entries after that and
// the change of its vote. It returns the identity under which it has taken part, "" if none, and
// how many entries it has acknowledged.
func firstStart(t *testing.T, fs *gwstore.MemoryFS) (identity string, acknowledged uint64) {
	log, err := gwstore.Open(fs, "data")
	if err != nil {
		return "", 0
	}
	defer log.Close()
	i, err := LoadIdentity(t.Context(), IdentityOptions{
		Instance: "a", Clock: clockwork.NewRealClock(), FS: fs, Folder: "data", StoreEmpty: log.Empty(),
	})
	if err != nil || log.Reload() != nil {
		return "", 0
	}
	term := gwquorum.HardState{Term: 3}
	if log.Save(term, nil, nil) != nil {
		return i.ID, 0
	}
	if log.Save(term, nil, &gwquorum.Snapshot{Index: 9, Term: 2, Data: []byte("state")}) != nil {
		return i.ID, 0
	}
	for index := uint64(10); index <= 11; index++ {
		if log.Save(term, []gwquorum.Entry{{Index: index, Term: 3}}, nil) != nil {
			return i.ID, index - 1
		}
	}
	return i.ID, 11
}

// Guards against a new member that takes seconds to its vote on a slow disk, as each sync that
// follows another one costs its delay.
func TestFirstStartSyncs(t *testing.T) {
	fs := gwstore.NewMemoryFS()
	var syncs []string
	fs.SetFault(func(op gwstore.Op, name string) error {
		if op == gwstore.OpSync || op == gwstore.OpSyncFolder {
			syncs = append(syncs, string(op)+" "+name)
		}
		return nil
	})
	_, acknowledged := firstStart(t, fs)
	assert.EqualValues(t, 11, acknowledged)
	assert.Equal(t, []string{
		"sync data/voter.new",
		"sync data/log-0000000000000001.tmp", "syncFolder data",
		"sync data/log-0000000000000001",
		"sync data/snapshot.tmp", "syncFolder data", "sync data/log-0000000000000002.tmp", "syncFolder data",
		"sync data/log-0000000000000002",
		"sync data/log-0000000000000002",
	}, syncs)
}

// Guards against a member that loses its identity or entries that it has acknowledged, or comes
// back under its identity without them, after a loss of power at any step of its first start.
func TestFirstStartCrashes(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 42))
	for operations := range 40 {
		for range 40 { // losses of power
			fs := gwstore.NewMemoryFS()
			left := operations
			fs.SetFault(func(gwstore.Op, string) error {
				if left--; left < 0 {
					return errors.New("the process has ended")
				}
				return nil
			})
			identity, acknowledged := firstStart(t, fs)
			fs.Crash(r)
			fs.SetFault(nil)
			log, err := gwstore.Open(fs, "data")
			require.NoError(t, err, "after %d operations", operations)
			again, err := LoadIdentity(t.Context(), IdentityOptions{
				Instance: "a", Clock: clockwork.NewRealClock(), FS: fs, Folder: "data", StoreEmpty: log.Empty(),
			})
			require.NoError(t, err)
			require.NoError(t, log.Reload())
			_, snap, entries, err := log.Load()
			require.NoError(t, err)
			last := snap.Index + uint64(len(entries))
			if identity != "" {
				require.Equal(t, identity, again.ID, "it has taken part, after %d operations", operations)
			}
			require.GreaterOrEqual(t, last, acknowledged, "after %d operations", operations)
			log.Close()
		}
	}
}
