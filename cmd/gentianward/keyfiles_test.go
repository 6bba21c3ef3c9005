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

// Guards against changed key files that are not reloaded, and against an instance that
// loses its keys because a new file is unusable.
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
	oldPeer, oldCaller := k.peerKeys.Identity(), k.callerCert.Load()
	k.reloadChanged()
	assert.Same(t, oldPeer, k.peerKeys.Identity(), "unchanged files must not be reloaded")

	require.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "issue", dir, "a-1", "-ip", "127.0.0.1", "-renew"))
	k.reloadChanged()
	assert.NotEqual(t, oldPeer.Certificate.Certificate, k.peerKeys.Identity().Certificate.Certificate)
	assert.NotEqual(t, oldCaller.Certificate, k.callerCert.Load().Certificate)

	oldPeer, oldCaller = k.peerKeys.Identity(), k.callerCert.Load()
	assert.Contains(t, log.String(), "key files read")
	log.Reset()
	require.NoError(t, os.WriteFile(file("a-1.pem"), []byte("half"), 0o600))
	k.reloadChanged()
	assert.Same(t, oldPeer, k.peerKeys.Identity())
	assert.Same(t, oldCaller, k.callerCert.Load())
	assert.Contains(t, log.String(), "not reloaded")
	assert.NotContains(t, log.String(), "key files read")
}
