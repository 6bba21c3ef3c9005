package gwquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

var (
	testRules = Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testStart = time.Unix(1000, 0)
)

// step is the time between two events of a world, and answerDelay the time that a leader takes.
const (
	step        = 5 * time.Millisecond
	answerDelay = 200 * time.Millisecond
)

// world is a deployment without a network: one agent for all customers in each data centre, which
// the callers of the data centre ask.
type world struct {
	rng       *rand.Rand
	now       time.Time
	limits    map[string]Limit
	customers []*worldCustomer
	sites     []*site
	ledger    *Ledger // nil while no leader is known
	ticks     int
	reports   int
	bytes     int
	changes   int
}

// site is a data centre with its agent, which is nil while none runs.
type site struct {
	name   string
	epoch  uint64
	agent  *Agent
	answer func()
	due    time.Time
}

type worldCustomer struct {
	name        string
	rate, burst float64 // the limit
	load        float64 // operations per second
	bySite      []float64
	oracle      bucket
	// admitted and within count what agents and the oracle have admitted, by windows of 2 s.
	admitted, within []float64
	sent             []time.Time
}

// newWorld returns a world of customers of sizes as Zipf's law with 1.2 describes, with limits of 1.6
// times their usual load, and a burst of one second of the rate.
func newWorld(seed uint64, customers, sites int, load float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: testStart, limits: make(map[string]Limit)}
	sum := 0.0
	for i := range customers {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range customers {
		usual := load * math.Pow(float64(i+1), -1.2) / sum
		c := &worldCustomer{name: fmt.Sprintf("customer%03d", i), rate: 1.6 * usual, burst: 1.6 * usual, load: usual}
		for range sites {
			c.bySite = append(c.bySite, 1/float64(sites))
		}
		c.oracle.set(w.now, c.rate, max(c.burst, 1), max(c.burst, 1))
		w.customers = append(w.customers, c)
		w.limits[c.name] = NewLimit(c.rate, c.burst, testRules)
	}
	for i := range sites {
		w.sites = append(w.sites, &site{name: fmt.Sprintf("site%d", i)})
		w.restart(i)
	}
	w.ledger = w.newLedger(Earlier{None: true})
	return w
}

func (w *world) newLedger(e Earlier) *Ledger {
	l := NewLedger(w.now, e, true)
	l.SetLimits(w.limits, len(w.sites))
	return l
}

// restart starts a new run of the agent of a site.
func (w *world) restart(i int) {
	s := w.sites[i]
	s.epoch++
	s.agent, s.answer = NewAgent(s.epoch, w.now), nil
	s.agent.SetLimits(w.now, w.limits)
	s.agent.SetWanted(func(string) bool { return true })
}

// setLimits changes the limits everywhere.
func (w *world) setLimits() {
	w.ledger.SetLimits(w.limits, len(w.sites))
	for _, s := range w.sites {
		s.agent.SetLimits(w.now, w.limits)
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for i, s := range w.sites {
			w.carry(s, w.ticks%100 == i*100/len(w.sites))
		}
		for _, c := range w.customers {
			w.arrivals(c)
		}
		w.ticks++
	}
}

// carry carries the messages of a site's agent.
func (w *world) carry(s *site, tick bool) {
	if s.answer != nil && !w.now.Before(s.due) {
		s.answer()
		s.answer = nil
	}
	if s.agent == nil {
		return
	}
	if next := s.agent.Next(); !tick && (next.IsZero() || w.now.Before(next)) {
		return
	}
	if tick {
		s.agent.Measure(w.now)
	}
	if s.answer == nil {
		w.report(s)
	}
}

func (w *world) report(s *site) {
	agent := s.agent
	r, ok := agent.Report(w.now)
	if !ok {
		return
	}
	w.reports++
	w.bytes += encodedSize(r)
	s.due = w.now.Add(answerDelay)
	s.answer = func() {
		if w.ledger == nil {
			agent.Failed()
			return
		}
		a, ok, err := w.ledger.Handle(w.now, s.name, r)
		if err != nil || !ok {
			panic(fmt.Sprint("report refused: ", err))
		}
		w.bytes += encodedSize(a)
		changes, repeat := agent.Apply(w.now, a)
		w.changes += len(changes)
		if repeat {
			w.report(s)
			s.answer()
		}
	}
}

// arrivals sends the operations of a customer in one step.
func (w *world) arrivals(c *worldCustomer) {
	slot := int(w.now.Sub(testStart) / (2 * time.Second))
	for len(c.admitted) <= slot {
		c.admitted, c.within = append(c.admitted, 0), append(c.within, 0)
	}
	for i, part := range c.bySite {
		mean := c.load * part * step.Seconds()
		for n := poisson(w.rng, mean); n > 0; n-- {
			if _, ok := c.oracle.take(w.now); ok {
				c.within[slot]++
			}
			if w.admit(i, c.name) {
				c.admitted[slot]++
				c.sent = append(c.sent, w.now)
			}
		}
	}
}

// admit asks the agent of a site, then those of the other sites of its half.
func (w *world) admit(at int, customer string) bool {
	half := (len(w.sites) + 1) / 2
	answered := false
	for i := range half {
		s := w.sites[at/half*half+(at%half+i)%half]
		if s.agent == nil {
			continue
		}
		if s.agent.Admit(w.now, customer, answered).Outcome == Granted {
			return true
		}
		answered = true
	}
	return false
}

func poisson(r *rand.Rand, mean float64) int {
	n, p := 0, r.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= r.Float64()
	}
	return n
}

// served returns the part of what the oracle admitted between two times that the agents admitted,
// where more than the oracle admitted in a window counts for nothing.
func (w *world) served(from, to time.Time) float64 {
	got, want := 0.0, 0.0
	for _, c := range w.customers {
		for i := int(from.Sub(testStart) / (2 * time.Second)); i < int(to.Sub(testStart)/(2*time.Second)); i++ {
			got += min(c.admitted[i], c.within[i])
			want += c.within[i]
		}
	}
	return got / want
}

// mostOver returns the largest excess over the bound of the rules in any window.
func (w *world) mostOver() float64 {
	worst := math.Inf(-1)
	for _, c := range w.customers {
		first := 0
		for i, t := range c.sent {
			for t.Sub(c.sent[first]) >= testRules.Window {
				first++
			}
			worst = max(worst, float64(i-first+1)-testRules.Bound(c.rate, c.burst))
		}
	}
	return worst
}
