package gwstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testDrift    = 0.1
	testDuration = 2 * time.Second
)

// localClock runs faster than true time by up to testDrift.
type localClock struct{ rate float64 }

func (c localClock) at(true time.Duration) time.Time {
	return start.Add(time.Duration(float64(true) * c.rate))
}

// holderModel is a holder that relies on its lease until its own clock says otherwise.
type holderModel struct {
	clock    localClock
	name     string
	valid    bool
	term     uint64
	from     time.Time // before the request that the lease counts from was sent
	sequence uint64
	run      uint64 // incarnation
}

func (h *holderModel) holds(now time.Duration) bool {
	return h.valid && h.clock.at(now).Before(h.from.Add(testDuration))
}

type request struct {
	holder *holderModel
	from   time.Time
	cmd    GrantLeases
}

type proposal struct {
	cmd Command
	req *request
}

// leaseWorld is one group, holders and voters whose clocks differ, one log and a leader.
type leaseWorld struct {
	t        *rapid.T
	now      time.Duration
	voters   []*State
	clocks   []localClock
	applied  []int
	leader   int
	holders  []*holderModel
	requests []request
	returns  []ReturnLeases
	pending  []proposal
	log      []proposal
}

func newLeaseWorld(t *rapid.T) *leaseWorld {
	w := &leaseWorld{t: t}
	clock := func() localClock {
		return localClock{rate: 1 + testDrift*rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "rate")}
	}
	for i := range 3 {
		w.voters = append(w.voters, New(testDrift))
		w.clocks = append(w.clocks, clock())
		w.applied = append(w.applied, 0)
		w.holders = append(w.holders, &holderModel{name: fmt.Sprint("h", i), clock: clock(), run: 1})
	}
	w.commit(proposal{cmd: StartGroup{Group: "g", Primary: "s", Term: 1}})
	return w
}

func (w *leaseWorld) localNow(voter int) time.Time { return w.clocks[voter].at(w.now) }

// apply lets a voter apply the next entry of the log.
func (w *leaseWorld) apply(voter int) Result {
	p := w.log[w.applied[voter]]
	w.applied[voter]++
	data, err := Encode(p.cmd, start)
	require.NoError(w.t, err)
	return w.voters[voter].Apply(uint64(w.applied[voter]), data, w.localNow(voter))
}

// commit adds an entry to the log; the leader applies it and a holder may learn of it.
func (w *leaseWorld) commit(p proposal) {
	w.log = append(w.log, p)
	var res Result
	for w.applied[w.leader] < len(w.log) {
		res = w.apply(w.leader)
	}
	r := p.req
	if r == nil || !rapid.Bool().Draw(w.t, "answered") {
		return
	}
	if o := res.(LeaseResult).Outcomes[0]; o.Refusal == Accepted && o.Lease.Sequence > r.holder.sequence {
		r.holder.valid, r.holder.from, r.holder.term = true, r.from, o.Lease.Term
		r.holder.sequence = o.Lease.Sequence
	}
}

func (w *leaseWorld) group() Group {
	g, _ := w.voters[w.leader].Group("g")
	return g
}

func (w *leaseWorld) anyHolder() *holderModel {
	return rapid.SampledFrom(w.holders).Draw(w.t, "holder")
}

func (w *leaseWorld) ask() {
	h := w.anyHolder()
	cmd := GrantLeases{Holder: h.name, Incarnation: h.run, Leases: []LeaseRequest{{Group: "g", Term: w.group().Term, Duration: testDuration}}}
	w.requests = append(w.requests, request{holder: h, from: h.clock.at(w.now), cmd: cmd})
}

// propose lets the leader handle a request, which may be old or repeated.
func (w *leaseWorld) propose() {
	if len(w.requests) == 0 {
		return
	}
	r := rapid.SampledFrom(w.requests).Draw(w.t, "request")
	w.pending = append(w.pending, proposal{cmd: w.voters[w.leader].FillPrevious(r.cmd, w.localNow(w.leader)), req: &r})
}

