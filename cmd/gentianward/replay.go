package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwtrace"
)

type replayCmd struct {
	options        gwtrace.ReplayOptions
	delay, logFile string
	history        string
	json           bool
	maxShown       int
}

func (*replayCmd) Name() string     { return "replay" }
func (*replayCmd) Synopsis() string { return "replay a trace and check its expected outcomes" }
func (*replayCmd) Usage() string {
	return `replay [-speed F] [-routing NAME] [-delay on|off] [-json] [-history FILE] [-log FILE] TRACE

Runs the trace against a deployment in this process, compares the outcomes that
the trace states with the answers and the final content of the databases, prints
every difference and exits with code 1 if there is one. Routing: session,
primaryOnly, roundRobin; by default that of the manifest.

`
}

func (c *replayCmd) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.options.Speed, "speed", 1, "factor by which the pauses and the times of faults are divided")
	f.StringVar(&c.options.Routing, "routing", "", "routing that replaces that of the manifest")
	f.StringVar(&c.delay, "delay", "on", "on or off: simulate the delays and the bandwidth between data centres")
	f.StringVar(&c.logFile, "log", "", "file for the log of all instances")
	f.StringVar(&c.history, "history", "", "file for the history of all requests, as JSON lines")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
	f.IntVar(&c.maxShown, "shown", 50, "maximum number of differences that are printed as text")
}

func (c *replayCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || (c.delay != "on" && c.delay != "off") {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	res, err := c.run(ctx, f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		return subcommands.ExitFailure
	}
	c.print(res)
	if len(res.Differences) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *replayCmd) run(ctx context.Context, name string) (*gwtrace.Result, error) {
	in, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	t, err := gwtrace.Read(in)
	if err != nil {
		return nil, err
	}
	c.options.Delay = c.delay == "on"
	c.options.OnFault = func(at time.Duration, fault string) {
		fmt.Fprintf(os.Stderr, "%8s  %s\n", at.Round(time.Millisecond), fault)
	}
	if c.logFile != "" {
		out, err := os.Create(c.logFile)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		c.options.Log = slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	res, err := gwtrace.Replay(ctx, t, c.options)
	if err != nil || c.history == "" {
		return res, err
	}
	return res, writeHistory(c.history, res.Events)
}

func writeHistory(name string, events []gwtrace.Event) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(f)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			f.Close()
			return err
		}
	}
	return f.Close()
}

func (c *replayCmd) print(res *gwtrace.Result) {
	if c.json {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(res)
		return
	}
	for i, d := range res.Differences {
		if i == c.maxShown {
			fmt.Printf("and %d more\n", len(res.Differences)-c.maxShown)
			break
		}
		fmt.Println(d)
	}
	fmt.Printf("%s %s seed %d: %d steps in %s, %d attempts; done %d, not run %d, unknown %d, failed %d; reads by replicas %d, by primaries %d; differences %d\n",
		res.Deployment, res.Scenario, res.Seed, res.Steps, res.Took.Round(time.Millisecond), res.Attempts,
		res.Outcomes[gwtrace.Done], res.Outcomes[gwtrace.NotRun], res.Outcomes[gwtrace.Unknown], res.Outcomes[gwtrace.Failed],
		res.ReplicaReads, res.PrimaryReads, len(res.Differences))
	for kind, n := range countKinds(res.Differences) {
		fmt.Printf("  %s: %d\n", kind, n)
	}
}

func countKinds(list []gwtrace.Difference) map[string]int {
	out := make(map[string]int)
	for _, d := range list {
		out[d.Kind]++
	}
	return out
}
