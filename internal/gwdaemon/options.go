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
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwquotas"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwquota"
)

// Options configures an instance. The defaults of Settings must have been applied.
type Options struct {
	Settings *gwmanifest.Settings
	// InitialManifest is the manifest that a first start publishes; nil on other
	// instances.
	InitialManifest *gwmanifest.Manifest
	Clock           clockwork.Clock
	// WallClock tells the time of day, which may be set back; nil for that of the system.
	WallClock clockwork.Clock
	Log       *slog.Logger
	TLS       gwpeer.TLSSource
	// CallerTLS is nil if callers connect without TLS.
	CallerTLS  *tls.Config
	SessionKey []byte
	Shaper     gwpeer.Shaper
	// FS is the file system of a voter's data folder; nil on other instances.
	FS gwstore.FS
	// DialBackend dials backend servers; nil for the default of gwbackend.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	Telemetry   Telemetry
	// Unreadable records messages that cannot be read; nil for none.
	Unreadable *gwtelemetry.Unreadable
	// Format is the format of manifests; the zero value is the project's own.
	Format gwcontrol.ManifestFormat
	// Dialect is the dialect of the backend servers; nil for that of the stand-in.
	Dialect gwbackend.Dialect
	// ServeCallers serves callers in another protocol than PostgreSQL's; nil for that.
	ServeCallers func(ctx context.Context, l net.Listener, e *gwfilter.Entry) CallerServer
	// Promoter is called to promote a backend server; nil if a control statement of the
	// server's owner suffices.
	Promoter gwcontrol.Promoter
	// ControlOnly dedicates the instance to control: it serves no callers and
	// owns no backend servers.
	ControlOnly bool
	// InitialVoters maps the voters of a first start to their peer addresses if no
	// manifest lists voters.
	InitialVoters map[string]string
	// VoterAddress returns the peer address of a voter that is not a live member; nil if
	// the manifest lists the voters.
	VoterAddress func(instance string) (string, bool)
	// NamedByAddress means that instances are named by their address, so that two
	// processes cannot have the same name at the same time.
	NamedByAddress bool
	// HandOver is how long open transactions may delay the handover of a released
	// primary; 0 for the drain limit of the manifest.
	HandOver time.Duration
	// Tuning holds intervals of background messages; zero values select the defaults.
	Tuning Tuning
	// RequireLeader makes an instance that cannot reach the leader report that it is not
	// ready and close its idle sessions, so that their callers move to other instances.
	RequireLeader bool
	// StopDelay is how long a stopping instance still accepts callers after it has
	// reported that it is not ready, because callers are directed elsewhere only after a delay.
	StopDelay time.Duration
	// KeysValid: see gwfilter.Options.
	KeysValid time.Duration
	// PeerListenAddress is the address to listen on for other instances if it is not the
	// announced Settings.PeerAddress, as behind address translation.
	PeerListenAddress string
	// Routes replaces the HTTP interface on the operators' address.
	Routes func(i *Instance) http.Handler
	// Quota describes how the limits of customers are checked; it applies if the manifest has
	// customers with limits.
	Quota gwquota.Rules
	// Budget bounds the memory of what clients send and read; nil for no bounds.
	Budget *gwbudget.Budget
	// MaxOperators bounds the connections to the operators' address, and MaxHandshakes those of
	// other instances that are not authenticated yet; 0 for no bound.
	MaxOperators, MaxHandshakes int
	// Drain is called when an operator asks this instance to stop gracefully; if it is
	// nil, such requests are refused.
	Drain func()
}

// Tuning holds the intervals of messages that an idle system sends, and other settings of
// its links. Longer intervals save traffic on links that are charged by volume, and delay
// the detection of failures.
type Tuning struct {
	// Freshness, Poll, Settle, SettleFar, DialTimeout: see gwowner.Options.
	Freshness, Poll, Settle, SettleFar, DialTimeout time.Duration
	// EstimateSpeed: see gwowner.Options.
	EstimateSpeed bool
	// GuardAcks keeps the position of each write that is acknowledged at a second instance; see
	// gwowner.AckGuard. It is for servers that answer a write once any replica has it.
	GuardAcks bool
	// FreshWithoutLease: see gwowner.Options.
	FreshWithoutLease bool
	// Heartbeat: see gwcontrol.ConsensusOptions.
	Heartbeat time.Duration
	// FixedPacketSize, Transport: see gwpeer.Options.
	FixedPacketSize bool
	Transport       gwpeer.Transport
}

// CallerServer serves the callers of an instance.
type CallerServer interface {
	Address() net.Addr
	// Drain ends the sessions gracefully; see gwwire.Server.Drain.
	Drain(ctx context.Context) error
}

// idleCloser is implemented by a CallerServer that can close idle sessions.
type idleCloser interface {
	// CloseIdle closes the sessions that wait for a statement outside of a transaction.
	CloseIdle()
}

// Telemetry receives the measurements of an instance.
type Telemetry interface {
	gwfilter.Observer
	gwowner.Metrics
	gwquotas.Metrics
	http.Handler
	// FailoverGap records the duration of a change of primary as the leader saw it.
	FailoverGap(group string, took time.Duration)
	// PlatformCall counts a call of the leader to the platform.
	PlatformCall(outcome string)
	// UnreadableMessage counts a message that could not be read.
	UnreadableMessage(from, reason string)
	// Collect adds metrics that f returns at each scrape.
	Collect(f func() []gwtelemetry.Sample)
}
