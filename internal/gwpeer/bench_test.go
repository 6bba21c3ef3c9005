package gwpeer

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// users is the number of concurrent users in the benchmarks with load.
const users = 64

// measure runs op b.N times in total from the given number of goroutines. It reports
// the rate, the processor time per operation, and the median and 99th percentile of
// the latency.
func measure(b *testing.B, workers int, op func(worker int) error) {
	b.Helper()
	var left atomic.Int64
	left.Store(int64(b.N))
	hists := make([]*hdrhistogram.Histogram, workers)
	var wg sync.WaitGroup
	b.ResetTimer()
	cpu, start := cpuTime(b), time.Now()
	for w := range workers {
		hists[w] = hdrhistogram.New(1, int64(10*time.Second), 3)
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				t := time.Now()
				if err := op(w); err != nil {
					b.Error(err)
					return
				}
				_ = hists[w].RecordValue(int64(time.Since(t)))
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	b.StopTimer()
	cpu = cpuTime(b) - cpu
	for _, h := range hists[1:] {
		hists[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/took.Seconds(), "req/s")
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(hists[0].ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(hists[0].ValueAtQuantile(99))/1e3, "p99-µs")
}

// cpuTime returns the processor time of the process, which other load on the machine
// distorts less than elapsed time.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchPair(b *testing.B) (*Node, string) {
	nodes := startNodes(b, "a", "b")
	serveEcho(nodes[1])
	_, err := Call[echo, echo](context.Background(), nodes[0], nodes[1].Address(), kindEcho, echo{Text: "warm"})
	require.NoError(b, err)
	return nodes[0], nodes[1].Address()
}

func BenchmarkCall(b *testing.B) {
	for _, workers := range []int{1, users} {
		b.Run(benchName(workers), func(b *testing.B) {
			a, addr := benchPair(b)
			measure(b, workers, func(int) error {
				_, err := Call[echo, echo](context.Background(), a, addr, kindEcho, echo{Text: "0123456789"})
				return err
			})
		})
	}
}

// BenchmarkStreamPerRequest opens a stream for each exchange of one 100-byte frame in
// each direction.
func BenchmarkStreamPerRequest(b *testing.B) {
	for _, workers := range []int{1, users} {
		b.Run(benchName(workers), func(b *testing.B) {
			a, addr := benchPair(b)
			payload := make([]byte, 100)
			measure(b, workers, func(int) error {
				s, err := a.OpenStream(context.Background(), addr, kindStream)
				if err != nil {
					return err
				}
				defer s.Close()
				return exchange(s, payload)
			})
		})
	}
}

// BenchmarkLongStream uses one stream per user for all its exchanges.
func BenchmarkLongStream(b *testing.B) {
	for _, workers := range []int{1, users} {
		b.Run(benchName(workers), func(b *testing.B) {
			a, addr := benchPair(b)
			payload := make([]byte, 100)
			streams := make([]*Stream, workers)
			for i := range streams {
				s, err := a.OpenStream(context.Background(), addr, kindStream)
				require.NoError(b, err)
				defer s.Close()
				require.NoError(b, exchange(s, payload))
				streams[i] = s
			}
			measure(b, workers, func(w int) error { return exchange(streams[w], payload) })
		})
	}
}

// BenchmarkStreamPool uses a pooled stream for each exchange.
func BenchmarkStreamPool(b *testing.B) {
	for _, workers := range []int{1, users} {
		b.Run(benchName(workers), func(b *testing.B) {
			a, addr := benchPair(b)
			payload := make([]byte, 100)
			pool := a.NewStreamPool(kindStream)
			measure(b, workers, func(int) error {
				return pool.Do(context.Background(), addr, func(s *Stream) error { return exchange(s, payload) })
			})
		})
	}
}

// BenchmarkPacedUsers lets each of 64 users wait 10 ms between exchanges on pooled
// streams, which is about 6,000 requests per second. The target is a median latency
// below 150 µs.
func BenchmarkPacedUsers(b *testing.B) {
	a, addr := benchPair(b)
	payload := make([]byte, 100)
	pool := a.NewStreamPool(kindStream)
	hist := hdrhistogram.New(1, int64(10*time.Second), 3)
	var mu sync.Mutex
	measure(b, users, func(int) error {
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		err := pool.Do(context.Background(), addr, func(s *Stream) error { return exchange(s, payload) })
		mu.Lock()
		defer mu.Unlock()
		_ = hist.RecordValue(int64(time.Since(start)))
		return err
	})
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-µs")
}

func exchange(s *Stream, payload []byte) error {
	if err := s.WriteFrame(1, payload); err != nil {
		return err
	}
	_, _, err := s.ReadFrame()
	return err
}

func benchName(workers int) string {
	if workers == 1 {
		return "1user"
	}
	return "64users"
}

// BenchmarkShapedCall measures how much calls exceed the simulated round trips, which
// are 1 ms within a region and 60 ms between regions.
func BenchmarkShapedCall(b *testing.B) {
	for _, region := range []string{"rennes", "brest"} {
		b.Run(region, func(b *testing.B) {
			network := NewNetwork(NetworkOptions{IntraRegionDelay: 500 * time.Microsecond, InterRegionDelay: 30 * time.Millisecond, Bandwidth: 30_000_000})
			ca, err := NewAuthority("bench")
			require.NoError(b, err)
			near := startNode(b, ca, Options{Instance: "a", Shaper: network})
			far := startNode(b, ca, Options{Instance: "b", Shaper: network})
			require.NoError(b, network.Place(near.Address(), "rennes-a", "rennes"))
			require.NoError(b, network.Place(far.Address(), "other", region))
			serveEcho(far)
			measure(b, 1, func(int) error {
				_, err := callEcho(context.Background(), near, far.Address(), "x")
				return err
			})
		})
	}
}
