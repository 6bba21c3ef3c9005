package gwdaemon

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
)

// Guards against a saved directory that cannot be read back because of one odd entry, so that
// a restarted instance knows no backend server at all.
func TestLoadDirectoryWithOddEntries(t *testing.T) {
	fs, _ := newSavedFS(t)
	i := newStoppedInstance(fs, new(bytes.Buffer))
	require.NoError(t, i.loadView())
	odd := gwcontrol.ServerFacts{Server: "\xff", Group: "foyers", Address: "10.0.0.9:5432", Version: 1}
	require.NoError(t, i.viewStore.saveDirectory(append(i.directory.All(), odd)))

	log := new(bytes.Buffer)
	later := newStoppedInstance(fs, log)
	require.NoError(t, later.loadView())
	_, ok := later.Server("db-2")
	assert.True(t, ok, "the other entry")
	assert.Len(t, later.directory.All(), 1)
	assert.Contains(t, log.String(), "entry of the saved directory skipped")
}

// Guards against a server that left and is used again after a restart, because the saved
// directory forgot that it is gone, or because of its late heartbeats or those that another
// instance still holds.
func TestGoneServerStaysGoneAfterRestart(t *testing.T) {
	fs, _ := newSavedFS(t)
	i := newStoppedInstance(fs, new(bytes.Buffer))
	require.NoError(t, i.loadView())
	first := gwcontrol.ServerFacts{Server: "db-7", Group: "foyers", Address: "10.0.0.7:5432", Version: 10, Born: 1}
	next := gwcontrol.ServerFacts{Server: "db-8", Group: "foyers", Address: "10.0.0.7:5432", Version: 20, Born: 2}
	i.directory.Record(first)
	i.directory.Record(next)
	require.NoError(t, i.viewStore.saveDirectory(i.directory.All()))

	later := newStoppedInstance(fs, new(bytes.Buffer))
	require.NoError(t, later.loadView())
	late := first
	late.Version = 15
	later.directory.Record(late)
	got, _ := later.Server("db-7")
	assert.True(t, got.Gone, "after a late heartbeat")

	late.Version = 17
	later.directory.Merge([]gwcontrol.ServerFacts{late})
	next.Version = 21
	later.directory.Record(next)
	got, _ = later.Server("db-7")
	assert.True(t, got.Gone, "after another instance's record and the next heartbeat of the present server")
	got, _ = later.Server("db-8")
	assert.False(t, got.Gone)
}
