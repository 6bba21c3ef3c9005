package gwcontrol

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// modelCall is a call as the platform sees it.
type modelCall struct {
	Promotion
	number int // in the order in which the calls were handed over
	holder string
}

// modelPlatform carries out calls to promote servers. It checks no fences, and acts late.
type modelPlatform struct {
	*dice

	mu         sync.Mutex
	calls      int
	primaries  map[string]string // by group
	terms      map[string]uint64
	fences     map[string]uint64 // the greatest that has arrived, by group
	effects    map[string]modelCall
	violations []string
	calm       bool
	lateSends  int // calls that were not sent, as their time had passed
	effected   int
}

func newModelPlatform(d *dice, groups []string) *modelPlatform {
	p := &modelPlatform{
		dice: d, primaries: make(map[string]string), terms: make(map[string]uint64),
		fences: make(map[string]uint64), effects: make(map[string]modelCall),
	}
	for _, g := range groups {
		p.primaries[g], p.terms[g] = modelServers(g)[0], 1
	}
	return p
}

// disturbed returns true with the given probability, and never in calm times.
func (p *modelPlatform) disturbed(chance float64) bool {
	p.mu.Lock()
	calm := p.calm
	p.mu.Unlock()
	return !calm && p.chance(chance)
}

// leads returns the term that a server leads.
func (p *modelPlatform) leads(server string) (term uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for g, primary := range p.primaries {
		if primary == server {
			return p.terms[g], true
		}
	}
	return 0, false
}

