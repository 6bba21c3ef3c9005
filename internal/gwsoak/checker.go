package gwsoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

// The users' bounds, which their platform states in the settings.
const (
	contactLimit  = 5 * time.Second  // after the last disturbance until bounds apply
	ackLimit      = 6 * time.Second  // until a proper configuration is acknowledged
	applyLimit    = 4 * time.Second  // until an acknowledged configuration is in force
	recoveryLimit = 12 * time.Second // until service is back after the last fault
)

// Rule names a promise.
type Rule string

// The rules that are checked.
const (
	RuleOne     Rule = "ONE"
	RuleLost    Rule = "LOST"
	RuleConfig  Rule = "CONFIG"
	RuleStale   Rule = "STALE"
	RuleRecover Rule = "RECOVER"
	RuleFault   Rule = "FAULT" // a process ended by itself
	RuleVote    Rule = "VOTE"  // a newcomer has no vote when the pages let the next disk be lost
	// RuleAnswer means that a statement was not answered as it must be in a run without faults.
	// The rules of platformtest.StatementCheck are checked besides.
	RuleAnswer Rule = "ANSWER"
	// RuleResources means that a process uses too many descriptors or more and more memory.
	RuleResources Rule = "RESOURCES"
)

// Violation is one break of a rule.
type Violation struct {
	At     time.Time `json:"at"`
	Rule   Rule      `json:"rule"`
	Group  string    `json:"group,omitempty"`
	Detail string    `json:"detail"`
	// Log has the lines of the processes around the violation.
	Log []string `json:"log,omitempty"`
}

// Event is one line of the record of a run.
type Event struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Checker records what callers, servers, the platform and the operator see, and the
// violations of rules.
type Checker struct {
	mu         sync.Mutex
	events     []Event
	violations []Violation
	// acked has the acknowledged writes of each group and when they were acknowledged.
	acked map[string]map[string]time.Time
	// fences has the highest fence that the platform has seen of each group, and holders
	// the first holder of each fence.
	fences  map[string]platformtest.Call
	holders map[uint64]string
	// calls counts the calls about each group by their holders.
	calls map[string]map[string]int
	// promoted has the promotion of each group with the highest fence that took effect.
	promoted map[string]platformtest.Promotion
	counts   map[string]int
	lastWork map[string]time.Time     // last acknowledged write of each group
	gaps     map[string]time.Duration // longest time without one
	// active is the number of faults that last, and lastFault when one began or ended.
	active    int
	lastFault time.Time
	// suspended is the number of reasons for which bounds do not apply, and resumed when one
	// ended. They are no faults, so that the bounds apply at once.
	suspended int
	resumed   time.Time
	// statements compares what servers run with what callers sent.
	statements *platformtest.StatementCheck
}

// Counts of statements without success; the outcome follows.
const (
	countNotOpened = "sessions not opened"
	countReads     = "reads: "
	countWrites    = "writes: "
	countChanges   = "values and prepared statements: "
	countTooMany   = "connections refused by servers"
)

// maxOfRule is how many violations of a rule of statements are listed; the others are counted.
const maxOfRule = 10

func newChecker() *Checker {
	c := &Checker{
		acked: make(map[string]map[string]time.Time), fences: make(map[string]platformtest.Call), holders: make(map[uint64]string), calls: make(map[string]map[string]int),
		promoted: make(map[string]platformtest.Promotion), counts: make(map[string]int), lastWork: make(map[string]time.Time), gaps: make(map[string]time.Duration),
	}
	c.statements = platformtest.NewStatementCheck(c.brokenStatement)
	return c
}

// brokenStatement records a violation that a statement shows.
func (c *Checker) brokenStatement(rule, group, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := "violations of " + rule
	if c.counts[name]++; c.counts[name] <= maxOfRule {
		c.broken(Rule(rule), group, "%s", detail)
	}
}

// failures returns the number of statements of callers without success.
func (c *Checker) failures() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[countNotOpened]
	for what, count := range c.counts {
		for _, prefix := range []string{countReads, countWrites, countChanges} {
			if strings.HasPrefix(what, prefix) {
				n += count
			}
		}
	}
	return n
}

// logf adds a line to the record.
func (c *Checker) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log(format, args...)
}

func (c *Checker) log(format string, args ...any) {
	c.events = append(c.events, Event{At: time.Now(), Text: fmt.Sprintf(format, args...)})
}

// violate records a violation.
func (c *Checker) violate(rule Rule, group, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(rule, group, format, args...)
}

// violateAt records a violation that is found later.
func (c *Checker) violateAt(at time.Time, rule Rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(rule, "", format, args...)
	c.violations[len(c.violations)-1].At = at
}

