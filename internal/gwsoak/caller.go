package gwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	callerTimeout = 5 * time.Second
	openTimeout   = 2 * time.Second
	retryDelay    = 50 * time.Millisecond
	maxPause      = 60 * time.Millisecond
	// transactionShare is the share of writes in a transaction.
	transactionShare = 0.3
	// executeShare is the share of reads and writes by a prepared statement.
	executeShare = 0.3
	// changeShare is the share of writes before which a session changes a value and its
	// prepared statements.
	changeShare = 0.1
	callerBits  = 8 // of a seed
)

// caller runs one session after another. Each uses items of its own and keeps its connection
// open for as long as it works.
type caller struct {
	r        *Run
	g        *platformtest.Group
	number   int
	database string
	// everySession means that reads see the writes of earlier sessions too.
	everySession bool
	// item is replaced after a write whose outcome is unknown, as it may run later.
	item     string
	items    int
	acked    int    // number of the last acknowledged value of item
	data     string // that value, which begins with its number
	hostile  *platformtest.Hostile
	prepared map[platformtest.Verb]string // names of the session
	ids      int
}

func newCaller(r *Run, g *platformtest.Group, number int) *caller {
	c := &caller{r: r, g: g, number: number, database: g.Name(), everySession: true}
	c.hostile = platformtest.NewHostile(r.o.Seed<<callerBits + uint64(number))
	c.nextItem()
	if number%2 == 1 {
		c.database, c.everySession = g.Name()+"-own", false
	}
	return c
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if p := c.r.anyReady(); p != nil {
			c.session(ctx, p)
		}
		sleep(ctx, retryDelay)
	}
}

func (c *caller) session(ctx context.Context, p *process) {
	s, _, err := platformtest.OpenSession(ctx, p.settings.CallerAddress, c.database, openTimeout, c.r.check.statements.Session(c.g.Name()))
	if s == nil || err != nil {
		c.r.check.count(countNotOpened)
		return
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Close)()
	if !c.everySession {
		c.nextItem()
	}
	c.prepared = make(map[platformtest.Verb]string)
	for ctx.Err() == nil && c.change(ctx, s) && c.write(ctx, s) && c.read(ctx, s, p) {
		sleep(ctx, time.Duration(rand.Int64N(int64(maxPause))))
	}
}

func (c *caller) nextItem() {
	c.items++
	c.item, c.acked = fmt.Sprintf("%d-%d%s", c.number, c.items, c.hostile.Word()), 0
}

func (c *caller) id() string {
	c.ids++
	return fmt.Sprintf("%08x%08x", c.number, c.ids)
}

// change sometimes changes a value and the prepared statements of a session. It returns
// whether the session can go on.
func (c *caller) change(ctx context.Context, s *platformtest.Session) bool {
	if !c.hostile.Chance(changeShare) {
		return true
	}
	statements := []string{"SET " + c.hostile.Word() + " " + c.hostile.Text()}
	for _, verb := range []platformtest.Verb{platformtest.Fetch, platformtest.Store} {
		if name, ok := c.prepared[verb]; ok {
			statements = append(statements, "DEALLOC "+name)
		}
		// Names of a session differ.
		c.prepared[verb] = string(verb) + c.hostile.Word()
		statements = append(statements, fmt.Sprintf("PREPARE %s %s %s", c.prepared[verb], verb, c.hostile.Text()))
	}
	for _, text := range statements {
		if a, err := s.Do(c.id(), text, callerTimeout); err != nil || a.Code != "" {
			if ctx.Err() == nil {
				c.r.check.count(countChanges + outcome(a, err))
				c.r.check.logf("%.60q is answered %s %.60q %v", text, a.Code, a.Cause, err)
			}
			return false
		}
	}
	return true
}

// statement returns a read or a write, sometimes by a prepared statement.
func (c *caller) statement(verb platformtest.Verb, rest string) string {
	if name, ok := c.prepared[verb]; ok && c.hostile.Chance(executeShare) {
		return "EXECUTE " + name + " " + rest
	}
	return string(verb) + " " + rest
}

