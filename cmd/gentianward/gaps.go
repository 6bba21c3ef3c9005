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

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwload"
)

type gapsCmd struct {
	options             gwload.GapOptions
	deployments, paths  string
	delay, out, logFile string
	json                bool
}

func (*gapsCmd) Name() string     { return "gaps" }
func (*gapsCmd) Synopsis() string { return "measure failover gaps" }
func (*gapsCmd) Usage() string {
	return `gaps [-deployment LIST] [-path LIST] [-n N] [-rate F] [-delay on|off] [-json] [-out FILE] [-log FILE]

Changes the primary or the owner of groups under a load of writes and measures
the time from the last write acknowledged before the change to the first one
acknowledged after it. Prints p50, p99 and the maximum of each path with its
target, and exits with code 1 if a target is missed. Paths: ` + strings.Join(gwload.Paths, ", ") + `.

`
}

func (c *gapsCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployments, "deployment", gwdeploy.Ecodour+","+gwdeploy.Hanbit, "deployments to measure, separated by commas")
	f.StringVar(&c.paths, "path", strings.Join(gwload.Paths, ","), "paths of change to measure, separated by commas")
	f.IntVar(&c.options.Count, "n", 9, "number of changes per path")
	f.Float64Var(&c.options.Rate, "rate", 100, "writes per second to the group that changes")
	f.StringVar(&c.delay, "delay", "on", "on or off: simulate the delays and the bandwidth between data centres")
	f.BoolVar(&c.json, "json", false, "print the results as JSON lines")
	f.StringVar(&c.out, "out", "", "file to write the results to, as JSON lines")
	f.StringVar(&c.logFile, "log", "", "file for the log of all instances")
}

func (c *gapsCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	met, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gaps:", err)
		return subcommands.ExitFailure
	}
	if !met {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *gapsCmd) run(ctx context.Context) (bool, error) {
	delay, err := parseDelay(c.delay)
	if err != nil {
		return false, err
	}
	c.options.Delay = delay
	c.options.Progress = func(s gwload.GapSample) {
		fmt.Fprintf(os.Stderr, "%s %s %s from %s: %s open=%v\n", s.Deployment, s.Path, s.Group, s.From, s.Gap, s.Open)
	}
	if c.logFile != "" {
		f, err := os.Create(c.logFile)
		if err != nil {
			return false, err
		}
		defer f.Close()
		c.options.Log = slog.New(slog.NewJSONHandler(f, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	var out *os.File
	if c.out != "" {
		f, err := os.Create(c.out)
		if err != nil {
			return false, err
		}
		defer f.Close()
		out = f
	}
	met := true
	for _, deployment := range strings.Split(c.deployments, ",") {
		for _, path := range strings.Split(c.paths, ",") {
			c.options.Deployment, c.options.Path = deployment, path
			res, err := gwload.MeasureGaps(ctx, c.options)
			if err != nil {
				return false, err
			}
			met = met && res.Met
			if err := c.print(res, out); err != nil {
				return false, err
			}
		}
	}
	return met, nil
}

func (c *gapsCmd) print(res *gwload.GapResult, out *os.File) error {
	if out != nil {
		if err := json.NewEncoder(out).Encode(res); err != nil {
			return err
		}
	}
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(res)
	}
	fmt.Printf("%-8s %-16s n=%-3d p50 %-12s p99 %-12s max %-12s target %-6s met %v\n",
		res.Deployment, res.Path, len(res.Samples), res.P50, res.P99, res.Max, res.Target, res.Met)
	return nil
}
