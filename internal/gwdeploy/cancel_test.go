package gwdeploy

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a cancel request that has no effect because a load balancer sends it to
// an instance other than the one that holds the session.
func TestCancelThroughAnotherInstance(t *testing.T) {
	d := startTest(t, Options{})
	c := connect(t, d, 0, "adviser", "foyers-1")
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for _, other := range []int{6, 3, 0} {
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(ctx, "with recursive n(i) as (select 1 union all select i + 1 from n where i < 1000000000) select count(*) from n")
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		sendCancel(t, d.Instances()[other].Instance().CallerAddress(), c.PgConn())
		err := <-done
		var pg *pgconn.PgError
		require.True(t, errors.As(err, &pg), "%v", err)
		assert.Equal(t, "57014", pg.Code, "%v", err)
		_, err = c.Exec(ctx, "select 1")
		require.NoError(t, err, "the session must stay usable")
	}
}

// sendCancel sends a cancel request and waits until it has been handled, so that it cannot
// cancel the next statement.
func sendCancel(t *testing.T, address string, c *pgconn.PgConn) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer nc.Close()
	msg, err := (&pgproto3.CancelRequest{ProcessID: c.PID(), SecretKey: c.SecretKey()}).Encode(nil)
	require.NoError(t, err)
	_, err = nc.Write(msg)
	require.NoError(t, err)
	_, err = nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
