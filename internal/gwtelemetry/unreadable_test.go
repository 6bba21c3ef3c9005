package gwtelemetry

import (
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a sender of malformed messages that fills the log, and against messages
// that are neither logged nor counted.
func TestUnreadableIsCountedAndBounded(t *testing.T) {
	var lines strings.Builder
	m := New()
	u := NewUnreadable(slog.New(slog.NewJSONHandler(&lines, nil)), m.UnreadableMessage)
	for range 1000 {
		u.Record(FromCaller, "127.0.0.1:1", "unknownWord", 7, errors.New("unknown message \"x\\n\""))
	}
	assert.LessOrEqual(t, strings.Count(lines.String(), "message not read"), unreadableLineBurst+unreadableLinesPerSecond)
	assert.Positive(t, u.skipped.Load())
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Contains(t, w.Body.String(), `gentianward_unreadable_messages_total{from="caller",reason="unknownWord"} 1000`)

	(*Unreadable)(nil).Record(FromServer, "s", "cut", 0, errors.New("x"))
}
