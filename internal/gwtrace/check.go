package gwtrace

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kinds of differences between the expected and the observed behavior.
const (
	Lost            = "lost"            // acknowledged but absent from the final content
	Doubled         = "doubled"         // stored more than once
	Phantom         = "phantom"         // read or stored although no request wrote it
	NotRunPresent   = "notRunPresent"   // rejected as not run or failed, but present
	Torn            = "torn"            // present with different content
	OwnWriteMissing = "ownWriteMissing" // acknowledged write missing from a later read of its session
	Stale           = "stale"           // read older than the accepted staleness
	ForeignAnswer   = "foreignAnswer"   // response that belongs to another request
	NotDone         = "notDone"         // not done although required, or unknown although not allowed
	SQLError        = "sqlError"        // unexpected SQL error
	NotLinearizable = "notLinearizable" // operations of a slot have no linearization
	NotDecided      = "notDecided"      // check could not be completed
	ReplicaDiffers  = "replicaDiffers"  // final content of a replica differs from the primary's
)

// Difference is one deviation of the observed behavior from the expected one.
type Difference struct {
	Kind    string `json:"kind"`
	Group   string `json:"group"`
	Session string `json:"session,omitempty"`
	ID      string `json:"id,omitempty"`
	Detail  string `json:"detail"`
}

// String formats the difference as one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s group=%s session=%s id=%s: %s", d.Kind, d.Group, d.Session, d.ID, d.Detail)
}

// Content is the final content of the record tables, by group and table.
type Content map[string]map[string][]Row

// checker compares a history with the expected outcomes.
type checker struct {
	events          []Event
	writes          map[string]Event      // by id
	writesBySubject map[[3]string][]Event // writes by group, table and subject
	content         Content
	out             []Difference
}

// Check compares a history and the final content with the expected outcomes and
// returns all differences, sorted by kind.
func Check(events []Event, slots []slotOp, content Content) []Difference {
	c := &checker{events: events, writes: make(map[string]Event), writesBySubject: make(map[[3]string][]Event), content: content}
	for _, e := range events {
		if e.Step.Op == OpWrite {
			c.writes[e.Step.ID] = e
			key := [3]string{e.Group, e.Step.Table, e.Step.Subject}
			c.writesBySubject[key] = append(c.writesBySubject[key], e)
		}
	}
	for _, e := range events {
		c.checkOutcome(e)
		if e.Step.Op == OpRead && e.Outcome == Done {
			c.checkRead(e)
		}
	}
	c.checkContent()
	c.out = append(c.out, checkSlots(slots)...)
	slices.SortStableFunc(c.out, func(a, b Difference) int { return cmp.Compare(a.Kind, b.Kind) })
	return c.out
}

func (c *checker) report(kind string, e Event, format string, args ...any) {
	c.out = append(c.out, Difference{Kind: kind, Group: e.Group, Session: e.Step.Session, ID: e.Step.ID, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkOutcome(e Event) {
	x := e.Step.Expect
	took := (e.End - e.FirstAttempt).Round(time.Millisecond)
	switch {
	case e.Outcome == Failed:
		c.report(SQLError, e, "at %s: %s", e.FirstAttempt.Round(time.Millisecond), e.Error)
	case x.MustSucceed && e.Outcome != Done:
		c.report(NotDone, e, "%s after %s and %d attempts: %s", e.Outcome, took, e.Attempts, e.Error)
	case e.Outcome == Unknown && !x.MayBeUnknown:
		c.report(NotDone, e, "unknown: %s", e.Error)
	}
}

func (c *checker) checkRead(e Event) {
	if e.Echo != e.Nonce {
		c.report(ForeignAnswer, e, "sent %q, the answer has %q", e.Nonce, e.Echo)
		return
	}
	seen := make(map[string]bool, len(e.Rows))
	for _, r := range e.Rows {
		seen[r.ID] = true
		c.checkRow(e, r)
	}
	x := e.Step.Expect
	for _, w := range c.writesBySubject[[3]string{e.Group, e.Step.Table, e.Step.Subject}] {
		if w.Outcome != Done || seen[w.Step.ID] {
			continue
		}
		if x.ReadYourWrites && w.Step.Session == e.Step.Session && w.End <= e.LastAttempt {
			c.report(OwnWriteMissing, e, "%s, acknowledged at %s, is missing at %s through %s", w.Step.ID, w.End, e.LastAttempt, e.Instance)
			continue
		}
		if x.Staleness != nil && w.End+x.Staleness.Duration <= e.LastAttempt {
			c.report(Stale, e, "%s, acknowledged at %s, is missing at %s through %s; accepted staleness %s", w.Step.ID, w.End, e.LastAttempt, e.Instance, x.Staleness.Duration)
		}
	}
}

// checkRow checks one record that a read returned against its write.
func (c *checker) checkRow(e Event, r Row) {
	w, ok := c.writes[r.ID]
	switch {
	case !ok:
		c.report(Phantom, e, "read %q, which nobody wrote", r.ID)
	case r.Subject != e.Step.Subject || w.Group != e.Group:
		c.report(ForeignAnswer, e, "read %q of subject %q", r.ID, r.Subject)
	case r.Body != recordBody(r.ID):
		c.report(Torn, e, "read %q with another content", r.ID)
	case w.Outcome == NotRun:
		c.report(NotRunPresent, e, "read %q, which was rejected as not run", r.ID)
	}
}

// checkContent compares the final content with the writes.
func (c *checker) checkContent() {
	count := c.countRows()
	for id, w := range c.writes {
		if _, read := c.content[w.Group]; !read {
			continue
		}
		switch n := count[id]; {
		case n > 1 && w.Step.Expect.AtMostOnce:
			c.report(Doubled, w, "%d copies, outcome %s after %d attempts", n, w.Outcome, w.Attempts)
		case n == 0 && w.Outcome == Done:
			c.report(Lost, w, "acknowledged at %s through %s", w.End, w.Instance)
		case n > 0 && (w.Outcome == NotRun || w.Outcome == Failed):
			c.report(NotRunPresent, w, "%d copies although the outcome is %s: %s", n, w.Outcome, w.Error)
		}
	}
}

// countRows counts the copies of each record and checks the table and content of each.
func (c *checker) countRows() map[string]int {
	count := make(map[string]int)
	for group, tables := range c.content {
		for table, rows := range tables {
			for _, r := range rows {
				count[r.ID]++
				c.checkStored(group, table, r)
			}
		}
	}
	return count
}

func (c *checker) checkStored(group, table string, r Row) {
	w, ok := c.writes[r.ID]
	switch {
	case !ok || w.Group != group || w.Step.Table != table:
		c.out = append(c.out, Difference{Kind: Phantom, Group: group, ID: r.ID, Detail: "table " + table + " has a record that nobody wrote there"})
	case r.Body != recordBody(r.ID) || r.Subject != w.Step.Subject:
		c.report(Torn, w, "table %s has another content", table)
	}
}