// write returns whether the session can go on.
func (c *caller) write(ctx context.Context, s *platformtest.Session) bool {
	value := c.acked + 1
	statement := c.statement(platformtest.Store, fmt.Sprintf("%s %d,", c.item, value))
	id := c.id()
	tail := c.hostile.Data(platformtest.MaxMessage - len("QUERY "+id+" "+statement))
	statement += tail
	a, err := platformtest.Answer{}, error(nil)
	if rand.Float64() < transactionShare {
		a, id, err = c.transaction(s, statement)
	} else {
		a, err = s.Do(id, statement, callerTimeout)
	}
	if a.Signed && err == nil {
		c.acked, c.data = value, fmt.Sprintf("%d,%s", value, tail)
		c.r.check.wrote(c.g, id)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	c.r.check.count(countWrites + outcome(a, err))
	c.nextItem()
	return err == nil
}

// transaction runs a write in a transaction and returns the answer to its last statement
// that was sent, and the id under which servers log the write.
func (c *caller) transaction(s *platformtest.Session, statement string) (a platformtest.Answer, id string, err error) {
	id = c.id()
	if a, err = s.Do(c.id(), "BEGIN", callerTimeout); err != nil || a.Code != "" {
		return a, id, err
	}
	if a, err = s.Do(id, statement, callerTimeout); err != nil {
		return a, id, err
	}
	if a.Code != "" {
		_, err = s.Do(c.id(), "ROLLBACK", callerTimeout)
		return a, id, err
	}
	a, err = s.Do(c.id(), "COMMIT", callerTimeout)
	return a, id, err
}

func (c *caller) read(ctx context.Context, s *platformtest.Session, p *process) bool {
	a, err := s.Do(c.id(), c.statement(platformtest.Fetch, c.item), callerTimeout)
	if err != nil || !a.Signed || len(a.Rows) != 1 {
		if ctx.Err() == nil {
			c.r.check.count(countReads + outcome(a, err))
		}
		return err == nil
	}
	c.r.check.count("reads")
	number, _, _ := strings.Cut(a.Rows[0], ",")
	value, _ := strconv.Atoi(number) // "none" is 0
	switch {
	case value < c.acked:
		c.r.check.violate(RuleStale, c.g.Name(), "a read of %.60q at %s returns %d after write %d was acknowledged (database %s)",
			c.item, p.settings.Name, value, c.acked, c.database)
	case value == c.acked && value > 0 && a.Rows[0] != c.data:
		c.r.check.brokenStatement(platformtest.RuleMixed, c.g.Name(),
			fmt.Sprintf("a read of %.60q at %s returns other data than was acknowledged: %.60q", c.item, p.settings.Name, a.Rows[0]))
	}
	return true
}

func outcome(a platformtest.Answer, err error) string {
	switch {
	case err != nil:
		return "no answer"
	case a.Code != "":
		return a.Code
	default:
		return "no signature"
	}
}

// anyReady returns an entry instance that the platform considers ready, or nil.
func (r *Run) anyReady() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []*process
	for _, p := range r.entries {
		if r.ready[p] {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[rand.IntN(len(ready))]
}

// readyInterval is the interval at which the platform asks whether an instance is ready.
const readyInterval = time.Second

// watchReady asks each entry instance whether it is ready. Two misses take it out.
func (r *Run) watchReady(ctx context.Context) {
	client := platformtest.NewClient()
	misses := make(map[*process]int)
	for ctx.Err() == nil {
		for _, p := range r.entries {
			ready := p.active() && client.Ready(p.settings.ReadyAddress)
			misses[p]++
			if ready {
				misses[p] = 0
			}
			r.mu.Lock()
			if ready {
				r.lastReady[p] = time.Now()
			}
			r.ready[p] = misses[p] == 0 || misses[p] < 2 && r.ready[p]
			r.mu.Unlock()
		}
		sleep(ctx, readyInterval)
	}
}
