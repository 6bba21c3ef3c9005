package gwdeploy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Guards against a graceful stop that interrupts a request in flight, refuses one or
// leaves its outcome unknown, and against instances that do not become ready again.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	d := startTest(t, Options{Delay: true})
	group := d.Groups()[0]
	_, err := connect(t, d, 0, d.FirstCaller(), group).Exec(context.Background(), "create table log (id text)")
	require.NoError(t, err)
	h := newWriteHistory()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var ended atomic.Int64
	for w := range 6 {
		wg.Go(func() { h.roamingWriter(ctx, d, w, group, &ended) })
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range d.Instances() {
		sctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		require.NoError(t, d.Stop(sctx, n), "stop of %s", n.Settings.Instance)
		require.NoError(t, d.Restart(sctx, n))
		err := d.WaitReady(sctx)
		if err != nil {
			d.logVoters(t)
		}
		require.NoError(t, err)
		stop()
	}
	time.Sleep(300 * time.Millisecond)
	cancel()
	wg.Wait()
	assert.Empty(t, h.unknown, "a graceful stop must leave no outcome unknown")
	assert.Empty(t, h.notRun, "a graceful stop must refuse no request")
	t.Logf("%d sessions were closed by a stopping instance between requests", ended.Load())
	h.check(t, d, 0, group)
}

// roamingWriter inserts rows until ctx ends. Whenever its session is closed between two
// requests, with SQLSTATE 57P01 or an error before a request was sent, it connects to the
// next running instance, as ordinary clients do. It counts these sessions in ended.
func (h *writeHistory) roamingWriter(ctx context.Context, d *Deployment, worker int, group string, ended *atomic.Int64) {
	var c *pgx.Conn
	instance := worker
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil || c.IsClosed() {
			c = d.connectNext(ctx, &instance, group)
			if c == nil {
				continue
			}
		}
		id := fmt.Sprintf("roaming-%d-%d", worker, n)
		_, err := c.Exec(context.Background(), "insert into log (id) values ($1)", id)
		var pg *pgconn.PgError
		if (errors.As(err, &pg) && pg.Code == "57P01") || (err != nil && (pgconn.SafeToRetry(err) || c.IsClosed() && pg == nil && strings.Contains(err.Error(), "deallocate"))) {
			ended.Add(1)
			_ = c.Close(context.Background())
			continue
		}
		h.record(id, err)
		time.Sleep(2 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close(context.Background())
	}
}

// connectNext connects to the next instance, and returns nil if that fails.
func (d *Deployment) connectNext(ctx context.Context, instance *int, group string) *pgx.Conn {
	*instance++
	url := d.URL(d.Instances()[*instance%len(d.Instances())], d.FirstCaller(), group)
	if url == "" {
		time.Sleep(time.Millisecond)
		return nil
	}
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		time.Sleep(time.Millisecond)
		return nil
	}
	return c
}

