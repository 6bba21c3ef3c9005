package gwtrace

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// Guards against replays whose results differ from the expected outcomes, in short
// traces of both deployments with and without the loss of a primary, and against
// steps lost when a trace is written and read.
func TestReplay(t *testing.T) {
	tests := []GenerateOptions{
		{Deployment: gwdeploy.Ecodour, Scenario: Quiet, Seed: 7, Duration: time.Second},
		{Deployment: gwdeploy.Hanbit, Scenario: Quiet, Seed: 7, Duration: time.Second},
		{Deployment: gwdeploy.Ecodour, Scenario: PrimaryLost, Seed: 1, Duration: 2 * time.Second},
		{Deployment: gwdeploy.Hanbit, Scenario: PrimaryLost, Seed: 1, Duration: 2 * time.Second},
	}
	for _, o := range tests {
		t.Run(o.Deployment+"/"+o.Scenario, func(t *testing.T) {
			tr, err := Generate(o)
			require.NoError(t, err)
			var text bytes.Buffer
			require.NoError(t, tr.Write(&text))
			read, err := Read(&text)
			require.NoError(t, err)
			res, err := Replay(context.Background(), read, ReplayOptions{Speed: 2, Delay: true})
			require.NoError(t, err)
			require.Equal(t, len(tr.Steps), res.Steps)
			require.Empty(t, res.Differences)
		})
	}
}

// Guards against a planned stop that leaves the outcome of a request unknown.
func TestReplayRollingRestart(t *testing.T) {
	tr, err := Generate(GenerateOptions{Deployment: gwdeploy.Hanbit, Scenario: RollingRestart, Seed: 6, Duration: 8 * time.Second})
	require.NoError(t, err)
	res, err := Replay(context.Background(), tr, ReplayOptions{Delay: true})
	require.NoError(t, err)
	require.Empty(t, res.Differences)
}
