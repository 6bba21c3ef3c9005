package gwprogram

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwclock"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstatement"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwquota"
	"gentianward.example/gentianward/platform"
)

const (
	// unreadyDelay is how long callers still arrive after the instance has become
	// unready: the platform checks once a second and needs two failed checks.
	unreadyDelay = 2300 * time.Millisecond
	// defaultGrace is the grace time if the settings name none that is long enough.
	defaultGrace = 5 * time.Second
	// metricsPort is the port that deploy/system.toml names. It is fixed, as the
	// internal ports in the settings change each day.
	metricsPort = 9464
	// settingsPollInterval is the interval at which the settings file is checked for
	// changes, which may come without a signal.
	settingsPollInterval = 2 * time.Second
	// stopReserve is the part of the grace time that is kept for the steps after the last
	// session has ended.
	stopReserve = time.Second
	// reservedFiles is the number of file descriptors that callers do not get: those
	// for links, connections to backend servers, the log and the data files.
	reservedFiles = 600
	// The following connections are a part of reservedFiles. Two failed checks of readiness
	// take an instance out of service, and a machine is checked by a few checkers.
	maxReadyConnections   = 64
	maxMetricsConnections = 32
	// maxControlConnections covers the heartbeats of all backend servers, about 24, and the
	// calls of operators several times.
	maxControlConnections = 256
	// maxHandshakes covers a start of all 80 instances at once. A handshake takes milliseconds.
	maxHandshakes = 128
	// handOverLimit is how long open transactions may delay the handover of a primary.
	// Most end within it, and rolling back the others costs less than a longer gap for
	// the whole group.
	handOverLimit = time.Second
)

// tuning keeps the traffic of an idle system between data centres and regions below a
// third of the bytes of a calm day. With the default intervals it was two thirds.
var tuning = gwdaemon.Tuning{
	// Freshness is a third of the shortest staleness bound of a route.
	Freshness: 500 * time.Millisecond,
	// Poll is half a second because queries are charged. Busy servers report their
	// position with every answer anyway.
	Poll: 500 * time.Millisecond,
	// Settle is three gossip intervals, enough for the members of a data centre to
	// learn of one another.
	Settle: 300 * time.Millisecond,
	// SettleFar covers a start of all machines. Without it each instance considered
	// itself the owner of every server that it knew of.
	SettleFar: 3 * time.Second,
	// DialTimeout covers two round trips between regions, the 12 ms that a server needs
	// to open a connection, and a full queue in front of it. A server that does not
	// answer is detected by this time-out.
	DialTimeout: 500 * time.Millisecond,
	// EstimateSpeed lets servers of a group differ in speed.
	EstimateSpeed: true,
	// A partition may leave all servers of a group reachable from the side without control.
	// The servers answer a write when one replica has confirmed it.
	FreshWithoutLease: true,
	// They do not tell which replica has confirmed it.
	GuardAcks: true,
	// Heartbeat fits twice into the shortest election timeout.
	Heartbeat: 140 * time.Millisecond,
	// Transport is TCP because a congested link of the platform drops datagrams; see
	// docs/decisions/transport.md.
	Transport: gwpeer.TCP,
}

// deploymentSecret is the value that the common CA of the instances is derived from. The
// platform provides no secret, so that the links are only as private as its network.
const deploymentSecret = "gentianward on the platform"

// Process runs one instance and handles the signals to it.
type Process struct {
	Settings platform.Settings
	// Path is the path of the settings file, which is read again when it changes.
	Path string
	// PeerListen is the address to listen on for other instances, if not the announced one.
	PeerListen string
	Log        *slog.Logger
	// FS is the file system of an instance that serves control.
	FS gwstore.FS
}

