package gwpool

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model carries out the decisions of a pool and checks them.
type model struct {
	t       require.TestingT
	p       *Pool
	now     time.Time
	inUse   []string // user of each connection
	dials   []string
	closing int
	waiters []*Waiter
	actions []Action
}

// decide carries out all decisions.
func (m *model) decide() {
	before := m.p.Count()
	for n := 0; ; n++ {
		require.Less(m.t, n, 1000, "endless decisions")
		a, ok := m.p.Next(m.now)
		if !ok {
			break
		}
		m.actions = append(m.actions, a)
		switch a.Kind {
		case Grant:
			require.Equal(m.t, a.User, a.Waiter.User, "connection of another user")
			require.Contains(m.t, m.waiters, a.Waiter)
			m.waiters = slices.DeleteFunc(m.waiters, func(w *Waiter) bool { return w == a.Waiter })
			m.inUse = append(m.inUse, a.User)
		case Dial:
			require.LessOrEqual(m.t, m.p.Count(), m.p.Limit(), "dial beyond the limit")
			m.dials = append(m.dials, a.User)
		case Close:
			m.closing++
		}
	}
	require.LessOrEqual(m.t, m.p.Count(), max(before, m.p.limit))
	s := m.p.Stats()
	require.Equal(m.t, Stats{Idle: s.Idle, InUse: len(m.inUse), Dialing: len(m.dials), Closing: m.closing, Waiting: len(m.waiters)}, s)
	require.GreaterOrEqual(m.t, s.Idle, 0)
}

func (m *model) acquire(user string) *Waiter {
	if m.p.Take(user, m.now) {
		m.inUse = append(m.inUse, user)
		m.decide()
		return nil
	}
	w := m.p.Wait(user, m.now, nil)
	m.waiters = append(m.waiters, w)
	m.decide()
	return w
}

// take removes and returns an element.
func take(t *rapid.T, s *[]string) string {
	i := 0
	if t != nil {
		i = rapid.IntRange(0, len(*s)-1).Draw(t, "i")
	}
	v := (*s)[i]
	*s = slices.Delete(*s, i, i+1)
	return v
}

// step ends one dial, close or use; it returns false if there is none.
func (m *model) step() bool {
	switch {
	case len(m.dials) > 0:
		m.p.Dialed(take(nil, &m.dials), 12*time.Millisecond)
	case m.closing > 0:
		m.closing--
		m.p.Closed()
	case len(m.inUse) > 0:
		m.p.Released(take(nil, &m.inUse))
	default:
		return false
	}
	m.decide()
	return true
}

// Guards against more connections than the limit, a connection that is granted to another user,
// and requests that wait for ever after any order of events.
func TestPoolEvents(t *testing.T) {
	users := []string{"", "a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, p: New(rapid.IntRange(1, 6).Draw(t, "limit"), rapid.IntRange(0, 2).Draw(t, "idle")), now: testNow}
		m.decide()
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			event := rapid.IntRange(0, 11).Draw(t, "event")
			switch {
			case event <= 3:
				m.acquire(rapid.SampledFrom(users).Draw(t, "user"))
			case event == 4 && len(m.waiters) > 0:
				w := m.waiters[0]
				m.waiters = m.waiters[1:]
				require.True(t, m.p.Withdraw(w))
			case event == 5 && len(m.inUse) > 0:
				m.p.Lost(take(t, &m.inUse))
			case event == 6 && len(m.dials) > 0:
				for _, w := range m.p.DialFailed(take(t, &m.dials), rapid.Bool().Draw(t, "refused"), m.now) {
					m.waiters = slices.DeleteFunc(m.waiters, func(o *Waiter) bool { return o == w })
				}
			case event == 7:
				m.p.SetLimit(rapid.IntRange(1, 6).Draw(t, "new limit"))
			default:
				m.step()
			}
			m.decide()
		}
		for range 1000 {
			m.now = m.now.Add(time.Second)
			m.decide()
			if !m.step() && len(m.waiters) == 0 {
				break
			}
		}
		require.Empty(t, m.waiters, "requests that wait for ever")
		require.LessOrEqual(t, m.p.Count(), m.p.limit)
	})
}

