package gwquota

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const modelCustomer = "c"

// model is a deployment at which messages are late or lost, agents restart and stand still, their
// clocks differ by 1%, and leaders follow one another.
type model struct {
	t      *rapid.T
	now    time.Duration // true time
	agents []*modelAgent
	// ledgers are those of all leaders so far. The last one leads; earlier ones may still carry
	// out what they received while they led.
	ledgers []*Ledger
	// holders are the agents that each leader knows as recorded, if records is set.
	holders  map[*Ledger]map[string]bool
	records  bool
	messages []modelMessage
	rules    Rules
	limit    Limit
	// most is the largest limit so far.
	most Limit
	// bound is the largest bound so far on the operations in a window of the rules.
	bound float64
	// ran are the true times of the admissions that were not returned.
	ran []time.Duration
}

type modelAgent struct {
	*Agent
	name   string
	epoch  uint64
	speed  float64
	paused time.Duration // until this true time
	// open are the admissions that may be returned, as indexes of ran.
	open []int
}

// modelMessage is a report that a leader has confirmed, or an answer, that is under way.
type modelMessage struct {
	agent  *modelAgent
	run    *Agent
	report Report
	// ledger handles the report; nil for an answer.
	ledger *Ledger
	answer Answer
}

func (a *modelAgent) clock(now time.Duration) time.Time {
	return testStart.Add(time.Duration(float64(now) * a.speed))
}

func (m *model) leaderTime() time.Time { return testStart.Add(m.now) }

func newModel(t *rapid.T) *model {
	m := &model{t: t, holders: make(map[*Ledger]map[string]bool), rules: rapid.SampledFrom([]Rules{testRules, {}}).Draw(t, "rules")}
	m.limit = NewLimit(20, 20, m.rules)
	m.most, m.bound = m.limit, m.rules.Bound(20, 20)
	for i := range rapid.IntRange(1, 4).Draw(t, "agents") {
		a := &modelAgent{name: fmt.Sprint("agent", i), speed: rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(t, "speed")}
		m.agents = append(m.agents, a)
		m.restart(a)
	}
	m.records = rapid.Bool().Draw(t, "holders are recorded")
	m.lead(Earlier{None: true})
	return m
}

// follow makes another leader follow, which knows the recorded holders.
func (m *model) follow() {
	if !m.records {
		m.lead(Earlier{})
		return
	}
	holders := []string{}
	known := maps.Clone(m.holders[m.ledgers[len(m.ledgers)-1]])
	for name := range known {
		holders = append(holders, name)
	}
	m.lead(Earlier{Holders: holders})
	m.holders[m.ledgers[len(m.ledgers)-1]] = known
}

// record records the holders of the last ledger and a new one. It returns false if the ledger is
// that of an earlier leader, which can record nothing, and the holder is not recorded.
func (m *model) record(l *Ledger, holder string) bool {
	if l != m.ledgers[len(m.ledgers)-1] {
		return m.holders[l][holder]
	}
	if m.holders[l] == nil || m.holders[l][holder] && rapid.Bool().Draw(m.t, "prune") {
		m.holders[l] = make(map[string]bool)
		for _, name := range l.Holders(m.leaderTime()) {
			m.holders[l][name] = true
		}
	}
	m.holders[l][holder] = true
	return true
}

func (m *model) lead(e Earlier) {
	l := NewLedger(m.leaderTime(), e, true)
	l.SetLimits(map[string]Limit{modelCustomer: m.limit}, len(m.agents))
	m.ledgers = append(m.ledgers, l)
}

func (m *model) restart(a *modelAgent) {
	a.epoch++
	a.Agent, a.open = NewAgent(a.epoch, a.clock(m.now)), nil
	a.SetLimits(a.clock(m.now), map[string]Limit{modelCustomer: m.limit})
	a.SetWanted(func(string) bool { return true })
}

// pick returns an agent that does not stand still, or nil.
func (m *model) pick() *modelAgent {
	a := rapid.SampledFrom(m.agents).Draw(m.t, "agent")
	if m.now < a.paused {
		return nil
	}
	return a
}

func (m *model) pass(*rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 800).Draw(m.t, "ms")) * time.Millisecond
}

// passLong lets about as much time pass as a share is valid.
func (m *model) passLong(*rapid.T) {
	m.now += time.Duration(rapid.IntRange(5000, 9000).Draw(m.t, "long ms")) * time.Millisecond
}

