package gwdaemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstore"
)

// Options configures an instance. Settings must have their defaults.
type Options struct {
	Settings *gwmanifest.Settings
	// InitialManifest is the manifest of a first start; nil on other instances.
	InitialManifest *gwmanifest.Manifest
	Clock           clockwork.Clock
	Log             *slog.Logger
	TLS             gwpeer.TLSSource
	// CallerTLS is nil when callers connect in cleartext.
	CallerTLS  *tls.Config
	SessionKey []byte
	Shape      gwpeer.Shaper
	// FS holds the data folder of a voter; nil on other instances.
	FS gwstore.FS
	// DialBackend opens connections to backend servers; nil for the default.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	Telemetry   Telemetry
	// Format is how manifests are written; zero for the project's own format.
	Format gwcontrol.ManifestFormat
	// Dialect is that of the backend servers; nil for the stand-in's.
	Dialect gwbackend.Dialect
	// ServeCallers serves callers in another protocol than PostgreSQL's.
	ServeCallers func(ctx context.Context, l net.Listener, e *gwfilter.Entry) CallerServer
	// Promoter is asked to promote servers; nil where the servers do it themselves.
	Promoter gwcontrol.Promoter
	// ControlOnly dedicates the instance to control: it serves no callers and
	// owns no backend servers.
	ControlOnly bool
	// InitialVoters are the peer addresses of the voters of a first start by
	// instance, where no manifest lists voters.
	InitialVoters map[string]string
	// VoterAddress returns the peer address of a voter that is not a live
	// member; nil where a manifest lists voters.
	VoterAddress func(instance string) (string, bool)
	// NamedByAddress means that the instances' names are their addresses, so that
	// no two processes can have the same name at one time.
	NamedByAddress bool
	// HandOver is how long open transactions may keep a released primary from its
	// new owner; 0 for as long as a graceful stop may take.
	HandOver time.Duration
	// Tuning is how often instances ask one another; zero values are the defaults.
	Tuning Tuning
	// RequireLeader makes an instance that cannot reach the leader report that it is not
	// ready and send its idle callers elsewhere.
	RequireLeader bool
	// StopDelay is how long a stopping instance takes callers after it has
	// reported that it is not ready, because whoever sends them learns it late.
	StopDelay time.Duration
	// Routes replaces the HTTP interface on the operators' address.
	Routes func(i *Instance) http.Handler
	// Drain is called when an operator asks this instance to stop gracefully;
	// nil refuses such requests.
	Drain func()
}

// Tuning holds the times between messages that are sent without any work to do. Links
// that are charged by volume want them longer, at the price of later detection.
type Tuning struct {
	// Freshness, Poll, Settle, SettleFar, DialTimeout: see gwowner.Options.
	Freshness, Poll, Settle, SettleFar, DialTimeout time.Duration
	// Heartbeat: see gwcontrol.ConsensusOptions.
	Heartbeat time.Duration
	// FixedPacketSize, Transport: see gwpeer.Options.
	FixedPacketSize bool
	Transport       gwpeer.Transport
}

// CallerServer is the side of an instance that serves callers.
type CallerServer interface {
	Address() net.Addr
	// Drain ends the sessions gracefully; see gwwire.Server.Drain.
	Drain(ctx context.Context) error
}

// idleCloser is a Callers that can send idle callers elsewhere.
type idleCloser interface {
	// CloseIdle ends the sessions that no caller uses at the moment.
	CloseIdle()
}

// Telemetry receives the measurements of an instance.
type Telemetry interface {
	gwfilter.Observer
	gwowner.Metrics
	http.Handler
	// FailoverGap is how long a change of primary took at the leader.
	FailoverGap(group string, took time.Duration)
}
