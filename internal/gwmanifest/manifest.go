package gwmanifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Manifest describes a deployment: its topology, its databases, and the rules for its
// callers. Operators publish it; instances never modify it.
type Manifest struct {
	// Number is one higher than that of the previous manifest, or just higher where a
	// deployment accepts any later number.
	Number     uint64     `json:"number"`
	Deployment string     `json:"deployment"`
	Regions    []Region   `json:"regions"`
	Voters     []Voter    `json:"voters"`
	Databases  []Database `json:"databases"`
	Callers    []Caller   `json:"callers"`
	Classes    []Class    `json:"classes"`
	// Customers share the deployment; a nil slice means that callers need no API key.
	Customers []Customer `json:"customers,omitzero"`
	Routing   string     `json:"routing"`
	Limits    Limits     `json:"limits"`

	text []byte
}

// Region is a named set of data centres with low latency between them.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"dataCentres"`
}

// Voter is an instance that stores the replicated log on its disk.
type Voter struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"` // address for other instances, "ip:port"
	DataCentre string `json:"dataCentre"`
}

// Database is a database whose data is divided into one or more groups.
type Database struct {
	Name   string  `json:"name"`
	Groups []Group `json:"groups"`
}

// Group is a primary and its replicas. The manifest does not list their servers, which
// announce themselves.
type Group struct {
	Name      string `json:"name"`
	Copies    int    `json:"copies"`    // number of backend servers that hold the data of the group
	AllowLoss bool   `json:"allowLoss"` // allow a promotion that may lose acknowledged writes
	// Connections limits the connections to each server; 0 for the limit that the server announces.
	Connections int `json:"connections,omitempty"`
	// Unconfirmed means that the primary answers a write before a replica has received it.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// Caller is a database user.
type Caller struct {
	Name      string   `json:"name"`
	Verifier  string   `json:"verifier"` // SCRAM-SHA-256 verifier in PostgreSQL's format
	Trust     bool     `json:"trust"`    // needs no password, over loopback connections only
	Class     string   `json:"class"`
	Databases []string `json:"databases"` // "database" or "database/group"
}

// Customer is one of the parties that share a deployment. Its callers present one of its keys.
type Customer struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"` // API keys; without any, the customer has no access
	// Priority orders the customers for the case that not all can be served; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Rate and Burst limit the customer's operations over all instances; a Rate of 0 means
	// no limit.
	Rate  float64 `json:"rate,omitempty"`  // operations per second
	Burst float64 `json:"burst,omitempty"` // operations
}

// Acknowledgement modes of a class.
const (
	AcknowledgeReplicated = "replicated" // a replica has confirmed the write
	AcknowledgePrimary    = "primary"    // the primary has committed the write
)

// Class is a set of rules for the statements of the callers that belong to it.
type Class struct {
	Name        string   `json:"name"`
	ReadOnly    bool     `json:"readOnly"`
	Staleness   Duration `json:"staleness"` // of reads; 0: a read includes all writes acknowledged before it
	Weight      int      `json:"weight"`    // of the class in the weighted fair queue of a server
	Queue       int      `json:"queue"`     // maximum number of waiting statements per server
	Deadline    Duration `json:"deadline"`
	Concurrency int      `json:"concurrency"` // maximum number of running statements per server; 0: unlimited
	Acknowledge string   `json:"acknowledge,omitempty"`
	WaitBudget  Duration `json:"waitBudget"` // maximum time that a read waits for a replica to catch up
	Retry       bool     `json:"retry"`      // send reads again whose outcome is unknown, as classes with ReadOnly always do
	// Aim is the target latency of a whole operation; 0 for none.
	Aim Duration `json:"aim,omitzero"`
	// Public means that callers need no API key.
	Public bool `json:"public,omitempty"`
	// Priority orders the classes for the case that not all can be served; 0 is the
	// highest. Each step down halves the share of the slots of a full server.
	Priority int `json:"priority,omitempty"`
}

// Routing modes. All but RoutingSession exist as baselines for comparisons.
const (
	RoutingSession     = "session"
	RoutingPrimaryOnly = "primaryOnly"
	RoutingRoundRobin  = "roundRobin"
)

