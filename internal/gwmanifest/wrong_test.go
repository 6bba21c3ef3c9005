package gwmanifest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the expected messages in testdata")

// parseFile parses a file of either kind, chosen by the beginning of its name.
func parseFile(name string, text []byte) error {
	if strings.HasPrefix(name, "settings") {
		_, err := ParseSettings(name, text)
		return err
	}
	_, err := ParseManifest(name, text)
	return err
}

// Guards against wrong files that are accepted, and against messages that
// lose a problem, its place or the accepted values. The expected messages are
// in the .txt file beside each wrong file.
func TestWrongFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			err = parseFile(filepath.Base(file), text)
			require.Error(t, err)
			expected := strings.TrimSuffix(file, ".jsonc") + ".txt"
			if *update {
				require.NoError(t, os.WriteFile(expected, []byte(err.Error()+"\n"), 0o644))
			}
			want, readErr := os.ReadFile(expected)
			require.NoError(t, readErr)
			assert.Equal(t, string(want), err.Error()+"\n")
			for _, p := range Problems(err) {
				assert.NotEmpty(t, p.Message)
				assert.Positive(t, p.Line)
				assert.Positive(t, p.Column)
			}
		})
	}
}
