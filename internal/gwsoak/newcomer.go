package gwsoak

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"time"
)

// Newcomer is a control instance that started with an empty disk. Its log is the source.
type Newcomer struct {
	Instance string    `json:"instance"`
	Started  time.Time `json:"started"`        // its process
	Vote     string    `json:"vote,omitempty"` // from the start of its process; empty if it got none
	// Allowed is the time from the start of its process until the pages let the next disk be lost;
	// empty if they did not, as it was lost again or the run ended before.
	Allowed string `json:"allowed,omitempty"`
	Spare   bool   `json:"spare,omitempty"` // it may stay without a vote; see redundancy.spare
}

// String returns a line of the report.
func (n Newcomer) String() string {
	text := n.Instance + " started empty: its vote "
	if n.Vote == "" {
		text += "never"
	} else {
		text += "after " + n.Vote
	}
	if n.Allowed != "" {
		text += ", the next disk may be lost after " + n.Allowed
	}
	if n.Spare {
		text += "; it may be a learner"
	}
	return text
}

// dueVote is the time at which the pages let the next disk be lost, so that a newcomer needs its
// vote.
type dueVote struct {
	p     *process
	at    time.Time
	spare bool
}

// emptyStart is the start of a process without a log.
type emptyStart struct{ started, vote time.Time }

// voterLine has the fields of a log line of an instance that tell its vote.
type voterLine struct {
	Time   time.Time
	Msg    string
	Last   uint64
	Voters []string
}

// emptyStarts returns the starts without a log by the lines of one instance, and when each got
// its vote. starts has the times at which its processes were started.
//
// A process that was killed with part of the log writes no "member has its vote" when it is back:
// then the first list of voters tells it that has an identity of its address which did not occur
// before the start without a log.
func emptyStarts(lines []voterLine, address string, starts []time.Time) []emptyStart {
	var out []emptyStart
	var before, seen []string // identities
	restarted := false
	for _, l := range lines {
		own := slices.DeleteFunc(slices.Clone(l.Voters), func(id string) bool { name, _, _ := strings.Cut(id, "#"); return name != address })
		isOld := func(id string) bool { return slices.Contains(before, id) }
		switch began := l.Msg == "voter started"; {
		case began && l.Last == 0 && len(l.Voters) == 0:
			out, before, restarted = append(out, emptyStart{started: startBefore(l.Time, starts)}), slices.Clone(seen), false
		case len(out) == 0 || !out[len(out)-1].vote.IsZero():
		default:
			restarted = restarted || began
			if l.Msg == "member has its vote" || restarted && len(slices.DeleteFunc(slices.Clone(own), isOld)) > 0 {
				out[len(out)-1].vote = l.Time
			}
		}
		seen = append(seen, own...)
	}
	return out
}

// startBefore returns the last start of a process before a line of its log.
func startBefore(line time.Time, starts []time.Time) time.Time {
	out := line
	for _, s := range starts {
		if !s.After(line) {
			out = s
		}
	}
	return out
}

// newcomers returns the control instances that started with an empty disk, by their logs.
func (r *Run) newcomers() []Newcomer {
	r.mu.Lock()
	due := slices.Clone(r.redundancy.due)
	r.mu.Unlock()
	var out []Newcomer
	for _, p := range r.everyProcess() {
		all := emptyStarts(readVoterLines(p.logPath()), p.settings.IP.String(), p.startTimes())
		for i, s := range all {
			n := Newcomer{Instance: p.settings.Name, Started: s.started}
			if !s.vote.IsZero() {
				n.Vote = s.vote.Sub(s.started).Round(time.Millisecond).String()
			}
			for _, d := range due {
				if d.p != p || d.at.Before(s.started) || i+1 < len(all) && d.at.After(all[i+1].started) {
					continue
				}
				n.Allowed, n.Spare = d.at.Sub(s.started).Round(time.Millisecond).String(), d.spare
				r.judgeVote(n, s, d)
				break
			}
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Newcomer) int { return a.Started.Compare(b.Started) })
	return out
}

// judgeVote checks that a newcomer had its vote when the pages let the next disk be lost.
func (r *Run) judgeVote(n Newcomer, s emptyStart, d dueVote) {
	if d.spare || !s.vote.IsZero() && !s.vote.After(d.at) {
		return
	}
	got := "it got none"
	if n.Vote != "" {
		got = "it got it after " + n.Vote
	}
	r.check.violateAt(d.at, RuleVote, "%s has no vote %s after its start, when the pages let another disk be lost; %s", n.Instance, n.Allowed, got)
}

func readVoterLines(path string) []voterLine {
	f, err := os.Open(path)
	if err != nil {
		return nil // the process was never started
	}
	defer f.Close()
	var out []voterLine
	for s := bufio.NewScanner(f); s.Scan(); {
		var l voterLine
		if json.Unmarshal(s.Bytes(), &l) == nil && l.Msg != "" {
			out = append(out, l)
		}
	}
	return out
}
