package gwload

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwtrace"
)

// Guards against a gap that leaves out the time before the first or after the
// last acknowledged write, and against acknowledgments recorded out of order.
func TestGap(t *testing.T) {
	tests := []struct {
		name        string
		acks        []time.Duration
		from, until time.Duration
		want        time.Duration
		open        bool
	}{
		{"closed", []time.Duration{1, 2, 9, 10}, 3, 11, 7, false},
		{"out of order", []time.Duration{10, 1, 9, 2}, 3, 11, 7, false},
		{"after the fault", []time.Duration{1, 4, 5, 9, 10}, 3, 11, 4, false},
		{"open", []time.Duration{1, 2}, 3, 11, 9, true},
		{"open after some", []time.Duration{1, 4, 5}, 3, 11, 6, true},
		{"none", nil, 3, 11, 8, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecorder(time.Second)
			for _, a := range tt.acks {
				r.add(sample{class: "c", group: "g", write: true, end: a, outcome: gwtrace.Done})
			}
			gap, open := r.gap("g", tt.from, tt.until)
			require.Equal(t, tt.want, gap)
			require.Equal(t, tt.open, open)
		})
	}
}

// Guards against a ring that returns a write acknowledged after the requested time.
func TestRing(t *testing.T) {
	r := &ring{}
	for i := range 3 * ringSize {
		r.add(ackedWrite{at: time.Duration(i)})
	}
	for n := range uint64(2 * ringSize) {
		a, ok := r.pick(n, 3*ringSize-10)
		require.True(t, ok)
		require.LessOrEqual(t, a.at, time.Duration(3*ringSize-10))
	}
	_, ok := r.pick(0, ringSize)
	require.False(t, ok)
}

// Guards against a check of records that overlooks a change, and against records without
// the bytes that are changed somewhere.
func TestCheckRecord(t *testing.T) {
	subject := newSubject(3)
	all := ""
	for n := range uint64(1000) {
		r := newRecord(7, n, subject)
		all += r.Body
		require.Equal(t, r, newRecord(7, n, subject))
		require.Empty(t, checkRecord(7, r, subject))
		for _, change := range []func(r *record){
			func(r *record) { r.ID = strings.TrimSpace(r.ID) },
			func(r *record) { r.Subject = strings.ReplaceAll(r.Subject, "\r", "") },
			func(r *record) { r.Body += " " },
			func(r *record) { r.Data = append(bytes.Clone(r.Data), 0) },
			func(r *record) { r.ID = newRecord(7, n+1, subject).ID },
		} {
			changed := r
			change(&changed)
			require.NotEmpty(t, checkRecord(7, changed, subject), "%+v", changed)
		}
	}
	for _, p := range gwtrace.HostilePieces {
		require.Contains(t, all, p)
	}
}

// Guards against a load run with lost requests or with reads that miss acknowledged
// writes, and against failures to write its run file, table and plots.
func TestRunAndReport(t *testing.T) {
	r, err := Run(context.Background(), Options{Deployment: gwdeploy.Ecodour, Rate: 100, Duration: time.Second, Connections: 500, Seed: 1, Delay: true})
	require.NoError(t, err)
	s := r.Summarize("")
	require.NotZero(t, s.Done)
	require.Zero(t, s.NotRun+s.Unknown+s.Failed+s.Dropped+s.Violations+s.Mismatches, "%+v %q", s, r.Mismatches)
	folder := t.TempDir()
	name := filepath.Join(folder, "run.json")
	require.NoError(t, WriteRun(name, r))
	read, err := ReadRun(name)
	require.NoError(t, err)
	require.Equal(t, r.Classes, read.Classes)
	var text bytes.Buffer
	PrintText(&text, []string{"a", "b"}, []*Report{r, read})
	require.Contains(t, text.String(), "replica share")
	for _, format := range []string{"svg", "png"} {
		files, err := Draw(folder, format, []string{"a", "b"}, []*Report{r, read})
		require.NoError(t, err)
		for _, f := range files {
			require.FileExists(t, f)
		}
	}
}
