package gwdeploy

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// Guards against instances that do not apply the message size limit of the manifest.
func TestMessageBytesOfManifest(t *testing.T) {
	d := startTest(t, Options{EditManifest: func(m *gwmanifest.Manifest) { m.Limits.MessageBytes = 100_000 }})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := connect(t, d, 0, "adviser", "foyers-1")
	_, err := c.Exec(ctx, "select '"+strings.Repeat("x", 50_000)+"'")
	require.NoError(t, err)
	_, err = c.Exec(ctx, "select '"+strings.Repeat("x", 150_000)+"'")
	var pg *pgconn.PgError
	require.True(t, errors.As(err, &pg), "%v", err)
	assert.Equal(t, "54000", pg.Code)
}
