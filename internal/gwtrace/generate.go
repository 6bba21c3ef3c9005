package gwtrace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// Names of scenarios.
const (
	Quiet          = "quiet"
	Busy           = "busy"
	PrimaryLost    = "primary-lost"
	RegionsCut     = "regions-cut"
	RollingRestart = "rolling-restart"
)

// Scenarios lists the names of all scenarios.
var Scenarios = []string{Quiet, Busy, PrimaryLost, RegionsCut, RollingRestart}

// GenerateOptions configures the generation of a trace.
type GenerateOptions struct {
	Deployment string
	Scenario   string
	Seed       uint64
	Duration   time.Duration
}

// Parameters of sessions and steps.
const (
	quietSessionShare = 0.4 // share of the number of sessions of a busy trace
	busyThinkShare    = 0.3 // share of the think time of a quiet trace
	moveProbability   = 0.15
	tokenProbability  = 0.5
	// expectedStepTime is the expected duration of a step with network delays. Adding
	// it to each pause lets a session last about as long as the trace.
	expectedStepTime = 80 * time.Millisecond
)

// sessionState is the state of a session during generation.
type sessionState struct {
	session  string
	count    int
	subject  string
	wrote    bool
	instance int
}

// write returns a step that writes the session's next record.
func (s *sessionState) write(table string, keyed bool) Step {
	s.count++
	st := Step{Op: OpWrite, Table: table, Subject: s.subject, ID: fmt.Sprintf("%s-%s-%d", table, s.session, s.count)}
	if keyed {
		st.Key = st.ID
	}
	return st
}

// Generate returns a trace. Equal options give equal traces.
func Generate(o GenerateOptions) (*Trace, error) {
	if !slices.Contains(Scenarios, o.Scenario) {
		return nil, &Error{Op: "generate trace", Kind: UnknownName, Detail: fmt.Sprintf("scenario %q; accepted: %s", o.Scenario, strings.Join(Scenarios, ", "))}
	}
	p, err := NewProfile(o.Deployment)
	if err != nil {
		return nil, err
	}
	t := &Trace{Header: Header{
		Format: Format, Version: Version, Deployment: o.Deployment, Scenario: o.Scenario,
		Seed: o.Seed, Duration: gwmanifest.NewDuration(o.Duration), Setup: p.Setup,
	}}
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15))
	share, think := 1.0, busyThinkShare
	if o.Scenario != Busy {
		share, think = quietSessionShare, 1
	}
	for _, r := range p.Roles {
		n := max(len(p.Groups), int(float64(r.Sessions)*share))
		for i := range n {
			t.addSession(rng, p, r, i, time.Duration(float64(r.Think)*think))
		}
	}
	t.addFaults(rng, p)
	return t, nil
}

// addSession adds a session that starts at a random time and lasts to the end of the trace.
func (t *Trace) addSession(rng *rand.Rand, p *Profile, r Role, index int, think time.Duration) {
	protocols := []string{ProtocolSimple, ProtocolExtended, ProtocolPrepared}
	s := Session{
		Name: fmt.Sprintf("%s-%d", r.Caller, index+1), Caller: r.Caller, Group: p.Groups[index%len(p.Groups)],
		Start: gwmanifest.NewDuration(roundToMillisecond(rng.Float64() * float64(think))), Token: rng.Float64() < tokenProbability,
		Protocol: protocols[rng.IntN(len(protocols))],
	}
	t.Sessions = append(t.Sessions, s)
	state := &sessionState{session: s.Name, instance: rng.IntN(p.Instances)}
	for at := s.Start.Duration; ; {
		pause := roundToMillisecond(rng.ExpFloat64() * float64(think))
		at += pause + expectedStepTime
		if at >= t.Header.Duration.Duration {
			return
		}
		if rng.Float64() < moveProbability {
			state.instance = rng.IntN(p.Instances)
		}
		st := r.next(rng, state)
		st.Session, st.Think, st.Instance = s.Name, gwmanifest.NewDuration(pause), state.instance
		if st.ID == "" {
			state.count++
			st.ID = fmt.Sprintf("%s-%s-%d", st.Op, s.Name, state.count)
		}
		st.Expect = expected(st, r, t.Header.Scenario)
		t.Steps = append(t.Steps, st)
	}
}

// expected returns the expected outcomes of a step. Reads and writes with a request
// key are retried until they are done; the outcome of other writes may remain
// unknown, as they are not retried then. A planned stop leaves no outcome unknown.
func expected(st Step, r Role, scenario string) Expected {
	e := Expected{MustSucceed: true}
	planned := scenario == RollingRestart
	switch st.Op {
	case OpRead, OpSlotRead:
		staleness := gwmanifest.NewDuration(r.Staleness)
		e.ReadYourWrites, e.Staleness = r.ReadYourWrites, &staleness
	case OpWrite:
		e.AtMostOnce = true
		e.MustSucceed = st.Key != "" || planned
		e.MayBeUnknown = !e.MustSucceed
	case OpSlotHold:
		e.MustSucceed, e.MayBeUnknown = planned, !planned
	}
	return e
}

// addFaults adds the faults of the scenario to the trace.
func (t *Trace) addFaults(rng *rand.Rand, p *Profile) {
	d := t.Header.Duration.Duration
	at := func(share float64) gwmanifest.Duration {
		return gwmanifest.NewDuration(roundToMillisecond(share * float64(d)))
	}
	group := p.Groups[rng.IntN(len(p.Groups))]
	switch t.Header.Scenario {
	case PrimaryLost:
		crash, restart := FaultPrimaryCrash, FaultServerRestart
		if rng.IntN(2) == 0 {
			crash, restart = FaultPrimaryIsolate, FaultServerHeal
		}
		t.Faults = append(t.Faults,
			Fault{At: at(0.3), Name: crash, Group: group},
			Fault{At: at(0.6), Name: restart, Group: group},
		)
	case RegionsCut:
		t.Faults = append(t.Faults, Fault{At: at(0.3), Name: FaultRegionsCut}, Fault{At: at(0.6), Name: FaultRegionsHeal})
	case RollingRestart:
		step := 0.8 / float64(p.Instances)
		for i := range p.Instances {
			begin := 0.1 + step*float64(i)
			t.Faults = append(t.Faults,
				Fault{At: at(begin), Name: FaultInstanceStop, Instance: i},
				Fault{At: at(begin + step/2), Name: FaultInstanceStart, Instance: i},
			)
		}
	}
}

// roundToMillisecond rounds a number of nanoseconds, which keeps trace files small.
func roundToMillisecond(ns float64) time.Duration { return time.Duration(ns).Round(time.Millisecond) }