func (m *model) report(*rapid.T) {
	a := m.pick()
	if a == nil {
		return
	}
	a.Measure(a.clock(m.now))
	if r, ok := a.Report(a.clock(m.now)); ok {
		// A leader that may be another one by the time at which it handles the report.
		m.messages = append(m.messages, modelMessage{agent: a, run: a.Agent, report: r, ledger: m.ledgers[len(m.ledgers)-1]})
	}
}

// deliver lets a message arrive; a lost one never does.
func (m *model) deliver(*rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	if msg.ledger == nil {
		if msg.agent.Agent == msg.run && m.now >= msg.agent.paused {
			msg.agent.Apply(msg.agent.clock(m.now), msg.answer)
		}
		return
	}
	if !m.record(msg.ledger, msg.agent.name) {
		return
	}
	answer, ok, err := msg.ledger.Handle(m.leaderTime(), msg.agent.name, msg.report)
	if err != nil {
		m.t.Fatal(err)
	}
	if ok {
		m.messages = append(m.messages, modelMessage{agent: msg.agent, run: msg.run, answer: answer})
	}
}

// exchange is a report that is answered at once.
func (m *model) exchange(t *rapid.T) {
	before := len(m.messages)
	m.report(t)
	if len(m.messages) == before {
		return
	}
	msg := m.messages[before]
	m.messages = m.messages[:before]
	m.record(msg.ledger, msg.agent.name)
	if answer, ok, err := msg.ledger.Handle(m.leaderTime(), msg.agent.name, msg.report); err == nil && ok {
		msg.agent.Apply(msg.agent.clock(m.now), answer)
	}
}

func (m *model) admit(*rapid.T) {
	a := m.pick()
	if a == nil {
		return
	}
	for range rapid.IntRange(1, 60).Draw(m.t, "operations") {
		if a.Admit(a.clock(m.now), modelCustomer, false).Outcome == Granted {
			m.ran = append(m.ran, m.now)
			a.open = append(a.open, len(m.ran)-1)
		}
	}
}

// giveBack returns admissions that did not run.
func (m *model) giveBack(*rapid.T) {
	a := m.pick()
	if a == nil {
		return
	}
	for n := rapid.IntRange(1, 20).Draw(m.t, "returned"); n > 0 && len(a.open) > 0; n-- {
		i := rapid.IntRange(0, len(a.open)-1).Draw(m.t, "which")
		at := m.ran[a.open[i]]
		if at >= 0 && m.now-at < ReturnLimit-50*time.Millisecond && a.Return(a.clock(m.now), modelCustomer, ReturnLimit) {
			m.ran[a.open[i]] = -1
		}
		a.open = append(a.open[:i], a.open[i+1:]...)
	}
}

func (m *model) changeLimit(*rapid.T) {
	rate := rapid.SampledFrom([]float64{5, 20, 40}).Draw(m.t, "rate")
	burst := rapid.SampledFrom([]float64{rate, 2, 0}).Draw(m.t, "burst")
	m.limit = NewLimit(rate, burst, m.rules)
	m.most = Limit{Rate: max(m.most.Rate, m.limit.Rate), Capacity: max(m.most.Capacity, m.limit.Capacity)}
	m.bound = max(m.bound, m.rules.Bound(rate, burst))
	limits := map[string]Limit{modelCustomer: m.limit}
	m.ledgers[len(m.ledgers)-1].SetLimits(limits, len(m.agents))
	for _, a := range m.agents {
		if rapid.Bool().Draw(m.t, "has the manifest") {
			a.SetLimits(a.clock(m.now), limits)
		}
	}
}

func (m *model) removeCustomer(*rapid.T) {
	m.ledgers[len(m.ledgers)-1].SetLimits(nil, len(m.agents))
	for _, a := range m.agents {
		if rapid.Bool().Draw(m.t, "has the manifest") {
			a.SetLimits(a.clock(m.now), nil)
		}
	}
}

func (m *model) disturb(t *rapid.T) {
	a := rapid.SampledFrom(m.agents).Draw(m.t, "agent")
	switch rapid.IntRange(0, 4).Draw(m.t, "what") {
	case 0:
		m.restart(a)
	case 1:
		a.paused = m.now + time.Duration(rapid.IntRange(100, 12000).Draw(m.t, "pause"))*time.Millisecond
	case 2:
		m.follow()
	case 3:
		a.Release(a.clock(m.now))
	default:
		a.Failed()
	}
}

