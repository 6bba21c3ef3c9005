package gwload

import (
	"cmp"
	"encoding/json"
	"maps"
	"os"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwtrace"
)

// RunFormat and RunVersion identify the format of a run file.
const (
	RunFormat  = "gentianwardRun"
	RunVersion = 1
)

// Report is the result of a load run. A run file is a report as JSON, with
// durations in nanoseconds.
type Report struct {
	Format      string          `json:"format"`
	Version     int             `json:"version"`
	Deployment  string          `json:"deployment"`
	Routing     string          `json:"routing"`
	Delay       bool            `json:"delay"`
	Rate        float64         `json:"rate"`
	Connections int             `json:"connections"`
	Seed        uint64          `json:"seed"`
	Duration    time.Duration   `json:"duration"`
	Ramp        time.Duration   `json:"ramp"`
	Classes     []ClassReport   `json:"classes"`
	Points      []Point         `json:"points"`
	Faults      []InjectedFault `json:"faults,omitempty"`
	Gaps        []Gap           `json:"gaps,omitempty"`
	// ReplicaReads and PrimaryReads are the numbers of reads that replicas and
	// primaries answered.
	ReplicaReads uint64    `json:"replicaReads"`
	PrimaryReads uint64    `json:"primaryReads"`
	Traffic      []Traffic `json:"traffic"`
	// Slowest lists the slowest of the requests that were done, slowest first.
	Slowest []SlowRequest `json:"slowest"`
	// Mismatches describes the first reads that returned other data than were written.
	Mismatches []string `json:"mismatches,omitempty"`
}

// SlowRequest is one of the slowest requests of a run.
type SlowRequest struct {
	Class    string        `json:"class"`
	Group    string        `json:"group"`
	Instance string        `json:"instance"`
	Write    bool          `json:"write,omitempty"`
	Due      time.Duration `json:"due"`
	Latency  time.Duration `json:"latency"`
}

// ClassReport summarizes the requests of one class.
type ClassReport struct {
	Class    string                    `json:"class"`
	Outcomes map[gwtrace.Outcome]int64 `json:"outcomes"`
	// Violations is the number of reads that missed a write acknowledged longer ago
	// than the accepted staleness.
	Violations int64 `json:"violations"`
	// Mismatches is the number of reads with a row that is not exactly what was written.
	Mismatches int64 `json:"mismatches"`
	// Dropped is the number of arrivals not sent because too many requests were in flight.
	Dropped int64         `json:"dropped"`
	P50     time.Duration `json:"p50"`
	P90     time.Duration `json:"p90"`
	P99     time.Duration `json:"p99"`
	P999    time.Duration `json:"p999"`
	Max     time.Duration `json:"max"`
}

// Point holds the latencies and outcomes of one class in one interval of due times.
type Point struct {
	At       time.Duration             `json:"at"`
	Class    string                    `json:"class"`
	Count    int64                     `json:"count"`
	P50      time.Duration             `json:"p50"`
	P99      time.Duration             `json:"p99"`
	Outcomes map[gwtrace.Outcome]int64 `json:"outcomes"`
}

// InjectedFault is a fault of a run with the time and the error of its injection.
type InjectedFault struct {
	At    time.Duration `json:"at"`
	Fault string        `json:"fault"`
	Group string        `json:"group,omitempty"`
	Error string        `json:"error,omitempty"`
}

// Gap is the longest time without an acknowledged write of a group after a fault.
type Gap struct {
	Fault string        `json:"fault"`
	At    time.Duration `json:"at"`
	Group string        `json:"group"`
	Gap   time.Duration `json:"gap"`
	Open  bool          `json:"open,omitempty"`
}

// Traffic is the number of bytes sent from one region to another.
type Traffic struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
}

// ReplicaShare returns the share of reads that replicas answered, 0 without reads.
func (r *Report) ReplicaShare() float64 {
	if r.ReplicaReads+r.PrimaryReads == 0 {
		return 0
	}
	return float64(r.ReplicaReads) / float64(r.ReplicaReads+r.PrimaryReads)
}

