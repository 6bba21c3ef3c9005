package gwstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against lost or reordered replicated writes, arguments that change
// type, and writes accepted by a replica.
func TestReplication(t *testing.T) {
	p, r, _ := startGroup(t)
	conn, replica := connect(t, p), connect(t, r)
	exec(t, conn, "create table v (id integer, x)")
	for i := range 500 {
		exec(t, conn, "insert into v values ($1, $2)", i, float64(i)/2)
	}
	exec(t, conn, "insert into v values ($1, $2::bytea)", -1, []byte("b"))
	exec(t, conn, "insert into v values ($1, $2)", -2, nil)
	waitCaughtUp(t, p, r)
	check := "select group_concat(id || typeof(x) || coalesce(x, '')) from v"
	assert.Equal(t, query[string](t, conn, check), query[string](t, replica, check))
	for _, sql := range []string{"insert into v values (1, 2)", "create table w (id integer)", "with n as (select 1) delete from v"} {
		_, err := replica.Exec(testContext(t), sql)
		assert.Equal(t, stateReadOnly, sqlState(t, err), sql)
	}
	late := startServer(t, Options{Role: RoleReplica, PrimaryAddress: p.Address()})
	waitCaughtUp(t, p, late)
	assert.Equal(t, int64(502), query[int64](t, connect(t, late), "select count(*) from v"))
}

// Guards against a former primary that still commits, and against a change of
// primary that loses replicated writes or keeps unreplicated ones.
func TestChangeOfPrimary(t *testing.T) {
	p, r1, r2 := startGroup(t)
	old := connect(t, p)
	exec(t, old, "create table v (id integer)")
	waitCaughtUp(t, p, r1)
	waitCaughtUp(t, p, r2)
	p.SetFault(Fault{CutPeers: []string{r1.Address(), r2.Address()}})
	exec(t, old, "insert into v values (1)")
	exec(t, old, "insert into v values (2)")

	exec(t, old, "begin")
	exec(t, old, "insert into v values (3)")
	for range 2 {
		var role, term, offset, previousTermEnd string
		require.NoError(t, old.QueryRow(testContext(t), "GENTIANWARD FENCE 2").Scan(&role, &term, &offset, &previousTermEnd))
		assert.Equal(t, []string{"primary", "1", "3", "0"}, []string{role, term, offset, previousTermEnd})
	}
	_, err := old.Exec(testContext(t), "commit")
	assert.Equal(t, stateReadOnly, sqlState(t, err))
	_, err = old.Exec(testContext(t), "insert into v values (4)")
	assert.Equal(t, stateReadOnly, sqlState(t, err))

	next := connect(t, r1)
	for range 2 {
		assert.Equal(t, "2/1", query[string](t, next, "GENTIANWARD PROMOTE 2"))
	}
	for _, term := range []int{1, 2} {
		_, err := connect(t, p).Exec(testContext(t), fmt.Sprintf("GENTIANWARD PROMOTE %d", term-1))
		assert.Equal(t, stateNotInPrerequisiteState, sqlState(t, err))
	}
	exec(t, next, "insert into v values (5)")
	for i := range 2 {
		sql := fmt.Sprintf("GENTIANWARD FOLLOW 2 '%s'", r1.Address())
		assert.Equal(t, "0", query[string](t, connect(t, r2), sql), i)
	}
	p.SetFault(Fault{})
	for range 2 {
		assert.Equal(t, "2", query[string](t, old, fmt.Sprintf("GENTIANWARD FOLLOW 2 '%s'", r1.Address())))
	}
	for _, s := range []*Server{p, r2} {
		waitCaughtUp(t, r1, s)
		assert.Equal(t, RoleReplica, s.Role())
		assert.Equal(t, "5", query[string](t, connect(t, s), "select group_concat(id) from v"))
	}
	assert.Equal(t, Report{Role: RoleReplica, Position: r1.Position(), PreviousTermEnd: 1}, p.Report())
}

// Guards against writes that are acknowledged but lost, or executed twice, when a
// fence and a promotion run concurrently with writers.
func TestFenceUnderLoad(t *testing.T) {
	const writers = 8
	p, r, _ := startGroup(t)
	exec(t, connect(t, p), "create table v (n integer)")
	exec(t, connect(t, p), "insert into v values (0)")
	var done atomic.Int64
	var wg sync.WaitGroup
	for range writers {
		conn := connect(t, p)
		wg.Go(func() {
			for {
				if _, err := conn.Exec(context.Background(), "update v set n = n + 1"); err != nil {
					assert.Equal(t, stateReadOnly, sqlState(t, err))
					return
				}
				done.Add(1)
			}
		})
	}
	eventually(t, "writers run", func() bool { return done.Load() > 100 })
	fenced := p.Fence(2).Position
	wg.Wait()
	assert.Equal(t, fenced, p.Position())
	assert.Equal(t, uint64(done.Load())+2, fenced.Offset)
	waitCaughtUp(t, p, r)
	_, err := r.Promote(2)
	require.NoError(t, err)
	assert.Equal(t, done.Load(), query[int64](t, connect(t, r), "select n from v"))
}

