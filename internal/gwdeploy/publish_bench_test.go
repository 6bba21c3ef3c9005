package gwdeploy

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwpeer"
)

// publishTarget is the target for the time from publishing a manifest until it is in force
// on every instance.
const publishTarget = 2 * time.Second

// BenchmarkPublish measures the time from publishing a manifest, through an instance that
// is not a voter, until it is in force on all seven instances. Run with -benchtime=30x.
func BenchmarkPublish(b *testing.B) {
	d := startTest(b, Options{Delay: true})
	entry := d.Instance("rennes-a-2")
	operator := operatorNode(b, d)
	m := *d.manifest
	var took []time.Duration
	b.ResetTimer()
	for b.Loop() {
		m.Number++
		text, err := json.Marshal(&m)
		require.NoError(b, err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		started := time.Now()
		_, err = gwpeer.Call[gwcontrol.PublishRequest, gwcontrol.PublishResult](ctx, operator, entry.Settings.PeerAddress, gwdaemon.KindOperatorPublish, gwcontrol.PublishRequest{Text: text})
		require.NoError(b, err)
		for _, n := range d.Instances() {
			for n.Instance().View().Number < m.Number {
				require.NoError(b, ctx.Err(), "not in force on %s", n.Settings.Instance)
				time.Sleep(200 * time.Microsecond)
			}
		}
		took = append(took, time.Since(started))
		cancel()
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "max-ms")
	require.LessOrEqual(b, took[len(took)-1], publishTarget)
}

// operatorNode returns a node with an operator's certificate, to call the instances.
func operatorNode(b testing.TB, d *Deployment) *gwpeer.Node {
	cert, err := d.authority.IssueOperator("bench")
	require.NoError(b, err)
	id, err := gwpeer.NewIdentity(d.authority.CertificatePEM(), cert.CertificatePEM, cert.KeyPEM)
	require.NoError(b, err)
	n, err := gwpeer.Listen(context.Background(), gwpeer.Options{Address: "127.0.0.1:0", TLS: gwpeer.NewMemorySource(id), Instance: "bench"})
	require.NoError(b, err)
	b.Cleanup(func() { _ = n.Close() })
	return n
}
