package gwprogram

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/platform"
)

// Command is the subcommand that runs an instance.
type Command struct {
	// FS is the file system of an instance that serves control.
	FS                gwstore.FS
	level, peerListen string
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "run" }

// Synopsis describes the subcommand in a line.
func (*Command) Synopsis() string { return "run the instance that the platform's settings describe" }

// Usage returns the help text.
func (*Command) Usage() string {
	return `run [-log-level debug|info|warn|error] [-peer-listen IP:PORT]
  Runs one instance. The platform names its settings file in the environment.
  Logs are JSON lines on standard output. SIGTERM stops the instance gracefully,
  SIGHUP reloads the settings.

  Exit codes: 0 stopped; 1 not started, or a part of it cannot continue; 2 wrong usage.

`
}

// SetFlags declares the options.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.level, "log-level", "info", "lowest level to log: debug, info, warn or error")
	f.StringVar(&c.peerListen, "peer-listen", "", "listen for other instances on this address instead of the announced one, as behind address translation")
}

// Execute runs the instance that the settings describe.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.level)); err != nil || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	out := gwtelemetry.NewBoundedWriter(os.Stdout, gwtelemetry.DefaultLogBytesPerSecond, gwtelemetry.DefaultLogBurstBytes)
	defer out.Close()
	path := platform.SettingsPath()
	s, err := platform.ReadSettings(path)
	if err != nil {
		gwtelemetry.NewLogger(out, level, "").Error("instance not started", "settings", path, "error", err.Error())
		return subcommands.ExitFailure
	}
	log := gwtelemetry.NewLogger(out, level, s.Name)
	p := Process{Settings: s, Path: path, PeerListen: c.peerListen, Log: log, FS: c.FS}
	if err := p.Run(ctx); err != nil {
		log.Error("instance not started, or ended by an error", "settings", path, "error", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