// RegionBytes returns the total number of bytes sent between regions.
func (r *Report) RegionBytes() int64 {
	var n int64
	for _, t := range r.Traffic {
		n += t.Bytes
	}
	return n
}

// Violations returns the total number of violations of all classes.
func (r *Report) Violations() int64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Violations
	}
	return n
}

// MismatchCount returns the total number of mismatches of all classes.
func (r *Report) MismatchCount() int64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Mismatches
	}
	return n
}

// MaxGap returns the longest failover gap, 0 without faults.
func (r *Report) MaxGap() time.Duration {
	var d time.Duration
	for _, g := range r.Gaps {
		d = max(d, g.Gap)
	}
	return d
}

// report returns the report of the run without the reads and the traffic, which run
// adds. The gaps after a fault are measured up to the next fault or the end of the run.
func (l *load) report() *Report {
	rec := l.generator.rec
	r := &Report{
		Format: RunFormat, Version: RunVersion, Deployment: l.Deployment, Routing: l.Routing, Delay: l.Delay,
		Rate: l.Rate, Connections: l.Connections, Seed: l.Seed, Duration: l.Duration, Ramp: l.Ramp, Faults: rec.faults, Slowest: rec.slowest, Mismatches: rec.mismatches,
	}
	for _, name := range slices.Sorted(maps.Keys(rec.classes)) {
		r.Classes = append(r.Classes, rec.classes[name].report(name))
		r.Points = append(r.Points, rec.points(name)...)
	}
	for i, f := range rec.faults {
		until := l.Duration
		if i+1 < len(rec.faults) {
			until = rec.faults[i+1].At
		}
		for _, g := range l.d.Groups() {
			if f.Group != "" && f.Group != g {
				continue
			}
			gap, open := rec.gap(g, f.At, until)
			r.Gaps = append(r.Gaps, Gap{Fault: f.Fault, At: f.At, Group: g, Gap: gap, Open: open})
		}
	}
	return r
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (c *classStats) report(name string) ClassReport {
	return ClassReport{
		Class: name, Outcomes: c.outcomes, Violations: c.violations, Mismatches: c.mismatches, Dropped: c.dropped,
		P50: microseconds(c.total.ValueAtQuantile(50)), P90: microseconds(c.total.ValueAtQuantile(90)),
		P99: microseconds(c.total.ValueAtQuantile(99)), P999: microseconds(c.total.ValueAtQuantile(99.9)), Max: microseconds(c.total.Max()),
	}
}

func (r *recorder) points(class string) []Point {
	var out []Point
	for i, p := range r.classes[class].points {
		out = append(out, Point{
			At: time.Duration(i) * r.interval, Class: class, Count: p.hist.TotalCount(), Outcomes: p.outcomes,
			P50: microseconds(p.hist.ValueAtQuantile(50)), P99: microseconds(p.hist.ValueAtQuantile(99)),
		})
	}
	slices.SortFunc(out, func(a, b Point) int { return cmp.Compare(a.At, b.At) })
	return out
}

// addFault records an injected fault.
func (r *recorder) addFault(f InjectedFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, f)
}

// progress summarizes the requests and faults recorded so far.
func (r *recorder) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Outcomes: make(map[gwtrace.Outcome]int64)}
	all := newHistogram()
	for _, c := range r.classes {
		for o, n := range c.outcomes {
			p.Outcomes[o] += n
		}
		all.Merge(c.total)
	}
	p.Done, p.P99 = p.Outcomes[gwtrace.Done], microseconds(all.ValueAtQuantile(99))
	for _, f := range r.faults {
		p.Faults = append(p.Faults, f.Fault)
	}
	return p
}

// WriteRun writes a run file.
func WriteRun(name string, r *Report) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(b, '\n'), 0o644)
}

// ReadRun reads a run file and checks its format and version.
func ReadRun(name string) (*Report, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, &Error{Op: "read run", Kind: BadRun, Detail: name, Err: err}
	}
	if r.Format != RunFormat || r.Version != RunVersion {
		return nil, &Error{Op: "read run", Kind: BadRun, Detail: name + " is not a run file of version 1"}
	}
	return r, nil
}
