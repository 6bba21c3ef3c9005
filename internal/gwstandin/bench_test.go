package gwstandin

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

const (
	benchConnections = 64
	benchRows        = 10000
)

func benchServer(b *testing.B) *Server {
	s := startServer(b, Options{})
	conn := connect(b, s)
	exec(b, conn, "create table v (id integer primary key, name text, amount integer)")
	exec(b, conn, "with recursive n(i) as (select 1 union all select i + 1 from n where i < $1) insert into v select i, 'name' || i, i * 3 from n", benchRows)
	return s
}

// benchmarkStatement runs statements on benchConnections connections and reports
// the time per statement over all of them.
func benchmarkStatement(b *testing.B, run func(ctx context.Context, conn *pgx.Conn, i int) error) {
	s := benchServer(b)
	ctx := context.Background()
	work := make(chan int, benchConnections)
	errs := make(chan error, benchConnections)
	for range benchConnections {
		conn := connect(b, s)
		require.NoError(b, run(ctx, conn, 1)) // prepares the statement
		go func() {
			var err error
			for n := range work {
				for i := range n {
					if err == nil {
						err = run(ctx, conn, 1+i%benchRows)
					}
				}
			}
			errs <- err
		}()
	}
	b.ResetTimer()
	for i := range benchConnections {
		work <- (b.N + i) / benchConnections
	}
	close(work)
	for range benchConnections {
		require.NoError(b, <-errs)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkSelect measures single-row reads by primary key.
func BenchmarkSelect(b *testing.B) {
	benchmarkStatement(b, func(ctx context.Context, conn *pgx.Conn, i int) error {
		var name string
		var amount int64
		return conn.QueryRow(ctx, "select name, amount from v where id = $1", i).Scan(&name, &amount)
	})
}

// BenchmarkUpdate measures single-row write transactions.
func BenchmarkUpdate(b *testing.B) {
	benchmarkStatement(b, func(ctx context.Context, conn *pgx.Conn, i int) error {
		_, err := conn.Exec(ctx, "update v set amount = amount + 1 where id = $1", i)
		return err
	})
}
