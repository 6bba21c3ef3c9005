package gwload

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gentianward.example/gentianward/internal/gwtrace"
)

// Summary holds the main figures of a run, for comparison with other runs.
type Summary struct {
	Run          string                   `json:"run"`
	Deployment   string                   `json:"deployment"`
	Routing      string                   `json:"routing"`
	ReplicaShare float64                  `json:"replicaShare"`
	P99          map[string]time.Duration `json:"p99"`
	RegionBytes  int64                    `json:"regionBytes"`
	MaxGap       time.Duration            `json:"maxGap"`
	Violations   int64                    `json:"violations"`
	Mismatches   int64                    `json:"mismatches"`
	Done         int64                    `json:"done"`
	NotRun       int64                    `json:"notRun"`
	Unknown      int64                    `json:"unknown"`
	Failed       int64                    `json:"failed"`
	Dropped      int64                    `json:"dropped"`
}

// Summarize returns the summary of a run under the given name.
func (r *Report) Summarize(name string) Summary {
	s := Summary{
		Run: name, Deployment: r.Deployment, Routing: r.Routing, ReplicaShare: r.ReplicaShare(),
		P99: make(map[string]time.Duration), RegionBytes: r.RegionBytes(), MaxGap: r.MaxGap(), Violations: r.Violations(),
		Mismatches: r.MismatchCount(),
	}
	for _, c := range r.Classes {
		s.P99[c.Class] = c.P99
		s.Done += c.Outcomes[gwtrace.Done]
		s.NotRun += c.Outcomes[gwtrace.NotRun]
		s.Unknown += c.Outcomes[gwtrace.Unknown]
		s.Failed += c.Outcomes[gwtrace.Failed]
		s.Dropped += c.Dropped
	}
	return s
}

// comparisonRow is one row of the table that compares runs.
type comparisonRow struct {
	name  string
	value func(*Report) string
	// number is the value for the ratio of two runs; nil for a row of text.
	number func(*Report) float64
}

// countRow returns a row for a count of the summary.
func countRow(name string, f func(Summary) int64) comparisonRow {
	return comparisonRow{
		name:   name,
		value:  func(r *Report) string { return fmt.Sprint(f(r.Summarize(""))) },
		number: func(r *Report) float64 { return float64(f(r.Summarize(""))) },
	}
}

// comparisonRows returns the rows of the table, with latencies of the first run's classes.
func comparisonRows(first *Report) []comparisonRow {
	out := []comparisonRow{
		{name: "deployment", value: func(r *Report) string { return r.Deployment }},
		{name: "routing", value: func(r *Report) string { return r.Routing }},
		{name: "rate /s", value: func(r *Report) string { return fmt.Sprintf("%g for %s", r.Rate, r.Duration) }},
		{name: "replica share", value: func(r *Report) string { return fmt.Sprintf("%.3f", r.ReplicaShare()) }, number: (*Report).ReplicaShare},
		{name: "bytes between regions", value: func(r *Report) string { return fmt.Sprint(r.RegionBytes()) }, number: func(r *Report) float64 { return float64(r.RegionBytes()) }},
		{name: "longest gap", value: func(r *Report) string { return r.MaxGap().Round(time.Millisecond).String() }, number: func(r *Report) float64 { return float64(r.MaxGap()) }},
		countRow("violations", func(s Summary) int64 { return s.Violations }),
		countRow("mismatches", func(s Summary) int64 { return s.Mismatches }),
		countRow("done", func(s Summary) int64 { return s.Done }),
		countRow("not run", func(s Summary) int64 { return s.NotRun }),
		countRow("unknown", func(s Summary) int64 { return s.Unknown }),
		countRow("failed", func(s Summary) int64 { return s.Failed }),
		countRow("dropped", func(s Summary) int64 { return s.Dropped }),
	}
	for _, c := range first.Classes {
		for _, q := range []struct {
			name string
			of   func(ClassReport) time.Duration
		}{
			{"p50", func(c ClassReport) time.Duration { return c.P50 }},
			{"p99", func(c ClassReport) time.Duration { return c.P99 }},
			{"max", func(c ClassReport) time.Duration { return c.Max }},
		} {
			of := func(r *Report) time.Duration { return q.of(r.classReport(c.Class)) }
			out = append(out, comparisonRow{
				name:   c.Class + " " + q.name,
				value:  func(r *Report) string { return of(r).Round(10 * time.Microsecond).String() },
				number: func(r *Report) float64 { return float64(of(r)) },
			})
		}
	}
	return out
}

func (r *Report) classReport(name string) ClassReport {
	for _, c := range r.Classes {
		if c.Class == name {
			return c
		}
	}
	return ClassReport{}
}

// PrintText prints a table of the runs side by side, with the ratio of the second to
// the first for two runs, followed by the gaps of each run.
func PrintText(w io.Writer, names []string, runs []*Report) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprint(t, "run")
	for _, n := range names {
		fmt.Fprint(t, "\t", n)
	}
	if len(runs) == 2 {
		fmt.Fprint(t, "\tratio")
	}
	fmt.Fprintln(t)
	for _, row := range comparisonRows(runs[0]) {
		fmt.Fprint(t, row.name)
		for _, r := range runs {
			fmt.Fprint(t, "\t", row.value(r))
		}
		if len(runs) == 2 && row.number != nil && row.number(runs[0]) != 0 {
			fmt.Fprintf(t, "\t%.2f", row.number(runs[1])/row.number(runs[0]))
		}
		fmt.Fprintln(t)
	}
	for i, r := range runs {
		for _, g := range r.Gaps {
			fmt.Fprintf(t, "%s\t%s at %s\t%s\t%s open=%v\n", cmp.Or(names[i], "gap"), g.Fault, g.At.Round(time.Millisecond), g.Group, g.Gap.Round(time.Millisecond), g.Open)
		}
	}
	_ = t.Flush()
}
