package gwmanifest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const examples = "../../examples"

// Guards against example files that fail validation, and against example settings that
// contradict the manifest of their deployment.
func TestExampleFiles(t *testing.T) {
	for _, deployment := range []string{"ecodour", "hanbit"} {
		x := loadExample(t, deployment)
		files, err := filepath.Glob(filepath.Join(examples, deployment, "*.jsonc"))
		require.NoError(t, err)
		count := 0
		for _, file := range files {
			if strings.HasSuffix(file, "manifest.jsonc") {
				continue
			}
			count++
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			s, err := ParseSettings(file, text)
			require.NoError(t, err)
			assert.NoError(t, x.CheckSettings(s))
			assert.Equal(t, s.Instance+".jsonc", filepath.Base(file))
		}
		assert.Equal(t, 7, count, "instances of %s", deployment)
	}
}

func loadExample(t *testing.T, deployment string) *Index {
	t.Helper()
	name := filepath.Join(examples, deployment, "manifest.jsonc")
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	m, err := ParseManifest(name, text)
	require.NoError(t, err)
	return m.Index()
}