// Guards against a fenced replica whose log still receives entries of the old term.
func TestFenceStopsReplication(t *testing.T) {
	p, r, other := startGroup(t)
	conn := connect(t, p)
	exec(t, conn, "create table v (id integer)")
	waitCaughtUp(t, p, r)
	at := r.Fence(2).Position
	exec(t, conn, "insert into v values (1)")
	waitCaughtUp(t, p, other)
	time.Sleep(3 * replicationRetry)
	assert.Equal(t, at, r.Position())
	assert.Equal(t, at, r.Fence(1).Position)
}

// Guards against a restart that loses committed writes, keeps uncommitted ones,
// or forgets role, term or fence.
func TestCrashAndRestart(t *testing.T) {
	p, r, _ := startGroup(t)
	conn := connect(t, p)
	exec(t, conn, "create table v (id integer)")
	exec(t, conn, "insert into v values (1)")
	exec(t, conn, "begin")
	exec(t, conn, "insert into v values (2)")
	address := p.Address()
	p.Crash()
	_, err := conn.Exec(testContext(t), "commit")
	require.Error(t, err)
	_, err = pgx.Connect(testContext(t), "postgres://test@"+address+"/db")
	require.Error(t, err)
	require.NoError(t, p.Restart(testContext(t)))
	assert.Equal(t, address, p.Address())
	conn = connect(t, p)
	assert.Equal(t, "1", query[string](t, conn, "select group_concat(id) from v"))
	exec(t, conn, "insert into v values (3)")
	waitCaughtUp(t, p, r)
	r.Crash()
	exec(t, conn, "insert into v values (4)")
	require.NoError(t, r.Restart(testContext(t)))
	waitCaughtUp(t, p, r)

	p.Fence(5)
	p.Crash()
	require.NoError(t, p.Restart(testContext(t)))
	_, err = connect(t, p).Exec(testContext(t), "insert into v values (4)")
	assert.Equal(t, stateReadOnly, sqlState(t, err))
}

// Guards against the answer to a commit being sent despite LoseAnswers, and against
// the loss of the committed write.
func TestLoseAnswer(t *testing.T) {
	s := startServer(t, Options{})
	conn := connect(t, s)
	exec(t, conn, "create table v (id integer)")
	s.SetFault(Fault{LoseAnswers: 1})
	_, err := conn.Exec(testContext(t), "insert into v values (1)")
	require.Error(t, err)
	conn = connect(t, s)
	assert.Equal(t, int64(1), query[int64](t, conn, "select count(*) from v"))
	exec(t, conn, "insert into v values (2)")
}

// Guards against a frozen or cut server that still answers, and against connections
// that do not work again after the fault.
func TestFreezeAndCut(t *testing.T) {
	s := startServer(t, Options{})
	conn := connect(t, s)
	faults := []Fault{
		{Frozen: true},
		{CutClients: func(remote net.Addr) bool { return remote.String() == conn.PgConn().Conn().LocalAddr().String() }},
	}
	for _, fault := range faults {
		s.SetFault(fault)
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(context.Background(), "select 1")
			done <- err
		}()
		select {
		case err := <-done:
			t.Fatalf("answered during the fault: %v", err)
		case <-time.After(30 * time.Millisecond):
		}
		if !fault.Frozen {
			connect(t, s)
		}
		assert.Len(t, done, 0)
		s.SetFault(Fault{})
		require.NoError(t, <-done)
	}
}

// Guards against CutClients also cutting replication, and against a replica that
// still receives writes while CutPeers cuts it off.
func TestCutsAreSeparate(t *testing.T) {
	p, r1, r2 := startGroup(t)
	conn := connect(t, p)
	exec(t, conn, "create table v (id integer)")
	waitCaughtUp(t, p, r1)
	waitCaughtUp(t, p, r2)
	p.SetFault(Fault{CutClients: func(net.Addr) bool { return true }})
	late := startServer(t, Options{Role: RoleReplica, PrimaryAddress: p.Address()})
	waitCaughtUp(t, p, late)

	p.SetFault(Fault{})
	r1.SetFault(Fault{CutPeers: []string{p.Address()}})
	exec(t, conn, "insert into v values (1)")
	waitCaughtUp(t, p, r2)
	assert.Equal(t, uint64(1), r1.Position().Offset)
	r1.SetFault(Fault{})
	waitCaughtUp(t, p, r1)
}