// Limits are the limits that apply to all callers.
type Limits struct {
	Drain            Duration `json:"drain"` // for a graceful stop of an instance
	IdleTransaction  Duration `json:"idleTransaction"`
	GapWait          Duration `json:"gapWait"`          // maximum time that a request waits for a change of primary or owner
	RequestKeyExpiry Duration `json:"requestKeyExpiry"` // after which a request key is removed
	MessageBytes     int      `json:"messageBytes"`     // maximum size of a message from a caller
}

// Default values of omitted fields.
const (
	DefaultCopies           = 3
	DefaultWeight           = 1
	DefaultQueue            = 1024
	DefaultDeadline         = 10 * time.Second
	DefaultWaitBudget       = 20 * time.Millisecond
	DefaultDrain            = 10 * time.Second
	DefaultIdleTransaction  = 60 * time.Second
	DefaultGapWait          = 8 * time.Second
	DefaultRequestKeyExpiry = 24 * time.Hour
	DefaultMessageBytes     = 8 << 20
)

// ParseManifest parses and validates a manifest. The error joins one *Error for each
// problem; name is the file name in them.
func ParseManifest(name string, text []byte) (*Manifest, error) {
	m := &Manifest{}
	c, err := parse("parse manifest", name, text, m)
	if err != nil {
		return nil, err
	}
	c.checkManifest(m)
	if err := c.err(); err != nil {
		return nil, err
	}
	m.text = bytes.Clone(text)
	return m, nil
}

// WithText returns a copy of m whose text is text, for a manifest that was converted from
// another format.
func (m *Manifest) WithText(text []byte) *Manifest {
	out := *m
	out.text = bytes.Clone(text)
	return &out
}

// Text returns the text that the manifest was parsed from, which must not be modified.
func (m *Manifest) Text() []byte { return m.text }

// Digest returns the SHA-256 digest of the text in hexadecimal.
func (m *Manifest) Digest() string {
	sum := sha256.Sum256(m.text)
	return hex.EncodeToString(sum[:])
}

// WithDefaults returns a copy in which every omitted field has its default value.
func (m *Manifest) WithDefaults() *Manifest {
	out := *m
	out.Databases = slices.Clone(m.Databases)
	for i, d := range out.Databases {
		d.Groups = slices.Clone(d.Groups)
		for j := range d.Groups {
			d.Groups[j].Copies = orDefault(d.Groups[j].Copies, DefaultCopies)
		}
		out.Databases[i] = d
	}
	out.Classes = slices.Clone(m.Classes)
	for i, c := range out.Classes {
		out.Classes[i] = c.withDefaults()
	}
	out.Routing = orDefault(m.Routing, RoutingSession)
	out.Limits = m.Limits.withDefaults()
	return &out
}

func (c Class) withDefaults() Class {
	c.Weight = orDefault(c.Weight, DefaultWeight)
	c.Queue = orDefault(c.Queue, DefaultQueue)
	c.Deadline = c.Deadline.Or(DefaultDeadline)
	c.WaitBudget = c.WaitBudget.Or(c.defaultWaitBudget())
	c.Staleness = c.Staleness.Or(0)
	if !c.ReadOnly {
		c.Acknowledge = orDefault(c.Acknowledge, AcknowledgeReplicated)
	}
	return c
}

// defaultWaitBudget leaves two fifths of the aim for executing the statement. Waiting up to
// then is acceptable because a read that waits occupies no slot of the primary and is not
// late before its aim has passed. With an aim, the wait budget is at most three quarters of
// the deadline; without one, it is DefaultWaitBudget, but at most the deadline.
func (c Class) defaultWaitBudget() time.Duration {
	if c.Aim.Duration <= 0 {
		return min(DefaultWaitBudget, c.Deadline.Duration)
	}
	return min(c.Aim.Duration*3/5, c.Deadline.Duration*3/4)
}

func (l Limits) withDefaults() Limits {
	l.Drain = l.Drain.Or(DefaultDrain)
	l.IdleTransaction = l.IdleTransaction.Or(DefaultIdleTransaction)
	l.GapWait = l.GapWait.Or(DefaultGapWait)
	l.RequestKeyExpiry = l.RequestKeyExpiry.Or(DefaultRequestKeyExpiry)
	l.MessageBytes = orDefault(l.MessageBytes, DefaultMessageBytes)
	return l
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
