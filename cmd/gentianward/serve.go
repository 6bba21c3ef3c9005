package main

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// exitSessionsCut is the exit code of a stop that closed sessions of callers by force.
const exitSessionsCut subcommands.ExitStatus = 3

// forcedStopWait bounds the wait for the end of a stop that a second signal cut short.
const forcedStopWait = time.Second

type serveCmd struct {
	config, level string
	log           io.Writer // os.Stderr if nil
	// signals replaces the signals of the process in tests; nil in production.
	signals chan os.Signal
	// started, if not nil, is called with the running instance; for tests.
	started func(*gwdaemon.Instance)
}

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run one instance" }
func (*serveCmd) Usage() string {
	return `serve -config FILE [-log-level debug|info|warn|error]
  Runs the instance that the settings file describes and writes its log to
  standard error as JSON lines. SIGTERM and SIGINT, or "gentianward drain", stop
  it gracefully within the manifest's drain limit; a second signal ends it at
  once. SIGHUP reloads the key and certificate files, which also happens within
  10 s after they change.

  Exit codes: 0 stopped gracefully; 1 not started, because settings, keys,
  addresses or the data folder cannot be used; 2 wrong usage; 3 stopped, but
  sessions were cut by the drain limit or a second signal.

`
}

func (c *serveCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file")
	f.StringVar(&c.level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
}

func (c *serveCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var level slog.Level
	err := level.UnmarshalText([]byte(c.level))
	if c.config == "" || f.NArg() > 0 || err != nil {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if c.log == nil {
		c.log = os.Stderr
	}
	if c.signals == nil {
		c.signals = make(chan os.Signal, 2)
		signal.Notify(c.signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
		defer signal.Stop(c.signals)
	}
	settings, err := readSettings(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	log := gwtelemetry.NewLogger(c.log, level, settings.Instance)
	status, err := c.run(ctx, settings, log)
	if err != nil {
		log.Error("instance not started, or ended by an error", "error", err.Error())
		return subcommands.ExitFailure
	}
	return status
}

func readSettings(file string) (*gwmanifest.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := gwmanifest.ParseSettings(file, text)
	if err != nil {
		return nil, err
	}
	return s.WithDefaults(), nil
}

// readManifest reads the manifest for the first start of a deployment, nil if the settings
// name none.
func readManifest(s *gwmanifest.Settings) (*gwmanifest.Manifest, error) {
	if s.Bootstrap == "" {
		return nil, nil
	}
	text, err := os.ReadFile(s.Bootstrap)
	if err != nil {
		return nil, err
	}
	return gwmanifest.ParseManifest(s.Bootstrap, text)
}

func (c *serveCmd) run(ctx context.Context, s *gwmanifest.Settings, log *slog.Logger) (subcommands.ExitStatus, error) {
	keys, err := openKeyFiles(s, log)
	if err != nil {
		return 0, err
	}
	manifest, err := readManifest(s)
	if err != nil {
		return 0, err
	}
	key, err := hex.DecodeString(s.SessionKey)
	if err != nil {
		return 0, err
	}
	drain := make(chan struct{}, 1)
	o := gwdaemon.Options{
		Settings: s, InitialManifest: manifest, Clock: clockwork.NewRealClock(), Log: log, TLS: keys.peerKeys,
		CallerTLS: keys.callerTLS(), SessionKey: key, Telemetry: gwdaemon.NewTelemetry(),
		Drain: func() {
			select {
			case drain <- struct{}{}:
			default:
			}
		},
	}
	if s.DataFolder != "" {
		o.FS = gwstore.OSFS{}
	}
	i, err := gwdaemon.Start(ctx, o)
	if err != nil {
		return 0, err
	}
	log.Info("instance started", "callers", i.CallerAddress(), "peers", i.PeerAddress(), "operators", s.OperatorAddress, "version", version)
	if c.started != nil {
		c.started(i)
	}
	err = c.wait(ctx, i, keys, drain, log)
	return c.stop(i, log), err
}

// wait returns nil when the instance is asked to stop, and an error if a part of it cannot
// continue.
func (c *serveCmd) wait(ctx context.Context, i *gwdaemon.Instance, keys *keyFiles, drain <-chan struct{}, log *slog.Logger) error {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-i.Failed():
			return err
		case <-drain:
			log.Info("instance stopping at the request of an operator")
			return nil
		case <-ticker.C:
			keys.reloadChanged()
		case s := <-c.signals:
			if s != syscall.SIGHUP {
				log.Info("instance stopping on a signal", "signal", s.String())
				return nil
			}
			keys.reload()
		}
	}
}

// stop stops the instance gracefully; a second signal closes the remaining sessions at once.
func (c *serveCmd) stop(i *gwdaemon.Instance, log *slog.Logger) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(context.Background(), i.DrainLimit())
	defer cancel()
	done := make(chan struct{})
	var err error
	go func() {
		err = i.Stop(ctx)
		close(done)
	}()
	for {
		select {
		case <-done:
			if err != nil {
				log.Warn("instance stopped, but sessions were cut", "error", err.Error())
				return exitSessionsCut
			}
			log.Info("instance stopped")
			return subcommands.ExitSuccess
		case s := <-c.signals:
			if s == syscall.SIGHUP {
				continue
			}
			cancel()
			waitFor(done, forcedStopWait)
			log.Warn("instance stopped at once by a second signal", "signal", s.String())
			return exitSessionsCut
		}
	}
}

func waitFor(done <-chan struct{}, limit time.Duration) {
	select {
	case <-done:
	case <-time.After(limit):
	}
}
