package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwload"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwtrace"
)

type loadCmd struct {
	options                     gwload.Options
	delay, out, faults, logFile string
}

func (*loadCmd) Name() string     { return "load" }
func (*loadCmd) Synopsis() string { return "send open-loop load to a deployment in this process" }
func (*loadCmd) Usage() string {
	return `load [-deployment ecodour|hanbit] [-rate F] [-ramp D] [-duration D] [-connections N]
     [-faults AT:NAME[:GROUP],…] [-routing session|primaryOnly|roundRobin] [-delay on|off] [-out FILE]

Sends requests at the given arrival rate and writes a run file for the
subcommand report. Faults: ` + strings.Join(gwtrace.FaultNames, ", ") + `.

`
}

func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Deployment, "deployment", gwdeploy.Ecodour, "deployment: ecodour or hanbit")
	f.Float64Var(&c.options.Rate, "rate", 300, "arrivals per second, all classes together")
	f.DurationVar(&c.options.Ramp, "ramp", 2*time.Second, "time over which the rate rises to its full value")
	f.DurationVar(&c.options.Duration, "duration", 20*time.Second, "duration of the load")
	f.IntVar(&c.options.Connections, "connections", 1500, "connections of all callers together")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the random arrivals and requests")
	f.StringVar(&c.options.Routing, "routing", "", "routing that replaces that of the manifest")
	f.StringVar(&c.delay, "delay", "on", "on or off: simulate the delays and the bandwidth between data centres")
	f.StringVar(&c.faults, "faults", "", "faults to inject, such as 5s:primaryCrash:foyers-1,10s:serverRestart:foyers-1")
	f.StringVar(&c.out, "out", "run.json", "run file to write")
	f.StringVar(&c.logFile, "log", "", "file for the log of all instances")
}

func (c *loadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// parseDelay parses the value of the flag -delay.
func parseDelay(text string) (bool, error) {
	if text != "on" && text != "off" {
		return false, fmt.Errorf("-delay is %q; accepted: on, off", text)
	}
	return text == "on", nil
}

// parseFaults parses a list of faults AT:NAME[:GROUP], separated by commas.
func parseFaults(text string) ([]gwtrace.Fault, error) {
	var out []gwtrace.Fault
	for _, item := range strings.Split(text, ",") {
		if item == "" {
			continue
		}
		parts := strings.Split(item, ":")
		if len(parts) < 2 {
			return nil, fmt.Errorf("fault %q is not AT:NAME[:GROUP]", item)
		}
		at, err := time.ParseDuration(parts[0])
		if err != nil {
			return nil, err
		}
		f := gwtrace.Fault{At: gwmanifest.NewDuration(at), Name: parts[1]}
		if len(parts) > 2 {
			f.Group = parts[2]
		}
		out = append(out, f)
	}
	return out, nil
}

func (c *loadCmd) run(ctx context.Context) error {
	faults, err := parseFaults(c.faults)
	if err != nil {
		return err
	}
	delay, err := parseDelay(c.delay)
	if err != nil {
		return err
	}
	c.options.Faults, c.options.Delay = faults, delay
	c.options.Progress = progressPrinter()
	if c.logFile != "" {
		f, err := os.Create(c.logFile)
		if err != nil {
			return err
		}
		defer f.Close()
		c.options.Log = slog.New(slog.NewJSONHandler(f, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	r, err := gwload.Run(ctx, c.options)
	if err != nil {
		return err
	}
	if err := gwload.WriteRun(c.out, r); err != nil {
		return err
	}
	gwload.PrintText(os.Stdout, []string{c.out}, []*gwload.Report{r})
	if n := r.MismatchCount(); n > 0 {
		return fmt.Errorf("%d reads returned other data than were written: %s", n, strings.Join(r.Mismatches, "; "))
	}
	return nil
}

// progressPrinter returns a function that updates one line if standard error is a
// terminal, and writes JSON lines otherwise.
func progressPrinter() func(gwload.Progress) {
	info, err := os.Stderr.Stat()
	if err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return func(p gwload.Progress) {
			fmt.Fprintf(os.Stderr, "\r\033[K%4.0fs  done %d  not run %d  unknown %d  failed %d  in flight %d  p99 %s  %s",
				p.At.Seconds(), p.Done, p.Outcomes[gwtrace.NotRun], p.Outcomes[gwtrace.Unknown], p.Outcomes[gwtrace.Failed],
				p.InFlight, p.P99.Round(100*time.Microsecond), strings.Join(p.Faults, " "))
		}
	}
	enc := json.NewEncoder(os.Stderr)
	return func(p gwload.Progress) { _ = enc.Encode(p) }
}