// Run runs the instance until a signal ends it. It returns an error if the instance does not
// start or a part of it cannot continue.
func (p Process) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	telemetry := gwdaemon.NewTelemetry()
	o, err := p.Options(telemetry)
	if err != nil {
		return err
	}
	i, err := gwdaemon.Start(ctx, o)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(o.Budget.HeapLimit())
	go p.serveMetrics(telemetry, o.Budget)
	s := p.Settings
	p.logSkippedSeeds(s)
	p.Log.Info("instance started", "address", s.IP.String(), "dataCentre", s.DataCentre, "region", s.Region,
		"callers", s.ServesCallers, "control", s.ServesControl, "firstStart", s.FirstStart, "seeds", fmt.Sprint(s.Seeds))
	err = p.watchSettings(signals, i)
	p.stop(ctx, i)
	return err
}

// watchSettings reloads the settings on SIGHUP and when the file has changed. It returns
// nil at any other signal, and an error if a part of the instance cannot continue.
func (p Process) watchSettings(signals <-chan os.Signal, i *gwdaemon.Instance) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(p.Path) // the text read at the start; the next reload reports an error
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return nil
			}
			last = p.reload(i, nil)
		case err := <-i.Failed():
			return err
		case <-ticker.C:
			last = p.reload(i, last)
		}
	}
}

// reload applies the settings file unless its text equals last, and returns its text.
// Only the seeds of a running instance can change. An unusable file is ignored.
func (p Process) reload(i *gwdaemon.Instance, last []byte) []byte {
	text, err := os.ReadFile(p.Path)
	if err == nil && last != nil && bytes.Equal(text, last) {
		return last
	}
	s := p.Settings
	if err == nil {
		s, err = platform.ParseSettings(text)
	}
	if err != nil {
		p.Log.Error("settings not reloaded", "path", p.Path, "error", err.Error())
		return text
	}
	p.logSkippedSeeds(s)
	i.AddSeeds(peerSeeds(s))
	p.Log.Info("settings reloaded", "path", p.Path, "seeds", fmt.Sprint(s.Seeds))
	return text
}

func (p Process) logSkippedSeeds(s platform.Settings) {
	for _, cause := range s.SkippedSeeds {
		p.Log.Warn("seed skipped", "path", p.Path, "error", cause)
	}
}

// peerSeeds returns the peer addresses of all seeds except this process.
func peerSeeds(s platform.Settings) []string {
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if seed != s.IP {
			out = append(out, s.PeerAddress(seed.String()))
		}
	}
	return out
}

// stop stops the instance gracefully within the grace time.
func (p Process) stop(ctx context.Context, i *gwdaemon.Instance) {
	grace := p.Settings.Grace
	if grace <= stopReserve {
		grace = defaultGrace
	}
	p.Log.Info("instance stopping", "grace", grace.String())
	ctx, cancel := context.WithTimeout(ctx, grace-stopReserve)
	defer cancel()
	err := i.Stop(ctx)
	p.Log.Info("instance stopped", "cut", err != nil)
}

// metricsRetryInterval is the time between a failure to serve the metrics and the next
// attempt; the port may still be in use by an earlier process.
const metricsRetryInterval = 5 * time.Second

// metricsWriteTimeout bounds the write of the metrics, of some 100 KiB.
const metricsWriteTimeout = 30 * time.Second

func (p Process) serveMetrics(h gwdaemon.Telemetry, budget *gwbudget.Budget) {
	s := p.Settings
	connections := gwbudget.NewConnections("metrics", maxMetricsConnections, true, budget)
	connections.Expose(h.Gauge)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	for {
		address := net.JoinHostPort(s.IP.String(), strconv.Itoa(metricsPort))
		l, err := net.Listen("tcp", address)
		if err == nil {
			srv := gwbudget.HTTPServer(mux)
			srv.WriteTimeout = metricsWriteTimeout
			err = srv.Serve(connections.Listen(l))
		}
		p.Log.Error("metrics not served", "address", address, "error", err.Error())
		time.Sleep(metricsRetryInterval)
	}
}