// Guards against a user that holds all connections while others wait, and against one that is
// refused connections which nobody else needs.
func TestShareOfOneUser(t *testing.T) {
	m := &model{t: t, p: New(73, 0), now: testNow}
	for range 100 {
		m.acquire("a")
		for len(m.dials) > 0 {
			m.p.Dialed(take(nil, &m.dials), time.Millisecond)
			m.decide()
		}
	}
	assert.Len(t, m.inUse, 49, "of one user")
	assert.False(t, m.p.Available("a", m.now))
	assert.True(t, m.p.Available("b", m.now))
	m.acquire("b")
	assert.Equal(t, Action{Kind: Dial, User: "b"}, m.actions[len(m.actions)-1])
}

// Guards against a request that waits behind later ones of the user of the only connection.
func TestOldestWaiterGetsConnection(t *testing.T) {
	m := &model{t: t, p: New(1, 0), now: testNow}
	m.acquire("a")
	require.True(t, m.step())
	other := m.acquire("b")
	m.acquire("a")
	m.acquire("a")
	m.p.Released(take(nil, &m.inUse))
	m.decide()
	last := m.actions[len(m.actions)-1]
	assert.Equal(t, Action{Kind: Close, User: "a", ForOther: true}, last)
	require.True(t, m.step()) // closed
	require.True(t, m.step()) // dialed
	assert.NotContains(t, m.waiters, other)
}

// Guards against a server that is flooded with dials which it refuses, against requests that wait
// for the next attempt while idle connections could be closed, and against a pool that stays
// small.
func TestRefusedDials(t *testing.T) {
	m := &model{t: t, p: New(10, 0), now: testNow}
	accepts, refused := 3, 0
	run := func(d time.Duration) {
		for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(10 * time.Millisecond) {
			m.acquire(string(rune('a' + int(m.now.UnixMilli()/10)%8)))
			for {
				if len(m.dials) > 0 && m.p.Count()-len(m.dials) >= accepts {
					refused++
					for _, w := range m.p.DialFailed(take(nil, &m.dials), true, m.now) {
						m.waiters = slices.DeleteFunc(m.waiters, func(o *Waiter) bool { return o == w })
					}
					m.decide()
				} else if !m.step() {
					break
				}
			}
			require.Empty(t, m.waiters, "after %v", m.now.Sub(testNow))
		}
	}
	run(3 * time.Second)
	assert.LessOrEqual(t, refused, 10)
	assert.LessOrEqual(t, m.p.Stats().Idle, accepts)
	accepts = 100
	run(6 * time.Second)
	assert.Equal(t, 8, m.p.Stats().Idle, "one of each user")
}

// Guards against users that are remembered without bound.
func TestUsersAreForgotten(t *testing.T) {
	p := New(4, 0)
	for i := range 5000 {
		w := p.Wait(userName(i), testNow.Add(time.Duration(i)*time.Second), nil)
		p.Withdraw(w)
	}
	assert.LessOrEqual(t, len(p.users), maxUsers)
}

// Guards against a wrong expectation of when a connection is needed: regular, random, stopped
// and new needs.
func TestExpectedWait(t *testing.T) {
	every := func(n int, interval time.Duration) need {
		var e need
		for i := range n {
			e.record(testNow.Add(time.Duration(i-n+1) * interval))
		}
		return e
	}
	fast, slow, once := every(50, 100*time.Millisecond), every(50, 10*time.Second), every(1, 0)
	assert.InDelta(t, 0.07, fast.wait(testNow.Add(30*time.Millisecond)), 0.01, "regular")
	assert.InDelta(t, 9, slow.wait(testNow.Add(time.Second)), 0.1, "regular")
	assert.Greater(t, fast.wait(testNow.Add(10*time.Minute)), slow.wait(testNow.Add(time.Second)), "stopped")
	assert.Greater(t, once.wait(testNow.Add(time.Second)), fast.wait(testNow), "new")
	assert.Less(t, once.wait(testNow.Add(time.Second)), slow.wait(testNow), "new")
}
