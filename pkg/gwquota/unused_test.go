package gwquota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// exchange carries the reports of an agent to a ledger and the answers back for a while, and
// returns the time after it.
func exchange(t *testing.T, l *Ledger, name string, a *Agent, now time.Time) time.Time {
	t.Helper()
	for range 4 {
		now = now.Add(200 * time.Millisecond)
		a.Measure(now)
		r, due := a.Report(now)
		if !due {
			continue
		}
		answer, ok, err := l.Handle(now, name, r)
		require.NoError(t, err)
		if ok {
			a.Apply(now, answer)
		}
	}
	return now
}

// Guards against operations that are given out for a time in which a share may have been used:
// that of a recorded holder which has not reported, or went on, or of one that the log has
// dropped before the term. In trials the first allowed 1,739 operations in 5 s of 1,578, the
// last 1,596.
func TestOnlyUnusedTimeIsFilled(t *testing.T) {
	limits := map[string]Limit{modelCustomer: NewLimit(236, 236, testRules)}
	newRun := func(epoch uint64, began time.Time, wanted bool) *Agent {
		a := NewAgent(epoch, began)
		a.SetLimits(began, limits)
		a.SetWanted(func(string) bool { return wanted })
		return a
	}
	admitted := func(a *Agent, now time.Time) int {
		n := 0
		for a.Admit(now, modelCustomer, false).Outcome == Granted {
			n++
		}
		return n
	}
	start := testStart.Add(time.Minute)
	for _, tt := range []struct {
		name    string
		holders []string
		// reports are the restarted instances that report at once, without shares.
		reports []string
		began   time.Duration // of the run that asks for shares, before the term
		after   time.Duration // the start of the term
		// unused is the time in which nobody can have used the share, in seconds of the rate.
		unused float64
	}{
		{"a holder has not reported", []string{"a", "b", "c"}, []string{"a"}, 10 * time.Second, CountedValidity + time.Second, 0.6},
		{"runs that are older than the term", []string{"a", "b"}, []string{"a"}, 10 * time.Second, 0, 0.8},
	} {
		l := NewLedger(start, Earlier{Holders: tt.holders}, true)
		l.SetLimits(limits, 1)
		for _, name := range tt.reports {
			exchange(t, l, name, newRun(2, start.Add(-tt.began), false), start)
		}
		b := newRun(2, start.Add(-tt.began), true)
		now := exchange(t, l, "b", b, start.Add(tt.after))
		assert.LessOrEqual(t, float64(admitted(b, now)), tt.unused*limits[modelCustomer].Rate+1, tt.name)
	}
}
