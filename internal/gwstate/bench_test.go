package gwstate

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwsession"
)

// groupsAtScale is the number of groups at the target scale.
const groupsAtScale = 3300

// scaleManifest returns a text like that of a manifest at the target scale.
func scaleManifest(number uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{\"number\": %d, \"databases\": [\n", number)
	for i := range groupsAtScale {
		fmt.Fprintf(&b, "  {\"name\": \"database-%04d\", \"groups\": [{\"name\": \"database-%04d-g1\", \"copies\": 3, \"allowLoss\": false}]},\n", i, i)
	}
	b.WriteString("]}\n")
	return b.String()
}

// scaleState returns a state with the groups of the target scale and a lease for each.
func scaleState(t require.TestingT, manifests uint64) *machine {
	m := newMachine(t)
	for i := range manifests {
		m.apply(manifest(i+1, scaleManifest(i+1)))
	}
	for i := range groupsAtScale {
		name := fmt.Sprintf("database-%04d-g1", i)
		m.apply(StartGroup{Group: name, Primary: name + "-s1", Term: 1, Start: gwsession.Position{Term: 1}})
		m.apply(renewal(i))
	}
	return m
}

// renewal returns the command that renews the only lease of a holder.
func renewal(i int) GrantLeases {
	return GrantLeases{
		Holder: fmt.Sprintf("instance-%04d", i%3000), Incarnation: 1_000_000,
		Leases: []LeaseRequest{{Group: fmt.Sprintf("database-%04d-g1", i), Term: 1, Duration: 2 * time.Second}},
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkScale measures the size of the state at the target scale, without
// manifests and with 20, and the cost of a snapshot.
func BenchmarkScale(b *testing.B) {
	for _, manifests := range []uint64{0, 20} {
		b.Run(fmt.Sprint(manifests, "manifests"), func(b *testing.B) {
			_ = compress(nil) // so that the compressor's memory does not count as the state's
			before := heap()
			m := scaleState(b, manifests)
			used := heap() - before
			var data []byte
			for b.Loop() {
				var err error
				data, err = m.state.Snapshot()
				require.NoError(b, err)
			}
			b.ReportMetric(float64(used), "heap-B")
			b.ReportMetric(float64(len(data)), "snapshot-B")
			raw, err := decompress(data)
			require.NoError(b, err)
			b.ReportMetric(float64(len(raw)), "unpacked-B")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkRenew measures the rate at which lease renewals are applied and their
// size in the log, with one and with 100 renewals per entry.
func BenchmarkRenew(b *testing.B) {
	for _, size := range []int{1, 100} {
		b.Run(fmt.Sprint(size, "holders"), func(b *testing.B) {
			m := scaleState(b, 0)
			var batch Batch
			for i := range size {
				batch.Commands = append(batch.Commands, renewal(i))
			}
			var cmd Command = batch
			if size == 1 {
				cmd = batch.Commands[0]
			}
			data, err := Encode(cmd, start)
			require.NoError(b, err)
			index, done := m.state.Index(), 0
			for b.Loop() {
				index++
				done += size
				m.state.Apply(index, data, start)
			}
			b.ReportMetric(float64(done)/b.Elapsed().Seconds(), "renewals/s")
			b.ReportMetric(float64(len(data))/float64(size), "B/renewal")
		})
	}
}

// largestConfiguration is the size of the largest configuration that the soak publishes.
const largestConfiguration = 500_000

// BenchmarkLargestState measures the snapshot of the largest state of a deployment: 3,300 groups with
// leases, copies and a change of primary each, 1,000 digests and kept texts of 500,000 bytes. Run
// with -benchtime=10x.
func BenchmarkLargestState(b *testing.B) {
	for _, texts := range []struct {
		name string
		of   func(uint64) string
	}{
		{"textsLikeManifests", func(number uint64) string {
			text := scaleManifest(number)
			return text + text[:largestConfiguration-len(text)]
		}},
		{"textsThatHardlyCompress", func(number uint64) string { return randomText(number, largestConfiguration) }},
	} {
		b.Run(texts.name, func(b *testing.B) {
			m := scaleState(b, 0)
			for i := range groupsAtScale {
				name := fmt.Sprintf("database-%04d-g1", i)
				copies := make([]CopyRef, 3)
				for c := range copies {
					copies[c] = CopyRef{Server: fmt.Sprintf("%s-s%d", name, c), Born: uint64(1_000_000 + i), Address: fmt.Sprintf("10.%d.%d.%d:5432", c, i/250, i%250)}
				}
				m.apply(SetCopies{Group: name, Term: 1, Copies: copies})
				m.apply(BeginChange{Group: name, FromTerm: 1, Reason: "the primary does not answer"})
				m.apply(NamePromotion{Group: name, Attempt: 2, Server: name + "-s2", Fence: 7, Holder: "instance-0001"})
			}
			for i := range uint64(keptDigests) {
				text := fmt.Sprint(i)
				if i >= keptDigests-keptTexts-1 {
					text = texts.of(i)
				}
				m.apply(manifest(i+1, text))
			}
			var data []byte
			for b.Loop() {
				var err error
				data, err = m.state.Snapshot()
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-B")
			started := time.Now()
			require.NoError(b, New(0.01).Restore(data, start))
			b.ReportMetric(float64(time.Since(started).Microseconds())/1000, "restore-ms")
		})
	}
}