func (p *modelPlatform) violate(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// arrive records the arrival of a call's data.
func (p *modelPlatform) arrive(c modelCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Fence < p.fences[c.Group] {
		p.violate("group %s: fence %d of %s arrives after %d", c.Group, c.Fence, c.holder, p.fences[c.Group])
	}
	p.fences[c.Group] = max(c.Fence, p.fences[c.Group])
}

// takeEffect makes the named server the primary.
func (p *modelPlatform) takeEffect(c modelCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.effected++
	last := p.effects[c.Group]
	later := last.Fence > c.Fence || last.Fence == c.Fence && last.number > c.number
	if later && last.Server != c.Server {
		p.violate("group %s: call %d for %s with fence %d takes effect after call %d for %s with fence %d", c.Group, c.number, c.Server, c.Fence, last.number, last.Server, last.Fence)
	}
	if !later {
		p.effects[c.Group] = c
	}
	if p.primaries[c.Group] != c.Server {
		p.primaries[c.Group] = c.Server
		p.terms[c.Group]++
	}
}

var errModelBroken = errors.New("the connection broke")

// deliver carries a call to the platform, where it takes effect up to promoteErrorLimit later,
// and answers it unless the connection breaks. The kernel of the holder gives up data that
// has not arrived by then.
func (p *modelPlatform) deliver(c modelCall, until time.Time, answer chan<- error) {
	delay := p.between(time.Millisecond, 20*time.Millisecond)
	if p.disturbed(0.15) {
		delay = p.between(0, promoteSendLimit+100*time.Millisecond) // held up by a cut
	}
	if arrival := time.Now().Add(delay); arrival.After(until) {
		time.Sleep(time.Until(until))
		answer <- errModelBroken
		return
	}
	time.Sleep(delay)
	p.arrive(c)
	if p.disturbed(0.25) {
		answer <- &Error{Op: "promote server", Kind: Refused, Detail: "status 409"}
		return
	}
	broken := p.disturbed(0.3)
	if broken {
		answer <- errModelBroken
	}
	took := p.between(0, 200*time.Millisecond)
	if p.disturbed(0.3) {
		took = p.between(0, promoteErrorLimit)
	}
	time.Sleep(took)
	p.takeEffect(c)
	if !broken {
		answer <- nil
	}
}

// Promote implements Promoter for the process. It may be stopped before it sends, for as long
// as it likes, but not between the check of the clock and the sending.
func (p *process) Promote(ctx context.Context, c Promotion) (time.Time, error) {
	pl := p.cluster.platform
	pl.mu.Lock()
	pl.calls++
	call := modelCall{c, pl.calls, p.name}
	pl.mu.Unlock()
	if pl.disturbed(0.15) {
		p.stop(pl.between(0, 7*time.Second))
	}
	if pl.disturbed(0.15) {
		p.cluster.cutFor(p.name, pl.between(time.Second, 3*time.Second)) // while the call is under way
	}
	sent := p.Now()
	if !sent.Before(c.Until) {
		pl.mu.Lock()
		pl.lateSends++
		pl.mu.Unlock()
		return time.Time{}, &Error{Op: "promote server", Kind: Refused, Detail: "too late"}
	}
	answer := make(chan error, 2)
	go pl.deliver(call, p.global(c.Until), answer)
	var err error
	select {
	case err = <-answer:
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.gate()
	return sent, err
}

// disturb makes one random fault.
func (m *dutyCluster) disturb() {
	p := m.leading()
	if m.chance(0.4) {
		m.mu.Lock()
		p = m.processes[m.names[m.pick(len(m.names))]]
		m.mu.Unlock()
	}
	switch m.pick(5) {
	case 0:
		p.stop(m.between(50*time.Millisecond, 6*time.Second))
	case 1, 2:
		m.cutFor(p.name, m.between(200*time.Millisecond, 3*time.Second))
	case 3:
		p.crash()
		time.Sleep(m.between(10*time.Millisecond, 500*time.Millisecond))
		m.start(p.name)
	case 4:
		p.consensus.TransferLeadership(p.ctx)
	}
}

// calmDown ends the faults and returns when that was. What is under way goes on.
func (m *dutyCluster) calmDown() time.Time {
	m.platform.mu.Lock()
	m.platform.calm = true
	m.platform.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cut)
	for _, p := range m.processes {
		p.stop(0)
	}
	return time.Now()
}

const (
	disturbedTime = 20 * time.Second
	// calmLimit is how long after the last fault a change of primary has to be done: a leader
	// is elected in 2 s, waits earlierCallLimit and then, at most, for its own calls that were
	// held up before.
	calmLimit = 8 * time.Second
)

// Guards against a call of a replaced leader that arrives, or takes effect, after its
// successor's, and against a group that waits for ever. The seed chooses the faults; where
// goroutines wake up at the same time, the order may differ from run to run.
func TestDutyOfReplacedLeaders(t *testing.T) {
	t.Parallel()
	playDuty(t, 100, 500*time.Millisecond, 4*time.Second)
}

// Guards against the same while leaders change more often than a call may take effect, so that
// a leader counts from the start of one before it.
func TestDutyOfLeadersThatChangeOften(t *testing.T) {
	t.Parallel()
	playDuty(t, 40, 200*time.Millisecond, 1500*time.Millisecond)
}

// playDuty plays schedules whose faults follow each other after the given times.
func playDuty(t *testing.T, schedules int, shortest, longest time.Duration) {
	first := 1
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_DUTY_SCHEDULES")); err == nil {
		schedules = s
	}
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_DUTY_SEED")); err == nil {
		first, schedules = s, 1
	}
	var late, effected, calls int
	var slowest time.Duration
	for seed := first; seed < first+schedules && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := newDutyCluster(t, uint64(seed), 0.1, time.Millisecond)
			for end := time.Now().Add(disturbedTime); time.Now().Before(end); {
				time.Sleep(m.between(shortest, longest))
				m.disturb()
			}
			calm := m.calmDown()
			time.Sleep(calmLimit)
			for _, g := range m.groups {
				took, ok := m.finishedAfter(g, calm)
				slowest = max(slowest, took)
				assert.True(t, ok, "seed %d: no change of group %s within %s", seed, g, calmLimit)
			}
			m.end()
			p := m.platform
			p.mu.Lock()
			defer p.mu.Unlock()
			assert.Empty(t, p.violations, "seed %d", seed)
			late, effected, calls = late+p.lateSends, effected+p.effected, calls+p.calls
		})
	}
	t.Logf("%d schedules, %d calls, %d took effect, %d not sent; first change after the faults within %s", schedules, calls, effected, late, slowest)
}
