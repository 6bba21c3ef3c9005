package gwdeploy

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// readConnections is the number of connections that read at the same time.
const readConnections = 64

// Targets for reads through an instance, compared with a direct connection: the lowest
// ratio of the rates, and the highest added median latency.
const (
	minOwnerRatio   = 0.5
	minForwardRatio = 0.35
	maxOwnerAdded   = 150 * time.Microsecond
	maxForwardAdded = 300 * time.Microsecond
)

// BenchmarkReads compares three paths for single-row reads: directly to a backend server,
// through the instance that owns its connections, and through another instance of the
// data centre. It compares their rates over 64 connections and their median latencies over
// one.
func BenchmarkReads(b *testing.B) {
	d := startTest(b, Options{Unlimited: true, EditManifest: func(m *gwmanifest.Manifest) {
		for i := range m.Classes {
			m.Classes[i].Queue, m.Classes[i].Concurrency = 100_000, 0
		}
	}})
	group := d.Groups()[0]
	ctx := context.Background()
	setup := connect(b, d, 0, "adviser", group)
	_, err := setup.Exec(ctx, "create table visit (id int primary key, note text)")
	require.NoError(b, err)
	for id := range 100 {
		_, err := setup.Exec(ctx, "insert into visit (id, note) values ($1, 'aerator fitted')", id)
		require.NoError(b, err)
	}
	time.Sleep(300 * time.Millisecond)
	replica := group + "-rennes-b"
	owner, other := d.ownerOf(replica, "rennes-b")
	paths := []struct{ name, url string }{
		{"direct", fmt.Sprintf("postgres://gentianward@%s/foyers-db?sslmode=disable", d.Server(replica).Address())},
		{"owner", d.URL(owner, "planner", group)},
		{"forward", d.URL(other, "planner", group)},
	}
	rate, median := map[string]float64{}, map[string]time.Duration{}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			rate[p.name] = readRate(b, p.url, readConnections)
			median[p.name] = medianLatency(b, p.url)
			b.ReportMetric(rate[p.name], "reads/s")
			b.ReportMetric(float64(median[p.name].Microseconds()), "median-µs")
		})
	}
	report := func(name string, least float64, added time.Duration) {
		ratio := rate[name] / rate["direct"]
		extra := median[name] - median["direct"]
		b.Logf("%s: ratio %.2f (at least %.2f), added median %s (under %s)", name, ratio, least, extra, added)
		if ratio < least || extra > added {
			b.Errorf("%s misses its target", name)
		}
	}
	report("owner", minOwnerRatio, maxOwnerAdded)
	report("forward", minForwardRatio, maxForwardAdded)
}

// ownerOf returns the instance of a data centre that owns a server, and one that does not.
func (d *Deployment) ownerOf(server, dc string) (owner, other *Node) {
	for _, n := range d.Instances() {
		switch {
		case n.Settings.DataCentre != dc:
		case slices.Contains(n.Instance().OwnedServers(), server):
			owner = n
		default:
			other = n
		}
	}
	return owner, other
}

const benchQuery = "select note from visit where id = $1"

// idleMeasureTime is how long an idle deployment is measured.
const idleMeasureTime = 10 * time.Second

// BenchmarkIdleDeployment measures the CPU time, memory and goroutines of an instance
// without callers. The stand-ins run in the same process, so the figures are upper bounds.
func BenchmarkIdleDeployment(b *testing.B) {
	for _, delay := range []bool{false, true} {
		b.Run(fmt.Sprintf("delay=%t", delay), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := startTest(b, Options{Delay: delay})
			time.Sleep(time.Second)
			cpu := cpuTime(b)
			time.Sleep(idleMeasureTime)
			cpu = cpuTime(b) - cpu
			runtime.GC()
			runtime.ReadMemStats(&after)
			n := float64(len(d.Instances()))
			b.ReportMetric(100*cpu.Seconds()/idleMeasureTime.Seconds()/n, "%core/instance")
			b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/n/(1<<20), "MiB/instance")
			b.ReportMetric(float64(runtime.NumGoroutine())/n, "goroutines/instance")
		})
	}
}

// readRate returns the reads per second over the given number of connections.
func readRate(b *testing.B, url string, connections int) float64 {
	b.Helper()
	conns := make([]*pgx.Conn, connections)
	for i := range conns {
		c, err := pgx.Connect(context.Background(), url)
		require.NoError(b, err)
		defer func() { _ = c.Close(context.Background()) }()
		conns[i] = c
	}
	readsPerConn := max(b.N, 30_000) / connections
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started, used := time.Now(), cpuTime(b)
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() {
			for i := range readsPerConn {
				readOne(b, c, i)
			}
		})
	}
	wg.Wait()
	took, reads := time.Since(started), float64(readsPerConn*connections)
	b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/reads, "cpu-µs/read")
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/reads, "mallocs/read")
	return reads / took.Seconds()
}

// cpuTime returns the CPU time of the process, including callers and backend servers. Other
// load on the machine distorts it less than the rate.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func readOne(b *testing.B, c *pgx.Conn, i int) {
	var note string
	if err := c.QueryRow(context.Background(), benchQuery, i%100).Scan(&note); err != nil {
		b.Error(err)
	}
}

func medianLatency(b *testing.B, url string) time.Duration {
	b.Helper()
	c, err := pgx.Connect(context.Background(), url)
	require.NoError(b, err)
	defer func() { _ = c.Close(context.Background()) }()
	took := make([]time.Duration, 2000)
	for i := range took {
		started := time.Now()
		readOne(b, c, i)
		took[i] = time.Since(started)
	}
	slices.Sort(took)
	return took[len(took)/2]
}
