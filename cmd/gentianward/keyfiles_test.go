package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// Guards against changed keys that are not noticed, and against an instance
// that loses its keys because a new file is unusable.
func TestKeyFilesReload(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	for _, args := range [][]string{{"init", dir}, {"issue", dir, "a-1", "-ip", "127.0.0.1"}} {
		require.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, args...))
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	s := &gwmanifest.Settings{
		Keys:      gwmanifest.Keys{CA: file("ca.pem"), Certificate: file("a-1.pem"), Key: file("a-1.key")},
		CallerTLS: &gwmanifest.TLSFiles{Certificate: file("a-1.pem"), Key: file("a-1.key")},
	}
	var log bytes.Buffer
	k, err := openKeyFiles(s, slog.New(slog.NewTextHandler(&log, nil)))
	require.NoError(t, err)
	links, callers := k.links.Identity(), k.callers.Load()
	k.reloadChanged()
	assert.Same(t, links, k.links.Identity(), "nothing has changed")

	require.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "issue", dir, "a-1", "-ip", "127.0.0.1", "-renew"))
	k.reloadChanged()
	assert.NotEqual(t, links.Certificate.Certificate, k.links.Identity().Certificate.Certificate)
	assert.NotEqual(t, callers.Certificate, k.callers.Load().Certificate)

	links, callers = k.links.Identity(), k.callers.Load()
	require.NoError(t, os.WriteFile(file("a-1.pem"), []byte("half"), 0o600))
	k.reloadChanged()
	assert.Same(t, links, k.links.Identity())
	assert.Same(t, callers, k.callers.Load())
	assert.Contains(t, log.String(), "not reloaded")
}
