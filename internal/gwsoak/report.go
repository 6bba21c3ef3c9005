package gwsoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Report says what a run did and found. Durations in JSON are text.
type Report struct {
	Seed       uint64            `json:"seed"`
	Scenario   string            `json:"scenario"`
	Program    string            `json:"program"`
	Started    time.Time         `json:"started"`
	Took       string            `json:"took"`
	Schedule   []string          `json:"schedule,omitempty"`
	Counts     map[string]int    `json:"counts"`
	Gaps       map[string]string `json:"gaps"`       // longest time without an acknowledged write, by group
	Waited     string            `json:"waited"`     // longest time that a configuration waited with a connected majority
	StoodStill string            `json:"stoodStill"` // longest time for which the soak itself stood still
	Usage      map[string]string `json:"usage"`      // highest descriptors and memory of a process, by what it serves
	Newcomers  []Newcomer        `json:"newcomers"`
	Violations []Violation       `json:"violations"`
	Events     []Event           `json:"events"`
}

// Held reports whether no rule was broken.
func (r Report) Held() bool { return len(r.Violations) == 0 }

const (
	// logSpan is how long before and after a violation the lines of logs are taken, and
	// maxLogLines how many at most.
	logSpan     = 1500 * time.Millisecond
	maxLogLines = 60
)

func (r *Run) report(started time.Time) Report {
	newcomers := r.newcomers()
	r.check.mu.Lock()
	defer r.check.mu.Unlock()
	c := r.check
	out := Report{
		Seed: r.o.Seed, Scenario: r.o.Scenario.Name, Program: filepath.Base(r.o.Program), Started: started,
		Took: time.Since(started).Round(time.Millisecond).String(), Schedule: r.steps, Counts: maps.Clone(c.counts),
		Gaps: make(map[string]string), Newcomers: newcomers, Violations: slices.Clone(c.violations), Events: c.events,
	}
	out.Usage = map[string]string{"callers": r.usageOf(true).String(), "control": r.usageOf(false).String()}
	for g, d := range c.gaps {
		out.Gaps[g] = d.Round(time.Millisecond).String()
	}
	r.operator.mu.Lock()
	out.Waited = r.operator.longest.String()
	r.operator.mu.Unlock()
	r.mu.Lock()
	out.StoodStill = r.stoodStill.Round(time.Millisecond).String()
	r.mu.Unlock()
	for i := range out.Violations {
		out.Violations[i].Log = r.logsAround(out.Violations[i].At)
	}
	return out
}

// logsAround returns the lines of all processes around a time, in the order of time.
func (r *Run) logsAround(at time.Time) []string {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, p := range r.everyProcess() {
		f, err := os.Open(p.logPath())
		if err != nil {
			continue
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			var l struct{ Time time.Time }
			if json.Unmarshal(s.Bytes(), &l) == nil && l.Time.Sub(at).Abs() < logSpan {
				lines = append(lines, line{l.Time, p.settings.Name + " " + s.Text()})
			}
		}
		f.Close()
	}
	slices.SortFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	var out []string
	for _, l := range lines[:min(len(lines), maxLogLines)] {
		out = append(out, l.text)
	}
	return out
}

// WriteText writes the report as text, without the events.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s seed %d, %s: %d violations\n", r.Scenario, r.Seed, r.Took, len(r.Violations))
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, "  %s: %d\n", k, r.Counts[k])
	}
	for _, g := range slices.Sorted(maps.Keys(r.Gaps)) {
		fmt.Fprintf(w, "  longest time without a write of %s: %s\n", g, r.Gaps[g])
	}
	fmt.Fprintf(w, "  longest wait of a configuration with a connected majority: %s\n", r.Waited)
	fmt.Fprintf(w, "  longest standstill of the soak itself: %s\n", r.StoodStill)
	for _, k := range slices.Sorted(maps.Keys(r.Usage)) {
		fmt.Fprintf(w, "  highest use of a process that serves %s: %s\n", k, r.Usage[k])
	}
	for _, n := range r.Newcomers {
		fmt.Fprintf(w, "  %s\n", n)
	}
	for _, s := range r.Schedule {
		fmt.Fprintf(w, "  %s\n", s)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "%s %s %s: %s\n", v.At.UTC().Format("15:04:05.000"), v.Rule, v.Group, v.Detail)
		for _, l := range v.Log {
			fmt.Fprintf(w, "    %s\n", l)
		}
	}
}
