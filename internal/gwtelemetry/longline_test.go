package gwtelemetry

import (
	"strings"
	"testing"
	"time"
	"unicode"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a single line that is too long and ends the reading of a log, so that the lines
// after it, and the other logs, are not searched.
func TestExplainSkipsLongLines(t *testing.T) {
	line := func(message string) string {
		return `{"time":"2026-08-18T23:59:08.8Z","msg":"` + message + `","instance":"e","id":"ba33","group":"g1"}`
	}
	for _, size := range []int{64 << 10, 1<<20 - 200, 1 << 20, 3 << 20} {
		log := line("first") + "\n" + line(strings.Repeat("x", size)) + "\r\n" + line("last")
		lines, unreadable, err := Explain("ba33", time.Second, strings.NewReader(log), strings.NewReader(line("other")))
		require.NoError(t, err)
		long := 1
		if size >= 1<<20 {
			long = 0
		}
		assert.Len(t, lines, 3+long, size)
		assert.Equal(t, 1-long, unreadable, size)
	}
}

// Guards against a text of a caller or server that writes lines of its own into the output of
// explain, or sequences that control the terminal.
func TestExplainPrintsOneLine(t *testing.T) {
	log := `{"time":"2026-08-18T23:59:08.8Z","msg":"a\nb","instance":"e\u001b[2J","id":"ba33","error":"x\r\n23:59 forged","group":"é \u2028","no\nname":1,"list":["\n"]}`
	lines, _, err := Explain("ba33", time.Second, strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, lines, 1)
	assert.NotContains(t, lines[0].String(), "\n")
	assert.False(t, strings.ContainsFunc(lines[0].String(), func(r rune) bool { return !unicode.IsPrint(r) }), lines[0].String())
	assert.Contains(t, lines[0].String(), `error="x\r\n23:59 forged"`)
}
