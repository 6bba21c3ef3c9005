package main

import (
	"context"
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
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// demoReadyTimeout bounds the time until the deployment of the demo is ready.
const demoReadyTimeout = 10 * time.Second

type demoCmd struct {
	deployment, delay, fault string
	after                    time.Duration
	verbose                  bool
}

func (*demoCmd) Name() string     { return "demo" }
func (*demoCmd) Synopsis() string { return "run a whole deployment in this process on loopback" }
func (*demoCmd) Usage() string {
	return `demo [-deployment ecodour|hanbit] [-delay on|off] [-fault NAME -after D] [-verbose]

Starts the entry instances of a deployment and three groups of three database
stand-ins, prints the address of each instance for callers, and then one line
per event. Needs no files. Runs until SIGINT. Faults: ` + strings.Join(gwdeploy.Faults, ", ") + `.

`
}

func (c *demoCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", gwdeploy.Ecodour, "deployment: ecodour or hanbit")
	f.StringVar(&c.delay, "delay", "on", "on or off: simulate the delays and the bandwidth between data centres")
	f.StringVar(&c.fault, "fault", "", "fault to inject; none if empty")
	f.DurationVar(&c.after, "after", 5*time.Second, "time from the start to the fault")
	f.BoolVar(&c.verbose, "verbose", false, "write the log of all levels to standard error, as JSON lines, instead of events to standard output")
}

func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.delay != "on" && c.delay != "off" {
		fmt.Fprintf(os.Stderr, "demo: -delay is %q; accepted: on, off\n", c.delay)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *demoCmd) run(ctx context.Context) error {
	plan, err := gwdeploy.NewPlan(c.deployment)
	if err != nil {
		return err
	}
	var log *slog.Logger
	if c.verbose {
		log = slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	} else {
		log = slog.New(gwtelemetry.NewEventHandler(os.Stdout))
	}
	started := time.Now()
	d, err := gwdeploy.Start(ctx, gwdeploy.Options{Plan: plan, Delay: c.delay == "on", FixedPorts: true, Log: log})
	if err != nil {
		return err
	}
	defer d.Close()
	wctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	if err := d.WaitReady(wctx); err != nil {
		return err
	}
	c.printAddresses(d, time.Since(started))
	if c.fault == "" {
		<-ctx.Done()
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(c.after):
	}
	fmt.Printf("fault: %s\n", c.fault)
	if err := d.Inject(c.fault); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (c *demoCmd) printAddresses(d *gwdeploy.Deployment, took time.Duration) {
	fmt.Printf("deployment %s ready after %s\n", c.deployment, took.Round(time.Millisecond))
	group := d.Groups()[0]
	for _, n := range d.Instances() {
		fmt.Printf("  %-18s %s\n", n.Settings.Instance, d.URL(n, d.FirstCaller(), group))
	}
	fmt.Printf("groups: %s; other callers: %s\n", strings.Join(d.Groups(), ", "), strings.Join(d.Callers(), ", "))
}
