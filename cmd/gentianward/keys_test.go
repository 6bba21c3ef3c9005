package main

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
)

func runKeysCmd(t *testing.T, args ...string) subcommands.ExitStatus {
	t.Helper()
	fs := flag.NewFlagSet("keys", flag.ContinueOnError)
	require.NoError(t, fs.Parse(args))
	return (&keysCmd{out: &bytes.Buffer{}}).Execute(context.Background(), fs)
}

// Guards against a key that is overwritten, readable by other users or unusable, and
// against a rotation that removes the previous CA from the trusted ones too early.
func TestKeys(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	file := func(name string) string { return filepath.Join(dir, name) }
	assert.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "init", dir))
	assert.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "issue", dir, "a-1", "-ip", "127.0.0.1", "-ip", "::1"))
	before, err := os.ReadFile(file("a-1.key"))
	require.NoError(t, err)

	assert.Equal(t, subcommands.ExitFailure, runKeysCmd(t, "init", dir))
	assert.Equal(t, subcommands.ExitFailure, runKeysCmd(t, "issue", dir, "a-1", "-ip", "127.0.0.1"))
	assert.Equal(t, subcommands.ExitFailure, runKeysCmd(t, "issue", dir, "ca", "-ip", "127.0.0.1", "-renew"))
	assert.Equal(t, subcommands.ExitFailure, runKeysCmd(t, "issue", dir, "../x", "-ip", "127.0.0.1"))
	assert.Equal(t, subcommands.ExitUsageError, runKeysCmd(t, "issue", dir, "b-1", "-ip", "localhost"))
	assert.Equal(t, subcommands.ExitUsageError, runKeysCmd(t, "issue", dir))
	assert.Equal(t, subcommands.ExitUsageError, runKeysCmd(t, "remove", dir))
	after, err := os.ReadFile(file("a-1.key"))
	require.NoError(t, err)
	assert.Equal(t, before, after)
	info, err := os.Stat(file("a-1.key"))
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())

	require.NoError(t, verify(file("ca.pem"), file("a-1.pem")))
	assert.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "rotate", dir))
	require.NoError(t, verify(file("ca.pem"), file("a-1.pem")), "the previous CA must stay trusted until -finish")
	assert.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "issue", dir, "b-1", "-ip", "127.0.0.1"))
	assert.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "rotate", dir, "-finish"))
	require.Error(t, verify(file("ca.pem"), file("a-1.pem")))
	require.NoError(t, verify(file("ca.pem"), file("b-1.pem")))
	assert.Equal(t, subcommands.ExitSuccess, runKeysCmd(t, "issue", dir, "a-1", "-ip", "127.0.0.1", "-renew"))
	_, err = gwpeer.NewFileSource(file("ca.pem"), file("a-1.pem"), file("a-1.key"))
	require.NoError(t, err)
}

// verify checks a certificate against the CAs in the file bundle.
func verify(bundle, cert string) error {
	key := cert[:len(cert)-len(".pem")] + ".key"
	src, err := gwpeer.NewFileSource(bundle, cert, key)
	if err != nil {
		return err
	}
	return src.Identity().Verify()
}
