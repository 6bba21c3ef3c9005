package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdaemon"
)

// workOutcome is what a caller was told of a write, each of which has an item of its own.
type workOutcome uint8

const (
	acknowledged workOutcome = iota
	// refused means that the answer says that nothing was kept.
	refused
	unknown
	// cut means that the connection ended without a whole answer.
	cut
)

// refusals are the codes of answers after which nothing may have been kept.
var refusals = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}

func outcomeOfAnswer(answer string, err error) workOutcome {
	switch {
	case err != nil:
		return cut
	case strings.HasPrefix(answer, "COMPLETE"):
		return acknowledged
	}
	for _, code := range refusals {
		if strings.Contains(answer, "ERROR "+code) {
			return refused
		}
	}
	return unknown
}

// write is one write of a caller.
type write struct {
	outcome workOutcome
	answer  string
	// held is the time from the last byte of the statement to the end of its answer or of the
	// connection.
	held time.Duration
}

// work is the writes of many callers.
type work struct {
	d  *deployment
	wg sync.WaitGroup

	mu     sync.Mutex
	writes map[string]write
}

// startWork starts sessions that write until ctx ends, every second one in transactions. A
// session that ends is opened again at the next entry instance.
func (d *deployment) startWork(ctx context.Context, sessions int) *work {
	w := &work{d: d, writes: make(map[string]write)}
	for n := range sessions {
		w.wg.Go(func() { w.run(ctx, n) })
	}
	return w
}

func (w *work) run(ctx context.Context, session int) {
	var c *callerSession
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			address := w.d.callerAddresses[(session+n)%len(w.d.callerAddresses)]
			c = w.d.newSession(address, "payments")
			if answer := c.openSession(); answer != "READY I" {
				c = nil
				time.Sleep(5 * time.Millisecond)
				continue
			}
		}
		item := fmt.Sprintf("%d-%d", session, n)
		if !w.write(c, item, session%2 == 1) {
			_ = c.nc.Close()
			c = nil
			time.Sleep(5 * time.Millisecond)
		}
	}
	if c != nil {
		_ = c.nc.Close()
	}
}

// openSession opens the session once and returns the answer, or "" without one.
func (c *callerSession) openSession() string {
	if err := c.open(); err != nil {
		return ""
	}
	answer, _ := c.tryReadAnswer()
	return answer
}

// write writes one item, and returns false if the session is to be opened again.
func (w *work) write(c *callerSession, item string, transaction bool) bool {
	statements := []string{"STORE " + item + " v"}
	if transaction {
		statements = []string{"BEGIN", statements[0], "COMMIT"}
	}
	for i, s := range statements {
		sent := time.Now()
		answer, err := c.send(s)
		o := outcomeOfAnswer(answer, err)
		if i == len(statements)-1 || o != acknowledged {
			w.mu.Lock()
			w.writes[item] = write{outcome: o, answer: fmt.Sprintf("%s: %s %v", s, answer, err), held: time.Since(sent)}
			w.mu.Unlock()
		}
		if o != acknowledged {
			return false
		}
	}
	return true
}

// check compares the outcomes with what the primary has kept, and returns the number of writes
// by outcome.
func (w *work) check() map[workOutcome]int {
	t := w.d.t
	t.Helper()
	kept := make(map[string]int)
	w.d.group.mu.Lock()
	for _, s := range w.d.group.servers {
		if s.primary {
			for _, c := range s.log {
				kept[c.Item]++
			}
		}
	}
	w.d.group.mu.Unlock()
	counts, answers := make(map[workOutcome]int), make(map[string]int)
	for item, o := range w.writes {
		counts[o.outcome]++
		if o.outcome != acknowledged {
			_, answer, _ := strings.Cut(o.answer, ": ")
			answers[answer]++
		}
		switch n := kept[item]; o.outcome {
		case acknowledged:
			assert.Equal(t, 1, n, "%s was acknowledged", item)
		case refused:
			assert.Zero(t, n, "%s was refused with %q", item, o.answer)
		default:
			assert.LessOrEqual(t, n, 1, "%s was answered with %q", item, o.answer)
		}
	}
	t.Logf("%d acknowledged, %d refused, %d unknown, %d cut: %v", counts[acknowledged], counts[refused], counts[unknown], counts[cut], answers)
	return counts
}

// owner returns the instance that holds the lease of the group.
func (d *deployment) owner() *gwdaemon.Instance {
	d.t.Helper()
	var owner *gwdaemon.Instance
	require.Eventually(d.t, func() bool {
		for _, i := range d.instances {
			for _, g := range i.Leases() {
				if g == d.group.name {
					owner = i
				}
			}
		}
		return owner != nil
	}, 20*time.Second, 5*time.Millisecond, "an instance holds the lease")
	return owner
}

