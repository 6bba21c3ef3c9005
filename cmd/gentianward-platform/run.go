package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwclock"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstatement"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/platform"
)

const (
	// unreadyTime is how long callers still arrive after readiness is withdrawn:
	// the platform asks once a second and needs two refusals.
	unreadyTime = 2300 * time.Millisecond
	// defaultGrace is the time for a stop when the settings name none.
	defaultGrace = 5 * time.Second
	// metricsPort is the one that deploy/system.toml names; the free ports of the
	// settings change each day.
	metricsPort = 9464
	// settingsInterval is how often the settings file is looked at: it may change
	// without a signal.
	settingsInterval = 2 * time.Second
	// stopReserve is kept of the grace time for the steps after the last session.
	stopReserve = time.Second
	// reservedFiles are descriptors that are not for callers: links, connections
	// to backend servers, the log and data files.
	reservedFiles = 600
	// handOverTime is how long open transactions keep a primary from its new owner:
	// most end within it, and the others cost less than a gap for the whole group.
	handOverTime = time.Second
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 2 * time.Second
)

// tuning keeps what an idle system says between data centres and regions below a third
// of the bytes of a calm day; at the product's defaults it was two thirds.
var tuning = gwdaemon.Tuning{
	// Freshness is a third of the shortest staleness that a route asks for.
	Freshness: 500 * time.Millisecond,
	// Poll is half a second because queries are charged; servers at work report
	// their position with every answer.
	Poll: 500 * time.Millisecond,
	// Settle is three gossip intervals, in which the members of a data centre learn
	// of one another.
	Settle: 300 * time.Millisecond,
	// SettleFar covers a start of all machines: each one took itself for the owner
	// of every server that it had heard of.
	SettleFar: 3 * time.Second,
	// DialTimeout is two round trips between regions, the 12 ms of a new connection
	// and a full queue in front of it. A server that is dark is found out by it.
	DialTimeout: 500 * time.Millisecond,
	// Heartbeat leaves two in the shortest election timeout.
	Heartbeat: 140 * time.Millisecond,
	// Transport is TCP because a full link of the platform loses datagrams: see
	// docs/decisions/transport.md.
	Transport: gwpeer.TCP,
}

// deploymentSecret is from what the instances' common CA is derived. The platform
// hands out no secret, so that the links are as private as its network is.
const deploymentSecret = "gentianward on the platform"

type runCmd struct{ level string }

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "run the instance that the platform's settings describe" }
func (*runCmd) Usage() string {
	return `run [-log-level debug|info|warn|error]
  Runs one instance. Its settings file is named by the platform. Logs are JSON
  lines on standard output. SIGTERM stops the instance gracefully, SIGHUP reads
  the settings again.

  Exit codes: 0 stopped; 1 not started; 2 wrong usage.

`
}

func (c *runCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
}

func (c *runCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.level)); err != nil || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	out := gwtelemetry.NewBoundedWriter(os.Stdout, gwtelemetry.DefaultLogRate, gwtelemetry.DefaultLogBurst)
	defer out.Close()
	path := platform.SettingsPath()
	s, err := platform.ReadSettings(path)
	if err != nil {
		gwtelemetry.NewLogger(out, level, "").Error("instance not started", "settings", path, "error", err.Error())
		return subcommands.ExitFailure
	}
	log := gwtelemetry.NewLogger(out, level, s.Name)
	p := process{settings: s, path: path, log: log}
	if err := p.run(ctx); err != nil {
		log.Error("instance not started", "settings", path, "error", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// process is one running instance with its signals.
type process struct {
	settings platform.Settings
	path     string
	log      *slog.Logger
}

func (p process) run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	telemetry := gwdaemon.NewTelemetry()
	o, err := p.options(telemetry)
	if err != nil {
		return err
	}
	i, err := gwdaemon.Start(ctx, o)
	if err != nil {
		return err
	}
	go p.serveMetrics(telemetry)
	s := p.settings
	p.log.Info("instance started", "address", s.IP.String(), "dataCentre", s.DataCentre, "region", s.Region,
		"callers", s.Callers, "control", s.Control, "firstStart", s.FirstStart, "seeds", fmt.Sprint(s.Seeds))
	p.watch(signals, i)
	p.stop(ctx, i)
	return nil
}

// watch reloads the settings on SIGHUP and when the file has changed, until
// another signal comes.
func (p process) watch(signals <-chan os.Signal, i *gwdaemon.Instance) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(p.path) // read at the start; an error shows at the next look
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			last = p.reload(i, nil)
		case <-ticker.C:
			last = p.reload(i, last)
		}
	}
}

