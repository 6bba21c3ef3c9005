// Command unserved lists the days whose last seconds were not served although all servers
// were up, from reports that the bench wrote with --report.
//
// A group that is not served for good breaks no rule, so that scores and hunts do not show
// it. A hunt leaves no reports: the days that it prints with weak worst windows are played
// again with --report first.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// report is the part of a report that is read. Times are in seconds of the day.
type report struct {
	Windows []window `json:"windows"`
	Events  []event  `json:"events"`
}

// window counts the requests that were sent in one part of the day.
type window struct {
	Name    string `json:"name"` // where it begins
	N       int    `json:"n"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
}

// event is a disruption or planned work.
type event struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
}

// serverKinds are the kinds of events during which a server is down, cut off, new or late.
var serverKinds = []string{"srv_", "release", "primary_cut", "replica_lag", "herd_kill"}

// lasting reports whether a server may not be back at the given time because of the event.
func (e event) lasting(at float64) bool {
	for _, k := range serverKinds {
		if strings.HasPrefix(e.Kind, k) {
			return max(e.At, e.To) > at || strings.Contains(e.Kind, "gone")
		}
	}
	return false
}

// unserved reports whether more than share of the requests in each window of the last
// seconds of the day were not served, all servers being up, and the smallest of the shares.
func (r report) unserved(last, share float64) (least float64, found bool, err error) {
	if len(r.Windows) == 0 {
		return 0, false, nil
	}
	var begins []float64
	for _, w := range r.Windows {
		b, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return 0, false, fmt.Errorf("window %q: %w", w.Name, err)
		}
		begins = append(begins, b)
	}
	end := begins[len(begins)-1]
	if len(begins) > 1 {
		end += end - begins[len(begins)-2]
	}
	for _, e := range r.Events {
		if e.lasting(end - last) {
			return 0, false, nil
		}
	}
	least = 1
	for i, w := range r.Windows {
		if begins[i] >= end-last && w.N > 0 {
			least = min(least, float64(w.Refused+w.Failed)/float64(w.N))
		}
	}
	return least, least > share, nil
}

func main() {
	last := flag.Float64("last", 10, "seconds at the end of the day")
	share := flag.Float64("share", 0.05, "share of requests not served in each window that makes a finding")
	flag.Parse()
	findings := 0
	for _, name := range flag.Args() {
		least, found, err := check(name, *last, *share)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		if found {
			findings++
			fmt.Printf("%s: at least %.0f%% not served in each window of the last %g s\n", name, 100*least, *last)
		}
	}
	fmt.Printf("%d reports, %d with a group that is not served at the end\n", flag.NArg(), findings)
	if findings > 0 {
		os.Exit(1)
	}
}

func check(name string, last, share float64) (float64, bool, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return 0, false, err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return 0, false, fmt.Errorf("%s: %w", name, err)
	}
	least, found, err := r.unserved(last, share)
	if err != nil {
		return 0, false, fmt.Errorf("%s: %w", name, err)
	}
	return least, found, nil
}
