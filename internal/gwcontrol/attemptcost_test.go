package gwcontrol

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	gwexamples "gentianward.example/gentianward/examples"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// pastOwners answer only while the servers are within reach, and keep what they were asked.
type pastOwners struct {
	scriptedOwners
	fences []FenceRequest
}

func (o *pastOwners) FenceAt(ctx context.Context, r FenceRequest) (Copy, error) {
	o.mu.Lock()
	o.fences = append(o.fences, r)
	o.mu.Unlock()
	return o.scriptedOwners.FenceAt(ctx, r)
}

// runWhile answers the calls of the voter for a time of the clock, which advances by
// changeRetryDelay whenever there is no call for the real time idle. It ends when done is closed.
func (v steppedVoter) runWhile(clock *clockwork.FakeClock, d, idle time.Duration, done <-chan struct{}) {
	for end := clock.Now().Add(d); clock.Now().Before(end); {
		select {
		case f := <-v.calls:
			v.pass(f)
		case <-done:
			return
		case <-time.After(idle):
			v.pass()
			clock.Advance(changeRetryDelay)
		}
	}
}

// Guards against a change of primary that waits for servers and adds an entry to the replicated
// log with each of its tries: the log, and what a voter that was cut off is sent, then grow with
// the time for which the servers are away.
func TestWaitingChangeAddsNoEntries(t *testing.T) {
	tests := []struct {
		name    string
		servers []ServerFacts
	}{
		{"no server is known", nil},
		{"no server answers", returnedAt(at10("a", "b", "c"))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			v := newSteppedVoter(t, clock)
			v.propose(
				gwstate.StartGroup{Group: "g", Primary: "a", Term: 1},
				gwstate.SetCopies{Group: "g", Term: 1, Copies: at10("a", "b", "c")},
			)
			owners := &pastOwners{scriptedOwners: scriptedOwners{servers: tt.servers}}
			l := &Leader{
				consensus: v.Consensus, state: v.State, clock: clock, log: v.Log, owners: owners,
				waits: make(changeWaits), onChanged: func(string, time.Duration) {},
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				l.changePrimary("g", 1, "the primary is lost")
			}()
			run := func(d time.Duration) { v.runWhile(clock, d, 200*time.Microsecond, done) }
			run(time.Second)
			first := v.State.Index()
			run(20 * time.Second)
			assert.LessOrEqual(t, v.State.Index()-first, uint64(1), "entries in 20 s in which nothing happens")

			owners.mu.Lock()
			owners.servers = returnedAt(at10("a", "b", "c"))
			owners.answers = map[string]Copy{
				"a": copyAt("a", gwsession.Position{Term: 1, Offset: 5}),
				"b": copyAt("b", gwsession.Position{Term: 1, Offset: 5}),
			}
			owners.mu.Unlock()
			run(time.Second)
			g, _ := v.State.Group("g")
			require.Equal(t, gwstate.Serving, g.Phase, "a server that is back is found within a second")
			for i := 1; i < len(owners.fences); i++ {
				a, b := owners.fences[i-1], owners.fences[i]
				assert.True(t, a.Attempt < b.Attempt || a.Attempt == b.Attempt && a.Try <= b.Try, "%+v before %+v", a, b)
			}
		})
	}
}

