package gwtrace

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// Guards against differences in short traces of both deployments, and against
// a trace that changes when it is written and read.
func TestReplayQuiet(t *testing.T) {
	for _, deployment := range []string{gwdeploy.Ecodour, gwdeploy.Hanbit} {
		t.Run(deployment, func(t *testing.T) {
			tr, err := Generate(GenerateOptions{Deployment: deployment, Scenario: Quiet, Seed: 7, Duration: 2 * time.Second})
			require.NoError(t, err)
			var text bytes.Buffer
			require.NoError(t, tr.Write(&text))
			read, err := Read(&text)
			require.NoError(t, err)
			res, err := Replay(context.Background(), read, ReplayOptions{Speed: 4, Delay: true})
			require.NoError(t, err)
			require.Equal(t, len(tr.Steps), res.Steps)
			require.Empty(t, res.Differences)
		})
	}
}
