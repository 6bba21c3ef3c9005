package gwdeploy

import (
	"context"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

// startTest starts a deployment, by default that of Ecodour, waits until it is ready, and
// closes it when the test ends. If GENTIANWARD_TEST_LOG is set, it logs to standard error.
func startTest(t testing.TB, o Options) *Deployment {
	t.Helper()
	if o.Plan == nil {
		p, err := NewPlan(Ecodour)
		require.NoError(t, err)
		o.Plan = p
	}
	if os.Getenv("GENTIANWARD_TEST_LOG") != "" {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d, err := Start(ctx, o)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	require.NoError(t, d.WaitReady(ctx))
	return d
}

// connect opens a connection of a caller to a group, through the instance with that index.
func connect(t testing.TB, d *Deployment, instance int, caller, group string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, d.URL(d.Instances()[instance], caller, group))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// Guards against a read that misses an acknowledged write of the same caller, at the
// instance of the write and, without a token, at every other instance.
func TestReadYourWritesThroughAnyInstance(t *testing.T) {
	d := startTest(t, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	first := connect(t, d, 0, "adviser", "foyers-1")
	_, err := first.Exec(ctx, "create table visit (id int primary key, note text)")
	require.NoError(t, err)
	for id := range len(d.Instances()) {
		_, err = first.Exec(ctx, "insert into visit (id, note) values ($1, $2)", id, "aerator fitted")
		require.NoError(t, err)
		for _, c := range []*pgx.Conn{first, connect(t, d, id, "adviser", "foyers-1")} {
			var note string
			require.NoError(t, c.QueryRow(ctx, "select note from visit where id = $1", id).Scan(&note))
			require.Equal(t, "aerator fitted", note)
		}
	}
}

// Guards against a voter that keeps its data folder locked after a graceful stop.
func TestRestartAfterStop(t *testing.T) {
	d := startTest(t, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, n := range d.Instances() {
		if n.Settings.DataFolder != "" {
			require.NoError(t, d.Stop(ctx, n))
			require.NoError(t, d.Restart(ctx, n))
			break
		}
	}
	require.NoError(t, d.WaitReady(ctx))
}
