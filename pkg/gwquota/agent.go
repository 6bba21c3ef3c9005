package gwquota

import (
	"slices"
	"time"
)

// Outcome is the decision about one operation.
type Outcome uint8

// Outcomes of Agent.Admit.
const (
	// NoShare means that the agent holds no usable share of the customer's limit.
	NoShare Outcome = iota
	Granted
	// Over means that the agent's share is used up.
	Over
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Over:
		return "over"
	}
	return "noShare"
}

// Decision is the answer to the request for one operation.
type Decision struct {
	Outcome Outcome
	// Wait is the time until there is capacity, if the outcome is Over.
	Wait time.Duration
}

// Agent admits operations of customers within the shares that it holds.
type Agent struct {
	epoch     uint64
	customers map[string]*holding
	// numbered holds the customers by the IDs of the reports.
	numbered []*holding
	sequence uint64
	// base is the sequence of the last answered report; 0 if the next must be complete.
	base uint64
	// pending is the sequence of the report that waits for its answer, sent at sentAt; 0 if
	// none does.
	pending uint64
	sentAt  time.Time
	// until is when the shares end; zero if there are none.
	until time.Time
	// acknowledge means that the last answer has changed shares, which the next report
	// confirms.
	acknowledge bool
	// announced means that a leader has answered a report of this run, which ends the shares of
	// earlier ones; heldAt is when the agent last held or wanted a share.
	announced bool
	heldAt    time.Time
	// began is when the run began: no share of an earlier run has been used since.
	began time.Time
	// nextAt is when the leader may have more shares; zero if that is not known.
	nextAt time.Time
}

// holding is what an agent knows about one customer.
type holding struct {
	name   string
	limit  Limit
	share  Parts
	bucket bucket
	meter  meter
	// wanted means that the agent is the customer's in its data centre.
	wanted, sentWanted bool
	id                 int // -1 if the customer has not been reported
	// returned are the operations that the next report returns to the leader.
	returned float64
}

// NewAgent returns an agent without shares, of a run that began at the given time. epoch must be
// greater than that of every earlier run of the same instance.
func NewAgent(epoch uint64, began time.Time) *Agent {
	return &Agent{epoch: epoch, began: began, customers: make(map[string]*holding)}
}

// SetLimits sets the limits of all customers that have one. Smaller limits apply at once.
func (a *Agent) SetLimits(now time.Time, limits map[string]Limit) {
	for name, l := range limits {
		h := a.customers[name]
		if h == nil {
			h = &holding{name: name, id: -1}
			a.customers[name] = h
		}
		h.limit = l
		h.resize(now, 0)
	}
	for name, h := range a.customers {
		if _, ok := limits[name]; ok {
			continue
		}
		h.limit, h.wanted = Limit{}, false
		h.resize(now, 0)
		if h.id < 0 {
			delete(a.customers, name)
		}
	}
}

// SetWanted sets the customers whose agent this is in its data centre.
func (a *Agent) SetWanted(wanted func(customer string) bool) {
	for name, h := range a.customers {
		h.wanted = h.limit.Rate > 0 && wanted(name)
	}
}

// resize makes the bucket that of the current share and limit.
func (h *holding) resize(now time.Time, tokens float64) {
	h.bucket.set(now, h.share.of(h.limit.Rate), h.share.of(h.limit.Capacity), tokens)
}

// assign changes the share. Operations that exceed a smaller share are returned.
func (h *holding) assign(now time.Time, s Share) {
	h.share = s.Parts
	h.bucket.advance(now)
	before := h.bucket.tokens
	h.resize(now, float64(s.Tokens))
	h.returned = max(0, before-h.bucket.tokens)
}

// Admit decides about one operation. overflow means that it is the demand of another agent, which
// has no capacity; it does not count as demand here.
func (a *Agent) Admit(now time.Time, customer string, overflow bool) Decision {
	h := a.customers[customer]
	if h == nil || h.limit.Rate <= 0 {
		return Decision{Outcome: NoShare}
	}
	if !now.Before(a.until) || h.bucket.capacity < 1 {
		h.count(false, overflow)
		return Decision{Outcome: NoShare}
	}
	wait, ok := h.bucket.take(now)
	h.count(ok, overflow)
	if !ok {
		return Decision{Outcome: Over, Wait: wait}
	}
	return Decision{Outcome: Granted}
}

// count counts an operation of the agent's own demand. What reaches another instance because
// members know different agents must not draw shares there.
func (h *holding) count(admitted, overflow bool) {
	if !overflow && h.wanted {
		h.meter.count(admitted)
	}
}

// Return takes back an admission of the given age at most. It reports whether the operation can
// be admitted again.
func (a *Agent) Return(now time.Time, customer string, age time.Duration) bool {
	h := a.customers[customer]
	return h != nil && now.Before(a.until) && h.bucket.giveBack(now, age)
}

// Share returns the share of a customer that the agent may use.
func (a *Agent) Share(now time.Time, customer string) Parts {
	if h := a.customers[customer]; h != nil && now.Before(a.until) {
		return h.share
	}
	return 0
}

// Valid reports whether the agent holds shares, and until when.
func (a *Agent) Valid(now time.Time) (until time.Time, ok bool) {
	return a.until, now.Before(a.until)
}

// expire drops shares that have ended.
func (a *Agent) expire(now time.Time) {
	if a.until.IsZero() || now.Before(a.until) {
		return
	}
	a.drop(now)
}

func (a *Agent) drop(now time.Time) {
	for _, h := range a.customers {
		h.share = 0
		h.resize(now, 0)
	}
	a.until, a.base = time.Time{}, 0
}

