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

const nameFormat = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter"

// databaseFormat also allows the underscore, which is common in database and user names.
const databaseFormat = "1 to 63 letters, digits, hyphens and underscores, beginning with a letter"

var (
	namePattern     = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	databasePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,62}$`)
)

// Limits of the numbers in a manifest.
const (
	maxCopies      = 9
	maxConnections = 65536 // TCP connections between one pair of addresses
	maxWeight      = 1000
	maxPriority    = 100
	maxQueue       = 1_000_000
	maxConcurrency = 1_000_000
	minMessage     = 64 << 10
	maxMessage     = 15 << 20 // a request must fit in a frame between instances, which has 16 MiB
	minIterations  = 4096     // of SCRAM-SHA-256, RFC 7677
)

// checkManifest checks the values of a manifest whose fields have the right types.
func (c *checker) checkManifest(m *Manifest) {
	if m.Number < 1 {
		c.addInvalid("number", "1 or more", "the value is %d", m.Number)
	}
	c.checkName("deployment", m.Deployment)
	dataCentres := c.checkRegions(m)
	c.checkVoters(m, dataCentres)
	replicated := c.checkDatabases(m)
	classes := c.checkClasses(m)
	c.checkCallers(m, classes, replicated)
	c.checkCustomers(m.Customers)
	c.checkOneOf("routing", m.Routing, RoutingSession, RoutingPrimaryOnly, RoutingRoundRobin)
	c.checkLimits(m.Limits)
}

// checkRegions checks the regions and returns the region of each data centre.
func (c *checker) checkRegions(m *Manifest) map[string]string {
	c.checkNonEmpty("regions", len(m.Regions), "region")
	names, dataCentres := map[string]string{}, map[string]string{}
	for i, r := range m.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.checkUniqueName(names, path+".name", r.Name, namePattern, nameFormat)
		c.checkNonEmpty(path+".dataCentres", len(r.DataCentres), "data centre")
		for j, d := range r.DataCentres {
			c.checkUniqueName(dataCentres, fmt.Sprintf("%s.dataCentres[%d]", path, j), d, namePattern, nameFormat)
		}
	}
	return dataCentres
}

func (c *checker) checkVoters(m *Manifest, dataCentres map[string]string) {
	if n := len(m.Voters); n != 1 && n != 3 && n != 5 {
		c.addInvalid("voters", "1, 3 or 5 voters", "%d voters", n)
	}
	names, addresses, votersPerDataCentre := map[string]string{}, map[string]string{}, map[string]int{}
	for i, v := range m.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		c.checkUniqueName(names, path+".instance", v.Instance, namePattern, nameFormat)
		if c.checkAddress(path+".address", v.Address, true) {
			c.checkDistinct(addresses, path+".address", v.Address)
		}
		if v.DataCentre == "" {
			continue
		}
		if _, ok := dataCentres[v.DataCentre]; !ok {
			c.addUnknownName(path+".dataCentre", v.DataCentre, "data centre", sortedKeys(dataCentres))
		}
		votersPerDataCentre[v.DataCentre]++
		if n := votersPerDataCentre[v.DataCentre]; n == len(m.Voters)/2+1 && n > 1 && len(dataCentres) > 2 {
			c.addInvalid(path+".dataCentre", "less than half of the voters in one data centre",
				"data centre %q holds %d of %d voters", v.DataCentre, n, len(m.Voters))
		}
	}
}

// checkDatabases checks the databases and groups. It returns every name that a caller can
// select, "database" or "database/group", and whether all data of it is replicated, that
// is, has more than one copy.
func (c *checker) checkDatabases(m *Manifest) map[string]bool {
	c.checkNonEmpty("databases", len(m.Databases), "database")
	names, groups := map[string]string{}, map[string]string{}
	replicated := map[string]bool{}
	for i, d := range m.Databases {
		path := fmt.Sprintf("databases[%d]", i)
		c.checkUniqueName(names, path+".name", d.Name, databasePattern, databaseFormat)
		c.checkNonEmpty(path+".groups", len(d.Groups), "group")
		allReplicated := true
		for j, g := range d.Groups {
			sub := fmt.Sprintf("%s.groups[%d]", path, j)
			c.checkUniqueName(groups, sub+".name", g.Name, namePattern, nameFormat)
			c.checkNumber(sub+".copies", g.Copies, 1, maxCopies)
			c.checkNumber(sub+".connections", g.Connections, 0, maxConnections)
			replicated[d.Name+"/"+g.Name] = g.Copies != 1
			allReplicated = allReplicated && g.Copies != 1
		}
		replicated[d.Name] = allReplicated
	}
	return replicated
}

func (c *checker) checkClasses(m *Manifest) map[string]Class {
	c.checkNonEmpty("classes", len(m.Classes), "class")
	names, classes := map[string]string{}, map[string]Class{}
	for i, class := range m.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.checkUniqueName(names, path+".name", class.Name, namePattern, nameFormat)
		classes[class.Name] = class
		c.checkNumber(path+".weight", class.Weight, 1, maxWeight)
		c.checkNumber(path+".queue", class.Queue, 1, maxQueue)
		c.checkNumber(path+".concurrency", class.Concurrency, 0, maxConcurrency)
		c.checkOneOf(path+".acknowledge", class.Acknowledge, AcknowledgeReplicated, AcknowledgePrimary)
		c.checkDurationRange(path+".staleness", class.Staleness, 0, 24*time.Hour)
		c.checkDurationRange(path+".deadline", class.Deadline, time.Millisecond, time.Hour)
		c.checkDurationRange(path+".waitBudget", class.WaitBudget, 0, time.Minute)
		c.checkDurationRange(path+".aim", class.Aim, 0, time.Hour)
		c.checkNumber(path+".priority", class.Priority, 0, maxPriority)
		c.checkClassConflicts(path, class)
	}
	return classes
}

// checkClassConflicts checks the fields of a class that exclude or limit each other.
func (c *checker) checkClassConflicts(path string, class Class) {
	if class.Staleness.Duration > 0 && !class.ReadOnly {
		c.addInvalid(path+".staleness", `"0s", or a class with readOnly true`,
			"class %q writes, and a session that writes must read its own writes", class.Name)
	}
	if class.Acknowledge != "" && class.ReadOnly {
		c.addInvalid(path+".acknowledge", "no value in a class with readOnly true", "class %q does not write", class.Name)
	}
	deadline := class.Deadline.Or(DefaultDeadline)
	if class.WaitBudget.Duration > deadline.Duration {
		c.addInvalid(path+".waitBudget", "at most the deadline of "+deadline.String(), "%s is longer than the deadline", class.WaitBudget)
	}
}

func (c *checker) checkCallers(m *Manifest, classes map[string]Class, replicated map[string]bool) {
	names := map[string]string{}
	for i, caller := range m.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.checkUniqueName(names, path+".name", caller.Name, databasePattern, databaseFormat)
		c.checkVerifier(path, caller)
		class, ok := classes[caller.Class]
		if !ok {
			c.addUnknownName(path+".class", caller.Class, "class", sortedKeys(classes))
		}
		class = class.withDefaults()
		needsReplica := ok && !class.ReadOnly && class.Acknowledge == AcknowledgeReplicated
		c.checkNonEmpty(path+".databases", len(caller.Databases), "database")
		c.checkCallerDatabases(path, caller, replicated, needsReplica)
	}
}

func (c *checker) checkCallerDatabases(path string, caller Caller, replicated map[string]bool, needsReplica bool) {
	seen := map[string]string{}
	for j, d := range caller.Databases {
		sub := fmt.Sprintf("%s.databases[%d]", path, j)
		hasReplica, ok := replicated[d]
		switch {
		case !ok:
			c.addUnknownName(sub, d, "database or database/group", sortedKeys(replicated))
		case needsReplica && !hasReplica:
			c.addInvalid(sub, `a database with 2 copies or more, or a class with acknowledge "primary"`,
				"a group of %q has one copy, so that no replica can confirm the writes of class %q", d, caller.Class)
		}
		c.checkDistinct(seen, sub, d)
	}
}

func (c *checker) checkVerifier(path string, caller Caller) {
	switch {
	case caller.Trust && caller.Verifier != "":
		c.addInvalid(path+".verifier", "either a verifier or trust true", "caller %q has both", caller.Name)
	case caller.Trust:
	case caller.Verifier == "":
		c.addMissing(path+".verifier", verifierFormat)
	case !validVerifier(caller.Verifier):
		// The error does not contain the value, because it is a secret.
		c.addInvalid(path+".verifier", verifierFormat, "the verifier is malformed")
	}
}

var verifierFormat = fmt.Sprintf("SCRAM-SHA-256$<iterations, %d or more>:<salt>$<stored key>:<server key> in base64", minIterations)

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

func (c *checker) checkLimits(l Limits) {
	c.checkDurationRange("limits.drain", l.Drain, time.Millisecond, time.Hour)
	c.checkDurationRange("limits.idleTransaction", l.IdleTransaction, time.Millisecond, 24*time.Hour)
	c.checkDurationRange("limits.gapWait", l.GapWait, 0, time.Minute)
	c.checkDurationRange("limits.requestKeyExpiry", l.RequestKeyExpiry, time.Second, 365*24*time.Hour)
	c.checkNumber("limits.messageBytes", l.MessageBytes, minMessage, maxMessage)
}

// checkAddress checks an "ip:port". If dialable is set, it rejects the unspecified address
// and port 0, to which other instances cannot connect.
func (c *checker) checkAddress(path, s string, dialable bool) bool {
	const format = `an IP address and a port, such as "10.0.0.7:7100" or "[fd00::7]:7100"`
	if s == "" {
		c.addMissing(path, format)
		return false
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		c.addInvalid(path, format, "%q is not an address", s)
		return false
	}
	if dialable && (ap.Addr().IsUnspecified() || ap.Port() == 0) {
		c.addInvalid(path, format, "other instances cannot connect to %q", s)
		return false
	}
	return true
}