func (w *leaseWorld) giveBack() {
	h := w.anyHolder()
	if !h.valid {
		return
	}
	h.valid = false
	w.returns = append(w.returns, ReturnLeases{Holder: h.name, Incarnation: h.run, Leases: []LeaseReturn{{Group: "g", Sequence: h.sequence}}})
}

func (w *leaseWorld) change() {
	g := w.group()
	if g.Phase == Serving {
		w.pending = append(w.pending, proposal{cmd: BeginChange{Group: "g", FromTerm: g.Term}})
		return
	}
	if seq, ok := w.voters[w.leader].Clock().Expired("g", w.localNow(w.leader)); ok {
		w.pending = append(w.pending, proposal{cmd: FinishChange{Group: "g", FromTerm: g.Term, Term: g.NextTerm, Primary: "s", Previous: seq}})
	}
}

func (w *leaseWorld) commitSome() {
	for range rapid.IntRange(0, len(w.pending)).Draw(w.t, "committed") {
		p := w.pending[0]
		w.pending = w.pending[1:]
		w.commit(p)
	}
}

// elect commits some of the old leader's proposals, loses the others, and makes
// another voter the leader once it has applied the whole log.
func (w *leaseWorld) elect() {
	w.commitSome()
	w.pending = nil
	w.leader = rapid.IntRange(0, len(w.voters)-1).Draw(w.t, "leader")
	for w.applied[w.leader] < len(w.log) {
		w.apply(w.leader)
	}
	w.voters[w.leader].Clock().RestartAll(w.localNow(w.leader))
}

// restart restores a voter from its own snapshot, as a restart does.
func (w *leaseWorld) restart() {
	v := rapid.IntRange(0, len(w.voters)-1).Draw(w.t, "voter")
	data, err := w.voters[v].Snapshot()
	require.NoError(w.t, err)
	w.voters[v] = New(testDrift)
	require.NoError(w.t, w.voters[v].Restore(data, w.localNow(v)))
}

// replace starts a later run of a holder while the earlier one still runs.
func (w *leaseWorld) replace() {
	if len(w.holders) < 6 {
		h := *w.anyHolder() // with the same name and clock
		h.run, h.valid, h.sequence = uint64(len(w.holders))+1, false, 0
		w.holders = append(w.holders, &h)
	}
}

func (w *leaseWorld) check(t *rapid.T) {
	var holding []string
	for _, h := range w.holders {
		if !h.holds(w.now) {
			continue
		}
		holding = append(holding, h.name)
		require.Equal(t, w.group().Term, h.term, "%s holds a lease of a finished term", h.name)
	}
	require.LessOrEqual(t, len(holding), 1, "holders %v at once", holding)
}

// Guards against two holders that rely on a write lease at once, or one that
// relies on it after a change of primary finished, with clocks of different
// rates, late, repeated and lost messages, and changes of the log's leader.
func TestLeaseExclusion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t)
		with := func(fn func()) func(*rapid.T) {
			return func(t *rapid.T) { w.t = t; fn() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"wait":     with(func() { w.now += time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "ms")) * time.Millisecond }),
			"ask":      with(w.ask),
			"propose":  with(w.propose),
			"commit":   with(w.commitSome),
			"giveBack": with(w.giveBack),
			"return": with(func() {
				if len(w.returns) > 0 {
					w.pending = append(w.pending, proposal{cmd: rapid.SampledFrom(w.returns).Draw(w.t, "return")})
				}
			}),
			"change":  with(w.change),
			"elect":   with(w.elect),
			"restart": with(w.restart),
			"replace": with(w.replace),
			"lag": with(func() {
				v := rapid.IntRange(0, len(w.voters)-1).Draw(w.t, "voter")
				if w.applied[v] < len(w.log) {
					w.apply(v)
				}
			}),
		})
	})
}