// Guards against FOLLOW reporting success while the primary is unreachable, and
// against a server that meanwhile stops trying or accepts writes.
func TestFollowUnreachablePrimary(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old := startServer(t, Options{Clock: clock})
	next := startServer(t, Options{Role: RoleReplica, PrimaryAddress: old.Address()})
	conn := connect(t, old)
	exec(t, conn, "create table v (id integer)")
	waitCaughtUp(t, old, next)
	_, err := next.Promote(2)
	require.NoError(t, err)
	exec(t, conn, "insert into v values (1)")
	next.Crash()

	followErr := make(chan error, 1)
	go func() {
		_, err := old.Follow(context.Background(), 2, next.Address())
		followErr <- err
	}()
	require.NoError(t, clock.BlockUntilContext(testContext(t), 2))
	clock.Advance(followTimeout)
	var e *Error
	require.ErrorAs(t, <-followErr, &e)
	assert.Equal(t, KindConnection, e.Kind)
	_, err = conn.Exec(testContext(t), "insert into v values (2)")
	assert.Equal(t, stateReadOnly, sqlState(t, err))

	require.NoError(t, next.Restart(testContext(t)))
	go func() {
		for old.Position() != next.Position() {
			clock.Advance(replicationRetry)
			time.Sleep(time.Millisecond)
		}
	}()
	dropped, err := old.Follow(testContext(t), 2, next.Address())
	require.NoError(t, err)
	assert.Equal(t, uint64(1), dropped)
}

// Guards against a replica lag that is ignored or that continues after the fault.
func TestReplicaLag(t *testing.T) {
	p, r, other := startGroup(t)
	conn := connect(t, p)
	exec(t, conn, "create table v (id integer)")
	waitCaughtUp(t, p, r)
	r.SetFault(Fault{ReplicaLag: time.Hour})
	exec(t, conn, "insert into v values (1)")
	waitCaughtUp(t, p, other)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, uint64(1), r.Position().Offset)
	r.SetFault(Fault{})
	waitCaughtUp(t, p, r)
}

// Guards against announcements that are missing, late after a change, or wrong.
func TestAnnounce(t *testing.T) {
	got := make(chan Announcement, 100)
	instance := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a Announcement
		if r.URL.Path == announcePath && json.NewDecoder(r.Body).Decode(&a) == nil {
			got <- a
		}
	}))
	defer instance.Close()
	s := startServer(t, Options{Name: "a", Group: "g", DataCentre: "d", Role: RoleReplica, Slots: 2, Connections: 16, Announce: []string{instance.URL}})
	want := Announcement{Server: "a", Group: "g", DataCentre: "d", Address: s.Address(), Role: RoleReplica, Slots: 2, Connections: 16}
	assert.Equal(t, want, <-got)
	_, err := s.Promote(4)
	require.NoError(t, err)
	want.Role, want.Term = RolePrimary, 4
	assert.Equal(t, want, <-got)
	s.Leave()
	want.Leaving = true
	assert.Equal(t, want, <-got)
	assert.Equal(t, want, <-got, "the periodic one")
}

// Guards against a diverged log that is truncated at an offset other than the end of the
// prefix that it shares with its primary's log.
func TestCommonPrefix(t *testing.T) {
	primary := []termStart{{1, 0}, {2, 5}, {4, 9}}
	tests := []struct {
		name   string
		terms  []termStart
		length uint64
		want   uint64
	}{
		{name: "empty", want: 0},
		{name: "behind", terms: []termStart{{1, 0}}, length: 3, want: 3},
		{name: "tail of an old term", terms: []termStart{{1, 0}}, length: 8, want: 5},
		{name: "tail of a lost term", terms: []termStart{{1, 0}, {2, 5}, {3, 7}}, length: 9, want: 7},
		{name: "term without entries", terms: []termStart{{1, 0}, {2, 5}, {3, 9}}, length: 9, want: 9},
		{name: "equal", terms: primary, length: 12, want: 12},
		{name: "other group", terms: []termStart{{7, 0}}, length: 12, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, commonPrefixLength(tt.terms, tt.length, primary, 12))
		})
	}
}
