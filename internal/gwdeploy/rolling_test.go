package gwdeploy

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a deployment that does not become ready for writes again after all its
// instances were gracefully restarted one after another.
func TestRollingRestart(t *testing.T) {
	for _, deployment := range []string{Ecodour, Hanbit} {
		t.Run(deployment, func(t *testing.T) {
			p, err := NewPlan(deployment)
			require.NoError(t, err)
			d := startTest(t, Options{Plan: p, Delay: true})
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			for _, n := range d.Instances() {
				require.NoError(t, d.Stop(ctx, n))
				time.Sleep(500 * time.Millisecond)
				require.NoError(t, d.Restart(ctx, n))
				time.Sleep(500 * time.Millisecond)
			}
			ready, done := context.WithTimeout(ctx, 12*time.Second)
			defer done()
			require.NoError(t, d.WaitReady(ready))
		})
	}
}
