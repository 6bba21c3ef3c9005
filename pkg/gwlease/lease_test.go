package gwlease

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result; the command line
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const testDrift = 0.1 // large, so that errors in the bounds show up within a few steps

// clock is a simulated clock with a rate within the drift bound.
type clock struct {
	now  time.Time
	rate float64
}

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(time.Duration(float64(d) * c.rate)) }

// simulation is a granter and its holders with drifting clocks and an unreliable network.
type simulation struct {
	cfg      Config
	clocks   []*clock // the last one is the granter's
	holders  []*Holder
	epochs   map[string]uint64 // last epoch by name; different names use the same numbers
	granter  *Granter
	messages []any
}

type envelope struct {
	to     string
	answer Answer
}

// newSimulation returns a simulation in which two processes have the same name, as after
// an instance was started twice by mistake.
func newSimulation(t *rapid.T) *simulation {
	w := &simulation{cfg: Config{Drift: testDrift}, epochs: make(map[string]uint64)}
	for i := range 4 {
		rate := rapid.SampledFrom([]float64{1 - testDrift, 1, 1 + testDrift}).Draw(t, "rate")
		w.clocks = append(w.clocks, &clock{now: time.Unix(int64(1000*i), 0), rate: rate})
	}
	for _, name := range []string{"h", "h", "i"} {
		w.holders = append(w.holders, w.newHolder(name))
	}
	w.granter = NewGranter(w.cfg)
	return w
}

func (w *simulation) newHolder(name string) *Holder {
	w.epochs[name]++
	return NewHolder(name, w.epochs[name], w.cfg)
}

func (w *simulation) time(i int) time.Time { return w.clocks[i].now }

func (w *simulation) granterTime() time.Time { return w.time(len(w.holders)) }

func (w *simulation) advance(d time.Duration) {
	for _, c := range w.clocks {
		c.advance(d)
	}
}

// request queues the request of a holder if one is due.
func (w *simulation) request(i int) {
	if req, ok := w.holders[i].Request(w.time(i)); ok {
		w.messages = append(w.messages, req)
	}
}

// deliver delivers a message to its receiver.
func (w *simulation) deliver(m any) {
	switch m := m.(type) {
	case Request:
		w.granter.Expire(w.granterTime())
		w.messages = append(w.messages, envelope{m.Holder, w.granter.Grant(m, w.granterTime())})
	case Return:
		w.granter.Return(m)
	case envelope:
		for i, h := range w.holders {
			if h.instance == m.to {
				h.Answer(m.answer, w.time(i))
			}
		}
	}
}

// check fails if two holders consider themselves the holder of the group's lease.
func (w *simulation) check(t *rapid.T) {
	holder := -1
	for i, h := range w.holders {
		if h.Remaining("g", w.time(i)) == 0 {
			continue
		}
		if holder >= 0 {
			t.Fatalf("the lease is held by %d and %d", holder, i)
		}
		holder = i
	}
}

// Guards against two holders of one lease under clock drift, delay, loss, duplication and
// reordering of messages, and restarts.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		holder := rapid.IntRange(0, 2)
		steps := []int{1, 100, 700, 1799, 1801, 1980, 2001, 2199, 2201} // around the expiry of leases
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom(steps).Draw(t, "ms")) * time.Millisecond)
			},
			"acquire": func(t *rapid.T) { // at once, overtaking messages in flight
				i := holder.Draw(t, "holder")
				w.holders[i].Want("g", 1)
				w.advance(time.Duration(rapid.IntRange(0, 1).Draw(t, "pause")) * 350 * time.Millisecond)
				w.request(i)
				for range 2 {
					if n := len(w.messages); n > 0 {
						w.deliver(w.messages[n-1])
					}
				}
			},
			"request": func(t *rapid.T) { w.request(holder.Draw(t, "holder")) },
			"return": func(t *rapid.T) {
				if r, ok := w.holders[holder.Draw(t, "holder")].ReturnAll(); ok {
					w.messages = append(w.messages, r)
				}
			},
			"deliver": func(t *rapid.T) { // a copy; the message stays in flight
				if n := len(w.messages); n > 0 {
					w.deliver(w.messages[rapid.IntRange(0, n-1).Draw(t, "message")])
				}
			},
			"lose": func(*rapid.T) { w.messages = nil },
			"want a new term": func(t *rapid.T) {
				w.holders[holder.Draw(t, "holder")].Want("g", rapid.Uint64Range(2, 3).Draw(t, "term"))
			},
			"restart holder": func(t *rapid.T) {
				i := holder.Draw(t, "holder")
				w.holders[i] = w.newHolder(w.holders[i].instance)
			},
			"replace granter": func(t *rapid.T) { // with a voter that has the same table and another clock
				table := w.granter.Table(w.granterTime())
				jump := rapid.IntRange(-3, 3).Draw(t, "jump")
				w.clocks[3].now = w.clocks[3].now.Add(time.Duration(jump) * time.Second)
				w.granter = NewGranter(w.cfg)
				w.granter.Restore(table, w.granterTime())
			},
			"lose table": func(*rapid.T) {
				w.granter = NewGranter(w.cfg)
				w.granter.Suspend(w.granterTime())
			},
		})
	})
}