// Release gives up all shares. The next report tells the leader.
func (a *Agent) Release(now time.Time) {
	a.drop(now)
	a.pending, a.acknowledge = 0, true
	for _, h := range a.customers {
		h.wanted, h.meter = false, meter{}
	}
}

// Announced reports whether a leader has answered a report of this run.
func (a *Agent) Announced() bool { return a.announced }

// Next returns the time at which a report is due between two intervals, zero if there is none.
func (a *Agent) Next() time.Time { return a.nextAt }

// Measure ends an interval of the demand. It is called every ReportInterval.
func (a *Agent) Measure(now time.Time) {
	a.expire(now)
	for _, h := range a.customers {
		h.meter.measure(now)
	}
}

// Report returns the next report and true if one is due. The earlier one, if it is not answered,
// is given up: its answer will not be applied.
func (a *Agent) Report(now time.Time) (Report, bool) {
	a.expire(now)
	a.Failed()
	var lines []byte
	needed := a.acknowledge || !a.announced
	if !a.nextAt.IsZero() && !now.Before(a.nextAt) {
		needed, a.nextAt = true, time.Time{}
	}
	if a.base == 0 {
		lines, needed = a.completeLines(needed)
	} else {
		var holds bool
		lines, holds = a.changedLines()
		if holds {
			a.heldAt = now
		}
		// A new leader waits for all that the last one has counted.
		counted := now.Sub(a.heldAt) < CountedValidity
		needed = needed || len(lines) > 0 || counted && now.Sub(a.sentAt) >= RenewInterval
	}
	if !needed {
		return Report{}, false
	}
	a.sequence++
	a.pending, a.sentAt, a.acknowledge = a.sequence, now, false
	r := Report{Epoch: a.epoch, Sequence: a.sequence, Base: a.base, Lines: lines}
	if !a.announced {
		r.RunningMillis = uint32(now.Sub(a.began).Milliseconds())
	}
	return r, true
}

// completeLines numbers the customers that matter anew and returns their lines.
func (a *Agent) completeLines(needed bool) ([]byte, bool) {
	a.numbered = a.numbered[:0]
	var lines []byte
	for _, name := range a.names() {
		h := a.customers[name]
		h.id, h.sentWanted = -1, false
		h.meter.sent = demandOf(h.meter.mean)
		if h.share == 0 && !h.wanted && h.meter.sent == 0 {
			if h.limit.Rate <= 0 {
				delete(a.customers, name)
			}
			continue
		}
		lines, needed = appendLine(lines, a.number(h)), true
	}
	return lines, needed
}

func (a *Agent) names() []string {
	out := make([]string, 0, len(a.customers))
	for name := range a.customers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// number gives a customer an ID and returns its first line.
func (a *Agent) number(h *holding) Line {
	h.id, h.sentWanted, h.returned = len(a.numbered), h.wanted, 0
	a.numbered = append(a.numbered, h)
	return Line{ID: uint64(h.id), Name: h.name, Held: h.share, Wanted: h.wanted, Demand: h.meter.sent}
}

// changedLines returns the lines of the customers that have changed, and whether the agent holds
// or wants anything.
func (a *Agent) changedLines() (lines []byte, holds bool) {
	for _, name := range a.names() {
		h := a.customers[name]
		holds = holds || h.share > 0 || h.wanted
		demand, changed := h.meter.changed(h.bucket.rate, h.wanted)
		if !changed && h.wanted == h.sentWanted && h.returned < 1 {
			continue
		}
		h.meter.sent = demand
		if h.id < 0 {
			lines = appendLine(lines, a.number(h))
			continue
		}
		h.sentWanted = h.wanted
		lines = appendLine(lines, Line{ID: uint64(h.id), Wanted: h.wanted, Demand: demand, Returned: uint64(h.returned)})
		h.returned = 0
	}
	return lines, holds
}

// Change is a share that an answer has changed.
type Change struct {
	Customer string
	Share    Parts
}

// Apply applies the leader's answer to the latest report and returns the shares that changed. An
// answer to another report, or one that is too late, changes nothing. repeat means that the
// leader needs a complete report at once.
func (a *Agent) Apply(now time.Time, answer Answer) (changes []Change, repeat bool) {
	if a.pending == 0 || answer.Sequence != a.pending || now.Sub(a.sentAt) > MaxAnswerAge {
		return nil, false
	}
	if !a.until.IsZero() && !now.Before(a.until) {
		// The shares that the report named ended meanwhile, perhaps also at the leader.
		a.drop(now)
		a.pending = 0
		return nil, true
	}
	if answer.Incomplete {
		repeat = a.base != 0
		a.pending, a.base = 0, 0
		return nil, repeat
	}
	shares, err := readShares(answer.Shares)
	if err != nil || slices.ContainsFunc(shares, func(s Share) bool { return s.ID >= uint64(len(a.numbered)) }) {
		return nil, false
	}
	a.base, a.pending, a.until = a.sequence, 0, a.sentAt.Add(Validity)
	a.announced = true
	a.nextAt = time.Time{}
	if answer.Next > 0 {
		a.nextAt = now.Add(time.Duration(answer.Next) * time.Millisecond)
	}
	for _, s := range shares {
		h := a.numbered[s.ID]
		if s.Parts < h.share && (h.share-s.Parts).of(h.limit.Rate) >= urgentRate {
			a.nextAt = now // the leader can assign what is free once this is reported
		}
		h.assign(now, s)
		changes = append(changes, Change{Customer: h.name, Share: s.Parts})
	}
	a.acknowledge = len(changes) > 0
	return changes, false
}

// Failed gives up the latest report, which was not answered.
func (a *Agent) Failed() {
	if a.pending != 0 {
		a.pending, a.base = 0, 0
	}
}