func (c *Checker) broken(rule Rule, group, format string, args ...any) {
	v := Violation{At: time.Now(), Rule: rule, Group: group, Detail: fmt.Sprintf(format, args...)}
	c.violations = append(c.violations, v)
	c.log("VIOLATION %s %s: %s", rule, group, v.Detail)
}

// called checks a call of promote when it arrives.
func (c *Checker) called(call platformtest.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["promote calls"]++
	if c.calls[call.Group] == nil {
		c.calls[call.Group] = make(map[string]int)
	}
	c.calls[call.Group][call.Holder]++
	c.log("promote arrived: group %s server %s holder %s fence %d", call.Group, call.Server, call.Holder, call.Fence)
	if h, ok := c.holders[call.Fence]; !ok {
		c.holders[call.Fence] = call.Holder
	} else if h != call.Holder {
		c.broken(RuleOne, call.Group, "%s promotes %s with fence %d, which %s has used", call.Holder, call.Server, call.Fence, h)
	}
	if highest := c.fences[call.Group]; call.Fence < highest.Fence {
		c.broken(RuleOne, call.Group, "%s promotes %s with fence %d after %s promoted %s with fence %d",
			call.Holder, call.Server, call.Fence, highest.Holder, highest.Server, highest.Fence)
		return
	}
	c.fences[call.Group] = call
}

// tookEffect checks a promotion that took effect.
func (c *Checker) tookEffect(p platformtest.Promotion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["promotions"]++
	c.log("promotion took effect: group %s server %s term %d holder %s fence %d", p.Group, p.Server, p.Term, p.Holder, p.Fence)
	last := c.promoted[p.Group]
	if p.Fence < last.Fence && p.Server != last.Server {
		c.broken(RuleOne, p.Group, "the promotion of %s with fence %d took effect after that of %s with fence %d", p.Server, p.Fence, last.Server, last.Fence)
	}
	if p.Fence >= last.Fence {
		c.promoted[p.Group] = p
	}
	missing, latest, first := 0, time.Time{}, ""
	for id, at := range c.acked[p.Group] {
		if !p.Has(id) {
			missing++
			delete(c.acked[p.Group], id) // reported once
			if at.After(latest) {
				latest, first = at, id
			}
		}
	}
	if missing > 0 {
		c.broken(RuleLost, p.Group, "%d acknowledged writes are not in the log of %s, promoted with fence %d; the latest is %s, acknowledged %s before",
			missing, p.Server, p.Fence, first, time.Since(latest).Round(time.Millisecond))
	}
}

// wrote checks an acknowledged write.
func (c *Checker) wrote(g *platformtest.Group, id string) {
	now := time.Now()
	c.mu.Lock()
	if c.acked[g.Name()] == nil {
		c.acked[g.Name()] = make(map[string]time.Time)
	}
	c.acked[g.Name()][id] = now
	if last, ok := c.lastWork[g.Name()]; ok {
		c.gaps[g.Name()] = max(c.gaps[g.Name()], now.Sub(last))
	}
	c.lastWork[g.Name()] = now
	c.counts["writes"]++
	c.mu.Unlock()
	if old, kept := g.Find(id); old != "" {
		c.violate(RuleOne, g.Name(), "write %s was committed at the old primary %s after a promotion had taken effect, and acknowledged", id, old)
	} else if !kept {
		c.violate(RuleLost, g.Name(), "write %s was acknowledged and is not in the log of the primary", id)
	}
}

func (c *Checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// counted returns how often count was called for something.
func (c *Checker) counted(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[what]
}

// fault records the beginning (1) or the end (-1) of a fault, or a momentary fault (0).
func (c *Checker) fault(change int, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active += change
	c.lastFault = time.Now()
	c.log("fault: "+format, args...)
}

// suspend begins (1) or ends (-1) a time in which the bounds of calm times do not apply.
func (c *Checker) suspend(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += change
	c.resumed = time.Now()
}

// calmSince returns when the last fault ended and the last suspension of the bounds; ok is
// false while one lasts.
func (c *Checker) calmSince() (fault, resumed time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFault, c.resumed, c.active == 0 && c.suspended == 0
}

// judgedFrom returns from when a bound applies that begins at start in calm times; ok is false
// if it does not apply now.
func (c *Checker) judgedFrom(start time.Time) (from time.Time, ok bool) {
	fault, resumed, ok := c.calmSince()
	return latest(start, fault.Add(contactLimit), resumed), ok
}

func latest(all ...time.Time) time.Time { return slices.MaxFunc(all, time.Time.Compare) }

// worked returns when a write of each group was acknowledged last.
func (c *Checker) worked() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.lastWork)
}