// check compares the admissions in every window with the limit.
func (m *model) check(t *rapid.T) {
	sum := Parts(0)
	for _, a := range m.agents {
		sum += a.Share(a.clock(m.now), modelCustomer)
	}
	if sum > Whole {
		t.Fatalf("shares of %d parts are valid", sum)
	}
	var ran []time.Duration
	for _, at := range m.ran {
		if at >= 0 {
			ran = append(ran, at)
		}
	}
	if len(ran) == 0 || ran[len(ran)-1] != m.now {
		return
	}
	for i, at := range ran {
		allowed := m.most.Capacity + m.most.Rate*1.01*(m.now-at).Seconds()
		if n := float64(len(ran) - i); n > allowed+1e-6 {
			t.Fatalf("%v operations in %v, at most %.1f are allowed", n, m.now-at, allowed)
		}
		if n := float64(len(ran) - i); m.rules.Window > 0 && m.now-at <= m.rules.Window && n > m.bound {
			t.Fatalf("%v operations in %v, the rules allow %.1f in %v", n, m.now-at, m.bound, m.rules.Window)
		}
	}
}

// Guards against any order of messages, pauses, restarts, changes of the leader and of limits in
// which more operations are admitted than the limit allows, or shares of more than the whole are
// valid at the same time.
func TestNeverAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":               m.check,
			"pass":           m.pass,
			"passLong":       m.passLong,
			"report":         m.report,
			"deliver":        m.deliver,
			"exchange1":      m.exchange,
			"exchange2":      m.exchange,
			"exchange3":      m.exchange,
			"admit1":         m.admit,
			"admit2":         m.admit,
			"giveBack":       m.giveBack,
			"changeLimit":    m.changeLimit,
			"removeCustomer": m.removeCustomer,
			"disturb":        m.disturb,
		})
	})
}

// Guards against an agent and a ledger that disagree after lost messages for longer than one
// exchange, and against shares that nobody holds any more.
func TestSharesReturnAfterDisturbance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 30).Draw(t, "disturbances") {
			rapid.SampledFrom([]func(*rapid.T){m.pass, m.report, m.deliver, m.exchange, m.admit, m.disturb}).Draw(t, "action")(t)
		}
		for _, a := range m.agents {
			a.paused = 0
			a.SetWanted(func(string) bool { return true })
		}
		for range 50 {
			for _, a := range m.agents {
				a.Measure(a.clock(m.now))
				r, ok := a.Report(a.clock(m.now))
				if !ok {
					continue
				}
				m.record(m.ledgers[len(m.ledgers)-1], a.name)
				answer, ok, err := m.ledgers[len(m.ledgers)-1].Handle(m.leaderTime(), a.name, r)
				if err != nil || !ok {
					t.Fatalf("report refused: %v", err)
				}
				a.Apply(a.clock(m.now), answer)
			}
			m.now += ReportInterval
		}
		sum := Parts(0)
		for _, a := range m.agents {
			share := a.Share(a.clock(m.now), modelCustomer)
			if share == 0 && m.limit.Capacity >= float64(len(m.agents)) {
				t.Fatalf("%s has no share", a.name)
			}
			sum += share
		}
		if math.Abs(float64(sum)-float64(Whole)) > float64(leastMove)*float64(len(m.agents)) {
			t.Fatalf("%d of %d parts are in use", sum, Whole)
		}
	})
}

// Guards against messages that do not arrive as they were sent, and against input that ends a
// process.
func TestMessages(t *testing.T) {
	lines := []Line{
		{ID: 0, Name: "miny420", Held: Whole, Wanted: true, Demand: 200},
		{ID: 0, Demand: maxDemand, Returned: 1 << 40},
		{ID: 70, Wanted: true},
		{ID: 71, Name: "a", Held: 1},
	}
	var b []byte
	for _, l := range lines {
		b = appendLine(b, l)
	}
	got, err := readLines(b)
	assert.NoError(t, err)
	assert.Equal(t, lines, got)
	shares := []Share{{ID: 3, Parts: Whole, Tokens: 400}, {ID: 0}}
	b = nil
	for _, s := range shares {
		b = appendShare(b, s)
	}
	gotShares, err := readShares(b)
	assert.NoError(t, err)
	assert.Equal(t, shares, gotShares)
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		l := NewLedger(testStart, Earlier{None: true}, true)
		_, _, _ = l.Handle(testStart, "a", Report{Epoch: 1, Sequence: 1, Lines: b})
		_, _, _ = l.Handle(testStart, "a", Report{Epoch: 1, Sequence: 2, Base: 1, Lines: b})
		a := NewAgent(1, testStart)
		a.Release(testStart)
		if _, ok := a.Report(testStart); ok {
			a.Apply(testStart, Answer{Sequence: 1, Shares: b})
		}
	})
}