// reload applies the settings file unless its text is last, and returns its text.
// Only the seeds of a running instance can change; a file that cannot be used
// changes nothing.
func (p process) reload(i *gwdaemon.Instance, last []byte) []byte {
	text, err := os.ReadFile(p.path)
	if err == nil && last != nil && bytes.Equal(text, last) {
		return last
	}
	s := p.settings
	if err == nil {
		s, err = platform.ParseSettings(text)
	}
	if err != nil {
		p.log.Error("settings not reloaded", "path", p.path, "error", err.Error())
		return text
	}
	i.AddSeeds(peerSeeds(s))
	p.log.Info("settings reloaded", "path", p.path, "seeds", fmt.Sprint(s.Seeds))
	return text
}

// peerSeeds returns the peer addresses of the seeds other than the process itself.
func peerSeeds(s platform.Settings) []string {
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if seed != s.IP {
			out = append(out, s.PeerAddress(seed.String()))
		}
	}
	return out
}

func (p process) stop(ctx context.Context, i *gwdaemon.Instance) {
	grace := p.settings.Grace
	if grace <= stopReserve {
		grace = defaultGrace
	}
	p.log.Info("instance stops", "grace", grace.String())
	ctx, cancel := context.WithTimeout(ctx, grace-stopReserve)
	defer cancel()
	err := i.Stop(ctx)
	p.log.Info("instance stopped", "cut", err != nil)
}

func (p process) serveMetrics(h http.Handler) {
	s := p.settings
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	srv := http.Server{Addr: net.JoinHostPort(s.IP.String(), strconv.Itoa(metricsPort)), Handler: mux, ReadHeaderTimeout: time.Second}
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("metrics not served", "address", srv.Addr, "error", err.Error())
	}
}

// options translates the settings. Instances are named by their IP address, which
// a process that knows only addresses of others needs to name the first voters.
func (p process) options(telemetry gwdaemon.Telemetry) (gwdaemon.Options, error) {
	s := p.settings
	name := s.IP.String()
	authority, err := gwpeer.SharedAuthority("gentianward", []byte(deploymentSecret))
	if err != nil {
		return gwdaemon.Options{}, err
	}
	keys, err := authority.IssueSourceAt(name, net.IP(s.IP.AsSlice()))
	if err != nil {
		return gwdaemon.Options{}, err
	}
	first := make(map[string]string, len(s.Seeds))
	for _, seed := range s.Seeds {
		if s.FirstStart {
			first[seed.String()] = s.PeerAddress(seed.String())
		}
	}
	o := gwdaemon.Options{
		Settings: &gwmanifest.Settings{
			Instance: name, DataCentre: s.DataCentre, Region: s.Region, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress(name),
			OperatorAddress: s.ReadyAddress, Seeds: peerSeeds(s), DataFolder: s.DataFolder, MaxClockDrift: gwmanifest.DefaultMaxClockDrift,
		},
		Clock: gwclock.NewBoot(), Log: p.log, TLS: keys, Telemetry: telemetry,
		Format:  gwcontrol.ManifestFormat{Parse: platform.Manifests{Regions: s.Regions}.Parse, AnyLater: true},
		Dialect: gwstatement.Dialect{Codec: platform.Lines{}}, ServeCallers: p.serveCallers,
		ControlOnly: !s.Callers, FirstVoters: first, NamedByAddress: true, Withdraw: s.Callers, HandOver: handOverTime, Tuning: tuning, StopDelay: unreadyTime,
		VoterAddress: func(instance string) (string, bool) { return s.PeerAddress(instance), true },
		Promoter:     platform.Promoter{Address: s.PromoteAddress, Holder: name, Client: &http.Client{Timeout: promoteTimeout}},
		Routes:       func(i *gwdaemon.Instance) http.Handler { return platform.ReadyRoutes(i) },
	}
	if s.Control {
		o.FS = gwstore.OSFS{}
		o.StopDelay = 0
		o.Settings.OperatorAddress = s.ControlAddress
		o.Routes = func(i *gwdaemon.Instance) http.Handler { return platform.ControlRoutes(i, p.log) }
	}
	return o, nil
}

func (p process) serveCallers(ctx context.Context, l net.Listener, e *gwfilter.Entry) gwdaemon.Callers {
	return gwstatement.Serve(ctx, gwstatement.Options{
		Listener: l, Codec: platform.Lines{}, Handler: gwfilter.StatementHandler{Entry: e, Codec: platform.Lines{}},
		Logger: p.log, MaxConnections: max(1, p.settings.MaxFiles-reservedFiles),
	})
}
