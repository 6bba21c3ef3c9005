package gwdeploy

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a cancel request that is lost because the balancer passes it
// to another instance than the one that holds the session.
func TestCancelThroughAnotherInstance(t *testing.T) {
	d := startTest(t, Options{})
	c := connect(t, d, 0, "adviser", "foyers-1")
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, "with recursive n(i) as (select 1 union all select i + 1 from n where i < 1000000000) select count(*) from n")
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	secret := c.PgConn().SecretKey()
	for _, other := range []int{6, 3} {
		nc, err := net.Dial("tcp", d.Instances()[other].Instance().CallerAddress())
		require.NoError(t, err)
		defer nc.Close()
		msg, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: secret}).Encode(nil)
		require.NoError(t, err)
		_, err = nc.Write(msg)
		require.NoError(t, err)
	}
	err := <-done
	var pg *pgconn.PgError
	require.True(t, errors.As(err, &pg), "%v", err)
	assert.Equal(t, "57014", pg.Code, "%v", err)
	_, err = c.Exec(ctx, "select 1")
	assert.NoError(t, err, "the session goes on")
}