// Guards against groups that were withdrawn from the manifest and cost the leader more the more of
// them there were: a change of primary that never ends for each of them, and a leadership that
// never moves to a better region because nobody holds their leases.
func TestWithdrawnGroupsCostNothing(t *testing.T) {
	const withdrawn = 100
	clock := clockwork.NewFakeClock()
	v := newSteppedVoter(t, clock)
	text, err := gwexamples.Files.ReadFile("ecodour/manifest.jsonc")
	require.NoError(t, err)
	parsed, err := gwmanifest.ParseManifest("example", text)
	require.NoError(t, err)
	m := parsed.WithDefaults()
	manifest := m.Index()
	inForce := m.Databases[0].Groups[0].Name
	for i := range withdrawn {
		v.propose(gwstate.StartGroup{Group: fmt.Sprintf("withdrawn-%d", i), Primary: "a", Term: 1})
	}
	l := &Leader{
		consensus: v.Consensus, state: v.State, clock: clock, log: v.Log, owners: silentOwners{},
		waits: make(changeWaits), changing: make(map[string]bool), onChanged: func(string, time.Duration) {},
		manifest: func() *gwmanifest.Index { return manifest },
	}
	unleased := make(leaselessSince)
	check := func() int {
		for range 5 {
			l.checkGroups(unleased)
			clock.Advance(leaselessLimit / 2)
			v.updateStatus() // else the voter counts as standing still
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.changing)
	}
	assert.Zero(t, check(), "changes of primary of withdrawn groups")
	assert.True(t, l.leasesHeld())

	v.propose(gwstate.StartGroup{Group: inForce, Primary: "a", Term: 1})
	assert.False(t, l.leasesHeld())
	check()
	begun := func() bool {
		// With the long steps of check the voter may count as standing still for a moment, which
		// ends a change that has just begun, and a proposal may time out.
		clock.Advance(changeRetryDelay)
		v.updateStatus()
		l.checkGroups(unleased)
		select {
		case f := <-v.calls:
			v.pass(f)
		default:
		}
		g, _ := v.State.Group(inForce)
		l.mu.Lock()
		defer l.mu.Unlock()
		return g.Phase == gwstate.Changing && len(l.changing) == 1
	}
	require.Eventually(t, begun, 5*time.Second, time.Millisecond, "the change of the group in force begins")
	manifest = (&gwmanifest.Manifest{}).Index()
	ended := func() bool {
		clock.Advance(changeRetryDelay)
		v.updateStatus()
		select {
		case f := <-v.calls:
			v.pass(f)
		default:
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.changing) == 0
	}
	assert.Eventually(t, ended, 5*time.Second, time.Millisecond, "the change ends when its group is withdrawn")
}

// refusingPlatform refuses all calls until it is up.
type refusingPlatform struct {
	fakePlatform
	up    atomic.Bool
	calls atomic.Int64
}

func (p *refusingPlatform) Promote(ctx context.Context, c Promotion) (time.Time, error) {
	p.calls.Add(1)
	if p.up.Load() {
		return p.fakePlatform.Promote(ctx, c)
	}
	return c.Until.Add(-promoteSendLimit), &Error{Op: "promote server", Kind: Refused, Detail: "status 409"}
}

// Guards against a change of primary whose calls the platform refuses, and which adds entries to
// the log and calls as fast as it can.
func TestRefusedCallsAreRepeatedLessOften(t *testing.T) {
	clock := clockwork.NewFakeClock()
	v := newSteppedVoter(t, clock)
	v.propose(
		gwstate.StartGroup{Group: "g", Primary: "a", Term: 1},
		gwstate.SetCopies{Group: "g", Term: 1, Copies: at10("a", "b", "c")},
	)
	p := &refusingPlatform{}
	owners := &pastOwners{scriptedOwners: scriptedOwners{fakeOwners: fakeOwners{platform: p}, servers: returnedAt(at10("a", "b", "c"))}}
	owners.answers = map[string]Copy{
		"b": copyAt("b", gwsession.Position{Term: 1, Offset: 5}),
		"c": copyAt("c", gwsession.Position{Term: 1, Offset: 5}),
	}
	l := &Leader{
		consensus: v.Consensus, state: v.State, clock: clock, log: v.Log, owners: owners, promoter: p,
		waits: make(changeWaits), onChanged: func(string, time.Duration) {},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.changePrimary("g", 1, "the primary is lost")
	}()
	run := func(d time.Duration) { v.runWhile(clock, d, 500*time.Microsecond, done) }
	run(time.Second)
	assert.Greater(t, p.calls.Load(), int64(3), "soon after the first refusal")
	first, calls := v.State.Index(), p.calls.Load()
	run(20 * time.Second)
	t.Logf("%d entries, %d calls in 20 s", v.State.Index()-first, p.calls.Load()-calls)
	assert.LessOrEqual(t, v.State.Index()-first, uint64(150), "entries in 20 s")
	assert.LessOrEqual(t, p.calls.Load()-calls, int64(45), "calls in 20 s")
	p.up.Store(true)
	run(3 * time.Second)
	g, _ := v.State.Group("g")
	assert.Equal(t, gwstate.Serving, g.Phase)
}
