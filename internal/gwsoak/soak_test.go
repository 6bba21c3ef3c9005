package gwsoak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// buildProgram builds the program of the instances.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gentianward-soak")
	out, err := exec.Command("go", "build", "-o", path, "gentianward.example/gentianward/cmd/gentianward-soak").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// play plays a scenario, and logs the report if a rule was broken.
func play(t *testing.T, s Scenario, seed uint64, total time.Duration) Report {
	t.Helper()
	return playWith(t, s, seed, total, 0)
}

// playWith plays a scenario with syncs that take more time.
func playWith(t *testing.T, s Scenario, seed uint64, total, sync time.Duration) Report {
	t.Helper()
	r, err := Play(t.Context(), Options{Program: buildProgram(t), Scenario: s, Seed: seed, For: total, Sync: sync, Folder: t.TempDir()})
	require.NoError(t, err)
	if !r.Held() {
		var text strings.Builder
		r.WriteText(&text)
		t.Log(text.String())
	}
	return r
}

func named(t *testing.T, name string) Scenario {
	t.Helper()
	s, ok := FindScenario(name)
	require.True(t, ok, name)
	return s
}

// violations returns the details of the violations of a rule.
func violations(r Report, rule Rule) []string {
	var out []string
	for _, v := range r.Violations {
		if v.Rule == rule {
			out = append(out, v.Group+": "+v.Detail)
		}
	}
	return out
}

// Guards against a call to the platform that was written and not delivered when its sender
// was stopped: it reached the platform after the call of the next leader, with a lower fence.
func TestStoppedCaller(t *testing.T) {
	r := play(t, named(t, "stoppedCaller"), 1, time.Second)
	assert.Empty(t, violations(r, RuleOne))
	assert.Empty(t, violations(r, RuleLost))
}

// Guards against a call to the platform by a leader that was stopped after the quorum had
// confirmed it: continued, it sent the call although another led.
func TestStoppedConfirming(t *testing.T) {
	r := play(t, named(t, "stoppedConfirming"), 1, time.Second)
	assert.Empty(t, violations(r, RuleOne))
	assert.Empty(t, violations(r, RuleLost))
}

// Guards against a successor that has all data and no vote when its predecessor ends, so that
// the next lost disk leaves one voter of three for good (issue 39).
func TestSuccessorWithoutVote(t *testing.T) {
	r := play(t, named(t, "besideControl"), 7, time.Second)
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Counts["configurations"])
}

// Guards against an added instance that takes the seat of the older one of its data centre: it
// was removed, and the seat was not taken back before the next disk was lost.
func TestSeatOfRemovedInstance(t *testing.T) {
	steps := []Step{
		{Action: AddControl{Zone: 1, Ending: Ending{After: catchUpLimit, Kill: true}}},
		{At: catchUpLimit + time.Second/2, For: time.Second, Action: LoseNext{Control: 0}},
	}
	r := play(t, Scenario{Name: "removed", play: func(ctx context.Context, r *Run) {
		if sleep(ctx, catchUpLimit) {
			r.playSteps(ctx, steps)
		}
	}}, 1, time.Second)
	assert.Empty(t, r.Violations)
}

// Guards against a new member that is sent the history before it can vote: it had no vote 4 s after
// its start, when the pages let the next disk be lost (issue 42).
func TestHistoryBeforeVote(t *testing.T) {
	r := play(t, Scenario{Name: "history", play: func(ctx context.Context, r *Run) {
		r.publishHistory(ctx, 120, 250_000)
		control := r.controls()
		far := control[len(control)-1] // the leader is in the other region
		r.lose(ctx, r.wiping(far), false, time.Second, 0)
		r.await(ctx, far, lossWait, func(d *redundancy) bool { return len(d.restoring) == 0 })
	}}, 1, time.Second)
	assert.Empty(t, r.Violations)
	assert.Len(t, r.Newcomers, 1)
}

// Guards against programs that do not keep the promises of the pages under faults of all
// kinds: a short run of the soak. Longer ones are run by hand (docs/soak.md).
func TestShortSoak(t *testing.T) {
	const seed, total = 4, 8 * time.Second
	r := play(t, named(t, "random"), seed, total)
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Counts["writes"])
	assert.Positive(t, r.Counts["configurations"])
}

// Guards against data with a lone CR or LF, text that looks like messages, or bytes that are no
// text, which is changed on its way, fails its statement, or puts a server out of service for
// other callers (issue 45).
func TestHostileDataIsChanged(t *testing.T) {
	r := play(t, named(t, "hostileData"), 1, time.Second)
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Counts["pieces of hostile data"])
}
