package gwstandin

import (
	"log/slog"
	"net"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
)

// Role is the role of a server in its group.
type Role string

const (
	// RolePrimary accepts writes.
	RolePrimary Role = "primary"
	// RoleReplica follows a primary and refuses writes.
	RoleReplica Role = "replica"
)

// Options configures a server.
type Options struct {
	Name       string
	Group      string
	DataCentre string
	Address    string // listen address; port 0 selects a free port, which a restart keeps
	Role       Role
	Term       uint64 // first term of a primary, 0 means 1; a replica refuses primaries of older terms

	// PrimaryAddress is the address of the server that a replica follows. A
	// replica without it waits for GENTIANWARD FOLLOW.
	PrimaryAddress string

	Slots            int           // statements executing at once; 0 is unlimited
	Connections      int           // client connections; 0 is unlimited
	ConnectCost      time.Duration // time that a new client connection takes
	ReplicationDelay time.Duration // between the arrival of a write at this replica and its effect
	StatementCost    time.Duration // time for which a statement occupies its slot
	ReadCopies       int           // copies of the data that serve reads; 0 selects it by GOMAXPROCS and Slots

	Announce []string // URLs of instances; "/v1/announce" is added to a URL without a path
	Logger   *slog.Logger
	Clock    clockwork.Clock
}

const (
	defaultListenAddress = "127.0.0.1:0"
	maxDefaultReadCopies = 4 // each copy holds all data in memory
)

// complete validates the options and fills in defaults.
func (o *Options) complete() error {
	if o.Role == "" {
		o.Role = RolePrimary
	}
	if o.Role != RolePrimary && o.Role != RoleReplica {
		return newError("start server", KindOption, "", "role %q is not %q or %q", o.Role, RolePrimary, RoleReplica)
	}
	if o.Address == "" {
		o.Address = defaultListenAddress
	}
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return newError("start server", KindOption, "", "address %q: %v", o.Address, err)
	}
	if o.Slots < 0 || o.Connections < 0 || o.ReadCopies < 0 {
		return newError("start server", KindOption, "", "slots, connections and read copies must not be negative")
	}
	if o.Role == RolePrimary {
		o.Term = max(o.Term, 1)
	}
	if o.ReadCopies == 0 {
		o.ReadCopies = min(maxDefaultReadCopies, runtime.GOMAXPROCS(0))
		if o.Slots > 0 {
			o.ReadCopies = min(o.ReadCopies, o.Slots)
		}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.Logger = o.Logger.With("server", o.Name, "group", o.Group)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return nil
}
