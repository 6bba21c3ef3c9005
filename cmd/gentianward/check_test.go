package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func runCheck(t *testing.T, args ...string) (string, subcommands.ExitStatus) {
	t.Helper()
	var b bytes.Buffer
	c := &checkCmd{out: &b}
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	c.SetFlags(fs)
	require.NoError(t, fs.Parse(args))
	status := c.Execute(context.Background(), fs)
	return b.String(), status
}

const (
	exampleManifest = "../../examples/hanbit/manifest.jsonc"
	exampleSettings = "../../examples/hanbit/seoul-mapo-1.jsonc"
	invalidManifest = "../../internal/gwmanifest/testdata/wrong/manifest-values.jsonc"
)

// Guards against an exit code that lets a build pipeline publish an invalid file, and
// against settings and manifests that are mistaken for each other.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want subcommands.ExitStatus
		text string
	}{
		{name: "both kinds", args: []string{exampleManifest, exampleSettings}, want: subcommands.ExitSuccess, text: "valid settings"},
		{name: "wrong", args: []string{invalidManifest}, want: subcommands.ExitFailure, text: "classes[0].staleness"},
		{name: "one of two", args: []string{exampleManifest, invalidManifest}, want: subcommands.ExitFailure, text: "valid manifest"},
		{name: "kind flag", args: []string{"-kind", "settings", exampleManifest}, want: subcommands.ExitFailure, text: "peerAddress"},
		{name: "other deployment", args: []string{exampleManifest, "../../examples/ecodour/brest-a-1.jsonc"}, want: subcommands.ExitFailure, text: "5:17: dataCentre"},
		{name: "no such file", args: []string{"absent.jsonc"}, want: subcommands.ExitFailure, text: "absent.jsonc"},
		{name: "no file", want: subcommands.ExitUsageError},
		{name: "unknown kind", args: []string{"-kind", "x", exampleManifest}, want: subcommands.ExitUsageError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text, status := runCheck(t, tt.args...)
			assert.Equal(t, tt.want, status)
			assert.Contains(t, text, tt.text)
		})
	}
}

// Guards against JSON output without the position of a problem or the digest of a
// manifest.
func TestCheckJSON(t *testing.T) {
	text, _ := runCheck(t, "-json", exampleManifest, invalidManifest)
	var got []checkResult
	require.NoError(t, json.Unmarshal([]byte(text), &got))
	assert.True(t, got[0].Valid)
	assert.Len(t, got[0].Digest, 64)
	assert.False(t, got[1].Valid)
	assert.Equal(t, 4, got[1].Problems[0].Line)
	assert.Equal(t, "number", got[1].Problems[0].Field)
}
