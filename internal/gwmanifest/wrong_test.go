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

// parseFile parses a manifest, or settings if the name begins with "settings".
func parseFile(name string, text []byte) error {
	if strings.HasPrefix(name, "settings") {
		_, err := ParseSettings(name, text)
		return err
	}
	_, err := ParseManifest(name, text)
	return err
}

// Guards against invalid files that are accepted, and against errors that omit a problem,
// its location or the accepted values. The .txt file next to each invalid file contains
// the expected errors.
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
