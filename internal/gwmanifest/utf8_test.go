package gwmanifest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	gwexamples "gentianward.example/gentianward/examples"
)

// Guards against a manifest that is accepted and that the replicated log, which takes UTF-8 only,
// then refuses as if no leader could be reached.
func TestManifestIsUTF8(t *testing.T) {
	text, err := gwexamples.Files.ReadFile("ecodour/manifest.jsonc")
	require.NoError(t, err)
	_, err = ParseManifest("", text)
	require.NoError(t, err)
	for _, bad := range []string{"// \xff\n", "/* \xc3 */", "\xff", "\xef\xbb\xbf"} {
		_, err := ParseManifest("", []byte(bad+string(text)))
		assert.Error(t, err, "%q", bad)
		_, err = ParseManifest("", []byte(string(text)+bad))
		assert.Error(t, err, "%q", bad)
	}
	_, err = ParseManifest("", []byte(strings.Replace(string(text), `"deployment": "`, "\"deployment\": \"\xff", 1)))
	assert.Error(t, err)
}