// Guards against a return that arrives after a later request and frees the lease of that
// request.
func TestReorderedReturn(t *testing.T) {
	now := time.Unix(1, 0)
	h, g := NewHolder("h", 1, Config{}), NewGranter(Config{})
	h.Want("g", 1)
	early, _ := h.Request(now)
	returned, _ := h.ReturnAll()
	h.Want("g", 1)
	late, _ := h.Request(now)
	h.Answer(g.Grant(early, now), now)
	require.False(t, h.Valid("g", 1, now), "the return in flight may free this grant")
	h.Answer(g.Grant(late, now), now)
	g.Grant(early, now) // repeated
	g.Return(returned)
	require.True(t, h.Valid("g", 1, now))
	other := Request{Holder: "i", Epoch: 2, Sequence: 1, Groups: late.Groups}
	assert.Equal(t, ReasonHeld, g.Grant(other, now).Refused[0].Reason)

	again, _ := h.ReturnAll()
	g.Return(again)
	assert.Equal(t, ReasonReordered, g.Grant(late, now).Refused[0].Reason, "request older than the return")
	assert.Empty(t, g.Grant(other, now).Refused)
	g.Return(Return{Holder: "h", Epoch: 2, Sequence: 9, Groups: late.Groups})
	_, held := g.Holder("g")
	assert.True(t, held, "return by another holder with the same epoch")
}

// Guards against a granter that grants at once although its table was copied from one that
// had lost its own table and was still suspended.
func TestRestoreKeepsSuspension(t *testing.T) {
	now := time.Unix(1, 0)
	lost, replacement := NewGranter(Config{}), NewGranter(Config{})
	lost.Suspend(now)
	replacement.Restore(lost.Table(now), now)
	req := Request{Holder: "h", Epoch: 1, Sequence: 1, Groups: []GroupTerm{{"g", 1}}}
	assert.Equal(t, ReasonStarting, replacement.Grant(req, now).Refused[0].Reason)
	assert.Empty(t, replacement.Grant(req, now.Add(2021*time.Millisecond)).Refused)
}

// Guards against a holder that renews late, counts a lease from the answer or ignores a
// refusal.
func TestHolderTimes(t *testing.T) {
	start := time.Unix(1, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h, g := NewHolder("h", 1, Config{}), NewGranter(Config{})
	h.Want("a", 3)
	req, ok := h.Request(at(0))
	require.True(t, ok)
	_, ok = h.Request(at(100))
	assert.False(t, ok, "request while one is in flight")
	h.Answer(g.Grant(req, at(150)), at(300))
	assert.Equal(t, 1980*time.Millisecond, h.Remaining("a", at(0)))
	assert.True(t, h.Valid("a", 3, at(1979)))
	assert.False(t, h.Valid("a", 3, at(1980)))
	assert.False(t, h.Valid("a", 2, at(300)), "other term")
	next, ok := h.Next()
	assert.True(t, ok)
	assert.Equal(t, at(666), next.Truncate(time.Millisecond))

	lost, ok := h.Request(at(667))
	require.True(t, ok)
	h.Failed(lost.Sequence, at(668))
	next, _ = h.Next()
	assert.Equal(t, at(834), next.Truncate(time.Millisecond), "retry after a failure")

	g.RaiseFloor("a", 4)
	req, ok = h.Request(at(900))
	require.True(t, ok)
	h.Answer(g.Grant(req, at(900)), at(900))
	refusal, ok := h.Refusal("a")
	assert.True(t, ok)
	assert.Equal(t, Refusal{Group: "a", Reason: ReasonOldTerm, Term: 4}, refusal)
	assert.True(t, h.Valid("a", 3, at(1979)), "the lease is valid until its end")
	assert.Empty(t, g.Expired(at(2169)))
	assert.Len(t, g.Expire(at(2171)), 1, "deadline of the grant at 150 ms")
}

// Guards against copies of a table that differ because the clocks differ.
func TestGranterCopiesAgree(t *testing.T) {
	now := time.Unix(1, 0)
	late := now.Add(time.Hour)
	a, b := NewGranter(Config{}), NewGranter(Config{})
	first := Request{Holder: "h", Epoch: 1, Sequence: 1, Groups: []GroupTerm{{"g", 1}}}
	second := Request{Holder: "i", Epoch: 1, Sequence: 1, Groups: []GroupTerm{{"g", 1}}}
	assert.Equal(t, a.Grant(first, now), b.Grant(first, now))
	got := b.Grant(second, late)
	assert.Equal(t, a.Grant(second, now), got)
	assert.Equal(t, ReasonHeld, got.Refused[0].Reason)

	expired := b.Expired(late)
	renewed := Request{Holder: "h", Epoch: 1, Sequence: 2, Groups: first.Groups}
	for _, g := range []*Granter{a, b} {
		g.Grant(renewed, now)
		g.Release(expired) // listed before the renewal
		l, held := g.Holder("g")
		assert.True(t, held)
		assert.Equal(t, "h", l.Holder)
	}
	assert.Equal(t, a.Table(now), b.Table(now))
}
