package gwsoak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var runFailed = flag.Bool("soak.failed", false, "run the seeds that have failed")

const (
	causeLateCall = "a call to the platform came after the next leader's, with a lower fence (issue 32)"
	causeNewID    = "a crashed server that returned with its log under a new id was waited for without end (issue 33)"
)

// failedSeeds has every seed that failed, with what it was and the cause.
var failedSeeds = []struct {
	scenario string
	seed     uint64
	total    time.Duration
	cause    string
}{
	{"stoppedCaller", 1, 15 * time.Second, causeLateCall},
	{"stoppedCaller", 2, 15 * time.Second, causeLateCall},
	{"stoppedConfirming", 1, 15 * time.Second, causeLateCall},
	{"stoppedConfirming", 2, 15 * time.Second, causeLateCall},
	{"stoppedConfirming", 3, 15 * time.Second, causeLateCall},
	{"flappingLinks", 1, 15 * time.Second, causeNewID},
	{"flappingLinks", 2, 15 * time.Second, causeNewID},
	{"random", 2, 12 * time.Second, causeNewID},
	{"random", 8, 12 * time.Second, causeNewID},
	{"random", 11, 12 * time.Second, causeNewID},
	{"random", 12, 12 * time.Second, causeNewID},
	{"random", 13, 12 * time.Second, causeNewID},
	{"random", 16, 12 * time.Second, causeNewID},
}

// Guards against faults that the soak has found before. It takes half a minute per seed and
// is run by hand.
func TestFailedSeeds(t *testing.T) {
	if !*runFailed {
		t.Skip("run by hand with -soak.failed")
	}
	for _, test := range failedSeeds {
		t.Run(fmt.Sprintf("%s-%d", test.scenario, test.seed), func(t *testing.T) {
			r := play(t, test.scenario, test.seed, test.total)
			assert.Empty(t, r.Violations, "failed before: %s", test.cause)
		})
	}
}
