package gwload

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gentianward.example/gentianward/internal/gwtrace"
)

// Bounds of the latency histograms in microseconds, and their significant digits.
const (
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 3
)

// sample is the result of one request.
type sample struct {
	class, group string
	instance     string
	write        bool
	due, end     time.Duration
	outcome      gwtrace.Outcome
	findings
}

// recorder aggregates samples and injected faults.
type recorder struct {
	interval time.Duration

	mu      sync.Mutex
	classes map[string]*classStats
	acks    map[string][]time.Duration // times of acknowledged writes by group
	faults  []InjectedFault
	slowest []SlowRequest // in descending order of latency
	// mismatches describes the first reads that returned other data than were written.
	mismatches []string
}

type classStats struct {
	total      *hdrhistogram.Histogram
	outcomes   map[gwtrace.Outcome]int64
	violations int64
	mismatches int64
	dropped    int64
	points     map[int]*pointStats // by index of the interval of the due time
}

type pointStats struct {
	hist     *hdrhistogram.Histogram
	outcomes map[gwtrace.Outcome]int64
}

func newRecorder(interval time.Duration) *recorder {
	return &recorder{interval: interval, classes: make(map[string]*classStats), acks: make(map[string][]time.Duration)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

func (r *recorder) class(name string) *classStats {
	c, ok := r.classes[name]
	if !ok {
		c = &classStats{total: newHistogram(), outcomes: make(map[gwtrace.Outcome]int64), points: make(map[int]*pointStats)}
		r.classes[name] = c
	}
	return c
}

func (r *recorder) drop(class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(class).dropped++
}

func (r *recorder) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.class(s.class)
	c.outcomes[s.outcome]++
	if s.violation {
		c.violations++
	}
	if s.mismatch != "" {
		c.mismatches++
		if len(r.mismatches) < maxMismatches {
			r.mismatches = append(r.mismatches, s.mismatch)
		}
	}
	if s.write && s.outcome == gwtrace.Done {
		r.acks[s.group] = append(r.acks[s.group], s.end)
	}
	i := int(s.due / r.interval)
	p, ok := c.points[i]
	if !ok {
		p = &pointStats{hist: hdrhistogram.New(minLatency, maxLatency, 2), outcomes: make(map[gwtrace.Outcome]int64)}
		c.points[i] = p
	}
	p.outcomes[s.outcome]++
	if s.outcome != gwtrace.Done {
		return
	}
	us := min(max((s.end-s.due).Microseconds(), minLatency), maxLatency)
	_ = c.total.RecordValue(us)
	_ = p.hist.RecordValue(us)
	r.addSlowest(s)
}

// maxMismatches is the number of mismatches that a run file describes.
const maxMismatches = 20

// maxSlowest is the number of slowest requests that a run file lists.
const maxSlowest = 20

func (r *recorder) addSlowest(s sample) {
	slow := SlowRequest{Class: s.class, Group: s.group, Instance: s.instance, Write: s.write, Due: s.due, Latency: s.end - s.due}
	i, _ := slices.BinarySearchFunc(r.slowest, slow, func(a, b SlowRequest) int { return cmp.Compare(b.Latency, a.Latency) })
	if i >= maxSlowest {
		return
	}
	r.slowest = slices.Insert(r.slowest, i, slow)
	r.slowest = r.slowest[:min(len(r.slowest), maxSlowest)]
}

// ackedAfter returns the number of acknowledged writes of a group after a time. It
// stops at the first older one, so a write recorded out of order can be left out.
func (r *recorder) ackedAfter(group string, at time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := len(r.acks[group]) - 1; i >= 0 && r.acks[group][i] > at; i-- {
		n++
	}
	return n
}

// gap returns the longest interval up to until without an acknowledged write of a
// group. The first interval starts at the last acknowledged write before from, or at
// from if there is none. The gap is open if the longest interval ends only at until.
func (r *recorder) gap(group string, from, until time.Duration) (gap time.Duration, open bool) {
	r.mu.Lock()
	acks := slices.Clone(r.acks[group])
	r.mu.Unlock()
	slices.Sort(acks)
	last := from
	if i, _ := slices.BinarySearch(acks, from); i > 0 {
		last = acks[i-1]
	}
	for _, a := range acks {
		if a > from && a <= until {
			gap, last = max(gap, a-last), a
		}
	}
	if until-last > gap {
		return until - last, true
	}
	return gap, false
}