// Options translates the settings to options of an instance. Instances are named by their
// IP addresses, as the settings contain only the addresses of the initial voters.
func (p Process) Options(telemetry gwdaemon.Telemetry) (gwdaemon.Options, error) {
	s := p.Settings
	name := s.IP.String()
	config := platform.ConfigParser{Regions: s.Regions}
	authority, err := gwpeer.SharedAuthority("gentianward", []byte(deploymentSecret))
	if err != nil {
		return gwdaemon.Options{}, err
	}
	keys, err := authority.IssueSourceAt(name, net.IP(s.IP.AsSlice()))
	if err != nil {
		return gwdaemon.Options{}, err
	}
	initialVoters := make(map[string]string, len(s.Seeds))
	for _, seed := range s.Seeds {
		if s.FirstStart {
			initialVoters[seed.String()] = s.PeerAddress(seed.String())
		}
	}
	budget := gwbudget.New(s.MemoryBytes, p.Log)
	unreadable := gwtelemetry.NewUnreadable(p.Log, telemetry.UnreadableMessage)
	o := gwdaemon.Options{
		Unreadable: unreadable,
		Budget:     budget, MaxOperators: maxReadyConnections, MaxHandshakes: maxHandshakes,
		Settings: &gwmanifest.Settings{
			Instance: name, DataCentre: s.DataCentre, Region: s.Region, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress(name),
			OperatorAddress: s.ReadyAddress, Seeds: peerSeeds(s), DataFolder: s.DataFolder, MaxClockDrift: gwmanifest.DefaultMaxClockDrift,
		},
		Clock: gwclock.NewBootTime(), Log: p.Log, TLS: keys, Telemetry: telemetry,
		Format:  gwcontrol.ManifestFormat{Parse: config.Parse, ParseAccepted: config.ParseAccepted, AnyLater: true},
		Dialect: gwstatement.Dialect{Codec: platform.LineCodec{}, Unreadable: unreadable, Answers: budget.Answers}, ServeCallers: p.serveCallers(unreadable, budget, telemetry),
		KeysValid:   s.KeysValid,
		ControlOnly: !s.ServesCallers, InitialVoters: initialVoters, NamedByAddress: true, PeerListenAddress: p.PeerListen, RequireLeader: s.ServesCallers, HandOver: handOverLimit, Tuning: tuning, StopDelay: unreadyDelay,
		Quota:        gwquota.Rules{Window: s.Quota.Window, Overage: s.Quota.Overage, Slack: s.Quota.Slack},
		VoterAddress: func(instance string) (string, bool) { return s.PeerAddress(instance), true },
		Promoter:     platform.Promoter{Address: s.PromoteAddress, Holder: name, Clock: gwclock.NewBootTime()},
		Routes:       entryRoutes,
	}
	if s.ServesControl {
		o.FS = p.FS
		o.StopDelay = 0
		o.MaxOperators = maxControlConnections
		o.Settings.OperatorAddress = s.ControlAddress
		o.Routes = func(i *gwdaemon.Instance) http.Handler { return platform.ControlRoutes(i, p.Log) }
	}
	return o, nil
}

// entryRoutes returns the handler of an entry instance: the platform's readiness checks, and what the
// operators' commands ask.
func entryRoutes(i *gwdaemon.Instance) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", platform.ReadyRoutes(i))
	mux.HandleFunc("GET "+gwdaemon.PlacementPath, i.ServePlacement)
	return mux
}

// serveCallers returns a function that accepts callers on a listener.
func (p Process) serveCallers(unreadable *gwtelemetry.Unreadable, budget *gwbudget.Budget, telemetry gwdaemon.Telemetry) func(context.Context, net.Listener, *gwfilter.Entry) gwdaemon.CallerServer {
	return func(ctx context.Context, l net.Listener, e *gwfilter.Entry) gwdaemon.CallerServer {
		places := gwbudget.NewConnections("callers", budget.MaxConnections(max(1, p.Settings.MaxFiles-reservedFiles)), false, budget)
		places.Expose(telemetry.Gauge)
		return gwstatement.Serve(ctx, gwstatement.Options{
			Listener: l, Codec: platform.LineCodec{}, Handler: gwfilter.StatementHandler{Entry: e, Codec: platform.LineCodec{}},
			Logger: p.Log, Places: places, Budget: budget, Unreadable: unreadable,
		})
	}
}