// silence cuts or joins the links between an instance and all others.
func (d *deployment) silence(i *gwdaemon.Instance, silent bool) {
	for _, o := range d.instances {
		if o != i {
			i.Block(o.PeerAddress(), silent)
			o.Block(i.PeerAddress(), silent)
		}
	}
}

func (d *deployment) awaitFirstWrite() {
	d.t.Helper()
	a := d.dial(d.callerAddresses[0], "bookings")
	assert.Equal(d.t, "READY I", a.readAnswer())
	require.Eventually(d.t, func() bool { return a.query("STORE 1 one") == "COMPLETE signature,READY I" }, 20*time.Second, 50*time.Millisecond, "the first write")
}

// Guards against work of an owner that is only silent for a while which runs again elsewhere, or
// is called not run, and against running work that is given up after a short silence.
func TestWorkOfSilentOwner(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		// keeps means that running work is not given up.
		keeps bool
	}{
		{"as long as a lost packet", 300 * time.Millisecond, true},
		{"about as long as a lease", 1500 * time.Millisecond, false},
		{"until another instance owns the servers", 4 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := startDeployment(t)
			d.awaitReady()
			d.awaitFirstWrite()
			d.group.mu.Lock()
			d.group.cost = 50 * time.Millisecond
			d.group.mu.Unlock()
			ctx, cancel := context.WithCancel(t.Context())
			w := d.startWork(ctx, 12)
			time.Sleep(500 * time.Millisecond)
			owner := d.owner()
			d.silence(owner, true)
			time.Sleep(tt.silence)
			d.silence(owner, false)
			time.Sleep(2 * time.Second)
			cancel()
			w.wg.Wait()
			counts := w.check()
			assert.NotZero(t, counts[acknowledged])
			if tt.keeps {
				assert.Zero(t, counts[unknown]+counts[cut], "running work is given up")
			}
		})
	}
}

// lossSlack is how long after its last byte a request may be unread, and its connection end
// without an answer, at a planned stop, according to the users.
const lossSlack = 200 * time.Millisecond

// Guards against requests that a planned stop under load cuts off without an answer, at the
// instance that is stopped, and those that others have passed on to it.
func TestPlannedStopUnderLoadAnswersRequests(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	d.awaitFirstWrite()
	d.group.mu.Lock()
	d.group.cost = 10 * time.Millisecond
	d.group.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	w := d.startWork(ctx, 48)
	time.Sleep(500 * time.Millisecond)
	for n := len(d.controlAddresses); n < len(d.instances); n++ {
		const grace = 6 * time.Second
		stop, done := context.WithTimeout(t.Context(), grace)
		assert.NoError(t, d.instances[n].Stop(stop))
		done()
		d.instances[n] = d.start(d.settings[n])
		require.Eventually(t, func() bool { return d.platform.Ready(d.readyAddresses[n-len(d.controlAddresses)]) }, 20*time.Second, 20*time.Millisecond, "ready")
		time.Sleep(time.Second)
	}
	cancel()
	w.wg.Wait()
	counts := w.check()
	assert.NotZero(t, counts[acknowledged])
	assert.Zero(t, counts[unknown], "outcomes that a planned stop leaves unknown")
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for item, o := range w.writes {
		if o.outcome == cut {
			assert.Less(t, o.held, lossSlack, "%s was cut off: %s", item, o.answer)
			for _, s := range d.group.servers {
				for _, c := range s.log {
					assert.NotEqual(t, item, c.Item, "was run, and its caller cut off: %s", o.answer)
				}
			}
		}
	}
}

// Guards against a write that runs again after its answer was lost, and against a caller who is
// told that nothing was kept.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	d.awaitFirstWrite()
	const seed = 41
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	lost := 0
	d.group.mu.Lock()
	d.group.cost = 5 * time.Millisecond
	d.group.loses = func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		loses := r.IntN(20) == 0
		if loses {
			lost++
		}
		return loses
	}
	d.group.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	w := d.startWork(ctx, 12)
	time.Sleep(4 * time.Second)
	cancel()
	w.wg.Wait()
	counts := w.check()
	mu.Lock()
	defer mu.Unlock()
	assert.NotZero(t, lost)
	assert.NotZero(t, counts[acknowledged])
	assert.Zero(t, counts[cut], "callers without an answer")
	t.Logf("%d answers lost", lost)
}