// Guards against a session that does not read its own writes after it moves, while the
// replicas lag, with its token to another instance, and against accepted forged tokens. The
// class of the caller accepts no staleness, so the instance also asks the primary.
func TestSessionTokenMovesBetweenInstances(t *testing.T) {
	d := startTest(t, Options{ReplicationDelay: 200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	group := d.Groups()[0]
	first := connect(t, d, 0, "adviser", group)
	_, err := first.Exec(ctx, "create table visit (id int)")
	require.NoError(t, err)
	_, err = first.Exec(ctx, "insert into visit (id) values (1)")
	require.NoError(t, err)
	token := first.PgConn().ParameterStatus("gentianward.session")
	require.NotEmpty(t, token)

	second := connect(t, d, 5, "adviser", group)
	_, err = second.Exec(ctx, "set gentianward.session = '"+token+"'")
	require.NoError(t, err)
	var n int
	require.NoError(t, second.QueryRow(ctx, "select count(*) from visit").Scan(&n))
	assert.Equal(t, 1, n)

	_, err = second.Exec(ctx, "set gentianward.session = '"+strings.Replace(token, token[:4], "AAAA", 1)+"'")
	var pg *pgconn.PgError
	require.ErrorAs(t, err, &pg)
	assert.Equal(t, "28000", pg.Code)
}

// Guards against a request with a request key that runs twice when it is sent again:
// through another instance, while the first attempt is still running, or after a lost
// answer.
func TestRequestKeyRunsOnce(t *testing.T) {
	d := startTest(t, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	group := d.Groups()[0]
	first, second := connect(t, d, 0, "adviser", group), connect(t, d, 4, "adviser", group)
	_, err := first.Exec(ctx, "create table payment (id int, amount int)")
	require.NoError(t, err)

	const pay = "/* requestKey=pay-1 */ insert into payment (id, amount) values (1, 30)"
	for _, c := range []*pgx.Conn{first, first, second} {
		tag, err := c.Exec(ctx, pay)
		require.NoError(t, err)
		assert.Equal(t, "INSERT 0 1", tag.String())
	}
	assertRows(t, first, "payment", 1)

	var wg sync.WaitGroup
	for _, c := range []*pgx.Conn{first, second} {
		wg.Go(func() {
			_, err := c.Exec(ctx, "/* requestKey=pay-2 */ insert into payment (id, amount) values (2, 30)")
			assert.NoError(t, err)
		})
	}
	wg.Wait()
	assertRows(t, first, "payment", 2)

	d.Server(d.Primary(group)).SetFault(loseAnswers(1))
	const retried = "/* requestKey=pay-3 */ insert into payment (id, amount) values ($1, 30)"
	_, err = first.Exec(ctx, retried, 3)
	require.NoError(t, err, "the request key must reveal the outcome after a lost answer")
	_, err = second.Exec(ctx, retried, 3)
	require.NoError(t, err)
	assertRows(t, second, "payment", 3)
}

// Guards against a table of request keys that grows without bound because expired keys
// are not removed.
func TestRequestKeysExpire(t *testing.T) {
	d := startTest(t, Options{EditManifest: func(m *gwmanifest.Manifest) {
		m.Limits.RequestKeyExpiry = gwmanifest.NewDuration(2 * time.Second)
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c := connect(t, d, 0, "adviser", d.Groups()[0])
	_, err := c.Exec(ctx, "create table payment (id int)")
	require.NoError(t, err)
	_, err = c.Exec(ctx, "/* requestKey=pay-1 */ insert into payment (id) values (1)")
	require.NoError(t, err)
	assertRows(t, c, "gentianward_request_key", 1)
	require.Eventually(t, func() bool {
		var n int
		return c.QueryRow(ctx, "select count(*) from gentianward_request_key").Scan(&n) == nil && n == 0
	}, 10*time.Second, 50*time.Millisecond)
}

func assertRows(t *testing.T, c *pgx.Conn, table string, want int) {
	t.Helper()
	var n int
	require.NoError(t, c.QueryRow(context.Background(), "select count(*) from "+table).Scan(&n))
	assert.Equal(t, want, n, "rows in %s", table)
}

// Guards against statements that are still sent to a server two seconds after it announced
// that it is leaving.
func TestLeavingServerGetsNoStatements(t *testing.T) {
	d := startTest(t, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	group := d.Groups()[0]
	c := connect(t, d, 3, "planner", group)
	_, err := connect(t, d, 0, "adviser", group).Exec(ctx, "create table visit (id int)")
	require.NoError(t, err)
	leaving := group + "-rennes-b"
	require.NotEqual(t, leaving, d.Primary(group))
	d.AnnounceLeaving(leaving)
	time.Sleep(2 * time.Second)
	before := d.Server(leaving).Statements()
	for range 200 {
		var n int
		require.NoError(t, c.QueryRow(ctx, "select count(*) from visit").Scan(&n))
	}
	got := d.Server(leaving).Statements() - before
	assert.Zero(t, got, "statements at the leaving server")
}

// Guards against a partitioned data centre that refuses reads within their class's
// staleness, or serves writes and reads beyond it.
func TestPartitionedDataCentreServesReadsWithinStaleness(t *testing.T) {
	d := startTest(t, Options{Delay: true})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	group := d.Groups()[0]
	_, err := connect(t, d, 0, "adviser", group).Exec(ctx, "create table visit (id int)")
	require.NoError(t, err)
	council, planner, adviser := connect(t, d, 5, "council", group), connect(t, d, 5, "planner", group), connect(t, d, 5, "adviser", group)
	// Until its owner has learned the primary's position once, the replica of the data centre
	// has no known staleness and rightly refuses; another data centre answers instead.
	replica := d.Server(group + "-brest-a")
	for _, c := range []*pgx.Conn{council, planner} {
		require.Eventually(t, func() bool {
			before := replica.Statements()
			var n int
			return c.QueryRow(ctx, "select count(*) from visit").Scan(&n) == nil && replica.Statements() > before
		}, 5*time.Second, 10*time.Millisecond, "the replica of the data centre must answer")
	}
	d.CutDataCentre("brest-a", true)
	// Until the partition is detected, a write is sent over the broken link, and its outcome
	// is unknown, as it should be.
	time.Sleep(gwmember.DefaultDataCentreTimeout + 2*time.Second)
	assertRows(t, council, "visit", 0) // the staleness of class councils is 30 s
	var pg *pgconn.PgError
	var n int
	require.ErrorAs(t, planner.QueryRow(ctx, "select count(*) from visit").Scan(&n), &pg) // the staleness of class planners is 2 s
	assert.Equal(t, "57P03", pg.Code, pg.Message)
	_, err = adviser.Exec(ctx, "insert into visit (id) values (1)")
	require.ErrorAs(t, err, &pg)
	assert.Equal(t, "57P03", pg.Code, pg.Message)
	d.CutDataCentre("brest-a", false)
	assert.Eventually(t, func() bool {
		_, err := adviser.Exec(ctx, "insert into visit (id) values (2)")
		return err == nil
	}, 10*time.Second, 50*time.Millisecond)
	assertRows(t, adviser, "visit", 1)
}

// logVoters logs each voter's state of the replicated log.
func (d *Deployment) logVoters(t *testing.T) {
	t.Helper()
	for _, n := range d.Instances() {
		if i := n.Instance(); i != nil {
			if st, ok := i.VoterStatus(); ok {
				t.Logf("%s: %+v", n.Settings.Instance, st)
			}
		}
	}
}
