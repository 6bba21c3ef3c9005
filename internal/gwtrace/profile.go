package gwtrace

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// slotsPerGroup is the number of trainers' slots for which members compete.
const slotsPerGroup = 4

// Profile describes the callers of a deployment.
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
	// Sessions is the number of sessions at a time of a busy trace.
	Sessions int
	// Think is the mean pause before a step of a quiet trace.
	Think time.Duration
	// Staleness is what the caller accepts.
	Staleness time.Duration
	// ReadYourWrites means that the caller writes and reads it back.
	ReadYourWrites bool
	// next returns the next operation of a session.
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
		p.Setup, p.Roles = recordTables("visit"), ecodourRoles()
		return p, nil
	}
	p.Setup, p.Roles = append(recordTables("booking", "payment"), slotTable()...), hanbitRoles()
	return p, nil
}

// recordTables creates tables without a unique constraint on the id, so that a
// doubled record is not hidden.
func recordTables(names ...string) []string {
	var out []string
	for _, n := range names {
		out = append(out,
			"create table if not exists "+n+" (seq integer primary key, id text, subject text, body text)",
			"create index if not exists "+n+"_subject on "+n+" (subject)",
		)
	}
	return out
}

func slotTable() []string {
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

// writeAndReadBack writes records and reads them back. Some writes carry a
// request key.
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

func readAny(table string) func(*rand.Rand, *sessionState) Step {
	return func(rng *rand.Rand, _ *sessionState) Step {
		return Step{Op: OpRead, Table: table, Subject: randomSubject(rng)}
	}
}

// payAndHold takes payments, all with a request key, and slot holds.
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

// subjects is the number of households or members of a group that a trace uses.
const subjects = 12

func randomSubject(rng *rand.Rand) string { return fmt.Sprintf("home-%d", rng.IntN(subjects)) }
