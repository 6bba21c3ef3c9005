package gwmanifest

import (
	"cmp"
	"encoding/base64"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const nameForm = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter"

// databaseForm also accepts the underscore, which database and user names use.
const databaseForm = "1 to 63 letters, digits, hyphens and underscores, beginning with a letter"

var (
	namePattern     = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	databasePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,62}$`)
)

// Bounds of numbers in a manifest.
const (
	maxCopies      = 9
	maxConnections = 65536 // sockets to one address from one address
	maxWeight      = 1000
	maxPriority    = 100
	maxQueue       = 1_000_000
	maxConcurrency = 1_000_000
	minMessage     = 64 << 10
	maxMessage     = 15 << 20 // a request must fit a frame of 16 MiB between instances
	minIterations  = 4096     // of SCRAM-SHA-256, RFC 7677
)

// manifest checks the meaning of a manifest whose types are right.
func (c *checker) manifest(m *Manifest) {
	if m.Number < 1 {
		c.value("number", "1 or more", "the value is %d", m.Number)
	}
	c.name("deployment", m.Deployment)
	centres := c.regions(m)
	c.voters(m, centres)
	replicated := c.databases(m)
	classes := c.classes(m)
	c.callers(m, classes, replicated)
	c.oneOf("routing", m.Routing, RoutingSession, RoutingPrimaryOnly, RoutingRoundRobin)
	c.limits(m.Limits)
}

// regions returns the region of each data centre.
func (c *checker) regions(m *Manifest) map[string]string {
	c.nonEmpty("regions", len(m.Regions), "region")
	names, centres := map[string]string{}, map[string]string{}
	for i, r := range m.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.unique(names, path+".name", r.Name, namePattern, nameForm)
		c.nonEmpty(path+".dataCentres", len(r.DataCentres), "data centre")
		for j, d := range r.DataCentres {
			c.unique(centres, fmt.Sprintf("%s.dataCentres[%d]", path, j), d, namePattern, nameForm)
		}
	}
	return centres
}

func (c *checker) voters(m *Manifest, centres map[string]string) {
	if n := len(m.Voters); n != 1 && n != 3 && n != 5 {
		c.value("voters", "1, 3 or 5 voters", "%d voters", n)
	}
	names, addresses, perCentre := map[string]string{}, map[string]string{}, map[string]int{}
	for i, v := range m.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		c.unique(names, path+".instance", v.Instance, namePattern, nameForm)
		if c.address(path+".address", v.Address, true) {
			c.distinct(addresses, path+".address", v.Address)
		}
		if v.DataCentre == "" {
			continue
		}
		if _, ok := centres[v.DataCentre]; !ok {
			c.reference(path+".dataCentre", v.DataCentre, "data centre", keys(centres))
		}
		perCentre[v.DataCentre]++
		if n := perCentre[v.DataCentre]; n == len(m.Voters)/2+1 && n > 1 && len(centres) > 2 {
			c.value(path+".dataCentre", "less than half of the voters in one data centre",
				"data centre %q holds %d of %d voters", v.DataCentre, n, len(m.Voters))
		}
	}
}

// databases returns every name that a caller can select; the value is false
// for a database or group of which some data has a single copy.
func (c *checker) databases(m *Manifest) map[string]bool {
	c.nonEmpty("databases", len(m.Databases), "database")
	names, groups := map[string]string{}, map[string]string{}
	replicated := map[string]bool{}
	for i, d := range m.Databases {
		path := fmt.Sprintf("databases[%d]", i)
		c.unique(names, path+".name", d.Name, databasePattern, databaseForm)
		c.nonEmpty(path+".groups", len(d.Groups), "group")
		all := true
		for j, g := range d.Groups {
			sub := fmt.Sprintf("%s.groups[%d]", path, j)
			c.unique(groups, sub+".name", g.Name, namePattern, nameForm)
			c.number(sub+".copies", g.Copies, 1, maxCopies)
			c.number(sub+".connections", g.Connections, 0, maxConnections)
			replicated[d.Name+"/"+g.Name] = g.Copies != 1
			all = all && g.Copies != 1
		}
		replicated[d.Name] = all
	}
	return replicated
}

func (c *checker) classes(m *Manifest) map[string]Class {
	c.nonEmpty("classes", len(m.Classes), "class")
	names, classes := map[string]string{}, map[string]Class{}
	for i, k := range m.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.unique(names, path+".name", k.Name, namePattern, nameForm)
		classes[k.Name] = k
		c.number(path+".weight", k.Weight, 1, maxWeight)
		c.number(path+".queue", k.Queue, 1, maxQueue)
		c.number(path+".concurrency", k.Concurrency, 0, maxConcurrency)
		c.oneOf(path+".acknowledge", k.Acknowledge, AcknowledgeReplicated, AcknowledgePrimary)
		c.span(path+".staleness", k.Staleness, 0, 24*time.Hour)
		c.span(path+".deadline", k.Deadline, time.Millisecond, time.Hour)
		c.span(path+".waitBudget", k.WaitBudget, 0, time.Minute)
		c.span(path+".aim", k.Aim, 0, time.Hour)
		c.number(path+".priority", k.Priority, 0, maxPriority)
		c.combination(path, k)
	}
	return classes
}

// combination checks the fields of a class that exclude each other.
func (c *checker) combination(path string, k Class) {
	if k.Staleness.Duration > 0 && !k.ReadOnly {
		c.value(path+".staleness", `"0s", or a class with readOnly true`,
			"class %q writes, and a session that writes must read its own writes", k.Name)
	}
	if k.Acknowledge != "" && k.ReadOnly {
		c.value(path+".acknowledge", "no value in a class with readOnly true", "class %q does not write", k.Name)
	}
	deadline := k.Deadline.Or(DefaultDeadline)
	if k.WaitBudget.Duration > deadline.Duration {
		c.value(path+".waitBudget", "at most the deadline of "+deadline.String(), "%s is longer than the deadline", k.WaitBudget)
	}
}

func (c *checker) callers(m *Manifest, classes map[string]Class, replicated map[string]bool) {
	names := map[string]string{}
	for i, k := range m.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.unique(names, path+".name", k.Name, databasePattern, databaseForm)
		c.verifier(path, k)
		class, ok := classes[k.Class]
		if !ok {
			c.reference(path+".class", k.Class, "class", keys(classes))
		}
		class = class.withDefaults()
		confirmed := ok && !class.ReadOnly && class.Acknowledge == AcknowledgeReplicated
		c.nonEmpty(path+".databases", len(k.Databases), "database")
		c.callerDatabases(path, k, replicated, confirmed)
	}
}

func (c *checker) callerDatabases(path string, k Caller, replicated map[string]bool, confirmed bool) {
	seen := map[string]string{}
	for j, d := range k.Databases {
		sub := fmt.Sprintf("%s.databases[%d]", path, j)
		copies, ok := replicated[d]
		switch {
		case !ok:
			c.reference(sub, d, "database or database/group", keys(replicated))
		case confirmed && !copies:
			c.value(sub, `a database with 2 copies or more, or a class with acknowledge "primary"`,
				"a group of %q has one copy, so that no replica can confirm the writes of class %q", d, k.Class)
		}
		c.distinct(seen, sub, d)
	}
}

func (c *checker) verifier(path string, k Caller) {
	switch {
	case k.Trust && k.Verifier != "":
		c.value(path+".verifier", "either a verifier or trust true", "caller %q has both", k.Name)
	case k.Trust:
	case k.Verifier == "":
		c.missing(path+".verifier", verifierForm)
	case !validVerifier(k.Verifier):
		// The value is a secret and is not repeated.
		c.value(path+".verifier", verifierForm, "the verifier is malformed")
	}
}

var verifierForm = fmt.Sprintf("SCRAM-SHA-256$<iterations, %d or more>:<salt>$<stored key>:<server key> in base64", minIterations)

func validVerifier(s string) bool {
	rest, ok := strings.CutPrefix(s, "SCRAM-SHA-256$")
	head, tail, ok2 := strings.Cut(rest, "$")
	iterations, salt, ok3 := strings.Cut(head, ":")
	stored, server, ok4 := strings.Cut(tail, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return false
	}
	n, err := strconv.Atoi(iterations)
	saltBytes, err2 := base64.StdEncoding.DecodeString(salt)
	storedBytes, err3 := base64.StdEncoding.DecodeString(stored)
	serverBytes, err4 := base64.StdEncoding.DecodeString(server)
	const keyBytes = 32
	return cmp.Or(err, err2, err3, err4) == nil && n >= minIterations &&
		len(saltBytes) > 0 && len(storedBytes) == keyBytes && len(serverBytes) == keyBytes
}

func (c *checker) limits(l Limits) {
	c.span("limits.drain", l.Drain, time.Millisecond, time.Hour)
	c.span("limits.idleTransaction", l.IdleTransaction, time.Millisecond, 24*time.Hour)
	c.span("limits.gapWait", l.GapWait, 0, time.Minute)
	c.span("limits.requestKeyExpiry", l.RequestKeyExpiry, time.Second, 365*24*time.Hour)
	c.number("limits.messageBytes", l.MessageBytes, minMessage, maxMessage)
}

// address checks an "ip:port"; concrete refuses the unspecified address and
// port 0, to which no other instance can connect.
func (c *checker) address(path, s string, concrete bool) bool {
	const form = `an IP address and a port, such as "10.0.0.7:7100" or "[fd00::7]:7100"`
	if s == "" {
		c.missing(path, form)
		return false
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		c.value(path, form, "%q is not an address", s)
		return false
	}
	if concrete && (ap.Addr().IsUnspecified() || ap.Port() == 0) {
		c.value(path, form, "other instances cannot connect to %q", s)
		return false
	}
	return true
}
