package gwtelemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against missing the cause of a failed request when it is in the log of another
// instance, such as a change of primary.
func TestExplain(t *testing.T) {
	entry := `  5.83 edge {"time":"2026-08-18T23:59:08.8Z","level":"INFO","msg":"statement not served","instance":"edge-1","id":"ba33","group":"g1","event":"noLease"}
{"time":"2026-08-18T23:59:08.7Z","level":"INFO","msg":"statement not served","instance":"edge-1","id":"ffff","group":"g1","event":"noLease"}
not a line
`
	control := `{"time":"2026-08-18T23:59:08.1Z","level":"INFO","msg":"change of primary begins","instance":"core-1","group":"g1","reason":"the primary is leaving"}
{"time":"2026-08-18T23:59:08.2Z","level":"INFO","msg":"change of primary begins","instance":"core-1","group":"g2"}
{"time":"2026-08-18T23:58:00.0Z","level":"INFO","msg":"change of primary begins","instance":"core-1","group":"g1"}
`
	lines, unreadable, err := Explain("ba33", 5*time.Second, strings.NewReader(entry), strings.NewReader(control))
	require.NoError(t, err)
	assert.Equal(t, 1, unreadable)
	require.Len(t, lines, 2)
	assert.Equal(t, "23:59:08.100 core-1: change of primary begins group=g1 reason=the primary is leaving", lines[0].String())
	assert.Equal(t, "23:59:08.800 edge-1: statement not served event=noLease group=g1 id=ba33", lines[1].String())
}
