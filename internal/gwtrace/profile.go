package gwtrace

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// slotsPerGroup is the number of trainers' slots per group for which members compete.
const slotsPerGroup = 4

// Profile describes the workload of the callers of a deployment.
type Profile struct {
	Deployment string
	Database   string
	Groups     []string
	Instances  int
	Setup      []string
	Roles      []Role
}

// Role is one kind of caller.
type Role struct {
	Caller string
	// Sessions is the number of concurrent sessions in a busy trace.
	Sessions int
	// Think is the mean pause before a step in a quiet trace.
	Think time.Duration
	// Staleness is the staleness that the caller accepts.
	Staleness time.Duration
	// ReadYourWrites means that the caller writes and must read its own writes.
	ReadYourWrites bool
	// next returns the next step of a session.
	next func(rng *rand.Rand, s *sessionState) Step
}

// NewProfile returns the profile of a deployment by name.
func NewProfile(deployment string) (*Profile, error) {
	plan, err := gwdeploy.NewPlan(deployment)
	if err != nil {
		return nil, err
	}
	p := &Profile{Deployment: deployment, Instances: len(plan.Settings), Database: plan.Manifest.Databases[0].Name}
	for _, g := range plan.Manifest.Databases[0].Groups {
		p.Groups = append(p.Groups, g.Name)
	}
	if deployment == gwdeploy.Ecodour {
		p.Setup, p.Roles = recordTableStatements("visit"), ecodourRoles()
		return p, nil
	}
	p.Setup, p.Roles = append(recordTableStatements("booking", "payment"), slotTableStatements()...), hanbitRoles()
	return p, nil
}

// recordTableStatements returns the statements that create record tables. The id has
// no unique constraint, so that a duplicate record is stored and can be detected.
func recordTableStatements(names ...string) []string {
	var out []string
	for _, n := range names {
		out = append(out,
			"create table if not exists "+n+" (seq integer primary key, id text, subject text, body text)",
			"create index if not exists "+n+"_subject on "+n+" (subject)",
		)
	}
	return out
}

// slotTableStatements returns the statements that create the slots, all without a holder.
func slotTableStatements() []string {
	out := []string{"create table if not exists slot (id text primary key, holder text)"}
	for i := range slotsPerGroup {
		out = append(out, fmt.Sprintf("insert into slot (id, holder) values ('slot-%d', '')", i))
	}
	return out
}

func ecodourRoles() []Role {
	return []Role{
		{Caller: "adviser", Sessions: 18, Think: 60 * time.Millisecond, ReadYourWrites: true, next: writeAndReadBack("visit", 0.5, true)},
		{Caller: "planner", Sessions: 12, Think: 40 * time.Millisecond, Staleness: 2 * time.Second, next: readAny("visit")},
		{Caller: "council", Sessions: 3, Think: 300 * time.Millisecond, Staleness: 30 * time.Second, next: readAny("visit")},
	}
}

func hanbitRoles() []Role {
	return []Role{
		{Caller: "member", Sessions: 12, Think: 60 * time.Millisecond, ReadYourWrites: true, next: writeAndReadBack("booking", 0.5, true)},
		{Caller: "payment", Sessions: 9, Think: 80 * time.Millisecond, ReadYourWrites: true, next: payAndHold},
		{Caller: "gym", Sessions: 15, Think: 25 * time.Millisecond, Staleness: time.Second, next: readAny("booking")},
	}
}

// writeAndReadBack returns a function that writes records and, with readBack, reads
// them back. The share keyed of the writes carries a request key.
func writeAndReadBack(table string, keyed float64, readBack bool) func(*rand.Rand, *sessionState) Step {
	return func(rng *rand.Rand, s *sessionState) Step {
		if readBack && s.wrote && rng.Float64() < 0.5 {
			s.wrote = rng.Float64() < 0.3
			return Step{Op: OpRead, Table: table, Subject: s.subject}
		}
		s.wrote = true
		s.subject = randomSubject(rng)
		return s.write(table, rng.Float64() < keyed)
	}
}

// readAny returns a function that reads the records of random subjects.
func readAny(table string) func(*rand.Rand, *sessionState) Step {
	return func(rng *rand.Rand, _ *sessionState) Step {
		return Step{Op: OpRead, Table: table, Subject: randomSubject(rng)}
	}
}

// payAndHold writes payments, all with a request key, reads them back, and reads and
// holds slots.
func payAndHold(rng *rand.Rand, s *sessionState) Step {
	slot := fmt.Sprintf("slot-%d", rng.IntN(slotsPerGroup))
	switch f := rng.Float64(); {
	case f < 0.25:
		return Step{Op: OpSlotHold, Table: "slot", Subject: slot}
	case f < 0.5:
		return Step{Op: OpSlotRead, Table: "slot", Subject: slot}
	case s.wrote && f < 0.7:
		return Step{Op: OpRead, Table: "payment", Subject: s.subject}
	default:
		s.wrote = true
		s.subject = randomSubject(rng)
		return s.write("payment", true)
	}
}

// subjects is the number of households or members per group in a trace.
const subjects = 12

func randomSubject(rng *rand.Rand) string { return fmt.Sprintf("home-%d", rng.IntN(subjects)) }
