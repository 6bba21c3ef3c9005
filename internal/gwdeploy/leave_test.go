package gwdeploy

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwmember"
)

// Guards against an idle instance that closes its links before it has notified the others
// that it leaves, so that they declare it dead.
func TestPlannedStopIsAnnounced(t *testing.T) {
	d := startTest(t, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, n := range d.Instances()[1:] {
		require.NoError(t, d.Stop(ctx, n))
		assert.Eventually(t, func() bool {
			return d.Instances()[0].Instance().MemberState(n.Settings.Instance) == gwmember.StatusLeft
		}, 5*time.Second, 5*time.Millisecond, "%s", n.Settings.Instance)
	}
}
