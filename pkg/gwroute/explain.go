package gwroute

import "time"

// Rule is what decided about a candidate.
type Rule string

// Rules. Those of the second group exclude a server, and those of the third name the greatest part of
// what it costs.
const (
	RuleLeastTime  Rule = "leastTime"
	RulePrimary    Rule = "primary"
	RuleRoundRobin Rule = "inTurn"

	RuleUnusable   Rule = "unusable"
	RuleRefused    Rule = "refused"
	RuleNotPrimary Rule = "notPrimary"
	RuleBehind     Rule = "behind"

	RuleSlow     Rule = "slow"
	RuleErrors   Rule = "errors"
	RuleQueue    Rule = "queue"
	RulePosition Rule = "replicaWait"
	RuleRole     Rule = "primarySlots"
	RuleDistance Rule = "distance"
)

// Text describes the rule.
func (r Rule) Text() string {
	switch r {
	case RuleLeastTime:
		return "chosen: least expected time to the answer"
	case RulePrimary:
		return "chosen: only the primary serves this request"
	case RuleRoundRobin:
		return "chosen in turn: the routing policy is roundRobin"
	case RuleUnusable:
		return "leaving, ejected, being replaced or without an owner"
	case RuleRefused:
		return "has refused the request"
	case RuleNotPrimary:
		return "only the primary serves this request"
	case RuleBehind:
		return "not recent enough within the wait for a replica"
	case RuleSlow:
		return "costs more: slower than usual"
	case RuleErrors:
		return "costs more: does not answer some statements"
	case RuleQueue:
		return "costs more: queue"
	case RulePosition:
		return "costs more: wait for a replica"
	case RuleRole:
		return "costs more: the primary's slots are for what only it serves"
	default:
		return "costs more: distance"
	}
}

// Candidate is a server with what it costs to send a request to it and the rule that decided.
type Candidate struct {
	Server Server
	Chosen bool
	Rule   Rule
	// Wait is the expected wait until the server is recent enough.
	Wait time.Duration
	// Service is the expected time of a statement, and Queue the requests in front of the new one and
	// itself, per slot that the server uses well.
	Service time.Duration
	Queue   float64
	// Cost is the expected time to the answer with what distance and role add.
	Cost time.Duration
}

// Explain returns the candidates for a request in the order of servers, without the random part of
// the costs.
func Explain(need Need, servers []Server, now time.Time) []Candidate {
	usual := usualService(servers)
	out := make([]Candidate, 0, len(servers))
	best := -1
	for i, s := range servers {
		c := Candidate{Server: s, Service: s.service(usual, now), Queue: s.queue(now), Wait: s.ExpectedWait(need, now)}
		c.Cost = s.cost(c.Wait, usual, now)
		c.Rule = exclusion(need, c)
		if c.Rule == "" && (best < 0 || c.Cost < out[best].Cost) {
			best = i
		}
		out = append(out, c)
	}
	for i := range out {
		switch c := &out[i]; {
		case i == best:
			c.Chosen, c.Rule = true, chosenRule(need)
		case c.Rule == "":
			c.Rule = c.costRule(usual)
		}
	}
	return out
}

func chosenRule(need Need) Rule {
	switch {
	case need.Write || need.Policy == PrimaryOnly:
		return RulePrimary
	case need.Policy == RoundRobin:
		return RuleRoundRobin
	}
	return RuleLeastTime
}

// exclusion returns the rule by which a server cannot serve the request, or "".
func exclusion(need Need, c Candidate) Rule {
	primaryOnly := need.Write || need.Policy == PrimaryOnly
	switch {
	case primaryOnly && !c.Server.Primary:
		return RuleNotPrimary
	case c.Server.Unusable:
		return RuleUnusable
	case need.Excluded[c.Server.Name]:
		return RuleRefused
	case !primaryOnly && need.Policy == Session && c.Wait > need.WaitBudget:
		return RuleBehind
	}
	return ""
}

// costRule returns the rule for the greatest part of a candidate's cost, beside one statement of the
// usual time.
func (c Candidate) costRule(usual time.Duration) Rule {
	s := c.Server
	ordinary := c.Service
	if s.Speed.Factor > 1 {
		ordinary = min(ordinary, time.Duration(float64(s.reportedService())/s.Speed.Factor))
	}
	if usual > 0 && float64(ordinary) > comparableFactor*float64(usual) {
		ordinary = usual
	}
	rule, greatest := RuleDistance, s.distanceCost()
	for _, part := range []struct {
		rule Rule
		cost time.Duration
	}{
		{RuleSlow, c.Service - ordinary},
		{RuleErrors, time.Duration(float64(c.Service) * (s.attempts() - 1))},
		{RuleQueue, time.Duration(float64(ordinary) * (c.Queue - 1))},
		{RulePosition, c.Wait},
		{RuleRole, s.roleCost()},
	} {
		if part.cost > greatest {
			rule, greatest = part.rule, part.cost
		}
	}
	return rule
}

// AwayRule returns the rule by which a read does not go to a server of the own data centre, and "" if
// it does or there is none.
func AwayRule(need Need, servers []Server, chosen Server, now time.Time) Rule {
	if chosen.Distance == SameDataCentre || need.Write || need.Policy != Session {
		return ""
	}
	usual := usualService(servers)
	for _, s := range servers {
		if s.Distance != SameDataCentre {
			continue
		}
		c := Candidate{Server: s, Service: s.service(usual, now), Queue: s.queue(now), Wait: s.ExpectedWait(need, now)}
		if rule := exclusion(need, c); rule != "" {
			return rule
		}
		return c.costRule(usual)
	}
	return ""
}
